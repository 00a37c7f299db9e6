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

// avoidPeriod is how long a task waits for another worker than the one on which it last
// failed or from which it was moved.
const avoidPeriod = 2 * time.Second

// avoidWorker makes the task prefer other workers than the given one.
func (t *task) avoidWorker(now time.Duration, id string) {
	t.avoid, t.avoidUntil = id, now+avoidPeriod
}

// fit returns a worker for each task of the unit, or nil if the unit does not fit.
// Slow workers and those on which a task of the unit last failed are used only if
// it does not fit on others.
func (p *Planner) fit(now time.Duration, u unit, free capacityFunc) []*worker {
	healthy := func(w *worker) bool { return !w.health.slow.avoided(now) && !u.avoids(w) }
	if chosen := p.fitOn(now, u, p.candidates(now, u, healthy), free); chosen != nil {
		return chosen
	}
	all := p.candidates(now, u, func(*worker) bool { return true })
	others := slices.DeleteFunc(slices.Clone(all), u.avoids)
	if len(others) == len(all) {
		return p.fitOn(now, u, all, free)
	}
	if chosen := p.fitOn(now, u, others, free); chosen != nil {
		return chosen
	}
	if until := u.avoidUntil(); now < until && p.fitOn(now, u, others, p.availableAt(now, until)) != nil {
		// Wait: other workers are expected to have capacity soon.
		return nil
	}
	return p.fitOn(now, u, all, free)
}

// avoids reports whether a task of the unit prefers other workers than w.
func (u unit) avoids(w *worker) bool {
	return slices.ContainsFunc(u.tasks, func(t *task) bool { return t.avoid == w.id })
}

// avoidUntil returns the time until which the unit waits for workers that none of its
// tasks avoids.
func (u unit) avoidUntil() time.Duration {
	until := time.Duration(0)
	for _, t := range u.tasks {
		until = max(until, t.avoidUntil)
	}
	return until
}

// fitOn is fit restricted to the given workers.
func (p *Planner) fitOn(now time.Duration, u unit, candidates []*worker, free capacityFunc) []*worker {
	if u.step.def.SameRack && len(u.tasks) > 1 {
		return p.fitRack(now, u, candidates, free)
	}
	return pack(u, candidates, free)
}

// candidates returns the workers that may run the unit and that accept selects. While the
// unit waits for the rack of its step's data, and that can ever hold it, it returns only those
// on that rack.
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
	if def.DataRack == "" || !p.awaitsRack(now, u) {
		return all
	}
	near := slices.DeleteFunc(slices.Clone(all), func(w *worker) bool { return w.info.Rack != def.DataRack })
	if !p.canEverHold(now, u, near) {
		return all
	}
	return near
}

// fitRack fits a unit on a single rack, preferring the one with the fewest free
// accelerators. A unit that no rack can ever hold, or that no longer waits for one, may span
// racks.
func (p *Planner) fitRack(now time.Duration, u unit, candidates []*worker, free capacityFunc) []*worker {
	var best []*worker
	var bestLeft int64
	possible, awaits := false, p.awaitsRack(now, u)
	for _, rack := range groupByRack(candidates) {
		if awaits && pack(u, rack, p.releasable(now)) != nil {
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

// canEverHold reports whether the unit fits on the workers once all runs have ended that
// are expected to end.
func (p *Planner) canEverHold(now time.Duration, u unit, workers []*worker) bool {
	free := p.releasable(now)
	if len(u.tasks) > 1 || u.step.def.Perpetual {
		return p.fitOn(now, u, workers, free) != nil
	}
	need := u.step.def.Reserved()
	return slices.ContainsFunc(workers, func(w *worker) bool { return free(w).Covers(need) })
}

// releasable returns the capacity of workers all of whose runs have ended that are
// expected to end.
func (p *Planner) releasable(now time.Duration) capacityFunc {
	return func(w *worker) chestnutpond.Resources {
		all := p.releases(now, w)
		return all[len(all)-1].free
	}
}

// pack assigns each task to the worker with the least free capacity that holds it
// (best-fit bin packing). It returns nil unless all tasks fit.
func pack(u unit, candidates []*worker, free capacityFunc) []*worker {
	def := u.step.def
	need := def.Reserved()
	taken := map[*worker]chestnutpond.Resources{}
	// count has the tasks of the step on each worker, added those of the unit.
	count, added := u.step.tasksByWorker(), map[*worker]int{}
	chosen := make([]*worker, 0, len(u.tasks))
	for _, t := range u.tasks {
		var best *worker
		var bestLeft chestnutpond.Resources
		for _, w := range candidates {
			left := free(w).Minus(taken[w])
			if !left.Covers(need) || def.PerWorker > 0 && count[w] >= def.PerWorker || w.full(u, added[w]) {
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
		added[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// tasksByWorker returns the number of the step's tasks that are assigned to each worker. It
// is empty if their number is not limited.
func (s *step) tasksByWorker() map[*worker]int {
	count := map[*worker]int{}
	if s.def.PerWorker == 0 {
		return count
	}
	for _, t := range s.tasks {
		if t.current != nil {
			count[t.current.worker]++
		}
	}
	return count
}

// betterFit reports whether worker a is a better fit for the task than b.
func betterFit(t *task, a *worker, aLeft chestnutpond.Resources, b *worker, bLeft chestnutpond.Resources) bool {
	rack := t.step.def.DataRack
	order := cmp.Or(
		compareBool(t.avoid == a.id, t.avoid == b.id),
		compareBool(a.health.suspect(), b.health.suspect()),
		compareBool(rack != "" && a.info.Rack != rack, rack != "" && b.info.Rack != rack),
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
