package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// cell is one guaranteed shape of an account. It is covered while it is bound
// to accelerators.
type cell struct {
	account *account
	shape   chestnutpond.Shape
	// allocs are the bound accelerators; empty if the cell is uncovered.
	allocs []allocation
	// used counts the accelerators that guaranteed jobs hold or claim.
	used int
	// inCooldown means that the cell is not lent to borrowers.
	inCooldown bool
	// cooldownUntil is when the cooldown of an unused cell ends.
	cooldownUntil time.Duration
	// reclaims counts consecutive reclaims, each soon after the one before.
	reclaims    int
	lastReclaim time.Duration
	reclaimed   bool
}

func (cl *cell) covered() bool { return len(cl.allocs) > 0 }

// reuseCell removes and returns the first old cell with the account and shape,
// or returns a new cell if there is none.
func reuseCell(old *[]*cell, a *account, shape chestnutpond.Shape) *cell {
	for i, cl := range *old {
		if cl != nil && cl.account == a && cl.shape == shape {
			(*old)[i] = nil
			return cl
		}
	}
	return &cell{account: a, shape: shape}
}

// unbind unbinds a cell from its accelerators. Guaranteed jobs on it continue
// as borrowers; claims on it are requeued.
func (c *Core) unbind(cl *cell) {
	allocs := cl.allocs
	cl.allocs = nil
	for _, p := range allocs {
		for _, i := range p.index {
			s := &p.w.slots[i]
			s.cell = nil
			if s.claim != nil && s.claim.cell == cl {
				c.requeue(s.claim)
			}
			if s.job != nil && s.job.cell == cl {
				j := s.job
				c.releaseCell(j)
				c.setGuaranteed(j, false)
			}
		}
		c.fleet.recount(p.w)
	}
	c.endCooldown(cl)
	cl.account.recheck = true
}

// unbindCells unbinds all cells that have accelerators of a worker.
func (c *Core) unbindCells(w *worker) {
	for i := range w.slots {
		if cl := w.slots[i].cell; cl != nil {
			c.unbind(cl)
			c.uncovered++
			c.cellsDirty = true
		}
	}
}

// releaseCell removes a job from its cell. If work was preempted for the cell,
// the now unused cell is not lent during a cooldown, so that borrowers are not
// started and preempted in turns.
func (c *Core) releaseCell(j *job) {
	cl := j.cell
	j.cell = nil
	cl.used -= j.size()
	cl.account.recheck = true
	if cl.used > 0 || !cl.reclaimed || !cl.covered() {
		return
	}
	cl.reclaimed = false
	cooldown := c.cfg.ReclaimCooldown << min(cl.reclaims-1, 16)
	cl.cooldownUntil = c.now + min(cooldown, c.cfg.ReclaimCooldownLimit)
	if !cl.inCooldown {
		cl.inCooldown = true
		c.coolingDown = append(c.coolingDown, cl)
		c.recountCell(cl)
	}
}

// recordReclaim records that work was preempted for the cell. The first call
// since the cell was last unused counts as one reclaim.
func (c *Core) recordReclaim(cl *cell) {
	if cl.reclaimed {
		return
	}
	if c.now-cl.lastReclaim > 2*c.cfg.ReclaimCooldownLimit {
		cl.reclaims = 0
	}
	cl.reclaimed = true
	cl.reclaims++
	cl.lastReclaim = c.now
}

func (c *Core) endCooldown(cl *cell) {
	if !cl.inCooldown {
		return
	}
	cl.inCooldown = false
	c.coolingDown = without(c.coolingDown, cl)
	c.recountCell(cl)
}

// endCooldowns ends the cooldowns that have expired.
func (c *Core) endCooldowns() {
	for i := 0; i < len(c.coolingDown); {
		if cl := c.coolingDown[i]; cl.cooldownUntil <= c.now {
			c.endCooldown(cl)
			continue
		}
		i++
	}
}

func (c *Core) recountCell(cl *cell) {
	for _, p := range cl.allocs {
		c.fleet.recount(p.w)
	}
}

// placeCells finds accelerators for all uncovered cells. If some stay
// uncovered, it repacks the unused cells, and then all cells.
func (c *Core) placeCells() {
	c.cellsDirty = false
	var later []*job
	for _, j := range c.restored {
		switch {
		case j.cell != nil || !j.state.holds():
		case !allUp(j.held):
			later = append(later, j)
		default:
			c.bindAround(j)
		}
	}
	c.restored = later
	c.uncovered = c.placeUncovered()
	if c.uncovered > 0 {
		c.repack(func(cl *cell) bool { return cl.used == 0 })
	}
	if c.uncovered > 0 {
		c.repack(func(*cell) bool { return true })
	}
}

// placeUncovered places the uncovered cells and returns how many remain
// uncovered.
func (c *Core) placeUncovered() int {
	missing := 0
	for _, cl := range c.cells {
		if !cl.covered() && !c.placeCell(cl) {
			missing++
		}
	}
	return missing
}

// repack unbinds the matching cells and places them again. If that does not
// cover more cells than before, it restores the old bindings.
func (c *Core) repack(match func(*cell) bool) {
	before := make([][]allocation, len(c.cells))
	for i, cl := range c.cells {
		before[i] = cl.allocs
		if match(cl) {
			c.unbind(cl)
		}
	}
	if n := c.placeUncovered(); n < c.uncovered {
		c.uncovered = n
		return
	}
	for _, cl := range c.cells {
		c.unbind(cl)
	}
	for i, cl := range c.cells {
		if before[i] != nil {
			c.bind(cl, before[i])
		}
	}
}

// placeCell binds a cell to accelerators outside other cells, preferring free
// ones, and reports whether it found any.
func (c *Core) placeCell(cl *cell) bool {
	if picks, ok := c.fleet.find(query{shape: cl.shape, pool: poolUnbound}); ok {
		c.bind(cl, allocateFree(picks))
		return true
	}
	picks, ok := c.fleet.find(query{shape: cl.shape, pool: poolBindable})
	if ok {
		c.bind(cl, allocateForCell(picks, cl.account))
	}
	return ok
}

// bindAround binds a cell of the job's account to the accelerators that the job
// holds, so that a restored guaranteed job stays guaranteed.
func (c *Core) bindAround(j *job) {
	for _, cl := range j.account.cells {
		if cl.used > 0 || cl.shape.Accelerators < j.size() || !satisfies(j.held, cl.shape) {
			continue
		}
		if allocs, ok := extend(j, cl.shape); ok {
			c.unbind(cl)
			c.bind(cl, allocs)
			return
		}
	}
}

// allUp reports whether all workers are up. A restored job may name workers
// that have not announced themselves yet.
func allUp(allocs []allocation) bool {
	for _, h := range allocs {
		if !h.w.up {
			return false
		}
	}
	return true
}

// satisfies reports whether the accelerators meet the adjacency of the shape.
func satisfies(allocs []allocation, shape chestnutpond.Shape) bool {
	for _, h := range allocs {
		first := allocs[0].w
		switch {
		case !h.w.usable() || h.w.rack == nil:
			return false
		case shape.Adjacency == chestnutpond.AdjacencyWorker && h.w != first:
			return false
		case shape.Adjacency == chestnutpond.AdjacencyRack && h.w.rack != first.rack:
			return false
		case h.w.rack.zone != first.rack.zone:
			return false
		}
	}
	return true
}

// extend returns accelerators outside cells that fit the shape and include all
// that the job holds.
func extend(j *job, shape chestnutpond.Shape) ([]allocation, bool) {
	var cands []candidate
	first := j.held[0].w
	for _, w := range first.rack.workers {
		n := w.count[poolBindable]
		if n == 0 || w != first && shape.Adjacency == chestnutpond.AdjacencyWorker {
			continue
		}
		cost := int64(0)
		for _, h := range j.held {
			if h.w == w {
				cost -= int64(len(h.index))
			}
		}
		cands = append(cands, candidate{w, n, cost})
	}
	if j.size() == shape.Accelerators {
		return j.held, allOutsideCells(j.held)
	}
	if len(j.held) == 1 && first.count[poolBindable] >= shape.Accelerators {
		return allocateForCell([]pick{{first, shape.Accelerators}}, j.account), allOutsideCells(j.held)
	}
	picks, ok := packGang(cands, shape.Accelerators)
	if !ok {
		return nil, false
	}
	return allocateForCell(picks, j.account), allOutsideCells(j.held)
}

func allOutsideCells(allocs []allocation) bool {
	for _, h := range allocs {
		for _, i := range h.index {
			if h.w.slots[i].cell != nil {
				return false
			}
		}
	}
	return true
}

// allocateForCell selects accelerators outside cells, in this order: those that
// jobs of the account hold, free ones, others.
func allocateForCell(picks []pick, a *account) []allocation {
	allocs := make([]allocation, 0, len(picks))
	for _, p := range picks {
		allocs = append(allocs, allocation{p.w, p.w.selectSlots(p.n, func(s *slot) int {
			switch {
			case s.cell != nil:
				return -1
			case s.job != nil && s.job.account == a:
				return 0
			case s.job == nil && s.claim == nil:
				return 1
			default:
				return 2
			}
		})})
	}
	return allocs
}

// selectSlots returns the indexes of the n accelerators with the lowest scores,
// from 0 to 2, in ascending order. A negative score excludes an accelerator.
func (w *worker) selectSlots(n int, score func(s *slot) int) []int {
	index := make([]int, 0, n)
	for want := 0; want <= 2 && len(index) < n; want++ {
		for i := 0; i < w.size() && len(index) < n; i++ {
			if score(&w.slots[i]) == want {
				index = append(index, i)
			}
		}
	}
	sortInts(index)
	return index
}

// bind binds a cell to accelerators. Jobs of the account that hold only
// accelerators of the cell become guaranteed.
func (c *Core) bind(cl *cell, allocs []allocation) {
	cl.allocs = allocs
	for _, p := range allocs {
		for _, i := range p.index {
			p.w.slots[i].cell = cl
		}
	}
	for _, p := range allocs {
		for _, i := range p.index {
			j := p.w.slots[i].job
			if j != nil && j.account == cl.account && j.cell == nil && j.state != stateStopping && j.within(cl) {
				j.cell = cl
				cl.used += j.size()
				c.setGuaranteed(j, true)
			}
		}
		c.fleet.recount(p.w)
	}
	cl.account.recheck = true
}

// within reports whether all accelerators that the job holds are in the cell.
func (j *job) within(cl *cell) bool {
	for _, h := range j.held {
		for _, i := range h.index {
			if h.w.slots[i].cell != cl {
				return false
			}
		}
	}
	return len(j.held) > 0
}
