package dials

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// replaceLimit is the bound of the design page for a silent connection.
	replaceLimit = probeEvery + silentAfter
	// margin covers the scheduling of a busy test machine.
	margin = time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// hush swallows the data of the connections that exist when it is added, and
// passes that of later ones.
type hush struct{}

// hushing is true while a hush is being added to the open connections.
var hushing atomic.Bool

func init() { toxics.Register("hush", &hush{}) }

// NewState implements toxics.StatefulToxic; each connection gets its own.
func (*hush) NewState() interface{} { return hushing.Load() }

// Pipe implements toxics.Toxic.
func (*hush) Pipe(stub *toxics.ToxicStub) {
	silent, _ := stub.State.(bool)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !silent {
				stub.Output <- chunk
			}
		}
	}
}

// server answers pings and holds requests until their callers give up.
type server struct {
	inner.UnimplementedAgentServer

	// held counts the requests that arrived.
	held atomic.Int64
}

func (s *server) Ping(context.Context, *inner.PingRequest) (*inner.PingReply, error) {
	return &inner.PingReply{}, nil
}

func (s *server) Serve(ctx context.Context, _ *inner.ServeRequest) (*inner.ServeReply, error) {
	s.held.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// path is a pool, a server, and a proxy between them.
type path struct {
	t       *testing.T
	pool    *Pool
	server  *server
	proxy   *toxiproxy.Proxy
	ring    *events.Ring
	metrics *stats.Registry
}

func ping(ctx context.Context, conn grpc.ClientConnInterface) error {
	_, err := inner.NewAgentClient(conn).Ping(ctx, &inner.PingRequest{})
	return err
}

func newPath(t *testing.T) *path {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &path{
		t: t, server: &server{}, metrics: stats.New(),
		ring: events.New(events.Config{Process: "entry-1", Incarnation: 1}),
	}
	g := grpc.NewServer()
	inner.RegisterAgentServer(g, p.server)
	var running sync.WaitGroup
	running.Go(func() { _ = g.Serve(listener) })
	parent := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p.proxy = toxiproxy.NewProxy(parent, t.Name(), "127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, p.proxy.Start())
	p.pool = New(Config{Probe: ping, Events: p.ring, Metrics: p.metrics})
	ctx, stop := context.WithCancel(context.Background())
	running.Go(func() { _ = p.pool.Run(ctx) })
	t.Cleanup(func() {
		stop()
		g.Stop()
		p.proxy.Stop()
		running.Wait()
	})
	return p
}

// silence stops the data on the open connections for good.
func (p *path) silence() {
	p.t.Helper()
	hushing.Store(true)
	defer hushing.Store(false)
	for _, stream := range []string{"upstream", "downstream"} {
		_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(`{"name": "hush_` + stream + `", "type": "hush", "stream": "` + stream + `"}`))
		assert.NilError(p.t, err)
	}
}

// call makes one call on a connection of the pool.
func (p *path) call(timeout time.Duration, do func(context.Context, inner.AgentClient) error) error {
	conn, done, err := p.pool.Get(p.proxy.Listen)
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return do(ctx, inner.NewAgentClient(conn))
}

func (p *path) ping(timeout time.Duration) error {
	return p.call(timeout, func(ctx context.Context, agent inner.AgentClient) error {
		_, err := agent.Ping(ctx, &inner.PingRequest{})
		return err
	})
}

// hold makes a call that is never answered, and returns its end.
func (p *path) hold() <-chan error {
	p.t.Helper()
	before := p.server.held.Load()
	ended := make(chan error, 1)
	go func() {
		ended <- p.call(time.Minute, func(ctx context.Context, agent inner.AgentClient) error {
			_, err := agent.Serve(ctx, &inner.ServeRequest{})
			return err
		})
	}()
	for end := time.Now().Add(10 * time.Second); p.server.held.Load() == before; time.Sleep(time.Millisecond) {
		assert.Assert(p.t, time.Now().Before(end), "the call did not arrive")
	}
	return ended
}

// Guards against calls that hang on a connection that went silent while new ones
// work: it must be replaced, its calls must fail at once, and later calls work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct {
		calls int
		// busy means that calls go on to begin on the silent connection.
		busy bool
	}{
		"one call":            {calls: 1},
		"many calls":          {calls: 64},
		"in constant use":     {calls: 1, busy: true},
		"many and in use too": {calls: 64, busy: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPath(t)
			assert.NilError(t, p.ping(5*time.Second))
			var held []<-chan error
			for range tt.calls {
				held = append(held, p.hold())
			}
			p.silence()
			silent := time.Now()
			ctx, stop := context.WithCancel(context.Background())
			var busy sync.WaitGroup
			if tt.busy {
				busy.Go(func() {
					for ctx.Err() == nil {
						_ = p.ping(50 * time.Millisecond)
					}
				})
			}
			for _, ended := range held {
				select {
				case err := <-ended:
					code := status.Code(err)
					assert.Assert(t, code == codes.Canceled || code == codes.Unavailable, "%v", err)
				case <-time.After(replaceLimit + margin - time.Since(silent)):
					t.Fatalf("a call hangs %v after the connection went silent", time.Since(silent))
				}
			}
			stop()
			busy.Wait()
			assert.NilError(t, p.ping(margin))
			assert.Equal(t, p.replaced(), 1)
		})
	}
}

// Guards against a repeated call that waits for the loss of a second connection,
// which went silent while it had no calls, and against calls that are cut off on
// a connection that still answers.
func TestSilenceDropsIdleConnections(t *testing.T) {
	p := newPath(t)
	get := func(address string) (grpc.ClientConnInterface, func()) {
		conn, done, err := p.pool.Get(address)
		assert.NilError(t, err)
		return conn, done
	}
	idle, inUse := p.proxy.Upstream, strings.Replace(p.proxy.Upstream, "127.0.0.1", "localhost", 1)
	first, done := get(idle)
	done()
	open, doneOpen := get(inUse)
	defer doneOpen()
	ended := p.hold()
	p.silence()
	assert.Assert(t, <-ended != nil)
	second, done := get(idle)
	done()
	assert.Assert(t, second != first, "the idle connection is still in use")
	still, done := get(inUse)
	done()
	assert.Assert(t, still == open, "a connection with calls that answers was dropped")
}

// replaced returns how many connections were replaced, by the events.
func (p *path) replaced() int {
	list, _, _ := p.ring.Newest(events.Filter{}, 0)
	n := 0
	for _, e := range list {
		if e.Kind == chestnutpond.EventConnReplaced {
			n++
		}
	}
	return n
}

// Guards against a call that timed out on a replaced connection and cuts off the
// calls on its successor.
func TestReplaceSparesTheSuccessor(t *testing.T) {
	p := newPath(t)
	first, done, err := p.pool.Get(p.proxy.Listen)
	assert.NilError(t, err)
	defer done()
	p.pool.Replace(p.proxy.Listen, first)
	ended := p.hold()
	second, doneSecond, err := p.pool.Get(p.proxy.Listen)
	assert.NilError(t, err)
	defer doneSecond()
	assert.Assert(t, second != first)
	for range 3 {
		p.pool.Replace(p.proxy.Listen, first)
	}
	third, doneThird, err := p.pool.Get(p.proxy.Listen)
	assert.NilError(t, err)
	defer doneThird()
	assert.Assert(t, third == second, "the successor was replaced")
	p.pool.Replace(p.proxy.Listen, second)
	assert.Equal(t, status.Code(<-ended), codes.Canceled)
}

// awaitNotReady waits until the pool gives up the connection to the proxy. A call
// can fail some microseconds before its connection's state says so.
func (p *path) awaitNotReady() {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), margin)
	defer cancel()
	for p.pool.Ready(ctx, p.proxy.Listen) == nil {
		assert.NilError(p.t, ctx.Err(), "the process is stopped and its connection is still in use")
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection to a slow but living process that is replaced, and
// against one to a stopped process that is not given up or does not come back.
func TestLivingAndStoppedProcess(t *testing.T) {
	p := newPath(t)
	ended := p.hold()
	select {
	case err := <-ended:
		t.Fatalf("a call without an answer yet was cut off: %v", err)
	case <-time.After(2 * replaceLimit):
	}
	assert.Equal(t, p.replaced(), 0)
	p.proxy.Stop()
	assert.Equal(t, status.Code(<-ended), codes.Unavailable)
	p.awaitNotReady()
	assert.NilError(t, p.proxy.Start())
	for end := time.Now().Add(10 * time.Second); p.pool.Ready(context.Background(), p.proxy.Listen) != nil; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the process is back and no connection is")
	}
	assert.NilError(t, p.ping(margin))
}
