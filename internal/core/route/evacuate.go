package route

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// SetEvacuations replaces the set of zones that operators evacuate. Targets there get no
// requests, as if they were draining, even if no others remain. Open requests end with
// End.
func (r *Router) SetEvacuations(now time.Duration, e chestnutpond.Evacuations) {
	if e.Equal(r.evacuations) {
		return
	}
	r.evacuations = e
	for _, t := range r.order {
		evacuated := e.Contains(t.Zone)
		if evacuated == t.evacuated {
			continue
		}
		t.evacuated = evacuated
		r.updateFree(now, t)
		r.restoreLastTargets(now, t.endpoints)
	}
}

// Evacuated reports whether the zone of a target is under evacuation. It is false for an
// unknown target.
func (r *Router) Evacuated(name string) bool {
	t, ok := r.targets[name]
	return ok && t.evacuated
}
