package admit

import (
	"math"
	"time"
)

const (
	// baselineSlack is the factor by which a caller may exceed its baseline rate
	// before its requests count as surplus.
	baselineSlack = 1.5
	// newCallerShare is the part of an even share of its account's baseline rate
	// that a new caller gets. It grows to the full even share over
	// Config.BaselineWindow, so that the noise in a small caller's short history does
	// not make its requests surplus.
	newCallerShare = 0.1
	// burstWindow is the time whose allowance a caller may save up and use at
	// once.
	burstWindow = 2 * time.Minute
	// surplusWeight is the part of the service of surplus requests that counts
	// towards the baseline. It is low so that a flood of ten minutes does not
	// become the baseline.
	surplusWeight = 0.05
	// fullLagShare is the part of its weighted share that an account's baseline
	// rate must reach for the full Config.AccountLag to apply to its surplus.
	fullLagShare = 0.5
	// minBaselineAge is the shortest history over which baseline rates are
	// averaged.
	minBaselineAge = time.Minute
)

// usage is an exponentially decayed sum of service, in seconds.
type usage struct {
	sum float64
	at  time.Duration
}

func (u *usage) decay(now, window time.Duration) float64 {
	if now > u.at {
		u.sum *= math.Exp(-float64(now-u.at) / float64(window))
		u.at = now
	}
	return u.sum
}

// rate converts decayed usage into service seconds per second, the baseline rate.
// It corrects for a history shorter than Config.BaselineWindow.
func (q *Queue) rate(now time.Duration, u *usage) float64 {
	age := max(now-q.startedAt, minBaselineAge)
	window := q.cfg.BaselineWindow.Seconds()
	return u.decay(now, q.cfg.BaselineWindow) / (window * (1 - math.Exp(-age.Seconds()/window)))
}

// baseline is a caller's usage of one workload, with the token bucket that tells
// its baseline requests from surplus. The totals of an account use only the usage.
type baseline struct {
	workload *workload
	usage    usage
	// tokens is the level of the bucket at tokensAt, in seconds of service.
	tokens   float64
	tokensAt time.Duration
}

// baseline returns the caller's baseline for the workload, creating it if needed.
// A new one has tokens for one request.
func (c *caller) baseline(now time.Duration, w *workload) *baseline {
	for _, b := range c.baselines {
		if b.workload == w {
			return b
		}
	}
	b := &baseline{workload: w, usage: usage{at: now}, tokens: w.meanService, tokensAt: now}
	c.baselines = append(c.baselines, b)
	return b
}

// total returns the account's usage of the workload.
func (a *account) total(w *workload) *usage {
	for _, b := range a.totals {
		if b.workload == w {
			return &b.usage
		}
	}
	b := &baseline{workload: w}
	a.totals = append(a.totals, b)
	return &b.usage
}

// allowance returns the refill rate of the caller's token bucket, in service
// seconds per second. A workload that the caller seldom or never sent gets at
// least an even part of the caller's total baseline rate.
func (q *Queue) allowance(now time.Duration, c *caller, b *baseline) float64 {
	even := q.rate(now, c.account.total(b.workload)) / float64(max(len(c.account.callers), 1))
	age := float64(now-c.since) / float64(q.cfg.BaselineWindow)
	own := baselineSlack*q.rate(now, &b.usage) + min(newCallerShare+age, 1)*even
	return max(own, q.rate(now, &c.usage)/float64(len(c.baselines)))
}

// takeAllowance reports whether a request of the workload is within the caller's
// allowance, and takes its tokens. The bucket may go negative once, so that a long
// request of a small caller is not surplus. While no request waits, nothing counts
// as surplus.
func (q *Queue) takeAllowance(now time.Duration, c *caller, w *workload) bool {
	b := c.baseline(now, w)
	allow := q.allowance(now, c, b)
	b.tokens = min(b.tokens+allow*(now-b.tokensAt).Seconds(), allow*burstWindow.Seconds()+w.meanService)
	b.tokensAt = now
	if b.tokens <= 0 {
		return q.waiting == 0
	}
	b.tokens -= w.meanService
	return true
}

// recordUsage adds service, in seconds, to the usage behind the baseline rates.
func (q *Queue) recordUsage(now time.Duration, r *request, service float64) {
	l, c := r.flow.subqueue.lane, r.flow.caller
	if l.surplus {
		service *= surplusWeight
	}
	for _, u := range []*usage{&c.baseline(now, l.workload).usage, &c.usage, c.account.total(l.workload), &c.account.usage, &q.usage} {
		u.decay(now, q.cfg.BaselineWindow)
		u.sum = max(u.sum+service, 0)
	}
}

// surplusLag returns how far the account's surplus is ranked behind the baseline
// requests of other accounts, in seconds of service. The lag is reduced for an
// account whose baseline rate is far below its weighted share, such as a new one,
// so that it can reach its share.
func (q *Queue) surplusLag(now time.Duration, a *account) float64 {
	minRate := fullLagShare * a.weight / float64(max(q.accountCount, 1)) * q.rate(now, &q.usage)
	share := 1.0
	if rate := q.rate(now, &a.usage); rate < minRate {
		share = rate / minRate
	}
	return share * q.cfg.AccountLag * q.meanService
}
