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
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
)

const (
	// drainLimit bounds a graceful stop.
	drainLimit = 30 * time.Second
	// moveLimit is how long a draining agent keeps its tasks running, so that
	// the scheduler can preempt them with a checkpoint. The rest of drainLimit
	// remains for the agent's own checkpoints and the stop calls.
	moveLimit = 20 * time.Second
	// lastCheckpoint bounds the checkpoints that the agent asks for itself.
	lastCheckpoint = 9 * time.Second
	// drainPoll is how often a draining agent looks whether it is done.
	drainPoll = 50 * time.Millisecond
	// farewell is how long the last row may take to reach the home entry.
	farewell = 200 * time.Millisecond
	// probeAfter and probeTimeout close a connection to this agent that is
	// silent for 15 s. The tables of fences rely on that bound.
	probeAfter   = 10 * time.Second
	probeTimeout = 5 * time.Second
)

func newServer(cfg *tls.Config) *grpc.Server {
	options := append(conns.ServerOptions(),
		grpc.MaxRecvMsgSize(links.MaxMessage),
		grpc.MaxSendMsgSize(links.MaxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: probeAfter, Timeout: probeTimeout}),
	)
	if cfg != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(cfg)))
	}
	return grpc.NewServer(options...)
}

// Run serves until ctx ends and drains then. While it drains, new work is
// refused, open requests finish, and tasks run on so that the scheduler can move
// them. What is left near the end of drainLimit is stopped after a checkpoint.
// Run returns nil after a drain, and an error when a part of the agent failed.
func (a *Agent) Run(ctx context.Context) error {
	var group run.Group
	a.addActor(&group, a.home.run)
	a.addActor(&group, (&watcher{agent: a}).run)
	if a.cfg.Upstream != nil {
		a.addActor(&group, (&prober{agent: a}).run)
	}
	for range a.cfg.Slots {
		a.addActor(&group, (&server{agent: a}).run)
	}
	if a.server != nil {
		group.Add(func() error { return a.server.Serve(a.listener) }, func(error) { a.server.Stop() })
	}
	// ctx only starts the drain; the loops go on until the drain is over. The
	// drain is given up when another part of the agent has failed.
	abort, cancel := context.WithCancel(context.Background())
	group.Add(
		func() error { return a.drain(ctx, abort) },
		func(error) { cancel(); a.stopWork() },
	)
	a.cfg.Log.Info("agent: serving", "address", a.address, "incarnation", a.cfg.Incarnation)
	err := group.Run()
	a.admission.Lock()
	a.closed = true
	a.admission.Unlock()
	a.stopWork()
	a.tasks.Wait()
	a.net.Close()
	a.cfg.Log.Info("agent: stopped")
	return err
}

// addActor adds a loop that runs until the group ends.
func (a *Agent) addActor(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// drain waits for the end of ctx and empties the agent. It returns early when
// abort ends.
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
	for time.Since(began) < drainLimit-farewell && abort.Err() == nil {
		live := len(a.gangs.Live())
		if live == 0 && a.slots.Status().Busy == 0 {
			break
		}
		if live > 0 && !stopped && time.Since(began) >= moveLimit {
			stopped = true
			a.gangs.StopAll(lastCheckpoint, "the agent is stopped", time.Now())
		}
		wait(abort, time.Now().Add(drainPoll), nil)
	}
	// The last row tells the entries how the tasks ended.
	wait(abort, time.Now().Add(farewell), nil)
	return nil
}

// server is one goroutine of the pool that runs requests on the upstream.
type server struct {
	agent *Agent
}

func (s *server) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case attempt := <-s.agent.calls:
			s.agent.serveAttempt(attempt)
		}
	}
}

// prober watches whether the upstream takes requests.
type prober struct {
	agent *Agent
}

const (
	// probeEvery is the interval of readiness checks of the upstream.
	probeEvery = time.Second
	// probeLimit bounds one readiness check.
	probeLimit = 500 * time.Millisecond
)

func (p *prober) run(ctx context.Context) error {
	for {
		p.check(ctx)
		if wait(ctx, time.Now().Add(probeEvery), p.agent.probe) == ended {
			return nil
		}
	}
}

func (p *prober) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	err := p.agent.cfg.Upstream.Ready(ctx)
	if !p.agent.slots.SetUp(err == nil) {
		return
	}
	if err != nil {
		p.agent.cfg.Log.Warn("agent: upstream is down", "error", err)
		p.agent.record(chestnutpond.Event{Kind: chestnutpond.EventLostUpstream, Detail: err.Error()})
		return
	}
	p.agent.cfg.Log.Info("agent: upstream is up")
	p.agent.record(chestnutpond.Event{Kind: chestnutpond.EventJoined})
}

// enqueue hands an admitted attempt to the pool.
func (a *Agent) enqueue(attempt *slots.Attempt) { a.calls <- attempt }
