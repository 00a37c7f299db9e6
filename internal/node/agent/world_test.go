package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var errCut = errors.New("connection cut")

// span is the time during which a worker ran a task.
type span struct {
	from, to time.Time
	phase    chestnutpond.TaskPhase
	result   string
	open     bool
}

// fakeWorker runs tasks under leases in memory.
type fakeWorker struct {
	mu    sync.Mutex
	tasks map[chestnutpond.TaskID]*span
	lease map[chestnutpond.TaskID]time.Time
	specs map[chestnutpond.TaskID]chestnutpond.TaskSpec
	// deaf makes all calls wait for their context.
	deaf bool
	// startErr and stopErr fail those calls; a failed start still starts.
	startErr, stopErr error
	saveTime          time.Duration
	starts            map[chestnutpond.TaskID]int
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{
		tasks:  map[chestnutpond.TaskID]*span{},
		lease:  map[chestnutpond.TaskID]time.Time{},
		specs:  map[chestnutpond.TaskID]chestnutpond.TaskSpec{},
		starts: map[chestnutpond.TaskID]int{},
	}
}

// enter settles the lapsed leases and takes the lock.
func (w *fakeWorker) enter(ctx context.Context) error {
	w.mu.Lock()
	if w.deaf {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return ctx.Err()
	}
	w.settle()
	return ctx.Err()
}

func (w *fakeWorker) settle() {
	for id, s := range w.tasks {
		if s.open && !time.Now().Before(w.lease[id]) {
			s.open, s.to, s.phase = false, w.lease[id], chestnutpond.TaskStopped
		}
	}
}

func (w *fakeWorker) Start(ctx context.Context, spec chestnutpond.TaskSpec) error {
	err := w.enter(ctx)
	defer w.mu.Unlock()
	if err != nil {
		return err
	}
	w.starts[spec.ID]++
	if w.tasks[spec.ID] == nil {
		w.tasks[spec.ID] = &span{from: time.Now(), phase: chestnutpond.TaskRunning, open: true}
		w.lease[spec.ID] = time.Now().Add(spec.Lease)
		w.specs[spec.ID] = spec
	}
	return w.startErr
}

func (w *fakeWorker) Renew(ctx context.Context, id chestnutpond.TaskID, lease time.Duration) error {
	err := w.enter(ctx)
	defer w.mu.Unlock()
	if err != nil {
		return err
	}
	if s := w.tasks[id]; s == nil || !s.open {
		return &chestnutpond.TaskGoneError{ID: id}
	}
	w.lease[id] = time.Now().Add(lease)
	return nil
}

func (w *fakeWorker) Checkpoint(ctx context.Context, id chestnutpond.TaskID) (string, error) {
	select {
	case <-time.After(w.saveTime):
		return "ckpt-" + string(id), nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (w *fakeWorker) Throttle(context.Context, chestnutpond.TaskID, float64) error { return nil }

func (w *fakeWorker) Stop(ctx context.Context, id chestnutpond.TaskID) error {
	err := w.enter(ctx)
	defer w.mu.Unlock()
	if err != nil {
		return err
	}
	if w.stopErr != nil {
		return w.stopErr
	}
	if s := w.tasks[id]; s != nil && s.open {
		s.open, s.to, s.phase = false, time.Now(), chestnutpond.TaskStopped
	}
	delete(w.specs, id)
	return nil
}

func (w *fakeWorker) Tasks(ctx context.Context) ([]chestnutpond.TaskStatus, error) {
	err := w.enter(ctx)
	defer w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var list []chestnutpond.TaskStatus
	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		s := w.tasks[id]
		list = append(list, chestnutpond.TaskStatus{ID: id, Phase: s.phase, Result: s.result, Reason: s.result})
	}
	return list, nil
}

// end makes a running task complete or fail.
func (w *fakeWorker) end(id chestnutpond.TaskID, phase chestnutpond.TaskPhase, result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if s := w.tasks[id]; s != nil && s.open {
		s.open, s.to, s.phase, s.result = false, time.Now(), phase, result
	}
}

func (w *fakeWorker) span(id chestnutpond.TaskID) (span, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if s := w.tasks[id]; s != nil {
		return *s, true
	}
	return span{}, false
}

// fakeUpstream answers after a time. The zero value answers at once.
type fakeUpstream struct {
	mu    sync.Mutex
	takes time.Duration
	err   error
	down  bool
	calls []string
}

func (u *fakeUpstream) Serve(ctx context.Context, call chestnutpond.Call) (chestnutpond.Answer, error) {
	u.mu.Lock()
	takes, err := u.takes, u.err
	u.calls = append(u.calls, call.Request)
	u.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		return chestnutpond.Answer{}, ctx.Err()
	}
	return chestnutpond.Answer{Status: 200, ContentType: "text/plain", Body: call.Body}, err
}

func (u *fakeUpstream) Ready(context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return errCut
	}
	return nil
}

type noEvents struct{}

func (noEvents) Add(chestnutpond.Event) chestnutpond.EventID { return "" }

// world is a set of agents that reach each other and entries through memory.
type world struct {
	t      *testing.T
	agents []*Agent
	// workers and upstreams belong to the agents of the same index.
	workers   []*fakeWorker
	upstreams []*fakeUpstream
	rings     []*events.Ring
	cancels   []context.CancelFunc
	done      []chan struct{}

	mu sync.Mutex
	// lost decides about each message; it may be nil.
	lost    func(m message) fate
	entries map[string]*fakeEntry
}

// message is one beat on its way between two agents.
type message struct {
	from, to int
	beat     *inner.BeatRequest
}

type fate uint8

const (
	delivered fate = iota
	requestLost
	replyLost
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
	f := p.w.judge(message{from: p.of, to: to, beat: beat})
	if f == requestLost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := (&service{agent: p.w.agents[to]}).Beat(ctx, beat)
	if f == replyLost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
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

// newWorld starts n agents and stops them when the test ends.
func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, entries: map[string]*fakeEntry{}}
	for i := range n {
		w.workers = append(w.workers, newFakeWorker())
		w.upstreams = append(w.upstreams, &fakeUpstream{})
		w.agents = append(w.agents, nil)
		w.rings = append(w.rings, nil)
		w.cancels = append(w.cancels, nil)
		w.done = append(w.done, nil)
		w.boot(i, 1)
	}
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
	for i := range w.agents {
		w.cancels[i]()
	}
	for _, d := range w.done {
		<-d
	}
}

// kill ends an agent without a drain: its loops and tasks end at once.
func (w *world) kill(i int) {
	w.workers[i].mu.Lock()
	w.workers[i].deaf = true
	w.workers[i].mu.Unlock()
	w.agents[i].stopWork()
}

func (w *world) svc(i int) *service { return &service{agent: w.agents[i]} }

// gang returns the gang list of a job over the first n agents.
func (w *world) gang(n int) []*inner.GangMember {
	var gang []*inner.GangMember
	for i := range n {
		gang = append(gang, &inner.GangMember{
			Member: int32(i), Agent: fmt.Sprintf("agent-%d", i),
			Incarnation: w.agents[i].cfg.Incarnation, Address: fmt.Sprintf("agent-%d", i),
			Accelerators: []int32{0, 1},
		})
	}
	return gang
}

func (w *world) prepareReq(i int, attempt int64) *inner.PrepareRequest {
	return &inner.PrepareRequest{
		Region: "pampa", Term: 1, Job: "j", Attempt: attempt, Member: int32(i),
		Accelerators: []int32{0, 1}, HoldTtl: durationpb.New(3 * time.Second),
		Incarnation: w.agents[i].cfg.Incarnation,
	}
}

func (w *world) commitReq(i, n int, attempt int64) *inner.CommitRequest {
	return &inner.CommitRequest{
		Region: "pampa", Term: 1, Job: "j", Attempt: attempt, Member: int32(i), Gang: w.gang(n), Kind: "forecast",
	}
}

// launch prepares and commits a gang of n and fails the test on a refusal.
func (w *world) launch(n int, attempt int64) {
	w.t.Helper()
	ctx := w.t.Context()
	for i := range n {
		reply, err := w.svc(i).Prepare(ctx, w.prepareReq(i, attempt))
		assert.NilError(w.t, err)
		assert.Assert(w.t, reply.GetHeld(), reply.GetReason())
	}
	for i := range n {
		reply, err := w.svc(i).Commit(ctx, w.commitReq(i, n, attempt))
		assert.NilError(w.t, err)
		assert.Assert(w.t, reply.GetCommitted(), reply.GetReason())
	}
}

func taskID(attempt int64, member int) chestnutpond.TaskID {
	return chestnutpond.TaskID(fmt.Sprintf("j.%d.%d", attempt, member))
}

// running counts the members of an attempt that run on their workers now.
func (w *world) running(n int, attempt int64) int {
	count := 0
	for i := range n {
		if s, ok := w.workers[i].span(taskID(attempt, i)); ok && s.open {
			count++
		}
	}
	return count
}

// state returns the state of a task in its agent's row.
func (w *world) state(i int, attempt int64) inner.TaskState {
	if row := w.row(i, attempt); row != nil {
		return row.GetState()
	}
	return inner.TaskState_TASK_STATE_UNSPECIFIED
}

func (w *world) row(i int, attempt int64) *inner.Task {
	for _, task := range w.agents[i].gangs.Rows(time.Now()) {
		if task.GetJob() == "j" && task.GetAttempt() == attempt && task.GetMember() == int32(i) {
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

// fakeEntry answers announcements and records the rows.
type fakeEntry struct {
	mu sync.Mutex
	// reply is the answer to each message; mute withholds it.
	reply *inner.AnnounceReply
	mute  bool
	// got holds all messages with their times.
	got []announced
	// streams are the open ones.
	streams []*memStream
}

type announced struct {
	at  time.Time
	req *inner.AnnounceRequest
}

type memStream struct {
	entry *fakeEntry
	ctx   context.Context
	stop  context.CancelFunc
	out   chan *inner.AnnounceReply
}

func (w *world) addEntry(name string) *fakeEntry {
	e := &fakeEntry{reply: &inner.AnnounceReply{Heartbeat: durationpb.New(time.Second)}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[name] = e
	return e
}

func (e *fakeEntry) open(ctx context.Context) (stream, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &memStream{entry: e, ctx: ctx, stop: stop, out: make(chan *inner.AnnounceReply, 64)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = append(e.streams, s)
	return s, nil
}

func (s *memStream) Send(req *inner.AnnounceRequest) error {
	if s.ctx.Err() != nil {
		return errCut
	}
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.entry.got = append(s.entry.got, announced{at: time.Now(), req: req})
	if !s.entry.mute {
		s.out <- s.entry.reply
	}
	return nil
}

func (s *memStream) Recv() (*inner.AnnounceReply, error) {
	select {
	case r := <-s.out:
		return r, nil
	case <-s.ctx.Done():
		return nil, errCut
	}
}

func (s *memStream) Close() { s.stop() }

// answer sets the reply to each message from now on.
func (e *fakeEntry) answer(reply *inner.AnnounceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply = reply
}

// breakAll ends all streams of the entry.
func (e *fakeEntry) breakAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.stop()
	}
	e.streams = nil
}

func (e *fakeEntry) messages() []announced {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.got)
}

// lastRow returns the newest row that the entry got.
func (e *fakeEntry) lastRow() *inner.Member {
	for _, m := range slices.Backward(e.messages()) {
		if m.req.GetMember() != nil {
			return m.req.GetMember()
		}
	}
	return nil
}
