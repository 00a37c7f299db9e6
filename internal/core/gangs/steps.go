package gangs

import (
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// signal sends to a channel with a buffer of one, and does nothing if a signal
// is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Signals are the channels that notify the goroutines of a task of changes.
type Signals struct {
	// Step is signalled when Next may return another step.
	Step <-chan struct{}
	// Beat is signalled when a change should be sent to the leader at once.
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
	return Signals{Step: task.stepSignal, Beat: task.beatSignal}, true
}

// update runs change on a task, signals the task's goroutines, calls Notify if
// the task's row changed, and reports whether the task exists.
func (t *Table) update(key Key, now time.Time, change func(*task)) bool {
	t.mu.Lock()
	task, ok := t.tasks[key]
	changed := false
	if ok {
		changed = t.updateLocked(task, now, change)
	}
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
	return ok
}

// updateLocked runs change on a task, signals the task's goroutines, and reports
// whether the task's row changed. The caller holds t.mu.
func (t *Table) updateLocked(task *task, now time.Time, change func(*task)) bool {
	phase, state, checkpointed, beatsDone := task.phase, task.state(), task.checkpointed, task.beatsDone
	change(task)
	if task.phase != phase || task.beatsDone != beatsDone {
		signal(task.stepSignal)
		signal(task.beatSignal)
	}
	if task.checkpointed != checkpointed {
		signal(task.beatSignal)
	}
	if task.phase == ended && phase != ended {
		t.trimStopped(now)
	}
	return task.state() != state || task.checkpointed != checkpointed
}

// Next enforces the deadlines of a task and returns its next step. The caller
// makes the call of the step at once, with a context that ends at Step.Until.
func (t *Table) Next(key Key, now time.Time) Step {
	step := Step{Action: Ended}
	t.update(key, now, func(task *task) { step = task.next(now) })
	return step
}

// Started records that the start call returned.
func (t *Table) Started(key Key, err error, now time.Time) {
	t.update(key, now, func(task *task) {
		task.leaseExpiry = later(task.leaseExpiry, now.Add(TaskLease))
		if task.phase != starting {
			return
		}
		task.phase, task.startedAt, task.nextCallAt = running, now, now.Add(BeatInterval)
		task.leaseRenewedAt = task.callStartedAt
		if err != nil {
			// The worker may run the task despite the error.
			task.beginStop(inner.TaskState_TASK_STATE_FAILED, "start on the worker: "+err.Error(), now)
		}
	})
}

// Renewed records that the worker confirmed a renewal.
func (t *Table) Renewed(key Key, now time.Time) {
	t.update(key, now, func(task *task) {
		task.leaseExpiry, task.leaseRenewedAt = later(task.leaseExpiry, now.Add(TaskLease)), task.callStartedAt
	})
}

// TaskLost records that the worker refused a renewal because it does not run the
// task. The task is still stopped on the worker before its accelerators are
// freed.
func (t *Table) TaskLost(key Key, now time.Time) {
	t.update(key, now, func(task *task) {
		task.beginStop(inner.TaskState_TASK_STATE_STOPPED, "the worker no longer runs the task", now)
	})
}

// Checkpointed records that the checkpoint call returned. If it failed, the gang cannot
// get a complete checkpoint, and the task stops at once.
func (t *Table) Checkpointed(key Key, name string, err error, now time.Time) {
	t.update(key, now, func(task *task) {
		if err != nil {
			task.stopDeadline = earlier(task.stopDeadline, now)
		} else {
			task.checkpointed, task.checkpointName = true, name
		}
		signal(task.stepSignal)
	})
}

// Stopped records that the stop call returned. If it failed, the task ends only
// once its lease on the worker must have expired.
func (t *Table) Stopped(key Key, err error, now time.Time) {
	t.update(key, now, func(task *task) {
		if task.phase != stopping {
			return
		}
		if err != nil && now.Before(task.leaseExpiry) {
			task.nextCallAt = now.Add(StopRetry)
			return
		}
		task.finish(task.end, task.reason, now)
	})
}

// ApplyTaskList applies the worker's list of tasks, which was requested at the time
// asked. It returns the ids that the worker should drop: tasks that ended
// without a result, and unknown tasks. A completed task stays on the worker
// until its end is in the log, so that a new incarnation of the agent finds the
// result.
func (t *Table) ApplyTaskList(list []chestnutpond.TaskStatus, asked, now time.Time) []chestnutpond.TaskID {
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
			changed = t.updateLocked(k, now, func(k *task) { k.applyStatus(status, now) }) || changed
		}
		if !ok || k.phase == ended && k.end != inner.TaskState_TASK_STATE_COMPLETED {
			drop = append(drop, status.ID)
		}
	}
	for _, k := range known {
		// The list was requested after the start was confirmed, so a task that
		// is not on it has ended.
		if k.phase == running && k.startedAt.Before(asked) {
			changed = t.updateLocked(k, now, func(k *task) {
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

// applyStatus updates the task from its status on the worker.
func (t *task) applyStatus(status chestnutpond.TaskStatus, now time.Time) {
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
			// The stop itself may make the task fail.
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

// Beat is a heartbeat of a member to its leader.
type Beat struct {
	Request *inner.BeatRequest
	// Leader is the agent of member 0. Local is true when it is this agent.
	Leader *inner.GangMember
	Local  bool
	// Interval is the interval until the next beat.
	Interval time.Duration
}

// Beat returns the member's next beat, or false if the member sends no more
// beats.
func (t *Table) Beat(key Key, now time.Time) (Beat, bool) {
	t.recordBrokenGang(key, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	task, ok := t.tasks[key]
	if !ok || task.beatsDone {
		return Beat{}, false
	}
	if task.phase == ended && now.Sub(later(task.gangAliveAt, task.endedAt)) >= GangLease {
		// By now the leader has learned of the end, has stopped the gang because
		// the member was silent, or no longer runs.
		task.beatsDone = true
		return Beat{}, false
	}
	task.sequence++
	every := BeatInterval
	if task.phase == waiting {
		every = JoinInterval
	}
	beat := Beat{Interval: every, Request: &inner.BeatRequest{
		Job: key.Job, Attempt: key.Attempt, Member: key.Member,
		Agent: t.cfg.Name, Incarnation: t.cfg.Incarnation,
		State: task.beatState(), Sequence: task.sequence, Saved: task.checkpointed, Echo: task.lastStamp,
	}}
	if task.lastStamp > 0 {
		beat.Request.Since = durationpb.New(now.Sub(task.lastReplyAt))
	}
	for _, m := range task.commit.GetGang() {
		if m.GetMember() == 0 {
			beat.Leader = m
		}
	}
	beat.Local = beat.Leader.GetAgent() == t.cfg.Name && beat.Leader.GetIncarnation() == t.cfg.Incarnation
	return beat, true
}

// recordBrokenGang sets the reason why a gang was stopped on its completed
// member 0. The other members may be unreachable, so the scheduler can learn
// the reason only from this row.
func (t *Table) recordBrokenGang(key Key, now time.Time) {
	t.mu.Lock()
	task, known := t.tasks[key]
	l, leads := t.leaders[key.gang()]
	broken := false
	if known && leads && key.Member == 0 && task.phase == ended &&
		task.end == inner.TaskState_TASK_STATE_COMPLETED && task.reason == "" {
		l.checkSilence(now)
		if broken = l.stopped; broken {
			task.reason = "the gang is not whole: " + l.reason
		}
	}
	t.mu.Unlock()
	if broken {
		t.cfg.Notify()
	}
}

// ApplyReply applies the leader's reply to a beat that was sent at the time sent.
func (t *Table) ApplyReply(key Key, sent time.Time, reply *inner.BeatReply, now time.Time) {
	t.update(key, now, func(task *task) {
		barrierOpen, allCheckpointed := task.barrierOpen, task.allCheckpointed
		task.applyReply(sent, reply, now)
		if task.barrierOpen != barrierOpen || task.allCheckpointed != allCheckpointed {
			signal(task.stepSignal)
		}
	})
}

// HandleBeat answers a beat as the leader of the gang. If the gang is unknown, a
// member at the barrier may go on waiting, because the leader's own commit may
// not have arrived yet; the reply does not extend the member's gang lease. Any
// other member must stop.
func (t *Table) HandleBeat(beat *inner.BeatRequest, now time.Time) *inner.BeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leaders[gangKey{job: beat.GetJob(), attempt: beat.GetAttempt()}]
	if ok {
		return t.handleBeat(l, beat, now)
	}
	if beat.GetState() != inner.TaskState_TASK_STATE_WAITING {
		return &inner.BeatReply{Stop: true, Reason: "the leader does not know the gang"}
	}
	if t.fenced(beat.GetJob(), beat.GetAttempt()) {
		return &inner.BeatReply{Stop: true, Reason: "the attempt is fenced at the leader"}
	}
	return &inner.BeatReply{Oldest: durationpb.New(GangLease)}
}

// handleBeat answers a beat. If the beat makes the gang start or stop, the
// leader's own member is signalled to beat at once.
func (t *Table) handleBeat(l *leader, beat *inner.BeatRequest, now time.Time) *inner.BeatReply {
	started, stopped := l.started, l.stopped
	reply := l.handleBeat(beat, now)
	own, ok := t.tasks[Key{Job: beat.GetJob(), Attempt: beat.GetAttempt()}]
	if ok && beat.GetMember() != 0 && (l.started != started || l.stopped != stopped) {
		signal(own.beatSignal)
	}
	return reply
}
