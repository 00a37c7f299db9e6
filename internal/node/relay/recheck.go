package relay

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// recheckInterval is the time between two checks of a store that does not respond.
	// It bounds how late its return is noticed.
	recheckInterval = 100 * time.Millisecond
	// recheckTimeout bounds a check. A store that is slowed down 66 times responds in
	// 300 ms.
	recheckTimeout = time.Second
	// maxRechecks bounds the checks that wait for a response.
	maxRechecks = int(recheckTimeout / recheckInterval)
)

// idleCloser is a store client that can close the connections that it does not use.
type idleCloser interface{ CloseIdleConnections() }

// Run checks the direct route in short intervals whenever it does not respond, until the
// context ends. Once it responds again, all pending calls are repeated over it at once.
// Their former attempts may wait for responses that will never come.
func (s *Store) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.suspected:
		}
		c := &rechecker{store: s, results: make(chan attemptResult, maxRechecks)}
		if c.run(ctx) {
			s.announceReturn()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(recheckInterval):
		}
	}
}

// suspect starts the checks of the direct route if Run is not at them already.
func (s *Store) suspect() {
	select {
	case s.suspected <- struct{}{}:
	default:
	}
}

// returnSignal returns a channel that is closed when the direct route responds again
// after it was suspected.
func (s *Store) returnSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returned
}

// announceReturn restores the direct route and has pending calls use it. Idle connections
// are closed first, because they may have gone silent in the outage.
func (s *Store) announceReturn() {
	if c, ok := s.cfg.Direct.(idleCloser); ok {
		c.CloseIdleConnections()
	}
	s.markRoute(route{name: direct, store: s.cfg.Direct}, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.returned)
	s.returned = make(chan struct{})
}

// rechecker checks the direct route until it responds.
type rechecker struct {
	store   *Store
	results chan attemptResult
	pending int
}

// run reports whether the route responded before the context ended.
func (c *rechecker) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	c.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			c.start(ctx)
		case r := <-c.results:
			c.pending--
			c.store.meters.countAttempt(opRead, r.route, r.err)
			if !isRouteFault(r.err) && ctx.Err() == nil {
				return true
			}
		}
	}
}

// start sends one check unless too many are pending.
func (c *rechecker) start(ctx context.Context) {
	if c.pending == maxRechecks {
		return
	}
	c.pending++
	s := c.store
	at := s.position()
	a := &attempt{
		route: route{name: direct, store: s.cfg.Recheck}, began: s.cfg.Now(), ctx: ctx, done: c.results,
		call: func(ctx context.Context, st chestnutpond.Store) error {
			ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
			defer cancel()
			_, err := st.Read(ctx, at.topic, at.from, 0)
			return err
		},
	}
	go a.run()
}

// position returns the position of the most recent read.
func (s *Store) position() position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}
