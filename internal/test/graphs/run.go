package graphs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

const (
	// tick is the step of the loop: about what a record, an order and a report take.
	tick = 50 * time.Millisecond
	// stopTime is how long a run takes to stop.
	stopTime = 200 * time.Millisecond
	// drainLimit is how long a load may take in all.
	drainLimit = 5 * time.Minute
	lease      = 6 * time.Second
	// acceleratorCores is how many cores an accelerator counts for.
	acceleratorCores = 8
	// remoteSlowdown is the factor by which a task takes longer away from its data or its
	// gang.
	remoteSlowdown = 3
	// failAfter is how long a run lasts on a worker that fails its runs.
	failAfter = 200 * time.Millisecond
	// preemptReason is the reason that the planner gives for a preempted run.
	preemptReason = "makes room for more urgent work"
)

// Result is what became of a load.
type Result struct {
	Jobs, InTime int
	// Value is the share of the value of all jobs that was done in time, Bound one that
	// cannot be exceeded.
	Value, Bound float64
	// Thrown is the work that was stopped, as a share of the work of all jobs.
	Thrown float64
	// Unfinished is the number of jobs that never ended.
	Unfinished int
	// Late is the number of jobs by kind that were not done in time.
	Late map[string]int
	// Predicted is the number of runs that were compared with their prediction, UnderP90
	// that of those within the predicted 90th percentile, and SquaredError the sum of the
	// squares of the logarithm of actual over predicted duration.
	Predicted, UnderP90 int
	SquaredError        float64
	Outcomes
}

// loop is a load that runs.
type loop struct {
	row     Row
	planner *plan.Planner
	now     time.Duration
	began   time.Time
	jobs    map[chestnutpond.JobID]*job
	workers []*worker
	// thrown is the work of stopped runs, in core seconds.
	thrown float64
	// preempted has the runs that were stopped for more urgent work.
	preempted map[plan.RunRef]bool
	result    Result
}

// worker is the stand-in of a worker.
type worker struct {
	info    chestnutpond.WorkerInfo
	fence   int64
	running []*taskRun
	ended   []chestnutpond.RunEnd
	ends    int64
}

// taskRun is a run on a worker.
type taskRun struct {
	name plan.RunRef
	// done is the work done, saved that in the checkpoint from which the run started.
	done, saved time.Duration
	// restoring is the rest of the time to start from the checkpoint.
	restoring, age time.Duration
	// stops is when a run that was told to stop has ended, or 0.
	stops time.Duration
}

// Run plays a row.
func Run(r Row, seed uint64) Result {
	jobs := r.jobs(seed)
	l := &loop{
		row: r, began: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), jobs: map[chestnutpond.JobID]*job{},
		preempted: map[plan.RunRef]bool{},
		result:    Result{Jobs: len(jobs), Bound: bound(jobs), Late: map[string]int{}, Outcomes: newOutcomes()},
	}
	l.planner = plan.New(plan.Config{
		Epoch: 1, Lease: lease, Wall: l.began, Retention: time.Hour, RemoteSlowdown: remoteSlowdown, RestoreTime: r.restore,
		Policy: r.Policy,
	})
	l.planner.SetDocument(r.document())
	for i := range r.workers {
		id := fmt.Sprintf("worker-%03d", i+1)
		l.workers = append(l.workers, &worker{info: chestnutpond.WorkerInfo{
			ID: id, StartedMs: 1, Service: service, Rack: r.rackName(i), Zone: r.zoneName(i), Capacity: r.room,
			State: chestnutpond.WorkerReady,
		}})
	}
	total, work := 0.0, 0.0
	for i := range jobs {
		j := &jobs[i]
		l.jobs[j.graph.ID] = j
		total += j.value
		work += j.coreSeconds()
	}
	l.play(jobs)
	l.result.finish(jobs, total)
	l.result.Value /= total
	l.result.Thrown = l.thrown / work
	return l.result
}

// document returns the document with the row's accounts.
func (r Row) document() chestnutpond.Document {
	d := chestnutpond.Document{Version: 1}
	for _, name := range r.accountNames() {
		d.Accounts = append(d.Accounts, chestnutpond.Account{Name: name})
	}
	for _, a := range r.accounts {
		d.Accounts = append(d.Accounts, chestnutpond.Account{Name: a.name, Accelerators: a.guarantee})
	}
	return d
}

// coreSeconds returns the work of the job's tasks.
func (j *job) coreSeconds() float64 {
	step := &j.graph.Steps[0]
	return float64(step.Count) * j.work.Seconds() * cores(step.Need)
}

// taskWork returns the work of a task.
func (j *job) taskWork(t chestnutpond.TaskRef) time.Duration {
	if j.tasks == nil {
		return j.work
	}
	return j.tasks[t.Step][t.Index]
}

func cores(r chestnutpond.Resources) float64 {
	return float64(r.CPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// play runs the load until every job has ended.
func (l *loop) play(jobs []job) {
	open := len(jobs)
	for ; open > 0 && l.now < drainLimit; l.now += tick {
		wall := l.began.Add(l.now)
		for i := range jobs {
			if j := &jobs[i]; j.arrives <= l.now && j.arrives > l.now-tick {
				j.graph.Accepted = l.began.Add(j.arrives)
				l.planner.Accept(&j.graph)
			}
		}
		l.advance()
		for _, w := range l.workers {
			l.planner.Report(l.now, w.report(l))
		}
		l.planner.ExpireLeases(l.now)
		l.planner.Decide(l.now, wall)
		batch, err := l.planner.TakeBatch(wall)
		if err != nil {
			// The jobs of a load can be encoded.
			panic(err)
		}
		l.planner.BatchStored(batch)
		open -= l.count()
		for _, w := range l.workers {
			l.carryOut(w)
		}
	}
	l.result.Unfinished = open
}

// count takes the jobs that ended in the round, and returns their number.
func (l *loop) count() int {
	ended, preempting := 0, false
	for _, n := range l.planner.Notes() {
		switch n.Kind {
		case plan.NoteStopped:
			l.result.Stops[n.Detail]++
			// The rest of a gang is stopped after the member that makes room.
			preempting = preempting || n.Detail == preemptReason
			l.preempted[plan.RunRef{Task: n.Task, Run: n.Run}] = preempting
		case plan.NotePlaced:
			// A unit that preempts runs is placed after they were told to stop.
			l.jobs[n.Job].preempted = l.jobs[n.Job].preempted || preempting
			preempting = false
		case plan.NotePredicted:
			l.result.countPrediction(n)
		case plan.NoteEnded:
			ended++
			l.ended(l.jobs[n.Job], n)
		default:
		}
	}
	return ended
}

// ended takes a job that ended.
func (l *loop) ended(j *job, n plan.Note) {
	inTime := n.State == chestnutpond.JobCompleted && n.Took <= j.objective
	if inTime {
		l.result.InTime++
		l.result.Value += j.value
	} else {
		l.result.Late[j.graph.Queue.Name]++
	}
	l.result.add(j, n)
}

// presence is how many runs of a gang run are present, on how many racks.
type presence struct {
	count, racks int
	lastRack     string
}

// members returns the presence of each gang run. Racks are numbered through, so a gang
// meets those it has in turn.
func (l *loop) members() map[plan.RunRef]presence {
	present := map[plan.RunRef]presence{}
	for _, w := range l.workers {
		for _, r := range w.running {
			p := present[r.gang()]
			p.count++
			if p.lastRack != w.info.Rack {
				p.racks, p.lastRack = p.racks+1, w.info.Rack
			}
			present[r.gang()] = p
		}
	}
	return present
}

// gang names the run of a gang that a run belongs to.
func (r *taskRun) gang() plan.RunRef {
	name := r.name
	name.Task.Index = 0
	return name
}

// advance lets the runs work for one step, and ends those that are done or stopped.
func (l *loop) advance() {
	present := l.members()
	for i, w := range l.workers {
		rate := l.rate(i)
		w.running = slices.DeleteFunc(w.running, func(r *taskRun) bool {
			j := l.jobs[r.name.Task.Job]
			step := &j.graph.Steps[r.name.Task.Step]
			r.age += tick
			if whole := present[r.gang()]; !step.Gang || whole.count == step.Count {
				r.work(rate, step.DataRack != "" && step.DataRack != w.info.Rack || step.SameRack && whole.racks > 1)
			}
			switch {
			case r.stops > 0 && l.now >= r.stops:
				l.discard(r, step)
				w.end(r, chestnutpond.RunStopped, l.checkpoint(r, step))
				return true
			case r.done >= j.taskWork(r.name.Task):
				w.end(r, chestnutpond.RunDone, "")
				return true
			case rate == 0 && r.age >= failAfter:
				l.discard(r, step)
				w.end(r, chestnutpond.RunFailed, l.checkpoint(r, step))
				return true
			}
			return false
		})
	}
}

// work lets the run work for one step.
func (r *taskRun) work(rate float64, remote bool) {
	if r.restoring > 0 {
		r.restoring -= tick
		return
	}
	if remote {
		rate /= remoteSlowdown
	}
	r.done += time.Duration(rate * float64(tick))
}

// rate returns the speed of a worker now.
func (l *loop) rate(worker int) float64 {
	for _, f := range l.row.faults {
		if f.worker == worker && l.now >= f.from && l.now < f.to {
			return f.rate
		}
	}
	return 1
}

// kept returns the work that is in the newest checkpoint of a run.
func (l *loop) kept(r *taskRun, step *chestnutpond.Step) time.Duration {
	if !step.Checkpointable || l.row.checkpoint == 0 {
		return 0
	}
	return max(r.saved, r.done.Truncate(l.row.checkpoint))
}

// checkpoint returns the newest checkpoint of a run: the work it holds.
func (l *loop) checkpoint(r *taskRun, step *chestnutpond.Step) string {
	if kept := l.kept(r, step); kept > 0 {
		return kept.String()
	}
	return ""
}

// discard counts the work that is lost with a run, with the time to restore its checkpoint.
func (l *loop) discard(r *taskRun, step *chestnutpond.Step) {
	lost := r.done - l.kept(r, step)
	if l.kept(r, step) > 0 {
		lost += l.row.restore
	}
	l.thrown += lost.Seconds() * cores(step.Need)
	coreSeconds := lost.Seconds() * float64(step.Need.CPU) / 1000
	l.result.Discarded += coreSeconds
	if l.preempted[r.name] {
		l.result.Preempted += coreSeconds
	}
}

func (w *worker) end(r *taskRun, how chestnutpond.RunOutcome, checkpoint string) {
	w.ends++
	w.ended = append(w.ended, chestnutpond.RunEnd{
		Sequence: w.ends, Task: r.name.Task, Run: r.name.Run, Ending: how, Checkpoint: checkpoint,
	})
}

// report returns the worker's lists.
func (w *worker) report(l *loop) plan.Report {
	rep := plan.Report{Agent: w.info.ID, Info: w.info, Listed: w.fence > 0, Fence: w.fence, Ended: w.ended, Clock: l.now + time.Second}
	for _, r := range w.running {
		j := l.jobs[r.name.Task.Job]
		rep.Running = append(rep.Running, chestnutpond.RunStatus{
			Task: r.name.Task, Run: r.name.Run, Percent: int(100 * r.done / j.taskWork(r.name.Task)),
			Checkpoint: l.checkpoint(r, &j.graph.Steps[r.name.Task.Step]),
		})
	}
	return rep
}

// carryOut has the worker do what it is told.
func (l *loop) carryOut(w *worker) {
	o, known := l.planner.Orders(l.now, w.info.ID)
	if !known {
		return
	}
	l.planner.LeaseGranted(l.now, w.info.ID)
	w.fence = o.Fence
	w.ended = slices.DeleteFunc(w.ended, func(e chestnutpond.RunEnd) bool { return e.Sequence <= o.Acknowledged })
	for _, s := range o.Stops {
		if i := w.find(s); i >= 0 && w.running[i].stops == 0 {
			w.running[i].stops = l.now + cmp.Or(l.row.stop, stopTime)
		}
	}
	for _, s := range o.Starts {
		if w.find(s.RunRef) < 0 && !slices.ContainsFunc(w.ended, func(e chestnutpond.RunEnd) bool {
			return e.Task == s.Task && e.Run == s.Run
		}) {
			w.running = append(w.running, l.newRun(s))
		}
	}
}

// newRun starts a run, from its checkpoint if it has one.
func (l *loop) newRun(s plan.StartRun) *taskRun {
	r := &taskRun{name: s.RunRef}
	if s.Checkpoint == "" {
		return r
	}
	saved, err := time.ParseDuration(s.Checkpoint)
	if err != nil {
		// The stand-in wrote the checkpoint itself.
		panic(err)
	}
	r.done, r.saved, r.restoring = saved, saved, l.row.restore
	return r
}

// find returns the index of a run, or -1.
func (w *worker) find(name plan.RunRef) int {
	return slices.IndexFunc(w.running, func(r *taskRun) bool { return r.name == name })
}
