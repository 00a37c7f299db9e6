package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

// Core decides the placement of the jobs of one region. It is not safe for
// concurrent use. The times given to its methods must come from one monotonic
// clock; a time before the last one is treated as the last one.
type Core struct {
	cfg      Config
	now      time.Duration
	fleet    fleet
	jobs     map[chestnutpond.JobID]*job
	accounts map[string]*account
	// ordered holds the accounts, sorted by name.
	ordered []*account
	kinds   map[string]*kind
	queue   queue
	// delayed holds the jobs whose retry delay has not passed, the earliest
	// first.
	delayed heaps.Heap[*job]
	// claims holds the jobs in stateClaiming, the oldest first.
	claims []*job

	// cells holds the cells of all accounts, the largest shapes first.
	cells []*cell
	// coolingDown holds the cells in cooldown.
	coolingDown []*cell
	// uncovered is the number of cells that are not bound to accelerators.
	uncovered  int
	cellsDirty bool
	// restored holds the jobs that were guaranteed when they were restored and
	// have no cell yet.
	restored []*job

	// ejected holds the workers that temporarily get no jobs, the earliest
	// ejected first.
	ejected []*worker
	// successChecks holds the running jobs that will count as successes if they
	// keep running, the earliest first.
	successChecks []successCheck

	// evacuations holds the zones that operators evacuate.
	evacuations chestnutpond.Evacuations
	// migrations holds the jobs that are being moved to other workers.
	migrations []migration
	// consolidateAt is the earliest time of the next consolidation.
	consolidateAt time.Duration
	// holdUntil is the time before which no job is preempted; 0 once it has passed.
	holdUntil time.Duration

	seq     int64
	actions []Action
	// victimSearches counts the searches for victims in the current decision.
	victimSearches int
}

// New returns a Core without workers, accounts or jobs.
func New(cfg Config) *Core {
	c := &Core{
		cfg:      cfg.withDefaults(),
		fleet:    fleet{byName: map[string]*worker{}},
		jobs:     map[chestnutpond.JobID]*job{},
		accounts: map[string]*account{},
		kinds:    map[string]*kind{},
		queue:    queue{byKey: map[subqueueKey]*subqueue{}},
	}
	c.delayed.Index = jobHeapIndex
	c.delayed.Less = func(a, b *job) bool {
		if a.notBefore != b.notBefore {
			return a.notBefore < b.notBefore
		}
		return a.seq < b.seq
	}
	return c
}

// HoldPreemption keeps running jobs from being preempted until the given time. A new
// scheduler does not know all workers yet, and those that it lacks may have free
// accelerators.
func (c *Core) HoldPreemption(now, until time.Duration) {
	c.advance(now)
	c.holdUntil = until
}

// holdsPreemption reports whether no job may be preempted yet.
func (c *Core) holdsPreemption() bool { return c.now < c.holdUntil }

// endHold lets waiting jobs claim again once jobs may be preempted.
func (c *Core) endHold() {
	if c.holdUntil == 0 || c.holdsPreemption() {
		return
	}
	c.holdUntil = 0
	for _, a := range c.ordered {
		a.recheck = true
	}
}

func (c *Core) advance(now time.Duration) { c.now = max(c.now, now) }

// SetDocument applies a new document of accounts and guarantees. Cells of
// guarantees that are unchanged keep their accelerators.
func (c *Core) SetDocument(now time.Duration, doc chestnutpond.Document) {
	c.advance(now)
	for _, a := range c.ordered {
		a.weight, a.guaranteed = 1, 0
	}
	old := c.cells
	c.cells = nil
	for _, d := range doc.Accounts {
		a := c.account(d.Name)
		a.weight = max(1, d.Weight)
		for _, g := range d.Guarantees {
			if g.Region != c.cfg.Region {
				continue
			}
			for range g.Count {
				c.cells = append(c.cells, reuseCell(&old, a, g.Shape))
				a.guaranteed += g.Shape.Accelerators
			}
		}
	}
	for _, o := range old {
		if o != nil {
			c.unbind(o)
		}
	}
	sort.SliceStable(c.cells, func(i, j int) bool {
		return c.cells[i].shape.Accelerators > c.cells[j].shape.Accelerators
	})
	for _, a := range c.ordered {
		a.cells = nil
		a.recheck = true
	}
	for _, sq := range c.queue.subqueues {
		sq.accounts.Init()
	}
	for _, cl := range c.cells {
		cl.account.cells = append(cl.account.cells, cl)
	}
	c.cellsDirty = true
}

// Submit enqueues a job. attempt is the number of its last attempt so far, 0 if
// there was none. A job that the Core already has releases its accelerators and
// is queued again.
func (c *Core) Submit(now time.Duration, spec chestnutpond.JobSpec, attempt int64) {
	c.advance(now)
	j := c.jobs[spec.ID]
	if j == nil {
		j = c.addJob(spec)
	} else {
		c.detach(j)
	}
	j.attempt = attempt
	c.enqueue(j)
}

// Restore adds a job that another scheduler started and that is running or
// being stopped.
func (c *Core) Restore(now time.Duration, spec chestnutpond.JobSpec, attempt int64,
	placements []chestnutpond.Placement, guaranteed, stopping bool,
) {
	c.advance(now)
	j := c.jobs[spec.ID]
	if j == nil {
		j = c.addJob(spec)
	} else {
		c.detach(j)
	}
	j.attempt = attempt
	var allocs []allocation
	for _, p := range placements {
		w := c.fleet.getOrAddPlaceholder(p.Worker)
		for _, i := range p.Accelerators {
			for len(w.slots) <= i {
				w.slots = append(w.slots, slot{})
			}
		}
		allocs = append(allocs, allocation{w, p.Accelerators})
	}
	j.state = stateRunning
	j.runningSince = c.now
	if stopping {
		j.state = stateStopping
	}
	c.allocate(j, allocs)
	if guaranteed {
		c.restored = append(c.restored, j)
		c.cellsDirty = true
	}
}

// Running reports that all members of the attempt are running.
func (c *Core) Running(now time.Duration, id chestnutpond.JobID, attempt int64) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || j.attempt != attempt || j.state != stateStarting {
		return
	}
	j.state = stateRunning
	j.runningSince = c.now
	j.account.recheck = j.account.recheck || j.level == lastLevel
	for _, h := range j.held {
		c.fleet.recount(h.w)
	}
	c.successChecks = append(c.successChecks, successCheck{j, attempt, c.now + c.cfg.HealthyAfter})
}

// Stopped reports that no part of the attempt is running any more, after a
// preemption or the loss of a member. The job is queued again and resumes from
// its checkpoint.
func (c *Core) Stopped(now time.Duration, id chestnutpond.JobID, attempt int64) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || j.attempt != attempt || !j.state.holds() {
		return
	}
	c.detach(j)
	c.enqueue(j)
}

// Remove removes a job that ended, or that was cancelled and has stopped.
func (c *Core) Remove(now time.Duration, id chestnutpond.JobID) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil {
		return
	}
	if j.state == stateRunning && c.now-j.runningSince >= minSuccessRun {
		c.succeeded(j)
	}
	c.detach(j)
	c.restored = without(c.restored, j)
	delete(c.jobs, id)
	c.releaseCaller(j.caller)
}

// detach removes a job from the queue, or releases its claim or its
// accelerators, depending on its state.
func (c *Core) detach(j *job) {
	switch j.state {
	case stateWaiting:
		c.queue.remove(j)
		c.countWaiting(j, -1)
		j.account.recheck = true
	case stateDelayed:
		c.delayed.Remove(j)
		c.countWaiting(j, -1)
	case stateClaiming:
		c.releaseClaim(j)
	case stateStarting, stateRunning, stateStopping:
		c.release(j)
	case stateDetached, stateGivenUp:
	}
	j.state = stateDetached
}

// enqueue queues a detached job, or delays it first if its retry delay has not
// passed.
func (c *Core) enqueue(j *job) {
	c.countWaiting(j, 1)
	j.enqueuedAt = c.now
	if j.notBefore > c.now {
		j.state = stateDelayed
		c.delayed.Push(j)
		return
	}
	j.state = stateWaiting
	j.account.recheck = true
	c.queue.add(j)
}

func (c *Core) addJob(spec chestnutpond.JobSpec) *job {
	a := c.account(spec.Account)
	c.seq++
	j := &job{spec: spec, account: a, caller: a.caller(spec.Caller), seq: c.seq}
	j.caller.jobs++
	if j.spec.MaxAttempts == 0 {
		j.spec.MaxAttempts = c.cfg.MaxAttempts
	}
	j.spec.Payload = nil
	c.jobs[spec.ID] = j
	return j
}

func (c *Core) account(name string) *account {
	a := c.accounts[name]
	if a != nil {
		return a
	}
	a = &account{name: name, weight: 1, callers: map[string]*caller{}}
	c.accounts[name] = a
	i := sort.Search(len(c.ordered), func(i int) bool { return c.ordered[i].name > name })
	c.ordered = append(c.ordered, nil)
	copy(c.ordered[i+1:], c.ordered[i:])
	c.ordered[i] = a
	return a
}

func (c *Core) releaseCaller(cr *caller) {
	cr.jobs--
	if cr.jobs == 0 {
		delete(cr.account.callers, cr.name)
	}
}
