package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// preemptibleAt reports whether the job is a running borrower at the given
// priority level or lower in priority.
func (j *job) preemptibleAt(level int) bool {
	return !j.guaranteed && j.level >= level && j.state == stateRunning
}

// ranLongEnough reports whether the job has run long enough for another
// borrower to preempt it. The required time grows with each preemption, so that
// a job is not started and preempted over and over.
func (c *Core) ranLongEnough(j *job) bool {
	least := c.cfg.PreemptMinRun << min(j.preemptions, 6)
	if j.level == lastLevel {
		least = min(c.cfg.HealthyAfter<<min(j.preemptions, 6), least)
	}
	return j.state == stateRunning && c.now-j.runningSince >= least
}

// maxPreemptRacks limits the racks that are searched for victims.
const maxPreemptRacks = 8

const (
	// maxVictimSearches limits the searches for victims in one decision, of
	// which they are the most expensive part. The remaining subqueues search
	// again after victimSearchDelay.
	maxVictimSearches = 4
	victimSearchDelay = 100 * time.Millisecond
)

// victimSearchRetry is the time between two searches for the same subqueue if
// the first one found nothing. With 15 s the mean slowdown of an ordinary day
// rose from 1.5 to 2.4.
const victimSearchRetry = time.Second

// anyRunTime allows preempting a borrower regardless of its run time. An urgent
// job that waited for PreemptMinRun of its victims would miss its 2 s start
// target.
func anyRunTime(*job) bool { return true }

// preemptFor claims accelerators for the head job of a subqueue that does not
// fit, and preempts the borrowers of lower priority levels on them. Jobs of
// backlogged callers preempt nothing and may be preempted without delay. Urgent
// jobs prefer victims that have run long enough, and take others if there are
// too few of those.
func (c *Core) preemptFor(j *job, sq *subqueue) bool {
	level := c.level(j)
	if c.now < sq.retryAt {
		return false
	}
	// A time in the past would make nextSubqueue return this subqueue again and
	// again.
	sq.retryAt = 0
	if !c.cfg.has(FeaturePreempt) || level >= lastLevel {
		return false
	}
	if c.holdsPreemption() {
		sq.retryAt = c.holdUntil
		return false
	}
	if c.victimSearches >= maxVictimSearches {
		sq.retryAt = c.now + victimSearchDelay
		return false
	}
	c.victimSearches++
	best, found := c.cheapestPreemption(j, poolPreemptible3, c.ranLongEnough)
	if wait := j.enqueuedAt + c.cfg.PreemptAfter; !found && level > 0 && c.now < wait {
		sq.retryAt = wait
		return false
	}
	if !found && level < lastRank {
		best, found = c.cheapestPreemption(j, poolPreemptible1+pool(level), c.ranLongEnough)
	}
	if !found && level == 0 && c.cfg.has(FeatureUrgentFirst) {
		best, found = c.cheapestPreemption(j, poolPreemptible1, anyRunTime)
	}
	if !found || !c.keepsMinShares(best) {
		sq.retryAt = c.now + victimSearchRetry
		return false
	}
	c.dequeue(j)
	j.reservedAt = c.now
	j.level = level
	c.claim(j, best.allocs)
	for _, v := range best.victims {
		v.preemptions++
		c.preempt(v, j.spec.ID, "more urgent work needs the accelerators")
	}
	j.reason = "waiting for preempted work to stop"
	return true
}

// cheapestPreemption returns the plan with the lowest preemption cost among the
// victims that eligible allows.
func (c *Core) cheapestPreemption(j *job, from pool, eligible func(*job) bool) (best plan, found bool) {
	q := query{shape: j.spec.Shape, pool: from, avoid: j.avoid}
	if c.fleet.knownNoFit(q) {
		return best, false
	}
	consider := func(picks []pick) {
		if p, ok := c.planPreemption(from, picks, eligible); ok && (!c.cfg.has(FeatureUrgentFirst) || c.keepsMinShares(p)) && (!found || p.cost < best.cost) {
			best, found = p, true
		}
	}
	spans := j.spec.Shape.Adjacency != chestnutpond.AdjacencyWorker
	for _, r := range c.fleet.candidateRacks(q, spans) {
		for _, w := range r.workers {
			if w.count[from] >= j.size() && q.allows(w) {
				consider([]pick{{w, j.size()}})
			}
		}
		if spans && !found && r.summaries[from].fits(j.size()) {
			if picks, ok := packGang(r.candidates(nil, q), j.size()); ok {
				consider(picks)
			}
		}
	}
	if !found && j.spec.Shape.Adjacency == chestnutpond.AdjacencyZone {
		if picks, ok := c.fleet.findZone(q); ok {
			consider(picks)
		}
	}
	return best, found
}

// candidateRacks returns racks that may fit the shape, at most maxPreemptRacks
// of them. It prefers those with the most lendable accelerators on one worker.
func (f *fleet) candidateRacks(q query, spans bool) []*rack {
	var out []*rack
	for _, r := range f.racks {
		s := &r.summaries[q.pool]
		if _, ok := s.smallestFit(q.shape.Accelerators); ok || spans && s.fits(q.shape.Accelerators) {
			out = append(out, r)
		}
	}
	if len(out) > maxPreemptRacks {
		sort.SliceStable(out, func(i, j int) bool {
			return out[i].summaries[poolLendable].mask > out[j].summaries[poolLendable].mask
		})
		out = out[:maxPreemptRacks]
	}
	return out
}

// planPreemption selects free accelerators and those of the cheapest borrowers
// in the pool. ok is false if eligible allows too few of them, or if no
// preemption is needed.
func (c *Core) planPreemption(from pool, picks []pick, eligible func(*job) bool) (p plan, ok bool) {
	for _, k := range picks {
		h, victims, _ := c.selectVictims(k, func(s *slot) bool {
			return s.in(from) && (s.job == nil || eligible(s.job) && c.keepsMinShare(s.job))
		})
		if len(h.index) < k.n {
			return p, false
		}
		p.allocs = append(p.allocs, h)
		for _, o := range victims {
			if !contains(p.victims, o) {
				p.victims = append(p.victims, o)
				p.cost += c.preemptionCost(o)
			}
		}
	}
	return p, len(p.victims) > 0
}

// keepsMinShare reports whether the priority level of the borrower keeps its
// minimum share if the borrower is preempted. Large borrowers of a level with
// little more than its share are therefore not preempted.
func (c *Core) keepsMinShare(j *job) bool {
	return !c.cfg.has(FeatureUrgentFirst) || (c.queue.used[j.level]-j.size())*100 >= c.minSharePercent(j.level)*c.fleet.accelerators
}

// keepsMinShares reports whether each priority level keeps its minimum share if
// the victims are preempted.
func (c *Core) keepsMinShares(p plan) bool {
	used := c.queue.used
	for _, v := range p.victims {
		used[v.level] -= v.size()
	}
	for _, v := range p.victims {
		if used[v.level]*100 < c.minSharePercent(v.level)*c.fleet.accelerators {
			return false
		}
	}
	return true
}

// preemptForReservations preempts the borrowers on the accelerators of
// reservations older than ReservationPreemptAfter. It does not preempt urgent jobs.
func (c *Core) preemptForReservations() {
	if !c.cfg.has(FeatureReservationPreempt) || c.holdsPreemption() {
		return
	}
	for _, j := range c.claims {
		if j.guaranteed || c.now-j.reservedAt < c.cfg.ReservationPreemptAfter {
			continue
		}
		for _, h := range j.claim {
			for _, i := range h.index {
				v := h.w.slots[i].job
				if v != nil && !v.guaranteed && v.level > 0 && c.ranLongEnough(v) {
					v.preemptions++
					c.preempt(v, j.spec.ID, "the reservation of a large gang has waited long")
				}
			}
		}
	}
}
