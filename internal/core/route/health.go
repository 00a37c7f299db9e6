package route

import "time"

const (
	// evidence is the number of recent results on other targets without which a
	// failure is not blamed on a target.
	evidence = 3.0
	// badShare is the part of failures from which a target or kind counts as bad.
	badShare = 0.5
	// forgive is how long a target has to answer before one past ejection is
	// forgotten.
	forgive = time.Minute
)

func (t *target) link(k *kind) *link {
	for _, l := range t.links {
		if l.kind == k {
			return l
		}
	}
	return nil
}

func (r *Router) answered(now time.Duration, t *target, k *kind) {
	if l := t.link(k); l != nil {
		r.fade(now, l)
		l.score.ok++
		k.score.ok++
	}
	if t.health == probing {
		t.health = healthy
		t.since, t.slow = now, true
		t.goodSince = now
		for _, l := range t.links {
			r.fade(now, l)
			l.kind.score.fail = max(l.kind.score.fail-l.score.fail, 0)
			l.score.fail = 0
		}
	}
	if t.ejections > 0 && t.health == healthy && now-t.goodSince >= forgive {
		t.ejections--
		t.goodSince = now
	}
}

// failed counts a failure and ejects the target if it is to blame.
func (r *Router) failed(now time.Duration, t *target, k *kind) {
	l := t.link(k)
	if l == nil {
		return
	}
	r.fade(now, l)
	l.score.fail++
	k.score.fail++
	if !r.fineElsewhere(l) {
		return
	}
	if t.health == probing {
		r.eject(now, t)
		return
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
	if fail >= r.cfg.EjectFailures && fail >= badShare*(ok+fail) {
		r.eject(now, t)
	}
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
	if r.out >= max(int(r.cfg.EjectShare*float64(up)), 1) {
		return
	}
	for _, l := range t.links {
		if !l.kind.othersIn(t) {
			return
		}
	}
	t.until = now + doubled(r.cfg.EjectMin, t.ejections, r.cfg.EjectMax)
	t.ejections++
	t.health = ejected
	r.out++
}

func (t *target) usable() bool { return !t.gone && t.Up && !t.Draining }

// othersIn reports whether the kind has a target other than t that is in use.
func (k *kind) othersIn(t *target) bool {
	for _, l := range k.links {
		if o := l.target; o != t && o.usable() && o.health == healthy {
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
			if t.health == healthy || !t.usable() {
				continue
			}
			if t.health == ejected {
				r.out--
			}
			t.health = healthy
			r.refresh(now, t)
		}
	}
}

func (r *Router) fade(now time.Duration, l *link) {
	l.score.fade(now, r.cfg.HealthHalfLife)
	l.kind.score.fade(now, r.cfg.HealthHalfLife)
}
