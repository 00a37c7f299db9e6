package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// capacityFunc returns the capacity of a worker that a search may use.
type capacityFunc func(w *worker) chestnutpond.Resources

// fit returns a worker for each task of the unit, or nil if the unit does not fit.
// Slow workers and those on which a task of the unit last failed are used only if
// it does not fit on others.
func (p *Planner) fit(now time.Duration, u unit, free capacityFunc) []*worker {
	healthy := func(w *worker) bool {
		return now-w.health.slowAt >= slowPeriod && !slices.ContainsFunc(u.tasks, func(t *task) bool { return t.avoid == w.id })
	}
	if chosen := p.fitOn(u, p.candidates(now, u, healthy), free); chosen != nil {
		return chosen
	}
	all := p.candidates(now, u, func(*worker) bool { return true })
	if slices.ContainsFunc(u.tasks, func(t *task) bool { return t.avoid != "" }) && len(all) > len(u.tasks) {
		// Enough other workers may run the unit; wait until they have capacity.
		all = slices.DeleteFunc(all, func(w *worker) bool { return u.tasks[0].avoid == w.id })
	}
	return p.fitOn(u, all, free)
}

// fitOn is fit restricted to the given workers.
func (p *Planner) fitOn(u unit, candidates []*worker, free capacityFunc) []*worker {
	if u.step.def.SameRack && len(u.tasks) > 1 {
		return p.fitRack(u, candidates, free)
	}
	return pack(u, candidates, free)
}

// candidates returns the workers that may run the unit and that accept selects. If
// any of them is on the rack of the step's data, it returns only those on that
// rack.
func (p *Planner) candidates(now time.Duration, u unit, accept func(w *worker) bool) []*worker {
	def := u.step.def
	var all []*worker
	for _, w := range p.sortedWorkers {
		if !w.usable() || w.info.Service != u.job().graph.Queue.Service || !w.info.HasLabel(def.Label) {
			continue
		}
		if _, allowed := p.ticket(now, u.step, w); allowed && w.eligible(now, u) && accept(w) {
			all = append(all, w)
		}
	}
	if def.DataRack == "" {
		return all
	}
	near := slices.DeleteFunc(slices.Clone(all), func(w *worker) bool { return w.info.Rack != def.DataRack })
	if len(near) == 0 {
		return all
	}
	return near
}

// fitRack fits a unit on a single rack, preferring the one with the fewest free
// accelerators. A unit that no rack could hold even when empty may span racks.
func (p *Planner) fitRack(u unit, candidates []*worker, free capacityFunc) []*worker {
	var best []*worker
	var bestLeft int64
	possible := false
	for _, rack := range groupByRack(candidates) {
		if pack(u, rack, totalCapacity) != nil {
			possible = true
		}
		chosen := pack(u, rack, free)
		if chosen == nil {
			continue
		}
		left := int64(0)
		for _, w := range rack {
			left += free(w).Accelerators
		}
		if best == nil || left < bestLeft {
			best, bestLeft = chosen, left
		}
	}
	if best == nil && !possible {
		return pack(u, candidates, free)
	}
	return best
}

// groupByRack groups the workers by rack, in order of rack name.
func groupByRack(workers []*worker) [][]*worker {
	byName := map[string][]*worker{}
	for _, w := range workers {
		byName[w.info.Rack] = append(byName[w.info.Rack], w)
	}
	var racks [][]*worker
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		racks = append(racks, byName[name])
	}
	return racks
}

// totalCapacity is the capacityFunc of idle workers.
func totalCapacity(w *worker) chestnutpond.Resources { return w.info.Capacity }

// pack assigns each task to the worker with the least free capacity that holds it
// (best-fit bin packing). It returns nil unless all tasks fit.
func pack(u unit, candidates []*worker, free capacityFunc) []*worker {
	def := u.step.def
	need := def.Reserved()
	taken := map[*worker]chestnutpond.Resources{}
	count := map[*worker]int{}
	if def.PerWorker > 0 {
		for _, t := range u.step.tasks {
			if t.current != nil {
				count[t.current.worker]++
			}
		}
	}
	chosen := make([]*worker, 0, len(u.tasks))
	for _, t := range u.tasks {
		var best *worker
		var bestLeft chestnutpond.Resources
		for _, w := range candidates {
			left := free(w).Minus(taken[w])
			if !left.Covers(need) || def.PerWorker > 0 && count[w] >= def.PerWorker {
				continue
			}
			if best == nil || betterFit(t, w, left, best, bestLeft) {
				best, bestLeft = w, left
			}
		}
		if best == nil {
			return nil
		}
		taken[best] = taken[best].Plus(need)
		count[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// betterFit reports whether worker a is a better fit for the task than b.
func betterFit(t *task, a *worker, aLeft chestnutpond.Resources, b *worker, bLeft chestnutpond.Resources) bool {
	order := cmp.Or(
		compareBool(t.avoid == a.id, t.avoid == b.id),
		compareBool(a.health.suspect(), b.health.suspect()),
		cmp.Compare(aLeft.Accelerators, bLeft.Accelerators),
		cmp.Compare(aLeft.Memory, bLeft.Memory),
		cmp.Compare(a.id, b.id),
	)
	return order < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
