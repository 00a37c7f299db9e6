package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// state is where a job stands for the core.
type state int

const (
	// stateNew is a job in no structure yet.
	stateNew state = iota
	// stateWaiting is a job in its lane.
	stateWaiting
	// stateDelayed is a job that waits for its retry time.
	stateDelayed
	// stateClaiming is a job whose accelerators are claimed but not all free.
	stateClaiming
	stateStarting
	stateRunning
	// stateStopping is a job that was preempted and still holds accelerators.
	stateStopping
	// stateGivenUp is an impossible job until the caller removes it.
	stateGivenUp
)

// holds reports whether a job in this state holds accelerators.
func (s state) holds() bool {
	return s == stateStarting || s == stateRunning || s == stateStopping
}

// hold is a set of accelerators of one worker.
type hold struct {
	w     *worker
	index []int
}

type job struct {
	// at is the place in the heap that holds the job: a caller's, or delayed.
	at      int
	spec    chestnutpond.JobSpec
	account *account
	caller  *caller
	state   state
	attempt int64
	// seq orders jobs by their first submission.
	seq int64
	// held are the accelerators of the current attempt, member by member.
	held []hold
	// claim are the accelerators of the next attempt, in stateClaiming.
	claim []hold
	// cell is the cell that held or claim lie in, for a guaranteed job.
	cell       *cell
	guaranteed bool
	// since is when the attempt started to run.
	since time.Duration

	// level orders borrowers: the rank of the class, or lastLevel if the caller
	// had a large backlog when the attempt started or claimed accelerators.
	level int
	// enqueued is when the job began to wait.
	enqueued time.Duration
	// moved is when the job was last stopped to run elsewhere, if it ever was.
	moved    time.Duration
	wasMoved bool
	// preemptions counts how often another borrower preempted the job.
	preemptions int
	// reserved is when the job got a reservation, while it has one.
	reserved time.Duration

	// notBefore is the earliest time of the next attempt.
	notBefore time.Duration
	// retries counts failed starts in a row.
	retries int
	// failed names the different workers on which the job failed and that were
	// not found to be at fault since.
	failed []string
	// avoid names the workers that must not get the job again.
	avoid []string
	// blames counts all failures that may be the job's fault.
	blames int
	// dodges counts the times that only avoided workers had room.
	dodges int
	reason string
}

func (j *job) size() int { return j.spec.Shape.Accelerators }

// account is a client account with jobs or guarantees in the region.
type account struct {
	name    string
	weight  int
	callers map[string]*caller
	nodes   []*laneAccount
	cells   []*cell
	// guaranteed is the number of accelerators of the account's guarantees.
	guaranteed int
	// used counts the accelerators held; borrowed those of them that jobs hold
	// which are not guaranteed.
	used, borrowed int
	// borrowedAt splits borrowed by level.
	borrowedAt [lastLevel + 1]int
	waiting    int
	// check means that a waiting job may fit a cell.
	check bool
	// claims counts guaranteed jobs that wait for preempted work to stop.
	claims    int
	owedSince time.Duration
	debt      time.Duration
}

// caller is a caller of an account; it is forgotten with its last job.
type caller struct {
	name    string
	account *account
	nodes   []*laneCaller
	jobs    int
	// used counts the accelerators held, waiting those that waiting jobs ask for.
	used, waiting int
	// backlogged means that the caller waits for a large part of the region.
	backlogged bool
}

func (a *account) caller(name string) *caller {
	l := a.callers[name]
	if l == nil {
		l = &caller{name: name, account: a}
		a.callers[name] = l
	}
	return l
}

// backlogPart is the part of the region's accelerators that a caller must wait
// for to be backlogged: one half. It is so until it waits for half as many.
const backlogPart = 2

// countWaiting counts a job that begins (1) or ends (-1) to wait.
func (c *Core) countWaiting(j *job, sign int) {
	l := j.caller
	j.account.waiting += sign
	l.waiting += sign * j.size()
	limit := max(c.fleet.accelerators/backlogPart, workerBacklog)
	if l.backlogged {
		limit /= 2
	}
	backlogged := l.waiting > limit && c.cfg.has(FeatureBacklog)
	if backlogged != l.backlogged {
		l.backlogged = backlogged
		j.account.check = true
		c.queue.reorder(j.account, l)
	}
}

// workerBacklog is the least number of accelerators that makes a backlog.
const workerBacklog = 16

// level is the level at which an attempt starts now.
func (c *Core) level(j *job) int {
	if j.caller.backlogged {
		return lastLevel
	}
	return min(j.spec.Class.Rank(), lastRank)
}

// grab gives accelerators to a job.
func (c *Core) grab(j *job, holds []hold) {
	j.held = holds
	j.level = c.level(j)
	n := 0
	for _, h := range holds {
		for _, i := range h.index {
			h.w.slots[i].job = j
		}
		n += len(h.index)
		c.fleet.touch(h.w)
	}
	c.charge(j, n)
}

// release takes back what a job holds.
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
	c.charge(j, -n)
	if j.cell != nil {
		c.leaveCell(j)
	}
	j.guaranteed = false
	for _, h := range held {
		c.fleet.touch(h.w)
		c.fleet.forget(h.w)
	}
}

// charge counts accelerators as used by the job's account and caller.
func (c *Core) charge(j *job, n int) {
	j.account.used += n
	if !j.guaranteed {
		j.account.borrowed += n
		j.account.borrowedAt[j.level] += n
	}
	j.caller.used += n
	c.queue.used[j.level] += n
	c.queue.reorder(j.account, j.caller)
}

// setGuaranteed changes whether a job that holds accelerators is a borrower.
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
		c.fleet.touch(h.w)
	}
}
