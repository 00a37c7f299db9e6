package gangs

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Stopping is the outcome of an order to stop.
type Stopping struct {
	// Reply is final when Done is nil.
	Reply *inner.StopReply
	// Done closes when the task has ended; StopReply tells the outcome then.
	Done <-chan struct{}
	// Fenced says whether the attempt can start no more.
	Fenced bool
}

// Stop orders a task to stop and, with fence, makes its attempt and all lower
// ones of the job unable to start here.
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
	if v := t.current(req.GetRegion(), req.GetTerm()); !v.OK {
		return Stopping{Reply: &inner.StopReply{Refusal: v.Refusal, Reason: v.Reason}}
	}
	fenced := t.fenced(key.Job, key.Attempt)
	if req.GetFence() {
		fenced = t.fence(key.Job, key.Attempt, now)
	}
	delete(t.holds, key)
	for other, task := range t.tasks {
		if other == key {
			t.order(task, req.GetCheckpoint().AsDuration(), req.GetReason(), now)
		} else if req.GetFence() && other.Job == key.Job && other.Attempt < key.Attempt {
			t.order(task, 0, req.GetReason(), now)
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
	// What a former incarnation left on the worker may still run until it is clean.
	reply := &inner.StopReply{Stopped: fenced && t.clean}
	if !fenced {
		reply.Refusal = inner.Refusal_REFUSAL_UNKNOWN_ATTEMPT
		reply.Reason = "the member is not known and not fenced"
	}
	return Stopping{Reply: reply, Fenced: fenced}
}

// Over stops and fences tasks whose attempt is over by the log. The log does not
// go back on that, so no term is needed.
func (t *Table) Over(ids []string, reason string, now time.Time) {
	if len(ids) == 0 {
		return
	}
	over := make(map[chestnutpond.TaskID]bool, len(ids))
	for _, id := range ids {
		over[chestnutpond.TaskID(id)] = true
	}
	t.mu.Lock()
	for key, task := range t.tasks {
		if over[key.Task()] && task.phase != ended {
			t.fence(key.Job, key.Attempt, now)
			t.order(task, 0, reason, now)
		}
	}
	t.mu.Unlock()
	t.cfg.Notify()
}

// order asks a task to stop, with the lock held.
func (t *Table) order(k *task, checkpoint time.Duration, reason string, now time.Time) {
	t.apply(k, now, func(k *task) { k.order(checkpoint, reason, now) })
	wake(k.wake)
}

// StopAll orders all tasks to stop after a checkpoint of at most that time.
func (t *Table) StopAll(checkpoint time.Duration, reason string, now time.Time) {
	t.mu.Lock()
	for _, task := range t.tasks {
		t.order(task, checkpoint, reason, now)
	}
	t.mu.Unlock()
	t.cfg.Notify()
}

// StopReply returns the answer to a stop of the member as it is now.
func (t *Table) StopReply(key Key, fenced bool) *inner.StopReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if task, ok := t.tasks[key]; ok {
		return task.stopReply()
	}
	// The task has ended and was released.
	return &inner.StopReply{Stopped: fenced || t.fenced(key.Job, key.Attempt)}
}

func (t *task) stopReply() *inner.StopReply {
	return &inner.StopReply{
		// A known task is never started again.
		Stopped:    t.phase == ended,
		State:      t.state(),
		Checkpoint: t.checkpoint(),
		Result:     t.result,
		Reason:     t.reason,
	}
}
