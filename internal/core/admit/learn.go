package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// BaselineRate is the baseline rate of a caller for one kind.
type BaselineRate struct {
	Account, Caller, Kind string
	Class                 chestnutpond.Class
	// Rate is in service seconds per second.
	Rate float64
}

// BaselineRates returns the baseline rates of the callers, highest first and at most limit
// of them. A new entry takes them over from a peer, so that a flood in progress
// when the entry starts does not become its baseline.
func (q *Queue) BaselineRates(now time.Duration, limit int) []BaselineRate {
	var list []BaselineRate
	for _, a := range q.accounts {
		for _, c := range a.callers {
			for _, b := range c.baselines {
				if rate := q.rate(now, &b.usage); rate > 0 {
					list = append(list, BaselineRate{a.name, c.name, b.workload.kind, b.workload.class, rate})
				}
			}
		}
	}
	slices.SortFunc(list, func(x, y BaselineRate) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Account, y.Account), cmp.Compare(x.Caller, y.Caller),
			cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Class, y.Class))
	})
	return slices.Clip(list[:min(limit, len(list))])
}

// BaselineAge returns the length of the history behind the baseline rates.
func (q *Queue) BaselineAge(now time.Duration) time.Duration {
	if !q.started {
		return 0
	}
	return now - q.baselineSince
}

// ImportBaselines takes over baseline rates that a peer's BaselineRates returned, and reports
// whether it did; past is the peer's BaselineAge. It succeeds at most once, and only for
// a peer with a longer history. Accounts and kinds that are not in the document
// are skipped, so a queue without a document learns nothing. The usage recorded so
// far is discarded, because it would count twice.
func (q *Queue) ImportBaselines(now, past time.Duration, list []BaselineRate) bool {
	if q.learned || q.accountCount == 0 || len(list) == 0 || past <= q.BaselineAge(now) {
		return false
	}
	// The rates are averages over a long history, not over the age of this queue,
	// so the start is moved back.
	window := q.cfg.BaselineWindow
	q.learned, q.started, q.startedAt, q.baselineSince = true, true, now-10*window, now-past
	q.resetUsage()
	for _, u := range list {
		a, ok := q.accounts[u.Account]
		if !ok || !q.kinds[u.Kind] || !(u.Rate > 0) || math.IsInf(u.Rate, 1) || q.callerCount >= q.cfg.CallerLimit {
			continue
		}
		c := a.callers[u.Caller]
		if c == nil {
			c = q.addCaller(a, now-window, u.Caller)
		}
		c.since = min(c.since, now-window)
		w := q.lane(u.Kind, u.Class, false).workload
		for _, total := range []*usage{&c.baseline(now, w).usage, &c.usage, a.total(w), &a.usage, &q.usage} {
			total.decay(now, window)
			total.sum += u.Rate * window.Seconds()
		}
		q.markIdle(c)
	}
	// Start with full token buckets, as callers have them after a pause.
	for _, u := range list {
		if a, ok := q.accounts[u.Account]; ok && a.callers[u.Caller] != nil {
			for _, b := range a.callers[u.Caller].baselines {
				b.tokens = q.allowance(now, a.callers[u.Caller], b) * burstWindow.Seconds()
				b.tokensAt = now
			}
		}
	}
	return true
}

// resetUsage discards all recorded usage.
func (q *Queue) resetUsage() {
	q.usage.sum = 0
	for _, a := range q.accounts {
		a.usage.sum = 0
		for _, b := range a.totals {
			b.usage.sum = 0
		}
		for _, c := range a.callers {
			c.usage.sum = 0
			for _, b := range c.baselines {
				b.usage.sum = 0
			}
		}
	}
}
