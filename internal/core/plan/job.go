package plan

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// taskPhase is the state of a task. Its values are those of the stored record.
type taskPhase int32

const (
	taskWaiting  = taskPhase(graph.TaskWaiting)
	taskAssigned = taskPhase(graph.TaskAssigned)
	taskDone     = taskPhase(graph.TaskDone)
)

// job is a job with the state of its occurrences.
type job struct {
	graph *chestnutpond.Graph
	phase chestnutpond.JobState
	// reason explains a final phase.
	reason string
	// occurrences are created when they are due.
	occurrences []*occurrence
	// started means that a worker has listed a run of the job as running.
	started bool
	// dirty means that the stored record is out of date.
	dirty bool
	// settled means that the job is final and that no run of it can exist any more.
	settled bool
	// apart means that the store rejected a record of the job.
	apart bool
	// ended is the wall-clock time at which the phase became final.
	ended time.Time
	// split means that the states of the job's tasks are in records of their own.
	split bool
	// parts has the newest record of each part that is in the store; the value is nil if
	// it is not known.
	parts map[graph.PartRef][]byte
	// wholeState means that the stored state still holds the tasks of a split job, as
	// earlier versions wrote it. The first records that replace it are written together.
	wholeState bool
	// source is the record from which this planner had the job first.
	source graph.Source
}

// occurrence is one execution of a job's steps.
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
	// open means that all steps it depends on are done.
	open bool
	// failures counts the failed runs of a gang; failedRun is the number of the
	// last one.
	failures  int
	failedRun int64
	// readyAt is when this planner could first have placed the step.
	readyAt time.Duration
	// advice has the advice service's answers, on queues that require advice.
	advice advice
	// finished is what the completed runs of the step show of its durations.
	finished evidence
}

// task is a task of a step.
type task struct {
	step  *step
	ref   chestnutpond.TaskRef
	phase taskPhase
	// lastRun is the highest run number used so far.
	lastRun  int64
	failures int
	// checkpoint is the newest known checkpoint.
	checkpoint string
	// checkpointAt is when the checkpoint was reported.
	checkpointAt time.Duration
	// current is the task's valid run; nil unless the task is assigned.
	current *run
	// notBefore is the earliest time at which the task may run again, heldUntil the same time by
	// the wall clock, for the record; both are zero if there is none.
	notBefore time.Duration
	heldUntil time.Time
	// waitingSince is when this planner last settled a run of the task, or 0.
	waitingSince time.Duration
	// shown is the duration that the progress of the last stopped run implies, or 0.
	shown time.Duration
	// bounded means that a stopped run was learned from.
	bounded bool
	// avoid is the worker on which the task last failed or from which it was moved.
	avoid string
	// avoidUntil is the time until which the task waits for other workers.
	avoidUntil time.Duration
}

// runPhase is the state of a run.
type runPhase int

const (
	// runDecided runs are not stored yet, so they cannot exist on a worker.
	runDecided runPhase = iota
	// runOrdered runs are stored and may exist on their worker.
	runOrdered
	// runSeen runs have been listed by their worker.
	runSeen
)

// run is one run of a task on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	life   chestnutpond.WorkerIncarnation
	phase  runPhase
	// batch is the number of the batch whose records contain the run.
	batch int64
	// need is the part of the worker's capacity that the run occupies.
	need chestnutpond.Resources
	// stopping means that the run is being stopped. Its task waits again once the
	// run is settled, unless the job has ended.
	stopping bool
	// stoppingSince is when stopping was set.
	stoppingSince time.Duration
	// superseded runs are ignored: their task has ended or has another run.
	superseded bool
	// sent means that the start order was handed out by Orders, or by a former
	// leader.
	sent bool
	// firstBoot identifies the process of the agent to which the start order was handed out
	// first. It is empty if a former leader may have handed it out.
	firstBoot string
	// assigned is when this planner assigned or adopted the run, seen when its worker
	// first listed it.
	assigned, seen time.Duration
	// listed means that the worker's newest list has the run as running.
	listed bool
	// missingSince is when a seen run was first absent from complete lists of its
	// worker, or 0.
	missingSince time.Duration
	// inDoubtAt is when a start order for the run last got no answer, or 0.
	inDoubtAt time.Duration
	// percent is the progress that the worker reports, basePercent the progress
	// when the run was first seen, and progressAt the time of the last change.
	percent, basePercent int
	progressAt           time.Duration
	// seenClock and progressClock are the worker's clock at seen and progressAt.
	seenClock, progressClock time.Duration
	// samples are the latest progress samples.
	samples []sample
	// firstPercent is the progress at firstAt, one second after the run was seen.
	firstPercent int
	firstAt      time.Duration
	// checkpoint is the one from which the run was started.
	checkpoint string
	// load is the tail latency of a serving task in milliseconds over the last half
	// second, as reported by its worker.
	load int64
	// paced means that the run has been given a pace.
	paced bool
	// ticket is the advice service's permission to run, empty if none is required.
	ticket string
}

func newJob(g *chestnutpond.Graph) *job {
	return &job{
		graph: g, phase: chestnutpond.JobQueued,
		split: g.TotalTasks() > maxInlineTasks, parts: map[graph.PartRef][]byte{},
	}
}

// newOccurrence returns an occurrence whose tasks are all waiting.
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

// runs returns the current runs of the job's tasks.
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

// predecessorsDone reports whether all steps that s depends on are done.
func (s *step) predecessorsDone() bool {
	for _, a := range s.def.After {
		if !s.occurrence.steps[a].done {
			return false
		}
	}
	return true
}

// allDone reports whether all tasks of the step are done.
func (s *step) allDone() bool {
	for _, t := range s.tasks {
		if t.phase != taskDone {
			return false
		}
	}
	return true
}

// waiting returns the tasks without a run that may be placed now.
func (s *step) waiting(now time.Duration) []*task {
	var all []*task
	for _, t := range s.tasks {
		if t.phase == taskWaiting && t.notBefore <= now {
			all = append(all, t)
		}
	}
	return all
}

// materialize creates the occurrences that are due and opens the steps whose
// dependencies are done.
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
			p.recordWork(j)
			p.observeArrival(now, j)
		}
	}
	for _, o := range j.occurrences {
		if o.done {
			continue
		}
		for _, s := range o.steps {
			if !s.open && s.predecessorsDone() {
				s.open, s.readyAt = true, now
			}
		}
	}
}
