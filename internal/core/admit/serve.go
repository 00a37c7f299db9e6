package admit

import (
	"math"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// meanStep is the weight of the newest sample in the moving averages.
const meanStep = 0.05

// guessedSlots is the number of slots that a lane of an account is assumed to
// have before its first departure; surplus is assumed to have one.
const guessedSlots = 4

// deadlineBurst bounds the requests near their deadlines that are served one after
// the other.
const deadlineBurst = 2

// waitMemory is the waiting time over which the departures of a share are averaged.
const waitMemory = time.Minute

// Next removes the request that is to be served now and counts it as running
// until Done. It returns false if nothing that waits can be served. A kind for
// which canServe is false never holds back another kind.
func (q *Queue) Next(now time.Duration, canServe func(kind string) bool) (Item, bool) {
	q.expire(now)
	w := q.nearDeadline(now, canServe)
	if w == nil {
		best := q.nextAccount(canServe)
		if best == nil {
			return Item{}, false
		}
		w = q.nextShare(best).flows.Top().first
		q.ahead = min(q.ahead+q.cfg.DeadlineShare, deadlineBurst)
	}
	s := w.flow.share
	q.catchUp(s, w.flow.caller)
	q.detach(w)
	w.running = true
	w.flow.caller.running++
	q.running++
	s.elapse(now)
	s.departures++
	w.charged = s.lane.work.mean
	a, c := s.account, w.flow.caller
	q.tag = max(q.tag, a.tag)
	a.laneTag = max(a.laneTag, s.tag)
	a.callerTag = max(a.callerTag, c.tag)
	q.charge(now, w, w.charged)
	return w.item, true
}

// nearDeadline returns the request that must start now to be answered in time, if
// it is the only one of its caller that waits and the bound on such requests allows
// it. A caller that floods has more waiting, and would use up the bound.
func (q *Queue) nearDeadline(now time.Duration, canServe func(kind string) bool) *waiter {
	if q.ahead < 1 || q.deadline.Len() == 0 {
		return nil
	}
	w := q.deadline.Top()
	k := w.flow.share.lane.work
	due := w.giveUp - time.Duration(k.mean*float64(time.Second))
	if now < due || w.flow.caller.waiting > 1 || !canServe(k.kind) {
		return nil
	}
	q.ahead--
	return w
}

// nextAccount returns the account whose turn it is.
func (q *Queue) nextAccount(canServe func(kind string) bool) *account {
	var best *account
	var bestKey float64
	for _, l := range q.lanes {
		l.servable = l.n > 0 && canServe(l.work.kind)
		if !l.servable {
			continue
		}
		s := l.shares.Top()
		a := s.account
		key := s.turn() - l.lead*q.mean + l.work.mean/a.weight
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

// nextShare returns the lane of the account whose turn it is.
func (q *Queue) nextShare(a *account) *share {
	var best *share
	var bestKey float64
	for _, s := range a.shares {
		if s.n == 0 || !s.lane.servable {
			continue
		}
		key := s.tag - s.lane.inner*q.mean + s.lane.work.mean
		if best == nil || key < bestKey {
			best, bestKey = s, key
		}
	}
	return best
}

// Done ends a running request that was served for that long. A zero time means
// that it did not run: its share gets the service back.
func (q *Queue) Done(now time.Duration, id string, served time.Duration) {
	w, ok := q.items[id]
	if !ok || !w.running {
		return
	}
	s := max(served.Seconds(), 0)
	q.charge(now, w, s-w.charged)
	if s > 0 {
		k := w.flow.share.lane.work
		k.mean += meanStep * (s - k.mean)
		q.mean += meanStep * (s - q.mean)
	}
	w.running = false
	w.flow.caller.running--
	q.running--
	q.forget(w)
}

// PutBack returns a running request to the head of its queue, because it was
// refused wherever it was sent and did not run. It returns false if the request
// does not run.
func (q *Queue) PutBack(now time.Duration, id string) bool {
	w, ok := q.items[id]
	if !ok || !w.running {
		return false
	}
	q.charge(now, w, -w.charged)
	w.charged = 0
	w.running = false
	w.flow.caller.running--
	q.running--
	w.flow = w.flow.caller.flow(w.flow.share, w.flow.seq)
	q.attach(now, w, true)
	return true
}

// charge adds service in seconds to the tags of the request's groups.
func (q *Queue) charge(now time.Duration, w *waiter, service float64) {
	q.use(now, w, service)
	s, c := w.flow.share, w.flow.caller
	a := s.account
	a.tag += service / a.weight
	a.lag = q.lag(now, a)
	s.tag += service
	c.tag += service
	for _, o := range a.shares {
		o.lane.shares.Fix(o)
	}
	for _, f := range c.flows {
		f.share.flows.Fix(f)
	}
}

// catchUp bounds how far the tags lag behind those that were served, for groups
// that were idle or whose kinds could not be served for a time. Without the
// bound they would take every slot until they had made up for it.
func (q *Queue) catchUp(s *share, c *caller) {
	a := s.account
	credit := q.cfg.Credit * q.mean
	a.tag = max(a.tag, q.tag-credit/a.weight)
	s.tag = max(s.tag, a.laneTag-credit)
	c.tag = max(c.tag, a.callerTag-credit)
}

// wait estimates how long a new request of the caller would wait.
func (q *Queue) wait(now time.Duration, s *share, c *caller) time.Duration {
	wait := q.waitInShare(now, s, c)
	if s.lane.surplus {
		wait = max(wait, q.drain())
	}
	return wait
}

// drain returns how long the slots in use would take to serve the usual work that
// waits. Kinds that wait for targets of their own are left out.
func (q *Queue) drain() time.Duration {
	sum := 0.0
	for _, l := range q.lanes {
		if !l.surplus && !l.blocked {
			sum += float64(l.n) * l.work.mean
		}
	}
	return time.Duration(sum / float64(max(q.running, 1)) * float64(time.Second))
}

// waitInShare estimates the wait from the departures of the share.
func (q *Queue) waitInShare(now time.Duration, s *share, c *caller) time.Duration {
	if s.n == 0 {
		return 0
	}
	// The estimate starts from one departure at a guessed gap.
	guess := s.lane.work.mean
	if !s.lane.surplus {
		guess /= guessedSlots
	}
	gap := (guess + s.waited + (now - s.busySince).Seconds()) / (1 + s.departures)
	own := 0
	if f := c.find(s); f != nil {
		own = f.n
	}
	ahead := min(s.n, (own+1)*s.flows.Len())
	return time.Duration(float64(ahead) * gap * float64(time.Second))
}

// elapse counts the time since the last departure, or since the share began to
// wait. It is weighted by time: departures come in clusters between the bursts of
// others, so an average over departures is far too short.
func (s *share) elapse(now time.Duration) {
	d := (now - s.busySince).Seconds()
	s.busySince = now
	keep := math.Exp(-d / waitMemory.Seconds())
	s.waited = s.waited*keep + d
	s.departures *= keep
}

// giveUp returns when a request can no longer be answered in time: half of the
// kind's average service time before the deadline. The margin is at most a
// quarter of the time that the request has, so that a kind whose average went
// past the timeout is still tried and measured again.
func (q *Queue) giveUp(now time.Duration, it Item, l *lane) time.Duration {
	if it.Deadline <= 0 {
		return -1
	}
	margin := time.Duration(l.work.mean / 2 * float64(time.Second))
	return it.Deadline - min(margin, max(it.Deadline-now, 0)/4)
}

func (q *Queue) refuse(reason chestnutpond.Reason, wait time.Duration) Verdict {
	return Verdict{Reason: reason, RetryAfter: min(max(wait, q.cfg.RetryMin), q.cfg.RetryMax)}
}
