package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// planOnCell returns the cheapest plan for the job on the cell.
func (c *Core) planOnCell(cl *cell, j *job) (plan, bool) {
	cands := cl.candidates(c, j)
	best, found := plan{}, false
	for _, d := range cands {
		if d.n < j.size() {
			continue
		}
		if p := c.planOnWorkers(cl, j, []pick{{d.w, j.size()}}); !found || p.cost < best.cost {
			best, found = p, true
		}
	}
	if found || j.spec.Shape.Adjacency == chestnutpond.AdjacencyWorker {
		return best, found
	}
	for _, group := range byRack(cands) {
		if picks, ok := packGang(group, j.size()); ok {
			if p := c.planOnWorkers(cl, j, picks); !found || p.cost < best.cost {
				best, found = p, true
			}
		}
	}
	if found || j.spec.Shape.Adjacency == chestnutpond.AdjacencyRack {
		return best, found
	}
	picks, ok := packGang(cands, j.size())
	if !ok {
		return plan{}, false
	}
	return c.planOnWorkers(cl, j, picks), true
}

// candidates returns the workers of the cell with the accelerators that the job
// may claim on them.
func (cl *cell) candidates(c *Core, j *job) []candidate {
	q := query{avoid: j.avoid}
	cands := make([]candidate, 0, len(cl.allocs))
	for _, p := range cl.allocs {
		if !q.allows(p.w) {
			continue
		}
		n, cost := 0, int64(0)
		for _, i := range p.index {
			s := &p.w.slots[i]
			if !c.mayClaim(s, j) {
				continue
			}
			n++
			if s.job != nil {
				cost += c.preemptionCost(s.job)
			}
		}
		if n > 0 {
			cands = append(cands, candidate{p.w, n, cost})
		}
	}
	return cands
}

// mayClaim reports whether a job of the cell's account may claim the
// accelerator.
func (c *Core) mayClaim(s *slot, j *job) bool {
	return (s.claim == nil || !s.claim.guaranteed) &&
		(s.job == nil || !s.job.guaranteed || c.mayDisplace(j, s.job))
}

// mayDisplace reports whether a job may preempt another job of its account on a
// cell. It may only preempt jobs of backlogged callers.
func (c *Core) mayDisplace(j, held *job) bool {
	return c.cfg.has(FeatureAccountPreempt) && held.account == j.account && held.level == lastLevel &&
		held.state == stateRunning && c.level(j) < lastLevel
}

// claimableCount returns the number of accelerators of the cell that the job
// may claim.
func (c *Core) claimableCount(cl *cell, j *job) int {
	n := cl.shape.Accelerators - cl.used
	if n >= j.size() || c.level(j) == lastLevel {
		return n
	}
	for _, p := range cl.allocs {
		for _, i := range p.index {
			if o := p.w.slots[i].job; o != nil && o.cell == cl && c.mayDisplace(j, o) {
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

// Weights of preemptionCost. A difference in priority level outweighs any run
// time. The cost per preemption outweighs some run time, so that fewer jobs are
// preempted.
const (
	costPerLevel      = int64(1) << 48
	costPerPreemption = 5000
	nanosPerCostUnit  = 1_000_000 // nanoseconds in a unit of lost work
)

// preemptionCost returns the cost of preempting a job: the lost work in
// accelerator-milliseconds, plus a surcharge for its priority level and one for
// the preemption itself.
func (c *Core) preemptionCost(j *job) int64 {
	if j.state == stateStopping {
		return 0
	}
	run := int64(0)
	if j.state == stateRunning {
		run = int64(c.now-j.runningSince) / nanosPerCostUnit * int64(j.size())
	}
	return int64(lastLevel-j.level)*costPerLevel + run + costPerPreemption
}

// planOnWorkers plans the job on accelerators of the cell on the picked
// workers.
func (c *Core) planOnWorkers(cl *cell, j *job, picks []pick) plan {
	var p plan
	for _, k := range picks {
		h, victims, busy := c.selectVictims(k, func(s *slot) bool { return s.cell == cl && c.mayClaim(s, j) })
		p.allocs = append(p.allocs, h)
		p.busy = p.busy || busy
		for _, v := range victims {
			if !contains(p.victims, v) {
				p.victims = append(p.victims, v)
				p.cost += c.preemptionCost(v)
			}
		}
	}
	return p
}

// selectVictims selects accelerators of one worker among the offered ones:
// first free ones, then those of jobs that are already stopping, then those of
// the borrowers that are cheapest to preempt. The set of victims is minimal:
// without any one of them there would be too few accelerators.
func (c *Core) selectVictims(k pick, offered func(s *slot) bool) (allocation, []*job, bool) {
	var free, stopping []int
	var borrowers []*job
	heldBy := map[*job][]int{}
	for i := range k.w.slots {
		s := &k.w.slots[i]
		switch {
		case !offered(s):
		case s.job == nil:
			free = append(free, i)
		case s.job.state == stateStopping:
			stopping = append(stopping, i)
		default:
			if len(heldBy[s.job]) == 0 {
				borrowers = append(borrowers, s.job)
			}
			heldBy[s.job] = append(heldBy[s.job], i)
		}
	}
	sort.SliceStable(borrowers, func(a, b int) bool { return c.preemptionCost(borrowers[a]) < c.preemptionCost(borrowers[b]) })
	total := len(free) + len(stopping)
	var victims []*job
	for _, b := range borrowers {
		if total >= k.n {
			break
		}
		victims = append(victims, b)
		total += len(heldBy[b])
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if v := victims[i]; total-len(heldBy[v]) >= k.n {
			total -= len(heldBy[v])
			victims = without(victims, v)
		}
	}
	index := append(free, stopping...)
	for _, v := range victims {
		index = append(index, heldBy[v]...)
	}
	index = index[:min(k.n, len(index))]
	sortInts(index)
	return allocation{k.w, index}, victims, len(free) < k.n
}
