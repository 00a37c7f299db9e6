package route

import "time"

// Attempt describes an attempt that ended without an answer.
type Attempt struct {
	// Number is the number of attempts of the request so far, starting at 1.
	Number int
	Kind   string
	// Idempotent requests may run more than once.
	Idempotent bool
	// ProvenNotRun is set if the agent refused or fenced the attempt.
	ProvenNotRun bool
	// Deadline is the time by which the answer is due; zero means none.
	Deadline time.Duration
}

// minKindFailures is the number of recent failures from which a kind that mostly
// fails is not retried.
const minKindFailures = 10

// Retry returns the delay before another attempt, or false if there must be none.
// A granted retry is taken from the retry budget; the caller must follow it with
// Begin.
func (r *Router) Retry(now time.Duration, a Attempt) (time.Duration, bool) {
	if !a.Idempotent && !a.ProvenNotRun {
		return 0, false
	}
	if a.Number >= r.cfg.MaxAttempts || r.retryTokens < 1 {
		return 0, false
	}
	if !a.ProvenNotRun && r.mostlyFails(now, a.Kind) {
		return 0, false
	}
	mean := exponentialBackoff(r.cfg.RetryDelay, a.Number-1, time.Second)
	delay := mean/2 + time.Duration(r.rand.Int64N(int64(mean)))
	if a.Deadline > 0 && now+delay >= a.Deadline {
		return 0, false
	}
	r.retryTokens--
	r.grantedRetries++
	return delay, true
}

// mostlyFails reports whether most requests of a kind fail. Retries would only add
// load to something that is slow or broken for every caller.
func (r *Router) mostlyFails(now time.Duration, name string) bool {
	k, ok := r.kinds[name]
	if !ok {
		return true
	}
	k.results.decay(now, r.cfg.HealthHalfLife)
	return k.results.fail >= minKindFailures && k.results.fail >= unhealthyShare*(k.results.ok+k.results.fail)
}
