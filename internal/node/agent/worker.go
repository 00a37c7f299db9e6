package agent

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
)

// watcher reads the worker's task list.
type watcher struct {
	agent *Agent
	// settled is true once the agent may announce itself.
	settled bool
}

// run first stops what a former incarnation left on the worker, and only then
// lets accelerators be reserved. Afterwards it follows the tasks.
func (w *watcher) run(ctx context.Context) error {
	began := time.Now()
	for {
		if w.agent.gangs.Clean() {
			// After an error the next tick tries again.
			_ = w.agent.poll(ctx)
		} else {
			w.clean(ctx)
		}
		w.settle(began)
		w.agent.leaveIsolation(time.Now())
		w.agent.gangs.Expire(time.Now())
		w.agent.net.Sweep(time.Now())
		if wait(ctx, time.Now().Add(gangs.BeatEvery), nil) == ended {
			return nil
		}
	}
}

// settle lets the agent announce itself once no task of a former incarnation can
// run: the worker lists none, or their leases have lapsed since no one renews
// them. The scheduler takes the new incarnation's row as proof of that.
func (w *watcher) settle(began time.Time) {
	lapsed := time.Since(began) >= gangs.TaskLease+gangs.CallLimit
	if !w.settled && (lapsed || w.agent.gangs.Clean()) {
		w.settled = true
		close(w.agent.home.settled)
	}
}

// clean stops all tasks of the worker, and keeps the results of those that
// completed; this incarnation has started none.
func (w *watcher) clean(ctx context.Context) {
	a := w.agent
	ctx, cancel := context.WithTimeout(ctx, gangs.CallLimit)
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
			a.cfg.Log.Warn("agent: task of a former incarnation not stopped", "task", status.ID, "error", err)
			return
		}
		a.cfg.Log.Info("agent: stopped task of a former incarnation", "task", status.ID)
	}
	if left == 0 {
		a.gangs.SetClean()
		return
	}
	// The accelerators are free once a list has completed tasks only.
	w.confirm(ctx)
}

func (w *watcher) confirm(ctx context.Context) {
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

// poll reports the worker's list to the task table, and makes the worker drop
// the tasks that ended or that no one knows.
func (a *Agent) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, gangs.CallLimit)
	defer cancel()
	asked := time.Now()
	list, err := a.cfg.Worker.Tasks(ctx)
	if a.gangs.SetWorkerUp(err == nil) {
		a.cfg.Log.Warn("agent: worker changed", "answers", err == nil, "error", err)
	}
	if err != nil {
		return err
	}
	for _, id := range a.gangs.Report(list, asked, time.Now()) {
		// A failed call is repeated by the next poll.
		if err := a.cfg.Worker.Stop(ctx, id); err != nil {
			a.cfg.Log.Warn("agent: ended task not dropped", "task", id, "error", err)
		}
	}
	return nil
}

// leaveIsolation stops all tasks when no entry has answered for too long. The
// scheduler counts on it before it starts a gang again that it cannot reach.
func (a *Agent) leaveIsolation(now time.Time) {
	if !a.home.isolated(now) || len(a.gangs.Live()) == 0 {
		return
	}
	a.cfg.Log.Warn("agent: no entry answers, stopping all tasks")
	a.gangs.StopAll(0, "no entry answers the agent", now)
}
