package admit

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

// request is an admitted request, from Offer until Done, Remove or Expired.
type request struct {
	item Item
	// seq is unique and grows with each admitted request.
	seq  uint64
	flow *flow
	// expiresAt is when the request can no longer be answered in time; negative if
	// it has no deadline.
	expiresAt time.Duration
	// charged is the service time, in seconds, added to the tags at dispatch.
	charged float64
	running bool
	expired bool

	prev, next *request
	heapIndex  int
}

// workload holds the state of one kind of request in one class.
type workload struct {
	kind  string
	class chestnutpond.Class
	// meanService is the moving average of the service time, in seconds.
	meanService float64
	waiting     int
	// evictHeap orders the flows with waiting requests by evictsBefore.
	evictHeap heaps.Heap[*flow]
}

// lane holds either the baseline or the surplus requests of a workload.
type lane struct {
	workload *workload
	surplus  bool
	// accountLead is how far an account may be served ahead of its share of
	// service, in requests of average length. laneLead is the same for this lane
	// among the lanes of one account.
	accountLead, laneLead float64
	waiting               int
	// subqueues orders the accounts with requests waiting in this lane.
	subqueues heaps.Heap[*subqueue]
	// servable is valid only during one call of Next.
	servable bool
	// blocked is set if the last call of nextAccount that found a servable lane
	// could not serve this one.
	blocked bool
}

// subqueue holds the waiting requests of one account in one lane.
type subqueue struct {
	account   *account
	lane      *lane
	tag       float64
	waiting   int
	flows     heaps.Heap[*flow]
	heapIndex int
	// waitingSince is the time of the last departure, or the time at which the
	// subqueue became non-empty if that is later. waitTime is the time before it,
	// in seconds, during which requests were waiting, and departures counts the
	// departures in that time. Both decay exponentially over it.
	waitingSince         time.Duration
	waitTime, departures float64
}

// flow holds the waiting requests of one caller in one subqueue, oldest first.
type flow struct {
	subqueue *subqueue
	caller   *caller
	waiting  int
	// seq orders flows by creation; it breaks ties.
	seq         uint64
	first, last *request

	heapIndex, workloadEvictIndex, accountEvictIndex int
}

// caller is a caller of an account, across all lanes.
type caller struct {
	name    string
	account *account
	tag     float64
	flows   []*flow
	// waiting and running count the caller's requests.
	waiting, running int
	// since is when the caller was first seen.
	since time.Duration
	// baselines has one element for each workload that the caller has sent.
	baselines []*baseline
	usage     usage

	idlePrev, idleNext *caller
	idle               bool
}

// account is a client account.
type account struct {
	name string
	// weight is relative to the mean weight in the document.
	weight float64
	limit  int
	tag    float64
	// surplusLag is how far the account's surplus is ranked behind the baseline
	// requests of other accounts, in seconds of service.
	surplusLag float64
	// laneVirtualTime and callerVirtualTime are the virtual times of the account's
	// subqueues and callers: the greatest tag served so far.
	laneVirtualTime, callerVirtualTime float64
	usage                              usage
	// totals holds the account's usage of each workload.
	totals    []*baseline
	waiting   int
	subqueues []*subqueue
	callers   map[string]*caller
	evictHeap heaps.Heap[*flow]
	heapIndex int
	seq       uint64
}

func (f *flow) pushBack(r *request) {
	r.prev, r.next = f.last, nil
	if f.last != nil {
		f.last.next = r
	} else {
		f.first = r
	}
	f.last = r
	f.waiting++
}

func (f *flow) pushFront(r *request) {
	r.prev, r.next = nil, f.first
	if f.first != nil {
		f.first.prev = r
	} else {
		f.last = r
	}
	f.first = r
	f.waiting++
}

func (f *flow) unlink(r *request) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		f.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		f.last = r.prev
	}
	r.prev, r.next = nil, nil
	f.waiting--
}

func newWorkload(kind string, class chestnutpond.Class, mean float64) *workload {
	w := &workload{kind: kind, class: class, meanService: mean}
	w.evictHeap = heaps.Heap[*flow]{Less: evictsBefore, Index: func(f *flow) *int { return &f.workloadEvictIndex }}
	return w
}

func newLane(w *workload, surplus bool) *lane {
	l := &lane{workload: w, surplus: surplus}
	l.subqueues = heaps.Heap[*subqueue]{
		Less: func(a, b *subqueue) bool {
			if x, y := a.laggedTag(), b.laggedTag(); x != y {
				return x < y
			}
			return a.account.seq < b.account.seq
		},
		Index: func(s *subqueue) *int { return &s.heapIndex },
	}
	return l
}

// laggedTag returns the account's tag, plus its surplus lag in a surplus lane. It
// orders the accounts of a lane.
func (s *subqueue) laggedTag() float64 {
	if s.lane.surplus {
		return s.account.tag + s.account.surplusLag
	}
	return s.account.tag
}

func newAccount(name string, seq uint64) *account {
	a := &account{name: name, callers: map[string]*caller{}, heapIndex: -1, seq: seq}
	a.evictHeap = heaps.Heap[*flow]{Less: evictsBefore, Index: func(f *flow) *int { return &f.accountEvictIndex }}
	return a
}

func newSubqueue(a *account, l *lane) *subqueue {
	s := &subqueue{account: a, lane: l, heapIndex: -1}
	s.flows = heaps.Heap[*flow]{
		Less: func(a, b *flow) bool {
			if a.caller.tag != b.caller.tag {
				return a.caller.tag < b.caller.tag
			}
			return a.first.seq < b.first.seq
		},
		Index: func(f *flow) *int { return &f.heapIndex },
	}
	return s
}

// evictsBefore orders flows for eviction from a full queue: surplus before
// baseline, then the longest flow, then the newest.
func evictsBefore(a, b *flow) bool {
	if a.subqueue.lane.surplus != b.subqueue.lane.surplus {
		return a.subqueue.lane.surplus
	}
	if a.waiting != b.waiting {
		return a.waiting > b.waiting
	}
	return a.seq > b.seq
}

// largerBacklog orders accounts by the number of waiting requests per weight.
func largerBacklog(a, b *account) bool {
	x, y := float64(a.waiting)/a.weight, float64(b.waiting)/b.weight
	if x != y {
		return x > y
	}
	return a.seq > b.seq
}
