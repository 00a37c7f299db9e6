package plan

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// maxOrderDelay is how long an unanswered order may still be executed: the platform
// states 12 s.
const maxOrderDelay = 13 * time.Second

// endingDoneLate is the ending that is logged and counted for a run that was done after it had
// been settled as lost.
const endingDoneLate = "done_late"

// settle removes a run that has ended, or that can no longer exist, from its worker
// and updates its task.
func (p *Planner) settle(now time.Duration, r *run, ending chestnutpond.RunOutcome, checkpoint string) {
	r.worker.remove(r)
	t, j := r.task, r.job()
	p.note(Note{Kind: NoteRunEnd, Job: j.graph.ID, Task: t.ref, Run: r.number, Worker: r.worker.id, Detail: string(ending)})
	p.recordEnding(now, r, ending)
	if t.current != r {
		p.checkSettled(now, j)
		return
	}
	p.learnStopped(now, r, ending)
	t.current = nil
	t.phase, t.waitingSince = taskWaiting, now
	j.dirty = true
	if checkpoint != "" {
		t.checkpoint, t.checkpointAt = checkpoint, now
	}
	if doubt := r.doubtedAt(); ending == chestnutpond.RunLeaseExpired && doubt > 0 {
		// The order could still be executed by a later incarnation of the worker, which
		// has not received the fence.
		t.notBefore = doubt + maxOrderDelay
		t.heldUntil = p.wall.Add(t.notBefore - p.decidedAt)
	}
	switch {
	case j.phase.Final():
		p.checkSettled(now, j)
	case t.step.def.Perpetual:
		p.stopGang(now, t.step, r.number)
	case ending == chestnutpond.RunDone:
		p.handleDone(now, r)
	case ending == chestnutpond.RunFailed:
		p.handleFailure(now, r)
	default:
		p.stopGang(now, t.step, r.number)
	}
}

// doubtedAt returns when a start call for the run may last have been left without an answer, or
// 0. The agent reports such calls, but a process that ends takes with it what it has not reported.
func (r *run) doubtedAt() time.Duration {
	if w := r.worker; r.sent && r.phase == runOrdered && r.firstBoot != "" && r.firstBoot != w.boot {
		return max(r.inDoubtAt, w.bootAt)
	}
	return r.inDoubtAt
}

// handleDone learns from a successful run and marks its task as done.
func (p *Planner) handleDone(now time.Duration, r *run) {
	p.recordDuration(now, r)
	p.complete(now, r.task)
}

// completeLate marks a task as done by a run that was settled as lost and whose start was
// executed late. Its end is acknowledged, so the task must not run again.
func (p *Planner) completeLate(now time.Duration, w *worker, e chestnutpond.RunEnd) {
	s := p.stepOf(chestnutpond.StepRef{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: e.Task.Step})
	if s == nil || s.occurrence.job.phase.Final() || e.Task.Index >= len(s.tasks) {
		return
	}
	t := s.tasks[e.Task.Index]
	if t.phase != taskWaiting || e.Run > t.lastRun {
		return
	}
	p.note(Note{Kind: NoteRunEnd, Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.id, Detail: endingDoneLate})
	s.occurrence.job.dirty = true
	p.complete(now, t)
}

// complete marks a task as done, and its step, occurrence and job once all their parts are.
func (p *Planner) complete(now time.Duration, done *task) {
	s := done.step
	done.phase = taskDone
	if s.def.Gang {
		// A gang is done once one member of the run is.
		for _, t := range s.tasks {
			t.phase = taskDone
			if t.current != nil {
				t.current.superseded = true
				t.current = nil
			}
		}
	}
	if !s.allDone() {
		return
	}
	s.done = true
	o := s.occurrence
	for _, other := range o.steps {
		if !other.done {
			return
		}
	}
	o.done = true
	j := o.job
	if len(j.occurrences) < j.graph.Occurrences() {
		return
	}
	for _, other := range j.occurrences {
		if !other.done {
			return
		}
	}
	p.finish(now, j, chestnutpond.JobCompleted, "all tasks are done")
	p.checkSettled(now, j)
}

// handleFailure counts a failed run, and fails the job once its attempts are used
// up.
func (p *Planner) handleFailure(now time.Duration, r *run) {
	t, s, j := r.task, r.task.step, r.job()
	t.failures++
	t.avoidWorker(now, r.worker.id)
	count := t.failures
	if s.def.Gang {
		if s.failedRun != r.number {
			s.failedRun = r.number
			s.failures++
		}
		count = s.failures
	}
	if count >= max(1, j.graph.Queue.MaxAttempts) {
		p.finish(now, j, chestnutpond.JobFailed, "failed as often as its queue allows")
		p.checkSettled(now, j)
		return
	}
	p.stopGang(now, s, r.number)
}

// stopGang stops the other members of a gang run of which one has ended.
func (p *Planner) stopGang(now time.Duration, s *step, number int64) {
	if !s.def.Gang {
		return
	}
	for _, t := range s.tasks {
		if t.current != nil && t.current.number == number {
			p.stop(now, t.current, "another member of the gang has ended")
		}
	}
}

// stop requests the end of a run. A run whose order was not handed out is settled
// at once.
func (p *Planner) stop(now time.Duration, r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stoppingSince = true, now
	r.worker.version++
	p.note(Note{Kind: NoteStopped, Job: r.job().graph.ID, Task: r.task.ref, Run: r.number, Worker: r.worker.id, Detail: reason})
	if !r.mayExist() {
		p.settle(now, r, chestnutpond.RunStopped, "")
	}
}

// checkSettled marks a final job as settled once none of its runs can exist.
func (p *Planner) checkSettled(_ time.Duration, j *job) {
	if !j.phase.Final() || j.settled || len(j.runs()) > 0 {
		return
	}
	j.settled, j.dirty = true, true
}
