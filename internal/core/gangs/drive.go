package gangs

import (
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// wake makes the receiver of a channel with room for one signal look again.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Signals are the channels that tell the driver of a task to look again.
type Signals struct {
	// Step is signalled when Next may have something to do.
	Step <-chan struct{}
	// Beat is signalled when the leader should hear of a change.
	Beat <-chan struct{}
}

// Signals returns the channels of a task that Commit returned as fresh.
func (t *Table) Signals(key Key) (Signals, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, ok := t.tasks[key]
	if !ok {
		return Signals{}, false
	}
	return Signals{Step: task.wake, Beat: task.beat}, true
}

// update runs change on a task, signals its driver when the task's state
// changed, and reports whether the task is known.
func (t *Table) update(key Key, now time.Time, change func(*task)) bool {
	t.mu.Lock()
	task, ok := t.tasks[key]
	changed := false
	if ok {
		changed = t.apply(task, now, change)
	}
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
	return ok
}

// apply runs change on a task with the lock held and reports whether the task's
// row changed.
func (t *Table) apply(task *task, now time.Time, change func(*task)) bool {
	phase, state, saved, over := task.phase, task.state(), task.saved, task.over
	change(task)
	if task.phase != phase || task.over != over {
		wake(task.wake)
		wake(task.beat)
	}
	if task.saved != saved {
		wake(task.beat)
	}
	if task.phase == ended && phase != ended {
		t.trim(now)
	}
	return task.state() != state || task.saved != saved
}

// Next advances the task to now and returns what is due. The caller makes the
// call of the step at once, with a context that ends at Step.Until.
func (t *Table) Next(key Key, now time.Time) Step {
	step := Step{Action: Rest}
	t.update(key, now, func(task *task) { step = task.next(now) })
	return step
}

// Started reports the end of the start call.
func (t *Table) Started(key Key, err error, now time.Time) {
	t.update(key, now, func(task *task) {
		task.lapses = later(task.lapses, now.Add(TaskLease))
		if task.phase != starting {
			return
		}
		task.phase, task.startedAt, task.renewAt = running, now, now.Add(BeatEvery)
		task.renewed = task.called
		if err != nil {
			// The worker may run the task all the same.
			task.quit(inner.TaskState_TASK_STATE_FAILED, "start on the worker: "+err.Error(), now)
		}
	})
}

// Renewed reports that a renewal reached the worker.
func (t *Table) Renewed(key Key, now time.Time) {
	t.update(key, now, func(task *task) {
		task.lapses, task.renewed = later(task.lapses, now.Add(TaskLease)), task.called
	})
}

// Gone reports that the worker refused a renewal because it does not run the
// task. The task is stopped all the same before its accelerators are free.
func (t *Table) Gone(key Key, now time.Time) {
	t.update(key, now, func(task *task) {
		task.quit(inner.TaskState_TASK_STATE_STOPPED, "the worker no longer runs the task", now)
	})
}

// Saved reports the end of a checkpoint. After a failed one the gang cannot have
// a checkpoint, and the task stops at once.
func (t *Table) Saved(key Key, name string, err error, now time.Time) {
	t.update(key, now, func(task *task) {
		if err != nil {
			task.hard = earlier(task.hard, now)
		} else {
			task.saved, task.saveName = true, name
		}
		wake(task.wake)
	})
}

// Stopped reports the end of a stop call. After a failed one the task counts as
// ended only when the worker's lease on it has surely ended.
func (t *Table) Stopped(key Key, err error, now time.Time) {
	t.update(key, now, func(task *task) {
		if task.phase != stopping {
			return
		}
		if err != nil && now.Before(task.lapses) {
			task.renewAt = now.Add(StopRetry)
			return
		}
		task.finish(task.end, task.reason, now)
	})
}

// Report takes the worker's list of tasks, asked for at the time asked. It
// returns the ids that the worker should drop: they ended without a result, or
// are not known. A completed task stays on the worker until its end is in the
// log, so that a new incarnation of the agent finds the result.
func (t *Table) Report(list []chestnutpond.TaskStatus, asked, now time.Time) []chestnutpond.TaskID {
	t.mu.Lock()
	known := make(map[chestnutpond.TaskID]*task, len(t.tasks))
	for key, task := range t.tasks {
		known[key.Task()] = task
	}
	var drop []chestnutpond.TaskID
	changed := false
	for _, status := range list {
		k, ok := known[status.ID]
		delete(known, status.ID)
		if ok {
			changed = t.apply(k, now, func(k *task) { k.report(status, now) }) || changed
		}
		if !ok || k.phase == ended && k.end != inner.TaskState_TASK_STATE_COMPLETED {
			drop = append(drop, status.ID)
		}
	}
	for _, k := range known {
		// The list was made after the start was confirmed, so it is complete.
		if k.phase == running && k.startedAt.Before(asked) {
			changed = t.apply(k, now, func(k *task) {
				k.finish(inner.TaskState_TASK_STATE_STOPPED, "the worker no longer runs the task", now)
			}) || changed
		}
	}
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
	return drop
}

// report takes the worker's word on one task.
func (t *task) report(status chestnutpond.TaskStatus, now time.Time) {
	if t.phase != starting && t.phase != running && t.phase != stopping {
		return
	}
	switch status.Phase {
	case chestnutpond.TaskCompleted:
		if len(status.Result) > MaxResult {
			t.finish(inner.TaskState_TASK_STATE_FAILED, "the result is too long", now)
			return
		}
		t.result = status.Result
		t.finish(inner.TaskState_TASK_STATE_COMPLETED, "", now)
	case chestnutpond.TaskFailed:
		if t.phase == stopping {
			// A task that is being stopped may end badly because of that.
			t.finish(t.end, t.reason, now)
			return
		}
		reason := strings.ToValidUTF8(status.Reason[:min(len(status.Reason), MaxReason)], "")
		t.finish(inner.TaskState_TASK_STATE_FAILED, reason, now)
	case chestnutpond.TaskStopped:
		end, reason := inner.TaskState_TASK_STATE_STOPPED, "the worker stopped the task"
		if t.phase == stopping {
			end, reason = t.end, t.reason
		}
		t.finish(end, reason, now)
	}
}

// Beat is the next message of a member to its leader.
type Beat struct {
	Request *inner.BeatRequest
	// Leader is the agent of member 0. Local is true when it is this agent.
	Leader *inner.GangMember
	Local  bool
	// Every is the interval to the next beat.
	Every time.Duration
}

// Beat returns the member's next beat, or false when no more beats are due.
func (t *Table) Beat(key Key, now time.Time) (Beat, bool) {
	t.noteTorn(key, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	task, ok := t.tasks[key]
	if !ok || task.over {
		return Beat{}, false
	}
	if task.phase == ended && now.Sub(later(task.whole, task.endedAt)) >= GangLease {
		// The leader knows of the end by now, or has stopped the gang because the
		// member was silent, or is gone.
		task.over = true
		return Beat{}, false
	}
	task.sequence++
	every := BeatEvery
	if task.phase == waiting {
		every = JoinEvery
	}
	beat := Beat{Every: every, Request: &inner.BeatRequest{
		Job: key.Job, Attempt: key.Attempt, Member: key.Member,
		Agent: t.cfg.Name, Incarnation: t.cfg.Incarnation,
		State: task.beatState(), Sequence: task.sequence, Saved: task.saved, Echo: task.echo,
	}}
	if task.echo > 0 {
		beat.Request.Since = durationpb.New(now.Sub(task.answered))
	}
	for _, m := range task.commit.GetGang() {
		if m.GetMember() == 0 {
			beat.Leader = m
		}
	}
	beat.Local = beat.Leader.GetAgent() == t.cfg.Name && beat.Leader.GetIncarnation() == t.cfg.Incarnation
	return beat, true
}

// noteTorn gives a completed member 0 the reason why its gang was stopped. The
// other members may be silent, so nobody else can tell the scheduler.
func (t *Table) noteTorn(key Key, now time.Time) {
	t.mu.Lock()
	task, known := t.tasks[key]
	l, leads := t.leaders[key.gang()]
	torn := false
	if known && leads && key.Member == 0 && task.phase == ended &&
		task.end == inner.TaskState_TASK_STATE_COMPLETED && task.reason == "" {
		l.check(now)
		if torn = l.stopped; torn {
			task.reason = "the gang is not whole: " + l.reason
		}
	}
	t.mu.Unlock()
	if torn {
		t.cfg.Notify()
	}
}

// Confirm takes the leader's answer to a beat that was sent at the time sent.
func (t *Table) Confirm(key Key, sent time.Time, reply *inner.BeatReply, now time.Time) {
	t.update(key, now, func(task *task) {
		allowed, allSaved := task.allowed, task.allSaved
		task.confirm(sent, reply, now)
		if task.allowed != allowed || task.allSaved != allSaved {
			wake(task.wake)
		}
	})
}

// Hear answers a beat as the leader of the gang. A member whose gang is not
// known may wait at the barrier, because the leader's own commit may be on its
// way; the answer is no proof of a whole gang. Any other member must stop.
func (t *Table) Hear(beat *inner.BeatRequest, now time.Time) *inner.BeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leaders[gangKey{job: beat.GetJob(), attempt: beat.GetAttempt()}]
	if ok {
		return t.lead(l, beat, now)
	}
	if beat.GetState() != inner.TaskState_TASK_STATE_WAITING {
		return &inner.BeatReply{Stop: true, Reason: "the leader does not know the gang"}
	}
	if t.fenced(beat.GetJob(), beat.GetAttempt()) {
		return &inner.BeatReply{Stop: true, Reason: "the attempt is fenced at the leader"}
	}
	return &inner.BeatReply{Oldest: durationpb.New(GangLease)}
}

// lead answers a beat, and makes the leader's own member beat at once when the
// gang may start or must stop.
func (t *Table) lead(l *leader, beat *inner.BeatRequest, now time.Time) *inner.BeatReply {
	started, stopped := l.started, l.stopped
	reply := l.hear(beat, now)
	own, ok := t.tasks[Key{Job: beat.GetJob(), Attempt: beat.GetAttempt()}]
	if ok && beat.GetMember() != 0 && (l.started != started || l.stopped != stopped) {
		wake(own.beat)
	}
	return reply
}
