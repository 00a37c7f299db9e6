package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// survey counts the workers that are known by what keeps a task of a unit off them.
type survey struct {
	considered, fitting int
	excluded            map[chestnutpond.WaitCause]int
}

// sorted returns the counts, the largest first.
func (s survey) sorted() []chestnutpond.ExcludedWorkers {
	all := make([]chestnutpond.ExcludedWorkers, 0, len(s.excluded))
	for _, reason := range slices.Sorted(maps.Keys(s.excluded)) {
		all = append(all, chestnutpond.ExcludedWorkers{Reason: reason, Workers: s.excluded[reason]})
	}
	slices.SortStableFunc(all, func(a, b chestnutpond.ExcludedWorkers) int { return -cmp.Compare(a.Workers, b.Workers) })
	return all
}

// survey returns the counts for the unit if it is its turn. Each worker counts once.
func (p *Planner) survey(now time.Duration, u unit) survey {
	s := survey{excluded: map[chestnutpond.WaitCause]int{}}
	candidates := map[*worker]bool{}
	for _, w := range p.candidates(now, u, func(*worker) bool { return true }) {
		candidates[w] = true
	}
	need, available := u.step.def.Reserved(), p.available(now, u)
	count := u.step.tasksByWorker()
	for _, w := range p.sortedWorkers {
		if w.left {
			continue
		}
		s.considered++
		reason := p.exclusion(now, u, w)
		switch limit := u.step.def.PerWorker; {
		case reason != "":
		case !candidates[w]:
			reason = chestnutpond.CauseRack
		case limit > 0 && count[w] >= limit || w.full(u, 0):
			reason = chestnutpond.CausePerWorker
		case !w.free().Covers(need):
			reason = shortages(need, w.free())[0]
		case !available(w).Covers(need):
			reason = chestnutpond.CauseReserved
		default:
			s.fitting++
			continue
		}
		s.excluded[reason]++
	}
	return s
}

// exclusion returns why the unit may not be placed on a worker, whatever capacity it has; empty
// if it may. It agrees with candidates.
func (p *Planner) exclusion(now time.Duration, u unit, w *worker) chestnutpond.WaitCause {
	_, allowed := p.ticket(now, u.step, w)
	switch {
	case w.reported && w.info.Service != u.job().graph.Queue.Service:
		return chestnutpond.CauseOtherService
	case w.reported && !w.info.HasLabel(u.step.def.Label):
		return chestnutpond.CauseLabel
	case w.evacuated:
		return chestnutpond.CauseEvacuated
	case !w.reachable():
		return chestnutpond.CauseUnavailable
	case !w.usable():
		return chestnutpond.CauseDraining
	case !w.eligible(now, u):
		return chestnutpond.CauseEjected
	case !allowed:
		return chestnutpond.CauseAdvice
	}
	return ""
}

// shortages returns the dimensions in which the need exceeds the free capacity.
func shortages(need, free chestnutpond.Resources) []chestnutpond.WaitCause {
	var all []chestnutpond.WaitCause
	if need.Accelerators > free.Accelerators {
		all = append(all, chestnutpond.CauseAccelerators)
	}
	if need.CPU > free.CPU {
		all = append(all, chestnutpond.CauseCPU)
	}
	if need.Memory > free.Memory {
		all = append(all, chestnutpond.CauseMemory)
	}
	return all
}

// diagnosis says why a unit does not fit now.
type diagnosis struct {
	causes []chestnutpond.WaitCause
	// never means that it does not fit on the workers that are known even when they are empty.
	never bool
}

func waitsFor(causes ...chestnutpond.WaitCause) diagnosis { return diagnosis{causes: causes} }

// diagnose returns why the unit does not fit if it is its turn; the zero value if it fits.
func (p *Planner) diagnose(now time.Duration, u unit) diagnosis {
	if p.mustSettle(u) {
		return waitsFor(chestnutpond.CauseSettling)
	}
	all := func(*worker) bool { return true }
	candidates := p.candidates(now, u, all)
	if p.fitOn(now, u, candidates, p.available(now, u)) != nil {
		return diagnosis{}
	}
	if cause := p.impossible(u); cause != "" {
		if !p.settled {
			return waitsFor(chestnutpond.CauseSettling)
		}
		return diagnosis{causes: []chestnutpond.WaitCause{cause}, never: true}
	}
	if pack(u, candidates, capacity) == nil {
		return p.diagnoseExclusion(now, u, candidates)
	}
	return p.diagnoseCapacity(now, u, candidates)
}

// capacity is the capacityFunc of empty workers.
func capacity(w *worker) chestnutpond.Resources { return w.info.Capacity }

// impossible returns why the unit could not run even if all workers that are known were empty
// and sound; empty if it could.
func (p *Planner) impossible(u unit) chestnutpond.WaitCause {
	def := u.step.def
	var served, labelled []*worker
	evacuated := true
	for _, w := range p.sortedWorkers {
		if !w.reported || w.left || w.info.Service != u.job().graph.Queue.Service {
			continue
		}
		served = append(served, w)
		evacuated = evacuated && w.evacuated
		if w.info.HasLabel(def.Label) {
			labelled = append(labelled, w)
		}
	}
	switch {
	case len(served) == 0:
		return chestnutpond.CauseNoWorkers
	case len(labelled) == 0:
		return chestnutpond.CauseLabel
	case !holds(u, labelled):
		return chestnutpond.CauseTooLarge
	case evacuated:
		return chestnutpond.CauseAllZonesEvacuated
	}
	return ""
}

// holds reports whether the unit fits on empty workers.
func holds(u unit, workers []*worker) bool {
	if len(u.tasks) > 1 {
		return pack(u, workers, capacity) != nil
	}
	return slices.ContainsFunc(workers, func(w *worker) bool { return w.info.Capacity.Covers(u.step.def.Reserved()) })
}

// diagnoseExclusion returns the reason for which so many workers are excluded that the unit
// would not fit on the others if they were empty: the one without which it would, or all.
func (p *Planner) diagnoseExclusion(now time.Duration, u unit, candidates []*worker) diagnosis {
	excluded := map[chestnutpond.WaitCause][]*worker{}
	for _, w := range p.sortedWorkers {
		if reason := p.exclusion(now, u, w); reason != "" && w.reported && !w.left {
			excluded[reason] = append(excluded[reason], w)
		}
	}
	delete(excluded, chestnutpond.CauseOtherService)
	delete(excluded, chestnutpond.CauseLabel)
	reasons := slices.Sorted(maps.Keys(excluded))
	for _, reason := range reasons {
		if pack(u, slices.Concat(candidates, excluded[reason]), capacity) != nil {
			return waitsFor(reason)
		}
	}
	if len(reasons) == 0 {
		return waitsFor(chestnutpond.CausePerWorker)
	}
	return waitsFor(reasons...)
}

// diagnoseCapacity returns what the unit lacks on the candidates, which would hold it if they
// were empty.
func (p *Planner) diagnoseCapacity(now time.Duration, u unit, candidates []*worker) diagnosis {
	available := p.available(now, u)
	if pack(u, candidates, available) != nil {
		return waitsFor(chestnutpond.CauseRack)
	}
	if p.fitOn(now, u, candidates, (*worker).free) != nil {
		return waitsFor(chestnutpond.CauseReserved)
	}
	if u.step.def.DataRack != "" {
		others := slices.DeleteFunc(slices.Clone(p.sortedWorkers), func(w *worker) bool { return p.exclusion(now, u, w) != "" })
		if pack(u, others, available) != nil {
			return waitsFor(chestnutpond.CauseRack)
		}
	}
	const plenty = math.MaxInt64 / 2
	relax := func(keep chestnutpond.WaitCause) capacityFunc {
		return func(w *worker) chestnutpond.Resources {
			free, all := available(w), chestnutpond.Resources{CPU: plenty, Memory: plenty, Accelerators: plenty}
			switch keep {
			case chestnutpond.CauseAccelerators:
				all.Accelerators = free.Accelerators
			case chestnutpond.CauseCPU:
				all.CPU = free.CPU
			case chestnutpond.CauseMemory:
				all.Memory = free.Memory
			}
			return all
		}
	}
	if pack(u, candidates, relax("")) == nil {
		return waitsFor(chestnutpond.CausePerWorker)
	}
	var causes []chestnutpond.WaitCause
	for _, c := range []chestnutpond.WaitCause{chestnutpond.CauseAccelerators, chestnutpond.CauseCPU, chestnutpond.CauseMemory} {
		if p.fitOn(now, u, candidates, relax(c)) == nil {
			causes = append(causes, c)
		}
	}
	if len(causes) == 0 {
		return waitsFor(chestnutpond.CauseCombination)
	}
	return waitsFor(causes...)
}
