package plan

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// reasonZoneEvacuated is the reason for stopping a run in an evacuated zone.
const reasonZoneEvacuated = "zone is evacuated"

// SetEvacuations replaces the set of zones that operators evacuate. Runs in an evacuated
// zone that no worker has listed are stopped and placed elsewhere. Runs that are at work
// there continue to their end; perpetual ones are moved one at a time.
func (p *Planner) SetEvacuations(now time.Duration, e chestnutpond.Evacuations) {
	if e.Equal(p.evacuations) {
		return
	}
	p.evacuations = e
	for _, w := range p.sortedWorkers {
		p.updateEvacuated(now, w)
	}
}

// updateEvacuated applies the evacuations to a worker.
func (p *Planner) updateEvacuated(now time.Duration, w *worker) {
	evacuated := p.evacuations.Contains(w.info.Zone)
	if evacuated != w.evacuated {
		w.evacuated = evacuated
		w.version++
	}
	if evacuated && w.listed {
		p.stopUnseen(now, w)
	}
}

// stopUnseen stops the runs that an evacuated worker has not listed. Those that it started
// before the new orders reach it are stopped too.
func (p *Planner) stopUnseen(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.phase == runSeen || r.stopping {
			continue
		}
		p.stop(now, r, reasonZoneEvacuated)
		p.stopGang(now, r.task.step, r.number)
	}
}

// movePerpetual moves one perpetual run off an evacuated worker if it fits elsewhere and
// enough tasks of its step remain available.
func (p *Planner) movePerpetual(now time.Duration, w *worker) {
	if !w.evacuated {
		return
	}
	for _, r := range w.sortedRuns() {
		def := r.task.step.def
		if !def.Perpetual || r.phase != runSeen || !r.listed || r.stopping || r.superseded || !mayPreempt(r, nil, nil) {
			continue
		}
		p.moveIfFits(now, r, reasonZoneEvacuated)
		if r.stopping {
			return
		}
	}
}

// SetStartsHeld holds back all starts, or ends that. The caller holds them while it cannot
// know which zones operators evacuate.
func (p *Planner) SetStartsHeld(held bool) {
	if held == p.startsHeld {
		return
	}
	p.startsHeld = held
	for _, w := range p.sortedWorkers {
		w.version++
	}
}

// mayStart reports whether orders to start runs on the worker may be handed out.
func (p *Planner) mayStart(w *worker) bool { return !w.evacuated && !p.startsHeld }

// EvacuatedRuns returns the number of runs that may exist in each evacuated zone.
func (p *Planner) EvacuatedRuns() map[string]int {
	runs := map[string]int{}
	for _, zone := range p.evacuations.Zones() {
		runs[zone] = 0
	}
	for _, w := range p.sortedWorkers {
		if !w.evacuated {
			continue
		}
		for _, r := range w.runs {
			if r.mayExist() {
				runs[w.info.Zone]++
			}
		}
	}
	return runs
}
