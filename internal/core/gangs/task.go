package gangs

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// ReasonLeaseExpired is the reason of a task that stopped because its gang lease
// expired: the leader did not confirm in time that all members were alive.
const ReasonLeaseExpired = "the gang lease lapsed"

// phase is the life cycle state of a task.
type phase uint8

const (
	// waiting means that the task is at the gang's barrier. The worker was not
	// called for it yet.
	waiting phase = iota
	// starting means that the start call is in progress.
	starting
	// running means that the worker confirmed the start.
	running
	// stopping means that the task must stop but may still run.
	stopping
	// ended means that the task does not run and will not run again.
	ended
)

// task is one member of a gang that was committed at this agent.
type task struct {
	key          Key
	commit       *inner.CommitRequest
	accelerators []int32
	phase        phase
	// end is the final state of the task. It is set when the task begins to
	// stop.
	end    inner.TaskState
	result string
	reason string
	// endedAt orders the ended tasks by age.
	endedAt time.Time

	// gangAliveAt is the latest time at which all members of the gang are known
	// to have been alive. It starts as the time of the commit and never
	// decreases. The gang lease expires GangLease after it.
	gangAliveAt time.Time
	// barrierOpen is true once the leader has let the gang start.
	barrierOpen bool
	// beatsDone is true once the member need not send any more beats.
	beatsDone bool
	// sequence is the number of the newest beat.
	sequence int64
	// lastStamp is the stamp of the leader's newest reply, which the next beat
	// echoes, and lastReplyAt is when that reply arrived.
	lastStamp   int64
	lastReplyAt time.Time

	startedAt time.Time
	// leaseExpiry is the time by which the worker's lease on the task must have
	// expired. leaseRenewedAt is when the start or renewal that the worker
	// confirmed last was sent: the worker may end the task TaskLease after that.
	leaseExpiry    time.Time
	leaseRenewedAt time.Time
	// callStartedAt is when the newest start or renewal was sent.
	callStartedAt time.Time
	// nextCallAt is when the next renewal or stop call is due.
	nextCallAt time.Time

	// stopRequested is true once a stop was requested. At stopDeadline the task
	// is stopped even without a checkpoint; a later request can only move the
	// deadline earlier.
	stopRequested bool
	stopDeadline  time.Time
	checkpointing bool
	checkpointed  bool
	// allCheckpointed is true once the leader has reported that all members
	// wrote a checkpoint or completed.
	allCheckpointed bool
	// checkpointName is the name of the member's own checkpoint. The method
	// checkpoint returns it once it can be used.
	checkpointName string

	// stepSignal and beatSignal are the channels of Signals, with a buffer of one.
	stepSignal, beatSignal chan struct{}
	// done closes when the task has ended.
	done chan struct{}
}

// Action is what the caller must do next for a task.
type Action uint8

// The actions.
const (
	// Wait until Step.Until or a signal, then call Next again.
	Wait Action = iota
	// Start the task on the worker, then call Started.
	Start
	// Renew the task's lease on the worker, then call Renewed if that succeeded,
	// or TaskLost if the worker does not run the task.
	Renew
	// Checkpoint the task while it runs, then call Checkpointed.
	Checkpoint
	// Stop the task on the worker, then call Stopped.
	Stop
	// Ended means that the task has ended and needs no more steps.
	Ended
)

// Step is the next action of a task.
type Step struct {
	Action Action
	// Until is the time of the next call of Next for Wait, and the deadline of
	// the action's call otherwise.
	Until time.Time
	// Spec is set for Start.
	Spec chestnutpond.TaskSpec
	// Reason is set for Stop.
	Reason string
}

// state returns the task's state for the agent's member row.
func (t *task) state() inner.TaskState {
	switch t.phase {
	case waiting:
		return inner.TaskState_TASK_STATE_WAITING
	case ended:
		return t.end
	}
	// A task that is being stopped may still run.
	return inner.TaskState_TASK_STATE_RUNNING
}

// beatState returns the task's state for a beat. A task that is being stopped
// may have stopped already, so the leader must stop the gang.
func (t *task) beatState() inner.TaskState {
	if t.phase == stopping {
		return t.end
	}
	return t.state()
}

// checkpoint returns the name of the task's checkpoint once all members have
// one, and otherwise an empty string. A gang cannot be restarted from the
// checkpoints of some of its members.
func (t *task) checkpoint() string {
	if t.checkpointed && t.allCheckpointed {
		return t.checkpointName
	}
	return ""
}

// next enforces the task's deadlines and returns its next step.
func (t *task) next(now time.Time) Step {
	t.enforceDeadlines(now)
	switch t.phase {
	case waiting:
		if !t.barrierOpen {
			return t.waitUntil(t.gangAliveAt.Add(GangLease))
		}
		return t.nextStart(now)
	case running:
		return t.nextRunning(now)
	case stopping:
		if now.Before(t.nextCallAt) {
			return t.waitUntil(t.nextCallAt)
		}
		return Step{Action: Stop, Until: now.Add(CallTimeout), Reason: t.reason}
	case ended:
		return Step{Action: Ended}
	}
	return t.waitUntil(now.Add(BeatInterval))
}

// enforceDeadlines stops the task if a requested stop is due, if its gang lease
// or its worker lease expired, or if it exceeded its maximum run time.
func (t *task) enforceDeadlines(now time.Time) {
	if t.phase != waiting && t.phase != running {
		return
	}
	limit := t.commit.GetMaxRuntime().AsDuration()
	switch {
	case t.stopRequested && (!now.Before(t.stopDeadline) || t.phase == waiting || t.checkpointed && t.allCheckpointed):
		t.beginStop(inner.TaskState_TASK_STATE_STOPPED, t.reason, now)
	case now.Sub(t.gangAliveAt) >= GangLease:
		t.beginStop(inner.TaskState_TASK_STATE_STOPPED, ReasonLeaseExpired, now)
	case t.phase == running && now.Sub(t.leaseRenewedAt) >= TaskLease:
		t.beginStop(inner.TaskState_TASK_STATE_STOPPED, "the worker did not confirm the task's lease", now)
	case t.phase == running && limit > 0 && now.Sub(t.startedAt) >= limit:
		t.beginStop(inner.TaskState_TASK_STATE_FAILED, "the run time limit is over", now)
	}
}

// beginStop makes the task stop with the given final state. A task that has not
// started ends at once.
func (t *task) beginStop(end inner.TaskState, reason string, now time.Time) {
	switch t.phase {
	case stopping, ended:
		return
	case waiting:
		t.finish(end, reason, now)
	default:
		t.phase, t.end, t.reason, t.nextCallAt = stopping, end, reason, now
	}
}

// finish ends the task with the given final state.
func (t *task) finish(end inner.TaskState, reason string, now time.Time) {
	if t.phase == ended {
		return
	}
	t.phase, t.end, t.reason, t.endedAt = ended, end, reason, now
	close(t.done)
}

func (t *task) nextStart(now time.Time) Step {
	until := earlier(now.Add(CallTimeout), t.gangAliveAt.Add(GangLease))
	t.phase, t.callStartedAt, t.leaseExpiry = starting, now, until.Add(TaskLease)
	ids := make([]int, len(t.accelerators))
	for i, a := range t.accelerators {
		ids[i] = int(a)
	}
	return Step{Action: Start, Until: until, Spec: chestnutpond.TaskSpec{
		ID:           t.key.Task(),
		Kind:         t.commit.GetKind(),
		Accelerators: ids,
		Payload:      t.commit.GetPayload(),
		Checkpoint:   t.commit.GetCheckpoint(),
		Lease:        TaskLease,
		Members:      len(t.commit.GetGang()),
	}}
}

// nextRunning returns the next step of a running task.
func (t *task) nextRunning(now time.Time) Step {
	if t.stopRequested && !t.checkpointing {
		t.checkpointing = true
		return Step{Action: Checkpoint, Until: t.stopDeadline}
	}
	expiry := earlier(t.gangAliveAt.Add(GangLease), t.leaseRenewedAt.Add(TaskLease))
	if now.Before(t.nextCallAt) {
		until := earlier(t.nextCallAt, expiry)
		if t.stopRequested {
			until = earlier(until, t.stopDeadline)
		}
		return t.waitUntil(until)
	}
	until := earlier(now.Add(CallTimeout), expiry)
	t.leaseExpiry = later(t.leaseExpiry, until.Add(TaskLease))
	t.callStartedAt, t.nextCallAt = now, now.Add(BeatInterval)
	return Step{Action: Renew, Until: until}
}

func (t *task) waitUntil(until time.Time) Step { return Step{Action: Wait, Until: until} }

// applyReply applies the leader's reply to a beat that was sent at the time sent.
func (t *task) applyReply(sent time.Time, reply *inner.BeatReply, now time.Time) {
	aliveAt := sent.Add(-reply.GetOldest().AsDuration())
	if !reply.GetStop() && aliveAt.After(t.gangAliveAt) {
		t.gangAliveAt = aliveAt
	}
	if reply.GetStamp() > t.lastStamp {
		t.lastStamp, t.lastReplyAt = reply.GetStamp(), now
	}
	t.barrierOpen = t.barrierOpen || reply.GetGo()
	t.allCheckpointed = t.allCheckpointed || reply.GetSaved()
	if reply.GetStop() {
		t.beginStop(inner.TaskState_TASK_STATE_STOPPED, "the gang is not whole: "+reply.GetReason(), now)
	}
	if t.phase == ended && (reply.GetStop() || reply.GetDone()) {
		t.beatsDone = true
	}
}

// requestStop asks the task to stop. If checkpoint is positive, the task may run
// for that long until all members have written a checkpoint.
func (t *task) requestStop(checkpoint time.Duration, reason string, now time.Time) {
	if t.phase >= stopping {
		// A task that is stopping or has ended keeps its reason.
		return
	}
	deadline := now.Add(max(checkpoint, 0))
	if !t.stopRequested || deadline.Before(t.stopDeadline) {
		t.stopDeadline = deadline
	}
	if !t.stopRequested {
		t.stopRequested, t.reason = true, reason
	}
	t.enforceDeadlines(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
