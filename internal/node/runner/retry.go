package runner

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// orderRetryDelay is the delay before an order is repeated. It doubles up to
	// maxOrderRetryDelay with each call that fails before its time-out.
	orderRetryDelay    = 20 * time.Millisecond
	maxOrderRetryDelay = 320 * time.Millisecond
	// warningInterval is the least time between two warnings about the same order, or about
	// a worker that does not list its runs. The metrics count every call.
	warningInterval = time.Second
)

// newBackoff returns delays that double from the least to the greatest.
func newBackoff(least, greatest time.Duration) *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{InitialInterval: least, Multiplier: 2, MaxInterval: greatest}
	b.Reset()
	return b
}

// orderRetry determines the delays between the calls of an order.
type orderRetry struct {
	backoff *backoff.ExponentialBackOff
}

func newOrderRetry() *orderRetry {
	return &orderRetry{backoff: newBackoff(orderRetryDelay, maxOrderRetryDelay)}
}

// delayAfter returns the delay after a call that failed. A call that timed out has taken long
// enough.
func (r *orderRetry) delayAfter(err error) time.Duration {
	if errors.Is(err, context.DeadlineExceeded) {
		r.backoff.Reset()
	}
	return r.backoff.NextBackOff()
}
