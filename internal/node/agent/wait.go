package agent

import (
	"context"
	"time"
)

// wakeCause is the reason why a wait ended.
type wakeCause uint8

const (
	// ctxDone means that the context was cancelled.
	ctxDone wakeCause = iota
	// timeReached means that the time was reached.
	timeReached
	// signalled means that the signal was received.
	signalled
)

// waitUntil blocks until the time at, a signal, or the cancellation of ctx. A nil
// signal is never received.
//
// No timer is started for a time that has passed. Besides being cheaper, this
// avoids a bug in Go 1.26's race detector: in a synctest bubble, goroutines that
// run an expired timer themselves share one race context without a lock, and the
// detector occasionally crashes.
func waitUntil(ctx context.Context, at time.Time, signal <-chan struct{}) wakeCause {
	left := time.Until(at)
	if left <= 0 {
		return pollSignal(ctx, signal)
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctxDone
	case <-signal:
		return signalled
	case <-timer.C:
		return timeReached
	}
}

// pollSignal checks ctx and the signal without blocking.
func pollSignal(ctx context.Context, signal <-chan struct{}) wakeCause {
	select {
	case <-ctx.Done():
		return ctxDone
	case <-signal:
		return signalled
	default:
		return timeReached
	}
}
