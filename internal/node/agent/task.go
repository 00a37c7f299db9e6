package agent

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// commit applies a commit and starts the goroutines of a new task.
func (a *Agent) commit(req *inner.CommitRequest, now time.Time) gangs.Decision {
	a.tasksMu.Lock()
	defer a.tasksMu.Unlock()
	if a.tasksClosed {
		return gangs.Decision{Refusal: inner.Refusal_REFUSAL_DRAINING, Reason: "the agent has stopped"}
	}
	v, fresh := a.gangs.Commit(req, now)
	if !fresh {
		return v
	}
	key := gangs.Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	signals, _ := a.gangs.Signals(key)
	a.record(chestnutpond.Event{
		Kind: chestnutpond.EventCommitted, Job: chestnutpond.JobID(key.Job), Attempt: key.Attempt,
		Cause: chestnutpond.EventID(req.GetCause()),
	})
	a.tasks.Add(2)
	go (&driver{agent: a, key: key, signals: signals}).run(a.workCtx)
	go (&beatSender{agent: a, key: key, signals: signals}).run(a.workCtx)
	return v
}

// stopReply returns the reply to a stop whose task has ended.
func (a *Agent) stopReply(req *inner.StopRequest, fenced bool) *inner.StopReply {
	key := gangs.Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	return a.gangs.StopReply(key, fenced)
}

// driver executes the steps of one task on the worker.
type driver struct {
	agent   *Agent
	key     gangs.Key
	signals gangs.Signals
	// lapseRecorded is true once the expiry of the gang lease was recorded.
	lapseRecorded bool
}

// run computes the next step after every wait and every call, so that a lease
// that expired in the meantime is noticed before the next call to the worker.
func (d *driver) run(ctx context.Context) {
	defer d.agent.tasks.Done()
	for {
		step := d.agent.gangs.Next(d.key, time.Now())
		if step.Action == gangs.Ended {
			d.recordEnd()
			return
		}
		if step.Action != gangs.Wait {
			d.execute(ctx, step)
			continue
		}
		if waitUntil(ctx, step.Until, d.signals.Step) == ctxDone {
			return
		}
	}
}

// execute makes the call of one step and passes its result to the task table.
func (d *driver) execute(ctx context.Context, step gangs.Step) {
	if step.Action == gangs.Checkpoint {
		d.agent.tasks.Add(1)
		go (&checkpointer{agent: d.agent, key: d.key, until: step.Until}).run(ctx)
		return
	}
	call, cancel := context.WithDeadline(ctx, step.Until)
	defer cancel()
	worker, table, task := d.agent.cfg.Worker, d.agent.gangs, d.key.Task()
	switch step.Action {
	case gangs.Start:
		err := worker.Start(call, step.Spec)
		table.Started(d.key, err, time.Now())
		if err != nil {
			d.agent.cfg.Log.Warn("agent: task did not start", "task", task, "error", err)
			return
		}
		d.agent.recordTask(chestnutpond.EventStarted, d.key, "")
	case gangs.Renew:
		d.handleRenewal(ctx, worker.Renew(call, task, gangs.TaskLease))
	case gangs.Stop:
		d.recordLapse(step.Reason)
		if d.hasEnded(call) {
			return
		}
		err := worker.Stop(call, task)
		table.Stopped(d.key, err, time.Now())
		if err != nil {
			d.agent.cfg.Log.Warn("agent: worker did not stop the task", "task", task, "error", err)
		}
	}
}

// hasEnded polls the worker's task list and reports whether the task ended by
// itself before the stop. Stopping it would discard a result that the agent has
// not seen yet, and the job would run again.
func (d *driver) hasEnded(ctx context.Context) bool {
	listCtx, cancel := context.WithTimeout(ctx, gangs.CallTimeout/2)
	defer cancel()
	asked := time.Now()
	list, err := d.agent.cfg.Worker.Tasks(listCtx)
	if err != nil {
		return false
	}
	d.agent.gangs.ApplyTaskList(list, asked, time.Now())
	return d.agent.gangs.StopReply(d.key, false).GetStopped()
}

// handleRenewal handles the result of a lease renewal. If the worker no longer
// runs the task, the worker's task list shows whether it ended by itself.
func (d *driver) handleRenewal(ctx context.Context, err error) {
	var gone *chestnutpond.TaskGoneError
	switch {
	case err == nil:
		d.agent.gangs.Renewed(d.key, time.Now())
	case errors.As(err, &gone):
		if d.agent.pollWorker(ctx) == nil {
			d.agent.gangs.TaskLost(d.key, time.Now())
		}
	default:
		d.agent.cfg.Log.Warn("agent: renewing the task lease failed", "task", d.key.Task(), "error", err)
	}
}

// recordLapse records once that the task stops because its gang lease expired.
func (d *driver) recordLapse(reason string) {
	if reason != gangs.ReasonLeaseExpired || d.lapseRecorded {
		return
	}
	d.lapseRecorded = true
	d.agent.recordTask(chestnutpond.EventLeaseLapsed, d.key, "no word of the whole gang for "+gangs.GangLease.String())
}

// recordEnd records and logs how the task ended.
func (d *driver) recordEnd() {
	reply := d.agent.gangs.StopReply(d.key, false)
	d.recordLapse(reply.GetReason())
	kind := chestnutpond.EventStopped
	if reply.GetState() != inner.TaskState_TASK_STATE_STOPPED {
		kind = chestnutpond.EventEnded
	}
	detail := reply.GetState().String()
	if reply.GetReason() != "" {
		detail += ": " + reply.GetReason()
	}
	d.agent.recordTask(kind, d.key, detail)
	d.agent.cfg.Log.Info("agent: task ended", "task", d.key.Task(), "state", reply.GetState(), "reason", reply.GetReason())
}

// checkpointer takes one checkpoint while the driver keeps renewing the lease.
type checkpointer struct {
	agent *Agent
	key   gangs.Key
	until time.Time
}

func (c *checkpointer) run(ctx context.Context) {
	defer c.agent.tasks.Done()
	ctx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	name, err := c.agent.cfg.Worker.Checkpoint(ctx, c.key.Task())
	if err != nil {
		c.agent.cfg.Log.Warn("agent: checkpoint failed", "task", c.key.Task(), "error", err)
	} else {
		c.agent.recordTask(chestnutpond.EventCheckpointed, c.key, name)
	}
	c.agent.gangs.Checkpointed(c.key, name, err, time.Now())
}

// beatSender sends the heartbeats of one task to the gang's leader.
type beatSender struct {
	agent   *Agent
	key     gangs.Key
	signals gangs.Signals
}

func (b *beatSender) run(ctx context.Context) {
	defer b.agent.tasks.Done()
	for {
		sent := time.Now()
		beat, ok := b.agent.gangs.Beat(b.key, sent)
		if !ok {
			return
		}
		if reply := b.send(ctx, beat); reply != nil {
			b.agent.gangs.ApplyReply(b.key, sent, reply, time.Now())
		}
		if waitUntil(ctx, sent.Add(beat.Interval), b.signals.Beat) == ctxDone {
			return
		}
	}
}

// send sends a heartbeat and returns the leader's reply, or nil if there is none.
func (b *beatSender) send(ctx context.Context, beat gangs.Beat) *inner.BeatReply {
	if beat.Local {
		return b.agent.gangs.HandleBeat(beat.Request, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, gangs.CallTimeout)
	defer cancel()
	reply, err := b.agent.net.Beat(ctx, beat.Leader.GetAddress(), beat.Request)
	if err != nil {
		b.agent.meters.beatsLost.Inc(1)
		b.agent.cfg.Log.Debug("agent: gang heartbeat failed", "task", b.key.Task(), "error", err)
		return nil
	}
	return reply
}
