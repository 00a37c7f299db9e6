package lead

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// maxOperatorsAgeShare is the share of Config.EvacuationDelay after which requests of the
// operators that have not been read stop all starts. The rest of the delay covers orders that
// are on their way.
const maxOperatorsAgeShare = 0.5

// SetEvacuations replaces the set of zones that the operators evacuate.
func (m *Manager) SetEvacuations(e chestnutpond.Evacuations) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuations = e
	if m.term != nil {
		m.term.planner.SetEvacuations(m.cfg.Now(), e)
	}
	m.wakeUp()
}

// Evacuations returns the zones that the operators evacuate.
func (m *Manager) Evacuations() chestnutpond.Evacuations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations
}

// holdStarts holds back the starts of a term while a request for an evacuation may be
// stored that this entry has not read. The lock is held.
func (m *Manager) holdStarts(t *term, now time.Duration) {
	if m.cfg.EvacuationDelay == 0 {
		return
	}
	age := now - m.cfg.OperatorsFresh()
	held := age > time.Duration(maxOperatorsAgeShare*float64(m.cfg.EvacuationDelay))
	if held != t.startsHeld {
		t.startsHeld = held
		m.cfg.Log.Info("starts held", "held", held, "operators_age", age, "epoch", t.epoch)
		m.meters.setStartsHeld(held)
	}
	t.planner.SetStartsHeld(held)
}

// evacuationViews returns the zones under evacuation, without offsets. The lock is held.
func (m *Manager) evacuationViews() []chestnutpond.EvacuationView {
	var runs map[string]int
	if m.term != nil {
		runs = m.term.planner.EvacuatedRuns()
	}
	views := make([]chestnutpond.EvacuationView, 0, len(m.evacuations.Zones()))
	for _, zone := range m.evacuations.Zones() {
		n, known := runs[zone]
		views = append(views, chestnutpond.EvacuationView{Zone: zone, Runs: n, RunsKnown: known})
	}
	return views
}
