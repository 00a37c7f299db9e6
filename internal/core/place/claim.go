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

// float starts a job that is within the guarantee outside its cell, where a
// worker is partly used already and the cell is not. It leaves the cell whole for
// a larger job, and needs no protection: once preempted, it claims its cell.
func (c *Core) float(j *job) bool {
	if !c.cfg.has(FeatureFloat) || j.account.used+j.size() > j.account.guaranteed {
		return false
	}
	for _, l := range j.account.cells {
		if l.used > 0 && l.shape.Accelerators-l.used >= j.size() {
			return false
		}
	}
	q := query{shape: j.spec.Shape, view: viewOpen, avoid: j.avoid}
	picks, ok := c.fleet.findWorker(q)
	if !ok || picks[0].w.count[viewLend] == picks[0].w.size() {
		return false
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

// planIn finds the cheapest way to run the job on the cell.
func (c *Core) planIn(l *cell, j *job) (plan, bool) {
	cands := l.candidates(c, j)
	best, found := plan{}, false
	for _, d := range cands {
		if d.n < j.size() {
			continue
		}
		if p := c.planOn(l, j, []pick{{d.w, j.size()}}); !found || p.cost < best.cost {
			best, found = p, true
		}
	}
	if found || j.spec.Shape.Adjacency == chestnutpond.AdjacencyWorker {
		return best, found
	}
	for _, group := range byRack(cands) {
		if picks, ok := choose(group, j.size()); ok {
			if p := c.planOn(l, j, picks); !found || p.cost < best.cost {
				best, found = p, true
			}
		}
	}
	if found || j.spec.Shape.Adjacency == chestnutpond.AdjacencyRack {
		return best, found
	}
	picks, ok := choose(cands, j.size())
	if !ok {
		return plan{}, false
	}
	return c.planOn(l, j, picks), true
}

// candidates returns the workers of the cell with what they offer to its owner.
func (l *cell) candidates(c *Core, j *job) []candidate {
	q := query{avoid: j.avoid}
	cands := make([]candidate, 0, len(l.parts))
	for _, p := range l.parts {
		if !q.allows(p.w) {
			continue
		}
		n, cost := 0, int64(0)
		for _, i := range p.index {
			s := &p.w.slots[i]
			if !c.offered(s, j) {
				continue
			}
			n++
			if s.job != nil {
				cost += c.loss(s.job)
			}
		}
		if n > 0 {
			cands = append(cands, candidate{p.w, n, cost})
		}
	}
	return cands
}

// offered reports whether a job of the owner of the cell may claim the
// accelerator.
func (c *Core) offered(s *slot, j *job) bool {
	return (s.claim == nil || !s.claim.guaranteed) &&
		(s.job == nil || !s.job.guaranteed || c.displaces(j, s.job))
}

// displaces reports whether a job may take a cell of its account from another
// job of the account: only from one of a backlogged caller.
func (c *Core) displaces(j, held *job) bool {
	return c.cfg.has(FeatureDisplace) && held.account == j.account && held.level == lastLevel &&
		held.state == stateRunning && c.level(j) < lastLevel
}

// room is the number of accelerators of the cell that the job may claim.
func (c *Core) room(l *cell, j *job) int {
	n := l.shape.Accelerators - l.used
	if n >= j.size() || c.level(j) == lastLevel {
		return n
	}
	for _, p := range l.parts {
		for _, i := range p.index {
			if o := p.w.slots[i].job; o != nil && o.cell == l && c.displaces(j, o) {
				n++
			}
		}
	}
	return n
}

func byRack(cands []candidate) [][]candidate {
	var groups [][]candidate
	for _, d := range cands {
		found := false
		for i, g := range groups {
			if g[0].w.rack == d.w.rack {
				groups[i] = append(g, d)
				found = true
			}
		}
		if !found {
			groups = append(groups, []candidate{d})
		}
	}
	return groups
}

// Weights of the loss of a preempted job: a class above another outweighs any
// run time, and each preemption outweighs some, so that fewer jobs are stopped.
const (
	lossPerClass   = int64(1) << 48
	lossPerJob     = 5000
	lossPerGPUUnit = 1_000_000 // nanoseconds in a unit of lost work
)

// loss is the work lost when a job is preempted, in accelerator-milliseconds
// with a surcharge for its class and for the preemption itself.
func (c *Core) loss(j *job) int64 {
	if j.state == stateStopping {
		return 0
	}
	run := int64(0)
	if j.state == stateRunning {
		run = int64(c.now-j.since) / lossPerGPUUnit * int64(j.size())
	}
	return int64(lastLevel-j.level)*lossPerClass + run + lossPerJob
}

// planOn chooses the accelerators of the cell on the picked workers.
func (c *Core) planOn(l *cell, j *job, picks []pick) plan {
	var p plan
	for _, k := range picks {
		h, victims, busy := c.pickSlots(k, func(s *slot) bool { return s.cell == l && c.offered(s, j) })
		p.holds = append(p.holds, h)
		p.busy = p.busy || busy
		for _, v := range victims {
			if !contains(p.victims, v) {
				p.victims = append(p.victims, v)
				p.cost += c.loss(v)
			}
		}
	}
	return p
}

// pickSlots chooses accelerators of one worker among the offered ones: free ones,
// then those that are being freed, then those of the borrowers that lose the
// least. No chosen borrower can be spared.
func (c *Core) pickSlots(k pick, offered func(s *slot) bool) (hold, []*job, bool) {
	var free, stopping []int
	var borrowers []*job
	of := map[*job][]int{}
	for i := range k.w.slots {
		s := &k.w.slots[i]
		switch {
		case !offered(s):
		case s.job == nil:
			free = append(free, i)
		case s.job.state == stateStopping:
			stopping = append(stopping, i)
		default:
			if len(of[s.job]) == 0 {
				borrowers = append(borrowers, s.job)
			}
			of[s.job] = append(of[s.job], i)
		}
	}
	sort.SliceStable(borrowers, func(a, b int) bool { return c.loss(borrowers[a]) < c.loss(borrowers[b]) })
	total := len(free) + len(stopping)
	var victims []*job
	for _, b := range borrowers {
		if total >= k.n {
			break
		}
		victims = append(victims, b)
		total += len(of[b])
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if v := victims[i]; total-len(of[v]) >= k.n {
			total -= len(of[v])
			victims = without(victims, v)
		}
	}
	index := append(free, stopping...)
	for _, v := range victims {
		index = append(index, of[v]...)
	}
	index = index[:min(k.n, len(index))]
	sortInts(index)
	return hold{k.w, index}, victims, len(free) < k.n
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
		c.preempt(v, j, "the owner of the cell claims it")
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

func (c *Core) preempt(v, by *job, reason string) {
	if v.state == stateStopping {
		return
	}
	v.state = stateStopping
	for _, h := range v.held {
		c.fleet.touch(h.w)
	}
	c.actions = append(c.actions, Action{
		Kind: ActionPreempt, Job: v.spec.ID, Attempt: v.attempt, Placements: v.placements(v.held),
		Reason: reason, For: by.spec.ID,
	})
}
