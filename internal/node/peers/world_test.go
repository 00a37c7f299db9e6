package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var errCut = errors.New("connection cut")

// fate is what happens to one exchange.
type fate int

const (
	delivered fate = iota
	refused
	requestLost
	replyLost
)

// world is a set of entries that reach each other through memory, and the agents
// that announce themselves to them.
type world struct {
	t *testing.T

	mu sync.Mutex
	// entries are by address; those that are down are not there.
	entries map[string]*entry
	// judge decides about each exchange; nil delivers all.
	judge func(from, to string) fate
	// exchanges counts the exchanges that were sent.
	exchanges int
}

func newWorld(t *testing.T) *world {
	return &world{t: t, entries: make(map[string]*entry)}
}

func (w *world) setJudge(judge func(from, to string) fate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judge = judge
}

// entry is one entry. Its address is its name.
type entry struct {
	*Group

	name    string
	world   *world
	metrics *stats.Registry
	stop    context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// told is the newest row that the listener heard of each agent.
	told map[string]fleet.Row
}

type noEvents struct{}

func (noEvents) Add(chestnutpond.Event) chestnutpond.EventID { return "" }

// start brings up an incarnation of an entry that knows some addresses.
func (w *world) start(name string, incarnation int64, entries ...string) *entry {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	e := &entry{name: name, world: w, metrics: stats.New(), told: make(map[string]fleet.Row)}
	origin := ledger.Origin{Process: name, Incarnation: incarnation}
	e.Group = New(Config{
		Self:    fleet.Peer{Name: name, Incarnation: incarnation, Address: name, Region: "pampa", Zone: "a"},
		Entries: entries, Dialer: e, Listener: e, Events: noEvents{}, Logger: logger, Metrics: e.metrics,
		Tail: tail.New(tail.Config{Log: stand.NewLog("s"), Origin: origin, Events: noEvents{}, Logger: logger, Metrics: e.metrics}),
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	e.stop = cancel
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
	e.running.Go(func() { _ = e.Run(ctx) })
	return e
}

// kill ends an entry.
func (e *entry) kill() {
	e.world.mu.Lock()
	if e.world.entries[e.name] == e {
		delete(e.world.entries, e.name)
	}
	e.world.mu.Unlock()
	e.stop()
	e.running.Wait()
}

// end kills all entries, so that no goroutine is left in the bubble.
func (w *world) end() {
	w.mu.Lock()
	var all []*entry
	for _, e := range w.entries {
		all = append(all, e)
	}
	w.mu.Unlock()
	for _, e := range all {
		e.kill()
	}
	synctest.Wait()
}

// AgentChanged implements Listener.
func (e *entry) AgentChanged(row fleet.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told[row.Member.GetName()] = row
}

// AgentForgotten implements Listener.
func (e *entry) AgentForgotten(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.told, name)
}

// Get implements Dialer.
func (e *entry) Get(address string) (grpc.ClientConnInterface, func(), error) {
	return &conn{from: e, to: address}, func() {}, nil
}

// Replace implements Dialer.
func (e *entry) Replace(string, grpc.ClientConnInterface) {}

type conn struct {
	grpc.ClientConnInterface

	from *entry
	to   string
}

// Invoke carries one exchange.
func (c *conn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	w := c.from.world
	w.mu.Lock()
	w.exchanges++
	target, up := w.entries[c.to]
	f := delivered
	if w.judge != nil {
		f = w.judge(c.from.name, c.to)
	}
	w.mu.Unlock()
	if !up || f == refused {
		return errCut
	}
	if f == requestLost {
		<-ctx.Done()
		return ctx.Err()
	}
	res, err := target.Exchange(ctx, proto.Clone(args.(*inner.ExchangeRequest)).(*inner.ExchangeRequest))
	if f == replyLost {
		<-ctx.Done()
		return ctx.Err()
	}
	if err == nil {
		proto.Merge(reply.(proto.Message), res)
	}
	return err
}

// agent announces one member and sends heartbeats until it is stopped.
type agent struct {
	world  *world
	member *inner.Member
	// stop ends the stream; nil without one.
	stop context.CancelFunc
	// out gets what is sent on the stream.
	out     chan *inner.AnnounceRequest
	running sync.WaitGroup
}

func (w *world) agent(name string) *agent {
	return &agent{world: w, member: &inner.Member{
		Name: name, Incarnation: 1, Address: name, Region: "pampa", Zone: "a", Accelerators: 8,
		Upstream: &inner.Upstream{Slots: 8, Up: true},
	}}
}

// announce opens a stream to an entry; a former one ends.
func (a *agent) announce(e *entry) {
	a.leave()
	ctx, cancel := context.WithCancel(a.world.t.Context())
	a.stop, a.out = cancel, make(chan *inner.AnnounceRequest)
	s := &stream{ctx: ctx, in: a.out}
	a.running.Go(func() { _ = e.Announce(s) })
	a.change()
	a.running.Go(func() { a.beat(ctx) })
}

func (a *agent) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		select {
		case <-ctx.Done():
		case a.out <- &inner.AnnounceRequest{}:
		}
	}
}

// change sends a new row.
func (a *agent) change() {
	a.member = proto.Clone(a.member).(*inner.Member)
	a.member.Sequence++
	a.out <- &inner.AnnounceRequest{Member: a.member}
}

// leave ends the stream without a word.
func (a *agent) leave() {
	if a.stop != nil {
		a.stop()
	}
	a.running.Wait()
}

// stream is the server's end of an Announce stream.
type stream struct {
	grpc.ServerStream

	ctx context.Context
	in  chan *inner.AnnounceRequest
}

func (s *stream) Context() context.Context { return s.ctx }

func (s *stream) Recv() (*inner.AnnounceRequest, error) {
	select {
	case req := <-s.in:
		return req, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *stream) Send(*inner.AnnounceReply) error { return s.ctx.Err() }

// view returns how an entry sees an agent, and fails the test when its listener
// was told otherwise.
func (e *entry) view(a *agent) string {
	e.world.t.Helper()
	synctest.Wait()
	row, ok := e.Row(a.member.GetName())
	e.mu.Lock()
	told, heard := e.told[a.member.GetName()]
	e.mu.Unlock()
	if !ok {
		return "unknown"
	}
	if !heard || told.Lost != row.Lost || told.Member.GetSequence() != row.Member.GetSequence() {
		e.world.t.Fatalf("entry %s has %+v, its listener was told %+v", e.name, row, told)
	}
	state := "up"
	if row.Lost {
		state = "lost"
	}
	return fmt.Sprintf("%s %d", state, row.Member.GetSequence())
}
