package admit

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

func (q *Queue) callerLimit(a *account) int {
	return max(int(float64(a.limit)*q.cfg.CallerShare), 1)
}

// room returns the flows that each have to give up their newest request before
// one more of the caller fits, and the reason if there is no room for it.
func (q *Queue) room(a *account, l *lane, c *caller) ([]*flow, chestnutpond.Reason) {
	var victims []*flow
	if c.waiting >= q.callerLimit(a) {
		f := c.longest()
		if !over(f, l, c) {
			return nil, chestnutpond.ReasonCallerLimit
		}
		victims = append(victims, f)
	}
	if len(victims) == 0 && a.n >= a.limit {
		f := a.longest.Top()
		if !over(f, l, c) {
			return nil, chestnutpond.ReasonQueueFull
		}
		victims = append(victims, f)
	}
	if l.work.n >= q.cfg.KindLimit && (len(victims) == 0 || victims[0].share.lane.work != l.work) {
		f := l.work.longest.Top()
		if !over(f, l, c) {
			return nil, chestnutpond.ReasonQueueFull
		}
		victims = append(victims, f)
	}
	if len(victims) == 0 && q.Len() >= q.cfg.Limit {
		if q.n == 0 {
			return nil, chestnutpond.ReasonQueueFull
		}
		b := q.big.Top()
		f := b.longest.Top()
		if b == a && !over(f, l, c) || b != a && float64(b.n-1)/b.weight <= float64(a.n)/a.weight {
			return nil, chestnutpond.ReasonQueueFull
		}
		victims = append(victims, f)
	}
	return victims, ""
}

// over reports whether the flow has to give up a request for one of the caller in
// the lane: surplus gives way to usual requests, and a longer queue to a shorter.
func over(f *flow, l *lane, c *caller) bool {
	if f.share.lane.surplus != l.surplus {
		return f.share.lane.surplus
	}
	own := 0
	for _, o := range c.flows {
		if o.share.lane == l {
			own = o.n
		}
	}
	return f.n > own+1
}

// attach puts a request into its flow, at the front if it was there before.
func (q *Queue) attach(now time.Duration, w *waiter, front bool) {
	f := w.flow
	s, c := f.share, f.caller
	a, l := s.account, s.lane
	q.catchUp(s, c)
	q.unidle(c)
	if s.n == 0 {
		s.busySince = now
	}
	if front {
		f.pushFront(w)
	} else {
		f.pushBack(w)
	}
	s.n++
	l.n++
	l.work.n++
	a.n++
	q.n++
	c.waiting++
	if f.n == 1 {
		s.flows.Push(f)
		l.work.longest.Push(f)
		a.longest.Push(f)
	} else {
		s.flows.Fix(f)
		l.work.longest.Fix(f)
		a.longest.Fix(f)
	}
	if s.n == 1 {
		l.shares.Push(s)
	}
	if a.n == 1 {
		q.big.Push(a)
	} else {
		q.big.Fix(a)
	}
	for _, o := range a.shares {
		o.lane.shares.Fix(o)
	}
	for _, o := range c.flows {
		o.share.flows.Fix(o)
	}
	if w.giveUp >= 0 {
		q.deadline.Push(w)
	}
}

// detach takes a waiting request out of its flow.
func (q *Queue) detach(w *waiter) {
	f := w.flow
	s, c := f.share, f.caller
	a, l := s.account, s.lane
	f.unlink(w)
	s.n--
	l.n--
	l.work.n--
	a.n--
	q.n--
	c.waiting--
	if f.n == 0 {
		s.flows.Remove(f)
		l.work.longest.Remove(f)
		a.longest.Remove(f)
	} else {
		s.flows.Fix(f)
		l.work.longest.Fix(f)
		a.longest.Fix(f)
	}
	if s.n == 0 {
		l.shares.Remove(s)
	}
	if a.n == 0 {
		q.big.Remove(a)
	} else {
		q.big.Fix(a)
	}
	q.deadline.Remove(w)
}

// forget drops a request that neither waits nor runs any more.
func (q *Queue) forget(w *waiter) {
	delete(q.items, w.item.ID)
	c := w.flow.caller
	if w.flow.n == 0 {
		c.drop(w.flow)
	}
	q.settle(c)
}

// settle puts a caller without requests into the idle list. One that was never
// served is the next to be forgotten, so that a flood under many names does not
// drive out what is known of others.
func (q *Queue) settle(c *caller) {
	if c.waiting > 0 || c.running > 0 || c.idle {
		return
	}
	c.idle = true
	switch {
	case q.idleFirst == nil:
		q.idleFirst, q.idleLast = c, c
	case c.used.sum == 0:
		c.idleNext, q.idleFirst.idlePrev, q.idleFirst = q.idleFirst, c, c
	default:
		c.idlePrev, q.idleLast.idleNext, q.idleLast = q.idleLast, c, c
	}
	for q.known > q.cfg.CallerLimit && q.idleFirst != nil {
		q.dropCaller(q.idleFirst)
	}
	q.dropAccount(c.account)
}

func (q *Queue) addCaller(a *account, now time.Duration, name string) *caller {
	c := &caller{name: name, account: a, since: now}
	a.callers[name] = c
	q.known++
	return c
}

func (q *Queue) dropCaller(c *caller) {
	q.unidle(c)
	delete(c.account.callers, c.name)
	q.known--
}

func (q *Queue) unidle(c *caller) {
	if !c.idle {
		return
	}
	if c.idlePrev != nil {
		c.idlePrev.idleNext = c.idleNext
	} else {
		q.idleFirst = c.idleNext
	}
	if c.idleNext != nil {
		c.idleNext.idlePrev = c.idlePrev
	} else {
		q.idleLast = c.idlePrev
	}
	c.idlePrev, c.idleNext, c.idle = nil, nil, false
}

// dropAccount forgets an account that is not in the document any more and has
// nothing left.
func (q *Queue) dropAccount(a *account) {
	if a.limit > 0 || a.n > 0 {
		return
	}
	for _, c := range a.callers {
		if !c.idle {
			return
		}
	}
	for _, c := range a.callers {
		q.dropCaller(c)
	}
	if q.accounts[a.name] == a {
		delete(q.accounts, a.name)
	}
}

// lane returns the lane of the kind. A class that is not one of the three counts
// as bulk, which bounds the number of lanes.
func (q *Queue) lane(kind string, class chestnutpond.Class, surplus bool) *lane {
	if class.Rank() > chestnutpond.ClassBulk.Rank() {
		class = chestnutpond.ClassBulk
	}
	var w *work
	for _, l := range q.lanes {
		if l.work.kind != kind || l.work.class != class {
			continue
		}
		if l.surplus == surplus {
			return l
		}
		w = l.work
	}
	if w == nil {
		w = newWork(kind, class, q.mean)
	}
	l := newLane(w, surplus)
	switch class {
	case chestnutpond.ClassUrgent:
		l.lead = q.cfg.UrgentLead
	case chestnutpond.ClassStandard:
		l.lead = q.cfg.StandardLead
	}
	l.inner = l.lead
	if surplus {
		l.lead = 0
		l.inner -= q.cfg.SurplusLag
	}
	q.lanes = append(q.lanes, l)
	return l
}

func (a *account) share(l *lane) *share {
	for _, s := range a.shares {
		if s.lane == l {
			return s
		}
	}
	s := newShare(a, l)
	a.shares = append(a.shares, s)
	return s
}

// longest returns the flow of the caller that gives up a request first. The caller
// has requests waiting.
func (c *caller) longest() *flow {
	var best *flow
	for _, f := range c.flows {
		if f.n > 0 && (best == nil || longer(f, best)) {
			best = f
		}
	}
	return best
}

func (c *caller) find(s *share) *flow {
	for _, f := range c.flows {
		if f.share == s {
			return f
		}
	}
	return nil
}

// flow returns the caller's flow in the share and makes one if there is none.
func (c *caller) flow(s *share, seq uint64) *flow {
	if f := c.find(s); f != nil {
		return f
	}
	f := &flow{share: s, caller: c, seq: seq, flowAt: -1, workLongAt: -1, accountLongAt: -1}
	c.flows = append(c.flows, f)
	return f
}

func (c *caller) drop(f *flow) {
	for i, o := range c.flows {
		if o == f {
			c.flows = append(c.flows[:i], c.flows[i+1:]...)
			return
		}
	}
}
