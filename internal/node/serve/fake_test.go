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

var errConnectionCut = errors.New("connection cut")

// fault is a fault injected into one Serve call.
type fault int

const (
	faultNone fault = iota
	// faultBefore cuts the connection before the agent receives the call.
	faultBefore
	// faultAfter cuts the connection after the upstream ran the request.
	faultAfter
	// faultSilent delivers the call after its timeout and returns no reply.
	faultSilent
	// faultWrongReply returns the reply to another request.
	faultWrongReply
	// faultCorrupt changes a byte of the answer.
	faultCorrupt
	// faultRefused makes the agent refuse the request.
	faultRefused
	// faultRestart restarts the agent after the upstream ran the request.
	faultRestart
	// faultReplaced is faultRestart with a stale row of the agent at the entries.
	faultReplaced
)

// fakeAgent is an in-memory agent with its upstream.
type fakeAgent struct {
	mu          sync.Mutex
	name        string
	incarnation int64
	// staleRow means that entries still have the row of the previous incarnation.
	staleRow bool
	// faults are the faults of the next calls, in order.
	faults []fault
	// randomFaults, if set, selects the faults of calls at random.
	randomFaults *rand.Rand
	// runs counts executions by request ID, bodies counts them by request body.
	runs      map[string]int
	bodies    map[string]int
	completed map[string]*inner.ServeReply
	fenced    map[string]bool
	latency   time.Duration
	// refuseUntil is when the agent starts to accept requests.
	refuseUntil time.Time
}

func newAgent(name string, faults ...fault) *fakeAgent {
	return &fakeAgent{
		name: name, incarnation: 1, faults: faults, latency: 10 * time.Millisecond,
		runs: make(map[string]int), bodies: make(map[string]int), completed: make(map[string]*inner.ServeReply), fenced: make(map[string]bool),
	}
}

func (a *fakeAgent) nextFault() fault {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.refuseUntil) {
		return faultRefused
	}
	if a.randomFaults != nil && a.randomFaults.IntN(3) == 0 {
		return fault(a.randomFaults.IntN(int(faultReplaced) + 1))
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
	time.Sleep(a.latency)
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
	a.completed[req.GetAttempt()] = reply
	return reply
}

func (a *fakeAgent) serve(ctx context.Context, req *inner.ServeRequest) (*inner.ServeReply, error) {
	f := a.nextFault()
	switch f {
	case faultBefore:
		return nil, errConnectionCut
	case faultAfter:
		a.execute(req)
		return nil, errConnectionCut
	case faultSilent:
		<-ctx.Done()
		a.execute(req)
		return nil, ctx.Err()
	case faultWrongReply:
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
		a.staleRow = f == faultReplaced
		a.completed = make(map[string]*inner.ServeReply)
		a.mu.Unlock()
		return nil, errConnectionCut
	}
	return a.execute(req), nil
}

func (a *fakeAgent) resolve(req *inner.ResolveRequest) *inner.ServeReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.GetIncarnation() != 0 && req.GetIncarnation() != a.incarnation {
		return &inner.ServeReply{Attempt: req.GetAttempt(), Outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN}
	}
	if reply, ok := a.completed[req.GetAttempt()]; ok {
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
	if a.staleRow {
		incarnation--
	}
	return fleet.Row{Member: &inner.Member{
		Name: a.name, Incarnation: incarnation, Sequence: 1, Address: a.name, Region: "pampa", Zone: "pampa-a",
		Upstream: &inner.Upstream{Slots: 8, Connections: 64, Kinds: []string{"price", "order"}, Up: true},
	}}
}

// fakeCluster is a set of entries and agents that call each other in memory.
type fakeCluster struct {
	mu          sync.Mutex
	agents      map[string]*fakeAgent
	entries     map[string]*Server
	unreachable map[string]bool
	// groups are the memberships of entries by address; dropReplies is the number
	// of exchange replies still to be dropped.
	groups map[string]*peers.Group
	// connecting, if set, is called after a target was selected and before the call to it.
	connecting  func()
	dropReplies int
}

func newFakeCluster(agents ...*fakeAgent) *fakeCluster {
	c := &fakeCluster{agents: make(map[string]*fakeAgent), entries: make(map[string]*Server), unreachable: make(map[string]bool)}
	c.groups = make(map[string]*peers.Group)
	for _, a := range agents {
		c.agents[a.name] = a
	}
	return c
}

func (c *fakeCluster) Row(name string) (fleet.Row, bool) {
	a, ok := c.agents[name]
	if !ok {
		return fleet.Row{}, false
	}
	return a.row(), true
}

func (c *fakeCluster) Peer(name string) (fleet.Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fleet.Peer{Name: name, Incarnation: 1, Address: name, Lost: c.unreachable[name]}, true
}

func (c *fakeCluster) Ready(context.Context, string) error {
	if c.connecting != nil {
		c.connecting()
	}
	return nil
}

func (c *fakeCluster) Replace(string, grpc.ClientConnInterface) {}

func (c *fakeCluster) Get(address string) (grpc.ClientConnInterface, func(), error) {
	return &fakeConn{cluster: c, address: address}, func() {}, nil
}

// fakeConn passes unary calls to the agent or entry at its address.
type fakeConn struct {
	grpc.ClientConnInterface

	cluster *fakeCluster
	address string
}

func (c *fakeConn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	var res proto.Message
	var err error
	switch req := args.(type) {
	case *inner.ServeRequest:
		res, err = c.cluster.agents[c.address].serve(ctx, req)
	case *inner.ResolveRequest:
		res = c.cluster.agents[c.address].resolve(req)
	case *inner.LookupIntentRequest:
		res, err = c.cluster.entries[c.address].LookupIntent(ctx, req)
	case *inner.ExchangeRequest:
		res, err = c.cluster.exchange(ctx, c.address, req)
	}
	if err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), res)
	return nil
}

func (c *fakeCluster) exchange(ctx context.Context, address string, req *inner.ExchangeRequest) (*inner.ExchangeReply, error) {
	c.mu.Lock()
	g := c.groups[address]
	drop := c.dropReplies > 0
	c.dropReplies--
	c.mu.Unlock()
	if g == nil {
		return nil, errConnectionCut
	}
	reply, err := g.Exchange(ctx, req)
	if drop {
		return nil, errConnectionCut
	}
	return reply, err
}

func (c *fakeCluster) document() chestnutpond.Document {
	return chestnutpond.Document{
		Accounts: []chestnutpond.Account{{Name: "ventas", Weight: 1, QueueLimit: 100, JobLimit: 10}},
		Kinds:    []chestnutpond.Kind{price, order},
	}
}

// addEntry starts the request path of an entry inside the synctest bubble.
func (c *fakeCluster) addEntry(t *testing.T, name string, log *stand.Log) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ring := events.New(events.Config{Process: name})
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	origin := ledger.Origin{Process: name, Incarnation: 1}
	logTail := tail.New(tail.Config{Log: log, Origin: origin, Events: ring, Logger: logger, Metrics: stats.New()})
	s := New(Config{
		Origin: origin, Region: "pampa", Zone: "pampa-a", Seed: 1, Tail: logTail, Dialer: c, Members: c,
		Events: ring, Logger: logger, Metrics: stats.New(),
	})
	s.SetDocument(c.document())
	c.mu.Lock()
	c.entries[name] = s
	c.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { _ = logTail.Run(ctx) })
	running.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, a := range c.agents {
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

func (c *fakeCluster) runs(id string) int {
	n := 0
	for _, a := range c.agents {
		a.mu.Lock()
		n += a.runs[id]
		a.mu.Unlock()
	}
	return n
}

func (c *fakeCluster) totalRuns() int {
	n := 0
	for _, a := range c.agents {
		a.mu.Lock()
		for _, runs := range a.runs {
			n += runs
		}
		a.mu.Unlock()
	}
	return n
}
