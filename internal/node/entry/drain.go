package entry

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// drainAfter waits until ctx is done, then hands over the regions and agents of
// this entry and waits for its open requests.
func (e *Entry) drainAfter(ctx, servingCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-servingCtx.Done():
		return nil
	}
	e.log.Info("entry: draining")
	e.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventDraining})
	e.stopping.Store(true)
	drainCtx, cancel := context.WithTimeout(servingCtx, drainTimeout)
	defer cancel()
	e.sched.Drain(drainCtx)
	sleep(drainCtx, lameDuckTime)
	e.group.Drain()
	e.serve.Drain(drainCtx)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
