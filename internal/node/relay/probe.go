package relay

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// probe checks whether a failed route works again.
type probe struct {
	store *Store
	route route
	at    position
}

// startProbes starts the probes that are due. The caller must hold s.mu.
func (s *Store) startProbes(now time.Duration, routes []route) {
	for _, r := range routes {
		failed := s.failed[r.name]
		if failed.probing || now < failed.due {
			continue
		}
		failed.probing = true
		p := &probe{store: s, route: r, at: s.lastRead}
		go p.run()
	}
}

// setLastRead sets the position that the next probes read from.
func (s *Store) setLastRead(at position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = at
}

// run probes the route with a read that does not wait for records.
func (p *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := p.route.store.Read(ctx, p.at.topic, p.at.from, 0)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		err = nil
	}
	p.store.meters.countAttempt(opRead, p.route, err)
	p.store.finishProbe(p.route, err)
}

// finishProbe restores the route if the probe succeeded, and otherwise schedules the next
// probe.
func (s *Store) finishProbe(r route, err error) {
	if !isRouteFault(err) {
		s.markRoute(r, nil)
		return
	}
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed := s.failed[r.name]; failed != nil {
		failed.probing = false
		failed.wait = min(2*failed.wait, probeMaxDelay)
		failed.due = now + failed.wait
	}
}
