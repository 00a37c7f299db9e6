package admit

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

// waiter is one admitted request, from Offer to Done, Remove or Expired.
type waiter struct {
	item Item
	// seq orders requests by age; it is unique.
	seq  uint64
	flow *flow
	// giveUp is when the request can no longer be answered in time; negative if
	// it has no deadline.
	giveUp time.Duration
	// charged is the service in seconds that was added to the tags when the
	// request was handed out.
	charged float64
	running bool
	expired bool

	prev, next *waiter
	deadlineAt int
}

// work is one kind in one class.
type work struct {
	kind  string
	class chestnutpond.Class
	// mean is the moving average of the service time in seconds.
	mean float64
	n    int
	// longest has the flow with the most requests on top.
	longest heaps.Heap[*flow]
}

// lane is the part of a work that callers usually send, or the surplus.
type lane struct {
	work    *work
	surplus bool
	// lead is how far ahead of its share an account may be served, in requests;
	// inner is the same for the lane among those of an account.
	lead, inner float64
	n           int
	// shares holds the accounts with requests waiting in this lane.
	shares heaps.Heap[*share]
	// servable is set by Next for the length of one call.
	servable bool
	// blocked says that another lane could be served when this one last could not.
	blocked bool
}

// share is what one account has in one lane.
type share struct {
	account *account
	lane    *lane
	tag     float64
	n       int
	flows   heaps.Heap[*flow]
	shareAt int
	// busySince is the last departure, or when the share began to wait. Waited
	// and departures are sums over the time before that in which requests waited,
	// in seconds; both fade with that time.
	busySince          time.Duration
	waited, departures float64
}

// flow is what one caller has in one share, in order of arrival.
type flow struct {
	share  *share
	caller *caller
	n      int
	// seq is the sequence of the flow's creation; it breaks ties.
	seq         uint64
	first, last *waiter

	flowAt, workLongAt, accountLongAt int
}

// caller is one caller of an account, over all lanes.
type caller struct {
	name    string
	account *account
	tag     float64
	flows   []*flow
	// waiting and running count the caller's requests.
	waiting, running int
	// since is when the caller was first seen.
	since time.Duration
	// habits holds one for each work that the caller sent.
	habits []*habit
	used   usage

	idlePrev, idleNext *caller
	idle               bool
}

// account is one client account.
type account struct {
	name string
	// weight is relative to the average weight in the document.
	weight float64
	limit  int
	tag    float64
	// lag is how far the account's surplus stands back behind the usual requests
	// of other accounts, in seconds of service.
	lag float64
	// laneTag and callerTag are the virtual times of the account's lanes and
	// callers: the greatest tag that was served.
	laneTag, callerTag float64
	used               usage
	// totals holds the usage by work.
	totals  []*habit
	n       int
	shares  []*share
	callers map[string]*caller
	longest heaps.Heap[*flow]
	bigAt   int
	seq     uint64
}

func (f *flow) pushBack(w *waiter) {
	w.prev, w.next = f.last, nil
	if f.last != nil {
		f.last.next = w
	} else {
		f.first = w
	}
	f.last = w
	f.n++
}

func (f *flow) pushFront(w *waiter) {
	w.prev, w.next = nil, f.first
	if f.first != nil {
		f.first.prev = w
	} else {
		f.last = w
	}
	f.first = w
	f.n++
}

func (f *flow) unlink(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		f.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		f.last = w.prev
	}
	w.prev, w.next = nil, nil
	f.n--
}

func newWork(kind string, class chestnutpond.Class, mean float64) *work {
	w := &work{kind: kind, class: class, mean: mean}
	w.longest = heaps.Heap[*flow]{Less: longer, At: func(f *flow) *int { return &f.workLongAt }}
	return w
}

func newLane(w *work, surplus bool) *lane {
	l := &lane{work: w, surplus: surplus}
	l.shares = heaps.Heap[*share]{
		Less: func(a, b *share) bool {
			if x, y := a.turn(), b.turn(); x != y {
				return x < y
			}
			return a.account.seq < b.account.seq
		},
		At: func(s *share) *int { return &s.shareAt },
	}
	return l
}

// turn orders the accounts of a lane: by tag, and surplus stands back.
func (s *share) turn() float64 {
	if s.lane.surplus {
		return s.account.tag + s.account.lag
	}
	return s.account.tag
}

func newAccount(name string, seq uint64) *account {
	a := &account{name: name, callers: map[string]*caller{}, bigAt: -1, seq: seq}
	a.longest = heaps.Heap[*flow]{Less: longer, At: func(f *flow) *int { return &f.accountLongAt }}
	return a
}

func newShare(a *account, l *lane) *share {
	s := &share{account: a, lane: l, shareAt: -1}
	s.flows = heaps.Heap[*flow]{
		Less: func(a, b *flow) bool {
			if a.caller.tag != b.caller.tag {
				return a.caller.tag < b.caller.tag
			}
			return a.first.seq < b.first.seq
		},
		At: func(f *flow) *int { return &f.flowAt },
	}
	return s
}

// longer orders flows by what they give up when a queue is full: surplus before
// usual requests, then the longest.
func longer(a, b *flow) bool {
	if a.share.lane.surplus != b.share.lane.surplus {
		return a.share.lane.surplus
	}
	if a.n != b.n {
		return a.n > b.n
	}
	return a.seq > b.seq
}

// heavier orders accounts by what they have waiting against their weight.
func heavier(a, b *account) bool {
	x, y := float64(a.n)/a.weight, float64(b.n)/b.weight
	if x != y {
		return x > y
	}
	return a.seq > b.seq
}
