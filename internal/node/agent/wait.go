package agent

import (
	"context"
	"time"
)

// event is what ended a wait.
type event uint8

const (
	// ended means that the context ended.
	ended event = iota
	// due means that the time has come.
	due
	// first and second are the signals in the order of the arguments.
	first
	second
)

// wait blocks until the time at, a signal, or the end of the context. A nil
// signal never comes.
//
// No timer is started that is due already. Besides being cheaper, this avoids a
// fault of Go 1.26's race detector: in a synctest bubble, goroutines that find a
// due timer on their own share one race context without a lock, and the
// detector crashes now and then.
func wait(ctx context.Context, at time.Time, one, two <-chan struct{}) event {
	left := time.Until(at)
	if left <= 0 {
		return waitNot(ctx, one, two)
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ended
	case <-one:
		return first
	case <-two:
		return second
	case <-timer.C:
		return due
	}
}

// waitNot looks for a signal once.
func waitNot(ctx context.Context, one, two <-chan struct{}) event {
	select {
	case <-ctx.Done():
		return ended
	case <-one:
		return first
	case <-two:
		return second
	default:
		return due
	}
}
