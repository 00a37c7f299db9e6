package pool

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
	// replaceTimeout is how long the pool takes at most to replace an unresponsive
	// connection; see probeTimeout.
	replaceTimeout = probeInterval + probeTimeout
	// margin allows for scheduling delays on a busy test machine.
	margin = time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blackhole is a toxic that drops the data of the connections that exist when it
// is added, and forwards the data of later ones.
type blackhole struct{}

// blackholing is set while a blackhole is being added to the open connections.
var blackholing atomic.Bool

func init() { toxics.Register("hush", &blackhole{}) }

// NewState implements toxics.StatefulToxic; each connection gets its own.
func (*blackhole) NewState() interface{} { return blackholing.Load() }

// Pipe implements toxics.Toxic.
func (*blackhole) Pipe(stub *toxics.ToxicStub) {
	drop, _ := stub.State.(bool)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !drop {
				stub.Output <- chunk
			}
		}
	}
}

// hangingServer answers pings and blocks requests until they are cancelled.
type hangingServer struct {
	inner.UnimplementedAgentServer

	// received counts the requests that arrived.
	received atomic.Int64
}

func (s *hangingServer) Ping(context.Context, *inner.PingRequest) (*inner.PingReply, error) {
	return &inner.PingReply{}, nil
}

func (s *hangingServer) Serve(ctx context.Context, _ *inner.ServeRequest) (*inner.ServeReply, error) {
	s.received.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// proxiedPool is a pool with a server behind a proxy.
type proxiedPool struct {
	t       *testing.T
	pool    *Pool
	server  *hangingServer
	proxy   *toxiproxy.Proxy
	ring    *events.Ring
	metrics *stats.Registry
}

func ping(ctx context.Context, conn grpc.ClientConnInterface) error {
	_, err := inner.NewAgentClient(conn).Ping(ctx, &inner.PingRequest{})
	return err
}

func newProxiedPool(t *testing.T) *proxiedPool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxiedPool{
		t: t, server: &hangingServer{}, metrics: stats.New(),
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

// blackholeOpenConns drops all further data on the open connections.
func (p *proxiedPool) blackholeOpenConns() {
	p.t.Helper()
	blackholing.Store(true)
	defer blackholing.Store(false)
	for _, stream := range []string{"upstream", "downstream"} {
		_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(`{"name": "hush_` + stream + `", "type": "hush", "stream": "` + stream + `"}`))
		assert.NilError(p.t, err)
	}
}

// call makes one call on a connection from the pool.
func (p *proxiedPool) call(timeout time.Duration, do func(context.Context, inner.AgentClient) error) error {
	conn, done, err := p.pool.Get(p.proxy.Listen)
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return do(ctx, inner.NewAgentClient(conn))
}

func (p *proxiedPool) ping(timeout time.Duration) error {
	return p.call(timeout, func(ctx context.Context, agent inner.AgentClient) error {
		_, err := agent.Ping(ctx, &inner.PingRequest{})
		return err
	})
}

// startPendingCall starts a call that is never answered. The returned channel gets
// the call's error.
func (p *proxiedPool) startPendingCall() <-chan error {
	p.t.Helper()
	before := p.server.received.Load()
	ended := make(chan error, 1)
	go func() {
		ended <- p.call(time.Minute, func(ctx context.Context, agent inner.AgentClient) error {
			_, err := agent.Serve(ctx, &inner.ServeRequest{})
			return err
		})
	}()
	for end := time.Now().Add(10 * time.Second); p.server.received.Load() == before; time.Sleep(time.Millisecond) {
		assert.Assert(p.t, time.Now().Before(end), "the call did not reach the server")
	}
	return ended
}

// TestSilentConnectionIsReplaced guards against calls that hang on an unresponsive
// connection while new connections work: the connection must be replaced, its
// calls must fail at once, and later calls must succeed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct {
		calls int
		// busy means that further calls start on the unresponsive connection.
		busy bool
	}{
		"one call":            {calls: 1},
		"many calls":          {calls: 64},
		"in constant use":     {calls: 1, busy: true},
		"many and in use too": {calls: 64, busy: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProxiedPool(t)
			assert.NilError(t, p.ping(5*time.Second))
			var pending []<-chan error
			for range tt.calls {
				pending = append(pending, p.startPendingCall())
			}
			p.blackholeOpenConns()
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
			for _, ended := range pending {
				select {
				case err := <-ended:
					code := status.Code(err)
					assert.Assert(t, code == codes.Canceled || code == codes.Unavailable, "%v", err)
				case <-time.After(replaceTimeout + margin - time.Since(silent)):
					t.Fatalf("a call still hangs %v after the connection became unresponsive", time.Since(silent))
				}
			}
			stop()
			busy.Wait()
			assert.NilError(t, p.ping(margin))
			assert.Equal(t, p.replaced(), 1)
		})
	}
}

// TestSilentConnectionClosesIdleOnes guards against a retried call that waits for
// the probe timeout of a second connection, which became unresponsive while it had
// no calls. It also guards against closing a connection with calls that still
// answers.
func TestSilentConnectionClosesIdleOnes(t *testing.T) {
	p := newProxiedPool(t)
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
	ended := p.startPendingCall()
	p.blackholeOpenConns()
	assert.Assert(t, <-ended != nil)
	second, done := get(idle)
	done()
	assert.Assert(t, second != first, "the idle connection was not closed")
	still, done := get(inUse)
	done()
	assert.Assert(t, still == open, "a live connection with calls was closed")
}

// replaced returns the number of connections replaced according to the events.
func (p *proxiedPool) replaced() int {
	list, _, _ := p.ring.Newest(events.Filter{}, 0)
	n := 0
	for _, e := range list {
		if e.Kind == chestnutpond.EventConnReplaced {
			n++
		}
	}
	return n
}

// TestReplaceKeepsNewerConnection guards against a call that timed out on an
// already replaced connection and closes the newer one together with its calls.
func TestReplaceKeepsNewerConnection(t *testing.T) {
	p := newProxiedPool(t)
	first, done, err := p.pool.Get(p.proxy.Listen)
	assert.NilError(t, err)
	defer done()
	p.pool.Replace(p.proxy.Listen, first)
	ended := p.startPendingCall()
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
	assert.Assert(t, third == second, "Replace of an older connection closed the current one")
	p.pool.Replace(p.proxy.Listen, second)
	assert.Equal(t, status.Code(<-ended), codes.Canceled)
}

// awaitNotReady waits until the pool closes the connection to the proxy. A call
// can fail some microseconds before the state of its connection changes.
func (p *proxiedPool) awaitNotReady() {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), margin)
	defer cancel()
	for p.pool.Ready(ctx, p.proxy.Listen) == nil {
		assert.NilError(p.t, ctx.Err(), "the process is stopped, but its connection is still ready")
		time.Sleep(time.Millisecond)
	}
}

// TestSlowAndStoppedProcess guards against replacing the connection to a slow
// process that still answers probes, and against keeping the connection to a
// stopped process or not reconnecting after its restart.
func TestSlowAndStoppedProcess(t *testing.T) {
	p := newProxiedPool(t)
	ended := p.startPendingCall()
	select {
	case err := <-ended:
		t.Fatalf("a pending call to a live process was cancelled: %v", err)
	case <-time.After(2 * replaceTimeout):
	}
	assert.Equal(t, p.replaced(), 0)
	p.proxy.Stop()
	assert.Equal(t, status.Code(<-ended), codes.Unavailable)
	p.awaitNotReady()
	assert.NilError(t, p.proxy.Start())
	for end := time.Now().Add(10 * time.Second); p.pool.Ready(context.Background(), p.proxy.Listen) != nil; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the process was restarted, but no connection was established")
	}
	assert.NilError(t, p.ping(margin))
}
