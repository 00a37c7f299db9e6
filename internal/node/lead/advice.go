package lead

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

// adviceTimeoutMargin is how long a call for advice may take beyond the time that
// the queue's policy gives for it.
const adviceTimeoutMargin = time.Second

// adviceRequester sends requests to the advice service one at a time, because the
// service answers the requests of a host one after the other.
type adviceRequester struct {
	manager *Manager
}

// loop sends the planner's requests until the context ends.
func (r *adviceRequester) loop(ctx context.Context) {
	m := r.manager
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.adviceWanted:
		}
		for ctx.Err() == nil && r.request(ctx) {
		}
	}
}

// request sends the planner's next request. It returns false if there is none or if
// the request failed.
func (r *adviceRequester) request(ctx context.Context) bool {
	m := r.manager
	sent := m.cfg.Now()
	m.mu.Lock()
	t := m.term
	var inquiry plan.Inquiry
	wanted := false
	if t != nil {
		inquiry, wanted = t.planner.NextInquiry(sent)
	}
	m.mu.Unlock()
	if !wanted {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inquiry.ResponseTime+adviceTimeoutMargin)
	defer cancel()
	tickets, err := m.cfg.Adviser.Advise(ctx, inquiry.Step, inquiry.Workers)
	took := m.since(sent)
	if err != nil {
		m.cfg.Log.Warn("advice request failed", "job", inquiry.Step.Job, "step", inquiry.Step.String(), "workers", len(inquiry.Workers),
			"took", took, "error", err)
	} else {
		m.cfg.Log.Info("advised", "job", inquiry.Step.Job, "step", inquiry.Step.String(), "workers", len(inquiry.Workers),
			"allowed", len(tickets), "took", took)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		t.planner.RecordAdviceFailure(m.cfg.Now(), inquiry)
		return false
	}
	t.planner.RecordAdvice(m.cfg.Now(), sent, inquiry, tickets)
	m.wakeUp()
	return true
}

// signalAdvice makes the adviceRequester check whether the planner wants advice.
func (m *Manager) signalAdvice() {
	select {
	case m.adviceWanted <- struct{}{}:
	default:
	}
}
