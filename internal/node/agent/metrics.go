package agent

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond/internal/node/links"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// meters are the agent's metrics.
type meters struct {
	// served counts replies to Serve other than refusals, refused the refusals.
	served, refused metrics.Counter
	// beatsLost counts gang heartbeats without a reply.
	beatsLost metrics.Counter
	// reconnects counts Announce streams that ended, announced the bytes sent on
	// Announce streams.
	reconnects, announced metrics.Counter
	busy, tasks           metrics.Gauge
	serveTime             *stats.Seconds
}

func newMeters(r *stats.Registry) *meters {
	return &meters{
		served:     r.Counter("agent_served_total", "Requests that the upstream was asked to run."),
		refused:    r.Counter("agent_refused_total", "Requests that were refused and did not run."),
		beatsLost:  r.Counter("agent_beats_lost_total", "Gang beats without an answer."),
		reconnects: r.Counter("agent_announce_streams_ended_total", "Announce streams that ended."),
		announced:  r.Counter("agent_announced_bytes_total", "Bytes sent to the home entry."),
		busy:       r.Gauge("agent_busy_slots", "Request slots in use."),
		tasks:      r.Gauge("agent_tasks", "Tasks that are reserved, waiting or running."),
		serveTime:  r.Seconds("agent_serve_seconds", "Time of a request at the upstream."),
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
