package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/links"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var errCut = errors.New("connection cut")

// worker is a stand-in whose calls may take effect and fail all the same.
type worker struct {
	*stand.Worker

	// startFails fails starts that took effect, stopFails stops that took none.
	startFails, stopFails atomic.Bool
}

func (w *worker) Start(ctx context.Context, spec chestnutpond.TaskSpec) error {
	if err := w.Worker.Start(ctx, spec); err != nil || !w.startFails.Load() {
		return err
	}
	return errCut
}

func (w *worker) Stop(ctx context.Context, id chestnutpond.TaskID) error {
	if w.stopFails.Load() {
		return errCut
	}
	return w.Worker.Stop(ctx, id)
}

// deafen makes all calls wait until their callers give up.
func (w *worker) deafen() { w.SetFaults(stand.WorkerFaults{Delay: stand.Duration(time.Hour)}) }

func (w *worker) run(id chestnutpond.TaskID) (stand.Run, bool) {
	for _, r := range w.Runs() {
		if r.Task == id {
			return r, true
		}
	}
	return stand.Run{}, false
}

type noEvents struct{}

func (noEvents) Add(chestnutpond.Event) chestnutpond.EventID { return "" }

// world is a set of agents that reach each other and entries through memory.
type world struct {
	t      *testing.T
	agents []*Agent
	// workers and upstreams belong to the agents of the same index.
	workers   []*worker
	upstreams []*stand.Upstream
	rings     []*events.Ring
	cancels   []context.CancelFunc
	done      []chan struct{}
	// run is the run time of the members' tasks; an hour if not set.
	run func(member int) stand.TaskPayload

	mu sync.Mutex
	// lost decides about each message; it may be nil.
	lost    func(m message) fate
	entries map[string]*fakeEntry
}

// message is one beat on its way between two agents.
type message struct {
	from, to int
}

type fate uint8

const (
	delivered fate = iota
	requestLost
	replyLost
	// late messages arrive after the sender gave up.
	late
)

// port is an agent's access to the world's network.
type port struct {
	w  *world
	of int
}

func (p port) Beat(ctx context.Context, address string, beat *inner.BeatRequest) (*inner.BeatReply, error) {
	var to int
	if _, err := fmt.Sscanf(address, "agent-%d", &to); err != nil {
		return nil, err
	}
	// Beats and answers lose as much of their times as on a stream.
	beat = links.Whole(links.Short(beat, false), beat)
	deliver := func() (*inner.BeatReply, error) {
		reply, err := p.w.svc(to).Beat(context.WithoutCancel(ctx), beat)
		return links.WholeReply(links.ShortReply(reply)), err
	}
	switch p.w.judge(message{from: p.of, to: to}) {
	case delivered:
		return deliver()
	case replyLost:
		_, _ = deliver()
	case late:
		time.AfterFunc(1500*time.Millisecond, func() { _, _ = deliver() })
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p port) Announce(ctx context.Context, address string) (stream, error) {
	p.w.mu.Lock()
	e := p.w.entries[address]
	p.w.mu.Unlock()
	if e == nil {
		return nil, errCut
	}
	return e.open(ctx)
}

func (port) Sweep(time.Time) {}
func (port) Close()          {}

func (w *world) judge(m message) fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == nil {
		return delivered
	}
	return w.lost(m)
}

func (w *world) setLost(lost func(m message) fate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = lost
}

// inWorld runs a test among n agents in virtual time.
func inWorld(t *testing.T, name string, n int, test func(t *testing.T, w *world)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, n)
			defer w.stop()
			test(t, w)
		})
	})
}

// newWorld starts n agents and an entry, and waits until they know each other.
func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, entries: map[string]*fakeEntry{}}
	w.addEntry("entry-a")
	for i := range n {
		w.workers = append(w.workers, &worker{Worker: stand.NewWorker(fmt.Sprint(i))})
		w.upstreams = append(w.upstreams, stand.NewUpstream())
		w.agents = append(w.agents, nil)
		w.rings = append(w.rings, nil)
		w.cancels = append(w.cancels, nil)
		w.done = append(w.done, nil)
		w.boot(i, 1)
	}
	time.Sleep(5 * time.Second)
	return w
}

// boot starts an incarnation of an agent.
func (w *world) boot(i int, incarnation int64) {
	w.rings[i] = events.New(events.Config{Process: fmt.Sprintf("agent-%d", i), Incarnation: incarnation, RequestShare: -1, Size: 256})
	cfg := Config{
		Name: fmt.Sprintf("agent-%d", i), Region: "pampa", Zone: "z", Rack: "r",
		Incarnation: incarnation, Advertise: fmt.Sprintf("agent-%d", i),
		Entries: []string{"entry-a", "entry-b"}, Accelerators: 8, Slots: 2, Connections: 4,
		Kinds: []string{"price_list"}, Worker: w.workers[i], Upstream: w.upstreams[i],
		Events: w.rings[i], Metrics: stats.New(), Log: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	a, done := assemble(cfg, port{w: w, of: i}), make(chan struct{})
	w.agents[i], w.cancels[i], w.done[i] = a, cancel, done
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	synctest.Wait()
}

// stop drains all agents.
func (w *world) stop() {
	for _, cancel := range w.cancels {
		cancel()
	}
	for _, d := range w.done {
		<-d
	}
}

// kill ends an agent without a drain: its tasks lose their agent at once, and
// no message to or from it arrives.
func (w *world) kill(i int) {
	w.setLost(func(m message) fate {
		if m.from == i || m.to == i {
			return requestLost
		}
		return delivered
	})
	w.workers[i].deafen()
	w.agents[i].stopWork()
}

func (w *world) svc(i int) *service { return &service{agent: w.agents[i]} }

func (w *world) prepareReq(i int, attempt int64) *inner.PrepareRequest {
	return &inner.PrepareRequest{
		Region: "pampa", Term: 1, Job: "j", Attempt: attempt, Member: int32(i),
		Accelerators: []int32{0, 1}, HoldTtl: durationpb.New(3 * time.Second),
		Incarnation: w.agents[i].cfg.Incarnation,
	}
}

// commitReq commits member i of a gang over the first n agents.
func (w *world) commitReq(i, n int) *inner.CommitRequest {
	payload := stand.TaskPayload{Run: stand.Duration(time.Hour)}
	if w.run != nil {
		payload = w.run(i)
	}
	req := &inner.CommitRequest{
		Region: "pampa", Term: 1, Job: "j", Attempt: 1, Member: int32(i), Kind: "forecast",
		Payload: fmt.Appendf(nil, `{"run": "%v", "fail": %v, "result": "ok"}`, time.Duration(payload.Run), payload.Fail),
	}
	for i := range n {
		req.Gang = append(req.Gang, &inner.GangMember{
			Member: int32(i), Agent: fmt.Sprintf("agent-%d", i),
			Incarnation: w.agents[i].cfg.Incarnation, Address: w.agents[i].cfg.Advertise,
			Accelerators: []int32{0, 1},
		})
	}
	return req
}

// launch prepares and commits a gang of n and fails the test on a refusal.
func (w *world) launch(n int) {
	w.t.Helper()
	for i := range n {
		reply, err := w.svc(i).Prepare(w.t.Context(), w.prepareReq(i, 1))
		assert.NilError(w.t, err)
		assert.Assert(w.t, reply.GetHeld(), reply.GetReason())
	}
	for i := range n {
		reply, err := w.svc(i).Commit(w.t.Context(), w.commitReq(i, n))
		assert.NilError(w.t, err)
		assert.Assert(w.t, reply.GetCommitted(), reply.GetReason())
	}
}

func taskID(member int) chestnutpond.TaskID {
	return chestnutpond.TaskID(fmt.Sprintf("j.1.%d", member))
}

// running counts the members that run on their workers now.
func (w *world) running() int {
	count := 0
	for i, worker := range w.workers {
		if r, ok := worker.run(taskID(i)); ok && r.Phase == chestnutpond.TaskRunning {
			count++
		}
	}
	return count
}

// row returns a member's task in its agent's row.
func (w *world) row(i int) *inner.Task {
	for _, task := range w.agents[i].gangs.Rows(time.Now()) {
		if task.GetAttempt() == 1 && task.GetMember() == int32(i) {
			return task
		}
	}
	return nil
}

func serveReq(attempt, body string) *inner.ServeRequest {
	return &inner.ServeRequest{
		Attempt: attempt, Request: "r-" + attempt, Account: "ventas", Kind: "price_list",
		Body: []byte(body), Digest: xxhash.Sum64String(body), Timeout: durationpb.New(5 * time.Second),
	}
}
