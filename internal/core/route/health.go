package route

import "time"

const (
	// minOtherResults is the number of recent results on other targets that is
	// needed to attribute a failure to a target.
	minOtherResults = 3.0
	// unhealthyShare is the share of failures from which a target or kind counts
	// as unhealthy.
	unhealthyShare = 0.5
	// ejectionMemory is how long a target must be healthy before ejections is
	// reduced by one.
	ejectionMemory = time.Minute
)

func (t *target) endpoint(k *kind) *endpoint {
	for _, e := range t.endpoints {
		if e.kind == k {
			return e
		}
	}
	return nil
}

func (r *Router) recordSuccess(now time.Duration, t *target, e *endpoint) {
	if e != nil {
		r.decayResults(now, e)
		e.results.ok++
		e.kind.results.ok++
		if e.health == probing {
			e.health, e.healthySince = healthy, now
			r.clearFailures(now, e)
		}
		e.forgetEjection(now)
	}
	if t.health == probing {
		t.health, t.healthySince = healthy, now
		t.slowStartAt, t.slowStart = now, true
		for _, o := range t.endpoints {
			r.clearFailures(now, o)
		}
	}
	t.forgetEjection(now)
}

// clearFailures resets the failures of an endpoint.
func (r *Router) clearFailures(now time.Duration, e *endpoint) {
	r.decayResults(now, e)
	e.kind.results.fail = max(e.kind.results.fail-e.results.fail, 0)
	e.results.fail = 0
}

func (s *ejectionState) forgetEjection(now time.Duration) {
	if s.ejections > 0 && s.health == healthy && now-s.healthySince >= ejectionMemory {
		s.ejections--
		s.healthySince = now
	}
}

// recordFailure counts a failure on an endpoint. It ejects the target or the
// endpoint if the failures are specific to it.
func (r *Router) recordFailure(now time.Duration, e *endpoint) {
	if e == nil {
		return
	}
	t := e.target
	r.decayResults(now, e)
	e.results.fail++
	e.kind.results.fail++
	if !r.healthierElsewhere(e) {
		return
	}
	if t.health == probing {
		r.eject(now, t)
	}
	if e.health == probing {
		r.ejectEndpoint(now, e)
	}
	if t.health != healthy {
		return
	}
	var ok, fail float64
	for _, o := range t.endpoints {
		r.decayResults(now, o)
		ok += o.results.ok
		if r.healthierElsewhere(o) {
			fail += o.results.fail
		}
	}
	if r.unhealthy(ok, fail) {
		r.eject(now, t)
	}
	if t.health == healthy && e.health == healthy && r.unhealthy(e.results.ok, e.results.fail) {
		r.ejectEndpoint(now, e)
	}
}

func (r *Router) unhealthy(ok, fail float64) bool {
	return fail >= r.cfg.EjectFailures && fail >= unhealthyShare*(ok+fail)
}

// healthierElsewhere reports whether the share of failures of the kind on other
// targets is less than half of that on this one. A kind that fails everywhere is
// not attributed to a target.
func (r *Router) healthierElsewhere(e *endpoint) bool {
	failureShare := e.results.fail / max(e.results.ok+e.results.fail, 1)
	ok := max(e.kind.results.ok-e.results.ok, 0)
	fail := max(e.kind.results.fail-e.results.fail, 0)
	return ok+fail >= minOtherResults && fail/(ok+fail) < failureShare/2
}

// eject ejects a target unless the cap is reached or a kind would be left without
// a healthy target.
func (r *Router) eject(now time.Duration, t *target) {
	if !t.usable() {
		return
	}
	up := 0
	for _, o := range r.order {
		if o.usable() {
			up++
		}
	}
	if r.ejectedCount >= r.maxEjected(up) {
		return
	}
	for _, e := range t.endpoints {
		if !e.kind.hasHealthyTarget(t) {
			return
		}
	}
	r.ejectedCount++
	r.startEjection(now, &t.ejectionState)
}

// ejectEndpoint ejects an endpoint. The same cap applies among the targets of the
// kind.
func (r *Router) ejectEndpoint(now time.Duration, e *endpoint) {
	up := 0
	for _, o := range e.kind.endpoints {
		if o.target.usable() {
			up++
		}
	}
	if !e.target.usable() || e.kind.ejectedCount >= r.maxEjected(up) || !e.kind.hasHealthyTarget(e.target) {
		return
	}
	e.kind.ejectedCount++
	r.startEjection(now, &e.ejectionState)
}

// maxEjected returns how many of the usable targets may be ejected.
func (r *Router) maxEjected(up int) int { return max(int(r.cfg.EjectShare*float64(up)), 1) }

func (r *Router) startEjection(now time.Duration, s *ejectionState) {
	s.ejectedUntil = now + exponentialBackoff(r.cfg.EjectMin, s.ejections, r.cfg.EjectMax)
	s.ejections++
	s.health = ejected
}

// endEjection ends the ejection of an endpoint, if it is ejected.
func (e *endpoint) endEjection(to health) {
	if e.health == ejected {
		e.kind.ejectedCount--
		e.health = to
	}
}

func (t *target) usable() bool { return !t.removed && t.Up && !t.Draining && !t.evacuated }

// hasHealthyTarget reports whether the kind has a healthy target other than
// except.
func (k *kind) hasHealthyTarget(except *target) bool {
	for _, e := range k.endpoints {
		if o := e.target; o != except && o.usable() && o.health == healthy && e.health == healthy {
			return true
		}
	}
	return false
}

// restoreLastTargets makes all targets of a kind healthy if the kind has no
// healthy target left. It runs after every change of a target.
func (r *Router) restoreLastTargets(now time.Duration, endpoints []*endpoint) {
	for _, e := range endpoints {
		if e.kind.hasHealthyTarget(nil) {
			continue
		}
		for _, o := range e.kind.endpoints {
			t := o.target
			if !t.usable() {
				continue
			}
			if t.health == ejected {
				r.ejectedCount--
			}
			t.health = healthy
			o.endEjection(healthy)
			o.health = healthy
			r.updateFree(now, t)
		}
	}
}

func (r *Router) decayResults(now time.Duration, e *endpoint) {
	e.results.decay(now, r.cfg.HealthHalfLife)
	e.kind.results.decay(now, r.cfg.HealthHalfLife)
}
