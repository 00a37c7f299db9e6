// Package agent implements the process that runs beside one worker and its
// upstream.
//
// The agent manages the worker's request slots and accelerators. It runs
// requests on the upstream and tasks on the worker. It refuses stale messages,
// work beyond its capacity, and new work while it drains. It announces itself to
// one entry at a time and receives the configuration from it.
//
// The decisions are made in packages without I/O and goroutines: slots for the
// attempts of requests, gangs for reservations, tasks and gang leaders, home for
// the choice of the entry. This package adds the goroutines, the RPCs and the
// gRPC server. The goroutines are: a pool with one goroutine for each request
// slot, two for each task on the worker, one for each checkpoint in progress,
// and one each for the Announce stream, the worker's task list and the
// upstream's readiness.
//
// Lock order: Agent.tasksMu or announcer.mu before the lock of slots.Table or
// gangs.Table; tasksMu and announcer.mu are never held together. The locks of
// the tables and of links.Dialer are leaves: no other lock is taken and no
// callback runs while one of them is held. The lock of events.Trail is taken
// before that of the event sink and before no other.
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
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of the errors of this package.
var Error = errs.Class("agent")

// Config configures an agent. Worker, Upstream, Events, Metrics and Log are
// required when New is called; Upstream may be nil if Slots is zero.
type Config struct {
	Name, Region, Zone, Rack string
	// Incarnation increases with each start of the process.
	Incarnation int64
	// InnerListen is the gRPC address to listen on.
	InnerListen string
	// Advertise is the address that other processes dial. If empty, it is the
	// address that InnerListen was bound to.
	Advertise string
	// Entries are the inner addresses of the entries in the settings.
	Entries []string
	// Accelerators is the number of accelerators of the worker, Slots the number
	// of requests that the upstream serves concurrently, and Connections the
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

// network is an agent's access to other processes.
type network interface {
	// Beat sends a heartbeat to the gang leader at an address.
	Beat(ctx context.Context, address string, beat *inner.BeatRequest) (*inner.BeatReply, error)
	// Announce opens a stream to the entry at an address.
	Announce(ctx context.Context, address string) (stream, error)
	// Sweep closes idle connections. Close closes all connections.
	Sweep(now time.Time)
	Close()
}

// stream is one Announce stream. Close unblocks Send and Recv. Heard returns
// when the entry last sent anything, including keepalive pings.
type stream interface {
	Heard() time.Time
	Send(req *inner.AnnounceRequest) error
	Recv() (*inner.AnnounceReply, error)
	Close()
}

// Agent runs requests and tasks for one worker and its upstream.
type Agent struct {
	cfg        Config
	net        network
	slots      *slots.Table
	gangs      *gangs.Table
	rowChanged *rowNotifier
	meters     *meters
	events     *events.CauseChain
	announcer  *announcer
	// listener is nil in tests without sockets.
	listener net.Listener
	server   *grpc.Server
	address  string

	// attempts passes admitted attempts to the pool. It buffers one attempt per
	// slot, so that a handler that was granted a slot never blocks.
	attempts chan *slots.Attempt
	// probeNow requests an immediate readiness check. It buffers one signal.
	probeNow chan struct{}
	// workCtx is cancelled when the agent has drained. Requests and tasks run
	// under it, so that they outlive the connection that they arrived on.
	workCtx    context.Context
	cancelWork context.CancelFunc
	// tasks counts the goroutines of tasks.
	tasks sync.WaitGroup
	// tasksMu guards tasksClosed and orders tasks.Add before tasks.Wait: no
	// goroutine is added to tasks once tasksClosed is set.
	tasksMu     sync.Mutex
	tasksClosed bool
}

// New returns an agent that listens on cfg.InnerListen. The agent refuses all
// work until Run is called.
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
	a := newAgent(cfg, dialer{links.New(cfg.ClientTLS)})
	a.listener = listener
	a.address = listener.Addr().String()
	a.server = newServer(cfg.ServerTLS, guard.New(guard.Config{Log: cfg.Log, Metrics: cfg.Metrics}))
	inner.RegisterAgentServer(a.server, &service{agent: a})
	return a, nil
}

// newAgent returns an agent without a listener and a gRPC server.
func newAgent(cfg Config, n network) *Agent {
	a := &Agent{
		cfg:        cfg,
		net:        n,
		rowChanged: newRowNotifier(),
		meters:     newMeters(cfg.Metrics),
		events:     events.NewCauseChain(cfg.Events),
		attempts:   make(chan *slots.Attempt, max(cfg.Slots, 1)),
		probeNow:   make(chan struct{}, 1),
	}
	a.workCtx, a.cancelWork = context.WithCancel(context.Background())
	a.slots = slots.New(slots.Config{Slots: cfg.Slots, Kinds: cfg.Kinds, Notify: a.rowChanged.notify})
	a.gangs = gangs.New(gangs.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Region: cfg.Region,
		Accelerators: cfg.Accelerators, Notify: a.rowChanged.notify,
	})
	a.announcer = newAnnouncer(a)
	return a
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() string { return a.address }

// Ready reports whether the agent accepts work: the worker runs no task of a
// previous incarnation, an entry answers, and the agent is not draining.
func (a *Agent) Ready() bool {
	return a.gangs.Clean() && a.announcer.connected() && !a.slots.Status().Draining
}

// ConfigVersion returns the highest configuration version seen so far.
func (a *Agent) ConfigVersion() int64 { return a.announcer.configVersion() }

// record adds an event and sets its upstream to the agent's name.
func (a *Agent) record(e chestnutpond.Event) {
	e.Upstream = a.cfg.Name
	a.events.Add(e)
}

// recordTask adds an event about one task.
func (a *Agent) recordTask(kind chestnutpond.EventKind, key gangs.Key, detail string) {
	a.record(chestnutpond.Event{Kind: kind, Job: chestnutpond.JobID(key.Job), Attempt: key.Attempt, Detail: detail})
}
