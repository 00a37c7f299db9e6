package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// plan is a way to place a job: the accelerators and the jobs to preempt for
// them.
type plan struct {
	allocs []allocation
	// victims are running jobs that hold accelerators of the plan.
	victims []*job
	// busy means that some accelerators are not free yet.
	busy bool
	cost int64
}

// claimGuarantees claims cells for the waiting jobs that are within a
// guarantee.
//
// A claim may end a reservation of an account that was already processed, so
// the loop repeats until no account changes. It terminates because each
// iteration claims for a job or ends a reservation, and none makes a
// reservation.
func (c *Core) claimGuarantees() {
	for changed := true; changed; {
		changed = false
		for _, a := range c.ordered {
			if !a.recheck {
				continue
			}
			a.recheck = false
			for a.waiting > 0 && len(a.cells) > 0 && c.claimNext(a) {
				changed = true
			}
		}
	}
}

// needsRecheck reports whether a waiting job of some account may fit a cell.
func (c *Core) needsRecheck() bool {
	for _, a := range c.ordered {
		if a.recheck && a.waiting > 0 && len(a.cells) > 0 {
			return true
		}
	}
	return false
}

// claimNext claims for one job of the account and reports whether it did.
func (c *Core) claimNext(a *account) bool {
	heads := make([]*job, 0, len(a.queues))
	for _, n := range a.queues {
		heads = append(heads, n.head())
	}
	sort.Slice(heads, func(i, j int) bool {
		x, y := heads[i], heads[j]
		if p, q := c.level(x), c.level(y); p != q {
			return p < q
		}
		return before(x, y)
	})
	for _, j := range heads {
		if c.claimFor(j) || c.skipAvoiding(j) {
			return true
		}
	}
	return false
}

// skipAvoiding removes a job from the head of its subqueue if it would fit a
// cell were it not for the workers it avoids, so that the jobs behind it can
// claim the cell. The job starts as a borrower if it can, and is delayed
// otherwise.
func (c *Core) skipAvoiding(j *job) bool {
	if len(j.avoid) == 0 {
		return false
	}
	avoid := j.avoid
	j.avoid = nil
	_, _, ok := c.bestPlan(j)
	j.avoid = avoid
	if !ok {
		return false
	}
	if !c.borrow(j) {
		c.delayAvoiding(j)
	}
	return true
}

// claimFor starts a job within its account's guarantee, or claims accelerators
// for it. If startOutsideCell does not start the job, it uses, in order of
// preference, free accelerators of a cell, a cell moved to free accelerators,
// other free accelerators, and preemption.
func (c *Core) claimFor(j *job) bool {
	best, p, ok := c.bestPlan(j)
	if !ok {
		return false
	}
	if c.startOutsideCell(j) {
		return true
	}
	if !p.busy {
		c.claimOn(j, best, p)
		return true
	}
	if best.used == 0 && c.moveCell(best, j.avoid) {
		return c.claimFor(j)
	}
	if j.account.used+j.size() <= j.account.guaranteed {
		free := poolUnbound
		if c.cfg.has(FeatureSharedFit) {
			free = poolLendable
		}
		if picks, ok := c.fleet.find(query{shape: j.spec.Shape, pool: free, avoid: j.avoid}); ok {
			c.startBorrower(j, picks)
			return true
		}
	}
	if c.holdsPreemption() {
		return false
	}
	c.claimOn(j, best, p)
	return true
}

// bestPlan returns the cell of the account on which the job can start at the
// lowest cost; ok is false if no cell has room.
func (c *Core) bestPlan(j *job) (best *cell, p plan, ok bool) {
	for _, cl := range j.account.cells {
		if !cl.covered() || c.claimableCount(cl, j) < j.size() {
			continue
		}
		q, fits := c.planOnCell(cl, j)
		if fits && (best == nil || q.better(p, cl, best)) {
			best, p = cl, q
		}
	}
	return best, p, best != nil
}

// startOutsideCell starts a job that is within its account's guarantee as a
// borrower, on the fullest of the partly used workers that have room. This
// leaves emptier workers whole for larger jobs. The job needs no protection
// from preemption, because a preempted job claims its cell. The job uses a cell
// instead if that cell is already in use on a worker at least as full.
func (c *Core) startOutsideCell(j *job) bool {
	if !c.cfg.has(FeatureFillPartialWorkers) || j.account.used+j.size() > j.account.guaranteed {
		return false
	}
	picks, ok := c.fleet.findWorker(query{shape: j.spec.Shape, pool: poolLendable, avoid: j.avoid})
	if !ok || picks[0].w.entirelyLendable() {
		return false
	}
	for _, cl := range j.account.cells {
		if cl.used == 0 || cl.shape.Accelerators-cl.used < j.size() {
			continue
		}
		for _, p := range cl.allocs {
			if n := p.w.count[poolLendable]; n >= j.size() && n <= picks[0].w.count[poolLendable] {
				return false
			}
		}
	}
	c.startBorrower(j, picks)
	return true
}

func (p plan) better(o plan, cl, other *cell) bool {
	if p.busy != o.busy {
		return !p.busy
	}
	if p.cost != o.cost {
		return p.cost < o.cost
	}
	return cl.shape.Accelerators-cl.used < other.shape.Accelerators-other.used
}

// moveCell rebinds an unused cell to free accelerators outside all cells.
func (c *Core) moveCell(cl *cell, avoid []string) bool {
	picks, ok := c.fleet.find(query{shape: cl.shape, pool: poolUnbound, avoid: avoid})
	if !ok {
		return false
	}
	c.unbind(cl)
	c.bind(cl, allocateFree(picks))
	return true
}

// claimOn starts the job on the cell if its accelerators are free. Otherwise it
// claims them and preempts the jobs that hold them.
func (c *Core) claimOn(j *job, cl *cell, p plan) {
	c.dequeue(j)
	for _, v := range p.victims {
		if v.cell != nil {
			c.releaseCell(v)
			c.setGuaranteed(v, false)
		}
	}
	j.cell = cl
	j.guaranteed = true
	cl.used += j.size()
	c.claim(j, p.allocs)
	for _, v := range p.victims {
		c.preempt(v, j.spec.ID, "the owner of the cell claims it")
	}
	if len(p.victims) > 0 {
		c.recordReclaim(cl)
	}
	if p.busy {
		if j.account.claims == 0 {
			j.account.debtSince = c.now
		}
		j.account.claims++
		j.reason = "waiting for preempted work to stop"
		return
	}
	c.startClaimed(j)
}

func (c *Core) preempt(v *job, by chestnutpond.JobID, reason string) {
	if v.state == stateStopping {
		return
	}
	v.state = stateStopping
	for _, h := range v.held {
		c.fleet.recount(h.w)
	}
	c.actions = append(c.actions, Action{
		Kind: ActionPreempt, Job: v.spec.ID, Attempt: v.attempt, Placements: v.placements(v.held),
		Reason: reason, For: by,
	})
}
