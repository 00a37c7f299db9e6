// Package mesh manages the gRPC connections of a process to other processes of the
// deployment, one for each address and use.
//
// A connection can stop responding permanently while new ones work. gRPC's own keepalive
// detects that after ten seconds at the earliest, so callers report calls that timed
// out, and the next call uses a new connection.
package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
)

// Error is the error class of this package.
var Error = errs.Class("mesh")

const (
	// maxBackoff bounds the backoff between connection attempts. A killed process is
	// back after about a second.
	maxBackoff = 300 * time.Millisecond
	// firstBackoff is the backoff after the first failed attempt.
	firstBackoff = 50 * time.Millisecond
	// connectTimeout bounds a connection attempt. Between regions it takes 20 ms; the
	// first packet to a host that is still starting is lost, and TCP would resend it
	// only after a second.
	connectTimeout = 350 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// replacedTimeout is how long calls on a replaced connection may still run. It
	// exceeds the longest call; a dead connection costs no more than its memory.
	replacedTimeout = 4 * time.Second
	// maxMessage bounds a message in bytes. A page of newest records is at most
	// 1 MB.
	maxMessage = 8 << 20
)

// Config configures a Mesh.
type Config struct {
	// TLS secures the connections; nil means plaintext.
	TLS *tls.Config
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Mesh is a pool of connections. It is safe for concurrent use.
type Mesh struct {
	creds credentials.TransportCredentials
	dial  func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[connKey]*grpc.ClientConn
	// replaced holds the connections that are kept for pending calls only.
	replaced map[*grpc.ClientConn]bool
	// refused holds whether the host of an address refused the last connection, as
	// opposed to a timeout.
	refused map[string]bool
	// closed means that no more connections may be opened.
	closed bool
}

// connKey identifies a connection. Each use has its own connection, so that a call
// that times out does not close streams.
type connKey struct {
	address, use string
}

// New returns a mesh without connections.
func New(c Config) *Mesh {
	m := &Mesh{
		conns: map[connKey]*grpc.ClientConn{}, replaced: map[*grpc.ClientConn]bool{}, refused: map[string]bool{},
		creds: insecure.NewCredentials(), dial: c.Dial,
	}
	if m.dial == nil {
		m.dial = dialTCP
	}
	if c.TLS != nil {
		m.creds = credentials.NewTLS(c.TLS)
	}
	return m
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// dialAndRecord opens a connection and records whether the host refused it.
func (m *Mesh) dialAndRecord(ctx context.Context, address string) (net.Conn, error) {
	c, err := m.dial(ctx, address)
	var netErr net.Error
	timedOut := ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[address] = err != nil && !timedOut
	return c, err
}

// Refused reports whether the host of an address refused the last connection.
func (m *Mesh) Refused(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused[address]
}

// Conn returns the connection to an address for a use. It is established by the first
// call.
func (m *Mesh) Conn(address, use string) (*grpc.ClientConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, Error.New("mesh is closed")
	}
	if c := m.conns[connKey{address, use}]; c != nil {
		return c, nil
	}
	options := append(conns.DialOptions(),
		grpc.WithTransportCredentials(m.creds),
		grpc.WithContextDialer(m.dialAndRecord),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: firstBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
	)
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	m.conns[connKey{address, use}] = c
	return c, nil
}

// Replace removes a connection on which a call timed out, so that new calls use
// another one. Pending calls may run on until replacedTimeout: the timeout of that
// call may have been short and the connection healthy.
func (m *Mesh) Replace(address, use string, c *grpc.ClientConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := connKey{address, use}
	if m.conns[key] != c {
		return
	}
	delete(m.conns, key)
	m.replaced[c] = true
	time.AfterFunc(replacedTimeout, func() { m.closeReplaced(c) })
}

// closeReplaced closes a replaced connection.
func (m *Mesh) closeReplaced(c *grpc.ClientConn) {
	m.mu.Lock()
	delete(m.replaced, c)
	m.mu.Unlock()
	// Calls that are still pending fail. An error of Close needs no handling.
	_ = c.Close()
}

// Close closes all connections and prevents new ones.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	var open []*grpc.ClientConn
	for _, c := range m.conns {
		open = append(open, c)
	}
	for c := range m.replaced {
		open = append(open, c)
	}
	m.conns = nil
	m.mu.Unlock()
	for _, c := range open {
		// The process is about to exit, so the error needs no handling.
		_ = c.Close()
	}
}
