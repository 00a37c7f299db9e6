package dials

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
	// probeEvery is the interval of probes on a connection with calls.
	probeEvery = 500 * time.Millisecond
	// silentAfter is how long a probe may go unanswered. Together with
	// probeEvery it replaces a silent connection after 1.5 s, which leaves 0.5 s
	// of the 2 s of section 10 of the design page to a busy host.
	silentAfter = time.Second
	// idleAfter is how long an unused connection is kept.
	idleAfter = 10 * time.Minute
	// dialFirst and dialMax bound the pause between tries to connect, and
	// dialTimeout one try.
	dialFirst   = 50 * time.Millisecond
	dialMax     = time.Second
	dialTimeout = time.Second
	// maxMessage bounds a message, in bytes.
	maxMessage = 64 << 20
)

// Config makes a Pool.
type Config struct {
	// TLS is nil for plaintext.
	TLS *tls.Config
	// Probe asks the process behind a connection for a sign of life.
	Probe   func(ctx context.Context, conn grpc.ClientConnInterface) error
	Events  chestnutpond.EventSink
	Metrics *stats.Registry
}

// Pool holds one connection for each address.
type Pool struct {
	cfg Config

	// mu guards conns; it is taken before a Conn's mu, never after.
	mu    sync.Mutex
	conns map[string]*Conn
}

// Conn is one connection and the calls on it.
type Conn struct {
	client  *grpc.ClientConn
	address string

	mu sync.Mutex
	// calls is the number of calls outstanding.
	calls int
	// used is when the last call began or ended.
	used time.Time
	// probing means that a probe is under way.
	probing bool
	// closed means that the connection was replaced.
	closed bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, conns: make(map[string]*Conn)}
}

// Get returns a connection to address for one call. The caller calls the
// returned function when the call is over.
func (p *Pool) Get(address string) (grpc.ClientConnInterface, func(), error) {
	c, err := p.get(address)
	if err != nil {
		return nil, nil, err
	}
	return c.client, c.end, nil
}

func (p *Pool) get(address string) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[address]
	if !ok {
		client, err := grpc.NewClient("passthrough:///"+address, p.options()...)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		c = &Conn{client: client, address: address}
		p.conns[address] = c
	}
	c.begin()
	return c, nil
}

// Ready returns nil once the connection to address is established. After an
// error, nothing was sent on it, so a call that was to follow provably did not
// run. Nil is no promise for that call: the state of a connection changes some
// microseconds after its calls have failed.
func (p *Pool) Ready(ctx context.Context, address string) error {
	c, err := p.get(address)
	if err != nil {
		return err
	}
	defer c.end()
	client := c.client
	for {
		state := client.GetState()
		if state == connectivity.Ready {
			return nil
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			p.drop(c)
			return Error.New("connection to %s is in state %s", address, state)
		}
		client.Connect()
		if !client.WaitForStateChange(ctx, state) {
			return Error.Wrap(ctx.Err())
		}
	}
}

func (p *Pool) options() []grpc.DialOption {
	creds := insecure.NewCredentials()
	if p.cfg.TLS != nil {
		creds = credentials.NewTLS(p.cfg.TLS)
	}
	return append(conns.DialOptions(),
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: dialMax},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	)
}

// Run probes the connections until ctx ends, then closes them all.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return nil
		case <-ticker.C:
		}
		for _, c := range p.list() {
			p.check(ctx, c)
		}
	}
}

func (p *Pool) list() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Conn, 0, len(p.conns))
	for _, c := range p.conns {
		list = append(list, c)
	}
	return list
}

// check probes a connection that has calls, and drops one that has been idle.
func (p *Pool) check(ctx context.Context, c *Conn) {
	calls, used := c.load()
	if calls == 0 {
		if time.Since(used) > idleAfter {
			p.drop(c)
		}
		return
	}
	// A connection that is in constant use is probed too: calls that begin on it
	// are no sign of life.
	if p.cfg.Probe == nil || !c.beginProbe() {
		return
	}
	probe := &probe{pool: p, conn: c}
	go probe.run(ctx)
}

// Replace closes a connection that Get returned for the address, so that the
// next call gets a new one. If that has happened already, nothing is closed:
// the calls on the new connection go on.
func (p *Pool) Replace(address string, conn grpc.ClientConnInterface) {
	p.mu.Lock()
	c, ok := p.conns[address]
	p.mu.Unlock()
	if ok && c.client == conn {
		p.drop(c)
	}
}

func (p *Pool) drop(c *Conn) {
	p.mu.Lock()
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
	p.mu.Unlock()
	if c.close() {
		_ = c.client.Close()
	}
}

// dropIdle closes the connections without calls that were last used before the
// time. What silenced one connection may have silenced them too, and the call that
// is repeated after the loss of one must not wait for the loss of the next.
func (p *Pool) dropIdle(before time.Time) {
	for _, c := range p.takeIdle(before) {
		if c.close() {
			_ = c.client.Close()
		}
	}
}

// takeIdle removes these connections under mu, so that no call begins on one.
func (p *Pool) takeIdle(before time.Time) (idle []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if calls, used := c.load(); calls == 0 && used.Before(before) {
			delete(p.conns, address)
			idle = append(idle, c)
		}
	}
	return idle
}

func (p *Pool) closeAll() {
	for _, c := range p.list() {
		p.drop(c)
	}
}

func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.used = time.Now()
}

func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.used = time.Now()
}

func (c *Conn) load() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.used
}

// beginProbe reports whether no probe is under way yet.
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

func (c *Conn) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.closed
	c.closed = true
	return first
}

// probe is one sign of life asked of a connection.
type probe struct {
	pool *Pool
	conn *Conn
}

func (r *probe) run(ctx context.Context) {
	defer r.conn.endProbe()
	pctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	began := time.Now()
	err := r.pool.cfg.Probe(pctx, r.conn.client)
	if err == nil || ctx.Err() != nil || pctx.Err() == nil {
		return
	}
	r.pool.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventConnReplaced, Upstream: r.conn.address})
	r.pool.cfg.Metrics.Counter("connections_replaced_total", "Connections closed because they went silent.").Inc(1)
	r.pool.dropIdle(began)
	r.pool.drop(r.conn)
}
