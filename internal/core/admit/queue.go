package admit

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/heaps"
)

// Item is one request.
type Item struct {
	// ID is unique among the requests that wait or run at this entry.
	ID string
	// Account and Kind are names of the document; Caller may be empty.
	Account, Caller, Kind string
	Class                 chestnutpond.Class
	// Deadline is when the answer must be there, on the clock of now. Zero means
	// none.
	Deadline time.Duration
	// Bytes is the length of the body.
	Bytes int
}

// Verdict says what became of an offered request.
type Verdict struct {
	Admitted bool
	// Reason is empty if the request was admitted.
	Reason chestnutpond.Reason
	// RetryAfter is when a refused caller may try again; zero if admitted.
	RetryAfter time.Duration
	// Displaced were admitted earlier and are refused now; they did not run.
	Displaced []Item
}

// Queue holds the requests that wait at one entry.
type Queue struct {
	cfg Config
	seq uint64
	// items holds every request between Offer and its end, by ID.
	items map[string]*waiter
	// n counts the requests waiting, without the expired ones.
	n int
	// running counts the requests between Next and Done or PutBack.
	running int
	// ahead is how many requests near their deadlines may be served out of turn.
	ahead    float64
	accounts map[string]*account
	lanes    []*lane
	kinds    map[string]bool
	// big has the account with the most waiting against its weight on top.
	big      heaps.Heap[*account]
	deadline heaps.Heap[*waiter]
	// expired were taken out of the queue but not yet returned by Expired.
	expired []*waiter
	// tag is the virtual time of the accounts: the greatest tag that was served.
	tag float64
	// mean is the moving average of the service time over all kinds, in seconds.
	mean float64
	// used is the usual service of all accounts.
	used usage
	// start is when the first request came, once it has.
	start   time.Duration
	started bool
	// knownSince is from when on usual service is known; that is before start if
	// it was learned.
	knownSince time.Duration
	// learned is set once Learn took a list over.
	learned bool
	// known counts the callers in memory; idle lists those without requests,
	// oldest first.
	known               int
	idleFirst, idleLast *caller
	meanWeight          float64
	// present is the number of accounts in the document.
	present int
}

// New returns an empty queue. Until the first SetDocument it refuses everything.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:        cfg,
		items:      map[string]*waiter{},
		accounts:   map[string]*account{},
		kinds:      map[string]bool{},
		mean:       cfg.ServiceGuess.Seconds(),
		meanWeight: 1,
	}
	q.big = heaps.Heap[*account]{Less: heavier, At: func(a *account) *int { return &a.bigAt }}
	q.deadline = heaps.Heap[*waiter]{
		Less: func(a, b *waiter) bool {
			if a.giveUp != b.giveUp {
				return a.giveUp < b.giveUp
			}
			return a.seq < b.seq
		},
		At: func(w *waiter) *int { return &w.deadlineAt },
	}
	return q
}

// Len returns the number of requests waiting, the expired ones included until
// Expired returns them.
func (q *Queue) Len() int { return q.n + len(q.expired) }

// Offer admits or refuses a request. A refused request did not run.
func (q *Queue) Offer(now time.Duration, it Item) Verdict {
	a, ok := q.accounts[it.Account]
	if !ok || a.limit == 0 {
		return q.refuse(chestnutpond.ReasonNoConfig, 0)
	}
	if !q.kinds[it.Kind] {
		return Verdict{Reason: chestnutpond.ReasonUnknownKind}
	}
	if _, ok := q.items[it.ID]; ok {
		return q.refuse(chestnutpond.ReasonInProgress, 0)
	}
	if !q.started {
		q.started, q.start, q.knownSince = true, now, now
	}
	c := a.callers[it.Caller]
	if c == nil {
		c = q.addCaller(a, now, it.Caller)
	}
	// The caller must not be forgotten while others are displaced.
	q.unidle(c)
	v := q.offer(now, a, c, it)
	q.settle(c)
	return v
}

// offer admits or refuses a request of a known caller.
func (q *Queue) offer(now time.Duration, a *account, c *caller, it Item) Verdict {
	l := q.lane(it.Kind, it.Class, false)
	if !q.takesUsual(now, c, l.work) {
		l = q.lane(it.Kind, it.Class, true)
	}
	s := a.share(l)
	w := &waiter{item: it, giveUp: q.giveUp(now, it, l), deadlineAt: -1}
	wait := q.wait(now, s, c)
	patience := q.cfg.Patience
	if l.surplus {
		patience = q.cfg.SurplusPatience
	}
	victims, reason := q.room(a, l, c)
	if w.giveUp >= 0 && (w.giveUp <= now || wait >= time.Duration(patience*float64(w.giveUp-now))) {
		reason = chestnutpond.ReasonDeadline
	}
	if reason != "" {
		if !l.surplus {
			c.habit(now, l.work).tokens += l.work.mean
		}
		return q.refuse(reason, wait)
	}
	v := Verdict{Admitted: true}
	for _, f := range victims {
		last := f.last
		q.detach(last)
		q.forget(last)
		v.Displaced = append(v.Displaced, last.item)
	}
	q.seq++
	w.seq = q.seq
	w.flow = c.flow(s, q.seq)
	q.items[it.ID] = w
	q.attach(now, w, false)
	return v
}

// Remove takes a waiting request out because its caller went away. It returns
// false if the request does not wait; a running one ends by Done.
func (q *Queue) Remove(id string) bool {
	w, ok := q.items[id]
	if !ok || w.running {
		return false
	}
	if w.expired {
		for i, e := range q.expired {
			if e == w {
				q.expired = append(q.expired[:i], q.expired[i+1:]...)
				break
			}
		}
	} else {
		q.detach(w)
	}
	q.forget(w)
	return true
}

// Expired removes and returns the requests whose deadline passed, or is so near
// that they can't be answered in time. They did not run.
func (q *Queue) Expired(now time.Duration) []Item {
	q.expire(now)
	var items []Item
	for _, w := range q.expired {
		items = append(items, w.item)
		q.forget(w)
	}
	q.expired = nil
	return items
}

// expire sets the requests aside that can't be answered in time.
func (q *Queue) expire(now time.Duration) {
	for q.deadline.Len() > 0 && q.deadline.Top().giveUp <= now {
		w := q.deadline.Top()
		w.flow.share.elapse(now)
		q.detach(w)
		w.expired = true
		q.expired = append(q.expired, w)
	}
}

// SetDocument puts a document in force. Requests that wait keep their place,
// also those of an account or a kind that is gone.
func (q *Queue) SetDocument(doc chestnutpond.Document) {
	sum := 0
	for _, d := range doc.Accounts {
		sum += max(d.Weight, 1)
	}
	if len(doc.Accounts) > 0 {
		q.meanWeight = float64(sum) / float64(len(doc.Accounts))
	}
	q.present = len(doc.Accounts)
	keep := map[string]bool{}
	for _, d := range doc.Accounts {
		keep[d.Name] = true
		a, ok := q.accounts[d.Name]
		if !ok {
			q.seq++
			a = newAccount(d.Name, q.seq)
			q.accounts[d.Name] = a
		}
		a.weight = float64(max(d.Weight, 1)) / q.meanWeight
		a.limit = orInt(d.QueueLimit, q.cfg.AccountLimit)
		q.big.Fix(a)
	}
	q.kinds = map[string]bool{}
	for _, k := range doc.Kinds {
		q.kinds[k.Name] = true
	}
	q.dropKinds()
	for name, a := range q.accounts {
		if !keep[name] {
			a.limit = 0
			q.dropAccount(a)
		}
	}
}

// dropKinds forgets what is known of kinds that are not in the document any more
// and of which nothing waits.
func (q *Queue) dropKinds() {
	unused := func(w *work) bool { return !q.kinds[w.kind] && w.n == 0 }
	q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return unused(l.work) })
	for _, a := range q.accounts {
		a.shares = slices.DeleteFunc(a.shares, func(s *share) bool { return unused(s.lane.work) })
		a.totals = slices.DeleteFunc(a.totals, func(h *habit) bool { return unused(h.work) })
		for _, c := range a.callers {
			c.habits = slices.DeleteFunc(c.habits, func(h *habit) bool { return unused(h.work) })
		}
	}
}
