package serve

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/peers"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var errCut = errors.New("connection cut")

// fault is what happens to one call of Serve.
type fault int

const (
	faultNone fault = iota
	// faultBefore cuts the connection before the agent sees the call.
	faultBefore
	// faultAfter cuts it after the upstream ran.
	faultAfter
	// faultSilent delivers the call late and no answer.
	faultSilent
	// faultSwapped answers with another request's answer.
	faultSwapped
	// faultCorrupt flips a byte of the answer.
	faultCorrupt
	// faultRefused is a refusal by the agent.
	faultRefused
	// faultRestart restarts the agent after the upstream ran.
	faultRestart
	// faultReplaced does the same, and the entry's row is behind.
	faultReplaced
)

// fakeAgent is an agent with its upstream; it answers calls without a network.
type fakeAgent struct {
	mu          sync.Mutex
	name        string
	incarnation int64
	// rowBehind means that entries still see the former incarnation's row.
	rowBehind bool
	// faults are used up call by call.
	faults []fault
	// random draws a fault for each call when it is set.
	random *rand.Rand
	// runs counts executions by request, bodies by request body.
	runs   map[string]int
	bodies map[string]int
	done   map[string]*inner.ServeReply
	fenced map[string]bool
	took   time.Duration
	// refuseUntil is when the agent begins to take requests.
	refuseUntil time.Time
}

func newAgent(name string, faults ...fault) *fakeAgent {
	return &fakeAgent{
		name: name, incarnation: 1, faults: faults, took: 10 * time.Millisecond,
		runs: make(map[string]int), bodies: make(map[string]int), done: make(map[string]*inner.ServeReply), fenced: make(map[string]bool),
	}
}

func (a *fakeAgent) next() fault {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.refuseUntil) {
		return faultRefused
	}
	if a.random != nil && a.random.IntN(3) == 0 {
		return fault(a.random.IntN(int(faultReplaced) + 1))
	}
	if len(a.faults) == 0 {
		return faultNone
	}
	f := a.faults[0]
	a.faults = a.faults[1:]
	return f
}

// execute runs the request on the upstream unless the attempt is fenced.
func (a *fakeAgent) execute(req *inner.ServeRequest) *inner.ServeReply {
	time.Sleep(a.took)
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := &inner.ServeReply{Attempt: req.GetAttempt(), Request: req.GetRequest()}
	if a.fenced[req.GetAttempt()] {
		reply.Outcome = inner.OutcomeCode_OUTCOME_CODE_NOT_RUN
		reply.Refusal = inner.Refusal_REFUSAL_FENCED
		return reply
	}
	a.runs[req.GetRequest()]++
	a.bodies[string(req.GetBody())]++
	reply.Outcome = inner.OutcomeCode_OUTCOME_CODE_ANSWERED
	reply.Status = 200
	reply.Body = []byte("answer to " + req.GetRequest())
	reply.Digest = xxhash.Sum64(reply.Body)
	a.done[req.GetAttempt()] = reply
	return reply
}

func (a *fakeAgent) serve(ctx context.Context, req *inner.ServeRequest) (*inner.ServeReply, error) {
	f := a.next()
	switch f {
	case faultBefore:
		return nil, errCut
	case faultAfter:
		a.execute(req)
		return nil, errCut
	case faultSilent:
		<-ctx.Done()
		a.execute(req)
		return nil, ctx.Err()
	case faultSwapped:
		a.execute(req)
		return &inner.ServeReply{
			Attempt: "other", Request: "other", Outcome: inner.OutcomeCode_OUTCOME_CODE_ANSWERED, Status: 200,
		}, nil
	case faultCorrupt:
		reply := proto.Clone(a.execute(req)).(*inner.ServeReply)
		reply.Body[0]++
		return reply, nil
	case faultRefused:
		return &inner.ServeReply{
			Attempt: req.GetAttempt(), Request: req.GetRequest(),
			Outcome: inner.OutcomeCode_OUTCOME_CODE_NOT_RUN, Refusal: inner.Refusal_REFUSAL_DRAINING,
		}, nil
	case faultRestart, faultReplaced:
		a.execute(req)
		a.mu.Lock()
		a.incarnation++
		a.rowBehind = f == faultReplaced
		a.done = make(map[string]*inner.ServeReply)
		a.mu.Unlock()
		return nil, errCut
	}
	return a.execute(req), nil
}

func (a *fakeAgent) resolve(req *inner.ResolveRequest) *inner.ServeReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.GetIncarnation() != 0 && req.GetIncarnation() != a.incarnation {
		return &inner.ServeReply{Attempt: req.GetAttempt(), Outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN}
	}
	if reply, ok := a.done[req.GetAttempt()]; ok {
		return reply
	}
	a.fenced[req.GetAttempt()] = true
	return &inner.ServeReply{
		Attempt: req.GetAttempt(), Outcome: inner.OutcomeCode_OUTCOME_CODE_NOT_RUN,
		Refusal: inner.Refusal_REFUSAL_FENCED,
	}
}

func (a *fakeAgent) row() fleet.Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	incarnation := a.incarnation
	if a.rowBehind {
		incarnation--
	}
	return fleet.Row{Member: &inner.Member{
		Name: a.name, Incarnation: incarnation, Sequence: 1, Address: a.name, Region: "pampa", Zone: "pampa-a",
		Upstream: &inner.Upstream{Slots: 8, Connections: 64, Kinds: []string{"price", "order"}, Up: true},
	}}
}

// world is a set of entries and agents that call each other without a network.
type world struct {
	mu      sync.Mutex
	agents  map[string]*fakeAgent
	entries map[string]*Server
	down    map[string]bool
	// groups are the memberships of entries, lost the answers to exchanges that
	// are to get lost.
	groups map[string]*peers.Group
	lost   int
}

func newWorld(agents ...*fakeAgent) *world {
	w := &world{agents: make(map[string]*fakeAgent), entries: make(map[string]*Server), down: make(map[string]bool)}
	w.groups = make(map[string]*peers.Group)
	for _, a := range agents {
		w.agents[a.name] = a
	}
	return w
}

func (w *world) Row(name string) (fleet.Row, bool) {
	a, ok := w.agents[name]
	if !ok {
		return fleet.Row{}, false
	}
	return a.row(), true
}

func (w *world) Peer(name string) (fleet.Peer, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fleet.Peer{Name: name, Incarnation: 1, Address: name, Lost: w.down[name]}, true
}

func (w *world) Ready(context.Context, string) error      { return nil }
func (w *world) Replace(string, grpc.ClientConnInterface) {}

func (w *world) Get(address string) (grpc.ClientConnInterface, func(), error) {
	return &fakeConn{world: w, address: address}, func() {}, nil
}

// fakeConn hands unary calls to the agent or entry at its address.
type fakeConn struct {
	grpc.ClientConnInterface

	world   *world
	address string
}

func (c *fakeConn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	var res proto.Message
	var err error
	switch req := args.(type) {
	case *inner.ServeRequest:
		res, err = c.world.agents[c.address].serve(ctx, req)
	case *inner.ResolveRequest:
		res = c.world.agents[c.address].resolve(req)
	case *inner.LookupIntentRequest:
		res, err = c.world.entries[c.address].LookupIntent(ctx, req)
	case *inner.ExchangeRequest:
		res, err = c.world.exchange(ctx, c.address, req)
	}
	if err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), res)
	return nil
}

func (w *world) exchange(ctx context.Context, address string, req *inner.ExchangeRequest) (*inner.ExchangeReply, error) {
	w.mu.Lock()
	g := w.groups[address]
	lost := w.lost > 0
	w.lost--
	w.mu.Unlock()
	if g == nil {
		return nil, errCut
	}
	reply, err := g.Exchange(ctx, req)
	if lost {
		return nil, errCut
	}
	return reply, err
}

func (w *world) document() chestnutpond.Document {
	return chestnutpond.Document{
		Accounts: []chestnutpond.Account{{Name: "ventas", Weight: 1, QueueLimit: 100, JobLimit: 10}},
		Kinds:    []chestnutpond.Kind{price, order},
	}
}

// addEntry runs an entry's request path inside the bubble.
func (w *world) addEntry(t *testing.T, name string, log *stand.Log) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ring := events.New(events.Config{Process: name})
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	origin := ledger.Origin{Process: name, Incarnation: 1}
	follow := tail.New(tail.Config{Log: log, Origin: origin, Events: ring, Logger: logger, Metrics: stats.New()})
	s := New(Config{
		Origin: origin, Region: "pampa", Zone: "pampa-a", Seed: 1, Tail: follow, Dialer: w, Members: w,
		Events: ring, Logger: logger, Metrics: stats.New(),
	})
	s.SetDocument(w.document())
	w.mu.Lock()
	w.entries[name] = s
	w.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { _ = follow.Run(ctx) })
	running.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, a := range w.agents {
		s.AgentChanged(a.row())
	}
	time.Sleep(2 * time.Second)
	return s
}

var (
	price = chestnutpond.Kind{
		Name: "price", Work: chestnutpond.WorkRequest, Class: chestnutpond.ClassUrgent, Idempotent: true,
		Timeout: 5 * time.Second, MaxBody: 1024,
	}
	order = chestnutpond.Kind{
		Name: "order", Work: chestnutpond.WorkRequest, Class: chestnutpond.ClassUrgent,
		Timeout: 5 * time.Second, MaxBody: 1024,
	}
)

func request(kind chestnutpond.Kind, key string) Request {
	return Request{
		ID: NewID(), Account: "ventas", Caller: "c", Kind: kind, Key: key, Body: []byte("body"), Timeout: kind.Timeout,
	}
}

func (w *world) runs(id string) int {
	n := 0
	for _, a := range w.agents {
		a.mu.Lock()
		n += a.runs[id]
		a.mu.Unlock()
	}
	return n
}

func (w *world) allRuns() int {
	n := 0
	for _, a := range w.agents {
		a.mu.Lock()
		for _, runs := range a.runs {
			n += runs
		}
		a.mu.Unlock()
	}
	return n
}
