package place

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

const (
	// lastRank is the rank of the least urgent class.
	lastRank = 2
	// lastLevel is the level of the jobs of backlogged callers.
	lastLevel = lastRank + 1
)

type laneKey struct {
	rank  int
	shape chestnutpond.Shape
}

// lane holds the waiting jobs of one class and shape.
type lane struct {
	key      laneKey
	accounts heaps.Heap[*laneAccount]
	// failedAt is the growth of the fleet when the lane's shape last had no
	// place; -1 if it may have one.
	failedAt int64
	// retryAt is when its head may preempt although nothing changed. Before then
	// it does not try.
	retryAt time.Duration
}

// laneAccount is the part of a lane that belongs to one account. It exists
// while it has jobs.
type laneAccount struct {
	// at is the place in the heap that holds the element.
	at      int
	lane    *lane
	account *account
	callers heaps.Heap[*laneCaller]
}

// laneCaller is the part of a lane that belongs to one caller. It exists while
// it has jobs.
type laneCaller struct {
	// at is the place in the heap that holds the element.
	at     int
	in     *laneAccount
	caller *caller
	jobs   heaps.Heap[*job]
}

// queue holds the waiting jobs that may start now.
type queue struct {
	byKey map[laneKey]*lane
	// lanes are ordered by class, then size, then adjacency.
	lanes []*lane
	// used counts the accelerators that the jobs of each level hold.
	used [lastLevel + 1]int
}

// before orders jobs within a lane or between lanes of equal rank.
func before(a, b *job) bool {
	if a.caller.backlogged != b.caller.backlogged {
		return b.caller.backlogged
	}
	if a.account != b.account {
		x, y := a.share()*b.account.weight, b.share()*a.account.weight
		if x != y {
			return x < y
		}
	}
	if a.caller != b.caller && a.caller.used != b.caller.used {
		return a.caller.used < b.caller.used
	}
	return a.seq < b.seq
}

// share is what the job's account borrows at the level at which the job would
// start. Levels are apart so that an account's long bulk work does not hold up
// its small jobs.
func (j *job) share() int {
	if j.caller.backlogged {
		return j.account.borrowedAt[lastLevel]
	}
	return j.account.borrowedAt[min(j.spec.Class.Rank(), lastRank)]
}

func (l *lane) head() *job        { return l.accounts.Top().head() }
func (n *laneAccount) head() *job { return n.callers.Top().jobs.Top() }
func (n *laneCaller) first() *job { return n.jobs.Top() }
func olderJob(a, b *job) bool     { return a.seq < b.seq }
func lessCaller(a, b *laneCaller) bool {
	return before(a.first(), b.first())
}

func lessAccount(a, b *laneAccount) bool {
	return before(a.head(), b.head())
}

func (q *queue) lane(key laneKey) *lane {
	l := q.byKey[key]
	if l != nil {
		return l
	}
	l = &lane{key: key, failedAt: -1}
	l.accounts.Less, l.accounts.At = lessAccount, accountAt
	q.byKey[key] = l
	i := sort.Search(len(q.lanes), func(i int) bool { return laneLess(key, q.lanes[i].key) })
	q.lanes = append(q.lanes, nil)
	copy(q.lanes[i+1:], q.lanes[i:])
	q.lanes[i] = l
	return l
}

func laneLess(a, b laneKey) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.shape.Accelerators != b.shape.Accelerators {
		return a.shape.Accelerators > b.shape.Accelerators
	}
	return a.shape.Adjacency < b.shape.Adjacency
}

func (q *queue) add(j *job) {
	l := q.lane(laneKey{min(j.spec.Class.Rank(), lastRank), j.spec.Shape})
	var lc *laneCaller
	for _, n := range j.caller.nodes {
		if n.in.lane == l {
			lc = n
		}
	}
	if lc != nil {
		lc.jobs.Push(j)
		lc.in.callers.Fix(lc)
		l.accounts.Fix(lc.in)
		return
	}
	var la *laneAccount
	for _, n := range j.account.nodes {
		if n.lane == l {
			la = n
		}
	}
	lc = &laneCaller{caller: j.caller, jobs: heaps.Heap[*job]{Less: olderJob, At: jobAt}}
	lc.jobs.Push(j)
	j.caller.nodes = append(j.caller.nodes, lc)
	if la != nil {
		lc.in = la
		la.callers.Push(lc)
		l.accounts.Fix(la)
		return
	}
	la = &laneAccount{lane: l, account: j.account, callers: heaps.Heap[*laneCaller]{Less: lessCaller, At: callerAt}}
	lc.in = la
	la.callers.Push(lc)
	j.account.nodes = append(j.account.nodes, la)
	l.accounts.Push(la)
}

func (q *queue) remove(j *job) {
	l := q.byKey[laneKey{min(j.spec.Class.Rank(), lastRank), j.spec.Shape}]
	for _, lc := range j.caller.nodes {
		if lc.in.lane != l {
			continue
		}
		la := lc.in
		if la.callers.Len() == 1 && lc.jobs.Len() == 1 {
			l.accounts.Remove(la)
			j.account.nodes = without(j.account.nodes, la)
		}
		if lc.jobs.Len() == 1 {
			la.callers.Remove(lc)
			j.caller.nodes = without(j.caller.nodes, lc)
		}
		lc.jobs.Remove(j)
		if lc.jobs.Len() > 0 {
			la.callers.Fix(lc)
		}
		if la.callers.Len() > 0 {
			l.accounts.Fix(la)
		}
		return
	}
}

// reorder restores the order after the usage of an account changed, and of one
// of its callers if given.
func (q *queue) reorder(a *account, l *caller) {
	if l != nil {
		for _, n := range l.nodes {
			n.in.callers.Fix(n)
		}
	}
	for _, n := range a.nodes {
		n.lane.accounts.Fix(n)
	}
}

func jobAt(j *job) *int { return &j.at }

func accountAt(a *laneAccount) *int { return &a.at }

func callerAt(c *laneCaller) *int { return &c.at }
