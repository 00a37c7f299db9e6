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
	// sweepEvery is how often expired requests are refused and slots are tried
	// again. It is part of the 100 ms in which a refusal must reach the caller.
	sweepEvery = 20 * time.Millisecond
	// drainPoll is how often a drain looks for open requests.
	drainPoll = 20 * time.Millisecond
)

// Dialer gives connections to agents and entries.
type Dialer interface {
	// Get returns a connection for one call and the function that ends the call.
	Get(address string) (grpc.ClientConnInterface, func(), error)
	// Ready returns nil once the connection is established.
	Ready(ctx context.Context, address string) error
	// Replace closes a connection that Get returned for the address.
	Replace(address string, conn grpc.ClientConnInterface)
}

// Members tells where agents and entries are.
type Members interface {
	// Row returns the row of an agent.
	Row(name string) (fleet.Row, bool)
	// Peer returns another entry.
	Peer(name string) (fleet.Peer, bool)
}

// Config makes a Server.
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
	// ID is the identity that the upstream sees.
	ID      string
	Account string
	Caller  string
	Kind    chestnutpond.Kind
	// Key is the caller-given identity; empty if none.
	Key  string
	Body []byte
	// Timeout is at most the kind's.
	Timeout time.Duration
}

// WithID returns a copy of r with the identity.
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
	// RetryAfter is a hint that goes with OutcomeNotRun.
	RetryAfter time.Duration
	// Upstream is the agent that answered or was asked last.
	Upstream string
}

// Server serves the requests of one entry.
type Server struct {
	cfg    Config
	start  time.Time
	meters *meters

	// mu guards the cores and the fields below. No other lock is taken under it.
	mu     sync.Mutex
	queue  *admit.Queue
	router *route.Router
	// classes are those of the document's kinds; empty without a document.
	classes map[string]chestnutpond.Class
	// habits is a list of another entry that waits for a document; nil if none.
	habits  *inner.Habits
	waiting map[string]*waiter
	// open counts the requests that are not answered yet.
	open     int
	draining bool
	// freed is closed and replaced when a slot may have become free.
	freed chan struct{}

	keys *keys
}

// waiter is a request in the admission queue.
type waiter struct {
	kind  string
	bytes int
	// granted gets the target, or a refusal; it holds one element.
	granted chan grant
}

type grant struct {
	target  string
	refused *Result
}

// New returns a server without upstreams.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		start:   time.Now(),
		meters:  newMeters(cfg.Metrics),
		queue:   admit.New(admit.Config{}),
		router:  route.New(route.Config{Region: cfg.Region, Zone: cfg.Zone, Seed: cfg.Seed}),
		waiting: make(map[string]*waiter),
		freed:   make(chan struct{}),
	}
	s.keys = newKeys(s)
	return s
}

// NewID returns a random request identity.
func NewID() string { return rand.Text() }

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Run refuses expired requests and writes intents until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	go s.keys.run(ctx)
	defer s.keys.wait()
	ticker := time.NewTicker(sweepEvery)
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

// SetDocument puts a document in force.
func (s *Server) SetDocument(doc chestnutpond.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetDocument(doc)
	s.classes = classesOf(doc)
	s.learn()
	s.dispatch()
}

// AgentChanged takes in the newest row of an agent.
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

// AgentForgotten removes an agent.
func (s *Server) AgentForgotten(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.RemoveTarget(s.now(), name)
}

// Drain refuses new requests and waits until the open ones are answered, or ctx
// ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Open returns the number of requests that are not answered yet.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Do serves a request. When ctx ends before the request was sent it does not
// run; after that its fate does not depend on ctx.
func (s *Server) Do(ctx context.Context, r Request) Result {
	if !s.enter() {
		return Result{Outcome: chestnutpond.OutcomeNotRun, Reason: chestnutpond.ReasonDraining, RetryAfter: time.Second}
	}
	defer s.leave()
	began := s.now()
	deadline := began + r.Timeout
	var res Result
	if !r.Kind.Idempotent && r.Key != "" {
		res = s.keys.do(ctx, r, deadline)
	} else {
		res = s.serve(ctx, r, deadline)
	}
	s.note(r, res, s.now()-began)
	return res
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.open++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *Server) note(r Request, res Result, took time.Duration) {
	s.meters.note(r, res, took)
	kind := chestnutpond.EventServed
	if res.Outcome != chestnutpond.OutcomeAnswered {
		kind = chestnutpond.EventRefused
	}
	s.cfg.Events.Add(chestnutpond.Event{
		Kind: kind, Request: r.ID, Account: r.Account, Upstream: res.Upstream,
		Detail: string(res.Outcome) + " " + string(res.Reason),
	})
}
