package plan

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// refusalBackoff is how long a worker that refused an order gets no new ones.
	// Its next lists arrive well within that time.
	refusalBackoff = 300 * time.Millisecond
	// fastFailure is the run time below which a failure is attributed to the
	// worker. Tasks that fail by their own fault run for seconds first.
	fastFailure = 400 * time.Millisecond
	// ejectBase is how long a worker on which runs fail is ejected; the time
	// doubles with each further ejection up to ejectMax. Such faults last some
	// seconds.
	ejectBase = 1500 * time.Millisecond
	ejectMax  = 12 * time.Second
	// ejectThreshold is the suspicion at which a worker is ejected: one fast
	// failure, or two slow failures of different jobs.
	ejectThreshold = 2
	// trialPeriod is how long a run started after an ejection has to last, with progress if
	// it reports any, until its worker counts as sound. Runs that fail or stand still
	// through a fault of the worker show it within that time.
	trialPeriod = 1500 * time.Millisecond
	// maxEjectedShare limits the share of workers that are ejected at the same
	// time; one is always allowed.
	maxEjectedShare = 0.25
)

// health tracks the failures and the progress of the runs on a worker.
type health struct {
	// backoffUntil is when the backoff after a refused order ends.
	backoffUntil time.Duration
	// ejectedUntil is when the last ejection ends.
	ejectedUntil time.Duration
	// ejections counts the ejections since the last successful run.
	ejections int
	// suspicion grows with failures and is reset by a successful run.
	suspicion int
	// lastFailedJob is the job of the last run that failed on the worker.
	lastFailedJob chestnutpond.JobID
	// stuckAt is when a run on the worker was last found stuck, or 0.
	stuckAt time.Duration
	// slow records when the worker was found slow.
	slow slowness
}

// recordRefusal records that the worker refused an order.
func (h *health) recordRefusal(now time.Duration, _ chestnutpond.Refusal) {
	h.backoffUntil = now + refusalBackoff
}

// suspect reports whether the worker has shown a fault since its last successful
// run.
func (h *health) suspect() bool { return h.suspicion > 0 }

// recordEnding updates the worker's health after a run has ended.
func (p *Planner) recordEnding(now time.Duration, r *run, ending chestnutpond.RunOutcome) {
	h := &r.worker.health
	switch ending {
	case chestnutpond.RunDone:
		h.suspicion, h.ejections, h.lastFailedJob = 0, 0, ""
		h.slow = h.slow.completed(r.seen)
	case chestnutpond.RunFailed:
		id := r.job().graph.ID
		switch {
		case r.phase != runSeen || now-r.seen < fastFailure:
			h.suspicion += ejectThreshold
		case id != h.lastFailedJob && r.task.failures == 0:
			// The fault is the task's own if it has failed before, on this or
			// another worker.
			h.suspicion++
		}
		h.lastFailedJob = id
		if h.suspicion >= ejectThreshold {
			p.eject(now, r.worker, "its runs fail")
		}
	}
}

// eject excludes a worker from placement for a limited time, unless too many are
// ejected already.
func (p *Planner) eject(now time.Duration, w *worker, reason string) {
	h := &w.health
	ejected, all := 0, 0
	for _, other := range p.sortedWorkers {
		if !other.usable() {
			continue
		}
		all++
		if other != w && now < other.health.ejectedUntil {
			ejected++
		}
	}
	if now < h.ejectedUntil || ejected > 0 && float64(ejected+1) > maxEjectedShare*float64(all) {
		return
	}
	h.ejections++
	h.ejectedUntil = now + min(ejectMax, ejectBase<<(min(h.ejections, 5)-1))
	if p.onlyWorker(now, w) {
		// Nothing else can run meanwhile.
		h.ejectedUntil = now + ejectBase
	}
	p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: "worker is ejected: " + reason})
}

// onlyWorker reports whether no other worker of the same service may be given work.
func (p *Planner) onlyWorker(now time.Duration, w *worker) bool {
	return !slices.ContainsFunc(p.sortedWorkers, func(other *worker) bool {
		return other != w && other.usable() && other.info.Service == w.info.Service && now >= other.health.ejectedUntil
	})
}

// onTrial reports whether the worker has been ejected and no run has shown since that it is
// sound.
func (h *health) onTrial(now time.Duration) bool {
	return h.suspicion >= ejectThreshold && now >= h.ejectedUntil
}

// checkTrial ends the trial of a worker once a run that was started after its ejection has
// lasted long enough. A further failure ejects it again.
func (w *worker) checkTrial(now time.Duration) {
	h := &w.health
	if !h.onTrial(now) {
		return
	}
	for _, r := range w.sortedRuns() {
		lasted := r.phase == runSeen && r.listed && r.seen >= h.ejectedUntil && now-r.seen >= trialPeriod
		if lasted && (!r.monitored() || r.progressAt > r.seen) {
			h.suspicion = ejectThreshold - 1
			return
		}
	}
}

// eligible reports whether the worker may be given the unit now. After an ejection
// it is first probed with a single task that may fail without failing its job.
func (w *worker) eligible(now time.Duration, u unit) bool {
	h := &w.health
	switch {
	case now < h.backoffUntil || now < h.ejectedUntil:
		return false
	case !h.suspect() || h.suspicion < ejectThreshold:
		return true
	}
	for _, r := range w.runs {
		began := r.assigned
		if r.phase == runSeen {
			began = r.seen
		}
		if began >= h.ejectedUntil && now-began < trialPeriod {
			// A probe is in progress.
			return false
		}
	}
	if now >= h.ejectedUntil+ejectBase {
		// No task suitable for a probe arrived in time.
		return true
	}
	return len(u.tasks) == 1 && u.tasks[0].failures == 0 && u.job().graph.Queue.MaxAttempts > 1
}
