package sched

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

const (
	// reportEvery is how often the reasons of waiting jobs are compared and the
	// gauges are set.
	reportEvery = time.Second
	// waitingNotes bounds the events of one comparison; the rest follows with
	// the next ones, so that a long queue does not push all other events out.
	waitingNotes = 64
	// comparedJobs bounds the jobs of one comparison. With 12,000 waiting jobs a
	// comparison of all took 2.8% of a core at one a second.
	comparedJobs = 500
)

// notes remembers what was recorded, so that only changes are.
type notes struct {
	// next is when the next report is due.
	next time.Duration
	// queue holds the waiting jobs that are still to be compared.
	queue []ledger.Job
	// waiting holds the recorded reason of each waiting job.
	waiting map[chestnutpond.JobID]string
	// ejected holds the workers that get no work for a time.
	ejected map[string]bool
}

func newNotes() *notes {
	return &notes{waiting: make(map[chestnutpond.JobID]string), ejected: make(map[string]bool)}
}

// noteWaiting records the jobs whose reason to wait has changed, among the next
// comparedJobs of the queue. The caller holds mu.
func (r *region) noteWaiting() {
	if len(r.notes.queue) == 0 {
		r.notes.queue = r.queued()
		r.notes.forget()
	}
	n := min(comparedJobs, len(r.notes.queue))
	left := waitingNotes
	for _, j := range r.notes.queue[:n] {
		reason, ok := r.core.Waiting(j.Spec.ID)
		if !ok {
			delete(r.notes.waiting, j.Spec.ID)
			continue
		}
		if reason == r.notes.waiting[j.Spec.ID] || left == 0 {
			continue
		}
		left--
		r.notes.waiting[j.Spec.ID] = reason
		r.m.cfg.Events.Add(chestnutpond.Event{
			Kind: chestnutpond.EventWaiting, Job: j.Spec.ID, Attempt: j.Attempt, Account: j.Spec.Account,
			Detail: reason,
		})
	}
	r.notes.queue = r.notes.queue[n:]
}

// forget drops the reasons of jobs that are not in the queue any more.
func (n *notes) forget() {
	old := n.waiting
	n.waiting = make(map[chestnutpond.JobID]string)
	for _, j := range n.queue {
		if reason, known := old[j.Spec.ID]; known {
			n.waiting[j.Spec.ID] = reason
		}
	}
}

// queued returns the region's jobs that wait according to the log.
func (r *region) queued() (jobs []ledger.Job) {
	r.m.cfg.Tail.View(func(st *ledger.State) {
		jobs = st.Jobs(func(j ledger.Job) bool {
			return j.Spec.Region == r.name && j.State == chestnutpond.JobQueued
		})
	})
	return jobs
}

// runningJobs returns how many of the region's jobs run according to the log.
func (r *region) runningJobs() (n int) {
	r.m.cfg.Tail.View(func(st *ledger.State) { n = st.Running(r.name) })
	return n
}

// noteEjected records the workers that were ejected because an attempt failed.
// The caller holds mu.
func (r *region) noteEjected(a *attempt, failure place.Failure) {
	ejected := make(map[string]bool)
	for _, name := range r.core.Ejected() {
		ejected[name] = true
		if r.notes.ejected[name] {
			continue
		}
		r.m.cfg.Events.Add(chestnutpond.Event{
			Kind: chestnutpond.EventEjected, Upstream: name, Detail: failure.Reason,
			Cause: r.m.cfg.Events.Last(a.spec.ID),
		})
		r.m.cfg.Logger.Warn("sched: worker ejected", "worker", name, "reason", failure.Reason)
	}
	r.notes.ejected = ejected
}
