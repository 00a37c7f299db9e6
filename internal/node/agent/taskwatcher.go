package agent

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
)

// taskWatcher polls the worker's task list.
type taskWatcher struct {
	agent *Agent
	// announceAllowed is true once the agent may announce itself.
	announceAllowed bool
}

// run first stops the tasks that a previous incarnation left on the worker, and
// only then allows reservations of accelerators. After that it polls the tasks.
func (w *taskWatcher) run(ctx context.Context) error {
	began := time.Now()
	for {
		if w.agent.gangs.Clean() {
			// A failed poll is retried at the next tick.
			_ = w.agent.pollWorker(ctx)
		} else {
			w.stopLeftovers(ctx)
		}
		w.allowAnnounce(began)
		w.agent.stopIfIsolated(time.Now())
		w.agent.gangs.Expire(time.Now())
		w.agent.net.Sweep(time.Now())
		if waitUntil(ctx, time.Now().Add(gangs.BeatInterval), nil) == ctxDone {
			return nil
		}
	}
}

// allowAnnounce lets the agent announce itself once no task of a previous
// incarnation can be running: the worker lists none, or their leases have expired
// because nobody renews them. The scheduler relies on this when it sees the row
// of the new incarnation.
func (w *taskWatcher) allowAnnounce(began time.Time) {
	lapsed := time.Since(began) >= gangs.TaskLease+gangs.CallTimeout
	if !w.announceAllowed && (lapsed || w.agent.gangs.Clean()) {
		w.announceAllowed = true
		close(w.agent.announcer.announceAllowed)
	}
}

// stopLeftovers stops all tasks on the worker and keeps the results of those that
// completed. This incarnation has not started any task yet.
func (w *taskWatcher) stopLeftovers(ctx context.Context) {
	a := w.agent
	ctx, cancel := context.WithTimeout(ctx, gangs.CallTimeout)
	defer cancel()
	list, err := a.cfg.Worker.Tasks(ctx)
	if err != nil {
		a.cfg.Log.Warn("agent: worker does not answer", "error", err)
		return
	}
	left := 0
	for _, status := range list {
		if a.gangs.Adopt(status, time.Now()) {
			continue
		}
		left++
		if err := a.cfg.Worker.Stop(ctx, status.ID); err != nil {
			a.cfg.Log.Warn("agent: stopping a task of a previous incarnation failed", "task", status.ID, "error", err)
			return
		}
		a.cfg.Log.Info("agent: stopped a task of a previous incarnation", "task", status.ID)
	}
	if left == 0 {
		a.gangs.SetClean()
		return
	}
	// The accelerators are free once the list contains only completed tasks.
	w.confirmClean(ctx)
}

func (w *taskWatcher) confirmClean(ctx context.Context) {
	list, err := w.agent.cfg.Worker.Tasks(ctx)
	if err != nil {
		return
	}
	for _, status := range list {
		if status.Phase != chestnutpond.TaskCompleted {
			return
		}
	}
	w.agent.gangs.SetClean()
}

// pollWorker passes the worker's task list to the task table, and has the worker
// drop the tasks that the table returns: ended or unknown ones.
func (a *Agent) pollWorker(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, gangs.CallTimeout)
	defer cancel()
	asked := time.Now()
	list, err := a.cfg.Worker.Tasks(ctx)
	if a.gangs.SetWorkerUp(err == nil) {
		a.cfg.Log.Warn("agent: worker changed", "answers", err == nil, "error", err)
	}
	if err != nil {
		return err
	}
	for _, id := range a.gangs.ApplyTaskList(list, asked, time.Now()) {
		// A failed call is retried by the next poll.
		if err := a.cfg.Worker.Stop(ctx, id); err != nil {
			a.cfg.Log.Warn("agent: worker did not drop an ended task", "task", id, "error", err)
		}
	}
	return nil
}

// stopIfIsolated stops all tasks if no entry has replied for too long. The
// scheduler relies on it when it restarts a gang that it cannot reach.
func (a *Agent) stopIfIsolated(now time.Time) {
	if !a.announcer.isolated(now) || len(a.gangs.Live()) == 0 {
		return
	}
	a.cfg.Log.Warn("agent: no entry answers, stopping all tasks")
	a.gangs.StopAll(0, "no entry answers the agent", now)
}
