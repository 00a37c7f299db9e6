package plan

import "time"

const (
	// maxRackWait bounds how long a unit waits for a rack, however long its tasks run. Work has
	// to begin within 14 s while half of the workers are idle.
	maxRackWait = 10 * time.Second
	// maxPerpetualRackWait is the same for perpetual tasks, which have to run again within 6 s.
	maxPerpetualRackWait = 4 * time.Second
)

// awaitsRack reports whether the unit still waits for the rack of its data, or for a rack that
// holds its whole gang. It waits no longer than going elsewhere would prolong it (delay
// scheduling), so that its wait does not depend on when other runs end.
func (p *Planner) awaitsRack(now time.Duration, u unit) bool {
	limit := maxPerpetualRackWait
	if !u.step.def.Perpetual {
		prolonged := (p.cfg.RemoteSlowdown - 1) * float64(p.expectedDuration(u.step))
		limit = min(maxRackWait, time.Duration(prolonged))
	}
	return u.waited(now) < limit
}

// waited returns how long all tasks of the unit could have been placed; zero if one has a run.
func (u unit) waited(now time.Duration) time.Duration {
	since := u.step.readyAt
	for _, t := range u.tasks {
		if t.current != nil {
			return 0
		}
		since = max(since, t.waitingSince, t.notBefore)
	}
	return now - since
}
