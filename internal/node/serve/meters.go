package serve

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// meters are the metrics of requests.
type meters struct {
	registry *stats.Registry
	// farSent counts the bytes of requests sent to upstreams of other regions.
	farSent metrics.Counter
}

func newMeters(r *stats.Registry) *meters {
	return &meters{
		registry: r,
		farSent: r.Counter("far_bytes_total", "Bytes sent to other regions, by what sent them.",
			stats.Label{Name: "part", Value: "request"}),
	}
}

// note counts a request that is over. Only answered ones have a completion time,
// so that quick refusals do not make a flood look fast.
func (m *meters) note(r Request, res Result, took time.Duration) {
	outcome := stats.Label{Name: "outcome", Value: string(res.Outcome)}
	m.registry.Counter("requests_total", "Requests by outcome.", outcome).Inc(1)
	if res.Outcome != chestnutpond.OutcomeAnswered {
		return
	}
	class := stats.Label{Name: "class", Value: string(r.Kind.Class)}
	m.registry.Seconds("request_seconds", "Time from admission to answer of answered requests.", class).Observe(took)
}
