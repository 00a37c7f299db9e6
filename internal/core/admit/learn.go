package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Usual is what a caller usually gets for one kind.
type Usual struct {
	Account, Caller, Kind string
	Class                 chestnutpond.Class
	// Rate is the service in seconds per second.
	Rate float64
}

// Usual returns what callers usually get, the greatest rates first and at most
// limit of them. A new entry learns it from a peer, so that a flood that is under
// way when the entry starts does not pass for usual work.
func (q *Queue) Usual(now time.Duration, limit int) []Usual {
	var list []Usual
	for _, a := range q.accounts {
		for _, c := range a.callers {
			for _, h := range c.habits {
				if rate := q.usual(now, &h.used); rate > 0 {
					list = append(list, Usual{a.name, c.name, h.work.kind, h.work.class, rate})
				}
			}
		}
	}
	slices.SortFunc(list, func(x, y Usual) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Account, y.Account), cmp.Compare(x.Caller, y.Caller),
			cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Class, y.Class))
	})
	return slices.Clip(list[:min(limit, len(list))])
}

// Past returns the time over which the queue knows what is usual.
func (q *Queue) Past(now time.Duration) time.Duration {
	if !q.started {
		return 0
	}
	return now - q.knownSince
}

// Learn takes over what a peer's Usual returned, and reports whether it did. The
// past is the peer's Past. A queue learns once, and only from a peer with a longer
// past than its own. Accounts and kinds that are not in the document are left out,
// so a queue without a document learns nothing. What the queue saw itself until
// then is dropped; it would count twice.
func (q *Queue) Learn(now, past time.Duration, list []Usual) bool {
	if q.learned || q.present == 0 || len(list) == 0 || past <= q.Past(now) {
		return false
	}
	// The rates are averages over a long past, not over the age of this queue.
	over := q.cfg.UsualTime
	q.learned, q.started, q.start, q.knownSince = true, true, now-10*over, now-past
	q.dropUsage()
	for _, u := range list {
		a, ok := q.accounts[u.Account]
		if !ok || !q.kinds[u.Kind] || !(u.Rate > 0) || math.IsInf(u.Rate, 1) || q.known >= q.cfg.CallerLimit {
			continue
		}
		c := a.callers[u.Caller]
		if c == nil {
			c = q.addCaller(a, now-over, u.Caller)
		}
		c.since = min(c.since, now-over)
		w := q.lane(u.Kind, u.Class, false).work
		for _, s := range []*usage{&c.habit(now, w).used, &c.used, a.total(w), &a.used, &q.used} {
			s.fade(now, over)
			s.sum += u.Rate * over.Seconds()
		}
		q.settle(c)
	}
	// A caller that paused has its allowance of a while saved up.
	for _, u := range list {
		if a, ok := q.accounts[u.Account]; ok && a.callers[u.Caller] != nil {
			for _, h := range a.callers[u.Caller].habits {
				h.tokens = q.allowance(now, a.callers[u.Caller], h) * burst.Seconds()
				h.tokensAt = now
			}
		}
	}
	return true
}

// dropUsage forgets all past service.
func (q *Queue) dropUsage() {
	q.used.sum = 0
	for _, a := range q.accounts {
		a.used.sum = 0
		for _, h := range a.totals {
			h.used.sum = 0
		}
		for _, c := range a.callers {
			c.used.sum = 0
			for _, h := range c.habits {
				h.used.sum = 0
			}
		}
	}
}
