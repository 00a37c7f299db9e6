package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// reasonZoneEvacuated is the reason for stopping an attempt that was placed in a zone
// under evacuation and has not started.
const reasonZoneEvacuated = "zone is evacuated"

// SetEvacuations replaces the set of zones that operators evacuate. Workers there get no
// jobs, and cells move off them. Attempts that have not started there are stopped and
// placed elsewhere; attempts that run continue to their end.
func (c *Core) SetEvacuations(now time.Duration, e chestnutpond.Evacuations) {
	c.advance(now)
	if e.Equal(c.evacuations) {
		return
	}
	c.evacuations = e
	for _, r := range c.fleet.racks {
		for _, w := range r.workers {
			if c.updateEvacuated(w) {
				c.fleet.recount(w)
			}
		}
	}
}

// updateEvacuated applies the evacuations to a worker and reports whether they changed
// it. The caller recounts the worker.
func (c *Core) updateEvacuated(w *worker) bool {
	evacuated := c.evacuations.Contains(w.Zone)
	if evacuated == w.evacuated {
		return false
	}
	w.evacuated = evacuated
	if !evacuated {
		c.cellsDirty = c.cellsDirty || c.uncovered > 0 || len(c.restored) > 0
		return true
	}
	c.unbindCells(w)
	c.requeueClaims(w)
	for i := range w.slots {
		if j := w.slots[i].job; j != nil && j.state == stateStarting {
			c.preempt(j, "", reasonZoneEvacuated)
		}
	}
	return true
}

// EvacuatedJobs returns the number of jobs that hold accelerators in each evacuated zone.
func (c *Core) EvacuatedJobs() map[string]int {
	jobs := map[string]int{}
	for _, zone := range c.evacuations.Zones() {
		jobs[zone] = 0
	}
	for _, z := range c.fleet.zones {
		if !c.evacuations.Contains(z.name) {
			continue
		}
		held := map[*job]bool{}
		for _, r := range z.racks {
			for _, w := range r.workers {
				for i := range w.slots {
					if j := w.slots[i].job; j != nil {
						held[j] = true
					}
				}
			}
		}
		jobs[z.name] = len(held)
	}
	return jobs
}
