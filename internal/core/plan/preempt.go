package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// startDelay is the time from a decision to the start of a run: the record is
	// stored, the order is sent, and the preempted runs are stopped.
	startDelay = 300 * time.Millisecond
	// guaranteeWait is how long guaranteed work waits for runs to end by themselves
	// before it preempts others. It has to start within 2.7 s.
	guaranteeWait = 1200 * time.Millisecond
)

// reserveOrPreempt handles a unit that does not fit now. It reserves capacity that
// runs are expected to release. For an urgent unit, one of priority 0 that is
// guaranteed or still on time, it preempts other runs if waiting for that capacity
// would take too long. It reports whether it assigned the unit; the starts then
// wait in Orders until there is capacity.
func (p *Planner) reserveOrPreempt(now time.Duration, u unit) bool {
	guaranteed := p.guaranteed(u)
	slack := p.slack(u)
	urgent := u.job().graph.Queue.Priority == 0 && (guaranteed || slack >= 0)
	if !urgent || !p.settled {
		// Workers that have not reported yet may have free capacity.
		p.reserveEarliest(now, u)
		return false
	}
	if p.preemptEarly(now, u) {
		return true
	}
	wait := slack - startDelay
	if guaranteed {
		wait = min(max(wait, 0), guaranteeWait-p.age(u))
	}
	if wait > 0 {
		if chosen := p.fit(now, u, p.availableAt(now, now+wait)); chosen != nil {
			p.reserve(u, chosen, now+wait)
			return false
		}
	}
	levels := []int{1}
	if guaranteed {
		levels = []int{1, 0}
	}
	for _, minPriority := range levels {
		if chosen, victims := p.planPreemption(now, u, minPriority); chosen != nil {
			if !guaranteed && p.cost(now, u, victims) >= p.gain(u) {
				break
			}
			p.preempt(now, u, chosen, victims)
			return true
		}
	}
	p.reserveEarliest(now, u)
	return false
}

// guaranteed reports whether the unit has priority 0 and its account's unfinished
// work of that priority needs no more than the account's guarantee in all.
func (p *Planner) guaranteed(u unit) bool {
	j := u.job()
	if j.graph.Queue.Priority != 0 || j.graph.Account == "" {
		return false
	}
	a := p.accounts[j.graph.Account]
	if a == nil {
		return false
	}
	need := int64(0)
	for _, other := range p.active {
		if other.graph.Account != a.name || other.graph.Queue.Priority != 0 || other.phase.Final() {
			continue
		}
		need += other.demand()
	}
	return need <= a.guarantee
}

// demand returns the number of accelerators that the open steps of a job need.
func (j *job) demand() int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.done || !s.open {
				continue
			}
			sum += int64(s.def.Count) * s.def.Need.Accelerators
		}
	}
	return sum
}

// planPreemption chooses a worker for each task of the unit, and the runs to
// preempt for it. It prefers the runs with the lowest total cost among those of
// queues with at least the given priority number.
func (p *Planner) planPreemption(now time.Duration, u unit, minPriority int) ([]*worker, []*run) {
	candidates := p.candidates(now, u, func(*worker) bool { return true })
	if !u.step.def.SameRack || len(u.tasks) == 1 {
		return p.planPreemptionOn(now, u, candidates, minPriority)
	}
	var best []*worker
	var bestVictims []*run
	var bestCost float64
	for _, rack := range groupByRack(candidates) {
		chosen, victims := p.planPreemptionOn(now, u, rack, minPriority)
		if chosen == nil {
			continue
		}
		if cost := p.cost(now, u, victims); best == nil || cost < bestCost {
			best, bestVictims, bestCost = chosen, victims, cost
		}
	}
	return best, bestVictims
}

// planPreemptionOn is planPreemption restricted to the given workers.
func (p *Planner) planPreemptionOn(now time.Duration, u unit, candidates []*worker, minPriority int) ([]*worker, []*run) {
	if p.cfg.Policy.TotalCost {
		return p.planByTotalCost(now, u, candidates, minPriority)
	}
	return p.planInTurn(now, u, candidates, minPriority)
}

// planInTurn takes for each task of the unit in turn the worker that costs least.
func (p *Planner) planInTurn(now time.Duration, u unit, candidates []*worker, minPriority int) ([]*worker, []*run) {
	need := u.step.def.Reserved()
	taken := map[*worker]chestnutpond.Resources{}
	evicted := map[*run]bool{}
	count := u.step.tasksByWorker()
	added := map[*worker]int{}
	var chosen []*worker
	var victims []*run
	for range u.tasks {
		var best *worker
		var bestVictims []*run
		var bestCost float64
		for _, w := range candidates {
			if limit := u.step.def.PerWorker; limit > 0 && count[w] >= limit || w.full(u, added[w]) {
				continue
			}
			free := w.free().Minus(taken[w])
			for r := range evicted {
				if r.worker == w {
					free = free.Plus(r.need)
				}
			}
			local, ok := p.selectVictims(now, w, u, minPriority, free, evicted)
			if !ok {
				continue
			}
			if cost := p.cost(now, u, local); best == nil || cost < bestCost {
				best, bestVictims, bestCost = w, local, cost
			}
		}
		if best == nil {
			return nil, nil
		}
		taken[best] = taken[best].Plus(need)
		count[best]++
		added[best]++
		chosen = append(chosen, best)
		for _, r := range bestVictims {
			for _, m := range r.gang() {
				evicted[m] = true
			}
		}
		victims = append(victims, bestVictims...)
	}
	return chosen, victims
}

// selectVictims returns the runs to preempt on a worker so that one task of the
// unit fits; false if it cannot fit.
func (p *Planner) selectVictims(now time.Duration, w *worker, u unit, minPriority int, free chestnutpond.Resources, evicted map[*run]bool) ([]*run, bool) {
	need := u.step.def.Reserved()
	var chosen []*run
	for _, r := range p.preemptible(now, w, u, minPriority) {
		if free.Covers(need) {
			break
		}
		if evicted[r] || !reducesShortage(r.need, need.Minus(free)) || !mayPreempt(r, evicted, chosen) {
			continue
		}
		chosen = append(chosen, r)
		free = free.Plus(r.need)
	}
	return chosen, free.Covers(need)
}

// servingPercent is the progress of a perpetual task that is serving.
const servingPercent = 100

// mayPreempt reports whether enough tasks of the run's step remain available if the
// run is stopped in addition to the others. Only perpetual tasks have such a limit.
func mayPreempt(r *run, evicted map[*run]bool, chosen []*run) bool {
	def := r.task.step.def
	if !def.Perpetual || def.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, t := range r.task.step.tasks {
		c := t.current
		if c == nil || c.stopping || c.percent < servingPercent || evicted[c] || slices.Contains(chosen, c) {
			unavailable++
		}
	}
	return unavailable < def.MaxUnavailable
}

// reducesShortage reports whether the released resources cover a part of the
// missing ones.
func reducesShortage(released, missing chestnutpond.Resources) bool {
	return missing.CPU > 0 && released.CPU > 0 || missing.Memory > 0 && released.Memory > 0 ||
		missing.Accelerators > 0 && released.Accelerators > 0
}

// preemptible returns the runs on a worker that may be preempted for the unit, the
// least urgent first and then in order of cost.
func (p *Planner) preemptible(now time.Duration, w *worker, u unit, minPriority int) []*run {
	var all []*run
	for _, r := range w.sortedRuns() {
		j := r.job()
		if j != u.job() && j.graph.Queue.Priority >= minPriority && !r.superseded && !r.stopping {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *run) int {
		return cmp.Or(
			-cmp.Compare(a.job().graph.Queue.Priority, b.job().graph.Queue.Priority),
			cmp.Compare(p.cost(now, u, []*run{a}), p.cost(now, u, []*run{b})),
		)
	})
	return all
}

// expectedWork returns the expected work of the unit in core seconds.
func (p *Planner) expectedWork(u unit) float64 {
	return p.expectedDuration(u.step).Seconds() * coreEquivalents(u.step.def.Need) * float64(len(u.tasks))
}

// acceleratorCores is the number of cores that an accelerator counts for in the
// measure of work.
const acceleratorCores = 8

// lostWork returns the core seconds lost by stopping a run and with it the rest of
// its gang. A checkpointable run loses at most the time of a restore.
func (p *Planner) lostWork(now time.Duration, r *run) float64 {
	if r.phase != runSeen {
		return 0
	}
	elapsed := now - r.seen
	if r.task.step.def.Checkpointable {
		elapsed = min(elapsed, p.cfg.RestoreTime)
	}
	members := 1
	if r.task.step.def.Gang {
		members = len(r.task.step.tasks)
	}
	return elapsed.Seconds() * coreEquivalents(r.need) * float64(members)
}

// coreEquivalents returns the number of cores that the resources count for in the
// measure of work.
func coreEquivalents(r chestnutpond.Resources) float64 {
	return float64(r.CPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// totalLostWork returns the work lost by stopping all of the runs. A gang counts
// once.
func (p *Planner) totalLostWork(now time.Duration, runs []*run) float64 {
	sum := 0.0
	counted := map[*step]bool{}
	for _, r := range runs {
		s := r.task.step
		if s.def.Gang && counted[s] {
			continue
		}
		counted[s] = true
		sum += p.lostWork(now, r)
	}
	return sum
}

// gang returns the run and the other members of its gang, which are stopped with
// it.
func (r *run) gang() []*run {
	if !r.task.step.def.Gang {
		return []*run{r}
	}
	var all []*run
	for _, t := range r.task.step.tasks {
		if t.current != nil && t.current.number == r.number {
			all = append(all, t.current)
		}
	}
	return all
}
