package serve

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// requestMetrics holds the metrics of requests.
type requestMetrics struct {
	registry *stats.Registry
	// crossRegionBytes counts the bytes of requests sent to upstreams of other regions.
	crossRegionBytes metrics.Counter
}

func newRequestMetrics(r *stats.Registry) *requestMetrics {
	return &requestMetrics{
		registry: r,
		crossRegionBytes: r.Counter("far_bytes_total", "Bytes sent to other regions, by what sent them.",
			stats.Label{Name: "part", Value: "request"}),
	}
}

// observe counts a finished request by outcome. It records the duration of answered
// requests only, because fast refusals would lower the latency seen during a flood.
func (m *requestMetrics) observe(r Request, res Result, elapsed time.Duration) {
	outcome := stats.Label{Name: "outcome", Value: string(res.Outcome)}
	m.registry.Counter("requests_total", "Requests by outcome.", outcome).Inc(1)
	if res.Outcome != chestnutpond.OutcomeAnswered {
		return
	}
	class := stats.Label{Name: "class", Value: string(r.Kind.Class)}
	m.registry.Seconds("request_seconds", "Time from admission to answer of answered requests.", class).Observe(elapsed)
}
