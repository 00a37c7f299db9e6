package front

import (
	"context"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// metered counts the calls to an intake by call, outcome and reason.
type metered struct {
	chestnutpond.Intake

	registry *stats.Registry
}

// Metered returns an intake that forwards the calls to in and counts them.
func Metered(in chestnutpond.Intake, r *stats.Registry) chestnutpond.Intake {
	return &metered{Intake: in, registry: r}
}

// count counts a call and returns its verdict.
func (m *metered) count(call string, v chestnutpond.Verdict) chestnutpond.Verdict {
	m.registry.Counter("front_calls_total", "Calls of clients by kind, outcome and reason.",
		stats.Label{Name: "call", Value: call},
		stats.Label{Name: "outcome", Value: string(v.Outcome)},
		stats.Label{Name: "reason", Value: string(v.Reason)},
	).Inc(1)
	return v
}

// Route implements chestnutpond.Intake. It counts only calls that it does not
// route; the others are counted by the method that handles them.
func (m *metered) Route(call chestnutpond.IntakeCall) (chestnutpond.IntakeTarget, chestnutpond.Verdict) {
	target, v := m.Intake.Route(call)
	if v.Outcome != chestnutpond.OutcomeAnswered {
		m.count("route", v)
	}
	return target, v
}

// Submit implements chestnutpond.Intake.
func (m *metered) Submit(ctx context.Context, target chestnutpond.IntakeTarget, g chestnutpond.Graph) chestnutpond.Verdict {
	return m.count("submit", m.Intake.Submit(ctx, target, g))
}

// State implements chestnutpond.Intake.
func (m *metered) State(ctx context.Context, target chestnutpond.IntakeTarget, id chestnutpond.JobID) (chestnutpond.JobState, chestnutpond.Verdict) {
	state, v := m.Intake.State(ctx, target, id)
	return state, m.count("state", v)
}

// Cancel implements chestnutpond.Intake.
func (m *metered) Cancel(ctx context.Context, target chestnutpond.IntakeTarget, id chestnutpond.JobID) chestnutpond.Verdict {
	return m.count("cancel", m.Intake.Cancel(ctx, target, id))
}

// Waiting implements chestnutpond.Intake.
func (m *metered) Waiting(target chestnutpond.IntakeTarget) (int, chestnutpond.Verdict) {
	n, v := m.Intake.Waiting(target)
	return n, m.count("waiting", v)
}
