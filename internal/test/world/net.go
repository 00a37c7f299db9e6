package world

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// network connects the processes of a world in memory. Between two hosts it can
// be cut, which holds every byte up until the cut is healed.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[pair]bool
	conns     map[*conn]bool
	healed    chan struct{}
}

// pair is a direction between two hosts.
type pair struct{ from, to string }

func newNetwork() *network {
	return &network{
		listeners: map[string]*listener{}, cuts: map[pair]bool{}, conns: map[*conn]bool{}, healed: make(chan struct{}),
	}
}

// errRefused is the error of a dial to a host on which nothing listens.
var errRefused = errors.New("connection refused")

// port is the only port of each host.
const port = "7000"

// addressOf returns the address that a host listens on.
func addressOf(host string) string { return net.JoinHostPort(host, port) }

// listen opens the port of a host.
func (n *network) listen(host string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, host: host, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[host] = l
	return l
}

// dialer returns the dial function of a host.
func (n *network) dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if err := n.passable(ctx.Done(), from, to); err != nil {
			return nil, err
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		a, b := net.Pipe()
		near := &conn{Conn: a, network: n, from: from, to: to, closed: make(chan struct{})}
		far := &conn{Conn: b, network: n, from: to, to: from, closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[near], n.conns[far] = true, true
		n.mu.Unlock()
		select {
		case l.incoming <- far:
			return near, nil
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// passable waits while the way is cut.
func (n *network) passable(done <-chan struct{}, from, to string) error {
	for {
		n.mu.Lock()
		cut, healed := n.cuts[pair{from, to}], n.healed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-done:
			return context.DeadlineExceeded
		case <-healed:
		}
	}
}

// cut holds up what goes between two hosts, in both directions.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair{a, b}], n.cuts[pair{b, a}] = true, true
}

// heal ends all cuts of a host.
func (n *network) heal(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.cuts {
		if p.from == host || p.to == host {
			delete(n.cuts, p)
		}
	}
	close(n.healed)
	n.healed = make(chan struct{})
}

// reset closes the connections of a host.
func (n *network) reset(host string) {
	n.mu.Lock()
	var all []*conn
	for c := range n.conns {
		if c.from == host || c.to == host {
			all = append(all, c)
		}
	}
	n.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// listener is the port of a host.
type listener struct {
	network  *network
	host     string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.host] == l {
			delete(l.network.listeners, l.host)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.host) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// latency is the delay of every write.
const latency = time.Millisecond

// conn is one end of a connection.
type conn struct {
	net.Conn

	network  *network
	from, to string
	once     sync.Once
	closed   chan struct{}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	time.Sleep(latency)
	if err := c.network.passable(c.closed, c.from, c.to); err != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
