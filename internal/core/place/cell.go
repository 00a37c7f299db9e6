package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// cell is one guaranteed shape of an account, bound to accelerators.
type cell struct {
	account *account
	shape   chestnutpond.Shape
	// parts are the accelerators; none if the guarantee is uncovered.
	parts []hold
	// used counts the accelerators that guaranteed jobs hold or claim.
	used int
	// closed means that borrowers get no accelerators of the cell.
	closed bool
	// closedUntil ends the closure of an unused cell.
	closedUntil time.Duration
	// reclaims counts preemptions for the cell that followed each other closely.
	reclaims    int
	lastReclaim time.Duration
	reclaimed   bool
}

func (l *cell) covered() bool { return len(l.parts) > 0 }

// takeCell returns the first of the old cells that has the account and shape,
// and removes it from the list, or else a new cell.
func takeCell(old *[]*cell, a *account, shape chestnutpond.Shape) *cell {
	for i, l := range *old {
		if l != nil && l.account == a && l.shape == shape {
			(*old)[i] = nil
			return l
		}
	}
	return &cell{account: a, shape: shape}
}

// unplace takes the accelerators from a cell. Guaranteed jobs on it go on as
// borrowers, claims on it go back to the queue.
func (c *Core) unplace(l *cell) {
	parts := l.parts
	l.parts = nil
	for _, p := range parts {
		for _, i := range p.index {
			s := &p.w.slots[i]
			s.cell = nil
			if s.claim != nil && s.claim.cell == l {
				c.requeue(s.claim)
			}
			if s.job != nil && s.job.cell == l {
				j := s.job
				c.leaveCell(j)
				c.setGuaranteed(j, false)
			}
		}
		c.fleet.touch(p.w)
	}
	c.openCell(l)
	l.account.check = true
}

// dropCells unplaces all cells that have accelerators of a worker.
func (c *Core) dropCells(w *worker) {
	for i := range w.slots {
		if l := w.slots[i].cell; l != nil {
			c.unplace(l)
			c.uncovered++
			c.cellsDirty = true
		}
	}
}

// leaveCell takes a job off its cell. A cell that was reclaimed stays closed for
// a while, so that borrowers are not started and stopped in turns.
func (c *Core) leaveCell(j *job) {
	l := j.cell
	j.cell = nil
	l.used -= j.size()
	l.account.check = true
	if l.used > 0 || !l.reclaimed || !l.covered() {
		return
	}
	l.reclaimed = false
	time := c.cfg.ReclaimHold << min(l.reclaims-1, 16)
	l.closedUntil = c.now + min(time, c.cfg.ReclaimHoldLimit)
	if !l.closed {
		l.closed = true
		c.closed = append(c.closed, l)
		c.touchCell(l)
	}
}

// noteReclaim records that work was preempted for the cell.
func (c *Core) noteReclaim(l *cell) {
	if l.reclaimed {
		return
	}
	if c.now-l.lastReclaim > 2*c.cfg.ReclaimHoldLimit {
		l.reclaims = 0
	}
	l.reclaimed = true
	l.reclaims++
	l.lastReclaim = c.now
}

func (c *Core) openCell(l *cell) {
	if !l.closed {
		return
	}
	l.closed = false
	c.closed = without(c.closed, l)
	c.touchCell(l)
}

// openCells opens the cells whose closure has ended.
func (c *Core) openCells() {
	for i := 0; i < len(c.closed); {
		if l := c.closed[i]; l.closedUntil <= c.now {
			c.openCell(l)
			continue
		}
		i++
	}
}

func (c *Core) touchCell(l *cell) {
	for _, p := range l.parts {
		c.fleet.touch(p.w)
	}
}

// recompute finds accelerators for all cells that have none.
func (c *Core) recompute() {
	c.cellsDirty = false
	var later []*job
	for _, j := range c.orphans {
		switch {
		case j.cell != nil || !j.state.holds():
		case !known(j.held):
			later = append(later, j)
		default:
			c.placeAround(j)
		}
	}
	c.orphans = later
	c.uncovered = c.placeAll()
	if c.uncovered > 0 {
		c.repack(func(l *cell) bool { return l.used == 0 })
	}
	if c.uncovered > 0 {
		c.repack(func(*cell) bool { return true })
	}
}

// placeAll places what has no accelerators and returns how many stay without.
func (c *Core) placeAll() int {
	missing := 0
	for _, l := range c.cells {
		if !l.covered() && !c.placeCell(l) {
			missing++
		}
	}
	return missing
}

// repack places the cells that match anew, and undoes that unless more cells
// are covered then.
func (c *Core) repack(match func(*cell) bool) {
	before := make([][]hold, len(c.cells))
	for i, l := range c.cells {
		before[i] = l.parts
		if match(l) {
			c.unplace(l)
		}
	}
	if n := c.placeAll(); n < c.uncovered {
		c.uncovered = n
		return
	}
	for _, l := range c.cells {
		c.unplace(l)
	}
	for i, l := range c.cells {
		if before[i] != nil {
			c.bind(l, before[i])
		}
	}
}

// placeCell finds accelerators outside other cells: free ones, else any.
func (c *Core) placeCell(l *cell) bool {
	if picks, ok := c.fleet.find(query{shape: l.shape, view: viewOpen}); ok {
		c.bind(l, freeHolds(picks))
		return true
	}
	picks, ok := c.fleet.find(query{shape: l.shape, view: viewCell})
	if ok {
		c.bind(l, cellHolds(picks, l.account))
	}
	return ok
}

// placeAround binds a cell of the job's account to the accelerators that the
// job holds, so that a restored guaranteed job stays guaranteed.
func (c *Core) placeAround(j *job) {
	for _, l := range j.account.cells {
		if l.used > 0 || l.shape.Accelerators < j.size() || !satisfies(j.held, l.shape) {
			continue
		}
		if holds, ok := extend(j, l.shape); ok {
			c.unplace(l)
			c.bind(l, holds)
			return
		}
	}
}

// known reports whether all workers are up; a restored job may name workers
// that have not announced themselves yet.
func known(holds []hold) bool {
	for _, h := range holds {
		if !h.w.up {
			return false
		}
	}
	return true
}

// satisfies reports whether a set of accelerators is as adjacent as the shape.
func satisfies(holds []hold, shape chestnutpond.Shape) bool {
	for _, h := range holds {
		first := holds[0].w
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

// extend returns accelerators outside cells that hold the shape and include
// all that the job holds.
func extend(j *job, shape chestnutpond.Shape) ([]hold, bool) {
	var cands []candidate
	first := j.held[0].w
	for _, w := range first.rack.workers {
		n := w.count[viewCell]
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
	if len(j.held) == 1 && first.count[viewCell] >= shape.Accelerators {
		return cellHolds([]pick{{first, shape.Accelerators}}, j.account), allOutsideCells(j.held)
	}
	picks, ok := choose(cands, shape.Accelerators)
	if !ok {
		return nil, false
	}
	return cellHolds(picks, j.account), allOutsideCells(j.held)
}

func allOutsideCells(holds []hold) bool {
	for _, h := range holds {
		for _, i := range h.index {
			if h.w.slots[i].cell != nil {
				return false
			}
		}
	}
	return true
}

// cellHolds chooses accelerators outside cells: first those that the account
// holds, then free ones.
func cellHolds(picks []pick, a *account) []hold {
	holds := make([]hold, 0, len(picks))
	for _, p := range picks {
		holds = append(holds, hold{p.w, p.w.choose(p.n, func(s *slot) int {
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
	return holds
}

// choose returns the indexes of n accelerators with the lowest grades, in
// ascending order. A negative grade excludes an accelerator.
func (w *worker) choose(n int, grade func(s *slot) int) []int {
	index := make([]int, 0, n)
	for g := 0; g <= 2 && len(index) < n; g++ {
		for i := 0; i < w.size() && len(index) < n; i++ {
			if grade(&w.slots[i]) == g {
				index = append(index, i)
			}
		}
	}
	sortInts(index)
	return index
}

// bind gives a cell its accelerators. Jobs of the account that lie wholly on
// them become guaranteed.
func (c *Core) bind(l *cell, holds []hold) {
	l.parts = holds
	for _, p := range holds {
		for _, i := range p.index {
			p.w.slots[i].cell = l
		}
	}
	for _, p := range holds {
		for _, i := range p.index {
			j := p.w.slots[i].job
			if j != nil && j.account == l.account && j.cell == nil && j.state != stateStopping && j.within(l) {
				j.cell = l
				l.used += j.size()
				c.setGuaranteed(j, true)
			}
		}
		c.fleet.touch(p.w)
	}
	l.account.check = true
}

// within reports whether all accelerators that the job holds are in the cell.
func (j *job) within(l *cell) bool {
	for _, h := range j.held {
		for _, i := range h.index {
			if h.w.slots[i].cell != l {
				return false
			}
		}
	}
	return len(j.held) > 0
}
