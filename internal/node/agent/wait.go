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
	// signalled means that the signal came.
	signalled
)

// wait blocks until the time at, the signal, or the end of the context. A nil
// signal never comes.
//
// No timer is started that is due already. Besides being cheaper, this avoids a
// fault of Go 1.26's race detector: in a synctest bubble, goroutines that find a
// due timer on their own share one race context without a lock, and the
// detector crashes now and then.
func wait(ctx context.Context, at time.Time, signal <-chan struct{}) event {
	left := time.Until(at)
	if left <= 0 {
		return waitNot(ctx, signal)
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ended
	case <-signal:
		return signalled
	case <-timer.C:
		return due
	}
}

// waitNot looks for the signal once.
func waitNot(ctx context.Context, signal <-chan struct{}) event {
	select {
	case <-ctx.Done():
		return ended
	case <-signal:
		return signalled
	default:
		return due
	}
}
