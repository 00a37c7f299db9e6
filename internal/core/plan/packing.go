package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// urgentWindow is the time over which the need of urgent arrivals is averaged.
	urgentWindow = 10 * time.Second
	// maxHeadroomShare limits the share of a service's workers that are kept free.
	maxHeadroomShare = 0.2
	// nearlyDone is the rest of a task that may use a worker that is kept free: an urgent
	// gang would wait about as long for a run to stop.
	nearlyDone = time.Second
)

// urgentDemand is the need of the recent urgent arrivals of a service.
type urgentDemand struct {
	// workers is the mean number of whole workers that they occupy, by their rate, size and
	// duration, at the time at.
	workers float64
	at      time.Duration
}

// now returns the demand at a time; it decays to nothing if nothing arrives.
func (d urgentDemand) now(now time.Duration) float64 {
	return d.workers * math.Exp(-(now-d.at).Seconds()/urgentWindow.Seconds())
}

// observeArrival takes an urgent job that is due for the first time.
func (p *Planner) observeArrival(now time.Duration, j *job) {
	if !p.cfg.Policy.Headroom || j.graph.Queue.Priority != 0 {
		return
	}
	service := j.graph.Queue.Service
	d := p.urgent[service]
	size, workers := 0.0, float64(p.serviceWorkers(service))
	for _, s := range j.occurrences[0].steps {
		if s.def.Perpetual {
			continue
		}
		share := dominantShare(s.def.Reserved(), p.serviceCapacity(service)) * float64(s.def.Count)
		size += share * workers * p.expectedDuration(s).Seconds()
	}
	p.urgent[service] = urgentDemand{workers: d.now(now) + size/urgentWindow.Seconds(), at: now}
}

// dominantShare returns the largest share of the capacity that a need takes.
func dominantShare(need, capacity chestnutpond.Resources) float64 {
	share := 0.0
	if capacity.CPU > 0 {
		share = max(share, float64(need.CPU)/float64(capacity.CPU))
	}
	if capacity.Memory > 0 {
		share = max(share, float64(need.Memory)/float64(capacity.Memory))
	}
	if capacity.Accelerators > 0 {
		share = max(share, float64(need.Accelerators)/float64(capacity.Accelerators))
	}
	return share
}

// serviceWorkers returns the number of usable workers of a service.
func (p *Planner) serviceWorkers(service string) int {
	n := 0
	for _, w := range p.sortedWorkers {
		if w.usable() && w.info.Service == service {
			n++
		}
	}
	return n
}

// keptFree returns the workers that are kept free in the current round: whole free ones of
// the racks that have most of them, so that gangs fit on a rack.
func (p *Planner) keptFree(now time.Duration, service string) map[*worker]bool {
	if kept, ok := p.headroom[service]; ok {
		return kept
	}
	kept := map[*worker]bool{}
	p.headroom[service] = kept
	busy := 0.0
	var empty []*worker
	for _, w := range p.sortedWorkers {
		if !w.usable() || w.info.Service != service {
			continue
		}
		if len(w.runs) == 0 {
			empty = append(empty, w)
		}
		for _, r := range w.sortedRuns() {
			if r.job().graph.Queue.Priority == 0 && !r.stopping && !r.task.step.def.Perpetual {
				busy += dominantShare(r.need, w.info.Capacity)
			}
		}
	}
	want := math.Round(min(p.urgent[service].now(now)-busy, maxHeadroomShare*float64(p.serviceWorkers(service))))
	racks := groupByRack(empty)
	slices.SortStableFunc(racks, func(a, b []*worker) int { return -cmp.Compare(len(a), len(b)) })
	for _, w := range slices.Concat(racks...) {
		if float64(len(kept)) < want {
			kept[w] = true
		}
	}
	return kept
}

// avoidsKeptFree reports whether the unit leaves the workers that are kept free alone. Urgent
// work may use them, work that loses little if it is preempted, and work that cannot be in
// time any more, so that a gang that needs most workers is not held back for ever.
func (p *Planner) avoidsKeptFree(u unit) bool {
	if !p.cfg.Policy.Headroom || u.job().graph.Queue.Priority == 0 {
		return false
	}
	checkpointed := !slices.ContainsFunc(u.tasks, func(t *task) bool { return t.checkpoint == "" })
	if u.step.def.Checkpointable && checkpointed || p.expectedDuration(u.step) <= nearlyDone {
		return false
	}
	return p.timeliness(u) == onTime
}
