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
		if l.accounts.len() == 0 || l.failedAt == c.fleet.growth {
			continue
		}
		rank := c.rank(l)
		if best == nil || rank < bestRank || rank == bestRank && before(l.head(), best.head()) {
			best, bestRank = l, rank
		}
	}
	return best
}

// rank is the rank of the lane's class, or the highest while jobs of the class
// hold less than the share that is kept for it.
func (c *Core) rank(l *lane) int {
	var share int
	switch l.key.rank {
	case 0:
		return 0
	case 1:
		share = c.cfg.StandardShare
	default:
		share = c.cfg.BulkShare
	}
	if c.queue.used[l.key.rank]*100 < share*c.fleet.accelerators {
		return 0
	}
	return l.key.rank
}

// borrow starts a job on free accelerators, outside cells if possible.
func (c *Core) borrow(j *job) bool {
	q := query{shape: j.spec.Shape, view: viewOpen, avoid: j.avoid}
	picks, ok := c.fleet.find(q)
	if !ok {
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
	dodgeLimit = 5
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
	if j.size() == 1 {
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
	c.claim(j, holds)
	j.reason = "accelerators are reserved and not all free yet"
}
