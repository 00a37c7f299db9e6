package place

import (
	"math/bits"
	"time"
)

// Worker is a worker of the region as its member row describes it.
type Worker struct {
	Name        string
	Incarnation int64
	Zone, Rack  string
	// Accelerators are numbered from 0.
	Accelerators int
	Draining     bool
}

// A view is a way to count the accelerators of a worker.
type view int

const (
	// viewOpen counts accelerators that are free, unclaimed and outside cells.
	viewOpen view = iota
	// viewLend adds those that are free on cells that are open to borrowers.
	viewLend
	// viewCell counts accelerators outside cells, whoever holds them.
	viewCell
	// viewSoon counts unclaimed accelerators that no guaranteed job holds and
	// that are not on a closed cell.
	viewSoon
	// viewOver1 and the next two add to viewLend what running borrowers of at
	// least that level hold.
	viewOver1
	viewOver2
	viewOver3
	viewCount
)

// maxMask is the largest number of accelerators of one worker that rack
// summaries tell apart; larger workers count as this many in the mask.
const maxMask = 63

// slot is one accelerator.
type slot struct {
	// job holds the accelerator until it is known to be stopped.
	job *job
	// claim is the job that gets the accelerator next.
	claim *job
	// cell is the guarantee that the accelerator belongs to.
	cell *cell
}

// worker is a worker that is up, or one that is lost but still held by jobs.
type worker struct {
	Worker
	up    bool
	rack  *rack
	slots []slot
	count [viewCount]int
	health
}

func (w *worker) usable() bool { return w.up && !w.Draining && !w.ejected }

// size is the number of accelerators that can be given out.
func (w *worker) size() int { return min(w.Accelerators, len(w.slots)) }

func (w *worker) held() bool {
	for i := range w.slots {
		if w.slots[i].job != nil {
			return true
		}
	}
	return false
}

// in reports whether the accelerator counts in the view.
func (s *slot) in(v view) bool {
	switch v {
	case viewOpen:
		return s.job == nil && s.claim == nil && s.cell == nil
	case viewLend:
		return s.job == nil && s.claim == nil && (s.cell == nil || !s.cell.closed)
	case viewCell:
		return s.cell == nil
	case viewSoon:
		return s.claim == nil && (s.job == nil || !s.job.guaranteed) && (s.cell == nil || !s.cell.closed)
	default:
		level := int(v-viewOver1) + 1
		return s.claim == nil && (s.cell == nil || !s.cell.closed) && (s.job == nil || s.job.below(level))
	}
}

// summary describes one view of the workers of a rack.
type summary struct {
	// mask has bit k set if a worker counts exactly k.
	mask uint64
	// sum is the total, whole the total over workers that count all they have.
	sum, whole int
	// part is the largest count of a worker that is not whole.
	part int
}

// holds reports whether a gang of n that spans workers fits.
func (s summary) holds(n int) bool { return s.whole >= n || s.whole+s.part >= n }

// best returns the smallest count of one worker that is at least n.
func (s summary) best(n int) (int, bool) {
	m := s.mask >> uint(min(n, maxMask))
	if m == 0 {
		return 0, false
	}
	return min(n, maxMask) + bits.TrailingZeros64(m), true
}

type rack struct {
	zone    *zone
	name    string
	workers []*worker
	stat    [viewCount]summary
}

type zone struct {
	name  string
	racks []*rack
}

// fleet holds the workers and keeps the summaries of their racks.
type fleet struct {
	// byName is for look-ups only; order comes from racks.
	byName map[string]*worker
	racks  []*rack
	zones  []*zone
	// accelerators and up count usable or unusable workers that are up.
	accelerators, up int
	// growth changes whenever a count of viewLend or viewSoon grows; grown does
	// so for each view.
	growth int64
	grown  [viewCount]int64
	// full remembers by view and adjacency which shapes have no place.
	full [viewCount][adjacencies]fullness
}

// PutWorker makes a worker known: new, changed or returned.
func (c *Core) PutWorker(now time.Duration, w Worker) {
	c.advance(now)
	f := &c.fleet
	old := f.byName[w.Name]
	if old == nil {
		old = &worker{Worker: w}
		f.byName[w.Name] = old
	}
	if old.up {
		f.accelerators -= old.Accelerators
		f.up--
	}
	if old.rack != nil && (old.rack.name != w.Rack || old.rack.zone.name != w.Zone) {
		c.dropCells(old)
		f.leaveRack(old)
	}
	if w.Accelerators < old.Accelerators || w.Draining {
		c.dropCells(old)
	}
	changed := !old.up || old.Worker != w
	old.Worker, old.up = w, true
	for len(old.slots) < w.Accelerators {
		old.slots = append(old.slots, slot{})
	}
	f.accelerators += w.Accelerators
	f.up++
	if old.rack == nil {
		f.joinRack(old)
	}
	if changed {
		c.cellsDirty = c.cellsDirty || c.uncovered > 0 || len(c.orphans) > 0
		f.changed()
	}
	if !old.usable() {
		c.dropClaims(old)
	}
	f.touch(old)
}

// RemoveWorker makes a worker unknown. Jobs that run on it keep what they hold
// until the caller reports that they are stopped.
func (c *Core) RemoveWorker(now time.Duration, name string) {
	c.advance(now)
	f := &c.fleet
	w := f.byName[name]
	if w == nil || !w.up {
		return
	}
	w.up = false
	f.accelerators -= w.Accelerators
	f.up--
	c.liftEjection(w)
	c.dropCells(w)
	c.dropClaims(w)
	f.touch(w)
	f.forget(w)
}

// forget drops a lost worker that nothing holds any more.
func (f *fleet) forget(w *worker) {
	if w.up || w.held() {
		return
	}
	f.leaveRack(w)
	delete(f.byName, w.Name)
}

// stub returns the worker, or a record of an unknown one that is not up.
func (f *fleet) stub(name string) *worker {
	w := f.byName[name]
	if w == nil {
		w = &worker{Worker: Worker{Name: name}}
		f.byName[name] = w
	}
	return w
}

func (f *fleet) joinRack(w *worker) {
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

func (f *fleet) leaveRack(w *worker) {
	r := w.rack
	if r == nil {
		return
	}
	w.rack = nil
	r.workers = without(r.workers, w)
	r.update()
	if len(r.workers) > 0 {
		return
	}
	f.racks = without(f.racks, r)
	r.zone.racks = without(r.zone.racks, r)
	if len(r.zone.racks) == 0 {
		f.zones = without(f.zones, r.zone)
	}
}

// changed forgets what is known about full views.
func (f *fleet) changed() {
	f.growth++
	for v := range f.grown {
		f.grown[v]++
	}
}

// touch recounts a worker and its rack after a slot or the state changed.
func (f *fleet) touch(w *worker) {
	var count [viewCount]int
	if w.usable() {
		for i := range w.slots[:w.size()] {
			for v := range viewCount {
				if w.slots[i].in(v) {
					count[v]++
				}
			}
		}
	}
	for v := range viewCount {
		if count[v] > w.count[v] {
			f.grown[v]++
		}
	}
	if count[viewLend] > w.count[viewLend] || count[viewSoon] > w.count[viewSoon] {
		f.growth++
	}
	w.count = count
	if w.rack != nil {
		w.rack.update()
	}
}

func (r *rack) update() {
	r.stat = [viewCount]summary{}
	for _, w := range r.workers {
		for v, n := range w.count {
			if n == 0 {
				continue
			}
			s := &r.stat[v]
			s.mask |= 1 << uint(min(n, maxMask))
			s.sum += n
			if n == w.size() {
				s.whole += n
			} else {
				s.part = max(s.part, n)
			}
		}
	}
}

// without returns list less v, in the same order.
func without[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
