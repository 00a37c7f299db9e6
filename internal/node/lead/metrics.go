package lead

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// meters are the metrics of a Manager.
type meters struct {
	registry *stats.Registry
	// decide measures a scheduling round, append the storing of its records.
	decide, append *stats.Seconds
	// forecast measures the computation of a forecast.
	forecast      *stats.Seconds
	leads, agents metrics.Gauge
	// rejected counts the records that the store rejected.
	rejected metrics.Counter
	// queues has the gauges of waiting jobs that have been set.
	queues map[plan.QueueAccount]metrics.Gauge
	// waiting and running count jobs; usable, ejected and away count workers.
	waiting, running, usable, ejected, away metrics.Gauge
}

func newMeters(r *stats.Registry) *meters {
	state := func(name, help, state string) metrics.Gauge {
		return r.Gauge(name, help, stats.Label{Name: "state", Value: state})
	}
	jobs := func(s string) metrics.Gauge { return state("lead_jobs", "Jobs that are not over, by state.", s) }
	workers := func(s string) metrics.Gauge { return state("lead_workers", "Workers by state.", s) }
	return &meters{
		queues:  map[plan.QueueAccount]metrics.Gauge{},
		waiting: jobs("waiting"), running: jobs("running"),
		usable: workers("usable"), ejected: workers("ejected"), away: workers("away"),
		registry: r,
		decide:   r.Seconds("lead_decide_seconds", "Time of one round of decisions."),
		append:   r.Seconds("lead_append_seconds", "Time until the records of a round were stored."),
		forecast: r.Seconds("lead_forecast_seconds", "Time to compute a forecast."),
		leads:    r.Gauge("lead_leads", "1 while this entry leads."),
		agents:   r.Gauge("lead_agents", "Agents that report to this entry."),
		rejected: r.Counter("lead_rejected_records_total", "Records that the store rejected."),
	}
}

// termStarted counts a term by the reason of its claim.
func (m *meters) termStarted(why string) {
	m.registry.Counter("lead_terms_total", "Terms of this entry by why it claimed.",
		stats.Label{Name: "reason", Value: why}).Inc(1)
	m.leads.Update(1)
}

// termEnded records that this entry no longer leads.
func (m *meters) termEnded() { m.leads.Update(0) }

// countNote counts a decision. The details of notes are from a fixed set of texts,
// except for those of jobs, which begin with the state.
func (m *meters) countNote(n plan.Note) {
	switch n.Kind {
	case plan.NoteRunEnd:
		m.registry.Counter("lead_run_ends_total", "Runs that ended, by how.",
			stats.Label{Name: "ending", Value: n.Detail}).Inc(1)
	case plan.NoteStopped:
		m.registry.Counter("lead_run_stops_total", "Runs that were stopped, by why.",
			stats.Label{Name: "reason", Value: n.Detail}).Inc(1)
	case plan.NoteStarted:
		m.registry.Seconds("lead_job_wait_seconds", "Time from a job's acceptance to its first run, by queue.",
			stats.Label{Name: "queue", Value: n.Queue}).Observe(n.Took)
	case plan.NoteEnded:
		m.registry.Seconds("lead_job_seconds", "Time from a job's acceptance to its end, by queue and state.",
			stats.Label{Name: "queue", Value: n.Queue}, stats.Label{Name: "state", Value: string(n.State)}).Observe(n.Took)
	}
}

// setCounts updates the gauges of jobs and workers.
func (m *meters) setCounts(c plan.Counts) {
	m.waiting.Update(int64(c.Waiting))
	m.running.Update(int64(c.Running))
	m.usable.Update(int64(c.Usable))
	m.ejected.Update(int64(c.Ejected))
	m.away.Update(int64(c.Unavailable))
	for key, n := range c.Queues {
		if m.queues[key] == nil {
			m.queues[key] = m.registry.Gauge("lead_jobs_waiting", "Jobs without a run, by queue and account.",
				stats.Label{Name: "queue", Value: key.Queue}, stats.Label{Name: "account", Value: key.Account})
		}
		m.queues[key].Update(int64(n))
	}
	for key, gauge := range m.queues {
		if c.Queues[key] == 0 {
			gauge.Update(0)
		}
	}
}

// since returns the time that has passed since a reading of the clock.
func (m *Manager) since(began time.Duration) time.Duration { return m.cfg.Now() - began }
