package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// below reports whether a borrower of a level above may preempt the job.
func (j *job) below(level int) bool {
	return !j.guaranteed && j.level >= level && j.state == stateRunning
}

// mayStop reports whether the job has run long enough for another borrower to
// preempt it. The time grows with each preemption, so that no job is started
// and stopped in turns.
func (c *Core) mayStop(j *job) bool {
	least := c.cfg.PreemptMinRun << min(j.preemptions, 6)
	if j.level == lastLevel {
		least = min(c.cfg.HealthyAfter<<min(j.preemptions, 6), least)
	}
	return j.state == stateRunning && c.now-j.since >= least
}

// preemptRacks bounds the racks in which victims are looked for.
const preemptRacks = 8

const (
	// searchLimit bounds the searches for victims in one decision, the most
	// expensive part of it; the other lanes search searchPause later.
	searchLimit = 4
	searchPause = 100 * time.Millisecond
)

// searchRetry is the time between two searches for the same lane, while nothing
// is found. With 15 s the mean slowdown of an ordinary day rose from 1.5 to 2.4.
const searchRetry = time.Second

// always lets a borrower be preempted however short its run was. An urgent job
// that waited for PreemptMinRun of its victims would miss its 2 s.
func always(*job) bool { return true }

// preemptFor claims accelerators of borrowers of lower levels for the job that
// is first in its lane and does not fit. A backlogged caller preempts nobody, and
// the work of one is preempted without delay. Urgent work prefers victims that
// have run long enough, and takes others if there are too few of them.
func (c *Core) preemptFor(j *job, l *lane) bool {
	level := c.level(j)
	if c.now < l.retryAt {
		return false
	}
	// A time in the past would make the lane look untried for ever.
	l.retryAt = 0
	if !c.cfg.has(FeaturePreempt) || level >= lastLevel {
		return false
	}
	if c.searches >= searchLimit {
		l.retryAt = c.now + searchPause
		return false
	}
	c.searches++
	best, found := c.cheapest(j, viewOver3, c.mayStop)
	if wait := j.enqueued + c.cfg.PreemptAfter; !found && level > 0 && c.now < wait {
		l.retryAt = wait
		return false
	}
	if !found && level < lastRank {
		best, found = c.cheapest(j, viewOver1+view(level), c.mayStop)
	}
	if !found && level == 0 && c.cfg.has(FeatureUrgentFirst) {
		best, found = c.cheapest(j, viewOver1, always)
	}
	if !found || !c.sparesShares(best) {
		l.retryAt = c.now + searchRetry
		return false
	}
	c.take(j)
	j.reserved = c.now
	j.level = level
	c.claim(j, best.holds)
	for _, v := range best.victims {
		v.preemptions++
		c.preempt(v, j.spec.ID, "more urgent work needs the accelerators")
	}
	j.reason = "waiting for preempted work to stop"
	return true
}

// cheapest finds the place for the job whose borrowers lose the least, among
// those that mayStop allows.
func (c *Core) cheapest(j *job, v view, mayStop func(*job) bool) (best plan, found bool) {
	q := query{shape: j.spec.Shape, view: v, avoid: j.avoid}
	if c.fleet.isFull(q) {
		return best, false
	}
	try := func(picks []pick) {
		if p, ok := c.planOver(v, picks, mayStop); ok && (!c.cfg.has(FeatureUrgentFirst) || c.sparesShares(p)) && (!found || p.cost < best.cost) {
			best, found = p, true
		}
	}
	spans := j.spec.Shape.Adjacency != chestnutpond.AdjacencyWorker
	for _, r := range c.fleet.promising(q, spans) {
		for _, w := range r.workers {
			if w.count[v] >= j.size() && q.allows(w) {
				try([]pick{{w, j.size()}})
			}
		}
		if spans && !found && r.stat[v].holds(j.size()) {
			if picks, ok := choose(r.candidates(nil, q), j.size()); ok {
				try(picks)
			}
		}
	}
	if !found && j.spec.Shape.Adjacency == chestnutpond.AdjacencyZone {
		if picks, ok := c.fleet.findZone(q); ok {
			try(picks)
		}
	}
	return best, found
}

// promising returns the racks that may hold the shape, those with the most free
// accelerators on one worker first, and only some of them.
func (f *fleet) promising(q query, spans bool) []*rack {
	var out []*rack
	for _, r := range f.racks {
		s := &r.stat[q.view]
		if _, ok := s.best(q.shape.Accelerators); ok || spans && s.holds(q.shape.Accelerators) {
			out = append(out, r)
		}
	}
	if len(out) > preemptRacks {
		sort.SliceStable(out, func(i, j int) bool {
			return out[i].stat[viewLend].mask > out[j].stat[viewLend].mask
		})
		out = out[:preemptRacks]
	}
	return out
}

// planOver chooses free accelerators and those of the cheapest borrowers that
// count in the view. ok is false if mayStop allows too few of them.
func (c *Core) planOver(v view, picks []pick, mayStop func(*job) bool) (p plan, ok bool) {
	for _, k := range picks {
		h, victims, _ := c.pickSlots(k, func(s *slot) bool {
			return s.in(v) && (s.job == nil || mayStop(s.job) && c.sparesShare(s.job))
		})
		if len(h.index) < k.n {
			return p, false
		}
		p.holds = append(p.holds, h)
		for _, o := range victims {
			if !contains(p.victims, o) {
				p.victims = append(p.victims, o)
				p.cost += c.loss(o)
			}
		}
	}
	return p, len(p.victims) > 0
}

// sparesShare reports whether the level of the borrower keeps its share without
// it. Of a level with little more than its share, large borrowers stay.
func (c *Core) sparesShare(j *job) bool {
	return !c.cfg.has(FeatureUrgentFirst) || (c.queue.used[j.level]-j.size())*100 >= c.share(j.level)*c.fleet.accelerators
}

// sparesShares reports whether each level keeps its share without the victims.
func (c *Core) sparesShares(p plan) bool {
	used := c.queue.used
	for _, v := range p.victims {
		used[v.level] -= v.size()
	}
	for _, v := range p.victims {
		if used[v.level]*100 < c.share(v.level)*c.fleet.accelerators {
			return false
		}
	}
	return true
}

// ageReservations preempts the borrowers on reservations that have waited long.
// Urgent work is left to end by itself.
func (c *Core) ageReservations() {
	if !c.cfg.has(FeaturePatience) {
		return
	}
	for _, j := range c.claims {
		if j.guaranteed || c.now-j.reserved < c.cfg.ReservationPatience {
			continue
		}
		for _, h := range j.claim {
			for _, i := range h.index {
				v := h.w.slots[i].job
				if v != nil && !v.guaranteed && v.level > 0 && c.mayStop(v) {
					v.preemptions++
					c.preempt(v, j.spec.ID, "the reservation of a large gang has waited long")
				}
			}
		}
	}
}
