package place

import (
	"math/bits"
	"time"
)

// Worker is a worker of the region as its membership entry describes it.
type Worker struct {
	Name        string
	Incarnation int64
	Zone, Rack  string
	// Accelerators is their number; they are numbered from 0.
	Accelerators int
	Draining     bool
}

// pool selects the accelerators that a search may use.
type pool int

const (
	// poolUnbound contains the accelerators that are free, unclaimed and
	// outside cells.
	poolUnbound pool = iota
	// poolLendable contains the free, unclaimed accelerators that borrowers may
	// use: those of poolUnbound and those on cells that are not in cooldown.
	poolLendable
	// poolBindable contains all accelerators outside cells, whether free or
	// not.
	poolBindable
	// poolReservable contains the unclaimed accelerators that are not held by
	// guaranteed jobs and not on a cell in cooldown.
	poolReservable
	// poolPreemptible1 and the next two add to poolLendable the accelerators of
	// running borrowers whose priority level is at least 1, 2 and 3.
	poolPreemptible1
	poolPreemptible2
	poolPreemptible3
	poolCount
)

// maxMaskBit is the highest bit of summary.mask. Workers with more accelerators
// in the pool set this bit too.
const maxMaskBit = 63

// slot is one accelerator of a worker.
type slot struct {
	// job holds the accelerator until it is known to have stopped.
	job *job
	// claim is the job that gets the accelerator next.
	claim *job
	// cell is the cell that the accelerator is bound to.
	cell *cell
}

// worker is a worker that is up, or a lost one whose accelerators jobs still
// hold.
type worker struct {
	Worker
	up    bool
	rack  *rack
	slots []slot
	count [poolCount]int
	// evacuated means that operators evacuate the worker's zone.
	evacuated bool
	health
}

func (w *worker) usable() bool { return w.up && !w.Draining && !w.ejected && !w.evacuated }

// size is the number of accelerators that can be allocated.
func (w *worker) size() int { return min(w.Accelerators, len(w.slots)) }

func (w *worker) inUse() bool {
	for i := range w.slots {
		if w.slots[i].job != nil {
			return true
		}
	}
	return false
}

// in reports whether the accelerator is in the pool.
func (s *slot) in(p pool) bool {
	switch p {
	case poolUnbound:
		return s.job == nil && s.claim == nil && s.cell == nil
	case poolLendable:
		return s.job == nil && s.claim == nil && (s.cell == nil || !s.cell.inCooldown)
	case poolBindable:
		return s.cell == nil
	case poolReservable:
		return s.claim == nil && (s.job == nil || !s.job.guaranteed) && (s.cell == nil || !s.cell.inCooldown)
	default:
		level := int(p-poolPreemptible1) + 1
		return s.claim == nil && (s.cell == nil || !s.cell.inCooldown) && (s.job == nil || s.job.preemptibleAt(level))
	}
}

// summary summarizes one pool over the workers of a rack.
type summary struct {
	// mask has bit k set if some worker has exactly k accelerators in the pool.
	mask uint64
	// sum is the total; whole is the total over workers whose accelerators are
	// all in the pool.
	sum, whole int
	// largestPartial is the largest number on a worker that is not whole.
	largestPartial int
}

// fits reports whether a gang of n that may span workers fits.
func (s summary) fits(n int) bool { return s.whole >= n || s.whole+s.largestPartial >= n }

// smallestFit returns the smallest number on one worker that is at least n.
func (s summary) smallestFit(n int) (int, bool) {
	m := s.mask >> uint(min(n, maxMaskBit))
	if m == 0 {
		return 0, false
	}
	return min(n, maxMaskBit) + bits.TrailingZeros64(m), true
}

type rack struct {
	zone      *zone
	name      string
	workers   []*worker
	summaries [poolCount]summary
}

type zone struct {
	name  string
	racks []*rack
}

// fleet holds the workers and the pool summaries of their racks.
type fleet struct {
	// byName is for lookups only; iteration order comes from racks.
	byName map[string]*worker
	racks  []*rack
	zones  []*zone
	// accelerators and workersUp count workers that are up, usable or not.
	accelerators, workersUp int
	// generation increases whenever poolLendable or poolReservable grows on a
	// worker; poolGeneration does so for each pool.
	generation     int64
	poolGeneration [poolCount]int64
	// noFits caches, by pool and adjacency, which shapes do not fit.
	noFits [poolCount][adjacencyCount]noFit
}

// PutWorker adds a worker, or updates one that changed or came back.
func (c *Core) PutWorker(now time.Duration, w Worker) {
	c.advance(now)
	f := &c.fleet
	cur := f.byName[w.Name]
	if cur == nil {
		cur = &worker{Worker: w}
		f.byName[w.Name] = cur
	}
	if cur.up {
		f.accelerators -= cur.Accelerators
		f.workersUp--
	}
	if cur.rack != nil && (cur.rack.name != w.Rack || cur.rack.zone.name != w.Zone) {
		c.unbindCells(cur)
		f.removeFromRack(cur)
	}
	if w.Accelerators < cur.Accelerators || w.Draining {
		c.unbindCells(cur)
	}
	changed := !cur.up || cur.Worker != w
	cur.Worker, cur.up = w, true
	for len(cur.slots) < w.Accelerators {
		cur.slots = append(cur.slots, slot{})
	}
	f.accelerators += w.Accelerators
	f.workersUp++
	if cur.rack == nil {
		f.addToRack(cur)
	}
	if changed {
		c.cellsDirty = c.cellsDirty || c.uncovered > 0 || len(c.restored) > 0
		f.invalidateNoFits()
	}
	c.updateEvacuated(cur)
	if !cur.usable() {
		c.requeueClaims(cur)
	}
	f.recount(cur)
}

// RemoveWorker removes a worker. Jobs on it keep their accelerators until the
// caller reports that they have stopped.
func (c *Core) RemoveWorker(now time.Duration, name string) {
	c.advance(now)
	f := &c.fleet
	w := f.byName[name]
	if w == nil || !w.up {
		return
	}
	w.up = false
	f.accelerators -= w.Accelerators
	f.workersUp--
	c.readmit(w)
	c.unbindCells(w)
	c.requeueClaims(w)
	f.recount(w)
	f.removeIfUnused(w)
}

// removeIfUnused removes a lost worker whose accelerators no job holds.
func (f *fleet) removeIfUnused(w *worker) {
	if w.up || w.inUse() {
		return
	}
	f.removeFromRack(w)
	delete(f.byName, w.Name)
}

// getOrAddPlaceholder returns the worker. If it is unknown, it adds one that is
// not up.
func (f *fleet) getOrAddPlaceholder(name string) *worker {
	w := f.byName[name]
	if w == nil {
		w = &worker{Worker: Worker{Name: name}}
		f.byName[name] = w
	}
	return w
}

func (f *fleet) addToRack(w *worker) {
	var z *zone
	for _, o := range f.zones {
		if o.name == w.Zone {
			z = o
		}
	}
	if z == nil {
		z = &zone{name: w.Zone}
		f.zones = append(f.zones, z)
	}
	var r *rack
	for _, o := range z.racks {
		if o.name == w.Rack {
			r = o
		}
	}
	if r == nil {
		r = &rack{zone: z, name: w.Rack}
		z.racks = append(z.racks, r)
		f.racks = append(f.racks, r)
	}
	r.workers = append(r.workers, w)
	w.rack = r
}

func (f *fleet) removeFromRack(w *worker) {
	r := w.rack
	if r == nil {
		return
	}
	w.rack = nil
	r.workers = without(r.workers, w)
	r.summarize()
	if len(r.workers) > 0 {
		return
	}
	f.racks = without(f.racks, r)
	r.zone.racks = without(r.zone.racks, r)
	if len(r.zone.racks) == 0 {
		f.zones = without(f.zones, r.zone)
	}
}

// invalidateNoFits invalidates the cached searches without a fit.
func (f *fleet) invalidateNoFits() {
	f.generation++
	for p := range f.poolGeneration {
		f.poolGeneration[p]++
	}
}

// recount updates the pool counts of a worker and its rack after a slot or the
// worker's state changed.
func (f *fleet) recount(w *worker) {
	var count [poolCount]int
	if w.usable() {
		for i := range w.slots[:w.size()] {
			for p := range poolCount {
				if w.slots[i].in(p) {
					count[p]++
				}
			}
		}
	}
	for p := range poolCount {
		if count[p] > w.count[p] {
			f.poolGeneration[p]++
		}
	}
	if count[poolLendable] > w.count[poolLendable] || count[poolReservable] > w.count[poolReservable] {
		f.generation++
	}
	w.count = count
	if w.rack != nil {
		w.rack.summarize()
	}
}

func (r *rack) summarize() {
	r.summaries = [poolCount]summary{}
	for _, w := range r.workers {
		for p, n := range w.count {
			if n == 0 {
				continue
			}
			s := &r.summaries[p]
			s.mask |= 1 << uint(min(n, maxMaskBit))
			s.sum += n
			if n == w.size() {
				s.whole += n
			} else {
				s.largestPartial = max(s.largestPartial, n)
			}
		}
	}
}

// without removes the first v from list in place, keeping the order.
func without[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
