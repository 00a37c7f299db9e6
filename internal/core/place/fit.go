package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// pick is a number of accelerators of one worker.
type pick struct {
	w *worker
	n int
}

// candidate is a worker that may take part of a gang.
type candidate struct {
	w *worker
	// n is the number of accelerators it offers.
	n int
	// cost orders candidates that offer the same; less is better.
	cost int64
}

func (c candidate) whole() bool { return c.n == c.w.size() }

// query asks for a place for a shape.
type query struct {
	shape chestnutpond.Shape
	view  view
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

// adjacencies is the number of adjacencies.
const adjacencies = 3

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

// fullness says that no shape of at least size has a place while the view does
// not grow.
type fullness struct {
	grown int64
	size  int
}

// isFull reports whether the shape is known to have no place in the view.
func (f *fleet) isFull(q query) bool {
	k := f.full[q.view][adjacencyIndex(q.shape.Adjacency)]
	return k.size > 0 && k.grown == f.grown[q.view] && q.shape.Accelerators >= k.size
}

// noteFull remembers that the shape has no place in the view.
func (f *fleet) noteFull(q query) {
	if len(q.avoid) == 0 && !f.isFull(q) {
		f.full[q.view][adjacencyIndex(q.shape.Adjacency)] = fullness{f.grown[q.view], q.shape.Accelerators}
	}
}

// find returns the best place: on one worker, else in one rack, else in one
// zone, as the shape allows. Among equal places the one that leaves the least
// behind wins.
func (f *fleet) find(q query) ([]pick, bool) {
	if f.isFull(q) {
		return nil, false
	}
	p, ok := f.search(q)
	if !ok {
		f.noteFull(q)
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
	var bestRest, bestSum int
	for _, r := range f.racks {
		s := &r.stat[q.view]
		k, ok := s.best(n)
		if !ok || best != nil && (k-n > bestRest || k-n == bestRest && s.sum >= bestSum) {
			continue
		}
		w := r.tightest(q)
		if w == nil {
			continue
		}
		rest := w.count[q.view] - n
		if best == nil || rest < bestRest || rest == bestRest && s.sum < bestSum {
			best, bestRest, bestSum = w, rest, s.sum
		}
	}
	if best == nil {
		return nil, false
	}
	return []pick{{best, n}}, true
}

// tightest returns the worker of the rack that counts the least but enough.
func (r *rack) tightest(q query) *worker {
	var best *worker
	for _, w := range r.workers {
		k := w.count[q.view]
		if k < q.shape.Accelerators || best != nil && k > best.count[q.view] || !q.allows(w) {
			continue
		}
		if best != nil && k == best.count[q.view] && w.count[viewOpen] <= best.count[viewOpen] {
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
		s := &r.stat[q.view]
		sum := s.sum
		if q.view == viewSoon {
			sum = -r.stat[viewLend].sum
		}
		if !s.holds(q.shape.Accelerators) || best != nil && sum >= bestSum {
			continue
		}
		if p, ok := choose(r.candidates(nil, q), q.shape.Accelerators); ok {
			best, bestSum = p, sum
		}
	}
	return best, best != nil
}

func (f *fleet) findZone(q query) ([]pick, bool) {
	for _, z := range f.zones {
		var s summary
		for _, r := range z.racks {
			s.whole += r.stat[q.view].whole
			s.part = max(s.part, r.stat[q.view].part)
		}
		if !s.holds(q.shape.Accelerators) {
			continue
		}
		racks := append([]*rack(nil), z.racks...)
		sort.SliceStable(racks, func(i, j int) bool {
			return racks[i].stat[q.view].whole > racks[j].stat[q.view].whole
		})
		var cands []candidate
		sum := 0
		for _, r := range racks {
			cands = r.candidates(cands, q)
			// Whole workers that suffice need no further racks.
			sum += r.stat[q.view].whole
			if sum >= q.shape.Accelerators && len(q.avoid) == 0 {
				break
			}
		}
		if p, ok := choose(cands, q.shape.Accelerators); ok {
			return p, true
		}
	}
	return nil, false
}

func (r *rack) candidates(to []candidate, q query) []candidate {
	for _, w := range r.workers {
		if n := w.count[q.view]; n > 0 && q.allows(w) {
			cost := int64(0)
			if q.view >= viewSoon {
				cost = int64(n - w.count[viewLend])
			}
			to = append(to, candidate{w, n, cost})
		}
	}
	return to
}

// choose spreads a gang of n over candidates: whole workers first, largest and
// cheapest first, and a remainder on one more worker where it fits best. It
// takes one worker alone if that is enough.
func choose(cands []candidate, n int) ([]pick, bool) {
	if i := tight(cands, n, nil); i >= 0 {
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
	i := tight(cands, n, used)
	if i < 0 {
		return nil, false
	}
	return append(picks, pick{cands[i].w, n}), true
}

// tight returns the candidate with the fewest accelerators, but at least n, and
// of those the cheapest; -1 if there is none.
func tight(cands []candidate, n int, used []bool) int {
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

// Fits reports whether the workers known now could ever hold the shape.
func (c *Core) Fits(shape chestnutpond.Shape) bool {
	if shape.Accelerators < 1 {
		return false
	}
	total := func(ws []*worker, to summary) (summary, int) {
		top := 0
		for _, w := range ws {
			if w.up {
				to.whole += w.Accelerators
				top = max(top, w.Accelerators)
			}
		}
		return to, top
	}
	for _, z := range c.fleet.zones {
		var all summary
		for _, r := range z.racks {
			s, top := total(r.workers, summary{})
			all.whole += s.whole
			if top >= shape.Accelerators || shape.Adjacency != chestnutpond.AdjacencyWorker && s.holds(shape.Accelerators) {
				return true
			}
		}
		if shape.Adjacency == chestnutpond.AdjacencyZone && all.holds(shape.Accelerators) {
			return true
		}
	}
	return false
}
