package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// maxGangPlans limits the gangs for each of which a plan is made that begins with their
	// preemption. Each takes as long as the plan without.
	maxGangPlans = 4
	// discardWeight is the weight of discarded work against the value at risk.
	discardWeight = 3
)

// victim is a run that may be preempted, with the parts of its cost.
type victim struct {
	run *run
	// loss is the value of its job at risk, lost the cost of the work that is lost with it
	// and its gang.
	loss, lost float64
}

// victimSearch makes plans of preemption for a unit.
type victimSearch struct {
	planner    *Planner
	now        time.Duration
	unit       unit
	candidates []*worker
	// victims has the runs of each candidate that may be preempted, the cheapest for what
	// they release first.
	victims map[*worker][]victim
}

// victimPlan is a plan of preemption.
type victimPlan struct {
	chosen  []*worker
	victims []*run
	cost    float64
	evicted map[*run]bool
	// released is what the evicted runs release on each worker less what the plan takes.
	released map[*worker]chestnutpond.Resources
	// losses has the value at risk by job, which counts once.
	losses map[*job]float64
}

// planByTotalCost is planPreemptionOn with the runs chosen by their total cost: that of
// the plan that takes the cheapest worker in turn, and of those that first preempt one gang,
// which makes room on several workers at once.
func (p *Planner) planByTotalCost(now time.Duration, u unit, candidates []*worker, minPriority int) ([]*worker, []*run) {
	s := p.newVictimSearch(now, u, candidates, minPriority)
	best := s.plan(nil)
	if len(u.tasks) > 1 {
		for _, first := range s.cheapestGangs() {
			if other := s.plan(&first); other != nil && (best == nil || other.cost < best.cost) {
				best = other
			}
		}
	}
	if best == nil {
		return nil, nil
	}
	return best.chosen, best.victims
}

func (p *Planner) newVictimSearch(now time.Duration, u unit, candidates []*worker, minPriority int) *victimSearch {
	s := &victimSearch{
		planner: p, now: now, unit: u, candidates: candidates, victims: map[*worker][]victim{},
	}
	workCost := 0.0
	if work := p.expectedWork(u); work > 0 {
		workCost = lostWorkCost * p.gain(u) / work
	}
	gangs := map[*step]victim{}
	for _, w := range candidates {
		for _, r := range w.sortedRuns() {
			j := r.job()
			if r.superseded || r.stopping || j == u.job() || j.graph.Queue.Priority < minPriority {
				continue
			}
			v, known := gangs[r.task.step]
			if !known {
				v = victim{loss: p.value(j) * p.risk(now, r), lost: discardWeight * workCost * p.discarded(now, r)}
				if r.task.step.def.Gang {
					gangs[r.task.step] = v
				}
			}
			v.run = r
			s.victims[w] = append(s.victims[w], v)
		}
		slices.SortStableFunc(s.victims[w], func(a, b victim) int { return cmp.Compare(a.rate(), b.rate()) })
	}
	return s
}

// rate returns the cost of the run for what it releases.
func (v victim) rate() float64 { return (v.loss + v.lost) / coreEquivalents(v.run.need) }

// discarded returns the core seconds that are lost with a run and the rest of its gang: the
// work since its last checkpoint, and the time of the restore.
func (p *Planner) discarded(now time.Duration, r *run) float64 {
	if r.phase != runSeen {
		return 0
	}
	elapsed := now - r.seen
	if t := r.task; t.step.def.Checkpointable && t.checkpoint != "" {
		elapsed = min(elapsed, now-max(r.seen, t.checkpointAt)) + p.cfg.RestoreTime
	}
	members := 1
	if r.task.step.def.Gang {
		members = len(r.task.step.tasks)
	}
	return elapsed.Seconds() * coreEquivalents(r.need) * float64(members)
}

// cheapestGangs returns one member of each of the gangs that cost least for what they
// release on the candidates.
func (s *victimSearch) cheapestGangs() []victim {
	var all []victim
	seen := map[*step]bool{}
	for _, w := range s.candidates {
		for _, v := range s.victims[w] {
			if st := v.run.task.step; st.def.Gang && len(st.tasks) > 1 && !seen[st] {
				seen[st] = true
				all = append(all, v)
			}
		}
	}
	each := func(v victim) float64 { return v.rate() / float64(len(v.run.task.step.tasks)) }
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(each(a), each(b)) })
	return all[:min(len(all), maxGangPlans)]
}

// plan takes for each task the worker that adds least to the cost. It returns nil if the
// unit cannot be placed.
func (s *victimSearch) plan(first *victim) *victimPlan {
	a := &victimPlan{
		evicted: map[*run]bool{}, released: map[*worker]chestnutpond.Resources{}, losses: map[*job]float64{},
	}
	if first != nil {
		a.evict(*first)
	}
	need := s.unit.step.def.Reserved()
	count, added := s.unit.step.tasksByWorker(), map[*worker]int{}
	for range s.unit.tasks {
		var best *worker
		var bestVictims []victim
		var bestCost float64
		for _, w := range s.candidates {
			if limit := s.unit.step.def.PerWorker; limit > 0 && count[w] >= limit || w.full(s.unit, added[w]) {
				continue
			}
			local, cost, ok := s.onWorker(a, w, need)
			if ok && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = w, local, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range bestVictims {
			a.evict(v)
		}
		a.released[best] = a.released[best].Minus(need)
		count[best]++
		added[best]++
		a.chosen = append(a.chosen, best)
	}
	return a
}

// onWorker returns the runs to preempt on a worker in addition to those of the plan, and
// what they add to its cost; false if a task cannot fit.
func (s *victimSearch) onWorker(a *victimPlan, w *worker, need chestnutpond.Resources) ([]victim, float64, bool) {
	free := w.free().Plus(a.released[w])
	var local []victim
	var runs []*run
	for _, v := range s.victims[w] {
		if free.Covers(need) {
			break
		}
		if a.evicted[v.run] || !reducesShortage(v.run.need, need.Minus(free)) || !mayPreempt(v.run, a.evicted, runs) {
			continue
		}
		local, runs = append(local, v), append(runs, v.run)
		free = free.Plus(v.run.need)
	}
	if !free.Covers(need) {
		return nil, 0, false
	}
	// A run that was taken early may not be needed beside the later ones.
	for i := len(local) - 1; i >= 0 && len(local) > 1; i-- {
		if rest := free.Minus(local[i].run.need); rest.Covers(need) {
			free, local = rest, slices.Delete(local, i, i+1)
		}
	}
	return local, a.added(local), true
}

// added returns what runs on one worker add to the cost of the plan.
func (a *victimPlan) added(local []victim) float64 {
	sum := 0.0
	for i, v := range local {
		j := v.run.job()
		counted := slices.ContainsFunc(local[:i], func(other victim) bool { return other.run.job() == j })
		if _, known := a.losses[j]; !known && !counted {
			sum += v.loss
		}
		sameGang := func(other victim) bool {
			return v.run.task.step.def.Gang && other.run.task.step == v.run.task.step
		}
		if !slices.ContainsFunc(local[:i], sameGang) {
			sum += v.lost
		}
	}
	return sum
}

// evict adds a run, and with it its gang, to the plan.
func (a *victimPlan) evict(v victim) {
	if a.evicted[v.run] {
		return
	}
	a.cost += a.added([]victim{v})
	a.losses[v.run.job()] = v.loss
	a.victims = append(a.victims, v.run)
	for _, m := range v.run.gang() {
		if !m.stopping {
			a.evicted[m] = true
			a.released[m.worker] = a.released[m.worker].Plus(m.need)
		}
	}
}
