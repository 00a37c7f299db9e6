package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
)

// lateFactor is the multiple of its objective after which a job has no value
// left for its caller.
const lateFactor = fcast.LateFactor

// timeliness classifies a unit by the objective of its job. Units are placed in the
// order of these values.
type timeliness int

const (
	// onTime units can still meet the objective.
	onTime timeliness = iota
	// late units will miss the objective and have less value.
	late
	// expired units have no value left. They are placed when nothing else of their
	// priority waits.
	expired
)

// rankedUnit is a unit with its sort key.
type rankedUnit struct {
	unit

	guaranteed bool
	timeliness timeliness
	slack      time.Duration
}

// units returns the waiting units in the order of placement: by priority, then
// guaranteed work first, then by timeliness. Units that are on time are ordered by
// least slack.
func (p *Planner) units(now time.Duration) []unit {
	var ranked []rankedUnit
	for _, j := range p.active {
		if j.phase.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				ranked = append(ranked, p.rank(s.units(now))...)
			}
		}
	}
	slices.SortStableFunc(ranked, compareRanked)
	all := make([]unit, len(ranked))
	for i := range ranked {
		all[i] = ranked[i].unit
	}
	return all
}

// rank returns the units of one step with their sort key, which they have in
// common.
func (p *Planner) rank(units []unit) []rankedUnit {
	if len(units) == 0 {
		return nil
	}
	key := rankedUnit{guaranteed: p.guaranteed(units[0]), timeliness: p.timeliness(units[0]), slack: p.slack(units[0])}
	all := make([]rankedUnit, len(units))
	for i, u := range units {
		all[i] = key
		all[i].unit = u
	}
	return all
}

func compareRanked(a, b rankedUnit) int {
	order := cmp.Or(
		cmp.Compare(a.job().graph.Queue.Priority, b.job().graph.Queue.Priority),
		-compareBool(a.guaranteed, b.guaranteed),
		cmp.Compare(a.timeliness, b.timeliness),
	)
	if order != 0 || a.timeliness != onTime {
		return order
	}
	return cmp.Compare(a.slack, b.slack)
}

// timeliness returns the unit's class against the objective of its job.
func (p *Planner) timeliness(u unit) timeliness {
	switch slack := p.slack(u); {
	case slack >= 0:
		return onTime
	case slack+(lateFactor-1)*p.objective(u) >= 0:
		return late
	}
	return expired
}

// age returns the time since the unit's occurrence was due, or since its job was
// accepted if that was later.
func (p *Planner) age(u unit) time.Duration {
	due := u.job().graph.Due(u.step.occurrence.number)
	if accepted := u.job().graph.Accepted; due.Before(accepted) {
		due = accepted
	}
	return p.wall.Sub(due)
}

// slack returns how long the start of the unit may be delayed such that its job
// still meets its objective; negative if it is too late.
func (p *Planner) slack(u unit) time.Duration {
	rest := p.criticalPath(u.step.occurrence, func(s *step) time.Duration {
		if s.done {
			return 0
		}
		return p.expectedDuration(s)
	})
	return p.objective(u) - p.age(u) - rest
}

// objective returns the time in which the unit's job should be completed.
func (p *Planner) objective(u unit) time.Duration {
	q := &u.job().graph.Queue
	total := p.criticalPath(u.step.occurrence, func(s *step) time.Duration {
		return p.expectedDuration(s) * time.Duration(p.waves(s))
	})
	return q.TargetLatency + time.Duration(q.Stretch*float64(total))
}

// criticalPath returns the length of the longest path through the steps of an
// occurrence.
func (p *Planner) criticalPath(o *occurrence, length func(s *step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	for i, s := range o.steps {
		start := time.Duration(0)
		for _, a := range s.def.After {
			start = max(start, ends[a])
		}
		ends[i] = start + length(s)
		longest = max(longest, ends[i])
	}
	return longest
}

// waves returns the number of waves in which a step is expected to run.
func (p *Planner) waves(s *step) int {
	return fcast.Waves(s.def, p.serviceCapacity(s.occurrence.job.graph.Queue.Service))
}

// serviceCapacity returns the total capacity of the usable workers of a service.
func (p *Planner) serviceCapacity(service string) chestnutpond.Resources {
	if capacity, ok := p.capacities[service]; ok {
		return capacity
	}
	var capacity chestnutpond.Resources
	for _, w := range p.sortedWorkers {
		if w.usable() && w.info.Service == service {
			capacity = capacity.Plus(w.info.Capacity)
		}
	}
	p.capacities[service] = capacity
	return capacity
}
