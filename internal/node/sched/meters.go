package sched

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// meters are the metrics of one region. The gauges are zero while another entry
// schedules the region.
type meters struct {
	registry *stats.Registry
	region   stats.Label
	// preemptions counts attempts told to make room, workLost the seconds of
	// accelerators whose work was thrown away.
	preemptions, workLost metrics.Counter
	running, ejected      metrics.Gauge
	claimStart            *stats.Seconds
	accounts              map[string]*accountMeters
}

// accountMeters are the gauges of one account in the region.
type accountMeters struct {
	uncovered, waiting metrics.Gauge
	debt               metrics.GaugeFloat64
}

func newMeters(r *stats.Registry, region string) *meters {
	l := stats.Label{Name: "region", Value: region}
	return &meters{
		registry: r, region: l, accounts: make(map[string]*accountMeters),
		preemptions: r.Counter("preemptions_total", "Attempts told to make room for another job.", l),
		workLost: r.Counter("work_lost_accelerator_seconds_total",
			"Accelerators times seconds of attempts that were stopped without a checkpoint.", l),
		running:    r.Gauge("jobs_running", "Jobs that run according to the log.", l),
		ejected:    r.Gauge("workers_ejected", "Workers that get no work for a time.", l),
		claimStart: r.Seconds("claim_start_seconds", "Time from the claim of a guaranteed job to its start.", l),
	}
}

func (m *meters) account(name string) *accountMeters {
	if a, ok := m.accounts[name]; ok {
		return a
	}
	l := stats.Label{Name: "account", Value: name}
	a := &accountMeters{
		uncovered: m.registry.Gauge("guarantee_uncovered",
			"1 while the workers that are up cannot hold the account's guarantees.", l, m.region),
		waiting: m.registry.Gauge("jobs_waiting", "Jobs that wait.", l, m.region),
		debt: m.registry.GaugeFloat64("guarantee_debt_seconds",
			"Time for which claims of the account have waited for preempted work, in this term.", l, m.region),
	}
	m.accounts[name] = a
	return a
}

// update sets the gauges. Accounts that have neither a guarantee nor work get
// none, which keeps the number of series low.
func (m *meters) update(all []place.AccountStatus, running, ejected int) {
	m.running.Update(int64(running))
	m.ejected.Update(int64(ejected))
	for _, s := range all {
		if _, known := m.accounts[s.Account]; !known && s.Guaranteed == 0 && s.Waiting == 0 {
			continue
		}
		a := m.account(s.Account)
		a.uncovered.Update(0)
		if !s.Covered {
			a.uncovered.Update(1)
		}
		a.waiting.Update(int64(s.Waiting))
		a.debt.Update(s.Debt.Seconds())
	}
}

// clear sets the gauges to zero at the end of the term.
func (m *meters) clear() {
	m.running.Update(0)
	m.ejected.Update(0)
	for _, a := range m.accounts {
		a.uncovered.Update(0)
		a.waiting.Update(0)
		a.debt.Update(0)
	}
}

// report records what changed and sets the gauges, at most once in reportEvery.
func (r *region) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.m.now()
	if now < r.notes.next {
		return
	}
	r.notes.next = now + reportEvery
	r.noteWaiting()
	r.meters.update(r.core.Status(now), r.runningJobs(), len(r.core.Ejected()))
}

// noteClaim remembers when accelerators were first claimed for a job. The caller
// holds mu.
func (r *region) noteClaim(id chestnutpond.JobID) {
	if _, known := r.claims[id]; !known && id != "" {
		r.claims[id] = r.m.now()
	}
}

// noteStart measures the start of a claimed job. The caller holds mu.
func (r *region) noteStart(a *attempt) {
	claimed, ok := r.claims[a.spec.ID]
	delete(r.claims, a.spec.ID)
	if ok && a.guaranteed {
		r.meters.claimStart.Observe(r.m.now() - claimed)
	}
}

// noteLost counts the work of a stopped attempt that left no checkpoint.
func (r *region) noteLost(a *attempt, halted halted) {
	if !a.started || halted.checkpoint != "" {
		return
	}
	lost := (r.m.now() - a.startedAt) * time.Duration(a.spec.Shape.Accelerators)
	r.meters.workLost.Inc(int64(lost.Round(time.Second) / time.Second))
}
