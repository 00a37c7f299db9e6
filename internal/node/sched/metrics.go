package sched

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// regionMetrics holds the metrics of one region. The gauges are zero while another
// entry schedules the region.
type regionMetrics struct {
	registry *stats.Registry
	region   stats.Label
	// preemptions counts preempted attempts, workLost the accelerator seconds of
	// work that was discarded.
	preemptions, workLost metrics.Counter
	running, ejected      metrics.Gauge
	claimStart            *stats.Seconds
	accounts              map[string]*accountMetrics
	// evacuatedJobs holds the gauges by zone, for zones that were under evacuation in the term.
	evacuatedJobs map[string]metrics.Gauge
}

// accountMetrics holds the gauges of one account in the region.
type accountMetrics struct {
	uncovered, waiting metrics.Gauge
	debt               metrics.GaugeFloat64
}

func newRegionMetrics(r *stats.Registry, region string) *regionMetrics {
	l := stats.Label{Name: "region", Value: region}
	return &regionMetrics{
		registry: r, region: l, accounts: make(map[string]*accountMetrics), evacuatedJobs: make(map[string]metrics.Gauge),
		preemptions: r.Counter("preemptions_total", "Attempts told to make room for another job.", l),
		workLost: r.Counter("work_lost_accelerator_seconds_total",
			"Accelerators times seconds of attempts that were stopped without a checkpoint.", l),
		running:    r.Gauge("jobs_running", "Jobs that run according to the log.", l),
		ejected:    r.Gauge("workers_ejected", "Workers that get no work for a time.", l),
		claimStart: r.Seconds("claim_start_seconds", "Time from the claim of a guaranteed job to its start.", l),
	}
}

func (m *regionMetrics) account(name string) *accountMetrics {
	if a, ok := m.accounts[name]; ok {
		return a
	}
	l := stats.Label{Name: "account", Value: name}
	a := &accountMetrics{
		uncovered: m.registry.Gauge("guarantee_uncovered",
			"1 while the workers that are up cannot hold the account's guarantees.", l, m.region),
		waiting: m.registry.Gauge("jobs_waiting", "Jobs that wait.", l, m.region),
		debt: m.registry.GaugeFloat64("guarantee_debt_seconds",
			"Time for which claims of the account have waited for preempted work, in this term.", l, m.region),
	}
	m.accounts[name] = a
	return a
}

// update sets the gauges. Accounts with neither guarantees nor waiting jobs get no
// series, which keeps the number of series low.
func (m *regionMetrics) update(all []place.AccountStatus, running, ejected int) {
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
func (m *regionMetrics) clear() {
	m.running.Update(0)
	m.ejected.Update(0)
	m.updateEvacuated(nil)
	for _, a := range m.accounts {
		a.uncovered.Update(0)
		a.waiting.Update(0)
		a.debt.Update(0)
	}
}

// report records changed wait reasons and sets the gauges, at most once per
// reportInterval.
func (r *regionScheduler) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.mgr.now()
	if now < r.reported.nextReport {
		return
	}
	r.reported.nextReport = now + reportInterval
	r.recordWaitReasons()
	r.metrics.update(r.core.Status(now), r.runningJobs(), len(r.core.Ejected()))
	r.metrics.updateEvacuated(r.core.EvacuatedJobs())
}

// recordClaim stores when accelerators were first claimed for a job. The caller
// holds mu.
func (r *regionScheduler) recordClaim(id chestnutpond.JobID) {
	if _, known := r.claimedAt[id]; !known && id != "" {
		r.claimedAt[id] = r.mgr.now()
	}
}

// observeStart observes the time from the claim of a guaranteed job to its start.
// The caller holds mu.
func (r *regionScheduler) observeStart(a *attempt) {
	claimed, ok := r.claimedAt[a.spec.ID]
	delete(r.claimedAt, a.spec.ID)
	if ok && a.guaranteed {
		r.metrics.claimStart.Observe(r.mgr.now() - claimed)
	}
}

// countLostWork adds the work of an attempt that stopped without a checkpoint.
func (r *regionScheduler) countLostWork(a *attempt, stopped stopResult) {
	if !a.started || stopped.checkpoint != "" {
		return
	}
	lost := (r.mgr.now() - a.startedAt) * time.Duration(a.spec.Shape.Accelerators)
	r.metrics.workLost.Inc(int64(lost.Round(time.Second) / time.Second))
}
