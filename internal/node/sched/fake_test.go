package sched

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var errCut = errors.New("connection cut")

const runTime = 2 * time.Second

// step names a call to an agent.
type step string

const (
	stepPrepare step = "prepare"
	stepCommit  step = "commit"
	stepStop    step = "stop"
)

// cut makes the n-th call of a step fail, before or after it took effect.
type cut struct {
	step  step
	n     int
	after bool
}

// world is a fleet of simple agents and the entries that schedule them. It
// keeps the rules of a gang: a member starts when all have committed, and stops
// when another one stopped more than the gang lease ago.
type world struct {
	t     *testing.T
	log   *stand.Log
	start time.Time

	mu     sync.Mutex
	agents map[string]*agent
	// entries are by name; a dead one gets no news and is lost to the others.
	entries map[string]*entry
	cuts    []cut
	calls   map[step]int
	// blind is how long a new entry hears of no agent.
	blind time.Duration
	// runTime is how long each task runs.
	runTime time.Duration
	// starts and ends count the runs of each task.
	starts map[string]int
	ends   map[string]int
	// started counts the starts of each entry.
	started map[string]int64
	// overlaps lists tasks that started while another attempt of the job ran.
	overlaps []string
	// bad are the workers on which every task fails.
	bad map[string]bool
	// saveTime is the time of a stop with a checkpoint.
	saveTime time.Duration
}

type agent struct {
	member *inner.Member
	fenced map[string]int64
	holds  map[string]time.Time
	dead   bool
	// cut means that no entry reaches the agent, since cutAt.
	cut   bool
	cutAt time.Duration
	// noSave makes its tasks stop without a checkpoint.
	noSave bool
}

type entry struct {
	world       *world
	name        string
	ring        *events.Ring
	trail       *events.Trail
	metrics     *stats.Registry
	tail        *tail.Tail
	manager     *Manager
	dead        bool
	incarnation int64
	// blindUntil is when the entry begins to hear of agents.
	blindUntil time.Time
	stop       context.CancelFunc
	running    sync.WaitGroup
}

func newWorld(t *testing.T, cuts ...cut) *world {
	w := &world{
		t: t, log: stand.NewLog("s"), start: time.Now(), cuts: cuts, runTime: runTime,
		agents: make(map[string]*agent), entries: make(map[string]*entry), calls: make(map[step]int),
		started: make(map[string]int64), starts: make(map[string]int), ends: make(map[string]int),
	}
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		w.agents[name] = &agent{
			member: &inner.Member{
				Name: name, Incarnation: 1, Sequence: 1, Address: name, Region: "pampa", Zone: "pampa-a",
				Rack: fmt.Sprintf("r%d", i/3), Accelerators: 8, Upstream: &inner.Upstream{},
			},
			fenced: make(map[string]int64), holds: make(map[string]time.Time),
		}
	}
	return w
}

func (w *world) addEntry(name string) *entry {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	ring := events.New(events.Config{Process: name})
	w.mu.Lock()
	w.started[name]++
	origin := ledger.Origin{Process: name, Incarnation: w.started[name]}
	w.mu.Unlock()
	e := &entry{
		world: w, name: name, incarnation: origin.Incarnation, blindUntil: time.Now().Add(w.blind),
		ring: ring, trail: events.NewTrail(ring), metrics: stats.New(),
	}
	e.tail = tail.New(tail.Config{
		Log: w.log, Origin: origin, Events: ring, Logger: logger, Metrics: stats.New(),
		OnChange: e.logChanged,
	})
	e.manager = New(Config{
		Origin: origin, Region: "pampa", Seed: 1, Tail: e.tail, Members: e, Dialer: e,
		Events: e.trail, Logger: logger, Metrics: e.metrics,
	})
	e.manager.SetDocument(document)
	ctx, cancel := context.WithCancel(w.t.Context())
	e.stop = cancel
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
	e.running.Go(func() { _ = e.tail.Run(ctx) })
	e.running.Go(func() { _ = e.manager.Run(ctx) })
	w.t.Cleanup(e.kill)
	return e
}

// logChanged records accepted jobs as the process around the manager does.
func (e *entry) logChanged(c ledger.Change) {
	if c.Kind == ledger.ChangeAccepted {
		e.trail.Add(chestnutpond.Event{Kind: chestnutpond.EventAccepted, Job: c.Job})
	}
	e.manager.LogChanged(c)
}

// kill ends an entry without a handover.
func (e *entry) kill() {
	e.world.mu.Lock()
	e.dead = true
	e.world.mu.Unlock()
	e.stop()
	e.running.Wait()
}

var document = chestnutpond.Document{
	Service: "s", Version: 1,
	Accounts: []chestnutpond.Account{
		{Name: "sales", Weight: 1, QueueLimit: 10, JobLimit: 100, Guarantees: []chestnutpond.Guarantee{
			{Region: "pampa", Count: 1, Shape: chestnutpond.Shape{Accelerators: 16, Adjacency: chestnutpond.AdjacencyRack}},
		}},
		{Name: "stock", Weight: 1, QueueLimit: 10, JobLimit: 100},
	},
}

func (w *world) submit(e *entry, id, account string, accelerators int) {
	spec := chestnutpond.JobSpec{
		ID: chestnutpond.JobID(id), Service: "s", Account: account, Kind: "run", Class: chestnutpond.ClassStandard,
		Region: "pampa", Shape: chestnutpond.Shape{Accelerators: accelerators, Adjacency: chestnutpond.AdjacencyRack},
		Checkpoint: time.Second, MaxAttempts: 5, MaxRuntime: time.Hour,
	}
	if err := e.tail.Append(w.t.Context(), ledger.AcceptJob{Spec: spec}); err != nil {
		w.t.Fatal(err)
	}
}

// appendWithin gives up after a time.
func (e *entry) appendWithin(d time.Duration, body ledger.Body) error {
	ctx, cancel := context.WithTimeout(e.world.t.Context(), d)
	defer cancel()
	return e.tail.Append(ctx, body)
}

func (e *entry) state(id string) (state chestnutpond.JobState) {
	e.tail.View(func(st *ledger.State) {
		j, _ := st.Job(chestnutpond.JobID(id))
		state = j.State
	})
	return state
}

// The methods below make entry a Members and a Dialer.

func (e *entry) Now() time.Duration { return time.Since(e.world.start) }

func (e *entry) Rows() []fleet.Row {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	var rows []fleet.Row
	if time.Now().Before(e.blindUntil) {
		return nil
	}
	for _, a := range e.world.agents {
		rows = append(rows, fleet.Row{Member: a.member, Lost: a.dead || a.cut, LostAt: a.cutAt})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Member.GetName() < rows[j].Member.GetName() })
	return rows
}

func (e *entry) Row(name string) (fleet.Row, bool) {
	for _, row := range e.Rows() {
		if row.Member.GetName() == name {
			return row, true
		}
	}
	return fleet.Row{}, false
}

func (e *entry) Peers() []fleet.Peer {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	var peers []fleet.Peer
	for name, other := range e.world.entries {
		if name != e.name {
			peers = append(peers, fleet.Peer{Name: name, Incarnation: other.incarnation, Region: "pampa", Lost: other.dead})
		}
	}
	return peers
}

func (e *entry) Rank(string) int {
	rank := 0
	for _, p := range e.Peers() {
		if !p.Lost && p.Name < e.name {
			rank++
		}
	}
	return rank
}

func (e *entry) Get(address string) (grpc.ClientConnInterface, func(), error) {
	return &conn{entry: e, address: address}, func() {}, nil
}

type conn struct {
	grpc.ClientConnInterface

	entry   *entry
	address string
}

func (c *conn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	res, err := c.entry.world.call(c.address, args)
	if err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), res)
	return nil
}

// call hands one call to an agent, with the cuts of the test.
func (w *world) call(address string, args any) (proto.Message, error) {
	w.mu.Lock()
	a := w.agents[address]
	dead := a.dead || a.cut
	var s step
	switch args.(type) {
	case *inner.PrepareRequest:
		s = stepPrepare
	case *inner.CommitRequest:
		s = stepCommit
	case *inner.StopRequest:
		s = stepStop
	}
	w.calls[s]++
	before, after := w.isCut(s)
	w.mu.Unlock()
	if dead || before {
		return nil, errCut
	}
	var res proto.Message
	switch req := args.(type) {
	case *inner.PrepareRequest:
		res = w.prepare(a, req)
	case *inner.CommitRequest:
		res = w.commit(a, req)
	case *inner.StopRequest:
		if req.GetCheckpoint().AsDuration() > 0 {
			time.Sleep(w.saveTime)
		}
		res = w.stopTask(a, req)
	}
	if after {
		return nil, errCut
	}
	return res, nil
}

func (w *world) isCut(s step) (before, after bool) {
	for _, c := range w.cuts {
		if c.step == s && c.n == w.calls[s] {
			before = before || !c.after
			after = after || c.after
		}
	}
	return before, after
}

func (w *world) prepare(a *agent, req *inner.PrepareRequest) *inner.PrepareReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.fenced[req.GetJob()] >= req.GetAttempt() || req.GetIncarnation() != a.member.GetIncarnation() {
		return &inner.PrepareReply{Refusal: inner.Refusal_REFUSAL_STALE, Reason: "stale"}
	}
	for _, t := range a.member.GetTasks() {
		if live(t) && overlap(t.GetAccelerators(), req.GetAccelerators()) {
			return &inner.PrepareReply{Refusal: inner.Refusal_REFUSAL_NO_ACCELERATOR, Reason: "in use"}
		}
	}
	a.holds[key(req.GetJob(), req.GetAttempt())] = time.Now().Add(req.GetHoldTtl().AsDuration())
	return &inner.PrepareReply{Held: true}
}

func (w *world) commit(a *agent, req *inner.CommitRequest) *inner.CommitReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := a.holds[key(req.GetJob(), req.GetAttempt())]
	if a.fenced[req.GetJob()] >= req.GetAttempt() || time.Now().After(held) {
		return &inner.CommitReply{Refusal: inner.Refusal_REFUSAL_STALE, Reason: "no reservation"}
	}
	g := req.GetGang()[req.GetMember()]
	w.setTask(a, &inner.Task{
		Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember(),
		State: inner.TaskState_TASK_STATE_WAITING, Accelerators: g.GetAccelerators(),
	})
	if w.allCommitted(req) {
		for _, m := range req.GetGang() {
			state := inner.TaskState_TASK_STATE_RUNNING
			if w.bad[m.GetAgent()] {
				state = inner.TaskState_TASK_STATE_FAILED
			}
			w.move(m.GetAgent(), req.GetJob(), req.GetAttempt(), state)
		}
		time.AfterFunc(w.runTime, func() { w.complete(req) })
	}
	return &inner.CommitReply{Committed: true}
}

func (w *world) allCommitted(req *inner.CommitRequest) bool {
	for _, m := range req.GetGang() {
		t := w.task(m.GetAgent(), req.GetJob(), req.GetAttempt())
		if t.GetState() != inner.TaskState_TASK_STATE_WAITING {
			return false
		}
	}
	return true
}

// complete ends the run of a gang that is still whole.
func (w *world) complete(req *inner.CommitRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range req.GetGang() {
		t := w.task(m.GetAgent(), req.GetJob(), req.GetAttempt())
		if w.agents[m.GetAgent()].dead || t.GetState() != inner.TaskState_TASK_STATE_RUNNING {
			return
		}
	}
	w.ends[req.GetJob()]++
	for _, m := range req.GetGang() {
		w.move(m.GetAgent(), req.GetJob(), req.GetAttempt(), inner.TaskState_TASK_STATE_COMPLETED)
	}
}

func (w *world) stopTask(a *agent, req *inner.StopRequest) *inner.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.GetFence() {
		a.fenced[req.GetJob()] = max(a.fenced[req.GetJob()], req.GetAttempt())
	}
	delete(a.holds, key(req.GetJob(), req.GetAttempt()))
	t := w.task(a.member.GetName(), req.GetJob(), req.GetAttempt())
	if live(t) {
		w.move(a.member.GetName(), req.GetJob(), req.GetAttempt(), inner.TaskState_TASK_STATE_STOPPED)
		w.breakGang(req.GetJob(), req.GetAttempt())
	}
	reply := &inner.StopReply{Stopped: true, State: t.GetState()}
	if !a.noSave {
		reply.Checkpoint = "c"
	}
	return reply
}

// breakGang lets the other members stop by themselves after the gang lease.
func (w *world) breakGang(job string, attempt int64) {
	time.AfterFunc(2500*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for name, a := range w.agents {
			if !a.dead && live(w.task(name, job, attempt)) {
				w.move(name, job, attempt, inner.TaskState_TASK_STATE_STOPPED)
			}
		}
	})
}

// die stops an agent and its tasks for good.
func (w *world) die(name string) {
	w.mu.Lock()
	a := w.agents[name]
	a.dead = true
	for _, t := range a.member.GetTasks() {
		w.breakGang(t.GetJob(), t.GetAttempt())
	}
	w.mu.Unlock()
	w.tell(name)
}

func (w *world) task(name, job string, attempt int64) *inner.Task {
	for _, t := range w.agents[name].member.GetTasks() {
		if t.GetJob() == job && t.GetAttempt() == attempt {
			return t
		}
	}
	return nil
}

func (w *world) move(name, job string, attempt int64, state inner.TaskState) {
	old := w.task(name, job, attempt)
	if old == nil {
		return
	}
	if state == inner.TaskState_TASK_STATE_RUNNING {
		w.starts[taskKey(old)]++
		w.noteOverlap(old)
	}
	t := proto.Clone(old).(*inner.Task)
	t.State = state
	w.setTask(w.agents[name], t)
}

// noteOverlap notes a start while another attempt of the job still runs.
func (w *world) noteOverlap(task *inner.Task) {
	for _, a := range w.agents {
		for _, t := range a.member.GetTasks() {
			other := t.GetJob() == task.GetJob() && t.GetAttempt() != task.GetAttempt()
			if other && !a.dead && t.GetState() == inner.TaskState_TASK_STATE_RUNNING {
				w.overlaps = append(w.overlaps, taskKey(task)+" with "+taskKey(t))
			}
		}
	}
}

// names returns the agents' names in order.
func (w *world) names() []string {
	var names []string
	for name := range w.agents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// setTask stores a task in a new row and tells the entries. The caller holds mu.
func (w *world) setTask(a *agent, task *inner.Task) {
	m := proto.Clone(a.member).(*inner.Member)
	m.Sequence++
	m.Tasks = nil
	for _, t := range a.member.GetTasks() {
		if taskKey(t) != taskKey(task) {
			m.Tasks = append(m.Tasks, t)
		}
	}
	m.Tasks = append(m.Tasks, task)
	a.member = m
	name := m.GetName()
	time.AfterFunc(10*time.Millisecond, func() { w.tell(name) })
}

func (w *world) tell(name string) {
	w.mu.Lock()
	a := w.agents[name]
	row := fleet.Row{Member: a.member, Lost: a.dead || a.cut, LostAt: a.cutAt}
	var live []*entry
	for _, e := range w.entries {
		if !e.dead {
			live = append(live, e)
		}
	}
	w.mu.Unlock()
	for _, e := range live {
		e.manager.AgentChanged(row)
	}
}

func key(job string, attempt int64) string { return fmt.Sprint(job, ".", attempt) }

func taskKey(t *inner.Task) string {
	return fmt.Sprint(t.GetJob(), ".", t.GetAttempt(), ".", t.GetMember())
}

func live(t *inner.Task) bool {
	s := t.GetState()
	return s == inner.TaskState_TASK_STATE_WAITING || s == inner.TaskState_TASK_STATE_RUNNING
}

func overlap(a, b []int32) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}
