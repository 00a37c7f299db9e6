package relay

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// direct names the process's own way.
const direct = ""

// way is one way to the store.
type way struct {
	// name is the address of the relay, or direct.
	name  string
	store chestnutpond.Store
}

// Direct reports whether the process's own way works.
func (s *Store) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost
}

// Answered returns how long ago the store last answered a call, and what an
// answer takes at present.
func (s *Store) Answered() (time.Duration, time.Duration) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.answered, s.usual
}

// timed notes an answer that took a time; waited means that the call may have
// waited for a record.
func (s *Store) timed(took time.Duration, waited bool) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = now
	switch {
	case waited:
	case took > s.usual:
		s.usual = took
	default:
		s.usual -= (s.usual - took) / usualWeight
	}
}

// ways returns the ways in the order in which they are tried.
func (s *Store) ways() []way {
	now := s.cfg.Now()
	peers := s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	var good, bad []way
	for i, name := range append([]string{direct}, peers...) {
		w := way{name: name, store: s.cfg.Direct}
		if i > 0 {
			w.store = &client{mesh: s.cfg.Mesh, address: name}
		}
		if failed := s.bad[name]; failed != nil {
			bad = append(bad, w)
			continue
		}
		good = append(good, w)
	}
	if len(good) > 0 {
		s.probeDue(now, bad)
	}
	all := append(good, bad...)
	return all[:min(len(all), maxWays)]
}

// mark notes whether a way worked.
func (s *Store) mark(w way, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch failed := s.bad[w.name]; {
	case err == nil:
		delete(s.bad, w.name)
	case failed == nil:
		s.bad[w.name] = &failedWay{due: s.cfg.Now() + probeFirst, wait: probeFirst}
	}
	if w.name != direct {
		return
	}
	if s.lost != (err != nil) {
		s.lost = err != nil
		if s.lost {
			s.cfg.Log.Warn("own way to the store lost", "error", err)
		} else {
			s.cfg.Log.Info("own way to the store is back")
		}
	}
}

// errSilent is why a way is tried last that left a call without an answer for so
// long that another one was faster.
var errSilent = Error.New("no answer while another way had one")

// markSilent notes that ways have left a call open for longer than the given time.
func (s *Store) markSilent(open map[way]time.Duration, limit time.Duration) {
	now := s.cfg.Now()
	for w, began := range open {
		if now-began >= limit {
			s.mark(w, errSilent)
		}
	}
}
