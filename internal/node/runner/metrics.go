package runner

import (
	"errors"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// meters are the metrics of an agent.
type meters struct {
	registry *stats.Registry
	// lapses counts leases that ended while the worker did not answer.
	lapses metrics.Counter
	// unanswered counts calls for the worker's run lists without an answer.
	unanswered metrics.Counter
	// unreachable is 1 while the worker accepts no calls.
	unreachable metrics.Gauge
	// endedLinks counts links to entries that ended.
	endedLinks metrics.Counter
}

func newMeters(r *stats.Registry) *meters {
	return &meters{
		registry:    r,
		lapses:      r.Counter("agent_lapses_total", "Leases that ended while the worker did not answer."),
		unanswered:  r.Counter("agent_worker_silent_total", "Calls for the worker's lists without an answer."),
		unreachable: r.Gauge("agent_worker_unreachable", "1 while the worker accepts no connections."),
		endedLinks:  r.Counter("agent_links_ended_total", "Connections to entries that ended."),
	}
}

// orderKind is a kind of order to the worker.
type orderKind string

const (
	orderStart orderKind = "start"
	orderStop  orderKind = "stop"
	orderPace  orderKind = "pace"
)

// noAnswer is the result of an order that may still be carried out.
const noAnswer = "no_answer"

// notSent is the result of an order that the worker cannot have received.
const notSent = "not_sent"

// resultOf returns the result of an order that failed.
func resultOf(err error) string {
	var refused *chestnutpond.RefusedError
	switch {
	case errors.As(err, &refused):
		return string(refused.Refusal)
	case isNotSent(err):
		return notSent
	}
	return noAnswer
}

// countOrder counts an order by its result: "ok", the reason of a refusal, noAnswer or
// notSent.
func (m *meters) countOrder(o orderKind, result string) {
	m.registry.Counter("agent_orders_total", "Orders to the worker by kind and result.",
		stats.Label{Name: "order", Value: string(o)}, stats.Label{Name: "result", Value: result}).Inc(1)
}
