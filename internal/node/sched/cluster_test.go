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

const defaultRunTime = 2 * time.Second

// callKind is a kind of call to an agent.
type callKind string

const (
	callPrepare callKind = "prepare"
	callCommit  callKind = "commit"
	callStop    callKind = "stop"
)

// callFault makes the n-th call of a kind fail, before or after it takes effect.
type callFault struct {
	kind  callKind
	n     int
	after bool
}

// cluster simulates a fleet of agents and the entries that schedule them. It
// follows the gang protocol: a member starts when all have committed, and stops
// when another one stopped more than the gang lease ago.
type cluster struct {
	t     *testing.T
	log   *stand.Log
	start time.Time

	mu     sync.Mutex
	agents map[string]*agent
	// entries is by name; a dead one gets no changes and is lost to the others.
	entries map[string]*entry
	faults  []callFault
	calls   map[callKind]int
	// agentsHiddenFor is how long a new entry sees no agents.
	agentsHiddenFor time.Duration
	// runTime is the duration of each task.
	runTime time.Duration
	// starts and ends count the runs of each task.
	starts map[string]int
	ends   map[string]int
	// started counts the starts of each entry.
	started map[string]int64
	// overlaps lists tasks that started while another attempt of the job ran.
	overlaps []string
	// failingWorkers holds the workers on which every task fails.
	failingWorkers map[string]bool
	// checkpointTime is the duration of a stop with a checkpoint.
	checkpointTime time.Duration
}

type agent struct {
	member *inner.Member
	fenced map[string]int64
	holds  map[string]time.Time
	dead   bool
	// unreachable means that no entry reaches the agent, since unreachableAt.
	unreachable   bool
	unreachableAt time.Duration
	// noCheckpoint makes the agent's tasks stop without a checkpoint.
	noCheckpoint bool
}

type entry struct {
	cluster     *cluster
	name        string
	ring        *events.Ring
	trail       *events.CauseChain
	metrics     *stats.Registry
	tail        *tail.Tail
	manager     *Manager
	dead        bool
	incarnation int64
	// agentsHiddenUntil is when the entry begins to see agents.
	agentsHiddenUntil time.Time
	stop              context.CancelFunc
	wg                sync.WaitGroup
}

func newCluster(t *testing.T, faults ...callFault) *cluster {
	cl := &cluster{
		t: t, log: stand.NewLog("s"), start: time.Now(), faults: faults, runTime: defaultRunTime,
		agents: make(map[string]*agent), entries: make(map[string]*entry), calls: make(map[callKind]int),
		started: make(map[string]int64), starts: make(map[string]int), ends: make(map[string]int),
	}
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		cl.agents[name] = &agent{
			member: &inner.Member{
				Name: name, Incarnation: 1, Sequence: 1, Address: name, Region: "pampa", Zone: "pampa-a",
				Rack: fmt.Sprintf("r%d", i/3), Accelerators: 8, Upstream: &inner.Upstream{},
			},
			fenced: make(map[string]int64), holds: make(map[string]time.Time),
		}
	}
	return cl
}

func (cl *cluster) addEntry(name string) *entry {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	ring := events.New(events.Config{Process: name})
	cl.mu.Lock()
	cl.started[name]++
	origin := ledger.Origin{Process: name, Incarnation: cl.started[name]}
	cl.mu.Unlock()
	e := &entry{
		cluster: cl, name: name, incarnation: origin.Incarnation, agentsHiddenUntil: time.Now().Add(cl.agentsHiddenFor),
		ring: ring, trail: events.NewCauseChain(ring), metrics: stats.New(),
	}
	e.tail = tail.New(tail.Config{
		Log: cl.log, Origin: origin, Events: ring, Logger: logger, Metrics: stats.New(),
		OnChange: e.logChanged,
	})
	e.manager = New(Config{
		Origin: origin, Region: "pampa", Seed: 1, Tail: e.tail, Members: e, Dialer: e,
		Events: e.trail, Logger: logger, Metrics: e.metrics,
	})
	e.manager.SetDocument(document)
	ctx, cancel := context.WithCancel(cl.t.Context())
	e.stop = cancel
	cl.mu.Lock()
	cl.entries[name] = e
	cl.mu.Unlock()
	e.wg.Go(func() { _ = e.tail.Run(ctx) })
	e.wg.Go(func() { _ = e.manager.Run(ctx) })
	cl.t.Cleanup(e.kill)
	return e
}

// logChanged records the events of accepted jobs, as the entry process does.
func (e *entry) logChanged(c ledger.Change) {
	if c.Kind == ledger.ChangeAccepted {
		e.trail.Add(chestnutpond.Event{Kind: chestnutpond.EventAccepted, Job: c.Job})
	}
	e.manager.LogChanged(c)
}

// kill stops an entry without a handover.
func (e *entry) kill() {
	e.cluster.mu.Lock()
	e.dead = true
	e.cluster.mu.Unlock()
	e.stop()
	e.wg.Wait()
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

func (cl *cluster) submit(e *entry, id, account string, accelerators int) {
	spec := chestnutpond.JobSpec{
		ID: chestnutpond.JobID(id), Service: "s", Account: account, Kind: "run", Class: chestnutpond.ClassStandard,
		Region: "pampa", Shape: chestnutpond.Shape{Accelerators: accelerators, Adjacency: chestnutpond.AdjacencyRack},
		Checkpoint: time.Second, MaxAttempts: 5, MaxRuntime: time.Hour,
	}
	if err := e.tail.Append(cl.t.Context(), ledger.AcceptJob{Spec: spec}); err != nil {
		cl.t.Fatal(err)
	}
}

// appendWithin appends a record with a timeout.
func (e *entry) appendWithin(d time.Duration, body ledger.Body) error {
	ctx, cancel := context.WithTimeout(e.cluster.t.Context(), d)
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

// The methods below implement Members and Dialer.

func (e *entry) Now() time.Duration { return time.Since(e.cluster.start) }

func (e *entry) Rows() []fleet.Row {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	var rows []fleet.Row
	if time.Now().Before(e.agentsHiddenUntil) {
		return nil
	}
	for _, a := range e.cluster.agents {
		rows = append(rows, fleet.Row{Member: a.member, Lost: a.dead || a.unreachable, LostAt: a.unreachableAt})
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
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	var peers []fleet.Peer
	for name, other := range e.cluster.entries {
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
	res, err := c.entry.cluster.call(c.address, args)
	if err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), res)
	return nil
}

// call passes a call to an agent and applies the faults of the test.
func (cl *cluster) call(address string, args any) (proto.Message, error) {
	cl.mu.Lock()
	a := cl.agents[address]
	dead := a.dead || a.unreachable
	var s callKind
	switch args.(type) {
	case *inner.PrepareRequest:
		s = callPrepare
	case *inner.CommitRequest:
		s = callCommit
	case *inner.StopRequest:
		s = callStop
	}
	cl.calls[s]++
	before, after := cl.faultsOf(s)
	cl.mu.Unlock()
	if dead || before {
		return nil, errCut
	}
	var res proto.Message
	switch req := args.(type) {
	case *inner.PrepareRequest:
		res = cl.prepare(a, req)
	case *inner.CommitRequest:
		res = cl.commit(a, req)
	case *inner.StopRequest:
		if req.GetCheckpoint().AsDuration() > 0 {
			time.Sleep(cl.checkpointTime)
		}
		res = cl.stopTask(a, req)
	}
	if after {
		return nil, errCut
	}
	return res, nil
}

func (cl *cluster) faultsOf(s callKind) (before, after bool) {
	for _, c := range cl.faults {
		if c.kind == s && c.n == cl.calls[s] {
			before = before || !c.after
			after = after || c.after
		}
	}
	return before, after
}

func (cl *cluster) prepare(a *agent, req *inner.PrepareRequest) *inner.PrepareReply {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if a.fenced[req.GetJob()] >= req.GetAttempt() || req.GetIncarnation() != a.member.GetIncarnation() {
		return &inner.PrepareReply{Refusal: inner.Refusal_REFUSAL_STALE, Reason: "stale"}
	}
	for _, t := range a.member.GetTasks() {
		if isLive(t) && intersect(t.GetAccelerators(), req.GetAccelerators()) {
			return &inner.PrepareReply{Refusal: inner.Refusal_REFUSAL_NO_ACCELERATOR, Reason: "in use"}
		}
	}
	a.holds[holdKey(req.GetJob(), req.GetAttempt())] = time.Now().Add(req.GetHoldTtl().AsDuration())
	return &inner.PrepareReply{Held: true}
}

func (cl *cluster) commit(a *agent, req *inner.CommitRequest) *inner.CommitReply {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	held := a.holds[holdKey(req.GetJob(), req.GetAttempt())]
	if a.fenced[req.GetJob()] >= req.GetAttempt() || time.Now().After(held) {
		return &inner.CommitReply{Refusal: inner.Refusal_REFUSAL_STALE, Reason: "no reservation"}
	}
	g := req.GetGang()[req.GetMember()]
	cl.setTask(a, &inner.Task{
		Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember(),
		State: inner.TaskState_TASK_STATE_WAITING, Accelerators: g.GetAccelerators(),
	})
	if cl.allCommitted(req) {
		for _, m := range req.GetGang() {
			state := inner.TaskState_TASK_STATE_RUNNING
			if cl.failingWorkers[m.GetAgent()] {
				state = inner.TaskState_TASK_STATE_FAILED
			}
			cl.setState(m.GetAgent(), req.GetJob(), req.GetAttempt(), state)
		}
		time.AfterFunc(cl.runTime, func() { cl.complete(req) })
	}
	return &inner.CommitReply{Committed: true}
}

func (cl *cluster) allCommitted(req *inner.CommitRequest) bool {
	for _, m := range req.GetGang() {
		t := cl.task(m.GetAgent(), req.GetJob(), req.GetAttempt())
		if t.GetState() != inner.TaskState_TASK_STATE_WAITING {
			return false
		}
	}
	return true
}

// complete completes the tasks of a gang if all of its members still run.
func (cl *cluster) complete(req *inner.CommitRequest) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, m := range req.GetGang() {
		t := cl.task(m.GetAgent(), req.GetJob(), req.GetAttempt())
		if cl.agents[m.GetAgent()].dead || t.GetState() != inner.TaskState_TASK_STATE_RUNNING {
			return
		}
	}
	cl.ends[req.GetJob()]++
	for _, m := range req.GetGang() {
		cl.setState(m.GetAgent(), req.GetJob(), req.GetAttempt(), inner.TaskState_TASK_STATE_COMPLETED)
	}
}

func (cl *cluster) stopTask(a *agent, req *inner.StopRequest) *inner.StopReply {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if req.GetFence() {
		a.fenced[req.GetJob()] = max(a.fenced[req.GetJob()], req.GetAttempt())
	}
	delete(a.holds, holdKey(req.GetJob(), req.GetAttempt()))
	t := cl.task(a.member.GetName(), req.GetJob(), req.GetAttempt())
	if isLive(t) {
		cl.setState(a.member.GetName(), req.GetJob(), req.GetAttempt(), inner.TaskState_TASK_STATE_STOPPED)
		cl.breakGang(req.GetJob(), req.GetAttempt())
	}
	reply := &inner.StopReply{Stopped: true, State: t.GetState()}
	if !a.noCheckpoint {
		reply.Checkpoint = "c"
	}
	return reply
}

// breakGang makes the other members stop by themselves after the gang lease.
func (cl *cluster) breakGang(job string, attempt int64) {
	time.AfterFunc(2500*time.Millisecond, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		for name, a := range cl.agents {
			if !a.dead && isLive(cl.task(name, job, attempt)) {
				cl.setState(name, job, attempt, inner.TaskState_TASK_STATE_STOPPED)
			}
		}
	})
}

// killAgent stops an agent and its tasks permanently.
func (cl *cluster) killAgent(name string) {
	cl.mu.Lock()
	a := cl.agents[name]
	a.dead = true
	for _, t := range a.member.GetTasks() {
		cl.breakGang(t.GetJob(), t.GetAttempt())
	}
	cl.mu.Unlock()
	cl.notifyEntries(name)
}

func (cl *cluster) task(name, job string, attempt int64) *inner.Task {
	for _, t := range cl.agents[name].member.GetTasks() {
		if t.GetJob() == job && t.GetAttempt() == attempt {
			return t
		}
	}
	return nil
}

func (cl *cluster) setState(name, job string, attempt int64, state inner.TaskState) {
	old := cl.task(name, job, attempt)
	if old == nil {
		return
	}
	if state == inner.TaskState_TASK_STATE_RUNNING {
		cl.starts[taskKey(old)]++
		cl.recordOverlap(old)
	}
	t := proto.Clone(old).(*inner.Task)
	t.State = state
	cl.setTask(cl.agents[name], t)
}

// recordOverlap records a start while another attempt of the job still runs.
func (cl *cluster) recordOverlap(task *inner.Task) {
	for _, a := range cl.agents {
		for _, t := range a.member.GetTasks() {
			other := t.GetJob() == task.GetJob() && t.GetAttempt() != task.GetAttempt()
			if other && !a.dead && t.GetState() == inner.TaskState_TASK_STATE_RUNNING {
				cl.overlaps = append(cl.overlaps, taskKey(task)+" with "+taskKey(t))
			}
		}
	}
}

// names returns the sorted names of the agents.
func (cl *cluster) names() []string {
	var names []string
	for name := range cl.agents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// setTask stores a task in a new row and notifies the entries. The caller holds mu.
func (cl *cluster) setTask(a *agent, task *inner.Task) {
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
	time.AfterFunc(10*time.Millisecond, func() { cl.notifyEntries(name) })
}

func (cl *cluster) notifyEntries(name string) {
	cl.mu.Lock()
	a := cl.agents[name]
	row := fleet.Row{Member: a.member, Lost: a.dead || a.unreachable, LostAt: a.unreachableAt}
	var alive []*entry
	for _, e := range cl.entries {
		if !e.dead {
			alive = append(alive, e)
		}
	}
	cl.mu.Unlock()
	for _, e := range alive {
		e.manager.AgentChanged(row)
	}
}

func holdKey(job string, attempt int64) string { return fmt.Sprint(job, ".", attempt) }

func taskKey(t *inner.Task) string {
	return fmt.Sprint(t.GetJob(), ".", t.GetAttempt(), ".", t.GetMember())
}

func isLive(t *inner.Task) bool {
	s := t.GetState()
	return s == inner.TaskState_TASK_STATE_WAITING || s == inner.TaskState_TASK_STATE_RUNNING
}

func intersect(a, b []int32) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}
