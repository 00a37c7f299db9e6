package admit

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

func (q *Queue) callerLimit(a *account) int {
	return max(int(float64(a.limit)*q.cfg.CallerShare), 1)
}

// selectVictims returns the flows that must each evict their newest request before
// another request of the caller fits. If eviction can't make it fit, it returns
// the reason for the refusal.
func (q *Queue) selectVictims(a *account, l *lane, c *caller) ([]*flow, chestnutpond.Reason) {
	var victims []*flow
	if c.waiting >= q.callerLimit(a) {
		f := c.evictionFlow()
		if !evictable(f, l, c) {
			return nil, chestnutpond.ReasonCallerLimit
		}
		victims = append(victims, f)
	}
	if len(victims) == 0 && a.waiting >= a.limit {
		f := a.evictHeap.Top()
		if !evictable(f, l, c) {
			return nil, chestnutpond.ReasonQueueFull
		}
		victims = append(victims, f)
	}
	if l.workload.waiting >= q.cfg.KindLimit && (len(victims) == 0 || victims[0].subqueue.lane.workload != l.workload) {
		f := l.workload.evictHeap.Top()
		if !evictable(f, l, c) {
			return nil, chestnutpond.ReasonQueueFull
		}
		victims = append(victims, f)
	}
	if len(victims) == 0 && q.Len() >= q.cfg.Limit {
		if q.waiting == 0 {
			return nil, chestnutpond.ReasonQueueFull
		}
		heaviest := q.byBacklog.Top()
		f := heaviest.evictHeap.Top()
		if heaviest == a && !evictable(f, l, c) || heaviest != a && float64(heaviest.waiting-1)/heaviest.weight <= float64(a.waiting)/a.weight {
			return nil, chestnutpond.ReasonQueueFull
		}
		victims = append(victims, f)
	}
	return victims, ""
}

// evictable reports whether f has to evict a request in favor of one of caller c
// in lane l. Surplus is evicted in favor of baseline requests, never the reverse;
// otherwise the longer flow evicts.
func evictable(f *flow, l *lane, c *caller) bool {
	if f.subqueue.lane.surplus != l.surplus {
		return f.subqueue.lane.surplus
	}
	own := 0
	for _, o := range c.flows {
		if o.subqueue.lane == l {
			own = o.waiting
		}
	}
	return f.waiting > own+1
}

// enqueue adds a request to its flow, at the head if it was dispatched before.
func (q *Queue) enqueue(now time.Duration, r *request, atHead bool) {
	f := r.flow
	s, c := f.subqueue, f.caller
	a, l := s.account, s.lane
	q.limitCredit(s, c)
	q.unmarkIdle(c)
	if s.waiting == 0 {
		s.waitingSince = now
	}
	if atHead {
		f.pushFront(r)
	} else {
		f.pushBack(r)
	}
	s.waiting++
	l.waiting++
	l.workload.waiting++
	a.waiting++
	q.waiting++
	c.waiting++
	if f.waiting == 1 {
		s.flows.Push(f)
		l.workload.evictHeap.Push(f)
		a.evictHeap.Push(f)
	} else {
		s.flows.Fix(f)
		l.workload.evictHeap.Fix(f)
		a.evictHeap.Fix(f)
	}
	if s.waiting == 1 {
		l.subqueues.Push(s)
	}
	if a.waiting == 1 {
		q.byBacklog.Push(a)
	} else {
		q.byBacklog.Fix(a)
	}
	for _, o := range a.subqueues {
		o.lane.subqueues.Fix(o)
	}
	for _, o := range c.flows {
		o.subqueue.flows.Fix(o)
	}
	if r.expiresAt >= 0 {
		q.byDeadline.Push(r)
	}
}

// dequeue removes a waiting request from its flow.
func (q *Queue) dequeue(r *request) {
	f := r.flow
	s, c := f.subqueue, f.caller
	a, l := s.account, s.lane
	f.unlink(r)
	s.waiting--
	l.waiting--
	l.workload.waiting--
	a.waiting--
	q.waiting--
	c.waiting--
	if f.waiting == 0 {
		s.flows.Remove(f)
		l.workload.evictHeap.Remove(f)
		a.evictHeap.Remove(f)
	} else {
		s.flows.Fix(f)
		l.workload.evictHeap.Fix(f)
		a.evictHeap.Fix(f)
	}
	if s.waiting == 0 {
		l.subqueues.Remove(s)
	}
	if a.waiting == 0 {
		q.byBacklog.Remove(a)
	} else {
		q.byBacklog.Fix(a)
	}
	q.byDeadline.Remove(r)
}

// deleteRequest deletes a request that is neither waiting nor running.
func (q *Queue) deleteRequest(r *request) {
	delete(q.items, r.item.ID)
	c := r.flow.caller
	if r.flow.waiting == 0 {
		c.removeFlow(r.flow)
	}
	q.markIdle(c)
}

// markIdle adds a caller without requests to the list of idle callers, which are
// dropped from its head when there are too many. A caller that was never served
// goes to the head, so that a flood under many caller names does not drop the
// usage history of other callers.
func (q *Queue) markIdle(c *caller) {
	if c.waiting > 0 || c.running > 0 || c.idle {
		return
	}
	c.idle = true
	switch {
	case q.idleFirst == nil:
		q.idleFirst, q.idleLast = c, c
	case c.usage.sum == 0:
		c.idleNext, q.idleFirst.idlePrev, q.idleFirst = q.idleFirst, c, c
	default:
		c.idlePrev, q.idleLast.idleNext, q.idleLast = q.idleLast, c, c
	}
	for q.callerCount > q.cfg.CallerLimit && q.idleFirst != nil {
		q.dropCaller(q.idleFirst)
	}
	q.dropAccount(c.account)
}

func (q *Queue) addCaller(a *account, now time.Duration, name string) *caller {
	c := &caller{name: name, account: a, since: now}
	a.callers[name] = c
	q.callerCount++
	return c
}

func (q *Queue) dropCaller(c *caller) {
	q.unmarkIdle(c)
	delete(c.account.callers, c.name)
	q.callerCount--
}

func (q *Queue) unmarkIdle(c *caller) {
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

// dropAccount deletes an account that is no longer in the document and has no
// requests.
func (q *Queue) dropAccount(a *account) {
	if a.limit > 0 || a.waiting > 0 {
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

// lane returns the lane of the kind and class, creating it if needed. An unknown
// class counts as bulk, which bounds the number of lanes.
func (q *Queue) lane(kind string, class chestnutpond.Class, surplus bool) *lane {
	if class.Rank() > chestnutpond.ClassBulk.Rank() {
		class = chestnutpond.ClassBulk
	}
	var w *workload
	for _, l := range q.lanes {
		if l.workload.kind != kind || l.workload.class != class {
			continue
		}
		if l.surplus == surplus {
			return l
		}
		w = l.workload
	}
	if w == nil {
		w = newWorkload(kind, class, q.meanService)
	}
	l := newLane(w, surplus)
	switch class {
	case chestnutpond.ClassUrgent:
		l.accountLead = q.cfg.UrgentLead
	case chestnutpond.ClassStandard:
		l.accountLead = q.cfg.StandardLead
	}
	l.laneLead = l.accountLead
	if surplus {
		l.accountLead = 0
		l.laneLead -= q.cfg.SurplusLag
	}
	q.lanes = append(q.lanes, l)
	return l
}

func (a *account) subqueue(l *lane) *subqueue {
	for _, s := range a.subqueues {
		if s.lane == l {
			return s
		}
	}
	s := newSubqueue(a, l)
	a.subqueues = append(a.subqueues, s)
	return s
}

// evictionFlow returns the caller's flow that evicts first. The caller must have
// requests waiting.
func (c *caller) evictionFlow() *flow {
	var best *flow
	for _, f := range c.flows {
		if f.waiting > 0 && (best == nil || evictsBefore(f, best)) {
			best = f
		}
	}
	return best
}

func (c *caller) findFlow(s *subqueue) *flow {
	for _, f := range c.flows {
		if f.subqueue == s {
			return f
		}
	}
	return nil
}

// flow returns the caller's flow in the subqueue, creating it if needed.
func (c *caller) flow(s *subqueue, seq uint64) *flow {
	if f := c.findFlow(s); f != nil {
		return f
	}
	f := &flow{subqueue: s, caller: c, seq: seq, heapIndex: -1, workloadEvictIndex: -1, accountEvictIndex: -1}
	c.flows = append(c.flows, f)
	return f
}

func (c *caller) removeFlow(f *flow) {
	for i, o := range c.flows {
		if o == f {
			c.flows = append(c.flows[:i], c.flows[i+1:]...)
			return
		}
	}
}
