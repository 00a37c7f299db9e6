package lead

import (
	"math"
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
	// learnedGroups and learnedBytes are the size of what has been learned and of its
	// record; learnedInvalid counts the records that a new leader could not use.
	learnedGroups, learnedBytes metrics.Gauge
	learnedInvalid              metrics.Counter
	// predictions has the errors of predictions by queue.
	predictions map[string]*predictionErrors
	// queues has the gauges of waiting jobs that have been set.
	queues map[plan.QueueAccount]metrics.Gauge
	// waiting and running count jobs; usable, ejected and away count workers.
	waiting, running, usable, ejected, away metrics.Gauge
	// evacuated has the gauges of runs in evacuated zones that have been set.
	evacuated map[string]metrics.Gauge
	// startsHeld is 1 while no starts are handed out.
	startsHeld metrics.Gauge
}

func newMeters(r *stats.Registry) *meters {
	state := func(name, help, state string) metrics.Gauge {
		return r.Gauge(name, help, stats.Label{Name: "state", Value: state})
	}
	jobs := func(s string) metrics.Gauge { return state("lead_jobs", "Jobs that are not over, by state.", s) }
	workers := func(s string) metrics.Gauge { return state("lead_workers", "Workers by state.", s) }
	return &meters{
		queues:     map[plan.QueueAccount]metrics.Gauge{},
		evacuated:  map[string]metrics.Gauge{},
		startsHeld: r.Gauge("lead_starts_held", "1 while no runs are started because the requests of the operators may be out of date."),
		waiting:    jobs("waiting"), running: jobs("running"),
		usable: workers("usable"), ejected: workers("ejected"), away: workers("away"),
		registry:       r,
		decide:         r.Seconds("lead_decide_seconds", "Time of one round of decisions."),
		append:         r.Seconds("lead_append_seconds", "Time until the records of a round were stored."),
		leads:          r.Gauge("lead_leads", "1 while this entry leads."),
		agents:         r.Gauge("lead_agents", "Agents that report to this entry."),
		learnedGroups:  r.Gauge("lead_learned_groups", "Groups of tasks whose durations this entry has learned as the leader."),
		learnedBytes:   r.Gauge("lead_learned_bytes", "Size of the last record of learned durations."),
		learnedInvalid: r.Counter("lead_learned_invalid_total", "Records of learned durations that a new term could not use."),
		predictions:    map[string]*predictionErrors{},
		rejected:       r.Counter("lead_rejected_records_total", "Records that the store rejected."),
		forecast:       r.Seconds("lead_forecast_seconds", "Time to compute a forecast."),
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
	case plan.NotePredicted:
		m.countPrediction(n)
	case plan.NoteStarted:
		m.registry.Seconds("lead_job_wait_seconds", "Time from a job's acceptance to its first run, by queue.",
			stats.Label{Name: "queue", Value: n.Queue}).Observe(n.Took)
	case plan.NoteEnded:
		m.registry.Seconds("lead_job_seconds", "Time from a job's acceptance to its end, by queue and state.",
			stats.Label{Name: "queue", Value: n.Queue}, stats.Label{Name: "state", Value: string(n.State)}).Observe(n.Took)
	}
}

// predictionErrors are the errors of the predictions of a queue.
type predictionErrors struct {
	runs, underP90 metrics.Counter
	rms            metrics.GaugeFloat64
	// weight and meanSquare are of the logarithms of the errors, with exponential weights.
	weight, meanSquare float64
}

// predictionWindow is the number of runs over which the error of predictions is averaged.
const predictionWindow = 100

// countPrediction compares a run with its prediction. The share of lead_predicted_runs_total
// that lead_predicted_under_p90_total counts is 0.9 if the predictions are calibrated.
func (m *meters) countPrediction(n plan.Note) {
	e := m.predictions[n.Queue]
	if e == nil {
		queue := stats.Label{Name: "queue", Value: n.Queue}
		e = &predictionErrors{
			runs:     m.registry.Counter("lead_predicted_runs_total", "Completed runs whose duration was predicted, by queue.", queue),
			underP90: m.registry.Counter("lead_predicted_under_p90_total", "Those within the predicted 90th percentile.", queue),
			rms: m.registry.GaugeFloat64("lead_prediction_error",
				"Root mean square of the natural logarithm of actual over predicted duration, by queue.", queue),
		}
		m.predictions[n.Queue] = e
	}
	e.runs.Inc(1)
	if n.Took <= n.Prediction.P90 {
		e.underP90.Inc(1)
	}
	off := math.Log(float64(n.Took) / float64(n.Prediction.Median))
	e.weight = min(e.weight+1, predictionWindow)
	e.meanSquare += (off*off - e.meanSquare) / e.weight
	e.rms.Update(math.Sqrt(e.meanSquare))
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

// setEvacuated updates the gauges of the runs that are left in evacuated zones.
func (m *meters) setEvacuated(runs map[string]int) {
	for zone, n := range runs {
		if m.evacuated[zone] == nil {
			m.evacuated[zone] = m.registry.Gauge("lead_evacuated_zone_runs", "Runs that are left in an evacuated zone.",
				stats.Label{Name: "zone", Value: zone})
		}
		m.evacuated[zone].Update(int64(n))
	}
	for zone, gauge := range m.evacuated {
		if _, ok := runs[zone]; !ok {
			gauge.Update(0)
		}
	}
}

// setStartsHeld records whether starts are held back.
func (m *meters) setStartsHeld(held bool) {
	value := int64(0)
	if held {
		value = 1
	}
	m.startsHeld.Update(value)
}
