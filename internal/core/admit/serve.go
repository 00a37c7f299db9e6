package admit

import (
	"math"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// ewmaWeight is the weight of the newest sample in the moving averages of the
// service time.
const ewmaWeight = 0.05

// assumedSlots is the number of slots that a baseline subqueue is assumed to have
// before its first departure. A surplus subqueue is assumed to have one.
const assumedSlots = 4

// deadlineBurst is the maximum of Queue.deadlineTokens.
const deadlineBurst = 2

// departureWindow is the time constant with which a subqueue's departures are
// averaged. Only time with requests waiting counts.
const departureWindow = time.Minute

// Next dequeues the request to serve next and counts it as running until Done. It
// returns false if no waiting request can be served. A kind for which canServe
// returns false never blocks other kinds.
func (q *Queue) Next(now time.Duration, canServe func(kind string) bool) (Item, bool) {
	q.expire(now)
	r := q.nearDeadline(now, canServe)
	if r == nil {
		best := q.nextAccount(canServe)
		if best == nil {
			return Item{}, false
		}
		r = q.nextSubqueue(best).flows.Top().first
		q.deadlineTokens = min(q.deadlineTokens+q.cfg.DeadlineShare, deadlineBurst)
	}
	s := r.flow.subqueue
	q.limitCredit(s, r.flow.caller)
	q.dequeue(r)
	r.running = true
	r.flow.caller.running++
	q.running++
	s.addWaitTime(now)
	s.departures++
	r.charged = s.lane.workload.meanService
	a, c := s.account, r.flow.caller
	q.virtualTime = max(q.virtualTime, a.tag)
	a.laneVirtualTime = max(a.laneVirtualTime, s.tag)
	a.callerVirtualTime = max(a.callerVirtualTime, c.tag)
	q.charge(now, r, r.charged)
	return r.item, true
}

// nearDeadline returns the request that must start now to be answered in time, or
// nil. Only a request that is its caller's single waiting one qualifies: a
// flooding caller has more of them and would use up the tokens.
func (q *Queue) nearDeadline(now time.Duration, canServe func(kind string) bool) *request {
	if q.deadlineTokens < 1 || q.byDeadline.Len() == 0 {
		return nil
	}
	r := q.byDeadline.Top()
	w := r.flow.subqueue.lane.workload
	latestStart := r.expiresAt - time.Duration(w.meanService*float64(time.Second))
	if now < latestStart || r.flow.caller.waiting > 1 || !canServe(w.kind) {
		return nil
	}
	q.deadlineTokens--
	return r
}

// nextAccount returns the account to serve next, or nil. It weighs the leads of
// the lanes against the accounts' tags.
func (q *Queue) nextAccount(canServe func(kind string) bool) *account {
	var best *account
	var bestKey float64
	for _, l := range q.lanes {
		l.servable = l.waiting > 0 && canServe(l.workload.kind)
		if !l.servable {
			continue
		}
		s := l.subqueues.Top()
		a := s.account
		key := s.laggedTag() - l.accountLead*q.meanService + l.workload.meanService/a.weight
		if best == nil || key < bestKey {
			best, bestKey = a, key
		}
	}
	if best != nil {
		for _, l := range q.lanes {
			l.blocked = !l.servable
		}
	}
	return best
}

// nextSubqueue returns the account's subqueue to serve next.
func (q *Queue) nextSubqueue(a *account) *subqueue {
	var best *subqueue
	var bestKey float64
	for _, s := range a.subqueues {
		if s.waiting == 0 || !s.lane.servable {
			continue
		}
		key := s.tag - s.lane.laneLead*q.meanService + s.lane.workload.meanService
		if best == nil || key < bestKey {
			best, bestKey = s, key
		}
	}
	return best
}

// Done ends a running request after the given service time. Zero means that it did
// not run; the service charged at dispatch is refunded.
func (q *Queue) Done(now time.Duration, id string, served time.Duration) {
	r, ok := q.items[id]
	if !ok || !r.running {
		return
	}
	seconds := max(served.Seconds(), 0)
	q.charge(now, r, seconds-r.charged)
	if seconds > 0 {
		w := r.flow.subqueue.lane.workload
		w.meanService += ewmaWeight * (seconds - w.meanService)
		q.meanService += ewmaWeight * (seconds - q.meanService)
	}
	r.running = false
	r.flow.caller.running--
	q.running--
	q.deleteRequest(r)
}

// Requeue returns a running request to the head of its flow after every upstream
// that it was sent to refused it, so it did not run. It returns false if the
// request is not running.
func (q *Queue) Requeue(now time.Duration, id string) bool {
	r, ok := q.items[id]
	if !ok || !r.running {
		return false
	}
	q.charge(now, r, -r.charged)
	r.charged = 0
	r.running = false
	r.flow.caller.running--
	q.running--
	r.flow = r.flow.caller.flow(r.flow.subqueue, r.flow.seq)
	q.enqueue(now, r, true)
	return true
}

// charge adds service, in seconds, to the tags of the request's account, subqueue
// and caller. A negative amount is a refund.
func (q *Queue) charge(now time.Duration, r *request, service float64) {
	q.recordUsage(now, r, service)
	s, c := r.flow.subqueue, r.flow.caller
	a := s.account
	a.tag += service / a.weight
	a.surplusLag = q.surplusLag(now, a)
	s.tag += service
	c.tag += service
	for _, o := range a.subqueues {
		o.lane.subqueues.Fix(o)
	}
	for _, f := range c.flows {
		f.subqueue.flows.Fix(f)
	}
}

// limitCredit bounds how far the tags of a group may lag behind virtual time after
// it was idle or its kinds could not be served. Without the bound the group would
// take every slot until it had caught up.
func (q *Queue) limitCredit(s *subqueue, c *caller) {
	a := s.account
	credit := q.cfg.IdleCredit * q.meanService
	a.tag = max(a.tag, q.virtualTime-credit/a.weight)
	s.tag = max(s.tag, a.laneVirtualTime-credit)
	c.tag = max(c.tag, a.callerVirtualTime-credit)
}

// estimateWait estimates how long a new request of the caller would wait. Surplus
// waits at least until the waiting baseline requests have been served.
func (q *Queue) estimateWait(now time.Duration, s *subqueue, c *caller) time.Duration {
	wait := q.estimateSubqueueWait(now, s, c)
	if s.lane.surplus {
		wait = max(wait, q.baselineDrainTime())
	}
	return wait
}

// baselineDrainTime estimates how long the slots in use need to serve the waiting
// baseline requests. Lanes of kinds that only wait for upstreams of their own are
// left out.
func (q *Queue) baselineDrainTime() time.Duration {
	sum := 0.0
	for _, l := range q.lanes {
		if !l.surplus && !l.blocked {
			sum += float64(l.waiting) * l.workload.meanService
		}
	}
	return time.Duration(sum / float64(max(q.running, 1)) * float64(time.Second))
}

// estimateSubqueueWait estimates the wait from the departure rate of the subqueue.
func (q *Queue) estimateSubqueueWait(now time.Duration, s *subqueue, c *caller) time.Duration {
	if s.waiting == 0 {
		return 0
	}
	// The estimate starts with one assumed departure, so that it is defined before
	// the first real one.
	guess := s.lane.workload.meanService
	if !s.lane.surplus {
		guess /= assumedSlots
	}
	interval := (guess + s.waitTime + (now - s.waitingSince).Seconds()) / (1 + s.departures)
	own := 0
	if f := c.findFlow(s); f != nil {
		own = f.waiting
	}
	ahead := min(s.waiting, (own+1)*s.flows.Len())
	return time.Duration(float64(ahead) * interval * float64(time.Second))
}

// addWaitTime adds the time since waitingSince to the departure average. The
// average is taken over time because departures come in clusters between the
// bursts of other accounts; an average over departures would be far too short.
func (s *subqueue) addWaitTime(now time.Duration) {
	d := (now - s.waitingSince).Seconds()
	s.waitingSince = now
	factor := math.Exp(-d / departureWindow.Seconds())
	s.waitTime = s.waitTime*factor + d
	s.departures *= factor
}

// expiry returns when a request can no longer be answered in time: half of the
// kind's mean service time before the deadline. The margin is at most a quarter of
// the remaining time, so that a kind whose mean exceeds its timeout is still tried
// and measured again.
func (q *Queue) expiry(now time.Duration, it Item, l *lane) time.Duration {
	if it.Deadline <= 0 {
		return -1
	}
	margin := time.Duration(l.workload.meanService / 2 * float64(time.Second))
	return it.Deadline - min(margin, max(it.Deadline-now, 0)/4)
}

func (q *Queue) refuse(reason chestnutpond.Reason, wait time.Duration) OfferResult {
	return OfferResult{Reason: reason, RetryAfter: min(max(wait, q.cfg.RetryMin), q.cfg.RetryMax)}
}
