package relay

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// operation is a store operation.
type operation string

const (
	opAppend operation = "append"
	opRead   operation = "read"
	opNewest operation = "newest"
)

// meters holds the metrics of store calls and their attempts.
type meters struct {
	registry *stats.Registry
	// sent and received count the bytes of keys and values.
	sent, received metrics.Counter
}

func newMeters(r *stats.Registry) *meters {
	const help = "Bytes of keys and values of records, by direction."
	return &meters{
		registry: r,
		sent:     r.Counter("store_record_bytes_total", help, stats.Label{Name: "direction", Value: "sent"}),
		received: r.Counter("store_record_bytes_total", help, stats.Label{Name: "direction", Value: "received"}),
	}
}

// countAttempt counts an attempt by operation, type of route and result.
func (m *meters) countAttempt(op operation, r route, err error) {
	name, result := "relay", "ok"
	if r.name == direct {
		name = "direct"
	}
	if err != nil {
		result = string(faultOf(err))
	}
	m.registry.Counter("store_attempts_total", "Attempts of calls to the store by operation, way and result.",
		stats.Label{Name: "operation", Value: string(op)},
		stats.Label{Name: "way", Value: name},
		stats.Label{Name: "result", Value: result},
	).Inc(1)
}

// observeCall records the duration of a call that did not wait for records.
func (m *meters) observeCall(op operation, d time.Duration) {
	m.registry.Seconds("store_call_seconds", "Time of calls to the store that do not wait for records.",
		stats.Label{Name: "operation", Value: string(op)}).Observe(d)
}

// sizeOf returns the total size of keys and values in bytes.
func sizeOf(records []chestnutpond.KeyedRecord) int64 {
	sum := 0
	for _, r := range records {
		sum += len(r.Key) + len(r.Value)
	}
	return int64(sum)
}
