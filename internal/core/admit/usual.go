package admit

import (
	"math"
	"time"
)

const (
	// usualSlack is how far above its usual service a caller may go before its
	// requests count as surplus.
	usualSlack = 1.5
	// floorShare is the part of an even share of its account's usual service that
	// a new caller has. It grows to the even share over Config.UsualTime, so that
	// the noise in a small caller's past does not make its requests surplus.
	floorShare = 0.1
	// burst is the time over which a caller may use its allowance at once.
	burst = 2 * time.Minute
	// surplusWeight is how much of the service of surplus requests counts towards
	// the usual service. A flood of ten minutes must not become the usual.
	surplusWeight = 0.05
	// earnedShare is the part of its weighted share that an account usually gets
	// when its surplus stands back fully.
	earnedShare = 0.5
	// learnMin is the shortest time over which usual service is averaged.
	learnMin = time.Minute
)

// usage is a sum of service in seconds that fades with time.
type usage struct {
	sum float64
	at  time.Duration
}

func (u *usage) fade(now, over time.Duration) float64 {
	if now > u.at {
		u.sum *= math.Exp(-float64(now-u.at) / float64(over))
		u.at = now
	}
	return u.sum
}

// usual turns a sum into service per second.
func (q *Queue) usual(now time.Duration, u *usage) float64 {
	age := max(now-q.start, learnMin)
	over := q.cfg.UsualTime.Seconds()
	return u.fade(now, q.cfg.UsualTime) / (over * (1 - math.Exp(-age.Seconds()/over)))
}

// habit is what a caller usually sends of one work.
type habit struct {
	work *work
	used usage
	// tokens is the service in seconds, as of tokensAt, that may come before the
	// caller's requests of the work count as surplus.
	tokens   float64
	tokensAt time.Duration
}

// habit returns the caller's habit of the work. A new one has one request free.
func (c *caller) habit(now time.Duration, w *work) *habit {
	for _, h := range c.habits {
		if h.work == w {
			return h
		}
	}
	h := &habit{work: w, used: usage{at: now}, tokens: w.mean, tokensAt: now}
	c.habits = append(c.habits, h)
	return h
}

// total returns the account's usage of the work.
func (a *account) total(w *work) *usage {
	for _, h := range a.totals {
		if h.work == w {
			return &h.used
		}
	}
	h := &habit{work: w}
	a.totals = append(a.totals, h)
	return &h.used
}

// allowance returns the service per second that is not surplus for the caller. For
// a work that it seldom or never sent, that is an even part of all that it usually
// gets.
func (q *Queue) allowance(now time.Duration, c *caller, h *habit) float64 {
	even := q.usual(now, c.account.total(h.work)) / float64(max(len(c.account.callers), 1))
	known := float64(now-c.since) / float64(q.cfg.UsualTime)
	own := usualSlack*q.usual(now, &h.used) + min(floorShare+known, 1)*even
	return max(own, q.usual(now, &c.used)/float64(len(c.habits)))
}

// takesUsual reports whether a request of the work is within what its caller
// usually sends of it, and takes it from the allowance. The last one may overdraw
// it, so that a small caller's long request is not surplus. While nothing waits,
// nothing is surplus.
func (q *Queue) takesUsual(now time.Duration, c *caller, w *work) bool {
	h := c.habit(now, w)
	allow := q.allowance(now, c, h)
	h.tokens = min(h.tokens+allow*(now-h.tokensAt).Seconds(), allow*burst.Seconds()+w.mean)
	h.tokensAt = now
	if h.tokens <= 0 {
		return q.n == 0
	}
	h.tokens -= w.mean
	return true
}

// use counts service towards what is usual.
func (q *Queue) use(now time.Duration, w *waiter, service float64) {
	l, c := w.flow.share.lane, w.flow.caller
	if l.surplus {
		service *= surplusWeight
	}
	for _, u := range []*usage{&c.habit(now, l.work).used, &c.used, c.account.total(l.work), &c.account.used, &q.used} {
		u.fade(now, q.cfg.UsualTime)
		u.sum = max(u.sum+service, 0)
	}
}

// lag returns how far the account's surplus stands back behind the usual requests
// of other accounts. An account whose usual service is far below its weighted
// share, as a new one's is, stands back less, so that it comes to its share.
func (q *Queue) lag(now time.Duration, a *account) float64 {
	due := earnedShare * a.weight / float64(max(q.present, 1)) * q.usual(now, &q.used)
	part := 1.0
	if own := q.usual(now, &a.used); own < due {
		part = own / due
	}
	return part * q.cfg.AccountLag * q.mean
}
