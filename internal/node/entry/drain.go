package entry

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// drainAfter waits for ctx, then hands over what this entry has.
func (e *Entry) drainAfter(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	e.log.Info("entry: draining")
	e.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventDraining})
	e.stopping.Store(true)
	limit, cancel := context.WithTimeout(work, drainLimit)
	defer cancel()
	e.sched.Drain(limit)
	pause(limit, noticeTime)
	e.group.Drain()
	e.serve.Drain(limit)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
