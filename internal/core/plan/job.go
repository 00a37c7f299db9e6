package plan

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// taskPhase is where a task stands. Its values are those of the record.
type taskPhase int32

const (
	taskWaiting  = taskPhase(graph.TaskWaiting)
	taskAssigned = taskPhase(graph.TaskAssigned)
	taskDone     = taskPhase(graph.TaskDone)
)

// job is a job and the state of its occurrences.
type job struct {
	graph *chestnutpond.Graph
	phase chestnutpond.JobState
	// reason says why the phase is final.
	reason string
	// occurrences exist from when they are due.
	occurrences []*occurrence
	// begun means that a task was seen running.
	begun bool
	// dirty means that the stored record is not up to date.
	dirty bool
	// settled means that the job is final and nothing of it can run any more.
	settled bool
	// ended is the wall-clock time of the final phase.
	ended time.Time
	// took is the number of the Take that has the job's newest record.
	took int64
}

// occurrence is one run of a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	done   bool
}

// step is a step of an occurrence.
type step struct {
	occurrence *occurrence
	number     int
	def        *chestnutpond.Step
	tasks      []*task
	done       bool
	// open means that the steps before it are done.
	open bool
	// failures counts the failed runs of a gang, failedRun is the last of them.
	failures  int
	failedRun int64
	// ready is when the step could first have been placed, by this planner.
	ready time.Duration
	// advice is what is known of the workers that may run it, on queues that need
	// advice.
	advice advice
}

// task is a task of a step.
type task struct {
	step  *step
	ref   chestnutpond.TaskRef
	phase taskPhase
	// run is the highest number used so far.
	run      int64
	failures int
	// checkpoint is the newest known one.
	checkpoint string
	// saved is when the checkpoint was learned.
	saved time.Duration
	// current is the run that counts; nil unless the task is assigned.
	current *run
	// notBefore is when the task may run again at the earliest.
	notBefore time.Duration
	// avoid is the worker on which the task failed last.
	avoid string
}

// runPhase is where a run stands.
type runPhase int

const (
	// runDecided runs are not in the store yet and cannot exist.
	runDecided runPhase = iota
	// runOrdered runs may exist.
	runOrdered
	// runSeen runs were listed by their worker.
	runSeen
)

// run is one run of a task on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	life   chestnutpond.Life
	phase  runPhase
	// took is the number of the Take whose records have the run.
	took int64
	// need is what the run takes from the worker's capacity.
	need chestnutpond.Resources
	// stopping means that the run is to end. The task waits again once it is
	// settled, unless the job has ended.
	stopping bool
	// superseded runs no longer count: their task has ended or has another run.
	superseded bool
	// sent means that the order to start was handed out.
	sent bool
	// ordered and seen are when the run got into these phases.
	ordered, seen time.Duration
	// missing is since when a seen run has been in none of the lists, or 0.
	missing time.Duration
	// doubted is when an order to start it last got no answer, or 0.
	doubted time.Duration
	// percent is the worker's figure, moved when it last changed.
	// base is the figure when the run was first seen.
	percent, base int
	moved         time.Duration
	// seenClock and movedClock are the worker's clock at seen and moved.
	seenClock, movedClock time.Duration
	// samples are the newest figures with their times.
	samples []sample
	// firstPercent is the progress at firstAt, a second after the run was seen.
	firstPercent int
	firstAt      time.Duration
	// checkpoint that the run was started from.
	checkpoint string
	// load is the worker's figure for the last half second: the tail latency of a
	// serving task in milliseconds.
	load int64
	// paced means that the run was told a pace.
	paced bool
	// ticket is the permission of the advice service, empty where none is needed.
	ticket string
}

func newJob(g *chestnutpond.Graph) *job {
	return &job{graph: g, phase: chestnutpond.JobQueued}
}

// newOccurrence returns an occurrence of which nothing has run.
func (j *job) newOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number}
	for i := range j.graph.Steps {
		s := &step{occurrence: o, number: i, def: &j.graph.Steps[i]}
		for k := range s.def.Count {
			ref := chestnutpond.TaskRef{Job: j.graph.ID, Occurrence: number, Step: i, Index: k}
			s.tasks = append(s.tasks, &task{step: s, ref: ref})
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// runs returns the runs of the job that count and may exist.
func (j *job) runs() []*run {
	var all []*run
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.current != nil {
					all = append(all, t.current)
				}
			}
		}
	}
	return all
}

// after reports whether the steps before s are done.
func (s *step) after() bool {
	for _, a := range s.def.After {
		if !s.occurrence.steps[a].done {
			return false
		}
	}
	return true
}

// finished reports whether all tasks of the step have ended as done.
func (s *step) finished() bool {
	for _, t := range s.tasks {
		if t.phase != taskDone {
			return false
		}
	}
	return true
}

// waiting returns the tasks that have no run and may have one now.
func (s *step) waiting(now time.Duration) []*task {
	var all []*task
	for _, t := range s.tasks {
		if t.phase == taskWaiting && t.notBefore <= now {
			all = append(all, t)
		}
	}
	return all
}

// materialize creates the occurrences that are due and opens their steps.
func (p *Planner) materialize(now time.Duration, wall time.Time, j *job) {
	if j.phase.Final() {
		return
	}
	for n := len(j.occurrences); n < j.graph.Occurrences(); n++ {
		if wall.Before(j.graph.Due(n)) {
			break
		}
		j.occurrences = append(j.occurrences, j.newOccurrence(n))
		if n == 0 {
			p.weigh(j)
		}
	}
	for _, o := range j.occurrences {
		if o.done {
			continue
		}
		for _, s := range o.steps {
			if !s.open && s.after() {
				s.open, s.ready = true, now
			}
		}
	}
}
