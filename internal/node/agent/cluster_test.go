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

var errConnLost = errors.New("connection lost")

// worker is a fake worker whose calls may return an error although they took
// effect.
type worker struct {
	*stand.Worker

	// startFails makes Start return an error after it took effect, stopFails makes
	// Stop return one without an effect.
	startFails, stopFails atomic.Bool
}

func (w *worker) Start(ctx context.Context, spec chestnutpond.TaskSpec) error {
	if err := w.Worker.Start(ctx, spec); err != nil || !w.startFails.Load() {
		return err
	}
	return errConnLost
}

func (w *worker) Stop(ctx context.Context, id chestnutpond.TaskID) error {
	if w.stopFails.Load() {
		return errConnLost
	}
	return w.Worker.Stop(ctx, id)
}

// hangCalls makes all calls block until their contexts end.
func (w *worker) hangCalls() { w.SetFaults(stand.WorkerFaults{Delay: stand.Duration(time.Hour)}) }

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

// cluster is a set of agents that reach each other and fake entries through an
// in-memory network.
type cluster struct {
	t      *testing.T
	agents []*Agent
	// workers and upstreams are those of the agents with the same index.
	workers   []*worker
	upstreams []*stand.Upstream
	rings     []*events.Ring
	cancels   []context.CancelFunc
	done      []chan struct{}
	// taskPayload returns the payload of a member's task; nil means a run time of
	// an hour.
	taskPayload func(member int) stand.TaskPayload

	mu sync.Mutex
	// deliveryOf decides how each message is delivered; nil delivers all.
	deliveryOf func(m message) delivery
	entries    map[string]*fakeEntry
}

// message is a heartbeat in transit between two agents.
type message struct {
	from, to int
}

type delivery uint8

const (
	delivered delivery = iota
	requestLost
	replyLost
	// delayed messages arrive after the sender's timeout.
	delayed
)

// memNetwork is an agent's access to the cluster's in-memory network.
type memNetwork struct {
	w     *cluster
	agent int
}

func (p memNetwork) Beat(ctx context.Context, address string, beat *inner.BeatRequest) (*inner.BeatReply, error) {
	var to int
	if _, err := fmt.Sscanf(address, "agent-%d", &to); err != nil {
		return nil, err
	}
	// Heartbeats and replies lose the same precision of times as on a stream.
	beat = links.ExpandBeat(links.CompactBeat(beat, false), beat)
	deliver := func() (*inner.BeatReply, error) {
		reply, err := p.w.svc(to).Beat(context.WithoutCancel(ctx), beat)
		return links.ExpandReply(links.CompactReply(reply)), err
	}
	switch p.w.decide(message{from: p.agent, to: to}) {
	case delivered:
		return deliver()
	case replyLost:
		_, _ = deliver()
	case delayed:
		time.AfterFunc(1500*time.Millisecond, func() { _, _ = deliver() })
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p memNetwork) Announce(ctx context.Context, address string) (stream, error) {
	p.w.mu.Lock()
	e := p.w.entries[address]
	p.w.mu.Unlock()
	if e == nil {
		return nil, errConnLost
	}
	return e.open(ctx)
}

func (memNetwork) Sweep(time.Time) {}
func (memNetwork) Close()          {}

func (w *cluster) decide(m message) delivery {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deliveryOf == nil {
		return delivered
	}
	return w.deliveryOf(m)
}

func (w *cluster) setDelivery(deliveryOf func(m message) delivery) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliveryOf = deliveryOf
}

// runInCluster runs a test with n agents in virtual time.
func runInCluster(t *testing.T, name string, n int, test func(t *testing.T, w *cluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, n)
			defer w.stop()
			test(t, w)
		})
	})
}

// newCluster starts n agents and an entry, and waits until the agents are announced.
func newCluster(t *testing.T, n int) *cluster {
	w := &cluster{t: t, entries: map[string]*fakeEntry{}}
	w.addEntry("entry-a")
	for i := range n {
		w.workers = append(w.workers, &worker{Worker: stand.NewWorker(fmt.Sprint(i))})
		w.upstreams = append(w.upstreams, stand.NewUpstream())
		w.agents = append(w.agents, nil)
		w.rings = append(w.rings, nil)
		w.cancels = append(w.cancels, nil)
		w.done = append(w.done, nil)
		w.startAgent(i, 1)
	}
	time.Sleep(5 * time.Second)
	return w
}

// startAgent starts an incarnation of an agent.
func (w *cluster) startAgent(i int, incarnation int64) {
	w.rings[i] = events.New(events.Config{Process: fmt.Sprintf("agent-%d", i), Incarnation: incarnation, RequestShare: -1, Size: 256})
	cfg := Config{
		Name: fmt.Sprintf("agent-%d", i), Region: "pampa", Zone: "z", Rack: "r",
		Incarnation: incarnation, Advertise: fmt.Sprintf("agent-%d", i),
		Entries: []string{"entry-a", "entry-b"}, Accelerators: 8, Slots: 2, Connections: 4,
		Kinds: []string{"price_list"}, Worker: w.workers[i], Upstream: w.upstreams[i],
		Events: w.rings[i], Metrics: stats.New(), Log: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	a, done := newAgent(cfg, memNetwork{w: w, agent: i}), make(chan struct{})
	w.agents[i], w.cancels[i], w.done[i] = a, cancel, done
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	synctest.Wait()
}

// stop drains all agents.
func (w *cluster) stop() {
	for _, cancel := range w.cancels {
		cancel()
	}
	for _, d := range w.done {
		<-d
	}
}

// kill stops an agent without a drain: nothing manages its tasks any more, and no
// message to or from it arrives.
func (w *cluster) kill(i int) {
	w.setDelivery(func(m message) delivery {
		if m.from == i || m.to == i {
			return requestLost
		}
		return delivered
	})
	w.workers[i].hangCalls()
	w.agents[i].cancelWork()
}

func (w *cluster) svc(i int) *service { return &service{agent: w.agents[i]} }

func (w *cluster) prepareReq(i int, attempt int64) *inner.PrepareRequest {
	return &inner.PrepareRequest{
		Region: "pampa", Term: 1, Job: "j", Attempt: attempt, Member: int32(i),
		Accelerators: []int32{0, 1}, HoldTtl: durationpb.New(3 * time.Second),
		Incarnation: w.agents[i].cfg.Incarnation,
	}
}

// commitReq commits member i of a gang over the first n agents.
func (w *cluster) commitReq(i, n int) *inner.CommitRequest {
	payload := stand.TaskPayload{Run: stand.Duration(time.Hour)}
	if w.taskPayload != nil {
		payload = w.taskPayload(i)
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
func (w *cluster) launch(n int) {
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

// running returns the number of members whose tasks are running on their workers.
func (w *cluster) running() int {
	count := 0
	for i, worker := range w.workers {
		if r, ok := worker.run(taskID(i)); ok && r.Phase == chestnutpond.TaskRunning {
			count++
		}
	}
	return count
}

// taskRow returns a member's task in its agent's row.
func (w *cluster) taskRow(i int) *inner.Task {
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
