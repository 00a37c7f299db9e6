package check

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// GraphMethod is what a client asked for.
type GraphMethod string

// The methods.
const (
	GraphSubmit GraphMethod = "submit"
	GraphState  GraphMethod = "state"
	GraphCancel GraphMethod = "cancel"
)

// GraphCall is a call on a graph as its client saw it. An outcome that the client did not
// receive is OutcomeUnknown.
type GraphCall struct {
	Method         GraphMethod
	Account        string
	Sent, Answered time.Time
	Outcome        chestnutpond.Outcome
	Reason         chestnutpond.Reason
	// State is that of an answered GraphState.
	State chestnutpond.JobState
}

// GraphJob is a graph that clients handed in under one id.
type GraphJob struct {
	// Graph has no steps if the client sent something that it cannot read itself; the runs of
	// such a job are then not compared with its shape. MaxAttempts is that of its queue.
	Graph chestnutpond.Graph
	// Calls are in the order of their answers.
	Calls []GraphCall
}

// GraphBounds are the times that the checks allow.
type GraphBounds struct {
	// Retention is how long an accepted job is known at least.
	Retention time.Duration
	// Cancel is the time after an acknowledged cancellation in which starts are still ordered.
	Cancel time.Duration
	// Report is the time after the first confirmed report of a worker's life in which starts
	// may still follow what its former life reported.
	Report time.Duration
	// Gang is how long a part of a gang may be present alone.
	Gang time.Duration
}

// GraphHistory is what clients and workers saw.
type GraphHistory struct {
	Jobs map[chestnutpond.JobID]GraphJob
	// Runs are in the order of their starts.
	Runs   []stand.TaskRun
	Bounds GraphBounds
	// Over is when the recording ended.
	Over time.Time
}

// Graphs reports each violation of the rules for graphs of tasks: see section 2 item 1 of
// docs/scarce_capacity.md.
func Graphs(h GraphHistory) error {
	runs := map[chestnutpond.JobID][]stand.TaskRun{}
	for _, r := range h.Runs {
		if r.End.IsZero() {
			r.End = h.Over
		}
		runs[r.Task.Job] = append(runs[r.Task.Job], r)
	}
	var problems []error
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		if _, known := h.Jobs[id]; !known {
			// Another writer's record may be a job; its tasks follow the rules of single runs.
			problems = append(problems, checkRuns(runs[id])...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.Jobs)) {
		j := h.Jobs[id]
		c := graphCheck{id: id, job: j, runs: runs[id], bounds: h.Bounds}
		problems = append(problems, checkRuns(c.runs)...)
		c.acceptance()
		c.cancellation()
		if len(j.Graph.Steps) > 0 {
			c.steps()
			c.workers()
		}
		c.ending()
		problems = append(problems, c.problems...)
	}
	return errors.Join(problems...)
}

// checkRuns checks that each task has one run at a time, and none after its recorded end.
func checkRuns(runs []stand.TaskRun) []error {
	var problems []error
	last, noted := map[chestnutpond.TaskRef]stand.TaskRun{}, map[chestnutpond.TaskRef]stand.TaskRun{}
	for _, r := range runs {
		if former, ok := last[r.Task]; ok && r.Start.Before(former.End) {
			problems = append(problems, fmt.Errorf("task %s: run %d on %s starts at %s while run %d on %s runs",
				r.Task, r.Run, r.Worker.ID, clock(r.Start), former.Run, former.Worker.ID))
		}
		if former, ok := last[r.Task]; !ok || r.End.After(former.End) {
			last[r.Task] = r
		}
		if done, ok := noted[r.Task]; ok && r.End.After(done.Noted) {
			problems = append(problems, fmt.Errorf("task %s: run %d on %s after the end of run %d was recorded at %s",
				r.Task, r.Run, r.Worker.ID, done.Run, clock(done.Noted)))
		}
		if r.Ending == chestnutpond.RunDone && !r.Noted.IsZero() {
			noted[r.Task] = r
		}
	}
	return problems
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// graphCheck checks one job.
type graphCheck struct {
	id       chestnutpond.JobID
	job      GraphJob
	runs     []stand.TaskRun
	bounds   GraphBounds
	problems []error
}

func (c *graphCheck) add(format string, args ...any) {
	c.problems = append(c.problems, fmt.Errorf("job "+string(c.id)+": "+format, args...))
}

// acceptance checks what clients were told of a job's existence.
func (c *graphCheck) acceptance() {
	var accepted GraphCall
	possible := false
	for _, call := range c.job.Calls {
		if call.Method != GraphSubmit {
			continue
		}
		possible = possible || call.Outcome == chestnutpond.OutcomeAccepted || call.Outcome == chestnutpond.OutcomeUnknown
		if call.Outcome != chestnutpond.OutcomeAccepted {
			continue
		}
		if accepted.Outcome == "" {
			accepted = call
		}
		if call.Account != accepted.Account {
			c.add("accepted from %s and at %s from %s", accepted.Account, clock(call.Answered), call.Account)
		}
	}
	if !possible && len(c.runs) > 0 {
		c.add("was only rejected, and run %d of %s started at %s", c.runs[0].Run, c.runs[0].Task, clock(c.runs[0].Start))
	}
	if accepted.Outcome == "" {
		return
	}
	for _, call := range c.job.Calls {
		switch {
		case call.Method == GraphSubmit:
		case call.Account != accepted.Account:
			if call.Outcome == chestnutpond.OutcomeAnswered || call.Outcome == chestnutpond.OutcomeCancelled {
				c.add("%s at %s by %s, which does not own it, is %s", call.Method, clock(call.Sent), call.Account, call.Outcome)
			}
		case call.Reason == chestnutpond.ReasonUnknownJob && call.Sent.After(accepted.Answered) &&
			call.Answered.Before(accepted.Answered.Add(c.bounds.Retention)):
			c.add("accepted at %s and unknown at %s", clock(accepted.Answered), clock(call.Answered))
		}
	}
}

// owner returns the account whose submission was accepted, or else the first that submitted.
func (c *graphCheck) owner() string {
	owner := ""
	for _, call := range c.job.Calls {
		if call.Method == GraphSubmit && call.Outcome == chestnutpond.OutcomeAccepted {
			return call.Account
		}
		if call.Method == GraphSubmit && owner == "" {
			owner = call.Account
		}
	}
	return owner
}

// cancellation checks that nothing is ordered after an acknowledged cancellation. That a job
// is not known yet acknowledges its account's cancellation, too: it is kept.
func (c *graphCheck) cancellation() {
	owner := c.owner()
	for _, call := range c.job.Calls {
		acknowledged := call.Outcome == chestnutpond.OutcomeCancelled || call.Reason == chestnutpond.ReasonUnknownJob
		if call.Method != GraphCancel || call.Account != owner || !acknowledged {
			continue
		}
		for _, r := range c.runs {
			if r.Called.After(call.Answered.Add(c.bounds.Cancel)) {
				c.add("cancelled at %s, and run %d of %s was ordered at %s", clock(call.Answered), r.Run, r.Task, clock(r.Called))
			}
		}
		return
	}
}

// workers checks labels and spread.
func (c *graphCheck) workers() {
	type place struct {
		step   chestnutpond.StepRef
		worker chestnutpond.WorkerIncarnation
	}
	present := map[place][]stand.TaskRun{}
	for _, r := range c.runs {
		if r.Task.Step >= len(c.job.Graph.Steps) {
			continue
		}
		def := &c.job.Graph.Steps[r.Task.Step]
		known := r.Ordered == r.Worker && !r.Confirmed.IsZero() && r.Called.After(r.Confirmed.Add(c.bounds.Report))
		if known && def.Label != "" && !slices.Contains(r.Labels, def.Label) {
			c.add("run %d of %s started at %s on %s, which has the labels %q and not %q", r.Run, r.Task, clock(r.Start), r.Worker.ID, r.Labels, def.Label)
		}
		if def.PerWorker == 0 || r.Ordered != r.Worker {
			continue
		}
		p := place{stepOf(r.Task), r.Worker}
		present[p] = slices.DeleteFunc(present[p], func(o stand.TaskRun) bool { return !o.End.After(r.Start) })
		present[p] = append(present[p], r)
		if len(present[p]) > def.PerWorker {
			c.add("run %d of %s is number %d on %s at %s; allowed are %d", r.Run, r.Task, len(present[p]), r.Worker.ID, clock(r.Start), def.PerWorker)
		}
	}
}

// ending checks that an accepted job ends, and that its end is true.
func (c *graphCheck) ending() {
	accepted, cancelled := false, false
	var state chestnutpond.JobState
	owner := c.owner()
	for _, call := range c.job.Calls {
		if call.Account != owner {
			continue
		}
		accepted = accepted || call.Method == GraphSubmit && call.Outcome == chestnutpond.OutcomeAccepted
		cancelled = cancelled || call.Method == GraphCancel
		if call.Method == GraphState && call.Outcome == chestnutpond.OutcomeAnswered {
			if state.Final() && state != chestnutpond.JobCancelled && call.State != state {
				c.add("shown as %s, and as %s at %s", state, call.State, clock(call.Answered))
			}
			state = call.State
		}
	}
	if !accepted {
		return
	}
	done, failed := c.progress()
	known := len(c.job.Graph.Steps) > 0
	switch {
	case !state.Final():
		c.add("accepted, and shown as %q at last", state)
	case state == chestnutpond.JobCancelled && !cancelled:
		c.add("shown as cancelled, and nobody cancelled it")
	case state == chestnutpond.JobCompleted && known && done < c.job.Graph.TotalTasks():
		c.add("shown as completed with %d of %d tasks done", done, c.job.Graph.TotalTasks())
	case state == chestnutpond.JobFailed && known && failed < max(1, c.job.Graph.Queue.MaxAttempts):
		c.add("shown as failed after %d failed runs of a task; its queue allows %d", failed, c.job.Graph.Queue.MaxAttempts)
	}
}

// progress returns the number of tasks that are done, where a gang is done with one member,
// and the largest number of failed runs of a task or gang.
func (c *graphCheck) progress() (done, failed int) {
	gangs := map[chestnutpond.StepRef]bool{}
	tasks, failures := map[chestnutpond.TaskRef]bool{}, map[chestnutpond.TaskRef]map[int64]bool{}
	for _, r := range c.runs {
		gang := r.Task.Step < len(c.job.Graph.Steps) && c.job.Graph.Steps[r.Task.Step].Gang
		switch {
		case r.Ending == chestnutpond.RunDone && gang && !gangs[stepOf(r.Task)]:
			gangs[stepOf(r.Task)] = true
			done += c.job.Graph.Steps[r.Task.Step].Count
		case r.Ending == chestnutpond.RunDone && !gang && !tasks[r.Task]:
			tasks[r.Task] = true
			done++
		case r.Ending == chestnutpond.RunFailed:
			key := r.Task
			if gang {
				key.Index = 0
			}
			if failures[key] == nil {
				failures[key] = map[int64]bool{}
			}
			failures[key][r.Run] = true
			failed = max(failed, len(failures[key]))
		}
	}
	return done, failed
}

// compareBorders orders the borders of runs: ends before starts.
func compareBorders(a, b border) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
}

// border is the start or the end of a run.
type border struct {
	at     time.Time
	change int
}
