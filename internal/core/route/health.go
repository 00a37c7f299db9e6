package route

import "time"

const (
	// evidence is the number of recent results on other targets without which a
	// failure is not blamed on a target.
	evidence = 3.0
	// badShare is the part of failures from which a target or kind counts as bad.
	badShare = 0.5
	// forgiveAfter is how long a target has to answer before one past ejection is
	// forgotten.
	forgiveAfter = time.Minute
)

func (t *target) link(k *kind) *link {
	for _, l := range t.links {
		if l.kind == k {
			return l
		}
	}
	return nil
}

func (r *Router) answered(now time.Duration, t *target, l *link) {
	if l != nil {
		r.fade(now, l)
		l.score.ok++
		l.kind.score.ok++
		if l.health == probing {
			l.health, l.goodSince = healthy, now
			r.clear(now, l)
		}
		l.forgive(now)
	}
	if t.health == probing {
		t.health, t.goodSince = healthy, now
		t.since, t.slow = now, true
		for _, o := range t.links {
			r.clear(now, o)
		}
	}
	t.forgive(now)
}

// clear forgets the failures of a link.
func (r *Router) clear(now time.Duration, l *link) {
	r.fade(now, l)
	l.kind.score.fail = max(l.kind.score.fail-l.score.fail, 0)
	l.score.fail = 0
}

func (s *standing) forgive(now time.Duration) {
	if s.ejections > 0 && s.health == healthy && now-s.goodSince >= forgiveAfter {
		s.ejections--
		s.goodSince = now
	}
}

// failed counts a failure of a kind on a target and ejects the target, or the kind
// on it, if it is to blame.
func (r *Router) failed(now time.Duration, l *link) {
	if l == nil {
		return
	}
	t := l.target
	r.fade(now, l)
	l.score.fail++
	l.kind.score.fail++
	if !r.fineElsewhere(l) {
		return
	}
	if t.health == probing {
		r.eject(now, t)
	}
	if l.health == probing {
		r.ejectLink(now, l)
	}
	if t.health != healthy {
		return
	}
	var ok, fail float64
	for _, o := range t.links {
		r.fade(now, o)
		ok += o.score.ok
		if r.fineElsewhere(o) {
			fail += o.score.fail
		}
	}
	if r.bad(ok, fail) {
		r.eject(now, t)
	}
	if t.health == healthy && l.health == healthy && r.bad(l.score.ok, l.score.fail) {
		r.ejectLink(now, l)
	}
}

func (r *Router) bad(ok, fail float64) bool {
	return fail >= r.cfg.EjectFailures && fail >= badShare*(ok+fail)
}

// fineElsewhere reports whether the kind fails on other targets less than half as
// often as on this one. A kind that fails everywhere is no target's fault.
func (r *Router) fineElsewhere(l *link) bool {
	own := l.score.fail / max(l.score.ok+l.score.fail, 1)
	ok := max(l.kind.score.ok-l.score.ok, 0)
	fail := max(l.kind.score.fail-l.score.fail, 0)
	return ok+fail >= evidence && fail/(ok+fail) < own/2
}

// eject leaves a target alone, unless the cap is reached or a kind would be left
// without any target.
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
	if r.out >= r.ejectable(up) {
		return
	}
	for _, l := range t.links {
		if !l.kind.othersIn(t) {
			return
		}
	}
	r.out++
	r.close(now, &t.standing)
}

// ejectLink leaves one kind on a target alone, under the same cap among the kind's
// targets.
func (r *Router) ejectLink(now time.Duration, l *link) {
	up := 0
	for _, o := range l.kind.links {
		if o.target.usable() {
			up++
		}
	}
	if !l.target.usable() || l.kind.out >= r.ejectable(up) || !l.kind.othersIn(l.target) {
		return
	}
	l.kind.out++
	r.close(now, &l.standing)
}

// ejectable returns how many of the targets that are up may be ejected.
func (r *Router) ejectable(up int) int { return max(int(r.cfg.EjectShare*float64(up)), 1) }

func (r *Router) close(now time.Duration, s *standing) {
	s.until = now + doubled(r.cfg.EjectMin, s.ejections, r.cfg.EjectMax)
	s.ejections++
	s.health = ejected
}

// comeBack ends the ejection of a link.
func (l *link) comeBack(to health) {
	if l.health == ejected {
		l.kind.out--
		l.health = to
	}
}

func (t *target) usable() bool { return !t.gone && t.Up && !t.Draining }

// othersIn reports whether the kind has a target other than t that is in use for it.
func (k *kind) othersIn(t *target) bool {
	for _, l := range k.links {
		if o := l.target; o != t && o.usable() && o.health == healthy && l.health == healthy {
			return true
		}
	}
	return false
}

// restore takes the ejected and probing targets of those kinds back that have no
// healthy target any more. It runs after every change of a target.
func (r *Router) restore(now time.Duration, links []*link) {
	for _, l := range links {
		if l.kind.othersIn(nil) {
			continue
		}
		for _, o := range l.kind.links {
			t := o.target
			if !t.usable() {
				continue
			}
			if t.health == ejected {
				r.out--
			}
			t.health = healthy
			o.comeBack(healthy)
			o.health = healthy
			r.refresh(now, t)
		}
	}
}

func (r *Router) fade(now time.Duration, l *link) {
	l.score.fade(now, r.cfg.HealthHalfLife)
	l.kind.score.fade(now, r.cfg.HealthHalfLife)
}
