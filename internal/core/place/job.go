package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// state is the scheduling state of a job.
type state int

const (
	// stateDetached is a job that is not queued, delayed or claiming and holds
	// no accelerators.
	stateDetached state = iota
	// stateWaiting is a job in its subqueue.
	stateWaiting
	// stateDelayed is a job whose retry delay has not passed.
	stateDelayed
	// stateClaiming is a job whose accelerators are claimed but not all free
	// yet.
	stateClaiming
	stateStarting
	stateRunning
	// stateStopping is a job that was preempted and still holds accelerators.
	stateStopping
	// stateGivenUp is an impossible job that the caller has not removed yet.
	stateGivenUp
)

// holds reports whether a job in this state holds accelerators.
func (s state) holds() bool {
	return s == stateStarting || s == stateRunning || s == stateStopping
}

// allocation is a set of accelerators of one worker.
type allocation struct {
	w     *worker
	index []int
}

type job struct {
	// heapIndex is the job's index in its callerQueue or in Core.delayed.
	heapIndex int
	spec      chestnutpond.JobSpec
	account   *account
	caller    *caller
	state     state
	attempt   int64
	// seq orders jobs by their first submission.
	seq int64
	// held are the accelerators of the current attempt, one entry per member.
	held []allocation
	// claim are the accelerators of the next attempt, in stateClaiming.
	claim []allocation
	// cell contains the accelerators of held or claim if the job is guaranteed.
	cell       *cell
	guaranteed bool
	// runningSince is when the current attempt started running.
	runningSince time.Duration

	// level is the priority level of a borrower, 0 the highest: the rank of its
	// class, or lastLevel if its caller was backlogged when the attempt started
	// or claimed accelerators.
	level int
	// enqueuedAt is when the job began to wait.
	enqueuedAt time.Duration
	// migratedAt is the time of the last migration, if hasMigrated is set.
	migratedAt  time.Duration
	hasMigrated bool
	// preemptions counts how often other borrowers preempted the job.
	preemptions int
	// reservedAt is when the job got its reservation, while it has one.
	reservedAt time.Duration

	// notBefore is the earliest time of the next attempt.
	notBefore time.Duration
	// retries counts consecutive failed attempts; it determines the backoff.
	retries int
	// failedOn names the different workers on which the job failed, except
	// workers found to be at fault since.
	failedOn []string
	// avoid names the workers that must not get the job again.
	avoid []string
	// blamed counts the failures that may be the job's fault.
	blamed int
	// avoidDelays counts the delays because only avoided workers had room.
	avoidDelays int
	reason      string
}

func (j *job) size() int { return j.spec.Shape.Accelerators }

// account is a client account with jobs or guarantees in the region.
type account struct {
	name    string
	weight  int
	callers map[string]*caller
	queues  []*accountQueue
	cells   []*cell
	// guaranteed is the number of accelerators of the account's guarantees.
	guaranteed int
	// used counts the accelerators held; borrowed counts those of them held by
	// borrowers.
	used, borrowed int
	// borrowedAt splits borrowed by priority level.
	borrowedAt [lastLevel + 1]int
	waiting    int
	// recheck means that a waiting job may fit a cell, so claimGuarantees must
	// consider the account again.
	recheck bool
	// claims counts guaranteed jobs that wait for preempted work to stop.
	claims    int
	debtSince time.Duration
	debt      time.Duration
}

// caller is a caller of an account. It is removed with its last job.
type caller struct {
	name    string
	account *account
	queues  []*callerQueue
	jobs    int
	// used counts the accelerators held, waiting those requested by waiting
	// jobs.
	used, waiting int
	// backlogged means that waiting jobs of the caller request a large part of
	// the region.
	backlogged bool
}

func (a *account) caller(name string) *caller {
	cr := a.callers[name]
	if cr == nil {
		cr = &caller{name: name, account: a}
		a.callers[name] = cr
	}
	return cr
}

// backlogDivisor sets the backlog limit: a caller is backlogged when its
// waiting jobs request more than half of the region's accelerators, until they
// request no more than half of the limit.
const backlogDivisor = 2

// countWaiting counts a job that begins (1) or stops (-1) waiting.
func (c *Core) countWaiting(j *job, sign int) {
	cr := j.caller
	j.account.waiting += sign
	cr.waiting += sign * j.size()
	limit := max(c.fleet.accelerators/backlogDivisor, minBacklog)
	if cr.backlogged {
		limit /= 2
	}
	backlogged := cr.waiting > limit && c.cfg.has(FeatureBacklog)
	if backlogged != cr.backlogged {
		cr.backlogged = backlogged
		j.account.recheck = true
		c.queue.reorder(j.account, cr)
	}
}

// minBacklog is a lower bound of the backlog limit, in accelerators.
const minBacklog = 16

// level returns the priority level of an attempt that would start now.
func (c *Core) level(j *job) int {
	if j.caller.backlogged {
		return lastLevel
	}
	return min(j.spec.Class.Rank(), lastRank)
}

// allocate allocates accelerators to a job.
func (c *Core) allocate(j *job, allocs []allocation) {
	j.held = allocs
	j.level = c.level(j)
	n := 0
	for _, h := range allocs {
		for _, i := range h.index {
			h.w.slots[i].job = j
		}
		n += len(h.index)
		c.fleet.recount(h.w)
	}
	c.addUsage(j, n)
}

// release releases the accelerators that a job holds.
func (c *Core) release(j *job) {
	n := 0
	held := j.held
	j.held = nil
	for _, h := range held {
		for _, i := range h.index {
			if h.w.slots[i].job == j {
				h.w.slots[i].job = nil
			}
		}
		n += len(h.index)
	}
	c.addUsage(j, -n)
	if j.cell != nil {
		c.releaseCell(j)
	}
	j.guaranteed = false
	for _, h := range held {
		c.fleet.recount(h.w)
		c.fleet.removeIfUnused(h.w)
	}
}

// addUsage adds n accelerators to the usage of the job's account and caller.
func (c *Core) addUsage(j *job, n int) {
	j.account.used += n
	if !j.guaranteed {
		j.account.borrowed += n
		j.account.borrowedAt[j.level] += n
	}
	j.caller.used += n
	c.queue.used[j.level] += n
	c.queue.reorder(j.account, j.caller)
}

// setGuaranteed makes a job that holds accelerators guaranteed or a borrower.
func (c *Core) setGuaranteed(j *job, guaranteed bool) {
	if j.guaranteed == guaranteed {
		return
	}
	n := 0
	for _, h := range j.held {
		n += len(h.index)
	}
	if guaranteed {
		n = -n
	}
	j.guaranteed = guaranteed
	j.account.borrowed += n
	j.account.borrowedAt[j.level] += n
	c.queue.reorder(j.account, nil)
	for _, h := range j.held {
		c.fleet.recount(h.w)
	}
}
