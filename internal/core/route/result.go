package route

import "time"

// Result is the outcome of an attempt on a target.
type Result int

const (
	// ResultAnswered means that the upstream answered.
	ResultAnswered Result = iota
	// ResultFailed means that the upstream returned an error status.
	ResultFailed
	// ResultRefused means that the agent had no free slot or is draining. The
	// request did not run.
	ResultRefused
	// ResultLost means that the connection broke or stopped responding.
	ResultLost
	// ResultAbandoned means that the caller disconnected. It does not affect the
	// health of the target.
	ResultAbandoned
)

// regionBackoffLosses is the number of consecutive lost connections to a region
// that starts a backoff. A single target that fails loses all its connections at
// once, so one loss proves nothing about the region.
const regionBackoffLosses = 3

// Begin records that a request is sent to a target.
func (r *Router) Begin(now time.Duration, name, kindName string, bytes int) {
	if r.grantedRetries > 0 {
		r.grantedRetries--
	} else {
		r.retryTokens = min(r.retryTokens+r.cfg.RetryShare, r.cfg.RetryBurst)
	}
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.open++
	if e := t.endpoint(r.kinds[kindName]); e != nil {
		e.open++
	}
	t.tier.open++
	r.spendFarBytes(now, t, bytes)
	r.updateFree(now, t)
}

// End records the result of a request that Begin counted. busy is the number of
// slots in use after the request as reported by the target, or -1.
func (r *Router) End(now time.Duration, name, kindName string, res Result, _ time.Duration, bytes, busy int) {
	r.runTimers(now)
	t, ok := r.targets[name]
	if !ok || t.open == 0 {
		return
	}
	t.open--
	t.tier.open--
	r.spendFarBytes(now, t, bytes)
	if busy >= 0 {
		t.othersBusy, t.othersBusyAt, t.reportAt = float64(max(busy-t.open, 0)), now, now
	}
	k := r.kinds[kindName]
	e := t.endpoint(k)
	if e != nil {
		e.open = max(e.open-1, 0)
	}
	if k != nil && res == ResultAnswered {
		k.answerBytes += 0.05 * (float64(bytes) - k.answerBytes)
	}
	r.updateRegionBackoff(now, t, res)
	switch res {
	case ResultAnswered:
		t.backoff = 0
		r.recordSuccess(now, t, e)
	case ResultFailed, ResultLost:
		r.recordFailure(now, e)
	case ResultRefused:
		r.recordRefusal(now, t, busy)
	}
	r.updateFree(now, t)
	r.deleteIfUnused(t)
}

func (r *Router) spendFarBytes(now time.Duration, t *target, bytes int) {
	if t.tier.far {
		r.refillFarBudget(now)
		r.farBudget -= float64(bytes)
	}
}

// recordRefusal starts or extends the backoff of a target that refused a request.
func (r *Router) recordRefusal(now time.Duration, t *target, busy int) {
	if busy < 0 {
		t.othersBusy, t.othersBusyAt, t.reportAt = float64(max(t.Slots-t.open, 0)), now, now
	}
	t.backoff = min(max(2*t.backoff, r.cfg.BackoffMin), r.cfg.BackoffMax)
	t.backoffUntil = now + t.backoff
}

// updateRegionBackoff starts a backoff for a remote region after several
// consecutive lost connections. After the backoff, the region gets one request at
// a time until one is not lost.
func (r *Router) updateRegionBackoff(now time.Duration, t *target, res Result) {
	tier := t.tier
	if !tier.far {
		return
	}
	switch res {
	case ResultAnswered, ResultFailed, ResultRefused:
		tier.losses, tier.backoffs, tier.backoffUntil = 0, 0, 0
	case ResultLost:
		tier.losses++
		if now < tier.backoffUntil || tier.backoffs == 0 && tier.losses < regionBackoffLosses {
			return
		}
		tier.backoffUntil = now + exponentialBackoff(r.cfg.RegionBackoffMin, tier.backoffs, r.cfg.RegionBackoffMax)
		tier.backoffs++
	}
}

// exponentialBackoff returns base doubled n times, at most limit.
func exponentialBackoff(base time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && base < limit; n-- {
		base *= 2
	}
	return min(base, limit)
}
