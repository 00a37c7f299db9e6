package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// move is a running job that is stopped with a checkpoint to go on elsewhere.
type move struct {
	job *job
	to  pick
}

// emptying is a worker whose jobs may all be moved.
type emptying struct {
	w    *worker
	jobs []*job
	used int
	cost int64
}

// isWhole reports whether borrowers may have all accelerators of the worker.
func (w *worker) isWhole() bool { return w.count[viewLend] == w.size() }

func (c *Core) consolidates() bool { return len(c.cells) > 0 && c.cfg.has(FeatureConsolidate) }

// consolidate moves the jobs of the cheapest workers whose emptying frees one
// more of the largest guaranteed shape, onto other workers that are partly used.
// The cost of a move is the work since the job's start, which is lost if the
// checkpoint is not written, and a stop and a start of a few seconds. Guaranteed
// and urgent jobs are never moved. No consolidation begins before the last one has ended.
func (c *Core) consolidate() {
	if !c.consolidates() || c.now < c.consolidateAt {
		return
	}
	c.consolidateAt = c.now + c.cfg.ConsolidateEvery
	if len(c.moves) > 0 {
		return
	}
	sets := c.emptySets(c.cells[0].shape)
	sort.SliceStable(sets, func(i, j int) bool { return cost(sets[i]) < cost(sets[j]) })
	for _, set := range sets[:min(len(sets), consolidateTries)] {
		if moves, ok := c.movesFrom(set); ok {
			c.moves = moves
			break
		}
	}
	for _, m := range c.moves {
		m.job.moved, m.job.wasMoved = c.now, true
		c.preempt(m.job, "", "moved to free a whole guaranteed shape")
	}
}

// consolidateTries bounds the sets of workers for which places are looked for in
// one decision, because each look goes over all workers.
const consolidateTries = 8

func cost(set []emptying) int64 {
	n := int64(0)
	for _, e := range set {
		n += e.cost
	}
	return n
}

// emptySets returns sets of workers; emptying all of a set frees one more of the
// shape.
func (c *Core) emptySets(shape chestnutpond.Shape) [][]emptying {
	var out [][]emptying
	for _, z := range c.fleet.zones {
		var inZone []emptying
		whole := 0
		for _, r := range z.racks {
			inRack := c.emptyable(r)
			switch shape.Adjacency {
			case chestnutpond.AdjacencyWorker:
				for _, e := range inRack {
					out = addSet(out, []emptying{e}, e.w.size()-e.used, shape.Accelerators)
				}
			case chestnutpond.AdjacencyRack:
				out = addSet(out, inRack, r.stat[viewLend].whole, shape.Accelerators)
			default:
				inZone = append(inZone, inRack...)
				whole += r.stat[viewLend].whole
			}
		}
		out = addSet(out, inZone, whole, shape.Accelerators)
	}
	return out
}

// addSet adds the cheapest of the workers that together with the free
// accelerators hold one more shape of n.
func addSet(to [][]emptying, from []emptying, free, n int) [][]emptying {
	sort.SliceStable(from, func(i, j int) bool { return from[i].cost < from[j].cost })
	need := n - free%n
	for i, e := range from {
		need -= e.w.size()
		if need <= 0 {
			return append(to, from[:i+1])
		}
	}
	return to
}

// emptyable returns the workers of a rack whose jobs may all be moved.
func (c *Core) emptyable(r *rack) []emptying {
	var out []emptying
	for _, w := range r.workers {
		if !w.usable() || w.isWhole() || w.count[viewLend] < w.size()-c.cfg.ConsolidateLimit {
			continue
		}
		e := emptying{w: w, used: w.size() - w.count[viewLend]}
		n := 0
		for i := range w.slots[:w.size()] {
			if j := w.slots[i].job; j != nil && !contains(e.jobs, j) && c.mayMove(j) {
				e.jobs = append(e.jobs, j)
				e.cost += c.loss(j) % lossPerClass
				n += j.size()
			}
		}
		// Fewer means that a job must stay, or that accelerators are claimed.
		if n == e.used {
			out = append(out, e)
		}
	}
	return out
}

// mayMove reports whether a job may be moved. Urgent work stays, because the few
// seconds of a move weigh most there.
func (c *Core) mayMove(j *job) bool {
	run := c.now - j.since
	return j.state == stateRunning && j.level > 0 && !j.guaranteed && len(j.held) == 1 &&
		run >= c.cfg.HealthyAfter && run <= c.cfg.ConsolidateMaxRun &&
		(!j.wasMoved || c.now-j.moved >= c.cfg.ConsolidateAgain)
}

// movesFrom finds a place for each job of the set, the largest first, on the
// fullest other worker that has room; ok is false if there is none for one.
func (c *Core) movesFrom(set []emptying) (moves []move, ok bool) {
	var jobs []*job
	taken := map[*worker]int{}
	for _, e := range set {
		jobs = append(jobs, e.jobs...)
		taken[e.w] = e.w.size()
	}
	sort.SliceStable(jobs, func(i, k int) bool { return jobs[i].size() > jobs[k].size() })
	for _, j := range jobs {
		w := c.fullest(j, taken)
		if w == nil {
			return nil, false
		}
		taken[w] += j.size()
		moves = append(moves, move{j, pick{w, j.size()}})
	}
	return moves, true
}

// fullest returns the partly used worker with the least room that suffices, less
// what is taken.
func (c *Core) fullest(j *job, taken map[*worker]int) *worker {
	var best *worker
	least := 0
	q := query{avoid: j.avoid}
	for _, r := range c.fleet.racks {
		for _, w := range r.workers {
			room := w.count[viewLend] - taken[w]
			if room >= j.size() && !w.isWhole() && (best == nil || room < least) && q.allows(w) {
				best, least = w, room
			}
		}
	}
	return best
}

// finishMoves starts the jobs whose attempt has stopped where they were to go.
// If that room was taken meanwhile, or its worker became empty, they wait like
// other jobs.
func (c *Core) finishMoves() {
	kept := c.moves[:0]
	for _, m := range c.moves {
		switch w := m.to.w; {
		case m.job.state == stateStopping:
			kept = append(kept, m)
		case m.job.state == stateWaiting && !w.isWhole() && w.count[viewLend] >= m.to.n:
			c.startBorrower(m.job, []pick{m.to})
		}
	}
	c.moves = kept
}
