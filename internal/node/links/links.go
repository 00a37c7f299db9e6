// Package links holds an agent's connections to other processes: the
// connection to its home entry, and the connections to the leaders of the gangs
// that it takes part in.
//
// Connections to leaders are shared by all gangs, opened on first use and
// closed when unused. A connection on which a beat got no answer is replaced,
// because a connection may go silent for ever while a new one works. Closing
// it also bounds how late a beat can arrive. The beats of one member share a
// stream, on which only the first one says who beats: a call for each beat took
// 150 bytes, a message of a stream takes 50.
package links

import (
	"context"
	"crypto/tls"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// IdleLimit is how long an unused connection or stream to a leader stays open.
	IdleLimit = 30 * time.Second
	// MaxMessage bounds a message; requests and answers carry whole bodies.
	MaxMessage = 64 << 20
)

// Dialer opens and keeps connections. It has no goroutine of its own; Sweep
// closes the unused connections.
type Dialer struct {
	options []grpc.DialOption

	mu sync.Mutex
	// conns are the open connections to leaders by address.
	conns map[string]*conn
}

type conn struct {
	client *grpc.ClientConn
	used   time.Time
	// streams are the open streams of beats.
	streams map[member]*beats
	// callsOnly is true if the leader is of a release without streams of beats.
	callsOnly bool
}

// New returns a dialer. Without a TLS configuration connections are plaintext.
func New(cfg *tls.Config) *Dialer {
	creds := insecure.NewCredentials()
	if cfg != nil {
		creds = credentials.NewTLS(cfg)
	}
	return &Dialer{
		conns: map[string]*conn{},
		options: append(conns.DialOptions(),
			grpc.WithTransportCredentials(creds),
			grpc.WithDefaultCallOptions(
				grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage),
			),
		),
	}
}

func (d *Dialer) get(address string) (*conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[address]; ok {
		c.used = time.Now()
		return c, nil
	}
	client, err := grpc.NewClient(target(address), d.options...)
	if err != nil {
		return nil, err
	}
	c := &conn{client: client, used: time.Now(), streams: map[member]*beats{}}
	d.conns[address] = c
	return c, nil
}

// discard closes a connection unless another one took its place.
func (d *Dialer) discard(address string, c *conn) {
	d.mu.Lock()
	if d.conns[address] == c {
		delete(d.conns, address)
	}
	d.mu.Unlock()
	// Close reports only that the connection is closed already.
	_ = c.client.Close()
}

// Sweep closes the connections and the streams that were not used for
// IdleLimit.
func (d *Dialer) Sweep(now time.Time) {
	d.mu.Lock()
	for _, c := range d.conns {
		maps.DeleteFunc(c.streams, func(_ member, s *beats) bool {
			idle := now.Sub(s.used) >= IdleLimit
			if idle {
				s.cancel()
			}
			return idle
		})
	}
	d.mu.Unlock()
	d.closeIf(func(c *conn) bool { return now.Sub(c.used) >= IdleLimit })
}

// Close closes all connections to leaders.
func (d *Dialer) Close() {
	d.closeIf(func(*conn) bool { return true })
}

func (d *Dialer) closeIf(closable func(*conn) bool) {
	d.mu.Lock()
	var closed []*conn
	for address, c := range d.conns {
		if closable(c) {
			closed = append(closed, c)
			delete(d.conns, address)
		}
	}
	d.mu.Unlock()
	for _, c := range closed {
		_ = c.client.Close()
	}
}

// Announce opens an Announce stream to an entry on a connection of its own.
func (d *Dialer) Announce(ctx context.Context, address string) (*Stream, error) {
	signs := conns.NewSigns()
	client, err := grpc.NewClient(target(address), append(slices.Clone(d.options), signs.Option())...)
	if err != nil {
		return nil, err
	}
	stream, err := inner.NewEntryClient(client).Announce(ctx)
	if err != nil {
		_ = client.Close()
		return nil, err
	}
	return &Stream{client: client, stream: stream, signs: signs}, nil
}

// target keeps gRPC from resolving names: processes know each other by IP.
func target(address string) string { return "passthrough:///" + address }

// Stream is an Announce stream with its connection.
type Stream struct {
	client *grpc.ClientConn
	stream grpc.BidiStreamingClient[inner.AnnounceRequest, inner.AnnounceReply]
	signs  *conns.Signs
}

// Send sends one message.
func (s *Stream) Send(req *inner.AnnounceRequest) error { return s.stream.Send(req) }

// Recv waits for one message.
func (s *Stream) Recv() (*inner.AnnounceReply, error) { return s.stream.Recv() }

// Heard returns when the entry last sent something on the connection, be it a ping.
func (s *Stream) Heard() time.Time { return s.signs.Newest() }

// Close closes the connection, which ends Send and Recv.
func (s *Stream) Close() {
	_ = s.client.Close()
}
