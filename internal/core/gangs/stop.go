package gangs

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Stopping is the result of a stop request.
type Stopping struct {
	// Reply is final when Done is nil.
	Reply *inner.StopReply
	// Done closes when the task has ended; then StopReply returns the final
	// reply.
	Done <-chan struct{}
	// Fenced reports whether the attempt is fenced, so that it cannot start
	// here any more.
	Fenced bool
}

// Stop asks a task to stop. With a fence in the request, its attempt and all
// lower ones of the job can no longer start here.
func (t *Table) Stop(req *inner.StopRequest, now time.Time) Stopping {
	t.mu.Lock()
	s := t.doStop(req, now)
	t.mu.Unlock()
	t.cfg.Notify()
	return s
}

func (t *Table) doStop(req *inner.StopRequest, now time.Time) Stopping {
	key := Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	t.expire(now)
	if v := t.checkTerm(req.GetRegion(), req.GetTerm()); !v.OK {
		return Stopping{Reply: &inner.StopReply{Refusal: v.Refusal, Reason: v.Reason}}
	}
	fenced := t.fenced(key.Job, key.Attempt)
	if req.GetFence() {
		fenced = t.fence(key.Job, key.Attempt, now)
	}
	delete(t.reservations, key)
	for other, task := range t.tasks {
		if other == key {
			t.requestStop(task, req.GetCheckpoint().AsDuration(), req.GetReason(), now)
		} else if req.GetFence() && other.Job == key.Job && other.Attempt < key.Attempt {
			t.requestStop(task, 0, req.GetReason(), now)
		}
	}
	task, ok := t.tasks[key]
	if ok {
		s := Stopping{Reply: task.stopReply(), Fenced: fenced}
		if task.phase != ended {
			s.Done = task.done
		}
		return s
	}
	// Until the worker is clean, tasks of a previous incarnation may still run
	// on it.
	reply := &inner.StopReply{Stopped: fenced && t.clean}
	if !fenced {
		reply.Refusal = inner.Refusal_REFUSAL_UNKNOWN_ATTEMPT
		reply.Reason = "the member is not known and not fenced"
	}
	return Stopping{Reply: reply, Fenced: fenced}
}

// StopEnded fences the attempts of these tasks and asks the tasks to stop, because
// the end of the attempts is in the log. That record is final, so the call needs
// no term.
func (t *Table) StopEnded(ids []string, reason string, now time.Time) {
	if len(ids) == 0 {
		return
	}
	toStop := make(map[chestnutpond.TaskID]bool, len(ids))
	for _, id := range ids {
		toStop[chestnutpond.TaskID(id)] = true
	}
	t.mu.Lock()
	for key, task := range t.tasks {
		if toStop[key.Task()] && task.phase != ended {
			t.fence(key.Job, key.Attempt, now)
			t.requestStop(task, 0, reason, now)
		}
	}
	t.mu.Unlock()
	t.cfg.Notify()
}

// requestStop asks a task to stop. The caller holds t.mu.
func (t *Table) requestStop(k *task, checkpoint time.Duration, reason string, now time.Time) {
	t.updateLocked(k, now, func(k *task) { k.requestStop(checkpoint, reason, now) })
	signal(k.stepSignal)
}

// StopAll asks all tasks to stop, each after a checkpoint that may take at most
// the given time.
func (t *Table) StopAll(checkpoint time.Duration, reason string, now time.Time) {
	t.mu.Lock()
	for _, task := range t.tasks {
		t.requestStop(task, checkpoint, reason, now)
	}
	t.mu.Unlock()
	t.cfg.Notify()
}

// StopReply returns the reply to a stop request for the member's current state.
func (t *Table) StopReply(key Key, fenced bool) *inner.StopReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if task, ok := t.tasks[key]; ok {
		return task.stopReply()
	}
	// The task is no longer in the table: it has ended and was released.
	return &inner.StopReply{Stopped: fenced || t.fenced(key.Job, key.Attempt)}
}

func (t *task) stopReply() *inner.StopReply {
	return &inner.StopReply{
		// A task in the table is never started a second time, so one that has
		// ended cannot start again even without a fence.
		Stopped:    t.phase == ended,
		State:      t.state(),
		Checkpoint: t.checkpoint(),
		Result:     t.result,
		Reason:     t.reason,
	}
}
