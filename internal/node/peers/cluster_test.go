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

// delivery is the result of the transport of one exchange.
type delivery int

const (
	delivered delivery = iota
	refused
	requestLost
	replyLost
)

// cluster is a set of entries that are connected in memory, and the agents that
// announce themselves to them.
type cluster struct {
	t *testing.T

	mu sync.Mutex
	// entries holds the running entries by address.
	entries map[string]*entry
	// deliver returns the delivery of each exchange; nil delivers all.
	deliver func(from, to string) delivery
	// exchanges counts the sent exchanges.
	exchanges int
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, entries: make(map[string]*entry)}
}

func (cl *cluster) setDelivery(deliver func(from, to string) delivery) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.deliver = deliver
}

// entry is one entry. Its address is its name.
type entry struct {
	*Group

	name    string
	cluster *cluster
	metrics *stats.Registry
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu sync.Mutex
	// notified holds the last row of each agent that the listener received.
	notified map[string]fleet.Row
}

type noEvents struct{}

func (noEvents) Add(chestnutpond.Event) chestnutpond.EventID { return "" }

// start starts an incarnation of an entry with some addresses in its settings.
func (cl *cluster) start(name string, incarnation int64, entries ...string) *entry {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	e := &entry{name: name, cluster: cl, metrics: stats.New(), notified: make(map[string]fleet.Row)}
	origin := ledger.Origin{Process: name, Incarnation: incarnation}
	e.Group = New(Config{
		Self:    fleet.Peer{Name: name, Incarnation: incarnation, Address: name, Region: "pampa", Zone: "a"},
		Entries: entries, Dialer: e, Listener: e, Events: noEvents{}, Logger: logger, Metrics: e.metrics,
		Tail: tail.New(tail.Config{Log: stand.NewLog("s"), Origin: origin, Events: noEvents{}, Logger: logger, Metrics: e.metrics}),
	})
	ctx, cancel := context.WithCancel(cl.t.Context())
	e.stop = cancel
	cl.mu.Lock()
	cl.entries[name] = e
	cl.mu.Unlock()
	e.wg.Go(func() { _ = e.Run(ctx) })
	return e
}

// kill stops an entry.
func (e *entry) kill() {
	e.cluster.mu.Lock()
	if e.cluster.entries[e.name] == e {
		delete(e.cluster.entries, e.name)
	}
	e.cluster.mu.Unlock()
	e.stop()
	e.wg.Wait()
}

// killAll kills all entries, so that no goroutine is left in the synctest bubble.
func (cl *cluster) killAll() {
	cl.mu.Lock()
	var all []*entry
	for _, e := range cl.entries {
		all = append(all, e)
	}
	cl.mu.Unlock()
	for _, e := range all {
		e.kill()
	}
	synctest.Wait()
}

// AgentChanged implements Listener.
func (e *entry) AgentChanged(row fleet.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notified[row.Member.GetName()] = row
}

// AgentRemoved implements Listener.
func (e *entry) AgentRemoved(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.notified, name)
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
	w := c.from.cluster
	w.mu.Lock()
	w.exchanges++
	target, up := w.entries[c.to]
	f := delivered
	if w.deliver != nil {
		f = w.deliver(c.from.name, c.to)
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
	cluster *cluster
	member  *inner.Member
	// stop ends the stream; nil without one.
	stop context.CancelFunc
	// out carries the messages to send on the stream.
	out     chan *inner.AnnounceRequest
	running sync.WaitGroup
}

func (cl *cluster) agent(name string) *agent {
	return &agent{cluster: cl, member: &inner.Member{
		Name: name, Incarnation: 1, Address: name, Region: "pampa", Zone: "a", Accelerators: 8,
		Upstream: &inner.Upstream{Slots: 8, Up: true},
	}}
}

// announce opens a stream to an entry and closes the previous one.
func (a *agent) announce(e *entry) {
	a.leave()
	ctx, cancel := context.WithCancel(a.cluster.t.Context())
	a.stop, a.out = cancel, make(chan *inner.AnnounceRequest)
	s := &stream{ctx: ctx, in: a.out}
	a.running.Go(func() { _ = e.Announce(s) })
	a.change()
	a.running.Go(func() { a.sendHeartbeats(ctx) })
}

func (a *agent) sendHeartbeats(ctx context.Context) {
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

// leave closes the stream without a message.
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

// view returns the state of an agent at an entry, and fails the test if the last
// row that its listener received differs.
func (e *entry) view(a *agent) string {
	e.cluster.t.Helper()
	synctest.Wait()
	row, ok := e.Row(a.member.GetName())
	e.mu.Lock()
	notified, found := e.notified[a.member.GetName()]
	e.mu.Unlock()
	if !ok {
		return "unknown"
	}
	if !found || notified.Lost != row.Lost || notified.Member.GetSequence() != row.Member.GetSequence() {
		e.cluster.t.Fatalf("entry %s has %+v, its listener received %+v", e.name, row, notified)
	}
	state := "up"
	if row.Lost {
		state = "lost"
	}
	return fmt.Sprintf("%s %d", state, row.Member.GetSequence())
}
