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
	// lastLevel is the priority level of the jobs of backlogged callers.
	lastLevel = lastRank + 1
)

type subqueueKey struct {
	rank  int
	shape chestnutpond.Shape
}

// subqueue holds the waiting jobs of one class and shape, by account and
// caller.
type subqueue struct {
	key      subqueueKey
	accounts heaps.Heap[*accountQueue]
	// noFitGeneration is the generation of the fleet when the shape last did
	// not fit; -1 if it may fit.
	noFitGeneration int64
	// retryAt is the earliest time at which the head job may search for victims
	// again, even if no accelerators became available; 0 if no search is
	// pending.
	retryAt time.Duration
}

// accountQueue holds the jobs of one account in a subqueue. It is removed when
// it becomes empty.
type accountQueue struct {
	// heapIndex is the index in subqueue.accounts.
	heapIndex int
	parent    *subqueue
	account   *account
	callers   heaps.Heap[*callerQueue]
}

// callerQueue holds the jobs of one caller in a subqueue. It is removed when it
// becomes empty.
type callerQueue struct {
	// heapIndex is the index in accountQueue.callers.
	heapIndex int
	parent    *accountQueue
	caller    *caller
	jobs      heaps.Heap[*job]
}

// queue holds the jobs in stateWaiting.
type queue struct {
	byKey map[subqueueKey]*subqueue
	// subqueues are sorted by class, then size (largest first), then adjacency.
	subqueues []*subqueue
	// used counts the accelerators that jobs of each priority level hold.
	used [lastLevel + 1]int
}

// before reports whether a comes before b in queue order, within a subqueue or
// between subqueues of equal priority.
func before(a, b *job) bool {
	if a.caller.backlogged != b.caller.backlogged {
		return b.caller.backlogged
	}
	if a.account != b.account {
		x, y := a.borrowedAtLevel()*b.account.weight, b.borrowedAtLevel()*a.account.weight
		if x != y {
			return x < y
		}
	}
	if a.caller != b.caller && a.caller.used != b.caller.used {
		return a.caller.used < b.caller.used
	}
	return a.seq < b.seq
}

// borrowedAtLevel returns the accelerators that the job's account borrows at
// the level at which the job would start. Counting each level separately keeps
// an account's long bulk jobs from delaying its small jobs.
func (j *job) borrowedAtLevel() int {
	if j.caller.backlogged {
		return j.account.borrowedAt[lastLevel]
	}
	return j.account.borrowedAt[min(j.spec.Class.Rank(), lastRank)]
}

func (sq *subqueue) head() *job     { return sq.accounts.Top().head() }
func (aq *accountQueue) head() *job { return aq.callers.Top().jobs.Top() }
func (cq *callerQueue) head() *job  { return cq.jobs.Top() }
func lessJob(a, b *job) bool        { return a.seq < b.seq }
func lessCaller(a, b *callerQueue) bool {
	return before(a.head(), b.head())
}

func lessAccount(a, b *accountQueue) bool {
	return before(a.head(), b.head())
}

func (q *queue) subqueueFor(key subqueueKey) *subqueue {
	sq := q.byKey[key]
	if sq != nil {
		return sq
	}
	sq = &subqueue{key: key, noFitGeneration: -1}
	sq.accounts.Less, sq.accounts.Index = lessAccount, accountQueueIndex
	q.byKey[key] = sq
	i := sort.Search(len(q.subqueues), func(i int) bool { return lessKey(key, q.subqueues[i].key) })
	q.subqueues = append(q.subqueues, nil)
	copy(q.subqueues[i+1:], q.subqueues[i:])
	q.subqueues[i] = sq
	return sq
}

func lessKey(a, b subqueueKey) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.shape.Accelerators != b.shape.Accelerators {
		return a.shape.Accelerators > b.shape.Accelerators
	}
	return a.shape.Adjacency < b.shape.Adjacency
}

func (q *queue) add(j *job) {
	sq := q.subqueueFor(subqueueKey{min(j.spec.Class.Rank(), lastRank), j.spec.Shape})
	var cq *callerQueue
	for _, n := range j.caller.queues {
		if n.parent.parent == sq {
			cq = n
		}
	}
	if cq != nil {
		cq.jobs.Push(j)
		cq.parent.callers.Fix(cq)
		sq.accounts.Fix(cq.parent)
		return
	}
	var aq *accountQueue
	for _, n := range j.account.queues {
		if n.parent == sq {
			aq = n
		}
	}
	cq = &callerQueue{caller: j.caller, jobs: heaps.Heap[*job]{Less: lessJob, Index: jobHeapIndex}}
	cq.jobs.Push(j)
	j.caller.queues = append(j.caller.queues, cq)
	if aq != nil {
		cq.parent = aq
		aq.callers.Push(cq)
		sq.accounts.Fix(aq)
		return
	}
	aq = &accountQueue{parent: sq, account: j.account, callers: heaps.Heap[*callerQueue]{Less: lessCaller, Index: callerQueueIndex}}
	cq.parent = aq
	aq.callers.Push(cq)
	j.account.queues = append(j.account.queues, aq)
	sq.accounts.Push(aq)
}

func (q *queue) remove(j *job) {
	sq := q.byKey[subqueueKey{min(j.spec.Class.Rank(), lastRank), j.spec.Shape}]
	for _, cq := range j.caller.queues {
		if cq.parent.parent != sq {
			continue
		}
		aq := cq.parent
		if aq.callers.Len() == 1 && cq.jobs.Len() == 1 {
			sq.accounts.Remove(aq)
			j.account.queues = without(j.account.queues, aq)
		}
		if cq.jobs.Len() == 1 {
			aq.callers.Remove(cq)
			j.caller.queues = without(j.caller.queues, cq)
		}
		cq.jobs.Remove(j)
		if cq.jobs.Len() > 0 {
			aq.callers.Fix(cq)
		}
		if aq.callers.Len() > 0 {
			sq.accounts.Fix(aq)
		}
		return
	}
}

// reorder restores the heap order after the usage of an account changed, and
// that of one of its callers if cr is not nil.
func (q *queue) reorder(a *account, cr *caller) {
	if cr != nil {
		for _, n := range cr.queues {
			n.parent.callers.Fix(n)
		}
	}
	for _, n := range a.queues {
		n.parent.accounts.Fix(n)
	}
}

func jobHeapIndex(j *job) *int { return &j.heapIndex }

func accountQueueIndex(a *accountQueue) *int { return &a.heapIndex }

func callerQueueIndex(c *callerQueue) *int { return &c.heapIndex }
