package admit

import (
	"cmp"
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

// Learn takes over what a peer's Usual returned. It has an effect only on a queue
// that has a document and was offered nothing yet. Accounts and kinds that are not
// in the document are left out.
func (q *Queue) Learn(now time.Duration, list []Usual) {
	if q.started || len(list) == 0 {
		return
	}
	// The rates are averages over a long past, not over the age of this queue.
	over := q.cfg.UsualTime
	q.started, q.start = true, now-10*over
	for _, u := range list {
		a, ok := q.accounts[u.Account]
		if !ok || !q.kinds[u.Kind] || u.Rate <= 0 || q.known >= q.cfg.CallerLimit {
			continue
		}
		c := a.callers[u.Caller]
		if c == nil {
			c = q.addCaller(a, now-over, u.Caller)
		}
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
}
