// Package agent is the process that runs beside one worker and the upstream on
// it.
//
// The agent owns the worker's request slots and accelerators. It runs requests
// on the upstream, tasks on the worker, and refuses whatever is stale, does not
// fit, or arrives while the agent leaves. It announces itself to one entry at a
// time and receives the configuration from it.
//
// The decisions are made in packages without sockets and goroutines: slots for
// the attempts of requests, gangs for reservations, tasks and leaders, home for
// the choice of the entry. This package adds the goroutines, the calls and the
// gRPC server. The goroutines are: a pool with one goroutine for each request
// slot, two for each task on the worker, one for each checkpoint under way, and
// one each for the announcement, the worker's task list and the upstream's
// readiness.
//
// Lock order: Agent.admission or announcer.mu before the lock of slots.Table or
// gangs.Table; admission and announcer.mu are never held together. The locks of
// the tables and of links.Dialer are leaves: no other lock is taken and no
// callback runs while one of them is held. The lock of events.Trail is taken
// before that of the event sink and no other.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/core/slots"
	"github.com/chestnutpond/chestnutpond/internal/node/links"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of the errors of this package.
var Error = errs.Class("agent")

// Config holds what an agent needs. Worker, Upstream, Events, Metrics and Log
// are required when New is called; Upstream may be nil when Slots is zero.
type Config struct {
	Name, Region, Zone, Rack string
	// Incarnation grows with each start of the process.
	Incarnation int64
	// InnerListen is the gRPC address to listen on.
	InnerListen string
	// Advertise is the address that others dial; empty means InnerListen as
	// bound.
	Advertise string
	// Entries are the inner addresses of the entries known from the settings.
	Entries []string
	// Accelerators is the number of accelerators of the worker, Slots the number
	// of requests that the upstream takes at the same time, and Connections the
	// number of its connections.
	Accelerators, Slots, Connections int
	// Kinds are the kinds of requests that the upstream serves.
	Kinds    []string
	Worker   chestnutpond.Worker
	Upstream chestnutpond.Upstream
	// Events may also implement EventSource.
	Events  chestnutpond.EventSink
	Metrics *stats.Registry
	Log     *slog.Logger
	// ServerTLS and ClientTLS are nil for plaintext.
	ServerTLS, ClientTLS *tls.Config
}

// EventSource answers queries of recorded events.
type EventSource interface {
	Reply(req *inner.EventsRequest) *inner.EventsReply
}

// network is what an agent needs of other processes.
type network interface {
	// Beat sends a beat to the leader at an address.
	Beat(ctx context.Context, address string, beat *inner.BeatRequest) (*inner.BeatReply, error)
	// Announce opens a stream to the entry at an address.
	Announce(ctx context.Context, address string) (stream, error)
	// Sweep closes unused connections, and Close all.
	Sweep(now time.Time)
	Close()
}

// stream is one Announce stream. Close ends Send and Recv. Heard returns when
// anything came from the entry last, be it a ping of the transport.
type stream interface {
	Heard() time.Time
	Send(req *inner.AnnounceRequest) error
	Recv() (*inner.AnnounceReply, error)
	Close()
}

// Agent is the process beside a worker.
type Agent struct {
	cfg    Config
	net    network
	slots  *slots.Table
	gangs  *gangs.Table
	news   *news
	meters *meters
	events *events.Trail
	home   *announcer
	// listener is nil in tests without sockets.
	listener net.Listener
	server   *grpc.Server
	address  string

	// calls hands admitted attempts to the pool. It has room for one attempt a
	// slot, so that a handler that got a slot never waits.
	calls chan *slots.Attempt
	// probe has room for one signal that the upstream's state is in doubt.
	probe chan struct{}
	// work ends when the agent has drained. Requests and tasks run under it, so
	// that they survive the connection that brought them.
	work     context.Context
	stopWork context.CancelFunc
	// tasks counts the goroutines of tasks.
	tasks sync.WaitGroup
	// admission orders the start of a task's goroutines before the wait for
	// them: no goroutine is added to tasks once closed is set.
	admission sync.Mutex
	closed    bool
}

// New returns an agent that listens on its address. The agent refuses all work
// until Run is called.
func New(cfg Config) (*Agent, error) {
	if cfg.Name == "" || cfg.Worker == nil || cfg.Log == nil || cfg.Metrics == nil || cfg.Events == nil {
		return nil, Error.New("name, worker, log, metrics and events must be set")
	}
	if cfg.Slots > 0 && cfg.Upstream == nil {
		return nil, Error.New("an agent with request slots needs an upstream")
	}
	listener, err := net.Listen("tcp", cfg.InnerListen)
	if err != nil {
		return nil, Error.New("listen on %q: %v", cfg.InnerListen, err)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = listener.Addr().String()
	}
	a := assemble(cfg, dialer{links.New(cfg.ClientTLS)})
	a.listener = listener
	a.address = listener.Addr().String()
	a.server = newServer(cfg.ServerTLS)
	inner.RegisterAgentServer(a.server, &service{agent: a})
	return a, nil
}

// assemble returns an agent without a listener.
func assemble(cfg Config, n network) *Agent {
	a := &Agent{
		cfg:    cfg,
		net:    n,
		news:   newNews(),
		meters: newMeters(cfg.Metrics),
		events: events.NewTrail(cfg.Events),
		calls:  make(chan *slots.Attempt, max(cfg.Slots, 1)),
		probe:  make(chan struct{}, 1),
	}
	a.work, a.stopWork = context.WithCancel(context.Background())
	a.slots = slots.New(slots.Config{Slots: cfg.Slots, Kinds: cfg.Kinds, Notify: a.news.signal})
	a.gangs = gangs.New(gangs.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Region: cfg.Region,
		Accelerators: cfg.Accelerators, Notify: a.news.signal,
	})
	a.home = newAnnouncer(a)
	return a
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() string { return a.address }

// Ready reports whether the agent takes work: the worker holds nothing of a
// former incarnation, an entry answers, and the agent does not drain.
func (a *Agent) Ready() bool {
	return a.gangs.Clean() && a.home.connected() && !a.slots.Status().Draining
}

// ConfigVersion returns the highest version of the document seen so far.
func (a *Agent) ConfigVersion() int64 { return a.home.configVersion() }

// record adds an event with the agent's name as the upstream.
func (a *Agent) record(e chestnutpond.Event) {
	e.Upstream = a.cfg.Name
	a.events.Add(e)
}

// recordTask adds an event about one task.
func (a *Agent) recordTask(kind chestnutpond.EventKind, key gangs.Key, detail string) {
	a.record(chestnutpond.Event{Kind: kind, Job: chestnutpond.JobID(key.Job), Attempt: key.Attempt, Detail: detail})
}
