package serve

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/core/route"
)

// acquire waits in the admission queue for a target with a free slot. The
// caller ends the item with s.done when it got a target.
func (s *Server) acquire(ctx context.Context, r Request, w *waiter, deadline time.Duration) (string, *Result) {
	if refused := s.offer(r, w, deadline); refused != nil {
		return "", refused
	}
	return s.await(ctx, r, w)
}

// putBack returns a request that did not run to the head of its queue and waits
// for another target.
func (s *Server) putBack(ctx context.Context, r Request, w *waiter) (string, *Result) {
	s.mu.Lock()
	if !s.queue.PutBack(s.now(), r.ID) {
		s.mu.Unlock()
		return "", notRun(chestnutpond.ReasonNoUpstream)
	}
	s.waiting[r.ID] = w
	s.dispatch()
	s.mu.Unlock()
	return s.await(ctx, r, w)
}

func (s *Server) await(ctx context.Context, r Request, w *waiter) (string, *Result) {
	select {
	case g := <-w.granted:
		return g.target, g.refused
	case <-ctx.Done():
		return s.abandon(r, w)
	}
}

func (s *Server) offer(r Request, w *waiter, deadline time.Duration) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.queue.Offer(s.now(), admit.Item{
		ID: r.ID, Account: r.Account, Caller: r.Caller, Kind: r.Kind.Name,
		Class: r.Kind.Class, Deadline: deadline, Bytes: len(r.Body),
	})
	for _, it := range verdict.Displaced {
		s.refuse(it, chestnutpond.ReasonQueueFull)
	}
	if !verdict.Admitted {
		return &Result{
			Outcome: chestnutpond.OutcomeNotRun, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter,
		}
	}
	s.waiting[r.ID] = w
	s.dispatch()
	return nil
}

// abandon takes a request back whose caller went away. The grant may have come
// first.
func (s *Server) abandon(r Request, w *waiter) (string, *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := &Result{Outcome: chestnutpond.OutcomeNotRun, Reason: chestnutpond.ReasonConnectionLost}
	if s.queue.Remove(r.ID) {
		delete(s.waiting, r.ID)
		return "", gone
	}
	g := <-w.granted
	if g.refused != nil {
		return "", g.refused
	}
	s.router.End(s.now(), g.target, w.kind, route.ResultAbandoned, 0, 0, -1)
	s.queue.Done(s.now(), r.ID, 0)
	s.dispatch()
	return "", gone
}

// done ends a request that got a target.
func (s *Server) done(r Request, served time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(s.now(), r.ID, served)
	s.dispatch()
}

// dispatch grants targets to waiting requests. The caller holds mu.
func (s *Server) dispatch() {
	now := s.now()
	for {
		it, ok := s.queue.Next(now, func(kind string) bool { return s.router.CanServe(now, kind) })
		if !ok {
			break
		}
		target, ok := s.router.Pick(now, route.Query{Kind: it.Kind, Bytes: it.Bytes})
		if !ok {
			s.queue.PutBack(now, it.ID)
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

// refuse answers a waiting request that the queue dropped. The caller holds mu.
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

// another picks a target for a further attempt, and waits for a slot until the
// deadline.
func (s *Server) another(r Request, tried []string, deadline time.Duration) (string, bool) {
	for {
		s.mu.Lock()
		target, ok := s.router.Pick(s.now(), route.Query{Kind: r.Kind.Name, Bytes: len(r.Body), Exclude: tried})
		if !ok && len(tried) > 0 {
			// With every target tried once, the first may have a slot again.
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
	timer := time.NewTimer(min(left, sweepEvery))
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
