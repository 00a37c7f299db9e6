package place

import "time"

// startBorrowers starts waiting jobs in queue order until no more fit.
func (c *Core) startBorrowers() {
	first := true
	for {
		sq := c.nextSubqueue()
		if sq == nil {
			return
		}
		j := sq.head()
		if c.borrow(j) {
			continue
		}
		if len(j.avoid) > 0 && c.delayIfAvoiding(j) {
			continue
		}
		if c.preemptFor(j, sq) {
			continue
		}
		sq.noFitGeneration = c.fleet.generation
		if first {
			c.reserve(j)
		}
		first = false
	}
}

// nextSubqueue returns the subqueue whose head job comes first in queue order,
// among those whose shape may fit.
func (c *Core) nextSubqueue() *subqueue {
	var best *subqueue
	bestLevel := 0
	for _, sq := range c.queue.subqueues {
		if sq.accounts.Len() == 0 || sq.noFitGeneration == c.fleet.generation && (sq.retryAt == 0 || c.now < sq.retryAt) {
			continue
		}
		level := c.effectiveLevel(sq.head())
		if best == nil || level < bestLevel || level == bestLevel && before(sq.head(), best.head()) {
			best, bestLevel = sq, level
		}
	}
	return best
}

// effectiveLevel returns the priority level at which the job would start, or
// the highest level while jobs of its level hold less than their minimum share.
func (c *Core) effectiveLevel(j *job) int {
	level := c.level(j)
	if c.queue.used[level]*100 < c.minSharePercent(level)*c.fleet.accelerators {
		return 0
	}
	return level
}

// backlogMinSharePercent is the minimum share of jobs of backlogged callers.
const backlogMinSharePercent = 5

// minSharePercent returns the minimum share of a priority level, as a
// percentage of the region's accelerators.
func (c *Core) minSharePercent(level int) int {
	switch level {
	case 0:
		return 0
	case 1:
		return c.cfg.StandardShare
	case lastLevel:
		return backlogMinSharePercent
	default:
		return c.cfg.BulkShare
	}
}

// borrow starts a job as a borrower on free accelerators, outside cells if
// possible.
func (c *Core) borrow(j *job) bool {
	q := query{shape: j.spec.Shape, pool: poolUnbound, avoid: j.avoid}
	if c.cfg.has(FeatureSharedFit) {
		q.pool = poolLendable
	}
	picks, ok := c.fleet.find(q)
	if !ok && q.pool == poolUnbound {
		q.pool = poolLendable
		picks, ok = c.fleet.find(q)
	}
	if ok {
		c.startBorrower(j, picks)
	}
	return ok
}

const (
	// avoidDelay is the delay of a job that currently fits only on workers on
	// which it failed.
	avoidDelay = time.Second
	// maxAvoidDelays is the number of such delays after which the job may run
	// on those workers again.
	maxAvoidDelays = 60
)

// delayIfAvoiding delays a job that would fit if it did not avoid workers, so
// that it does not block the jobs behind it. It reports whether it did.
func (c *Core) delayIfAvoiding(j *job) bool {
	q := query{shape: j.spec.Shape, pool: poolLendable}
	if _, ok := c.fleet.find(q); !ok {
		return false
	}
	c.delayAvoiding(j)
	return true
}

// delayAvoiding delays a waiting job that fits only on workers it avoids. After
// maxAvoidDelays delays the job may use them again.
func (c *Core) delayAvoiding(j *job) {
	c.detach(j)
	j.avoidDelays++
	if j.avoidDelays >= maxAvoidDelays {
		j.avoidDelays = 0
		j.avoid = nil
	}
	j.notBefore = c.now + avoidDelay
	j.reason = "only workers on which it failed have room"
	c.enqueue(j)
}

// reserve reserves accelerators for the job at the head of the queue,
// preferring those that other jobs do not hold.
func (c *Core) reserve(j *job) {
	if j.size() == 1 || c.cfg.has(FeatureReservationPreempt) && c.now < j.enqueuedAt+c.cfg.ReservationAfter {
		return
	}
	n := 0
	for _, o := range c.claims {
		if !o.guaranteed {
			n++
		}
	}
	if n >= c.cfg.ReservationLimit {
		return
	}
	picks, ok := c.fleet.find(query{shape: j.spec.Shape, pool: poolReservable, avoid: j.avoid})
	if !ok {
		return
	}
	allocs := make([]allocation, 0, len(picks))
	for _, p := range picks {
		allocs = append(allocs, allocation{p.w, p.w.selectSlots(p.n, func(s *slot) int {
			switch {
			case !s.in(poolReservable):
				return -1
			case s.job == nil:
				return 0
			default:
				return 1
			}
		})})
	}
	c.dequeue(j)
	j.reservedAt = c.now
	c.claim(j, allocs)
	j.reason = "accelerators are reserved and not all free yet"
}
