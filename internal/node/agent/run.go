package agent

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/oklog/run"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/slots"
	"github.com/chestnutpond/chestnutpond/internal/node/links"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
)

const (
	// drainLimit bounds a drain.
	drainLimit = 30 * time.Second
	// preemptWindow is how long a draining agent keeps its tasks running, so that
	// the scheduler can preempt them with a checkpoint. The rest of drainLimit is
	// for the checkpoints that the agent requests itself and for the stop calls.
	preemptWindow = 20 * time.Second
	// drainCheckpointLimit bounds the checkpoints that a draining agent requests.
	drainCheckpointLimit = 9 * time.Second
	// drainPoll is the interval at which a draining agent checks whether it is idle.
	drainPoll = 50 * time.Millisecond
	// finalRowDelay is the time allowed for the last row to reach the home entry.
	finalRowDelay = 200 * time.Millisecond
	// keepaliveTime and keepaliveTimeout close a connection to this agent on which
	// nothing was received for 15 s. The fence tables rely on that bound.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
)

func newServer(cfg *tls.Config, contained *guard.Guard) *grpc.Server {
	options := append(conns.ServerOptions(), contained.ServerOptions()...)
	options = append(options,
		grpc.MaxRecvMsgSize(links.MaxMessage),
		grpc.MaxSendMsgSize(links.MaxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	if cfg != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(cfg)))
	}
	return grpc.NewServer(options...)
}

// Run serves until ctx is cancelled and then drains. During the drain new work is
// refused, open requests finish, and tasks keep running so that the scheduler can
// move them. Tasks that remain after preemptWindow are stopped with a checkpoint.
// Run returns nil after a drain, and an error if a component of the agent failed.
func (a *Agent) Run(ctx context.Context) error {
	var group run.Group
	a.addActor(&group, a.announcer.run)
	a.addActor(&group, (&taskWatcher{agent: a}).run)
	if a.cfg.Upstream != nil {
		a.addActor(&group, (&prober{agent: a}).run)
	}
	for range a.cfg.Slots {
		a.addActor(&group, (&requestRunner{agent: a}).run)
	}
	if a.server != nil {
		group.Add(func() error { return a.server.Serve(a.listener) }, func(error) { a.server.Stop() })
	}
	// Cancelling ctx only starts the drain; the loops run until the drain is over.
	// The drain is aborted when another component of the agent fails.
	abort, cancel := context.WithCancel(context.Background())
	group.Add(
		func() error { return a.drain(ctx, abort) },
		func(error) { cancel(); a.cancelWork() },
	)
	a.cfg.Log.Info("agent: serving", "address", a.address, "incarnation", a.cfg.Incarnation)
	err := group.Run()
	a.tasksMu.Lock()
	a.tasksClosed = true
	a.tasksMu.Unlock()
	a.cancelWork()
	a.tasks.Wait()
	a.net.Close()
	a.cfg.Log.Info("agent: stopped")
	return err
}

// addActor adds a loop whose context is cancelled when the group ends.
func (a *Agent) addActor(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// drain waits until ctx is cancelled and drains the agent. It returns early when
// abort is cancelled.
func (a *Agent) drain(ctx, abort context.Context) error {
	select {
	case <-ctx.Done():
	case <-abort.Done():
		return nil
	}
	began := time.Now()
	a.slots.Drain()
	a.gangs.Drain()
	a.record(chestnutpond.Event{Kind: chestnutpond.EventDraining})
	a.cfg.Log.Info("agent: draining", "open_requests", a.slots.Status().Busy, "tasks", len(a.gangs.Live()))
	stopped := false
	for time.Since(began) < drainLimit-finalRowDelay && abort.Err() == nil {
		live := len(a.gangs.Live())
		if live == 0 && a.slots.Status().Busy == 0 {
			break
		}
		if live > 0 && !stopped && time.Since(began) >= preemptWindow {
			stopped = true
			a.gangs.StopAll(drainCheckpointLimit, "the agent is stopped", time.Now())
		}
		waitUntil(abort, time.Now().Add(drainPoll), nil)
	}
	// The last row reports to the entries how the tasks ended.
	waitUntil(abort, time.Now().Add(finalRowDelay), nil)
	return nil
}

// requestRunner is a goroutine of the pool that runs requests on the upstream.
type requestRunner struct {
	agent *Agent
}

func (r *requestRunner) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case attempt := <-r.agent.attempts:
			r.agent.serveAttempt(attempt)
		}
	}
}

// prober checks periodically whether the upstream is ready.
type prober struct {
	agent *Agent
}

const (
	// probeInterval is the interval between readiness checks of the upstream.
	probeInterval = time.Second
	// probeTimeout bounds one readiness check.
	probeTimeout = 500 * time.Millisecond
)

func (p *prober) run(ctx context.Context) error {
	for {
		p.check(ctx)
		if waitUntil(ctx, time.Now().Add(probeInterval), p.agent.probeNow) == ctxDone {
			return nil
		}
	}
}

func (p *prober) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := p.agent.cfg.Upstream.Ready(ctx)
	if !p.agent.slots.SetUpstreamUp(err == nil) {
		return
	}
	if err != nil {
		p.agent.cfg.Log.Warn("agent: upstream is down", "error", err)
		p.agent.record(chestnutpond.Event{Kind: chestnutpond.EventUpstreamLost, Detail: err.Error()})
		return
	}
	p.agent.cfg.Log.Info("agent: upstream is up")
	p.agent.record(chestnutpond.Event{Kind: chestnutpond.EventJoined})
}

// enqueue passes an admitted attempt to the pool.
func (a *Agent) enqueue(attempt *slots.Attempt) { a.attempts <- attempt }
