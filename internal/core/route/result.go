package route

import "time"

// Result is how an attempt on a target ended.
type Result int

// The results.
const (
	// ResultAnswered is an answer of the upstream.
	ResultAnswered Result = iota
	// ResultFailed is an error status of the upstream.
	ResultFailed
	// ResultRefused means that the agent had no slot or is draining; the request
	// did not run.
	ResultRefused
	// ResultLost means that the connection broke or fell silent.
	ResultLost
	// ResultAbandoned means that the caller went away; it says nothing about the
	// target.
	ResultAbandoned
)

// pathLosses is how many connections to another region have to be lost in a row
// before the region is left alone. One target that dies loses its connections at
// once, so a single one proves nothing.
const pathLosses = 3

// Begin counts a request that is sent to a target.
func (r *Router) Begin(now time.Duration, name, kindName string, bytes int) {
	if r.granted > 0 {
		r.granted--
	} else {
		r.retries = min(r.retries+r.cfg.RetryShare, r.cfg.RetryBurst)
	}
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.own++
	if l := t.link(r.kinds[kindName]); l != nil {
		l.own++
	}
	t.tier.open++
	r.spend(now, t, bytes)
	r.refresh(now, t)
}

// End counts the end of a request that Begin counted in. Busy is the number of
// slots in use after the request that the target reported, or -1.
func (r *Router) End(now time.Duration, name, kindName string, res Result, _ time.Duration, bytes, busy int) {
	r.advance(now)
	t, ok := r.targets[name]
	if !ok || t.own == 0 {
		return
	}
	t.own--
	t.tier.open--
	r.spend(now, t, bytes)
	if busy >= 0 {
		t.others, t.othersAt, t.reportAt = float64(max(busy-t.own, 0)), now, now
	}
	k := r.kinds[kindName]
	l := t.link(k)
	if l != nil {
		l.own = max(l.own-1, 0)
	}
	if k != nil && res == ResultAnswered {
		k.bytes += 0.05 * (float64(bytes) - k.bytes)
	}
	r.judgePath(now, t, res)
	switch res {
	case ResultAnswered:
		t.hold = 0
		r.answered(now, t, l)
	case ResultFailed, ResultLost:
		r.failed(now, l)
	case ResultRefused:
		r.refused(now, t, busy)
	}
	r.refresh(now, t)
	r.release(t)
}

func (r *Router) spend(now time.Duration, t *target, bytes int) {
	if t.tier.far {
		r.refill(now)
		r.far -= float64(bytes)
	}
}

// refused leaves a target alone that has no slot or is leaving.
func (r *Router) refused(now time.Duration, t *target, busy int) {
	if busy < 0 {
		t.others, t.othersAt, t.reportAt = float64(max(t.Slots-t.own, 0)), now, now
	}
	t.hold = min(max(2*t.hold, r.cfg.HoldMin), r.cfg.HoldMax)
	t.holdUntil = now + t.hold
}

// judgePath closes the way to a region after several lost connections in a row.
// It opens again for one request at a time, until one comes back.
func (r *Router) judgePath(now time.Duration, t *target, res Result) {
	p := t.tier
	if !p.far {
		return
	}
	switch res {
	case ResultAnswered, ResultFailed, ResultRefused:
		p.lost, p.closed, p.until = 0, 0, 0
	case ResultLost:
		p.lost++
		if now < p.until || p.closed == 0 && p.lost < pathLosses {
			return
		}
		p.until = now + doubled(r.cfg.PathMin, p.closed, r.cfg.PathMax)
		p.closed++
	}
}

// doubled returns base times two to the power of n, at most limit.
func doubled(base time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && base < limit; n-- {
		base *= 2
	}
	return min(base, limit)
}
