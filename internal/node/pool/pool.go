package pool

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
)

// Error is the class of this package's errors.
var Error = errs.Class("dials")

const (
	// probeInterval is the interval between probes of a connection with
	// outstanding calls.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the limit of one probe. With probeInterval, an unresponsive
	// connection is replaced after 1.5 s. Section 10 of the design page allows
	// 2 s; the remaining 0.5 s are for scheduling delays on a busy host.
	probeTimeout = time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 10 * time.Minute
	// initialBackoff and maxBackoff bound the delay between connection attempts,
	// and dialTimeout bounds one attempt.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	dialTimeout    = time.Second
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 64 << 20
)

// Config configures a Pool.
type Config struct {
	// TLS is nil for plaintext.
	TLS *tls.Config
	// Probe checks that the remote process answers on the connection; if it is
	// nil, connections are not probed.
	Probe   func(ctx context.Context, conn grpc.ClientConnInterface) error
	Events  chestnutpond.EventSink
	Metrics *stats.Registry
}

// Pool keeps one connection per address.
type Pool struct {
	cfg Config

	// mu guards conns; it is taken before a Conn's mu, never after.
	mu    sync.Mutex
	conns map[string]*Conn
}

// Conn is a connection with the number of its outstanding calls.
type Conn struct {
	client  *grpc.ClientConn
	address string

	mu sync.Mutex
	// calls is the number of outstanding calls.
	calls int
	// lastUsed is when a call last started or ended.
	lastUsed time.Time
	// probing is set while a probe is in progress.
	probing bool
	// closed is set once the pool has closed the connection.
	closed bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, conns: make(map[string]*Conn)}
}

// Get returns a connection to address for one call. The caller must call the
// returned function when that call has ended.
func (p *Pool) Get(address string) (grpc.ClientConnInterface, func(), error) {
	c, err := p.acquire(address)
	if err != nil {
		return nil, nil, err
	}
	return c.client, c.endCall, nil
}

func (p *Pool) acquire(address string) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[address]
	if !ok {
		client, err := grpc.NewClient("passthrough:///"+address, p.dialOptions()...)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		c = &Conn{client: client, address: address}
		p.conns[address] = c
	}
	c.beginCall()
	return c, nil
}

// Ready returns nil once the connection to address is established. If it returns
// an error, nothing was sent, so the call that was to follow provably did not run.
// A nil error does not guarantee that the call can be sent: the state of a
// connection changes some microseconds after its calls have failed.
func (p *Pool) Ready(ctx context.Context, address string) error {
	c, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer c.endCall()
	client := c.client
	for {
		state := client.GetState()
		if state == connectivity.Ready {
			return nil
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			p.closeConn(c)
			return Error.New("connection to %s is in state %s", address, state)
		}
		client.Connect()
		if !client.WaitForStateChange(ctx, state) {
			return Error.Wrap(ctx.Err())
		}
	}
}

func (p *Pool) dialOptions() []grpc.DialOption {
	creds := insecure.NewCredentials()
	if p.cfg.TLS != nil {
		creds = credentials.NewTLS(p.cfg.TLS)
	}
	return append(conns.DialOptions(),
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
}

// Run probes the connections until ctx ends, and then closes all of them.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return nil
		case <-ticker.C:
		}
		for _, c := range p.openConns() {
			p.checkConn(ctx, c)
		}
	}
}

func (p *Pool) openConns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Conn, 0, len(p.conns))
	for _, c := range p.conns {
		list = append(list, c)
	}
	return list
}

// checkConn probes c if it has outstanding calls, and closes it if it has been
// unused for longer than idleTimeout.
func (p *Pool) checkConn(ctx context.Context, c *Conn) {
	calls, used := c.usage()
	if calls == 0 {
		if time.Since(used) > idleTimeout {
			p.closeConn(c)
		}
		return
	}
	// A connection in constant use is probed too: calls that start on it do not
	// show that the remote process answers.
	if p.cfg.Probe == nil || !c.beginProbe() {
		return
	}
	probe := &probe{pool: p, conn: c}
	go probe.run(ctx)
}

// Replace closes a connection that Get returned for address, so that the next
// call gets a new one. It does nothing if the connection was already replaced;
// calls on the newer connection continue.
func (p *Pool) Replace(address string, conn grpc.ClientConnInterface) {
	p.mu.Lock()
	c, ok := p.conns[address]
	p.mu.Unlock()
	if ok && c.client == conn {
		p.closeConn(c)
	}
}

func (p *Pool) closeConn(c *Conn) {
	p.mu.Lock()
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
	p.mu.Unlock()
	if c.markClosed() {
		_ = c.client.Close()
	}
}

// closeIdle closes the connections without outstanding calls that were last used
// before the given time. The fault that broke one connection may have broken these
// too, and a call that is retried after one probe timeout must not wait for a
// second one.
func (p *Pool) closeIdle(before time.Time) {
	for _, c := range p.removeIdle(before) {
		if c.markClosed() {
			_ = c.client.Close()
		}
	}
}

// removeIdle removes these connections from the pool and returns them. It holds
// mu throughout, so that no call starts on one of them.
func (p *Pool) removeIdle(before time.Time) (idle []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if calls, used := c.usage(); calls == 0 && used.Before(before) {
			delete(p.conns, address)
			idle = append(idle, c)
		}
	}
	return idle
}

func (p *Pool) closeAll() {
	for _, c := range p.openConns() {
		p.closeConn(c)
	}
}

func (c *Conn) beginCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.lastUsed = time.Now()
}

func (c *Conn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.lastUsed = time.Now()
}

func (c *Conn) usage() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.lastUsed
}

// beginProbe marks c as being probed. It reports whether no probe was in progress.
func (c *Conn) beginProbe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.probing
	c.probing = true
	return first
}

func (c *Conn) endProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
}

func (c *Conn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.closed
	c.closed = true
	return first
}

// probe is one liveness check of a connection.
type probe struct {
	pool *Pool
	conn *Conn
}

func (r *probe) run(ctx context.Context) {
	defer r.conn.endProbe()
	pctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := r.pool.cfg.Probe(pctx, r.conn.client)
	if err == nil || ctx.Err() != nil || pctx.Err() == nil {
		return
	}
	r.pool.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventConnReplaced, Upstream: r.conn.address})
	r.pool.cfg.Metrics.Counter("connections_replaced_total", "Connections closed because they went silent.").Inc(1)
	r.pool.closeIdle(began)
	r.pool.closeConn(r.conn)
}
