package runner

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutpond/chestnutpond"
)

// pacer keeps the worker's filler runs at the pace that the leader orders.
type pacer struct {
	agent   *Agent
	warning rate.Sometimes
}

// paceInterval is the time between two checks of the paces.
const paceInterval = 100 * time.Millisecond

func (p *pacer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		for order, ok := p.agent.nextPace(); ok && ctx.Err() == nil; order, ok = p.agent.nextPace() {
			if !p.send(ctx, order) {
				break
			}
		}
		sleep(ctx, paceInterval)
	}
}

// nextPace returns an order for a run whose pace differs from the ordered one;
// false if there is none.
func (a *Agent) nextPace() (chestnutpond.PaceOrder, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.orders.life != a.worker.Incarnation() || !a.reported || !a.mayCall(a.cfg.Now()) {
		return chestnutpond.PaceOrder{}, false
	}
	for key := range a.appliedPaces {
		if _, wanted := a.orders.paces[key]; !wanted {
			delete(a.appliedPaces, key)
		}
	}
	for key, percent := range a.orders.paces {
		if now, ok := a.appliedPaces[key]; !ok || now != percent {
			return chestnutpond.PaceOrder{
				Task: key.task, Run: key.run, Percent: percent, Fence: a.orders.fence, Worker: a.worker.ID,
			}, true
		}
	}
	return chestnutpond.PaceOrder{}, false
}

// send makes one call, and reports whether the worker answered it. A refused order
// is for a run that no longer exists.
func (p *pacer) send(ctx context.Context, o chestnutpond.PaceOrder) bool {
	a := p.agent
	cctx, cancel := context.WithTimeout(ctx, orderTimeout)
	_, err := a.cfg.Runner.Pace(cctx, o)
	cancel()
	var refused *chestnutpond.RefusedError
	if err != nil && !errors.As(err, &refused) {
		a.meters.countOrder(orderPace, resultOf(err))
		p.warning.Do(func() {
			a.cfg.Log.Warn("pace order was not answered", "task", o.Task.String(), "run", o.Run, "percent", o.Percent, "error", err)
		})
		return false
	}
	result := "ok"
	if refused != nil {
		result = string(refused.Refusal)
	}
	a.meters.countOrder(orderPace, result)
	a.cfg.Log.Info("run paced", "task", o.Task.String(), "run", o.Run, "percent", o.Percent, "result", result)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appliedPaces[runKey{o.Task, o.Run}] = o.Percent
	return true
}
