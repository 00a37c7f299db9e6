package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// ActionKind says what the caller has to do.
type ActionKind int

const (
	// ActionStart starts an attempt. Its accelerators count as held from then on.
	ActionStart ActionKind = iota + 1
	// ActionPreempt stops an attempt with a checkpoint. The caller reports
	// Stopped once nothing of it runs.
	ActionPreempt
	// ActionGiveUp ends a job as impossible. The caller then removes it.
	ActionGiveUp
)

// Action is one decision.
type Action struct {
	Kind    ActionKind
	Job     chestnutpond.JobID
	Attempt int64
	// Placements are the accelerators of the attempt, by member.
	Placements []chestnutpond.Placement
	// Guaranteed says that the job runs on a cell of its account.
	Guaranteed bool
	Reason     string
	// For is the job that a preemption makes room for; empty if the job is only
	// moved to other accelerators.
	For chestnutpond.JobID
}

// Decide returns what to do now. Calling it again without a change in between
// returns nothing.
func (c *Core) Decide(now time.Duration) []Action {
	c.advance(now)
	c.searches = 0
	c.refresh()
	c.startClaims()
	c.finishMoves()
	c.ageReservations()
	// Starting borrowers can end a caller's backlog, and then its jobs may claim
	// more. Each turn takes a job out of the queue.
	for again := true; again; again = c.claimable() {
		c.claimGuarantees()
		c.startBorrowers()
	}
	c.consolidate()
	actions := c.actions
	c.actions = nil
	return actions
}

// refresh applies what is due by the time alone, and places cells.
func (c *Core) refresh() {
	c.survey()
	c.endEjections()
	c.openCells()
	for c.delayed.Len() > 0 && c.delayed.Top().notBefore <= c.now {
		j := c.delayed.Top()
		c.detach(j)
		c.enqueue(j)
	}
	if c.cellsDirty {
		c.recompute()
	}
}

// NextWake returns when Decide should run again even if nothing is reported
// until then.
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
		add(c.consolidateAt)
	}
	for _, l := range c.closed {
		add(l.closedUntil)
	}
	for _, w := range c.ejected {
		add(w.until)
	}
	if len(c.probation) > 0 {
		add(c.probation[0].at)
	}
	for _, l := range c.queue.lanes {
		if l.accounts.Len() > 0 && l.retryAt > c.now {
			add(l.retryAt)
		}
	}
	for _, j := range c.claims {
		if !j.guaranteed {
			// Borrowers that have not run long enough are looked at again.
			add(max(j.reserved+c.cfg.ReservationPatience, c.now+searchRetry))
		}
	}
	return wake, ok
}

// take removes a waiting job from its lane.
func (c *Core) take(j *job) {
	c.queue.remove(j)
	c.countWaiting(j, -1)
	j.state = stateNew
	j.reason = ""
}

// claim sets the accelerators of the next attempt of a job aside. Reservations
// of other jobs on them end.
func (c *Core) claim(j *job, holds []hold) {
	j.state = stateClaiming
	j.claim = holds
	c.claims = append(c.claims, j)
	for _, h := range holds {
		for _, i := range h.index {
			s := &h.w.slots[i]
			if s.claim != nil {
				c.requeue(s.claim)
			}
			s.claim = j
		}
		c.fleet.touch(h.w)
	}
}

// unclaim ends the claim of a job.
func (c *Core) unclaim(j *job) {
	for _, h := range j.claim {
		for _, i := range h.index {
			if h.w.slots[i].claim == j {
				h.w.slots[i].claim = nil
			}
		}
	}
	for _, h := range j.claim {
		c.fleet.touch(h.w)
	}
	j.claim = nil
	c.claims = without(c.claims, j)
	c.settle(j)
	if j.cell != nil {
		c.leaveCell(j)
	}
	j.guaranteed = false
	j.state = stateNew
}

// settle ends the wait of the account's claim, if the job waited for one.
func (c *Core) settle(j *job) {
	a := j.account
	if !j.guaranteed || a.claims == 0 || j.reason == "" {
		return
	}
	a.claims--
	if a.claims == 0 {
		a.debt += c.now - a.owedSince
	}
}

// requeue ends the claim of a job and lets it wait again.
func (c *Core) requeue(j *job) {
	c.unclaim(j)
	j.reason = ""
	c.enqueue(j)
}

// dropClaims ends the claims on a worker that cannot be used any more.
func (c *Core) dropClaims(w *worker) {
	for i := range w.slots {
		if j := w.slots[i].claim; j != nil {
			c.requeue(j)
		}
	}
}

// startClaims starts the claimed jobs whose accelerators are all free.
func (c *Core) startClaims() {
	for i := 0; i < len(c.claims); {
		j := c.claims[i]
		if !free(j.claim) {
			i++
			continue
		}
		c.startClaimed(j)
	}
}

func free(holds []hold) bool {
	for _, h := range holds {
		for _, i := range h.index {
			if h.w.slots[i].job != nil {
				return false
			}
		}
	}
	return true
}

// startClaimed turns a claim into an attempt.
func (c *Core) startClaimed(j *job) {
	holds := j.claim
	for _, h := range holds {
		for _, i := range h.index {
			h.w.slots[i].claim = nil
		}
	}
	j.claim = nil
	c.claims = without(c.claims, j)
	c.settle(j)
	c.start(j, holds)
}

// start begins the next attempt of a job on accelerators that are free.
func (c *Core) start(j *job, holds []hold) {
	j.state = stateStarting
	c.grab(j, holds)
	j.reason = ""
	j.attempt++
	c.actions = append(c.actions, Action{
		Kind: ActionStart, Job: j.spec.ID, Attempt: j.attempt,
		Placements: j.placements(holds), Guaranteed: j.guaranteed,
	})
}

// startBorrower starts a waiting job outside its guarantee.
func (c *Core) startBorrower(j *job, picks []pick) {
	c.take(j)
	c.start(j, freeHolds(picks))
}

// freeHolds chooses free accelerators, first those outside cells.
func freeHolds(picks []pick) []hold {
	holds := make([]hold, 0, len(picks))
	for _, p := range picks {
		holds = append(holds, hold{p.w, p.w.choose(p.n, func(s *slot) int {
			switch {
			case !s.in(viewLend):
				return -1
			case s.cell == nil:
				return 0
			default:
				return 1
			}
		})})
	}
	return holds
}

func (j *job) placements(holds []hold) []chestnutpond.Placement {
	out := make([]chestnutpond.Placement, len(holds))
	for m, h := range holds {
		out[m] = chestnutpond.Placement{
			Member: m, Worker: h.w.Name, Incarnation: h.w.Incarnation,
			Accelerators: append([]int(nil), h.index...),
		}
	}
	return out
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
