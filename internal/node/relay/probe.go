package relay

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// probe asks a way that failed whether it works again.
type probe struct {
	store *Store
	way   way
	at    position
}

// probeDue starts the probes that are due. The lock is held.
func (s *Store) probeDue(now time.Duration, ways []way) {
	for _, w := range ways {
		failed := s.bad[w.name]
		if failed.probing || now < failed.due {
			continue
		}
		failed.probing = true
		p := &probe{store: s, way: w, at: s.last}
		go p.run()
	}
}

// noteRead has the next probes read from a position.
func (s *Store) noteRead(at position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = at
}

// run makes the probe: a read that waits for nothing.
func (p *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeAnswer)
	defer cancel()
	_, err := p.way.store.Read(ctx, p.at.topic, p.at.from, 0)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		err = nil
	}
	p.store.meters.attempted(opRead, p.way, err)
	p.store.probed(p.way, err)
}

// probed notes what became of a probe.
func (s *Store) probed(w way, err error) {
	if !broken(err) {
		s.mark(w, nil)
		return
	}
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed := s.bad[w.name]; failed != nil {
		failed.probing = false
		failed.wait = min(2*failed.wait, probeMost)
		failed.due = now + failed.wait
	}
}
