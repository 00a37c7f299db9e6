package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// plan is a way to run a job on a cell.
type plan struct {
	holds []hold
	// victims hold accelerators of the plan and run on.
	victims []*job
	// busy means that some accelerators are not free yet.
	busy bool
	cost int64
}

// claimGuarantees gives cells to the waiting jobs that are within a guarantee.
//
// A claim may end a reservation of an account that was looked at before, so the
// accounts are looked at until none changes. Each turn claims for a job or ends
// a reservation, and none is made here.
func (c *Core) claimGuarantees() {
	for changed := true; changed; {
		changed = false
		for _, a := range c.ordered {
			if !a.check {
				continue
			}
			a.check = false
			for a.waiting > 0 && len(a.cells) > 0 && c.claimNext(a) {
				changed = true
			}
		}
	}
}

// claimable reports whether an account has to be looked at again.
func (c *Core) claimable() bool {
	for _, a := range c.ordered {
		if a.check && a.waiting > 0 && len(a.cells) > 0 {
			return true
		}
	}
	return false
}

// claimNext claims for one job of the account and reports whether it did.
func (c *Core) claimNext(a *account) bool {
	heads := make([]*job, 0, len(a.nodes))
	for _, n := range a.nodes {
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
		if c.claimFor(j) || c.passOver(j) {
			return true
		}
	}
	return false
}

// passOver moves a job out of the way that fits a cell but for the workers on
// which it failed, so that the jobs behind it can claim the cell.
func (c *Core) passOver(j *job) bool {
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
		c.shelve(j)
	}
	return true
}

// claimFor starts a job on a cell of its account, or claims the accelerators
// for it: on free ones, on a cell moved to free ones, on free accelerators
// outside cells, and with preemption only if nothing else is left.
func (c *Core) claimFor(j *job) bool {
	best, p, ok := c.bestPlan(j)
	if !ok {
		return false
	}
	if c.float(j) {
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
		free := viewOpen
		if c.cfg.has(FeatureSharedFit) {
			free = viewLend
		}
		if picks, ok := c.fleet.find(query{shape: j.spec.Shape, view: free, avoid: j.avoid}); ok {
			c.startBorrower(j, picks)
			return true
		}
	}
	c.claimOn(j, best, p)
	return true
}

// bestPlan returns the cell of the account on which the job starts at the least
// cost; ok is false if none has room.
func (c *Core) bestPlan(j *job) (best *cell, p plan, ok bool) {
	for _, l := range j.account.cells {
		if !l.covered() || c.room(l, j) < j.size() {
			continue
		}
		q, fits := c.planIn(l, j)
		if fits && (best == nil || q.better(p, l, best)) {
			best, p = l, q
		}
	}
	return best, p, best != nil
}

// float starts a job that is within the guarantee outside its cell, on the
// fullest of the partly used workers that have room. It leaves emptier workers
// whole for larger jobs, and needs no protection: once preempted, it claims its
// cell. It stays on a cell that is begun on a worker as full as that one.
func (c *Core) float(j *job) bool {
	if !c.cfg.has(FeatureFloat) || j.account.used+j.size() > j.account.guaranteed {
		return false
	}
	picks, ok := c.fleet.findWorker(query{shape: j.spec.Shape, view: viewLend, avoid: j.avoid})
	if !ok || picks[0].w.isWhole() {
		return false
	}
	for _, l := range j.account.cells {
		if l.used == 0 || l.shape.Accelerators-l.used < j.size() {
			continue
		}
		for _, p := range l.parts {
			if n := p.w.count[viewLend]; n >= j.size() && n <= picks[0].w.count[viewLend] {
				return false
			}
		}
	}
	c.startBorrower(j, picks)
	return true
}

func (p plan) better(o plan, l, other *cell) bool {
	if p.busy != o.busy {
		return !p.busy
	}
	if p.cost != o.cost {
		return p.cost < o.cost
	}
	return l.shape.Accelerators-l.used < other.shape.Accelerators-other.used
}

// moveCell moves an unused cell to free accelerators outside all cells.
func (c *Core) moveCell(l *cell, avoid []string) bool {
	picks, ok := c.fleet.find(query{shape: l.shape, view: viewOpen, avoid: avoid})
	if !ok {
		return false
	}
	c.unplace(l)
	c.bind(l, freeHolds(picks))
	return true
}

// claimOn starts the job on the cell if its accelerators are free. Otherwise it
// claims them and preempts the borrowers.
func (c *Core) claimOn(j *job, l *cell, p plan) {
	c.take(j)
	for _, v := range p.victims {
		if v.cell != nil {
			c.leaveCell(v)
			c.setGuaranteed(v, false)
		}
	}
	j.cell = l
	j.guaranteed = true
	l.used += j.size()
	c.claim(j, p.holds)
	for _, v := range p.victims {
		c.preempt(v, j.spec.ID, "the owner of the cell claims it")
	}
	if len(p.victims) > 0 {
		c.noteReclaim(l)
	}
	if p.busy {
		if j.account.claims == 0 {
			j.account.owedSince = c.now
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
		c.fleet.touch(h.w)
	}
	c.actions = append(c.actions, Action{
		Kind: ActionPreempt, Job: v.spec.ID, Attempt: v.attempt, Placements: v.placements(v.held),
		Reason: reason, For: by,
	})
}
