package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// pick is a number of accelerators on one worker.
type pick struct {
	w *worker
	n int
}

// candidate is a worker that may host part of a gang.
type candidate struct {
	w *worker
	// n is the number of accelerators that the worker offers.
	n int
	// cost breaks ties between candidates that offer the same number; lower is
	// better.
	cost int64
}

func (c candidate) whole() bool { return c.n == c.w.size() }

// query is a search for accelerators of a pool that fit a shape.
type query struct {
	shape chestnutpond.Shape
	pool  pool
	// avoid names workers that must not be used.
	avoid []string
}

func (q query) allows(w *worker) bool {
	for _, name := range q.avoid {
		if name == w.Name {
			return false
		}
	}
	return true
}

// adjacencyCount is the number of values of chestnutpond.Adjacency.
const adjacencyCount = 3

func adjacencyIndex(a chestnutpond.Adjacency) int {
	switch a {
	case chestnutpond.AdjacencyWorker:
		return 0
	case chestnutpond.AdjacencyRack:
		return 1
	default:
		return 2
	}
}

// noFit records that no shape of at least size fits a pool while the generation
// of the pool is unchanged.
type noFit struct {
	generation int64
	size       int
}

// knownNoFit reports whether an earlier search showed that the shape does not
// fit the pool.
func (f *fleet) knownNoFit(q query) bool {
	k := f.noFits[q.pool][adjacencyIndex(q.shape.Adjacency)]
	return k.size > 0 && k.generation == f.poolGeneration[q.pool] && q.shape.Accelerators >= k.size
}

// recordNoFit records that the shape does not fit the pool.
func (f *fleet) recordNoFit(q query) {
	if len(q.avoid) == 0 && !f.knownNoFit(q) {
		f.noFits[q.pool][adjacencyIndex(q.shape.Adjacency)] = noFit{f.poolGeneration[q.pool], q.shape.Accelerators}
	}
}

// find returns the best fit: on one worker, else in one rack, else in one zone,
// as far as the shape allows. Among workers or racks it prefers the one that
// leaves the fewest accelerators over; it takes the first zone that fits.
func (f *fleet) find(q query) ([]pick, bool) {
	if f.knownNoFit(q) {
		return nil, false
	}
	p, ok := f.search(q)
	if !ok {
		f.recordNoFit(q)
	}
	return p, ok
}

func (f *fleet) search(q query) ([]pick, bool) {
	if p, ok := f.findWorker(q); ok {
		return p, true
	}
	if q.shape.Adjacency == chestnutpond.AdjacencyWorker {
		return nil, false
	}
	if p, ok := f.findRack(q); ok {
		return p, true
	}
	if q.shape.Adjacency == chestnutpond.AdjacencyRack {
		return nil, false
	}
	return f.findZone(q)
}

func (f *fleet) findWorker(q query) ([]pick, bool) {
	n := q.shape.Accelerators
	var best *worker
	var bestLeftover, bestSum int
	for _, r := range f.racks {
		s := &r.summaries[q.pool]
		k, ok := s.smallestFit(n)
		if !ok || best != nil && (k-n > bestLeftover || k-n == bestLeftover && s.sum >= bestSum) {
			continue
		}
		w := r.bestFit(q)
		if w == nil {
			continue
		}
		leftover := w.count[q.pool] - n
		if best == nil || leftover < bestLeftover || leftover == bestLeftover && s.sum < bestSum {
			best, bestLeftover, bestSum = w, leftover, s.sum
		}
	}
	if best == nil {
		return nil, false
	}
	return []pick{{best, n}}, true
}

// bestFit returns the worker of the rack that has enough accelerators in the
// pool and the fewest left over.
func (r *rack) bestFit(q query) *worker {
	var best *worker
	for _, w := range r.workers {
		k := w.count[q.pool]
		if k < q.shape.Accelerators || best != nil && k > best.count[q.pool] || !q.allows(w) {
			continue
		}
		if best != nil && k == best.count[q.pool] && w.count[poolUnbound] <= best.count[poolUnbound] {
			continue
		}
		best = w
	}
	return best
}

func (f *fleet) findRack(q query) ([]pick, bool) {
	var best []pick
	bestSum := 0
	for _, r := range f.racks {
		s := &r.summaries[q.pool]
		sum := s.sum
		if q.pool == poolReservable {
			sum = -r.summaries[poolLendable].sum
		}
		if !s.fits(q.shape.Accelerators) || best != nil && sum >= bestSum {
			continue
		}
		if p, ok := packGang(r.candidates(nil, q), q.shape.Accelerators); ok {
			best, bestSum = p, sum
		}
	}
	return best, best != nil
}

func (f *fleet) findZone(q query) ([]pick, bool) {
	for _, z := range f.zones {
		var s summary
		for _, r := range z.racks {
			s.whole += r.summaries[q.pool].whole
			s.largestPartial = max(s.largestPartial, r.summaries[q.pool].largestPartial)
		}
		if !s.fits(q.shape.Accelerators) {
			continue
		}
		racks := append([]*rack(nil), z.racks...)
		sort.SliceStable(racks, func(i, j int) bool {
			return racks[i].summaries[q.pool].whole > racks[j].summaries[q.pool].whole
		})
		var cands []candidate
		sum := 0
		for _, r := range racks {
			cands = r.candidates(cands, q)
			// Once whole workers suffice, further racks are not needed.
			sum += r.summaries[q.pool].whole
			if sum >= q.shape.Accelerators && len(q.avoid) == 0 {
				break
			}
		}
		if p, ok := packGang(cands, q.shape.Accelerators); ok {
			return p, true
		}
	}
	return nil, false
}

func (r *rack) candidates(to []candidate, q query) []candidate {
	for _, w := range r.workers {
		if n := w.count[q.pool]; n > 0 && q.allows(w) {
			cost := int64(0)
			if q.pool >= poolReservable {
				cost = int64(n - w.count[poolLendable])
			}
			to = append(to, candidate{w, n, cost})
		}
	}
	return to
}

// packGang packs a gang of n accelerators onto the candidates. It uses one
// worker if that is enough. Otherwise it takes whole workers, the largest and
// then the cheapest first, and puts the remainder on the best fit among the
// other workers.
func packGang(cands []candidate, n int) ([]pick, bool) {
	if i := bestFit(cands, n, nil); i >= 0 {
		return []pick{{cands[i].w, n}}, true
	}
	order := make([]int, 0, len(cands))
	for i, c := range cands {
		if c.whole() {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := cands[order[a]], cands[order[b]]
		if x.n != y.n {
			return x.n > y.n
		}
		return x.cost < y.cost
	})
	used := make([]bool, len(cands))
	var picks []pick
	for _, i := range order {
		if cands[i].n <= n {
			picks = append(picks, pick{cands[i].w, cands[i].n})
			used[i] = true
			n -= cands[i].n
		}
	}
	if n == 0 {
		return picks, true
	}
	i := bestFit(cands, n, used)
	if i < 0 {
		return nil, false
	}
	return append(picks, pick{cands[i].w, n}), true
}

// bestFit returns the index of the candidate with the fewest accelerators, but
// at least n, and among equals the cheapest; -1 if there is none.
func bestFit(cands []candidate, n int, used []bool) int {
	best := -1
	for i, c := range cands {
		if c.n < n || used != nil && used[i] {
			continue
		}
		if best < 0 || c.n < cands[best].n || c.n == cands[best].n && c.cost < cands[best].cost {
			best = i
		}
	}
	return best
}

// Fits reports whether the workers that are up could hold the shape if all
// their accelerators were free.
func (c *Core) Fits(shape chestnutpond.Shape) bool {
	return c.fitsOn(shape, func(w *worker) bool { return w.up })
}

// fitsOn reports whether the workers that count could hold the shape if all their
// accelerators were free.
func (c *Core) fitsOn(shape chestnutpond.Shape, counts func(*worker) bool) bool {
	if shape.Accelerators < 1 {
		return false
	}
	addUp := func(ws []*worker, to summary) (summary, int) {
		largest := 0
		for _, w := range ws {
			if counts(w) {
				to.whole += w.Accelerators
				largest = max(largest, w.Accelerators)
			}
		}
		return to, largest
	}
	for _, z := range c.fleet.zones {
		var all summary
		for _, r := range z.racks {
			s, largest := addUp(r.workers, summary{})
			all.whole += s.whole
			if largest >= shape.Accelerators || shape.Adjacency != chestnutpond.AdjacencyWorker && s.fits(shape.Accelerators) {
				return true
			}
		}
		if shape.Adjacency == chestnutpond.AdjacencyZone && all.fits(shape.Accelerators) {
			return true
		}
	}
	return false
}
