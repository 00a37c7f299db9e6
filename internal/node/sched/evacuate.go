package sched

import (
	"slices"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// evacuationsChanged applies the evacuations to all schedulers.
func (m *Manager) evacuationsChanged() {
	m.mu.Lock()
	regions := m.runningSchedulers()
	m.mu.Unlock()
	for _, r := range regions {
		r.mu.Lock()
		r.loadEvacuations()
		r.mu.Unlock()
		r.wake()
	}
}

// loadEvacuations passes the evacuations of the folded state to the core. The state is
// read under mu, so that the core never gets an older set after a newer one. The caller
// holds mu.
func (r *regionScheduler) loadEvacuations() {
	var zones chestnutpond.Evacuations
	r.mgr.cfg.Tail.View(func(st *ledger.State) { zones = st.EvacuatedZones() })
	r.core.SetEvacuations(r.mgr.now(), zones)
}

// placedInEvacuatedZone reports whether the attempt was placed in a zone that is under
// evacuation according to the folded state.
func (a *attempt) placedInEvacuatedZone() (evacuated bool) {
	a.sched.mgr.cfg.Tail.View(func(st *ledger.State) { evacuated = st.AnyEvacuated(a.zones) })
	return evacuated
}

// zonesOf returns the zones of the workers of an attempt, without duplicates.
func (r *regionScheduler) zonesOf(action place.Action) []string {
	zones := slices.Clone(action.Zones)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// updateEvacuated sets the number of jobs in each zone under evacuation.
func (m *regionMetrics) updateEvacuated(jobs map[string]int) {
	for zone, n := range jobs {
		m.evacuatedZone(zone).Update(int64(n))
	}
	for zone, g := range m.evacuatedJobs {
		if _, evacuated := jobs[zone]; !evacuated {
			g.Update(0)
		}
	}
}

func (m *regionMetrics) evacuatedZone(zone string) metrics.Gauge {
	g, ok := m.evacuatedJobs[zone]
	if !ok {
		g = m.registry.Gauge("evacuated_zone_jobs", "Jobs that hold accelerators in a zone under evacuation.",
			stats.Label{Name: "zone", Value: zone}, m.region)
		m.evacuatedJobs[zone] = g
	}
	return g
}
