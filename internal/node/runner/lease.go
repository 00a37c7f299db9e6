package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// holdWait is how long the worker may delay its answer until a run ends. It is
	// the time between two lease renewals of an idle worker.
	holdWait = 250 * time.Millisecond
	// holdTimeoutMargin is how long a Renew call may take beyond that wait. A call
	// within the host takes 1 ms, ten times that on a slow host.
	holdTimeoutMargin = 500 * time.Millisecond
	// holdPause is the pause after a call that failed or that returned ended runs.
	// It delays the detection of starts and ends by as much.
	holdPause = 25 * time.Millisecond
	// maxHoldPause bounds the pause between calls that are not sent, which doubles with
	// each. It delays the detection of a worker's return by as much.
	maxHoldPause = 200 * time.Millisecond
)

// leaseRenewer renews the worker's lease and reads its run lists, one call at a
// time, so that run lists never arrive out of order.
type leaseRenewer struct {
	agent *Agent
}

func (r *leaseRenewer) loop(ctx context.Context) {
	unsent := newBackoff(holdPause, maxHoldPause)
	for ctx.Err() == nil {
		if r.renew(ctx) {
			continue
		}
		if !r.agent.isUnreachable() {
			unsent.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(unsent.NextBackOff()):
		case <-r.agent.workerReturned:
			unsent.Reset()
		}
	}
}

func (a *Agent) isUnreachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachable
}

// renew makes one Renew call, and reports whether the next one may follow at once.
func (r *leaseRenewer) renew(ctx context.Context) bool {
	a := r.agent
	order, call, ok := a.nextHold()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, order.Wait+holdTimeoutMargin)
	defer cancel()
	lists, err := a.cfg.Runner.Renew(ctx, order)
	a.finishRenewal(call.life, call.renewal, err)
	if err != nil {
		a.holdFailed(err)
		return false
	}
	departing := a.handleListing(call, lists)
	// A departing worker and one with ended runs that are not acknowledged answer at once.
	return !departing && len(lists.Ended) == 0
}

// awaitsLists reports whether no Renew call has begun since the worker refused a start. Only the
// lists of such a call show that the run is absent. The lock is held.
func (a *Agent) awaitsLists() bool {
	for _, s := range a.starts {
		if s.outcome.reason != "" && !s.outcome.absent && s.outcome.afterCall == a.holdCalls {
			return true
		}
	}
	return false
}

// holdCall identifies a Renew call.
type holdCall struct {
	// number counts the Renew calls of the process.
	number int64
	fence  int64
	life   chestnutpond.WorkerIncarnation
	// renewal is zero if the call renews no lease.
	renewal renewal
}

// nextHold returns the next Renew call; false while there are no orders for the
// current incarnation of the worker.
func (a *Agent) nextHold() (chestnutpond.RenewOrder, holdCall, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.reported || a.left || a.orders.fence == 0 || a.orders.life != a.worker.Incarnation() {
		return chestnutpond.RenewOrder{}, holdCall{}, false
	}
	now := a.cfg.Now()
	o := chestnutpond.RenewOrder{
		Fence: a.orders.fence, Acknowledged: a.orders.acknowledged, Worker: a.worker.ID, Wait: holdWait,
	}
	silent := a.silent(now)
	if !a.lists.hasClock || a.lists.fence != a.orders.fence || silent || a.departingSince > 0 || a.awaitsLists() {
		// The run lists are needed now, so the worker should not wait for a run to
		// end.
		o.Wait = 0
	}
	var lease renewal
	if a.lifeUnverified {
		// Another incarnation of the worker may answer under the same id. The lease
		// and the acknowledgements are meant for the former one, so they are
		// withheld until the run lists arrive.
		o.Wait, o.Acknowledged = 0, 0
	} else if end, may := a.renewalEnd(now); may && a.lists.hasClock && !silent {
		o.Until = a.onWorkerClock(end)
		lease = a.lease.begin(end)
	}
	if a.lists.unansweredSince == 0 {
		a.lists.unansweredSince = now
	}
	a.holdCalls++
	return o, holdCall{number: a.holdCalls, fence: o.Fence, life: a.worker.Incarnation(), renewal: lease}, true
}

// holdFailed records a Renew call that returned no run lists.
func (a *Agent) holdFailed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkLease(a.cfg.Now())
	a.checkDeparture(err)
	a.lifeUnverified = true
	var refused *chestnutpond.RefusedError
	if errors.As(err, &refused) {
		a.lists.unansweredSince = 0
		a.setUnreachable(false)
		a.refusalWarning.Do(func() {
			a.cfg.Log.Warn("worker refused the hold call", "worker", a.worker.ID, "fence", a.orders.fence, "reason", refused.Refusal)
		})
		return
	}
	a.meters.unanswered.Inc(1)
	a.setUnreachable(isNotSent(err) && !a.left)
	a.silenceWarning.Do(func() {
		a.cfg.Log.Warn("worker does not answer", "worker", a.worker.ID, "since", a.cfg.Now()-a.lists.unansweredSince, "error", err)
	})
}

// handleListing stores the run lists of a Renew call, and reports whether the worker has
// announced its departure.
func (a *Agent) handleListing(call holdCall, l chestnutpond.RunList) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	life := call.life
	if life != a.worker.Incarnation() {
		return false
	}
	a.lifeUnverified = false
	a.setUnreachable(false)
	if l.StartedMs != 0 && l.StartedMs != life.StartedMs {
		a.cfg.Log.Info("worker started again", "worker", life.ID, "born", l.StartedMs, "before", life.StartedMs)
		// Its kind, labels and capacity are not known before its first report.
		info := a.worker
		info.StartedMs, info.Sequence = l.StartedMs, 0
		a.resetLife(info)
		a.worker, a.described = info, false
		a.left, a.departingSince = false, 0
		a.notifyChange()
		return false
	}
	a.checkDeparture(nil)
	before := a.lists
	a.lists = lists{
		fence: call.fence, life: life, running: l.Running, ended: l.Ended, truncated: l.Truncated,
		clock: l.Clock, received: a.cfg.Now(), hasClock: true,
	}
	if a.observeOutcomes(call.number, l) || before.fence != call.fence || before.truncated != l.Truncated || !sameRuns(before.running, l.Running) || !sameEnds(before.ended, l.Ended) {
		a.notifyChange()
	}
	return a.departingSince > 0
}

// observeOutcomes searches the run lists of a Renew call for the runs that were
// stopped or refused before it, and reports whether one of them is newly absent.
// A truncated list of ends shows the absence of none.
func (a *Agent) observeOutcomes(number int64, l chestnutpond.RunList) bool {
	if l.Truncated {
		return false
	}
	listed := map[runKey]bool{}
	for _, r := range l.Running {
		listed[runKey{r.Task, r.Run}] = true
	}
	for _, e := range l.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	found := false
	for key, s := range a.stops {
		found = s.outcome.observe(number, listed[key]) || found
	}
	for key, s := range a.starts {
		found = s.outcome.observe(number, listed[key]) || found
	}
	return found
}

func sameRuns(a, b []chestnutpond.RunStatus) bool {
	return slices.EqualFunc(a, b, func(x, y chestnutpond.RunStatus) bool { return x.Task == y.Task && x.Run == y.Run })
}

func sameEnds(a, b []chestnutpond.RunEnd) bool {
	return slices.EqualFunc(a, b, func(x, y chestnutpond.RunEnd) bool { return x.Sequence == y.Sequence })
}
