package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// AccountStatus is the resource usage of one account in the region.
type AccountStatus struct {
	Account string
	// Guaranteed is the number of guaranteed accelerators, Used that of held
	// ones, Borrowed that of those held by borrowers.
	Guaranteed, Used, Borrowed int
	// Waiting is the number of waiting jobs, including those with a claim.
	Waiting int
	// Covered means that each guarantee is bound to accelerators.
	Covered bool
	// Debt is the total time during which guaranteed jobs of the account waited
	// for preempted work to stop.
	Debt time.Duration
}

// Status returns the status of all accounts, sorted by name.
func (c *Core) Status(now time.Duration) []AccountStatus {
	c.advance(now)
	out := make([]AccountStatus, 0, len(c.ordered))
	for _, a := range c.ordered {
		s := AccountStatus{
			Account: a.name, Guaranteed: a.guaranteed, Used: a.used, Borrowed: a.borrowed,
			Waiting: a.waiting, Covered: true, Debt: a.debt,
		}
		for _, j := range c.claims {
			if j.account == a {
				s.Waiting++
			}
		}
		if a.claims > 0 {
			s.Debt += c.now - a.debtSince
		}
		for _, cl := range a.cells {
			s.Covered = s.Covered && cl.covered()
		}
		out = append(out, s)
	}
	return out
}

// Ejected returns the names of the ejected workers, in the order of their
// ejection.
func (c *Core) Ejected() []string {
	names := make([]string, 0, len(c.ejected))
	for _, w := range c.ejected {
		names = append(names, w.Name)
	}
	return names
}

// WaitReason returns the reason why a job waits; ok is false if it does not wait.
func (c *Core) WaitReason(id chestnutpond.JobID) (reason string, ok bool) {
	j := c.jobs[id]
	if j == nil || j.state != stateWaiting && j.state != stateDelayed && j.state != stateClaiming {
		return "", false
	}
	switch {
	case j.reason != "":
		return j.reason, true
	case !c.Fits(j.spec.Shape):
		return "no worker, rack or zone that is up can hold its shape", true
	case !c.fitsOn(j.spec.Shape, func(w *worker) bool { return w.up && !w.evacuated }):
		return "only zones under evacuation can hold its shape", true
	case j.state == stateDelayed:
		return "waiting for its next try", true
	}
	return "no free accelerators that are adjacent enough", true
}
