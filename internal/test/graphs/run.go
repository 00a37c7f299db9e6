package graphs

import (
	"fmt"
	"math"
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
}

// loop is a load that runs.
type loop struct {
	planner *plan.Planner
	now     time.Duration
	began   time.Time
	jobs    map[chestnutpond.JobID]*job
	workers []*worker
	// thrown is the work of stopped runs, in core seconds.
	thrown float64
	result Result
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
	done time.Duration
	// stops is when a run that was told to stop has ended, or 0.
	stops time.Duration
}

// Run plays a row.
func Run(r Row, seed uint64) Result {
	jobs := r.jobs(seed)
	l := &loop{
		began: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), jobs: map[chestnutpond.JobID]*job{},
		result: Result{Jobs: len(jobs), Bound: bound(jobs), Late: map[string]int{}},
	}
	l.planner = plan.New(plan.Config{Epoch: 1, Lease: lease, Wall: l.began, Retention: time.Hour, RemoteSlowdown: 3, Policy: plan.Policy{LearnDurations: r.Learn}})
	document := chestnutpond.Document{Version: 1}
	for _, name := range r.accountNames() {
		document.Accounts = append(document.Accounts, chestnutpond.Account{Name: name})
	}
	l.planner.SetDocument(document)
	for i := range r.workers {
		id := fmt.Sprintf("worker-%03d", i+1)
		l.workers = append(l.workers, &worker{info: chestnutpond.WorkerInfo{
			ID: id, StartedMs: 1, Service: service, Rack: fmt.Sprintf("rack-%d", i/3+1), Capacity: r.room,
			State: chestnutpond.WorkerReady,
		}})
	}
	total, work := 0.0, 0.0
	for i := range jobs {
		j := &jobs[i]
		l.jobs[j.graph.ID] = j
		total += j.value
		work += float64(j.graph.Steps[0].Count) * j.work.Seconds() * cores(j.graph.Steps[0].Need)
	}
	l.play(jobs)
	l.result.Value /= total
	l.result.Thrown = l.thrown / work
	return l.result
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
	ended := 0
	for _, n := range l.planner.Notes() {
		if n.Kind == plan.NotePredicted {
			l.result.countPrediction(n)
		}
		if n.Kind != plan.NoteEnded {
			continue
		}
		ended++
		if j := l.jobs[n.Job]; n.State == chestnutpond.JobCompleted && n.Took <= j.objective {
			l.result.InTime++
			l.result.Value += j.value
		} else {
			l.result.Late[j.graph.Queue.Name]++
		}
	}
	return ended
}

func (r *Result) countPrediction(n plan.Note) {
	r.Predicted++
	if n.Took <= n.Prediction.P90 {
		r.UnderP90++
	}
	off := math.Log(float64(n.Took) / float64(n.Prediction.Median))
	r.SquaredError += off * off
}

// members returns how many runs of each gang run are present.
func (l *loop) members() map[plan.RunRef]int {
	present := map[plan.RunRef]int{}
	for _, w := range l.workers {
		for _, r := range w.running {
			present[r.gang()]++
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
	for _, w := range l.workers {
		w.running = slices.DeleteFunc(w.running, func(r *taskRun) bool {
			j := l.jobs[r.name.Task.Job]
			step := &j.graph.Steps[0]
			if !step.Gang || present[r.gang()] == step.Count {
				r.done += tick
			}
			switch {
			case r.stops > 0 && l.now >= r.stops:
				l.thrown += r.done.Seconds() * cores(step.Need)
				w.end(r, chestnutpond.RunStopped)
				return true
			case r.done >= j.workOf(r.name.Task.Index):
				w.end(r, chestnutpond.RunDone)
				return true
			}
			return false
		})
	}
}

func (w *worker) end(r *taskRun, how chestnutpond.RunOutcome) {
	w.ends++
	w.ended = append(w.ended, chestnutpond.RunEnd{Sequence: w.ends, Task: r.name.Task, Run: r.name.Run, Ending: how})
}

// report returns the worker's lists.
func (w *worker) report(l *loop) plan.Report {
	rep := plan.Report{Agent: w.info.ID, Info: w.info, Listed: w.fence > 0, Fence: w.fence, Ended: w.ended, Clock: l.now + time.Second}
	for _, r := range w.running {
		rep.Running = append(rep.Running, chestnutpond.RunStatus{
			Task: r.name.Task, Run: r.name.Run, Percent: int(100 * r.done / l.jobs[r.name.Task.Job].workOf(r.name.Task.Index)),
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
			w.running[i].stops = l.now + stopTime
		}
	}
	for _, s := range o.Starts {
		if w.find(s.RunRef) < 0 && !slices.ContainsFunc(w.ended, func(e chestnutpond.RunEnd) bool {
			return e.Task == s.Task && e.Run == s.Run
		}) {
			w.running = append(w.running, &taskRun{name: s.RunRef})
		}
	}
}

// find returns the index of a run, or -1.
func (w *worker) find(name plan.RunRef) int {
	return slices.IndexFunc(w.running, func(r *taskRun) bool { return r.name == name })
}
