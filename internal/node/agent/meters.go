package agent

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond/internal/node/links"
)

// sampleSize and sampleAlpha weigh a histogram towards the last five minutes;
// they are the library's advice.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the agent's metrics.
type meters struct {
	// served counts answers to Serve other than refusals, refused the refusals.
	served, refused metrics.Counter
	// beatsLost counts beats without an answer.
	beatsLost metrics.Counter
	// reconnects counts ended Announce streams, and announced the bytes sent on
	// them.
	reconnects, announced metrics.Counter
	busy, tasks           metrics.Gauge
	// serveTime is in microseconds. It is no metrics.Timer, because that starts a
	// goroutine which never ends.
	serveTime metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		served:     metrics.GetOrRegisterCounter("agent.served", r),
		refused:    metrics.GetOrRegisterCounter("agent.refused", r),
		beatsLost:  metrics.GetOrRegisterCounter("agent.beats_lost", r),
		reconnects: metrics.GetOrRegisterCounter("agent.announce_streams_ended", r),
		announced:  metrics.GetOrRegisterCounter("agent.announced_bytes", r),
		busy:       metrics.GetOrRegisterGauge("agent.busy_slots", r),
		tasks:      metrics.GetOrRegisterGauge("agent.tasks", r),
		serveTime: metrics.GetOrRegisterHistogram(
			"agent.serve_time_us", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// dialer adapts links.Dialer to network.
type dialer struct {
	*links.Dialer
}

// Announce opens a stream to the entry at an address.
func (d dialer) Announce(ctx context.Context, address string) (stream, error) {
	s, err := d.Dialer.Announce(ctx, address)
	if err != nil {
		return nil, err
	}
	return s, nil
}
