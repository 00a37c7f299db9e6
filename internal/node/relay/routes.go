package relay

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// direct is the name of the direct route.
const direct = ""

// route is a route to the store.
type route struct {
	// name is the address of the relay, or direct.
	name  string
	store chestnutpond.Store
}

// DirectAvailable reports whether the direct route works.
func (s *Store) DirectAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.directLost
}

// Health returns the time since the store last responded to a call and the current
// estimate of its response time.
func (s *Store) Health() (time.Duration, time.Duration) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.lastResponse, s.latency
}

// observeLatency records a response and updates the latency estimate. Waited means that
// the call may have waited for records, so that its duration is not counted.
func (s *Store) observeLatency(took time.Duration, waited bool) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = now
	switch {
	case waited:
	case took > s.latency:
		s.latency = took
	default:
		s.latency -= (s.latency - took) / latencyDecay
	}
}

// routes returns the routes in the order in which they are tried, and starts probes of
// failed routes that are due.
func (s *Store) routes() []route {
	now := s.cfg.Now()
	peers := s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	var healthy, failing []route
	for i, name := range append([]string{direct}, peers...) {
		r := route{name: name, store: s.cfg.Direct}
		if i > 0 {
			r.store = &client{mesh: s.cfg.Mesh, address: name}
		}
		if failed := s.failed[name]; failed != nil {
			failing = append(failing, r)
			continue
		}
		healthy = append(healthy, r)
	}
	if len(healthy) > 0 {
		s.startProbes(now, failing)
	}
	all := append(healthy, failing...)
	return all[:min(len(all), maxRoutes)]
}

// markRoute records the result of a call over a route.
func (s *Store) markRoute(r route, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch failed := s.failed[r.name]; {
	case err == nil:
		delete(s.failed, r.name)
	case failed == nil:
		s.failed[r.name] = &failedRoute{due: s.cfg.Now() + probeInitialDelay, wait: probeInitialDelay}
	}
	if r.name != direct {
		return
	}
	if err != nil {
		s.suspect()
	}
	if s.directLost != (err != nil) {
		s.directLost = err != nil
		if s.directLost {
			s.cfg.Log.Warn("own way to the store lost", "error", err)
		} else {
			s.cfg.Log.Info("own way to the store is back")
		}
	}
}

// errUnanswered marks a route as failed whose call was still pending when a hedged
// request over another route got a response.
var errUnanswered = Error.New("no answer before that of a hedged request over another route")

// markUnanswered marks routes as failed whose attempts have been pending for at least
// limit.
func (s *Store) markUnanswered(pending map[route]time.Duration, limit time.Duration) {
	now := s.cfg.Now()
	for r, began := range pending {
		if now-began >= limit {
			s.markRoute(r, errUnanswered)
		}
	}
}
