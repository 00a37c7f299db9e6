package jobsvc

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
)

const (
	// retryAfter is the delay after which a call may be repeated if nothing is known of how
	// long its obstacle lasts.
	retryAfter = time.Second
	// maxStoreRetry bounds the delay while the store is unavailable. Callers try for 3 s in
	// all, and a call that returns after it still needs time to be stored.
	maxStoreRetry = 2 * time.Second
)

func notRun(r chestnutpond.Reason) chestnutpond.CallResult {
	return chestnutpond.CallResult{Outcome: chestnutpond.OutcomeNotRun, Reason: r, RetryAfter: retryAfter}
}

// storeAway returns the result of a call that was not run because the store is unavailable.
// An outage is expected to last about as long as it has lasted so far; without admission
// control the delay does not depend on it.
func (f *Service) storeAway(id chestnutpond.JobID) chestnutpond.CallResult {
	v := notRun(chestnutpond.ReasonLogUnavailable)
	if f.admission == nil {
		return v
	}
	status := f.cfg.Lead.Feed().Status()
	if status.Loaded && status.Disconnected {
		v.RetryAfter = outageRetry(id, f.cfg.Now()-status.Fresh)
	}
	return v
}

// outageRetry returns whole seconds from retryAfter to the length of the outage so far, at
// most maxStoreRetry, by the job's id.
func outageRetry(id chestnutpond.JobID, outage time.Duration) time.Duration {
	longest := wholeSeconds(min(max(outage, retryAfter), maxStoreRetry))
	return time.Duration(1+fcast.Spread(id, longest)) * time.Second
}
