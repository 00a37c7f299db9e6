package sched

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

const (
	// reportInterval is how often wait reasons are compared and gauges are set.
	reportInterval = time.Second
	// maxWaitEvents bounds the events of one report; the rest follow in the next
	// ones, so that a long queue does not evict all other events from the buffer.
	maxWaitEvents = 64
	// maxComparedJobs bounds the jobs compared in one report. With 12,000 waiting
	// jobs, comparing all of them once per second took 2.8% of a core.
	maxComparedJobs = 500
)

// reportState holds what was recorded last, so that only changes are recorded.
type reportState struct {
	// nextReport is the earliest time of the next report.
	nextReport time.Duration
	// queue holds the waiting jobs that remain to be compared.
	queue []ledger.Job
	// waitReasons holds the last recorded reason of each waiting job.
	waitReasons map[chestnutpond.JobID]string
	// ejected holds the workers that are excluded from placement for a time.
	ejected map[string]bool
}

func newReportState() *reportState {
	return &reportState{waitReasons: make(map[chestnutpond.JobID]string), ejected: make(map[string]bool)}
}

// recordWaitReasons records changed wait reasons among the next maxComparedJobs
// jobs of the queue. The caller holds mu.
func (r *regionScheduler) recordWaitReasons() {
	if len(r.reported.queue) == 0 {
		r.reported.queue = r.queued()
		r.reported.prune()
	}
	n := min(maxComparedJobs, len(r.reported.queue))
	left := maxWaitEvents
	for _, j := range r.reported.queue[:n] {
		reason, ok := r.core.WaitReason(j.Spec.ID)
		if !ok {
			delete(r.reported.waitReasons, j.Spec.ID)
			continue
		}
		if reason == r.reported.waitReasons[j.Spec.ID] || left == 0 {
			continue
		}
		left--
		r.reported.waitReasons[j.Spec.ID] = reason
		r.mgr.cfg.Events.Add(chestnutpond.Event{
			Kind: chestnutpond.EventWaiting, Job: j.Spec.ID, Attempt: j.Attempt, Account: j.Spec.Account,
			Detail: reason,
		})
	}
	r.reported.queue = r.reported.queue[n:]
}

// prune removes the reasons of jobs that are no longer in the queue.
func (s *reportState) prune() {
	old := s.waitReasons
	s.waitReasons = make(map[chestnutpond.JobID]string)
	for _, j := range s.queue {
		if reason, known := old[j.Spec.ID]; known {
			s.waitReasons[j.Spec.ID] = reason
		}
	}
}

// queued returns the region's jobs that are queued according to the log.
func (r *regionScheduler) queued() (jobs []ledger.Job) {
	r.mgr.cfg.Tail.View(func(st *ledger.State) {
		jobs = st.Jobs(func(j ledger.Job) bool {
			return j.Spec.Region == r.name && j.State == chestnutpond.JobQueued
		})
	})
	return jobs
}

// runningJobs returns the number of the region's jobs that run according to the log.
func (r *regionScheduler) runningJobs() (n int) {
	r.mgr.cfg.Tail.View(func(st *ledger.State) { n = st.Running(r.name) })
	return n
}

// recordEjections records workers that the failure of an attempt caused to be
// ejected. The caller holds mu.
func (r *regionScheduler) recordEjections(a *attempt, failure place.Failure) {
	ejected := make(map[string]bool)
	for _, name := range r.core.Ejected() {
		ejected[name] = true
		if r.reported.ejected[name] {
			continue
		}
		r.mgr.cfg.Events.Add(chestnutpond.Event{
			Kind: chestnutpond.EventEjected, Upstream: name, Detail: failure.Reason,
			Cause: r.mgr.cfg.Events.Last(a.spec.ID),
		})
		r.mgr.cfg.Logger.Warn("sched: worker ejected", "worker", name, "reason", failure.Reason)
	}
	r.reported.ejected = ejected
}
