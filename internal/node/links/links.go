// Package links manages an agent's connections to other processes: the
// connection to its home entry, and the connections to the leaders of the gangs
// that it takes part in.
//
// Connections to leaders are shared by all gangs, opened on first use and closed
// when idle. A connection on which a heartbeat got no reply is replaced, because
// a connection may stop delivering data permanently while a new one works.
// Closing it also bounds how late a heartbeat can arrive. The heartbeats of one
// member share a stream, on which only the first message identifies the member: a call
// for each heartbeat takes 150 bytes, a message of a stream 50.
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
	// IdleLimit is how long an idle connection or stream to a leader stays open.
	IdleLimit = 30 * time.Second
	// MaxMessage bounds a message in bytes; requests and replies carry whole bodies.
	MaxMessage = 64 << 20
)

// Dialer opens and caches connections. It has no goroutine of its own; Sweep
// closes idle connections.
type Dialer struct {
	options []grpc.DialOption

	mu sync.Mutex
	// conns are the open connections to leaders by address.
	conns map[string]*conn
}

type conn struct {
	client   *grpc.ClientConn
	lastUsed time.Time
	// streams are the open heartbeat streams by member.
	streams map[memberKey]*beatStream
	// unaryOnly is true if the leader runs a release without heartbeat streams.
	unaryOnly bool
}

// New returns a dialer. If cfg is nil, connections are plaintext.
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

func (d *Dialer) connTo(address string) (*conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[address]; ok {
		c.lastUsed = time.Now()
		return c, nil
	}
	client, err := grpc.NewClient(target(address), d.options...)
	if err != nil {
		return nil, err
	}
	c := &conn{client: client, lastUsed: time.Now(), streams: map[memberKey]*beatStream{}}
	d.conns[address] = c
	return c, nil
}

// discard closes a connection and removes it from conns unless another one has
// replaced it.
func (d *Dialer) discard(address string, c *conn) {
	d.mu.Lock()
	if d.conns[address] == c {
		delete(d.conns, address)
	}
	d.mu.Unlock()
	// Close fails only if the connection is already closed.
	_ = c.client.Close()
}

// Sweep closes the connections and streams that have been idle for IdleLimit.
func (d *Dialer) Sweep(now time.Time) {
	d.mu.Lock()
	for _, c := range d.conns {
		maps.DeleteFunc(c.streams, func(_ memberKey, s *beatStream) bool {
			idle := now.Sub(s.lastUsed) >= IdleLimit
			if idle {
				s.cancel()
			}
			return idle
		})
	}
	d.mu.Unlock()
	d.closeIf(func(c *conn) bool { return now.Sub(c.lastUsed) >= IdleLimit })
}

// Close closes all connections to leaders.
func (d *Dialer) Close() {
	d.closeIf(func(*conn) bool { return true })
}

func (d *Dialer) closeIf(match func(*conn) bool) {
	d.mu.Lock()
	var closed []*conn
	for address, c := range d.conns {
		if match(c) {
			closed = append(closed, c)
			delete(d.conns, address)
		}
	}
	d.mu.Unlock()
	for _, c := range closed {
		_ = c.client.Close()
	}
}

// Announce opens an Announce stream to an entry on a dedicated connection.
func (d *Dialer) Announce(ctx context.Context, address string) (*Stream, error) {
	activity := conns.NewActivity()
	client, err := grpc.NewClient(target(address), append(slices.Clone(d.options), activity.DialOption())...)
	if err != nil {
		return nil, err
	}
	stream, err := inner.NewEntryClient(client).Announce(ctx)
	if err != nil {
		_ = client.Close()
		return nil, err
	}
	return &Stream{client: client, stream: stream, activity: activity}, nil
}

// target returns a gRPC target without name resolution: processes address each
// other by IP.
func target(address string) string { return "passthrough:///" + address }

// Stream is an Announce stream and its connection.
type Stream struct {
	client   *grpc.ClientConn
	stream   grpc.BidiStreamingClient[inner.AnnounceRequest, inner.AnnounceReply]
	activity *conns.Activity
}

// Send sends one message.
func (s *Stream) Send(req *inner.AnnounceRequest) error { return s.stream.Send(req) }

// Recv receives one message.
func (s *Stream) Recv() (*inner.AnnounceReply, error) { return s.stream.Recv() }

// Heard returns when data was last received on the connection, including pings.
func (s *Stream) Heard() time.Time { return s.activity.Last() }

// Close closes the connection, which unblocks Send and Recv.
func (s *Stream) Close() {
	_ = s.client.Close()
}
