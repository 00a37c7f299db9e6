package stand

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// check refuses an order for another life or with a low fence. The lock is held.
func (w *TaskWorker) check(worker string, fence int64) error {
	if worker != "" && worker != w.id {
		return w.refuse(chestnutpond.RefusedIncarnation)
	}
	if fence < w.fence {
		return w.refuse(chestnutpond.RefusedFence)
	}
	w.fence = fence
	return nil
}

func (w *TaskWorker) refuse(why chestnutpond.Refusal) error {
	return &chestnutpond.RefusedError{Refusal: why, Clock: w.clock(), HasClock: true}
}

// extend prolongs the lease. The lock is held.
func (w *TaskWorker) extend(until time.Duration) {
	until = min(until, w.clock()+w.cfg.Lease)
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	life := w.life
	w.lapse = time.AfterFunc(until-w.clock(), func() { w.lapsed(life, until) })
}

// lapsed kills everything when the lease is over.
func (w *TaskWorker) lapsed(life chestnutpond.WorkerIncarnation, until time.Duration) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	if w.life != life || w.until != until {
		return
	}
	for _, r := range w.runs {
		w.end(r, chestnutpond.RunLeaseExpired)
	}
	w.lapsedUpTo = w.ends
}

// Start implements chestnutpond.TaskRunner.
func (w *TaskWorker) Start(ctx context.Context, o chestnutpond.StartOrder) (time.Duration, error) {
	if err := w.silent(ctx); err != nil {
		return 0, err
	}
	f := w.cfg.Fleet
	f.mu.Lock()
	late, life := w.late, w.life
	f.mu.Unlock()
	call := startCall{at: time.Now(), life: life}
	if late > 0 {
		time.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.gone {
				// A worker that has exited executes nothing.
				return
			}
			if f.done[o.Task] > 0 && w.life != life {
				// Nobody can keep a later life from starting a task that is done.
				return
			}
			// Nobody hears of a refusal.
			_ = w.start(o, call)
		})
		<-ctx.Done()
		return 0, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := w.start(o, call); err != nil {
		return 0, err
	}
	return w.clock(), nil
}

// start carries out an order. The lock is held.
func (w *TaskWorker) start(o chestnutpond.StartOrder, call startCall) error {
	if err := w.check(o.Worker, o.Fence); err != nil {
		return err
	}
	if w.runs[runID{o.Task, o.Run}] != nil {
		w.extend(o.Until)
		return nil
	}
	if w.unhealthy {
		return w.refuse(chestnutpond.RefusedUnhealthy)
	}
	if w.cfg.Ticket != "" && o.Ticket != w.cfg.Ticket {
		return w.refuse(chestnutpond.RefusedTicket)
	}
	if o.Until <= w.clock() {
		return w.refuse(chestnutpond.RefusedExpired)
	}
	w.extend(o.Until)
	if o.Run <= w.highest[o.Task] {
		return w.refuse(chestnutpond.RefusedStale)
	}
	model := w.cfg.Fleet.Model(o.Task)
	used := model.Need
	for _, r := range w.runs {
		used = used.Plus(r.model.Need)
	}
	if !w.cfg.Capacity.Covers(used) {
		return w.refuse(chestnutpond.RefusedCapacity)
	}
	w.begin(o, model, call)
	return nil
}

// begin starts a run. The lock is held.
func (w *TaskWorker) begin(o chestnutpond.StartOrder, model TaskModel, call startCall) {
	f := w.cfg.Fleet
	r := &workerRun{worker: w, ref: o.Task, number: o.Run, model: model, percent: 100}
	w.runs[runID{o.Task, o.Run}] = r
	f.record(r, call)
	f.started(r)
	w.lastStart = time.Now()
	w.signal()
	if model.Gang > 1 {
		members := f.members(r)
		if len(members) < model.Gang {
			r.alone = time.AfterFunc(w.cfg.GangTimeout, func() { w.later(r, chestnutpond.RunGangTimeout) })
			return
		}
		for _, m := range members {
			m.work()
		}
		return
	}
	r.work()
}

// work has the run begin to work. The lock is held.
func (r *workerRun) work() {
	if r.alone != nil {
		r.alone.Stop()
	}
	r.begun = time.Now()
	how, after := chestnutpond.RunDone, r.model.Work
	switch {
	case r.worker.failing:
		how, after = chestnutpond.RunFailed, r.model.Work/10
	case r.model.Fails:
		how = chestnutpond.RunFailed
	case r.model.Perpetual:
		return
	}
	r.timer = time.AfterFunc(after, func() { r.worker.later(r, how) })
}

func (r *workerRun) stopTimers() {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.alone != nil {
		r.alone.Stop()
	}
}

// later ends a run from a timer, and the rest of its gang with it.
func (w *TaskWorker) later(r *workerRun, how chestnutpond.RunOutcome) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	if w.runs[runID{r.ref, r.number}] == r {
		w.end(r, how)
	}
}

// end lists a run as ended. The lock is held.
func (w *TaskWorker) end(r *workerRun, how chestnutpond.RunOutcome) {
	r.stopTimers()
	members := w.cfg.Fleet.members(r)
	delete(w.runs, runID{r.ref, r.number})
	w.highest[r.ref] = max(w.highest[r.ref], r.number)
	w.ends++
	r.record.Ending = how
	checkpoint := ""
	if how == chestnutpond.RunStopped {
		checkpoint = "saved-" + strconv.FormatInt(r.number, 10)
	}
	w.ended = append(w.ended, chestnutpond.RunEnd{
		Sequence: w.ends, Task: r.ref, Run: r.number, Ending: how, Checkpoint: checkpoint,
	})
	w.cfg.Fleet.over(r)
	w.signal()
	for _, m := range members {
		if m == r || m.worker.runs[runID{m.ref, m.number}] != m {
			continue
		}
		if how == chestnutpond.RunDone {
			m.worker.end(m, chestnutpond.RunDone)
		} else {
			m.worker.end(m, chestnutpond.RunGangEnded)
		}
	}
}

// signal answers those who wait for a change. The lock is held.
func (w *TaskWorker) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stop implements chestnutpond.TaskRunner.
func (w *TaskWorker) Stop(ctx context.Context, o chestnutpond.StopOrder) (time.Duration, error) {
	if err := w.silent(ctx); err != nil {
		return 0, err
	}
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	if err := w.check(o.Worker, o.Fence); err != nil {
		return 0, err
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[runID{o.Task, o.Run}]; r != nil {
		time.AfterFunc(w.cfg.StopTime, func() { w.later(r, chestnutpond.RunStopped) })
	}
	return w.clock(), nil
}

// Pace implements chestnutpond.TaskRunner.
func (w *TaskWorker) Pace(ctx context.Context, o chestnutpond.PaceOrder) (time.Duration, error) {
	if err := w.silent(ctx); err != nil {
		return 0, err
	}
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	if err := w.check(o.Worker, o.Fence); err != nil {
		return 0, err
	}
	if r := w.runs[runID{o.Task, o.Run}]; r != nil {
		r.percent = o.Percent
	}
	return w.clock(), nil
}

// errRestarted is the error of a call whose connection ended with a life of the
// worker.
var errRestarted = errors.New("connection reset")

// Renew implements chestnutpond.TaskRunner.
func (w *TaskWorker) Renew(ctx context.Context, o chestnutpond.RenewOrder) (chestnutpond.RunList, error) {
	if err := w.silent(ctx); err != nil {
		return chestnutpond.RunList{}, err
	}
	f := w.cfg.Fleet
	timer := time.NewTimer(o.Wait)
	defer timer.Stop()
	f.mu.Lock()
	life := w.life
	if err := w.check(o.Worker, o.Fence); err != nil {
		f.mu.Unlock()
		return chestnutpond.RunList{}, err
	}
	w.extend(o.Until)
	w.acknowledge(o.Acknowledged)
	w.ended = slices.DeleteFunc(w.ended, func(e chestnutpond.RunEnd) bool { return e.Sequence <= w.acked })
	for len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return chestnutpond.RunList{}, ctx.Err()
		case <-timer.C:
			o.Wait = 0
		case <-changed:
		}
		f.mu.Lock()
		if w.life != life {
			f.mu.Unlock()
			return chestnutpond.RunList{}, errRestarted
		}
	}
	defer f.mu.Unlock()
	return w.listing(), nil
}

// acknowledge takes note of ends. The lock is held.
func (w *TaskWorker) acknowledge(upTo int64) {
	for _, e := range w.ended {
		if e.Sequence > w.acked && e.Sequence <= upTo && e.Sequence > w.lapsedUpTo {
			w.cfg.Fleet.noted(e)
		}
	}
	w.acked = max(w.acked, upTo)
}

// ListedEnds is the number of ends that a list holds at most.
const ListedEnds = 500

// Listing returns the worker's lists.
func (w *TaskWorker) Listing() chestnutpond.RunList {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	return w.listing()
}

// listing returns the worker's lists. The lock is held.
func (w *TaskWorker) listing() chestnutpond.RunList {
	ended := w.ended[:min(len(w.ended), ListedEnds)]
	l := chestnutpond.RunList{
		Clock: w.clock(), StartedMs: w.life.StartedMs, Ended: slices.Clone(ended), Truncated: len(ended) == ListedEnds,
	}
	disturbance := int64(0)
	for _, r := range w.runs {
		if r.model.Filler {
			disturbance += int64(r.percent)
		}
	}
	for _, r := range w.runs {
		percent := 0
		if !r.begun.IsZero() && r.model.Work > 0 {
			percent = int(100 * time.Since(r.begun) / r.model.Work)
		}
		l.Running = append(l.Running, chestnutpond.RunStatus{
			Task: r.ref, Run: r.number, Percent: min(percent, 99),
			Load: r.model.Load + r.model.Disturbed*disturbance/100,
		})
	}
	slices.SortFunc(l.Running, func(a, b chestnutpond.RunStatus) int {
		if a.Task.String() < b.Task.String() {
			return -1
		}
		return 1
	})
	return l
}
