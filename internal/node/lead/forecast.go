package lead

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// maxPredictions limits the jobs whose predicted start is retained until they start. The
// forecast error of further jobs is not measured.
const maxPredictions = 4096

// forecast is the leader's newest forecast and the predictions that it is measured by.
type forecast struct {
	forecaster *fcast.Forecaster
	// known means that digest is the forecast of this term; it is false until all workers
	// have reported.
	known  bool
	digest fcast.Digest
	// predicted has the predicted delays of accepted jobs that have not started.
	predicted map[chestnutpond.JobID]time.Duration
}

func newForecast() forecast {
	return forecast{forecaster: fcast.New(), predicted: map[chestnutpond.JobID]time.Duration{}}
}

// predict retains the predicted start of a job that was just accepted.
func (f *forecast) predict(g *chestnutpond.Graph) {
	if _, ok := f.predicted[g.ID]; ok || !f.known || g.Schedule.Repetitions > 0 || len(f.predicted) >= maxPredictions {
		return
	}
	_, class, _ := f.digest.Delay(g)
	f.predicted[g.ID] = class.First
}

// updateForecast computes a forecast if the leader record that carries it is due. The
// computation is outside the lock, because client calls wait for the lock.
func (m *Manager) updateForecast(t *term, now time.Duration, wall time.Time) {
	if !m.cfg.Forecasts || now-t.lastHeartbeat < heartbeatInterval {
		return
	}
	var digest fcast.Digest
	known := false
	began := m.cfg.Now()
	// A panic must not end the term; entries accept everything without a forecast.
	m.cfg.Guard.Run(func() {
		snapshot, ok := m.forecastSnapshot(t, now)
		digest = t.forecast.forecaster.Compute(snapshot).WithComputed(wall)
		known = ok
	})
	m.meters.forecast.Observe(m.since(began))
	m.mu.Lock()
	defer m.mu.Unlock()
	t.forecast.known, t.forecast.digest = known, digest
}

func (m *Manager) forecastSnapshot(t *term, now time.Duration) (fcast.Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.planner.ForecastSnapshot(now)
}

// forecastMessage returns the forecast for the leader record, or nil.
func (m *Manager) forecastMessage(t *term) *inner.ForecastDigest {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.forecast.known {
		return nil
	}
	return t.forecast.digest.Encode()
}

// measureForecast compares the predicted starts of jobs with the actual ones. The lock is
// held.
func (m *Manager) measureForecast(t *term, notes []plan.Note) {
	for _, n := range notes {
		predicted, ok := t.forecast.predicted[n.Job]
		if !ok || n.Kind != plan.NoteStarted && n.Kind != plan.NoteEnded {
			continue
		}
		delete(t.forecast.predicted, n.Job)
		if n.Kind == plan.NoteStarted {
			m.meters.observeForecast(n.Queue, predicted, n.Took)
		}
	}
}

// observeForecast records the error of the forecast for a job that started.
func (m *meters) observeForecast(queue string, predicted, took time.Duration) {
	direction, by := "later", took-predicted
	if by < 0 {
		direction, by = "earlier", -by
	}
	m.registry.Seconds("lead_forecast_error_seconds", "How much later or earlier a job began than was predicted when it was accepted.",
		stats.Label{Name: "queue", Value: queue}, stats.Label{Name: "direction", Value: direction}).Observe(by)
}

// received is the forecast of the newest leader record.
type received struct {
	// known is false if the record has no forecast.
	known  bool
	digest fcast.Digest
	// at is when the record was applied.
	at time.Duration
}

// receiveForecast retains the forecast of a leader record. The lock is held.
func (m *Manager) receiveForecast(l graph.Leader) {
	m.received = received{known: m.cfg.Forecasts && l.GetForecast() != nil && !l.GetReleased(), at: m.cfg.Now()}
	if m.received.known {
		m.received.digest = fcast.Decode(l.GetForecast())
	}
}

// Forecast returns the newest forecast that the entry has, and its age: the longer of the
// time since it was applied and the time since it was computed by the clocks of both
// machines. The last result is false if there is none.
func (m *Manager) Forecast() (fcast.Digest, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &m.received
	return r.digest, max(m.cfg.Now()-r.at, m.cfg.WallClock().Sub(r.digest.Computed)), r.known
}

// UrgentDemand returns the number of accelerators that the unfinished jobs of priority 0 of
// an account need, according to the records that the entry has read.
func (m *Manager) UrgentDemand(account string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := int64(0)
	m.table.Jobs(func(j *graph.Job) {
		if j.Graph.Account == account && j.Graph.Queue.Priority == 0 && !j.Phase().Final() {
			sum += openDemand(j)
		}
	})
	return sum
}

// openDemand returns the accelerators of the steps of a job that are not done and whose
// predecessors are.
func openDemand(j *graph.Job) int64 {
	occurrences := j.State.GetOccurrences()
	if len(occurrences) == 0 {
		return fcast.UrgentDemand(j.Graph)
	}
	sum := int64(0)
	for _, o := range occurrences {
		done := func(step int) bool { return step < len(o.GetSteps()) && o.GetSteps()[step].GetDone() }
		for i := range j.Graph.Steps {
			s := &j.Graph.Steps[i]
			open := !done(i)
			for _, a := range s.After {
				open = open && done(a)
			}
			if open {
				sum += int64(s.Count) * s.Need.Accelerators
			}
		}
	}
	return sum
}
