package plan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

var (
	workerCapacity = chestnutpond.Resources{CPU: 64000, Memory: 256000, Accelerators: 8}
	small          = chestnutpond.Resources{CPU: 5000, Memory: 16000, Accelerators: 1}
	big            = chestnutpond.Resources{CPU: 7500, Memory: 31000, Accelerators: 8}
)

// testbed drives a planner with fake workers that execute its orders.
type testbed struct {
	t       *testing.T
	p       *Planner
	now     time.Duration
	wall    time.Time
	workers []*fakeWorker
	jobs    int
	// learns has the planners learn durations.
	learns bool
}

// fakeWorker is a worker whose runs end when the test ends them.
type fakeWorker struct {
	info    chestnutpond.WorkerInfo
	agent   string
	running map[RunRef]int
	// load is the reported load of serving runs.
	load    int64
	ended   []chestnutpond.RunEnd
	ends    int64
	refuse  map[RunRef]chestnutpond.Refusal
	stopped []RunRefusal
	// truncated makes the worker list none of its ends.
	truncated bool
	// ignored has orders to start that are left undone and unanswered, and ignoresStops
	// does so with all orders to stop.
	ignored      map[RunRef]bool
	ignoresStops bool
}

const testLease = 6 * time.Second

func newTestbed(t *testing.T, racks ...int) *testbed {
	b := &testbed{t: t, now: time.Hour, wall: time.Unix(1e9, 0)}
	b.p = b.newPlanner(1, 0)
	n := 0
	for rack, count := range racks {
		for range count {
			n++
			b.addWorker(fmt.Sprintf("w%d", n), fmt.Sprintf("r%d", rack+1))
		}
	}
	b.report()
	b.report()
	return b
}

func (b *testbed) newPlanner(epoch int64, former time.Duration) *Planner {
	p := New(Config{
		Epoch: epoch, Lease: testLease, FormerGrantPeriod: former, ClaimedAt: b.now, Wall: b.wall, Retention: time.Minute, RemoteSlowdown: 3,
		RestoreTime: 100 * time.Millisecond, Policy: Policy{LearnDurations: b.learns},
	})
	p.SetDocument(chestnutpond.Document{
		Version:  1,
		Accounts: []chestnutpond.Account{{Name: "ventas", Accelerators: 16}, {Name: "stock"}},
		Pools:    []chestnutpond.Pool{{Name: "s", RejectsOverload: true}},
	})
	return p
}

func (b *testbed) addWorker(id, rack string) *fakeWorker {
	w := &fakeWorker{
		info: chestnutpond.WorkerInfo{
			ID: id, StartedMs: int64(len(b.workers) + 1), Service: "s", Rack: rack, Labels: []string{"a", rack},
			Capacity: workerCapacity, State: chestnutpond.WorkerReady,
		},
		agent: "agent-of-" + id, running: map[RunRef]int{}, refuse: map[RunRef]chestnutpond.Refusal{},
	}
	b.workers = append(b.workers, w)
	return w
}

func (b *testbed) worker(id string) *fakeWorker {
	for _, w := range b.workers {
		if w.info.ID == id {
			return w
		}
	}
	b.t.Fatalf("no worker %s", id)
	return nil
}

// submit submits a job with one step.
func (b *testbed) submit(priority int, account string, s chestnutpond.Step) chestnutpond.JobID {
	g := b.newGraph(priority, account, s)
	b.p.Accept(g)
	return g.ID
}

// newGraph returns a job with one step.
func (b *testbed) newGraph(priority int, account string, s chestnutpond.Step) *chestnutpond.Graph {
	b.jobs++
	return &chestnutpond.Graph{
		ID: chestnutpond.JobID(fmt.Sprintf("%016x", b.jobs)), Account: account, Steps: []chestnutpond.Step{s},
		Accepted: b.wall,
		Queue: chestnutpond.QueuePolicy{
			Name: fmt.Sprintf("q%d", priority), Service: "s", Priority: priority, MaxAttempts: 3, Stretch: 1.5,
			TargetLatency: 400 * time.Millisecond,
		},
	}
}

// round runs a scheduling round, stores its records, and has the workers execute
// their orders.
func (b *testbed) round() {
	b.p.ExpireLeases(b.now)
	b.p.Decide(b.now, b.wall)
	batch, err := b.p.TakeBatch(b.wall)
	assert.NilError(b.t, err)
	b.p.BatchStored(batch)
	for _, w := range b.workers {
		b.applyOrders(w)
	}
	b.report()
}

func (b *testbed) applyOrders(w *fakeWorker) {
	o, known := b.p.Orders(b.now, w.info.ID)
	if !known || o.Life != w.info.Incarnation() {
		return
	}
	b.p.LeaseGranted(b.now, w.info.ID)
	for _, s := range o.Starts {
		if _, refused := w.refuse[s.RunRef]; refused || w.ignored[s.RunRef] {
			continue
		}
		if _, runs := w.running[s.RunRef]; !runs {
			w.running[s.RunRef] = 0
		}
	}
	for _, s := range o.Stops {
		if w.ignoresStops {
			continue
		}
		if _, runs := w.running[s]; runs {
			w.end(s, chestnutpond.RunStopped)
		} else {
			w.stopped = append(w.stopped, RunRefusal{Task: s.Task, Run: s.Run, Refusal: "stopped"})
		}
	}
}

func (w *fakeWorker) end(r RunRef, ending chestnutpond.RunOutcome) {
	delete(w.running, r)
	w.ends++
	w.ended = append(w.ended, chestnutpond.RunEnd{Sequence: w.ends, Task: r.Task, Run: r.Run, Ending: ending})
}

// report sends the reports of all workers.
func (b *testbed) report() {
	for _, w := range b.workers {
		b.reportWorker(w)
	}
}

func (b *testbed) reportWorker(w *fakeWorker) {
	rep := Report{Agent: w.agent, Info: w.info, Listed: true, Fence: b.currentFence(w), Clock: b.now, Ended: w.ended, Stopped: w.stopped}
	if w.truncated {
		rep.Ended, rep.EndsTruncated = nil, true
	}
	for r, percent := range w.running {
		rep.Running = append(rep.Running, chestnutpond.RunStatus{Task: r.Task, Run: r.Run, Percent: percent, Load: w.load})
	}
	for r, refusal := range w.refuse {
		rep.Refused = append(rep.Refused, RunRefusal{Task: r.Task, Run: r.Run, Refusal: refusal})
	}
	b.p.Report(b.now, rep)
}

// currentFence returns the fence of the worker's current orders.
func (b *testbed) currentFence(w *fakeWorker) int64 {
	if o, known := b.p.Orders(b.now, w.info.ID); known {
		return o.Fence
	}
	return 0
}

// advance advances the clocks, and the progress of all runs by the given percents.
func (b *testbed) advance(d time.Duration, percent int) {
	b.now += d
	b.wall = b.wall.Add(d)
	for _, w := range b.workers {
		for r := range w.running {
			w.running[r] += percent
		}
	}
	b.report()
}

// placements returns the number of running tasks of a job by worker.
func (b *testbed) placements(id chestnutpond.JobID) map[string]int {
	found := map[string]int{}
	for _, w := range b.workers {
		for r := range w.running {
			if r.Task.Job == id {
				found[w.info.ID]++
			}
		}
	}
	return found
}

// endRuns ends all runs of a job.
func (b *testbed) endRuns(id chestnutpond.JobID, ending chestnutpond.RunOutcome) {
	for _, w := range b.workers {
		for r := range w.running {
			if r.Task.Job == id {
				w.end(r, ending)
			}
		}
	}
	b.report()
}

func (b *testbed) phase(id chestnutpond.JobID) chestnutpond.JobState { return b.p.jobs[id].phase }

// Guards against ordering a start before its record is stored: a successor would
// not have the run.
func TestStartAfterRecord(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.p.Decide(b.now, b.wall)
	o, _ := b.p.Orders(b.now, "w1")
	assert.Equal(t, len(o.Starts), 0)
	batch, err := b.p.TakeBatch(b.wall)
	assert.NilError(t, err)
	o, _ = b.p.Orders(b.now, "w1")
	assert.Equal(t, len(o.Starts), 0)
	b.p.BatchStored(batch)
	o, _ = b.p.Orders(b.now, "w1")
	assert.Equal(t, len(o.Starts), 1)
}

// Guards against acknowledging an ended run before its record is stored: the worker
// would discard it.
func TestAcknowledgeAfterRecord(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	b.endRuns(id, chestnutpond.RunDone)
	o, _ := b.p.Orders(b.now, "w1")
	assert.Equal(t, o.Acknowledged, int64(0))
	b.round()
	o, _ = b.p.Orders(b.now, "w1")
	assert.Equal(t, o.Acknowledged, int64(1))
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
}

// Steps run in order of their dependencies, and the job is completed with the last
// one.
func TestOrderOfSteps(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: small})
	g := b.p.jobs[id].graph
	g.Steps = append(g.Steps, chestnutpond.Step{Count: 1, Need: small, After: []int{0}})
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 2)
	for r := range b.worker("w1").running {
		b.worker("w1").end(r, chestnutpond.RunDone)
		break
	}
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 1, "the second step started too early")
	b.endRuns(id, chestnutpond.RunDone)
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 1)
	b.endRuns(id, chestnutpond.RunDone)
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
}

// Occurrences of a scheduled job start when they are due and may overlap.
func TestSchedule(t *testing.T) {
	b := newTestbed(t, 1)
	g := &chestnutpond.Graph{
		ID: "00000000000000aa", Steps: []chestnutpond.Step{{Count: 1, Need: small}}, Accepted: b.wall,
		Queue:    chestnutpond.QueuePolicy{Name: "q", Service: "s", Priority: 1, MaxAttempts: 2},
		Schedule: chestnutpond.Schedule{First: b.wall.Add(time.Second), Every: 2 * time.Second, Repetitions: 3},
	}
	b.p.Accept(g)
	b.round()
	assert.Equal(t, len(b.placements(g.ID)), 0, "started before it was due")
	b.advance(time.Second, 0)
	b.round()
	assert.Equal(t, b.placements(g.ID)["w1"], 1)
	b.advance(4*time.Second, 20)
	b.round()
	assert.Equal(t, b.placements(g.ID)["w1"], 3)
	b.endRuns(g.ID, chestnutpond.RunDone)
	assert.Equal(t, b.phase(g.ID), chestnutpond.JobCompleted)
}

// A gang is placed as a whole or not at all, and it is done once one member is.
func TestGang(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 3, Need: big, Gang: true})
	b.round()
	assert.Equal(t, len(b.placements(id)), 0, "the gang runs in part")
	b.addWorker("w3", "r1")
	b.report()
	b.report()
	b.round()
	assert.Equal(t, len(b.placements(id)), 3)
	for r := range b.worker("w2").running {
		b.worker("w2").end(r, chestnutpond.RunDone)
	}
	b.report()
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
}

// When a member of a gang fails, the others are stopped before the gang is
// restarted. All members of the new run have the same, higher run number.
func TestBrokenGang(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: big, Gang: true})
	b.round()
	w := b.worker("w1")
	for r := range w.running {
		w.end(r, chestnutpond.RunFailed)
	}
	b.report()
	b.advance(3*time.Second, 0)
	b.round()
	b.round()
	b.round()
	assert.Equal(t, len(b.placements(id)), 2)
	for _, w := range b.workers {
		for r := range w.running {
			assert.Equal(t, r.Run, int64(2))
		}
	}
}

// TestPlacement checks on which workers tasks may run.
func TestPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		racks []int
		step  chestnutpond.Step
		want  map[string]int
	}{
		"single tasks fill one worker": {
			[]int{2}, chestnutpond.Step{Count: 3, Need: small}, map[string]int{"w1": 3},
		},
		"label of a rack": {
			[]int{1, 1}, chestnutpond.Step{Count: 1, Need: small, Label: "r2"}, map[string]int{"w2": 1},
		},
		"label that no worker has": {
			[]int{1, 1}, chestnutpond.Step{Count: 1, Need: small, Label: "b"}, map[string]int{},
		},
		"rack of the data": {
			[]int{1, 1}, chestnutpond.Step{Count: 1, Need: small, DataRack: "r2"}, map[string]int{"w2": 1},
		},
		"rack of the data has no workers": {
			[]int{1}, chestnutpond.Step{Count: 1, Need: small, DataRack: "r9"}, map[string]int{"w1": 1},
		},
		"one task a worker": {
			[]int{3}, chestnutpond.Step{Count: 3, Need: small, PerWorker: 1}, map[string]int{"w1": 1, "w2": 1, "w3": 1},
		},
		"gang on one rack": {
			[]int{1, 2}, chestnutpond.Step{Count: 2, Need: big, Gang: true, SameRack: true}, map[string]int{"w2": 1, "w3": 1},
		},
		"gang that no rack can hold": {
			[]int{1, 1}, chestnutpond.Step{Count: 2, Need: big, Gang: true, SameRack: true}, map[string]int{"w1": 1, "w2": 1},
		},
		"memory is the limit": {
			[]int{2},
			chestnutpond.Step{Count: 2, Need: chestnutpond.Resources{CPU: 1000, Memory: 140000, Accelerators: 1}},
			map[string]int{"w1": 1, "w2": 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, c.racks...)
			id := b.submit(1, "stock", c.step)
			b.round()
			assert.DeepEqual(t, b.placements(id), c.want)
		})
	}
}

// Guaranteed work starts although others use the whole fleet, and the preempted
// runs are restarted later.
func TestReclaim(t *testing.T) {
	b := newTestbed(t, 2)
	low := b.submit(2, "stock", chestnutpond.Step{Count: 16, Need: small})
	b.round()
	assert.Equal(t, len(b.placements(low)), 2)
	urgent := b.submit(0, "ventas", chestnutpond.Step{Count: 1, Need: big})
	b.advance(1300*time.Millisecond, 1)
	b.round()
	b.round()
	assert.Equal(t, len(b.placements(urgent)), 1, "guaranteed work does not run")
	b.endRuns(urgent, chestnutpond.RunDone)
	b.round()
	b.round()
	assert.Equal(t, b.placements(low)["w1"]+b.placements(low)["w2"], 16)
}

// Guaranteed work may preempt urgent work of another account, but never work of its
// own job.
func TestReclaimFromUrgentWork(t *testing.T) {
	b := newTestbed(t, 1)
	other := b.submit(0, "stock", chestnutpond.Step{Count: 8, Need: small, Estimate: time.Minute})
	b.round()
	assert.Equal(t, b.placements(other)["w1"], 8)
	urgent := b.submit(0, "ventas", chestnutpond.Step{Count: 1, Need: big, Estimate: time.Second})
	b.advance(1300*time.Millisecond, 0)
	b.round()
	b.round()
	assert.Equal(t, b.placements(urgent)["w1"], 1)
}

// Urgent work waits for a run that is about to end instead of preempting another.
func TestUrgentWorkWaitsForEndingRun(t *testing.T) {
	b := newTestbed(t, 2)
	low := b.submit(2, "stock", chestnutpond.Step{Count: 2, Need: big, Estimate: 10 * time.Second})
	b.round()
	b.advance(4*time.Second, 0)
	// One run is nearly done, the other has just started.
	for r := range b.worker("w1").running {
		b.worker("w1").running[r] = 90
	}
	for r := range b.worker("w2").running {
		b.worker("w2").running[r] = 10
	}
	b.report()
	urgent := b.submit(0, "ventas", chestnutpond.Step{Count: 1, Need: big, Estimate: 2 * time.Second})
	b.round()
	assert.Equal(t, len(b.placements(low)), 2, "a run was stopped")
	b.completeRunsOn("w1")
	b.round()
	assert.Equal(t, b.placements(urgent)["w1"], 1)
}

func (b *testbed) completeRunsOn(id string) {
	w := b.worker(id)
	for r := range w.running {
		w.end(r, chestnutpond.RunDone)
	}
	b.report()
}

// Guards against a worker with a fault that fails one job after another and uses up
// their attempts.
func TestEjection(t *testing.T) {
	b := newTestbed(t, 4)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	b.endRuns(id, chestnutpond.RunFailed)
	for range 5 {
		b.advance(100*time.Millisecond, 0)
		b.round()
	}
	placed := b.placements(id)
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed["w1"], 0, "the task was placed on the failing worker again")
}

// A task that fails by its own fault fails its job after the attempts that its
// queue allows, and causes no worker but the first to be ejected.
func TestFailingTaskFailsItsJob(t *testing.T) {
	b := newTestbed(t, 4)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	for range 3 {
		b.round()
		assert.Equal(t, len(b.placements(id)), 1)
		b.advance(2*time.Second, 30)
		b.endRuns(id, chestnutpond.RunFailed)
	}
	b.round()
	assert.Equal(t, b.phase(id), chestnutpond.JobFailed)
	for _, w := range b.p.sortedWorkers {
		assert.Assert(t, b.now >= w.health.ejectedUntil, "%s is ejected", w.id)
	}
}

// A run that makes no progress is moved to another worker.
func TestStuckRun(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Estimate: 2 * time.Second})
	b.round()
	first := b.placements(id)
	for range 12 {
		b.advance(400*time.Millisecond, 0)
		b.round()
	}
	assert.Equal(t, len(b.placements(id)), 1)
	for w := range b.placements(id) {
		assert.Equal(t, first[w], 0, "the run is still on %s", w)
	}
}

// A run whose agent is silent is considered alive until its lease has expired; its
// task is restarted elsewhere right after.
func TestLeaseOfSilentWorker(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 1)
	silent := b.workers[0]
	b.workers = b.workers[1:]
	granted := b.now
	for b.now-granted < testLease {
		b.advance(100*time.Millisecond, 0)
		b.round()
		assert.Equal(t, len(b.placements(id)), 0, "the task runs twice")
	}
	b.advance(400*time.Millisecond, 0)
	b.round()
	assert.Equal(t, b.placements(id)["w2"], 1)
	// The silent worker returns and still runs the former run.
	silent.running[RunRef{Task: chestnutpond.TaskRef{Job: id}, Run: 1}] = 50
	b.workers = append(b.workers, silent)
	b.report()
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 0, "the former run was not stopped")
}

// Another incarnation of a worker proves the end of the former one only once it has listed
// its runs under a higher fence. A delayed start that reached the new incarnation is
// adopted.
func TestRestartedWorker(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	w := b.worker("w1")
	before := b.currentFence(w)
	w.info.StartedMs++
	w.ended, w.ends = nil, 0
	rep := Report{Agent: w.agent, Info: w.info, Listed: true, Fence: before}
	b.p.Report(b.now, rep)
	assert.Equal(t, len(b.p.jobs[id].runs()), 1, "settled by lists under the former fence")
	assert.Assert(t, b.currentFence(w) > before)
	b.reportWorker(w)
	assert.Equal(t, b.p.jobs[id].runs()[0].number, int64(1), "the delayed start was not adopted")
	w.running = map[RunRef]int{}
	w.info.StartedMs++
	b.p.Report(b.now, Report{Agent: w.agent, Info: w.info})
	b.reportWorker(w)
	assert.Equal(t, len(b.p.jobs[id].runs()), 0)
}

// An unanswered start may still be executed by a later incarnation of the worker, so the
// task is not restarted at once.
func TestUnansweredStartOutlivesWorker(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	w := b.worker("w1")
	w.running = map[RunRef]int{}
	name := RunRef{Task: chestnutpond.TaskRef{Job: id}, Run: 1}
	b.p.Report(b.now, Report{
		Agent: w.agent, Info: w.info, Listed: true, Fence: b.currentFence(w), UnansweredStarts: []UnansweredStart{{Task: name.Task, Run: 1}},
	})
	w.info.StartedMs++
	b.p.Report(b.now, Report{Agent: w.agent, Info: w.info})
	b.reportWorker(w)
	b.round()
	assert.Equal(t, len(b.placements(id)), 0, "the task was restarted at once")
	b.advance(maxOrderDelay, 0)
	b.round()
	b.round()
	assert.Equal(t, len(b.placements(id)), 1)
}

// TestRunOfAFormerProcessIsHeld guards against a task that starts again although the former process
// of the agent, which may have sent its start, has ended without a report.
func TestRunOfAFormerProcessIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		boot string
		seen bool
		held bool
	}{
		"same process":                    {"boot-1", false, false},
		"process replaced":                {"boot-2", false, true},
		"process replaced, run was there": {"boot-2", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			w := b.worker("w1")
			b.p.Report(b.now, Report{Agent: w.agent, Boot: "boot-1", Info: w.info, Listed: true, Fence: b.currentFence(w)})
			id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
			w.ignored = map[RunRef]bool{{Task: chestnutpond.TaskRef{Job: id}, Run: 1}: !c.seen}
			b.p.Decide(b.now, b.wall)
			batch, err := b.p.TakeBatch(b.wall)
			assert.NilError(t, err)
			b.p.BatchStored(batch)
			b.applyOrders(w)
			rep := Report{Agent: w.agent, Boot: "boot-1", Info: w.info, Listed: true, Fence: b.currentFence(w)}
			for r := range w.running {
				rep.Running = append(rep.Running, chestnutpond.RunStatus{Task: r.Task, Run: r.Run})
			}
			b.p.Report(b.now, rep)
			b.p.Report(b.now, Report{Agent: w.agent, Boot: c.boot, Info: w.info, LeaseOver: true, Left: true})
			b.p.Decide(b.now, b.wall)
			task := b.p.jobs[id].occurrences[0].steps[0].tasks[0]
			assert.Equal(t, task.lastRun == 1, c.held, "runs: %d", task.lastRun)
		})
	}
}

// TestRunDoneLate guards against a task that runs again after the end of a run that was settled as
// lost, and whose start a later incarnation of the worker executed, has been acknowledged.
func TestRunDoneLate(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	w := b.worker("w1")
	w.running = map[RunRef]int{}
	ref := chestnutpond.TaskRef{Job: id}
	b.p.Report(b.now, Report{
		Agent: w.agent, Info: w.info, Listed: true, Fence: b.currentFence(w), UnansweredStarts: []UnansweredStart{{Task: ref, Run: 1}},
	})
	w.info.StartedMs++
	b.p.Report(b.now, Report{Agent: w.agent, Info: w.info})
	b.reportWorker(w)
	b.round()
	assert.Equal(t, len(b.placements(id)), 0)
	w.end(RunRef{Task: ref, Run: 1}, chestnutpond.RunDone)
	b.report()
	b.round()
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
	b.advance(maxOrderDelay, 0)
	b.round()
	assert.Equal(t, len(b.placements(id)), 0, "the task runs again")
}

// TestSuccessorHoldsTaskInDoubt guards against a task that a new leader starts again although a
// start of its last run may still be executed, and against one that it holds back for ever.
func TestSuccessorHoldsTaskInDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		// ahead is how far the wall clock of the new leader is ahead.
		ahead time.Duration
		// from and to bound the hold after the takeover.
		from, to time.Duration
	}{
		"same wall clock":        {0, maxOrderDelay - 5*time.Second, maxOrderDelay - 4*time.Second},
		"wall clock set back":    {-time.Hour, maxOrderDelay, maxOrderDelay + time.Second},
		"wall clock set forward": {time.Hour, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
			b.round()
			w := b.worker("w1")
			w.running = map[RunRef]int{}
			b.p.Report(b.now, Report{
				Agent: w.agent, Info: w.info, Listed: true, Fence: b.currentFence(w),
				UnansweredStarts: []UnansweredStart{{Task: chestnutpond.TaskRef{Job: id}, Run: 1}},
			})
			b.p.Report(b.now, Report{Agent: w.agent, Info: w.info, Left: true})
			b.round()
			table := b.storedJob(id)
			b.now += 5 * time.Second
			b.wall = b.wall.Add(5*time.Second + c.ahead)
			b.p = b.newPlanner(2, 0)
			b.p.Load(table)
			b.report()
			b.report()
			held := b.waitForPlacement(id, 1, time.Minute)
			assert.Assert(t, held >= c.from && held <= c.to, "held for %s", held)
		})
	}
}

// Another worker of the same agent proves that the former one has ended, also to a
// leader that took over after the replacement.
func TestReplacedWorker(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	agent := b.workers[0].agent
	table := b.storedJob(id)
	b.p = b.newPlanner(2, 8*time.Second)
	b.p.Load(table)
	b.workers = nil
	w := b.addWorker("w9", "r1")
	w.agent, w.info.StartedMs = agent, 1000
	b.report()
	b.report()
	b.round()
	assert.Equal(t, b.placements(id)["w9"], 1)
}

// A cancelled job's runs are stopped, and its waiting tasks never start.
func TestCancelledJob(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 12, Need: small})
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 8)
	assert.Assert(t, b.p.Cancel(b.now, id))
	b.round()
	b.round()
	assert.Equal(t, len(b.placements(id)), 0)
	assert.Equal(t, b.phase(id), chestnutpond.JobCancelled)
	assert.Assert(t, !b.p.Cancel(b.now, id))
}

// A draining worker gets no new work.
func TestNoPlacementOnDrainingWorker(t *testing.T) {
	b := newTestbed(t, 1)
	b.worker("w1").info.State = chestnutpond.WorkerDraining
	b.report()
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	assert.Equal(t, len(b.placements(id)), 0)
}

// A refused start is placed on another worker with a higher run number.
func TestRefusedStart(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	name := RunRef{Task: chestnutpond.TaskRef{Job: id}, Run: 1}
	b.worker("w1").refuse[name] = chestnutpond.RefusedUnhealthy
	b.round()
	b.round()
	assert.Equal(t, b.placements(id)["w2"], 1)
}

// A run that the planner does not have is stopped.
func TestOrphanRun(t *testing.T) {
	b := newTestbed(t, 1)
	b.worker("w1").running[RunRef{Task: chestnutpond.TaskRef{Job: "00000000000000ff"}, Run: 4}] = 10
	b.report()
	b.round()
	assert.Equal(t, len(b.worker("w1").running), 0)
}

// Ended jobs are removed from the store after their retention time.
func TestPurge(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	b.round()
	b.endRuns(id, chestnutpond.RunDone)
	b.round()
	b.round()
	b.advance(time.Minute, 0)
	batch, err := b.p.TakeBatch(b.wall)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 0, "removed too early")
	b.advance(purgeMargin+time.Second, 0)
	batch, err = b.p.TakeBatch(b.wall)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 3)
	assert.Assert(t, b.p.jobs[id] == nil)
}
