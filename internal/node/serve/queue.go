package serve

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/core/route"
)

// acquire waits in the admission queue for a target with a free slot. If it
// returns a target, the caller must call s.done when the request has ended.
func (s *Server) acquire(ctx context.Context, r Request, w *waiter, deadline time.Duration) (string, *Result) {
	if refused := s.enqueue(r, w, deadline); refused != nil {
		return "", refused
	}
	return s.awaitGrant(ctx, r, w)
}

// requeue puts a request that did not run back at the head of its queue and waits
// for another target.
func (s *Server) requeue(ctx context.Context, r Request, w *waiter) (string, *Result) {
	s.mu.Lock()
	if !s.queue.Requeue(s.now(), r.ID) {
		s.mu.Unlock()
		return "", notRun(chestnutpond.ReasonNoUpstream)
	}
	s.waiting[r.ID] = w
	s.dispatch()
	s.mu.Unlock()
	return s.awaitGrant(ctx, r, w)
}

func (s *Server) awaitGrant(ctx context.Context, r Request, w *waiter) (string, *Result) {
	select {
	case g := <-w.granted:
		return g.target, g.refused
	case <-ctx.Done():
		return s.cancelWait(r, w)
	}
}

func (s *Server) enqueue(r Request, w *waiter, deadline time.Duration) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.queue.Offer(s.now(), admit.Item{
		ID: r.ID, Account: r.Account, Caller: r.Caller, Kind: r.Kind.Name,
		Class: r.Kind.Class, Deadline: deadline, Bytes: len(r.Body),
	})
	for _, it := range decision.Evicted {
		s.refuse(it, chestnutpond.ReasonQueueFull)
	}
	if !decision.Admitted {
		return &Result{
			Outcome: chestnutpond.OutcomeNotRun, Reason: decision.Reason, RetryAfter: decision.RetryAfter,
		}
	}
	s.waiting[r.ID] = w
	s.dispatch()
	return nil
}

// cancelWait removes from the queue a request whose caller has disconnected. If a
// target was already granted, cancelWait releases it.
func (s *Server) cancelWait(r Request, w *waiter) (string, *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := &Result{Outcome: chestnutpond.OutcomeNotRun, Reason: chestnutpond.ReasonConnectionLost}
	if s.queue.Remove(r.ID) {
		delete(s.waiting, r.ID)
		return "", cancelled
	}
	g := <-w.granted
	if g.refused != nil {
		return "", g.refused
	}
	s.router.End(s.now(), g.target, w.kind, route.ResultAbandoned, 0, 0, -1)
	s.queue.Done(s.now(), r.ID, 0)
	s.dispatch()
	return "", cancelled
}

// done releases the admission slot of a request that got a target.
func (s *Server) done(r Request, served time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(s.now(), r.ID, served)
	s.dispatch()
}

// dispatch grants targets to waiting requests while there are any. The caller holds
// mu.
func (s *Server) dispatch() {
	now := s.now()
	for {
		it, ok := s.queue.Next(now, func(kind string) bool { return s.router.CanServe(now, kind) })
		if !ok {
			break
		}
		target, ok := s.router.Pick(now, route.Query{Kind: it.Kind, Bytes: it.Bytes})
		if !ok {
			s.queue.Requeue(now, it.ID)
			break
		}
		w := s.waiting[it.ID]
		delete(s.waiting, it.ID)
		s.router.Begin(now, target, it.Kind, it.Bytes)
		w.granted <- grant{target: target}
	}
	close(s.freed)
	s.freed = make(chan struct{})
}

// refuse rejects a waiting request that was removed from the queue. The caller
// holds mu.
func (s *Server) refuse(it admit.Item, reason chestnutpond.Reason) {
	w, ok := s.waiting[it.ID]
	if !ok {
		return
	}
	delete(s.waiting, it.ID)
	w.granted <- grant{refused: notRun(reason)}
}

func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.queue.Expired(s.now()) {
		s.refuse(it, chestnutpond.ReasonDeadline)
	}
	s.dispatch()
}

// acquireForRetry picks a target for another attempt. It waits until the deadline
// for one with a free slot.
func (s *Server) acquireForRetry(r Request, tried []string, deadline time.Duration) (string, bool) {
	for {
		s.mu.Lock()
		target, ok := s.router.Pick(s.now(), route.Query{Kind: r.Kind.Name, Bytes: len(r.Body), Exclude: tried})
		if !ok && len(tried) > 0 {
			// No untried target is available; allow one that was tried already,
			// which may have a free slot again.
			target, ok = s.router.Pick(s.now(), route.Query{Kind: r.Kind.Name, Bytes: len(r.Body)})
		}
		if ok {
			s.router.Begin(s.now(), target, r.Kind.Name, len(r.Body))
		}
		freed := s.freed
		s.mu.Unlock()
		if ok {
			return target, true
		}
		if !s.waitFreed(freed, deadline) {
			return "", false
		}
	}
}

func (s *Server) waitFreed(freed <-chan struct{}, deadline time.Duration) bool {
	left := deadline - s.now()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, sweepInterval))
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
	return s.now() < deadline
}

func notRun(reason chestnutpond.Reason) *Result {
	return &Result{Outcome: chestnutpond.OutcomeNotRun, Reason: reason, RetryAfter: time.Second}
}
