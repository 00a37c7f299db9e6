package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// ActionKind is what the caller of Decide has to do.
type ActionKind int

const (
	// ActionStart starts an attempt. Its accelerators count as held from now
	// on.
	ActionStart ActionKind = iota + 1
	// ActionPreempt stops an attempt with a checkpoint. The caller reports
	// Stopped once no part of it is running.
	ActionPreempt
	// ActionGiveUp ends a job as impossible. The caller then removes it.
	ActionGiveUp
)

// Action is one scheduling decision.
type Action struct {
	Kind    ActionKind
	Job     chestnutpond.JobID
	Attempt int64
	// Placements are the accelerators of the attempt, one entry per member.
	Placements []chestnutpond.Placement
	// Zones are the zones of the workers of a started attempt, one per placement.
	Zones []string
	// Guaranteed means that the job runs on a cell of its account.
	Guaranteed bool
	Reason     string
	// For is the job that a preemption makes room for. It is empty if the job
	// is only migrated to other accelerators.
	For chestnutpond.JobID
}

// Decide returns the actions to take now. A second call without a change in
// between returns none.
func (c *Core) Decide(now time.Duration) []Action {
	c.advance(now)
	c.victimSearches = 0
	c.refresh()
	c.startClaims()
	c.startMigrated()
	c.preemptForReservations()
	// Starting borrowers can end a caller's backlog, which may let its jobs
	// claim more. The loop terminates because each iteration dequeues a job.
	for again := true; again; again = c.needsRecheck() {
		c.claimGuarantees()
		c.startBorrowers()
	}
	c.consolidate()
	actions := c.actions
	c.actions = nil
	return actions
}

// refresh applies changes that depend only on the time, and places cells if
// their bindings may have changed.
func (c *Core) refresh() {
	c.endHold()
	c.recordSuccesses()
	c.endEjections()
	c.endCooldowns()
	for c.delayed.Len() > 0 && c.delayed.Top().notBefore <= c.now {
		j := c.delayed.Top()
		c.detach(j)
		c.enqueue(j)
	}
	if c.cellsDirty {
		c.placeCells()
	}
}

// NextWake returns when Decide should run next if nothing is reported before,
// and whether there is such a time.
func (c *Core) NextWake(time.Duration) (time.Duration, bool) {
	wake, ok := time.Duration(0), false
	add := func(t time.Duration) {
		if !ok || t < wake {
			wake, ok = t, true
		}
	}
	if c.delayed.Len() > 0 {
		add(c.delayed.Top().notBefore)
	}
	if c.consolidates() {
		add(max(c.consolidateAt, c.holdUntil))
	}
	if c.holdUntil > 0 {
		add(c.holdUntil)
	}
	for _, cl := range c.coolingDown {
		add(cl.cooldownUntil)
	}
	for _, w := range c.ejected {
		add(w.ejectedUntil)
	}
	if len(c.successChecks) > 0 {
		add(c.successChecks[0].at)
	}
	for _, sq := range c.queue.subqueues {
		if sq.accounts.Len() > 0 && sq.retryAt > c.now {
			add(sq.retryAt)
		}
	}
	for _, j := range c.claims {
		if !j.guaranteed {
			// Borrowers that have not run long enough to be preempted are
			// checked again.
			add(max(j.reservedAt+c.cfg.ReservationPreemptAfter, c.now+victimSearchRetry))
		}
	}
	return wake, ok
}

// dequeue removes a waiting job from its subqueue.
func (c *Core) dequeue(j *job) {
	c.queue.remove(j)
	c.countWaiting(j, -1)
	j.state = stateDetached
	j.reason = ""
}

// claim claims accelerators for the next attempt of a job. Reservations of
// other jobs on them end.
func (c *Core) claim(j *job, allocs []allocation) {
	j.state = stateClaiming
	j.claim = allocs
	c.claims = append(c.claims, j)
	for _, h := range allocs {
		for _, i := range h.index {
			s := &h.w.slots[i]
			if s.claim != nil {
				c.requeue(s.claim)
			}
			s.claim = j
		}
		c.fleet.recount(h.w)
	}
}

// releaseClaim ends the claim of a job.
func (c *Core) releaseClaim(j *job) {
	for _, h := range j.claim {
		for _, i := range h.index {
			if h.w.slots[i].claim == j {
				h.w.slots[i].claim = nil
			}
		}
	}
	for _, h := range j.claim {
		c.fleet.recount(h.w)
	}
	j.claim = nil
	c.claims = without(c.claims, j)
	c.settleDebt(j)
	if j.cell != nil {
		c.releaseCell(j)
	}
	j.guaranteed = false
	j.state = stateDetached
}

// settleDebt stops counting guarantee debt for a claim that waited for
// preempted work, and adds the elapsed time to the account's debt if it was the
// last one.
func (c *Core) settleDebt(j *job) {
	a := j.account
	if !j.guaranteed || a.claims == 0 || j.reason == "" {
		return
	}
	a.claims--
	if a.claims == 0 {
		a.debt += c.now - a.debtSince
	}
}

// requeue ends the claim of a job and queues it again.
func (c *Core) requeue(j *job) {
	c.releaseClaim(j)
	j.reason = ""
	c.enqueue(j)
}

// requeueClaims requeues the jobs with claims on a worker that is no longer
// usable.
func (c *Core) requeueClaims(w *worker) {
	for i := range w.slots {
		if j := w.slots[i].claim; j != nil {
			c.requeue(j)
		}
	}
}

// startClaims starts the claiming jobs whose accelerators are all free.
func (c *Core) startClaims() {
	for i := 0; i < len(c.claims); {
		j := c.claims[i]
		if !allFree(j.claim) {
			i++
			continue
		}
		c.startClaimed(j)
	}
}

func allFree(allocs []allocation) bool {
	for _, h := range allocs {
		for _, i := range h.index {
			if h.w.slots[i].job != nil {
				return false
			}
		}
	}
	return true
}

// startClaimed starts an attempt on the claimed accelerators.
func (c *Core) startClaimed(j *job) {
	allocs := j.claim
	for _, h := range allocs {
		for _, i := range h.index {
			h.w.slots[i].claim = nil
		}
	}
	j.claim = nil
	c.claims = without(c.claims, j)
	c.settleDebt(j)
	c.start(j, allocs)
}

// start starts the next attempt of a job on free accelerators.
func (c *Core) start(j *job, allocs []allocation) {
	j.state = stateStarting
	c.allocate(j, allocs)
	j.reason = ""
	j.attempt++
	c.actions = append(c.actions, Action{
		Kind: ActionStart, Job: j.spec.ID, Attempt: j.attempt,
		Placements: j.placements(allocs), Zones: zonesOf(allocs), Guaranteed: j.guaranteed,
	})
}

// startBorrower starts a waiting job as a borrower.
func (c *Core) startBorrower(j *job, picks []pick) {
	c.dequeue(j)
	c.start(j, allocateFree(picks))
}

// allocateFree selects free accelerators, preferring those outside cells.
func allocateFree(picks []pick) []allocation {
	allocs := make([]allocation, 0, len(picks))
	for _, p := range picks {
		allocs = append(allocs, allocation{p.w, p.w.selectSlots(p.n, func(s *slot) int {
			switch {
			case !s.in(poolLendable):
				return -1
			case s.cell == nil:
				return 0
			default:
				return 1
			}
		})})
	}
	return allocs
}

func (j *job) placements(allocs []allocation) []chestnutpond.Placement {
	out := make([]chestnutpond.Placement, len(allocs))
	for m, h := range allocs {
		out[m] = chestnutpond.Placement{
			Member: m, Worker: h.w.Name, Incarnation: h.w.Incarnation,
			Accelerators: append([]int(nil), h.index...),
		}
	}
	return out
}

func zonesOf(allocs []allocation) []string {
	zones := make([]string, 0, len(allocs))
	for _, h := range allocs {
		zones = append(zones, h.w.Zone)
	}
	return zones
}

func sortInts(v []int) { sort.Ints(v) }

func contains(list []*job, j *job) bool {
	for _, o := range list {
		if o == j {
			return true
		}
	}
	return false
}
