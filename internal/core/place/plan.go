package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

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
