package place

import "time"

// startBorrowers starts the waiting jobs in order for as long as one fits.
func (c *Core) startBorrowers() {
	first := true
	for {
		l := c.nextLane()
		if l == nil {
			return
		}
		j := l.head()
		if c.borrow(j) {
			continue
		}
		if len(j.avoid) > 0 && c.dodge(j) {
			continue
		}
		if c.preemptFor(j, l) {
			continue
		}
		l.failedAt = c.fleet.growth
		if first {
			c.reserve(j)
		}
		first = false
	}
}

// nextLane returns the lane whose head is first in the order of work, among
// those whose shape may have a place.
func (c *Core) nextLane() *lane {
	var best *lane
	bestRank := 0
	for _, l := range c.queue.lanes {
		if l.accounts.Len() == 0 || l.failedAt == c.fleet.growth && (l.retryAt == 0 || c.now < l.retryAt) {
			continue
		}
		rank := c.rank(l.head())
		if best == nil || rank < bestRank || rank == bestRank && before(l.head(), best.head()) {
			best, bestRank = l, rank
		}
	}
	return best
}

// rank is the level at which the job would start, or the highest while jobs of
// that level hold less than the share that is kept for it.
func (c *Core) rank(j *job) int {
	level := c.level(j)
	if c.queue.used[level]*100 < c.share(level)*c.fleet.accelerators {
		return 0
	}
	return level
}

// backlogShare is the percentage of accelerators kept for backlogged callers.
const backlogShare = 5

// share is the percentage of accelerators that is kept for a level.
func (c *Core) share(level int) int {
	switch level {
	case 0:
		return 0
	case 1:
		return c.cfg.StandardShare
	case lastLevel:
		return backlogShare
	default:
		return c.cfg.BulkShare
	}
}

// borrow starts a job on free accelerators, outside cells if possible.
func (c *Core) borrow(j *job) bool {
	q := query{shape: j.spec.Shape, view: viewOpen, avoid: j.avoid}
	if c.cfg.has(FeatureSharedFit) {
		q.view = viewLend
	}
	picks, ok := c.fleet.find(q)
	if !ok && q.view == viewOpen {
		q.view = viewLend
		picks, ok = c.fleet.find(q)
	}
	if ok {
		c.startBorrower(j, picks)
	}
	return ok
}

const (
	// dodgeDelay is how long a job waits for room on workers on which it did
	// not fail.
	dodgeDelay = time.Second
	// dodgeLimit is how often it does so before it may go back to them.
	dodgeLimit = 60
)

// dodge delays a job that would fit but for the workers it avoids, so that it
// does not hold up the jobs behind it.
func (c *Core) dodge(j *job) bool {
	q := query{shape: j.spec.Shape, view: viewLend}
	if _, ok := c.fleet.find(q); !ok {
		return false
	}
	c.shelve(j)
	return true
}

// shelve delays a waiting job that has room only on workers it avoids. It may
// use them again after a few such delays.
func (c *Core) shelve(j *job) {
	c.detach(j)
	j.dodges++
	if j.dodges >= dodgeLimit {
		j.dodges = 0
		j.avoid = nil
	}
	j.notBefore = c.now + dodgeDelay
	j.reason = "only workers on which it failed have room"
	c.enqueue(j)
}

// reserve sets accelerators aside for the job at the head of the queue, where
// the fewest are held by others.
func (c *Core) reserve(j *job) {
	if j.size() == 1 || c.cfg.has(FeaturePatience) && c.now < j.enqueued+c.cfg.ReservationAfter {
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
	picks, ok := c.fleet.find(query{shape: j.spec.Shape, view: viewSoon, avoid: j.avoid})
	if !ok {
		return
	}
	holds := make([]hold, 0, len(picks))
	for _, p := range picks {
		holds = append(holds, hold{p.w, p.w.choose(p.n, func(s *slot) int {
			switch {
			case !s.in(viewSoon):
				return -1
			case s.job == nil:
				return 0
			default:
				return 1
			}
		})})
	}
	c.take(j)
	j.reserved = c.now
	c.claim(j, holds)
	j.reason = "accelerators are reserved and not all free yet"
}
