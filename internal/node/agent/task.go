package agent

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// commit takes a commit and starts the goroutines of a new task.
func (a *Agent) commit(req *inner.CommitRequest, now time.Time) gangs.Verdict {
	a.admission.Lock()
	defer a.admission.Unlock()
	if a.closed {
		return gangs.Verdict{Refusal: inner.Refusal_REFUSAL_DRAINING, Reason: "the agent has stopped"}
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
	go (&driver{agent: a, key: key, signals: signals}).run(a.work)
	go (&beater{agent: a, key: key, signals: signals}).run(a.work)
	return v
}

// stopReply answers a stop whose task has ended.
func (a *Agent) stopReply(req *inner.StopRequest, fenced bool) *inner.StopReply {
	key := gangs.Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	return a.gangs.StopReply(key, fenced)
}

// driver carries out the steps of one task on the worker.
type driver struct {
	agent   *Agent
	key     gangs.Key
	signals gangs.Signals
	// lapsed means that the lapse of the gang lease is recorded.
	lapsed bool
}

// run asks for the next step after every wait and every call, so that a lease
// that lapsed meanwhile is seen before the next effect.
func (d *driver) run(ctx context.Context) {
	defer d.agent.tasks.Done()
	for {
		step := d.agent.gangs.Next(d.key, time.Now())
		if step.Action == gangs.Rest {
			d.report()
			return
		}
		if step.Action != gangs.Wait {
			d.act(ctx, step)
			continue
		}
		if wait(ctx, step.Until, d.signals.Step) == ended {
			return
		}
	}
}

// act makes the call of one step and reports its end.
func (d *driver) act(ctx context.Context, step gangs.Step) {
	if step.Action == gangs.Save {
		d.agent.tasks.Add(1)
		go (&saver{agent: d.agent, key: d.key, until: step.Until}).run(ctx)
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
		d.renewed(ctx, worker.Renew(call, task, gangs.TaskLease))
	case gangs.Stop:
		d.noteLapse(step.Reason)
		if d.hasEnded(call) {
			return
		}
		err := worker.Stop(call, task)
		table.Stopped(d.key, err, time.Now())
		if err != nil {
			d.agent.cfg.Log.Warn("agent: stop failed", "task", task, "error", err)
		}
	}
}

// hasEnded asks the worker whether the task ended by itself before it is stopped.
// A result that the agent has not seen yet would be lost with the stop, and the
// job would run again.
func (d *driver) hasEnded(ctx context.Context) bool {
	lctx, cancel := context.WithTimeout(ctx, gangs.CallLimit/2)
	defer cancel()
	asked := time.Now()
	list, err := d.agent.cfg.Worker.Tasks(lctx)
	if err != nil {
		return false
	}
	d.agent.gangs.Report(list, asked, time.Now())
	return d.agent.gangs.StopReply(d.key, false).GetStopped()
}

// renewed reports a renewal. When the worker does not run the task, its list
// tells whether the task ended by itself.
func (d *driver) renewed(ctx context.Context, err error) {
	var gone *chestnutpond.TaskGoneError
	switch {
	case err == nil:
		d.agent.gangs.Renewed(d.key, time.Now())
	case errors.As(err, &gone):
		if d.agent.poll(ctx) == nil {
			d.agent.gangs.Gone(d.key, time.Now())
		}
	default:
		d.agent.cfg.Log.Warn("agent: lease not renewed", "task", d.key.Task(), "error", err)
	}
}

// noteLapse records once that the task stops because its gang lease lapsed.
func (d *driver) noteLapse(reason string) {
	if reason != gangs.ReasonLeaseLapsed || d.lapsed {
		return
	}
	d.lapsed = true
	d.agent.recordTask(chestnutpond.EventLeaseLapsed, d.key, "no word of the whole gang for "+gangs.GangLease.String())
}

// report records how the task ended.
func (d *driver) report() {
	reply := d.agent.gangs.StopReply(d.key, false)
	d.noteLapse(reply.GetReason())
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

// saver waits for one checkpoint while the driver goes on renewing the lease.
type saver struct {
	agent *Agent
	key   gangs.Key
	until time.Time
}

func (s *saver) run(ctx context.Context) {
	defer s.agent.tasks.Done()
	ctx, cancel := context.WithDeadline(ctx, s.until)
	defer cancel()
	name, err := s.agent.cfg.Worker.Checkpoint(ctx, s.key.Task())
	if err != nil {
		s.agent.cfg.Log.Warn("agent: no checkpoint", "task", s.key.Task(), "error", err)
	} else {
		s.agent.recordTask(chestnutpond.EventCheckpointed, s.key, name)
	}
	s.agent.gangs.Saved(s.key, name, err, time.Now())
}

// beater sends the beats of one task to the gang's leader.
type beater struct {
	agent   *Agent
	key     gangs.Key
	signals gangs.Signals
}

func (b *beater) run(ctx context.Context) {
	defer b.agent.tasks.Done()
	for {
		sent := time.Now()
		beat, ok := b.agent.gangs.Beat(b.key, sent)
		if !ok {
			return
		}
		if reply := b.send(ctx, beat); reply != nil {
			b.agent.gangs.Confirm(b.key, sent, reply, time.Now())
		}
		if wait(ctx, sent.Add(beat.Every), b.signals.Beat) == ended {
			return
		}
	}
}

// send returns the leader's answer, or nil when there is none.
func (b *beater) send(ctx context.Context, beat gangs.Beat) *inner.BeatReply {
	if beat.Local {
		return b.agent.gangs.Hear(beat.Request, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, gangs.CallLimit)
	defer cancel()
	reply, err := b.agent.net.Beat(ctx, beat.Leader.GetAddress(), beat.Request)
	if err != nil {
		b.agent.meters.beatsLost.Inc(1)
		b.agent.cfg.Log.Debug("agent: beat failed", "task", b.key.Task(), "error", err)
		return nil
	}
	return reply
}
