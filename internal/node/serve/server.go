package serve

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/route"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// sweepInterval is how often expired requests are refused and waiting requests
	// are dispatched again. It is part of the 100 ms within which a refusal must
	// reach the caller.
	sweepInterval = 20 * time.Millisecond
	// drainPollInterval is how often Drain checks for open requests.
	drainPollInterval = 20 * time.Millisecond
)

// Dialer provides connections to agents and entries.
type Dialer interface {
	// Get returns a connection for one call, and a function that must be called
	// when that call has ended.
	Get(address string) (grpc.ClientConnInterface, func(), error)
	// Ready returns nil once the connection is established.
	Ready(ctx context.Context, address string) error
	// Replace closes a connection that Get returned for the address.
	Replace(address string, conn grpc.ClientConnInterface)
}

// Members provides the membership table of agents and entries.
type Members interface {
	// Row returns the row of the named agent.
	Row(name string) (fleet.Row, bool)
	// Peer returns the named entry.
	Peer(name string) (fleet.Peer, bool)
}

// Config configures a Server.
type Config struct {
	Origin  ledger.Origin
	Region  string
	Zone    string
	Seed    uint64
	Tail    *tail.Tail
	Dialer  Dialer
	Members Members
	Events  chestnutpond.EventSink
	Logger  *slog.Logger
	Metrics *stats.Registry
}

// Request is one request of a caller.
type Request struct {
	// ID is the request ID that is passed to the upstream.
	ID      string
	Account string
	Caller  string
	Kind    chestnutpond.Kind
	// Key is the idempotency key set by the caller; empty if none.
	Key  string
	Body []byte
	// Timeout is at most the timeout of the kind.
	Timeout time.Duration
}

// WithID returns a copy of r with the given ID.
func (r Request) WithID(id string) Request {
	r.ID = id
	return r
}

// Result is the outcome of a request.
type Result struct {
	Outcome chestnutpond.Outcome
	Reason  chestnutpond.Reason
	Detail  string
	// Answer is set when Outcome is OutcomeAnswered.
	Answer chestnutpond.Answer
	// RetryAfter is the suggested delay before a retry after OutcomeNotRun.
	RetryAfter time.Duration
	// Upstream is the agent of the last attempt; empty if there was none.
	Upstream string
}

// Server serves the requests of one entry.
type Server struct {
	cfg     Config
	start   time.Time
	metrics *requestMetrics

	// mu guards the cores and the fields below. No other lock is taken under it.
	mu     sync.Mutex
	queue  *admit.Queue
	router *route.Router
	// classes maps the document's kinds to their classes; empty without a document.
	classes map[string]chestnutpond.Class
	// pendingHabits is a list from another entry that cannot be applied until
	// there is a document; nil if none.
	pendingHabits *inner.Habits
	waiting       map[string]*waiter
	// open is the number of requests in progress.
	open     int
	draining bool
	// freed is closed and replaced whenever a slot may have become free.
	freed chan struct{}

	keys *keyTable
}

// waiter is a request in the admission queue.
type waiter struct {
	kind  string
	bytes int
	// granted receives the target or a refusal; it has a buffer of one.
	granted chan grant
}

type grant struct {
	target  string
	refused *Result
}

// New returns a Server without targets.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		start:   time.Now(),
		metrics: newRequestMetrics(cfg.Metrics),
		queue:   admit.New(admit.Config{}),
		router:  route.New(route.Config{Region: cfg.Region, Zone: cfg.Zone, Seed: cfg.Seed}),
		waiting: make(map[string]*waiter),
		freed:   make(chan struct{}),
	}
	s.keys = newKeyTable(s)
	return s
}

// NewID returns a random request ID.
func NewID() string { return rand.Text() }

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Run refuses expired requests and writes intents until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	go s.keys.run(ctx)
	defer s.keys.wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.sweep()
		}
	}
}

// SetDocument applies a configuration document.
func (s *Server) SetDocument(doc chestnutpond.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetDocument(doc)
	s.classes = classesByKind(doc)
	s.applyPendingHabits()
	s.dispatch()
}

// SetEvacuations applies the set of zones that operators evacuate.
func (s *Server) SetEvacuations(zones chestnutpond.Evacuations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SetEvacuations(s.now(), zones)
	s.dispatch()
}

// AgentChanged updates the routing target of an agent from its newest row.
func (s *Server) AgentChanged(row fleet.Row) {
	m := row.Member
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Lost {
		s.router.RemoveTarget(s.now(), m.GetName())
		return
	}
	up := m.GetUpstream()
	s.router.PutTarget(s.now(), route.Target{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Region: m.GetRegion(), Zone: m.GetZone(),
		Slots: int(up.GetSlots()), Connections: int(up.GetConnections()), Busy: int(up.GetBusy()),
		Kinds: up.GetKinds(), Up: up.GetUp(), Draining: m.GetDraining(),
	})
	s.dispatch()
}

// AgentRemoved removes the routing target of an agent.
func (s *Server) AgentRemoved(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.RemoveTarget(s.now(), name)
}

// Drain makes the server refuse new requests, and waits until those in progress
// have ended or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.OpenRequests() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Do serves a request. If ctx ends before the request is sent, the request is not
// run; once it is sent, ctx does not affect its outcome.
func (s *Server) Do(ctx context.Context, r Request) Result {
	if !s.beginRequest() {
		return Result{Outcome: chestnutpond.OutcomeNotRun, Reason: chestnutpond.ReasonDraining, RetryAfter: time.Second}
	}
	defer s.endRequest()
	began := s.now()
	deadline := began + r.Timeout
	var res Result
	if !r.Kind.Idempotent && r.Key != "" {
		res = s.keys.do(ctx, r, deadline)
	} else {
		res = s.serve(ctx, r, deadline)
	}
	s.recordResult(r, res, s.now()-began)
	return res
}

func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.open++
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *Server) recordResult(r Request, res Result, elapsed time.Duration) {
	s.metrics.observe(r, res, elapsed)
	kind := chestnutpond.EventServed
	if res.Outcome != chestnutpond.OutcomeAnswered {
		kind = chestnutpond.EventRefused
	}
	s.cfg.Events.Add(chestnutpond.Event{
		Kind: kind, Request: r.ID, Account: r.Account, Upstream: res.Upstream,
		Detail: string(res.Outcome) + " " + string(res.Reason),
	})
}
