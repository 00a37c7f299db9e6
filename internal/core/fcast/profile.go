package fcast

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// edges are the starts of the buckets into which time is divided. Buckets are short where
// urgent work decides, and long where only the order of magnitude matters.
var edges = newEdges()

// Horizon is how far ahead a forecast looks. Three times the objective of most jobs is
// shorter.
const Horizon = 60 * time.Second

func newEdges() []time.Duration {
	var all []time.Duration
	at := time.Duration(0)
	for _, part := range []struct{ width, until time.Duration }{
		{250 * time.Millisecond, 3 * time.Second},
		{500 * time.Millisecond, 10 * time.Second},
		{time.Second, 30 * time.Second},
		{2 * time.Second, Horizon},
	} {
		for ; at < part.until; at += part.width {
			all = append(all, at)
		}
	}
	return all
}

// bucketAt returns the bucket whose start is nearest to a time, or len(edges).
func bucketAt(at time.Duration) int {
	k, _ := slices.BinarySearch(edges, at)
	if k == len(edges) {
		if at < Horizon {
			return k - 1
		}
		return k
	}
	if k > 0 && at-edges[k-1] < edges[k]-at {
		return k - 1
	}
	return k
}

// profile is the expected free capacity of each worker over time.
type profile struct {
	workers []Worker
	// free has the free capacity of worker w in bucket k at k*len(workers)+w.
	free []chestnutpond.Resources
	// racks has the indices of the workers by service and rack, in order of rack.
	racks [][]int
	// floors has for each kind of work the first bucket in which it may still start. Placing
	// work only moves it later. The index of a kind is in floorIndex.
	floors     []floor
	floorIndex map[searchKey]int
	// placed are the placements of the last call of place.
	placed []placement
}

// searchKey identifies work that starts at the same time if it has the same width.
type searchKey struct {
	service  string
	need     chestnutpond.Resources
	duration time.Duration
	// width is 0 unless the work is a gang.
	width    int
	sameRack bool
	label    string
}

// floor is the first bucket in which work of a kind may start.
type floor struct {
	key    searchKey
	bucket int
}

// covers reports whether work of kind k cannot start before work of kind o.
func (k *searchKey) covers(o *searchKey) bool {
	return k.duration >= o.duration && k.need.Covers(o.need) && k.width >= o.width && (k.sameRack || !o.sameRack) &&
		o.label == "" && k.service == o.service
}

// floorOf returns the first bucket in which the work may start: the latest floor of the kinds
// that it covers.
func (p *profile) floorOf(key searchKey) int {
	k := 0
	if i, ok := p.floorIndex[key]; ok {
		k = p.floors[i].bucket
	}
	for i := range p.floors {
		f := &p.floors[i]
		if f.bucket > k && key.covers(&f.key) {
			k = f.bucket
		}
	}
	return k
}

func (p *profile) setFloor(key searchKey, k int) {
	i, ok := p.floorIndex[key]
	if !ok {
		i = len(p.floors)
		p.floorIndex[key] = i
		p.floors = append(p.floors, floor{key: key})
	}
	p.floors[i].bucket = k
}

func (w *Work) searchKey() searchKey {
	k := searchKey{service: w.Service, need: w.Shape.Need, duration: w.Duration, sameRack: w.Shape.SameRack, label: w.Label}
	if w.Shape.Gang {
		k.width = w.Shape.Width
	}
	return k
}

const (
	// needDigits and durationDigits are the numbers of binary digits that are retained of
	// needs, which become at most an eighth smaller, and of durations, which become at most
	// an eighth smaller or larger.
	needDigits     = 4
	durationDigits = 3
)

// rounded returns the work with the needs rounded down and the duration rounded, so that
// similar work is the same to the search. It bounds the cost of a forecast.
func (w Work) rounded() Work {
	w.Shape.Need.CPU = chestnutpond.MilliCPU(roundDown(int64(w.Shape.Need.CPU), needDigits))
	w.Shape.Need.Memory = chestnutpond.MiB(roundDown(int64(w.Shape.Need.Memory), needDigits))
	w.Duration = time.Duration(roundDown(int64(w.Duration)+int64(w.Duration)>>(durationDigits+1), durationDigits))
	return w
}

// roundDown returns n with the lower binary digits cleared.
func roundDown(n int64, digits int) int64 {
	low := bits.Len64(uint64(n)) - digits
	if low <= 0 {
		return n
	}
	return n >> low << low
}

// placement is a number of equal tasks on a worker in the buckets from first to before end.
type placement struct {
	worker, first, end int
	need               chestnutpond.Resources
}

// fill computes the profile of the workers. Runs of a priority number above preempted are
// taken to end after delay.
func (p *profile) fill(workers []Worker, preempted int, delay time.Duration) {
	p.workers = workers
	p.free = slices.Grow(p.free[:0], len(workers)*len(edges))[:len(workers)*len(edges)]
	p.floors, p.floorIndex = p.floors[:0], map[searchKey]int{}
	p.placed = p.placed[:0]
	clear(p.free)
	for w := range workers {
		p.free[w] = workers[w].Free
		for _, r := range workers[w].Releases {
			after := r.After
			if r.Priority > preempted {
				after = min(after, delay)
			}
			if k := bucketAt(after); k < len(edges) {
				at := &p.free[k*len(workers)+w]
				*at = at.Plus(r.Need)
			}
		}
	}
	for i := len(workers); i < len(p.free); i++ {
		p.free[i] = p.free[i].Plus(p.free[i-len(workers)])
	}
	p.groupRacks()
}

func (p *profile) groupRacks() {
	order := make([]int, len(p.workers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.workers[a].Service, p.workers[b].Service), cmp.Compare(p.workers[a].Rack, p.workers[b].Rack))
	})
	p.racks = p.racks[:0]
	for i := 0; i < len(order); {
		end := i + 1
		first := p.workers[order[i]]
		for end < len(order) && p.workers[order[end]].Service == first.Service && p.workers[order[end]].Rack == first.Rack {
			end++
		}
		p.racks = append(p.racks, order[i:end])
		i = end
	}
}

// bucket returns the free capacity of the workers in bucket k.
func (p *profile) bucket(k int) []chestnutpond.Resources {
	return p.free[k*len(p.workers) : (k+1)*len(p.workers)]
}

// copies returns how many tasks of a need fit into free capacity, at most limit.
func copies(free, need chestnutpond.Resources, limit int) int {
	if !free.Covers(need) {
		return 0
	}
	n := int64(limit)
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	if need.CPU > 0 {
		n = min(n, int64(free.CPU/need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int64(free.Memory/need.Memory))
	}
	return int(n)
}

// room returns how many tasks fit on a worker from bucket first to before end.
func (p *profile) room(w, first, end int, need chestnutpond.Resources, limit int) int {
	least := p.bucket(first)[w]
	for k := first + 1; k < end; k++ {
		free := &p.free[k*len(p.workers)+w]
		if !free.Covers(need) {
			return 0
		}
		least.CPU, least.Memory = min(least.CPU, free.CPU), min(least.Memory, free.Memory)
		least.Accelerators = min(least.Accelerators, free.Accelerators)
	}
	return copies(least, need, limit)
}

// usable reports whether worker w may run the work.
func (p *profile) usable(w int, work *Work) bool {
	return p.workers[w].Service == work.Service && (work.Eligible == nil || work.Eligible[w])
}

// times are the predicted starts of the first and the last task of a step.
type times struct {
	first, last time.Duration
}

// unknown means that the work does not start within the horizon.
var unknown = times{Horizon, Horizon}

// place places the tasks of the work at the earliest times at which they fit, and returns the
// number of those that do not start within the limit.
func (p *profile) place(work *Work, limit time.Duration) int {
	key := work.searchKey()
	t, left, next := p.try(work, p.floorOf(key), limit)
	if left == 0 {
		next = bucketAt(t.last)
	}
	p.setFloor(key, next)
	return left
}

// probe returns when the tasks of the work would start, and places nothing.
func (p *profile) probe(work *Work) times {
	key := work.searchKey()
	t, _, _ := p.try(work, p.floorOf(key), Horizon)
	for _, one := range p.placed {
		p.add(one, 1)
	}
	p.setFloor(key, bucketAt(t.first))
	return t
}

// try places the tasks of the work that start in or after bucket k and within the limit. It
// returns the starts, the number of tasks that are left, and the first bucket that it did not
// search.
func (p *profile) try(work *Work, k int, limit time.Duration) (times, int, int) {
	p.placed = p.placed[:0]
	if work.Shape.Gang {
		return p.tryGang(work, k, limit)
	}
	left, t := work.Shape.Width, unknown
	for ; k < len(edges) && edges[k] <= limit; k++ {
		end := endBucket(k, work.Duration)
		free := p.bucket(k)
		for w := range free {
			if !free[w].Covers(work.Shape.Need) || !p.usable(w, work) {
				continue
			}
			n := p.room(w, k, end, work.Shape.Need, left)
			if n == 0 {
				continue
			}
			p.take(placement{w, k, end, scale(work.Shape.Need, n)})
			t.first = min(t.first, edges[k])
			if left -= n; left == 0 {
				t.last = edges[k]
				return t, 0, k
			}
		}
	}
	return t, left, k
}

// tryGang is try for work whose tasks start together.
func (p *profile) tryGang(work *Work, k int, limit time.Duration) (times, int, int) {
	for ; k < len(edges) && edges[k] <= limit; k++ {
		if p.placeTogether(work, k, endBucket(k, work.Duration)) {
			return times{edges[k], edges[k]}, 0, k
		}
	}
	return unknown, work.Shape.Width, k
}

func (p *profile) placeTogether(work *Work, k, end int) bool {
	left := work.Shape.Width
	p.placed = p.placed[:0]
	free := p.bucket(k)
	for _, rack := range p.racks {
		if p.workers[rack[0]].Service != work.Service {
			continue
		}
		if work.Shape.SameRack {
			left = work.Shape.Width
			p.placed = p.placed[:0]
		}
		for _, w := range rack {
			if !free[w].Covers(work.Shape.Need) || !p.usable(w, work) {
				continue
			}
			if n := p.room(w, k, end, work.Shape.Need, left); n > 0 {
				p.placed = append(p.placed, placement{w, k, end, scale(work.Shape.Need, n)})
				left -= n
			}
			if left == 0 {
				for _, one := range p.placed {
					p.add(one, -1)
				}
				return true
			}
		}
	}
	p.placed = p.placed[:0]
	return false
}

// endBucket returns the bucket before which work ends that starts in bucket k.
func endBucket(k int, duration time.Duration) int {
	if duration >= Horizon {
		return len(edges)
	}
	return max(k+1, bucketAt(edges[k]+duration))
}

// take records a placement and reduces the free capacity by it.
func (p *profile) take(one placement) {
	p.placed = append(p.placed, one)
	p.add(one, -1)
}

func (p *profile) add(one placement, sign int) {
	need := scale(one.need, sign)
	for k := one.first; k < one.end; k++ {
		free := &p.free[k*len(p.workers)+one.worker]
		*free = free.Plus(need)
	}
}

func scale(r chestnutpond.Resources, n int) chestnutpond.Resources {
	return chestnutpond.Resources{
		CPU: r.CPU * chestnutpond.MilliCPU(n), Memory: r.Memory * chestnutpond.MiB(n), Accelerators: r.Accelerators * int64(n),
	}
}

// fitsNow reports whether all tasks of a shape fit into the capacity that get returns.
func fitsNow(workers []Worker, service string, s Shape, get func(w *Worker) chestnutpond.Resources) bool {
	left := s.Width
	byRack := map[string]int{}
	for i := range workers {
		w := &workers[i]
		if w.Service != service {
			continue
		}
		n := copies(get(w), s.Need, math.MaxInt32)
		if left -= n; left <= 0 && !s.SameRack {
			return true
		}
		if byRack[w.Rack] += n; s.SameRack && byRack[w.Rack] >= s.Width {
			return true
		}
	}
	return false
}
