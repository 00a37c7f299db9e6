package admit

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

// Item is a request.
type Item struct {
	// ID is unique among the requests waiting or running at this entry.
	ID string
	// Account and Kind are named in the document. Caller may be empty.
	Account, Caller, Kind string
	Class                 chestnutpond.Class
	// Deadline is the time by which the answer is due, on the clock of the now
	// arguments. Zero means none.
	Deadline time.Duration
	// Bytes is the length of the body.
	Bytes int
}

// OfferResult is the result of Offer.
type OfferResult struct {
	Admitted bool
	// Reason is empty if the request was admitted.
	Reason chestnutpond.Reason
	// RetryAfter is the delay after which a refused caller may retry; zero if the
	// request was admitted.
	RetryAfter time.Duration
	// Evicted lists requests that were admitted earlier and are now evicted.
	// They did not run.
	Evicted []Item
}

// Queue is the admission queue of one entry.
type Queue struct {
	cfg Config
	seq uint64
	// items holds the waiting, running and expired requests by ID.
	items map[string]*request
	// waiting counts the waiting requests without the expired ones.
	waiting int
	// running counts the requests between Next and Done or Requeue.
	running int
	// deadlineTokens is the number of requests near their deadlines that may be
	// served out of order; see Config.DeadlineShare.
	deadlineTokens float64
	accounts       map[string]*account
	lanes          []*lane
	kinds          map[string]bool
	// byBacklog orders the accounts with waiting requests by largerBacklog.
	byBacklog  heaps.Heap[*account]
	byDeadline heaps.Heap[*request]
	// expired holds requests that left the queue but were not yet returned by
	// Expired.
	expired []*request
	// virtualTime is the virtual time of the accounts: the greatest tag served so
	// far.
	virtualTime float64
	// meanService is the moving average of the service time over all kinds, in
	// seconds.
	meanService float64
	// usage is the service of all accounts.
	usage usage
	// startedAt is the time of the first Offer, valid if started is set. ImportBaselines
	// moves it back.
	startedAt time.Duration
	started   bool
	// baselineSince is the start of the history behind the baseline rates. It is
	// before the first Offer if ImportBaselines took over a peer's rates.
	baselineSince time.Duration
	// learned is set once ImportBaselines took over a peer's rates.
	learned bool
	// callerCount is the number of callers in memory. idleFirst and idleLast are
	// the ends of the list of callers without requests, in the order in which they
	// are dropped.
	callerCount         int
	idleFirst, idleLast *caller
	meanWeight          float64
	// accountCount is the number of accounts in the document.
	accountCount int
}

// New returns an empty queue, which refuses every request until the first
// SetDocument.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:         cfg,
		items:       map[string]*request{},
		accounts:    map[string]*account{},
		kinds:       map[string]bool{},
		meanService: cfg.InitialServiceTime.Seconds(),
		meanWeight:  1,
	}
	q.byBacklog = heaps.Heap[*account]{Less: largerBacklog, Index: func(a *account) *int { return &a.heapIndex }}
	q.byDeadline = heaps.Heap[*request]{
		Less: func(a, b *request) bool {
			if a.expiresAt != b.expiresAt {
				return a.expiresAt < b.expiresAt
			}
			return a.seq < b.seq
		},
		Index: func(r *request) *int { return &r.heapIndex },
	}
	return q
}

// Len returns the number of waiting requests, including expired ones that Expired
// has not returned yet.
func (q *Queue) Len() int { return q.waiting + len(q.expired) }

// Offer admits or refuses a request. A refused request did not run.
func (q *Queue) Offer(now time.Duration, it Item) OfferResult {
	a, ok := q.accounts[it.Account]
	if !ok || a.limit == 0 {
		return q.refuse(chestnutpond.ReasonNoConfig, 0)
	}
	if !q.kinds[it.Kind] {
		return OfferResult{Reason: chestnutpond.ReasonUnknownKind}
	}
	if _, ok := q.items[it.ID]; ok {
		return q.refuse(chestnutpond.ReasonInProgress, 0)
	}
	if !q.started {
		q.started, q.startedAt, q.baselineSince = true, now, now
	}
	c := a.callers[it.Caller]
	if c == nil {
		c = q.addCaller(a, now, it.Caller)
	}
	// Evictions below may drop idle callers; this one must stay.
	q.unmarkIdle(c)
	v := q.offer(now, a, c, it)
	q.markIdle(c)
	return v
}

// offer is Offer for a valid request of an existing caller.
func (q *Queue) offer(now time.Duration, a *account, c *caller, it Item) OfferResult {
	l := q.lane(it.Kind, it.Class, false)
	if !q.takeAllowance(now, c, l.workload) {
		l = q.lane(it.Kind, it.Class, true)
	}
	s := a.subqueue(l)
	r := &request{item: it, expiresAt: q.expiry(now, it, l), heapIndex: -1}
	wait := q.estimateWait(now, s, c)
	patience := q.cfg.MaxWaitShare
	if l.surplus {
		patience = q.cfg.SurplusMaxWaitShare
	}
	victims, reason := q.selectVictims(a, l, c)
	if r.expiresAt >= 0 && (r.expiresAt <= now || wait >= time.Duration(patience*float64(r.expiresAt-now))) {
		reason = chestnutpond.ReasonDeadline
	}
	if reason != "" {
		if !l.surplus {
			c.baseline(now, l.workload).tokens += l.workload.meanService
		}
		return q.refuse(reason, wait)
	}
	v := OfferResult{Admitted: true}
	for _, f := range victims {
		last := f.last
		q.dequeue(last)
		q.deleteRequest(last)
		v.Evicted = append(v.Evicted, last.item)
	}
	q.seq++
	r.seq = q.seq
	r.flow = c.flow(s, q.seq)
	q.items[it.ID] = r
	q.enqueue(now, r, false)
	return v
}

// Remove removes a waiting request, for example because its client disconnected.
// It returns false if the request is not waiting; a running one ends with Done.
func (q *Queue) Remove(id string) bool {
	r, ok := q.items[id]
	if !ok || r.running {
		return false
	}
	if r.expired {
		for i, o := range q.expired {
			if o == r {
				q.expired = append(q.expired[:i], q.expired[i+1:]...)
				break
			}
		}
	} else {
		q.dequeue(r)
	}
	q.deleteRequest(r)
	return true
}

// Expired removes and returns the requests that can no longer be answered by their
// deadlines. They did not run.
func (q *Queue) Expired(now time.Duration) []Item {
	q.expire(now)
	var items []Item
	for _, r := range q.expired {
		items = append(items, r.item)
		q.deleteRequest(r)
	}
	q.expired = nil
	return items
}

// expire moves requests that can no longer be answered in time to q.expired.
func (q *Queue) expire(now time.Duration) {
	for q.byDeadline.Len() > 0 && q.byDeadline.Top().expiresAt <= now {
		r := q.byDeadline.Top()
		r.flow.subqueue.addWaitTime(now)
		q.dequeue(r)
		r.expired = true
		q.expired = append(q.expired, r)
	}
}

// SetDocument applies a new document. Waiting requests keep their positions, even
// those whose account or kind was removed.
func (q *Queue) SetDocument(doc chestnutpond.Document) {
	sum := 0
	for _, d := range doc.Accounts {
		sum += max(d.Weight, 1)
	}
	if len(doc.Accounts) > 0 {
		q.meanWeight = float64(sum) / float64(len(doc.Accounts))
	}
	q.accountCount = len(doc.Accounts)
	present := map[string]bool{}
	for _, d := range doc.Accounts {
		present[d.Name] = true
		a, ok := q.accounts[d.Name]
		if !ok {
			q.seq++
			a = newAccount(d.Name, q.seq)
			q.accounts[d.Name] = a
		}
		a.weight = float64(max(d.Weight, 1)) / q.meanWeight
		a.limit = orInt(d.QueueLimit, q.cfg.AccountLimit)
		q.byBacklog.Fix(a)
	}
	q.kinds = map[string]bool{}
	for _, k := range doc.Kinds {
		q.kinds[k.Name] = true
	}
	q.dropKinds()
	for name, a := range q.accounts {
		if !present[name] {
			a.limit = 0
			q.dropAccount(a)
		}
	}
}

// dropKinds deletes the state of kinds that are no longer in the document and have
// no waiting requests.
func (q *Queue) dropKinds() {
	unused := func(w *workload) bool { return !q.kinds[w.kind] && w.waiting == 0 }
	q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return unused(l.workload) })
	for _, a := range q.accounts {
		a.subqueues = slices.DeleteFunc(a.subqueues, func(s *subqueue) bool { return unused(s.lane.workload) })
		a.totals = slices.DeleteFunc(a.totals, func(b *baseline) bool { return unused(b.workload) })
		for _, c := range a.callers {
			c.baselines = slices.DeleteFunc(c.baselines, func(b *baseline) bool { return unused(b.workload) })
		}
	}
}
