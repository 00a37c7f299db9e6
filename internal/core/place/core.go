package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

// Core decides the placement of the jobs of one region. It is not safe for
// concurrent use. The times given to its methods are of one monotonic clock; a
// time earlier than the last one counts as the last one.
type Core struct {
	cfg      Config
	now      time.Duration
	fleet    fleet
	jobs     map[chestnutpond.JobID]*job
	accounts map[string]*account
	// ordered holds the accounts by name.
	ordered []*account
	kinds   map[string]*kind
	queue   queue
	// delayed holds the jobs that wait for a retry, the earliest first.
	delayed heaps.Heap[*job]
	// claims holds the jobs in stateClaiming, the oldest first.
	claims []*job

	// cells of all accounts; those with the largest shape first.
	cells []*cell
	// closed holds the cells that are closed to borrowers.
	closed []*cell
	// uncovered is the number of cells without accelerators.
	uncovered  int
	cellsDirty bool
	// orphans ran as guaranteed when they were restored and have no cell yet.
	orphans []*job

	// ejected holds the workers that get no work for a time.
	ejected []*worker
	// probation holds the started jobs that may become successes, in order.
	probation []probe

	// moves are the jobs that are stopped to run elsewhere, until they start.
	moves []move
	// consolidateAt is when jobs may be moved next.
	consolidateAt time.Duration

	seq     int64
	actions []Action
	// searches counts the searches for victims in the current decision.
	searches int
}

// New returns a Core without workers, accounts and jobs.
func New(cfg Config) *Core {
	c := &Core{
		cfg:      cfg.withDefaults(),
		fleet:    fleet{byName: map[string]*worker{}},
		jobs:     map[chestnutpond.JobID]*job{},
		accounts: map[string]*account{},
		kinds:    map[string]*kind{},
		queue:    queue{byKey: map[laneKey]*lane{}},
	}
	c.delayed.At = jobAt
	c.delayed.Less = func(a, b *job) bool {
		if a.notBefore != b.notBefore {
			return a.notBefore < b.notBefore
		}
		return a.seq < b.seq
	}
	return c
}

func (c *Core) advance(now time.Duration) { c.now = max(c.now, now) }

// SetDocument puts a document in force. Cells of guarantees that it keeps stay
// where they are.
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
				c.cells = append(c.cells, takeCell(&old, a, g.Shape))
				a.guaranteed += g.Shape.Accelerators
			}
		}
	}
	for _, o := range old {
		if o != nil {
			c.unplace(o)
		}
	}
	sort.SliceStable(c.cells, func(i, j int) bool {
		return c.cells[i].shape.Accelerators > c.cells[j].shape.Accelerators
	})
	for _, a := range c.ordered {
		a.cells = nil
		a.check = true
	}
	for _, l := range c.queue.lanes {
		l.accounts.Init()
	}
	for _, l := range c.cells {
		l.account.cells = append(l.account.cells, l)
	}
	c.cellsDirty = true
}

// Submit makes a job wait. attempt is the number of its last attempt so far, 0
// for none. A job that is known already is released and waits again.
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

// Restore makes a job known that runs, or that is being stopped, after another
// scheduler started it.
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
	var holds []hold
	for _, p := range placements {
		w := c.fleet.stub(p.Worker)
		for _, i := range p.Accelerators {
			for len(w.slots) <= i {
				w.slots = append(w.slots, slot{})
			}
		}
		holds = append(holds, hold{w, p.Accelerators})
	}
	j.state = stateRunning
	j.since = c.now
	if stopping {
		j.state = stateStopping
	}
	c.grab(j, holds)
	if guaranteed {
		c.orphans = append(c.orphans, j)
		c.cellsDirty = true
	}
}

// Running reports that all members of the attempt run.
func (c *Core) Running(now time.Duration, id chestnutpond.JobID, attempt int64) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || j.attempt != attempt || j.state != stateStarting {
		return
	}
	j.state = stateRunning
	j.since = c.now
	j.account.check = j.account.check || j.level == lastLevel
	for _, h := range j.held {
		c.fleet.touch(h.w)
	}
	c.probation = append(c.probation, probe{j, attempt, c.now + c.cfg.HealthyAfter})
}

// Stopped reports that nothing of the attempt runs any more after a preemption
// or the loss of a member. The job waits again and resumes from its checkpoint.
func (c *Core) Stopped(now time.Duration, id chestnutpond.JobID, attempt int64) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || j.attempt != attempt || !j.state.holds() {
		return
	}
	c.detach(j)
	c.enqueue(j)
}

// Remove forgets a job that ended or that was cancelled and is stopped.
func (c *Core) Remove(now time.Duration, id chestnutpond.JobID) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil {
		return
	}
	if j.state == stateRunning && c.now-j.since >= shortSuccess {
		c.succeeded(j)
	}
	c.detach(j)
	c.orphans = without(c.orphans, j)
	delete(c.jobs, id)
	c.forgetCaller(j.caller)
}

// detach takes a job out of the queue, its claim and the accelerators it holds.
func (c *Core) detach(j *job) {
	switch j.state {
	case stateWaiting:
		c.queue.remove(j)
		c.countWaiting(j, -1)
		j.account.check = true
	case stateDelayed:
		c.delayed.Remove(j)
		c.countWaiting(j, -1)
	case stateClaiming:
		c.unclaim(j)
	case stateStarting, stateRunning, stateStopping:
		c.release(j)
	case stateNew, stateGivenUp:
	}
	j.state = stateNew
}

// enqueue makes a detached job wait, now or after its retry delay.
func (c *Core) enqueue(j *job) {
	c.countWaiting(j, 1)
	j.enqueued = c.now
	if j.notBefore > c.now {
		j.state = stateDelayed
		c.delayed.Push(j)
		return
	}
	j.state = stateWaiting
	j.account.check = true
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

func (c *Core) forgetCaller(l *caller) {
	l.jobs--
	if l.jobs == 0 {
		delete(l.account.callers, l.name)
	}
}
