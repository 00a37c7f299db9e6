package route

import "time"

// Attempt is an attempt that ended without an answer.
type Attempt struct {
	// Number counts the attempts of the request so far, from 1.
	Number int
	Kind   string
	// Idempotent requests may run more than once.
	Idempotent bool
	// ProvenNotRun means that the agent refused the attempt or fenced it.
	ProvenNotRun bool
	// Deadline is when the answer must be there; zero means none.
	Deadline time.Duration
}

// kindFailures is the number of recent failures after which a kind that mostly
// fails is not retried.
const kindFailures = 10

// Retry grants another attempt after a delay or refuses it. A grant is taken from
// the budget; the caller follows it with Begin.
func (r *Router) Retry(now time.Duration, a Attempt) (time.Duration, bool) {
	if !a.Idempotent && !a.ProvenNotRun {
		return 0, false
	}
	if a.Number >= r.cfg.MaxAttempts || r.retries < 1 {
		return 0, false
	}
	if !a.ProvenNotRun && r.failsEverywhere(now, a.Kind) {
		return 0, false
	}
	mean := doubled(r.cfg.RetryDelay, a.Number-1, time.Second)
	delay := mean/2 + time.Duration(r.rand.Int64N(int64(mean)))
	if a.Deadline > 0 && now+delay >= a.Deadline {
		return 0, false
	}
	r.retries--
	r.granted++
	return delay, true
}

// failsEverywhere reports whether most requests of a kind fail. More attempts
// would only add to the load of what is already slow or broken for everybody.
func (r *Router) failsEverywhere(now time.Duration, name string) bool {
	k, ok := r.kinds[name]
	if !ok {
		return true
	}
	k.score.fade(now, r.cfg.HealthHalfLife)
	return k.score.fail >= kindFailures && k.score.fail >= badShare*(k.score.ok+k.score.fail)
}
