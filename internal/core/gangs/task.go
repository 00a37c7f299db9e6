package gangs

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// ReasonLeaseLapsed is the reason of a task that stopped because it had no
// confirmation of the whole gang within the gang lease.
const ReasonLeaseLapsed = "the gang lease lapsed"

// phase is where a task stands at its agent.
type phase uint8

const (
	// waiting is at the barrier; the worker knows nothing of the task.
	waiting phase = iota
	// starting means that the start call is under way.
	starting
	// running means that the worker confirmed the start.
	running
	// stopping means that the task must not run and may still do so.
	stopping
	// ended means that the task does not run and never will.
	ended
)

// task is one member of a gang that was committed at this agent.
type task struct {
	key          Key
	commit       *inner.CommitRequest
	accelerators []int32
	phase        phase
	// end is the state to report once the task has ended; set when stopping.
	end    inner.TaskState
	result string
	reason string
	// endedAt orders the ended tasks by age.
	endedAt time.Time

	// whole is the latest time at which the whole gang is known to have been
	// alive. It starts as the time of the commit and never goes back.
	whole time.Time
	// allowed is true once the leader answered go.
	allowed bool
	// over is true when beats are of no more use.
	over bool
	// sequence is that of the newest beat.
	sequence int64
	// echo is the stamp of the newest answer, and answered when it arrived.
	echo     int64
	answered time.Time

	startedAt time.Time
	// lapses is when the worker's lease on the task has surely ended, and
	// renewed is when the lease that the worker confirmed last was asked for:
	// the worker may end the task TaskLease after that.
	lapses  time.Time
	renewed time.Time
	// called is when the start or renewal that is under way was asked for.
	called time.Time
	// renewAt is when the next renewal, or the next stop call, is due.
	renewAt time.Time

	// ordered is true once a stop was asked for; hard is when the task is
	// stopped without a checkpoint, and only moves forward in time.
	ordered bool
	hard    time.Time
	saving  bool
	saved   bool
	// allSaved is the leader's word that the whole gang has saved.
	allSaved bool
	// saveName is the member's own checkpoint; see checkpoint.
	saveName string

	// wake and beat have room for one signal each.
	wake, beat chan struct{}
	// done closes when the task has ended.
	done chan struct{}
}

// Action is what the caller has to do for a task.
type Action uint8

// The actions.
const (
	// Wait means that nothing is due before Step.Until.
	Wait Action = iota
	// Start the task on the worker and report with Started.
	Start
	// Renew the task's lease on the worker and report with Renewed.
	Renew
	// Save a checkpoint while the task runs, and report with Saved.
	Save
	// Stop the task on the worker and report with Stopped.
	Stop
	// Rest means that the task has ended.
	Rest
)

// Step is the next action of a task.
type Step struct {
	Action Action
	// Until is when the caller must ask again, or when the action's call must
	// have ended.
	Until time.Time
	// Spec is set for Start.
	Spec chestnutpond.TaskSpec
	// Reason is set for Stop.
	Reason string
}

// state is the task's state in the member row.
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

// beatState is the task's state in a beat. A task that is being stopped may have
// stopped already, so that the gang is no longer whole.
func (t *task) beatState() inner.TaskState {
	if t.phase == stopping {
		return t.end
	}
	return t.state()
}

// checkpoint returns the name of the checkpoint, once the whole gang has one: the
// checkpoint of a part is of no use for a restart.
func (t *task) checkpoint() string {
	if t.saved && t.allSaved {
		return t.saveName
	}
	return ""
}

// next advances the task to now and returns what is due.
func (t *task) next(now time.Time) Step {
	t.judge(now)
	switch t.phase {
	case waiting:
		if !t.allowed {
			return t.wait(t.whole.Add(GangLease))
		}
		return t.start(now)
	case running:
		return t.keep(now)
	case stopping:
		if now.Before(t.renewAt) {
			return t.wait(t.renewAt)
		}
		return Step{Action: Stop, Until: now.Add(CallLimit), Reason: t.reason}
	case ended:
		return Step{Action: Rest}
	}
	return t.wait(now.Add(BeatEvery))
}

// judge stops the task when its time is over.
func (t *task) judge(now time.Time) {
	if t.phase != waiting && t.phase != running {
		return
	}
	limit := t.commit.GetMaxRuntime().AsDuration()
	switch {
	case t.ordered && (!now.Before(t.hard) || t.phase == waiting || t.saved && t.allSaved):
		t.quit(inner.TaskState_TASK_STATE_STOPPED, t.reason, now)
	case now.Sub(t.whole) >= GangLease:
		t.quit(inner.TaskState_TASK_STATE_STOPPED, ReasonLeaseLapsed, now)
	case t.phase == running && now.Sub(t.renewed) >= TaskLease:
		t.quit(inner.TaskState_TASK_STATE_STOPPED, "the worker did not confirm the task's lease", now)
	case t.phase == running && limit > 0 && now.Sub(t.startedAt) >= limit:
		t.quit(inner.TaskState_TASK_STATE_FAILED, "the run time limit is over", now)
	}
}

// quit makes the task stop in the given state. A task that has not started has
// ended with that.
func (t *task) quit(end inner.TaskState, reason string, now time.Time) {
	switch t.phase {
	case stopping, ended:
		return
	case waiting:
		t.finish(end, reason, now)
	default:
		t.phase, t.end, t.reason, t.renewAt = stopping, end, reason, now
	}
}

// finish ends the task.
func (t *task) finish(end inner.TaskState, reason string, now time.Time) {
	if t.phase == ended {
		return
	}
	t.phase, t.end, t.reason, t.endedAt = ended, end, reason, now
	close(t.done)
}

func (t *task) start(now time.Time) Step {
	until := earlier(now.Add(CallLimit), t.whole.Add(GangLease))
	t.phase, t.called, t.lapses = starting, now, until.Add(TaskLease)
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

// keep returns the next step of a running task.
func (t *task) keep(now time.Time) Step {
	if t.ordered && !t.saving {
		t.saving = true
		return Step{Action: Save, Until: t.hard}
	}
	lapse := earlier(t.whole.Add(GangLease), t.renewed.Add(TaskLease))
	if now.Before(t.renewAt) {
		until := earlier(t.renewAt, lapse)
		if t.ordered {
			until = earlier(until, t.hard)
		}
		return t.wait(until)
	}
	until := earlier(now.Add(CallLimit), lapse)
	t.lapses = later(t.lapses, until.Add(TaskLease))
	t.called, t.renewAt = now, now.Add(BeatEvery)
	return Step{Action: Renew, Until: until}
}

func (t *task) wait(until time.Time) Step { return Step{Action: Wait, Until: until} }

// confirm takes the leader's answer to a beat sent at the time sent.
func (t *task) confirm(sent time.Time, reply *inner.BeatReply, now time.Time) {
	whole := sent.Add(-reply.GetOldest().AsDuration())
	if !reply.GetStop() && whole.After(t.whole) {
		t.whole = whole
	}
	if reply.GetStamp() > t.echo {
		t.echo, t.answered = reply.GetStamp(), now
	}
	t.allowed = t.allowed || reply.GetGo()
	t.allSaved = t.allSaved || reply.GetSaved()
	if reply.GetStop() {
		t.quit(inner.TaskState_TASK_STATE_STOPPED, "the gang is not whole: "+reply.GetReason(), now)
	}
	if t.phase == ended && (reply.GetStop() || reply.GetDone()) {
		t.over = true
	}
}

// order asks the task to stop. With a checkpoint time the task goes on until
// the checkpoint is written, at most that long.
func (t *task) order(checkpoint time.Duration, reason string, now time.Time) {
	if t.phase >= stopping {
		// The reason of the end must not be lost.
		return
	}
	hard := now.Add(max(checkpoint, 0))
	if !t.ordered || hard.Before(t.hard) {
		t.hard = hard
	}
	if !t.ordered {
		t.ordered, t.reason = true, reason
	}
	t.judge(now)
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
