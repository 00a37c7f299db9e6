package runner

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// orderTimeout bounds a call that starts or stops a run. A call within the host
	// takes 1 ms. A worker that carries out orders late does not answer at all, and
	// the next call resolves the order.
	orderTimeout = 400 * time.Millisecond
)

// outcome is the result of an order that the worker has answered. It is guarded by
// the agent's lock.
type outcome struct {
	// reason is set once the worker has answered that it will not execute the run.
	reason chestnutpond.Refusal
	// afterCall is the number of the last Renew call that began before the answer.
	afterCall int64
	// absent means that a later Renew call listed the run neither as running nor as
	// ended.
	absent bool
}

// observe evaluates the run lists of a Renew call, and reports whether they are the
// first to show that the run is absent.
func (o *outcome) observe(number int64, listed bool) bool {
	if o.reason == "" || o.absent || number <= o.afterCall || listed {
		return false
	}
	o.absent = true
	return true
}

// startOrder carries out an order to start a run.
type startOrder struct {
	agent *Agent
	key   runKey
	row   *inner.StartRow
	life  chestnutpond.WorkerIncarnation
	// inDoubt means that a call was not answered, or that a former process of this agent may
	// have made one. started means that the worker has confirmed the start. Only the goroutine
	// of run uses them.
	inDoubt, started bool
	// warning limits the warnings about the order.
	warning rate.Sometimes
	// outcome is set if the worker will not execute the run. This field and the
	// next are guarded by the agent's lock.
	outcome outcome
	done    bool
}

// stopOrder carries out an order to stop a run.
type stopOrder struct {
	agent *Agent
	key   runKey
	life  chestnutpond.WorkerIncarnation
	// outcome is set once the worker has confirmed the stop. This field and the
	// next are guarded by the agent's lock.
	outcome outcome
	done    bool
}

// reasonStopped is the reason reported for runs that were stopped by an order.
const reasonStopped = chestnutpond.Refusal("stopped")

// orderExecutor carries out the orders of the leader.
type orderExecutor struct {
	agent *Agent
}

func (o *orderExecutor) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.agent.ordersChanged:
			o.agent.reconcileOrders(ctx)
		}
	}
}

// reconcileOrders begins to carry out new orders, and removes finished ones that
// the leader no longer lists.
func (a *Agent) reconcileOrders(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.orders.life != a.worker.Incarnation() || !a.reported {
		return
	}
	for key, s := range a.starts {
		if a.orders.starts[key] == nil && s.done {
			delete(a.starts, key)
		}
	}
	for key, s := range a.stops {
		if !a.orders.stops[key] && s.done {
			delete(a.stops, key)
		}
	}
	for key, row := range a.orders.starts {
		formerCall := a.checkOrigin(key, row)
		if a.starts[key] == nil && a.stops[key] == nil && !a.lapsed[key] {
			s := &startOrder{
				agent: a, key: key, row: row, life: a.worker.Incarnation(),
				inDoubt: a.inDoubt(key) || formerCall,
				warning: rate.Sometimes{Interval: warningInterval},
			}
			a.starts[key] = s
			go s.run(ctx)
		}
	}
	for key := range a.orders.stops {
		if a.stops[key] == nil && !a.lapsed[key] {
			s := &stopOrder{agent: a, key: key, life: a.worker.Incarnation()}
			a.stops[key] = s
			go s.run(ctx)
		}
	}
}

// startAction is the next action of an order to start a run.
type startAction int

const (
	// startWithdrawn means that the order is no longer wanted.
	startWithdrawn startAction = iota
	// startWait means that no call may be made now.
	startWait
	// startSend means that the call is to be made.
	startSend
	// startRefuse means that the worker accepts no further runs.
	startRefuse
	// startListed means that the worker has the run.
	startListed
)

// startCall is a call that starts a run.
type startCall struct {
	order   chestnutpond.StartOrder
	renewal renewal
}

// run repeats the call until the worker answers it or the order is withdrawn.
func (s *startOrder) run(ctx context.Context) {
	defer s.finish()
	retry := newOrderRetry()
	for ctx.Err() == nil {
		call, action := s.nextCall()
		delay := orderRetryDelay
		switch action {
		case startWithdrawn:
			return
		case startListed:
			s.started = true
			return
		case startRefuse:
			s.withhold(ctx)
			return
		case startSend:
			answered, err := s.attempt(ctx, call)
			if answered {
				return
			}
			delay = retry.delayAfter(err)
		}
		sleep(ctx, delay)
	}
}

// attempt makes one call, and reports whether the worker has answered the order.
func (s *startOrder) attempt(ctx context.Context, call startCall) (answered bool, err error) {
	a := s.agent
	cctx, cancel := context.WithTimeout(ctx, orderTimeout)
	_, err = a.cfg.Runner.Start(cctx, call.order)
	cancel()
	a.finishRenewal(s.life, call.renewal, err)
	var refused *chestnutpond.RefusedError
	switch {
	case err == nil:
		s.started = true
		a.meters.countOrder(orderStart, "ok")
		a.cfg.Log.Info("run started", "task", s.key.task.String(), "run", s.key.run, "worker", s.life.ID)
		return true, nil
	case errors.As(err, &refused) && refused.Refusal != chestnutpond.RefusedExpired:
		s.handleRefusal(ctx, refused.Refusal)
		return true, nil
	case errors.As(err, &refused):
		// The worker's clock is ahead of its last known reading; the next run lists
		// bring a new one.
	case isNotSent(err):
		a.meters.countOrder(orderStart, notSent)
		s.warn("start order was not sent", err)
	default:
		s.inDoubt = true
		a.meters.countOrder(orderStart, noAnswer)
		a.addDoubt(s.key)
		s.warn("start order was not answered", err)
	}
	return false, err
}

func (s *startOrder) warn(message string, err error) {
	s.warning.Do(func() {
		s.agent.cfg.Log.Warn(message, "task", s.key.task.String(), "run", s.key.run, "error", err)
	})
}

// addDoubt records a start call that was not answered and may be carried out later.
func (a *Agent) addDoubt(key runKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.doubts[key] = now
	for k, at := range a.doubts {
		if now-at > maxOrderDelay {
			delete(a.doubts, k)
		}
	}
	a.notifyChange()
}

// checkOrigin records to which process of the agent the order was handed out first, and reports
// whether a former one may have made a call that can still be carried out. If the order was
// handed out to a former one, the leader is told of the doubt, too; not so with orders of former
// leaders, most of whose runs have been at work for long. The lock is held.
func (a *Agent) checkOrigin(key runKey, row *inner.StartRow) bool {
	if a.cfg.Now()-a.began > maxOrderDelay {
		clear(a.ownOrders)
		return false
	}
	switch row.GetFirstBoot() {
	case a.cfg.Boot:
		a.ownOrders[key] = true
	case "":
	default:
		if _, known := a.doubts[key]; !known {
			a.doubts[key] = a.began
			a.notifyChange()
		}
	}
	return !a.ownOrders[key]
}

// inDoubt reports whether an unanswered start call of the run may still be carried out. The
// lock is held.
func (a *Agent) inDoubt(key runKey) bool {
	at, found := a.doubts[key]
	return found && a.cfg.Now()-at <= maxOrderDelay
}

// nextCall returns the next action, and the call to make if that is startSend.
func (s *startOrder) nextCall() (startCall, startAction) {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.starts[s.key] != s || a.orders.starts[s.key] == nil || a.lapsed[s.key] {
		return startCall{}, startWithdrawn
	}
	draining := a.worker.State == chestnutpond.WorkerDraining
	if draining && !s.inDoubt {
		return startCall{}, startRefuse
	}
	now := a.cfg.Now()
	end, may := a.renewalEnd(now)
	if !may || !a.lists.hasClock || a.lists.fence != a.orders.fence || !a.mayCall(now) {
		return startCall{}, startWait
	}
	if draining {
		// A repeated call could start the run now, on a worker that is about to exit.
		if a.lists.contain(s.key) {
			return startCall{}, startListed
		}
		return startCall{}, startRefuse
	}
	order := chestnutpond.StartOrder{
		Task: s.key.task, Run: s.key.run, Payload: s.row.GetPayload(), Checkpoint: s.row.GetCheckpoint(),
		Ticket: s.row.GetTicket(), Until: a.onWorkerClock(end), Fence: a.orders.fence, Worker: s.life.ID,
	}
	return startCall{order: order, renewal: a.lease.begin(end)}, startSend
}

// withhold refuses the order on behalf of a draining worker.
func (s *startOrder) withhold(ctx context.Context) {
	s.agent.cfg.Log.Info("start withheld from draining worker", "task", s.key.task.String(), "run", s.key.run, "worker", s.life.ID, "in_doubt", s.inDoubt)
	s.refuse(ctx, chestnutpond.RefusedUnhealthy)
}

// handleRefusal handles a refusal of the worker.
func (s *startOrder) handleRefusal(ctx context.Context, why chestnutpond.Refusal) {
	a := s.agent
	a.meters.countOrder(orderStart, string(why))
	a.cfg.Log.Warn("start refused", "task", s.key.task.String(), "run", s.key.run, "worker", s.life.ID, "reason", why, "in_doubt", s.inDoubt)
	if why == chestnutpond.RefusedFence || why == chestnutpond.RefusedIncarnation {
		// Another leader has taken over, or the worker has restarted. The orders of
		// that leader or the reports of the new incarnation resolve the run.
		return
	}
	s.refuse(ctx, why)
}

// refuse records that the run will not be executed, once no earlier call can take effect.
func (s *startOrder) refuse(ctx context.Context, why chestnutpond.Refusal) {
	a := s.agent
	if s.inDoubt && !a.stopRun(ctx, s.key, s.life) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.outcome = outcome{reason: why, afterCall: a.holdCalls}
}

// finish ends the order. One that had no effect is removed, so that it is carried out anew if
// the leader lists it again: a new leader may withhold starts for a moment, and a refusal of the
// fence may be meant for the former one.
func (s *startOrder) finish() {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	s.done = true
	if !s.started && s.outcome.reason == "" && a.starts[s.key] == s {
		delete(a.starts, s.key)
	}
}

// run repeats the call until the worker answers it or the order is withdrawn.
func (s *stopOrder) run(ctx context.Context) {
	a := s.agent
	confirmed := a.stopRun(ctx, s.key, s.life)
	a.mu.Lock()
	defer a.mu.Unlock()
	s.done = true
	switch {
	case confirmed:
		s.outcome = outcome{reason: reasonStopped, afterCall: a.holdCalls}
	case a.stops[s.key] == s:
		// It is carried out anew if the leader lists it again.
		delete(a.stops, s.key)
	}
}

// stopRun stops a run and reports whether the worker confirmed it. It gives up once the leader
// has withdrawn its orders for the run.
func (a *Agent) stopRun(ctx context.Context, key runKey, life chestnutpond.WorkerIncarnation) bool {
	warning := rate.Sometimes{Interval: warningInterval}
	retry := newOrderRetry()
	for ctx.Err() == nil {
		a.mu.Lock()
		fence, wanted := a.orders.fence, a.worker.Incarnation() == life && a.mayExist(key)
		may := a.mayCall(a.cfg.Now())
		a.mu.Unlock()
		switch {
		case !wanted:
			return false
		case !may:
			sleep(ctx, orderRetryDelay)
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := a.cfg.Runner.Stop(cctx, chestnutpond.StopOrder{
			Task: key.task, Run: key.run, Fence: fence, Worker: life.ID,
		})
		cancel()
		if err == nil {
			a.meters.countOrder(orderStop, "ok")
			a.cfg.Log.Info("run stopped", "task", key.task.String(), "run", key.run, "worker", life.ID)
			return true
		}
		a.meters.countOrder(orderStop, resultOf(err))
		warning.Do(func() {
			a.cfg.Log.Warn("stop order failed", "task", key.task.String(), "run", key.run, "error", err)
		})
		sleep(ctx, retry.delayAfter(err))
	}
	return false
}

// mayExist reports whether the leader's orders name the run and its lease has not expired. The
// lock is held.
func (a *Agent) mayExist(key runKey) bool {
	return (a.orders.starts[key] != nil || a.orders.stops[key]) && !a.lapsed[key]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
