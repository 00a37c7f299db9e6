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
)

// notes remembers what was recorded, so that only changes are.
type notes struct {
	// next is when the next report is due.
	next time.Duration
	// waiting holds the recorded reason of each waiting job.
	waiting map[chestnutpond.JobID]string
	// ejected holds the workers that get no work for a time.
	ejected map[string]bool
}

func newNotes() *notes {
	return &notes{waiting: make(map[chestnutpond.JobID]string), ejected: make(map[string]bool)}
}

// noteWaiting records the jobs whose reason to wait has changed. The caller
// holds mu.
func (r *region) noteWaiting(queued []ledger.Job) {
	waiting := make(map[chestnutpond.JobID]string)
	left := waitingNotes
	for _, j := range queued {
		reason, ok := r.core.Waiting(j.Spec.ID)
		if !ok {
			continue
		}
		old, known := r.notes.waiting[j.Spec.ID]
		if reason != old && left > 0 {
			left--
			r.m.cfg.Events.Add(chestnutpond.Event{
				Kind: chestnutpond.EventWaiting, Job: j.Spec.ID, Attempt: j.Attempt, Account: j.Spec.Account,
				Detail: reason,
			})
			old, known = reason, true
		}
		if known {
			waiting[j.Spec.ID] = old
		}
	}
	r.notes.waiting = waiting
}

// open returns the region's jobs that wait according to the log, and the number
// of those that run.
func (r *region) open() (queued []ledger.Job, running int) {
	r.m.cfg.Tail.View(func(st *ledger.State) {
		queued = st.Jobs(func(j ledger.Job) bool {
			if j.Spec.Region != r.name {
				return false
			}
			if j.State == chestnutpond.JobRunning {
				running++
			}
			return j.State == chestnutpond.JobQueued
		})
	})
	return queued, running
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
