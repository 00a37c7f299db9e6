package jobsvc

import (
	"context"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// metered counts the calls to a service by call, outcome and reason.
type metered struct {
	chestnutpond.GraphService

	registry *stats.Registry
}

// WithMetrics returns a service that forwards the calls to in and counts them.
func WithMetrics(in chestnutpond.GraphService, r *stats.Registry) chestnutpond.GraphService {
	return &metered{GraphService: in, registry: r}
}

// count counts a call and returns its result.
func (m *metered) count(call string, v chestnutpond.CallResult) chestnutpond.CallResult {
	m.registry.Counter("front_calls_total", "Calls of clients by kind, outcome and reason.",
		stats.Label{Name: "call", Value: call},
		stats.Label{Name: "outcome", Value: string(v.Outcome)},
		stats.Label{Name: "reason", Value: string(v.Reason)},
	).Inc(1)
	return v
}

// Route implements chestnutpond.GraphService. It counts only calls that it does not
// route; the others are counted by the method that handles them.
func (m *metered) Route(call chestnutpond.RouteRequest) (chestnutpond.RouteTarget, chestnutpond.CallResult) {
	target, v := m.GraphService.Route(call)
	if v.Outcome != chestnutpond.OutcomeAnswered {
		m.count("route", v)
	}
	return target, v
}

// Submit implements chestnutpond.GraphService.
func (m *metered) Submit(ctx context.Context, target chestnutpond.RouteTarget, g chestnutpond.Graph) chestnutpond.CallResult {
	return m.count("submit", m.GraphService.Submit(ctx, target, g))
}

// State implements chestnutpond.GraphService.
func (m *metered) State(ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID) (chestnutpond.JobState, chestnutpond.CallResult) {
	state, v := m.GraphService.State(ctx, target, id)
	return state, m.count("state", v)
}

// Cancel implements chestnutpond.GraphService.
func (m *metered) Cancel(ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID) chestnutpond.CallResult {
	return m.count("cancel", m.GraphService.Cancel(ctx, target, id))
}

// Waiting implements chestnutpond.GraphService.
func (m *metered) Waiting(target chestnutpond.RouteTarget) (int, chestnutpond.CallResult) {
	n, v := m.GraphService.Waiting(target)
	return n, m.count("waiting", v)
}
