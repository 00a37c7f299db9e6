package peers

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// groupMetrics holds the metrics of the membership.
type groupMetrics struct {
	// heartbeats counts the messages of agents whose home is this entry.
	heartbeats metrics.Counter
	// exchangeSent and exchangeReceived count the bytes of exchange replies, and
	// farSent the sent bytes that went to entries of other regions.
	exchangeSent, exchangeReceived, farSent metrics.Counter
}

func newGroupMetrics(r *stats.Registry) *groupMetrics {
	exchange := func(direction string) metrics.Counter {
		return r.Counter("exchange_bytes_total", "Bytes of member rows exchanged with other entries.",
			stats.Label{Name: "direction", Value: direction})
	}
	return &groupMetrics{
		heartbeats:   r.Counter("heartbeats_total", "Heartbeats and rows heard from agents."),
		exchangeSent: exchange("sent"), exchangeReceived: exchange("received"),
		farSent: r.Counter("far_bytes_total", "Bytes sent to other regions, by what sent them.",
			stats.Label{Name: "part", Value: "exchange"}),
	}
}
