package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// minProgress is the progress, in percent, from which on a run's end is
	// predicted from its own rate. Workers report whole percents.
	minProgress = 4
	// minRemaining is the lower bound of a predicted remaining time.
	minRemaining = 50 * time.Millisecond
	// overdueGrace is how late an expected event may be without being overdue. It covers
	// the time between two reports and the start of a run.
	overdueGrace = time.Second
)

// remaining returns how much longer a run is expected to take; false if it is not
// expected to end. The members of a gang end with the slowest of them.
func (p *Planner) remaining(now time.Duration, r *run) (time.Duration, bool) {
	if r.stopping {
		return outstanding(0, now-r.stoppingSince), true
	}
	if r.task.step.def.Perpetual {
		return 0, false
	}
	if !r.task.step.def.Gang {
		return p.remainingOwn(now, r), true
	}
	longest := minRemaining
	for _, t := range r.task.step.tasks {
		if t.current != nil && t.current.number == r.number {
			longest = max(longest, p.remainingOwn(now, t.current))
		}
	}
	return longest, true
}

// remainingOwn returns how much longer a run's own work is expected to take,
// regardless of its gang.
func (p *Planner) remainingOwn(now time.Duration, r *run) time.Duration {
	expected := p.expectedDuration(r.task.step)
	if r.phase != runSeen {
		return expected + max(0, now-r.assigned-overdueGrace)
	}
	if each, ok := r.timePerPercent(); ok {
		return outstanding(each*time.Duration(100-r.percent), now-r.progressAt)
	}
	return outstanding(expected*time.Duration(100-r.percent)/100, now-max(r.seen, r.progressAt))
}

// outstanding returns how much of an expected time is left after a wait. What is overdue
// is expected to be so for as long again, so that an event that never comes is not
// expected at any moment for ever.
func outstanding(expected, waited time.Duration) time.Duration {
	return max(minRemaining, expected-waited, waited-expected-overdueGrace)
}

// release is the expected free capacity of a worker from a time on.
type release struct {
	at   time.Duration
	free chestnutpond.Resources
}

// releases returns the expected free capacity of a worker in order of time,
// beginning with the current one. Runs that are not expected to end release none.
func (p *Planner) releases(now time.Duration, w *worker) []release {
	if f := &w.releaseCache; f.at == now && f.version == w.version && f.releases != nil {
		return f.releases
	}
	all := p.computeReleases(now, w)
	w.releaseCache = releaseCache{at: now, version: w.version, releases: all}
	return all
}

// releaseCache has the releases of a worker at a time, for a version of its orders.
type releaseCache struct {
	at       time.Duration
	version  int64
	releases []release
}

func (p *Planner) computeReleases(now time.Duration, w *worker) []release {
	all := []release{{at: now, free: w.free()}}
	runs := w.sortedRuns()
	type ending struct {
		at   time.Duration
		need chestnutpond.Resources
	}
	ends := make([]ending, 0, len(runs))
	for _, r := range runs {
		if left, expected := p.remaining(now, r); expected {
			ends = append(ends, ending{now + left, r.need})
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	free := w.free()
	for _, e := range ends {
		free = free.Plus(e.need)
		all = append(all, release{at: e.at, free: free})
	}
	return all
}

// freeAt returns the expected free capacity of a worker at a time if nothing is
// started until then.
func (p *Planner) freeAt(now time.Duration, w *worker, at time.Duration) chestnutpond.Resources {
	var free chestnutpond.Resources
	for _, r := range p.releases(now, w) {
		if r.at <= at {
			free = r.free
		}
	}
	return free
}

// reservation reserves capacity of a worker for a unit that starts at a later time.
type reservation struct {
	at   time.Duration
	need chestnutpond.Resources
}

// available returns the capacity for a unit that starts now: the free capacity less
// that needed by reservations that start before the unit is expected to end. A unit
// that fits is backfilled without delaying them.
func (p *Planner) available(now time.Duration, u unit) capacityFunc {
	end, avoids := now+p.expectedDuration(u.step), p.avoidsKeptFree(u)
	cache := map[*worker]chestnutpond.Resources{}
	return func(w *worker) chestnutpond.Resources {
		if free, ok := cache[w]; ok {
			return free
		}
		free := w.free()
		if avoids && p.keptFree(now, w.info.Service)[w] {
			free = chestnutpond.Resources{}
		}
		var reserved chestnutpond.Resources
		for _, b := range p.reserved[w] {
			reserved = reserved.Plus(b.need)
			if end > b.at {
				free = minResources(free, p.freeAt(now, w, b.at).Minus(reserved))
			}
		}
		cache[w] = free
		return free
	}
}

// availableAt returns the capacity for a unit that starts at a given time.
func (p *Planner) availableAt(now, at time.Duration) capacityFunc {
	cache := map[*worker]chestnutpond.Resources{}
	return func(w *worker) chestnutpond.Resources {
		if free, ok := cache[w]; ok {
			return free
		}
		free := p.freeAt(now, w, at)
		for _, b := range p.reserved[w] {
			free = free.Minus(b.need)
		}
		cache[w] = free
		return free
	}
}

func minResources(a, b chestnutpond.Resources) chestnutpond.Resources {
	return chestnutpond.Resources{
		CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// reserve reserves the chosen workers for a unit that starts at a given time.
func (p *Planner) reserve(u unit, chosen []*worker, at time.Duration) {
	p.trial.observeReservation(u, at)
	for _, w := range chosen {
		p.reserved[w] = append(p.reserved[w], reservation{at: at, need: u.step.def.Reserved()})
	}
}

const (
	// reserveHorizon limits how far ahead a reservation may start; most runs end
	// within it.
	reserveHorizon = 12 * time.Second
	// reserveStep is the interval between the start times that are tried.
	reserveStep = 300 * time.Millisecond
	// maxReservations limits the units that reserveEarliest reserves capacity for
	// in one round.
	maxReservations = 4
)

// reserveEarliest reserves workers for a unit at the earliest time at which it
// fits, so that smaller units that come later do not starve it.
func (p *Planner) reserveEarliest(now time.Duration, u unit) {
	if p.reservations >= maxReservations || p.impossible(u) != "" {
		return
	}
	for wait := reserveStep; wait <= reserveHorizon; wait += reserveStep {
		if chosen := p.fit(now, u, p.availableAt(now, now+wait)); chosen != nil {
			p.reserve(u, chosen, now+wait)
			p.reservations++
			return
		}
	}
}
