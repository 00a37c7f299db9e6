package sched

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

const (
	// appendTimeout bounds one append to the log, after which the attempt checks
	// the state again.
	appendTimeout = 2 * time.Second
	// retryDelay is the time between two tries of a step. It also delays the next
	// placement of a job whose start was refused without blame on a worker.
	retryDelay = 200 * time.Millisecond
	// watchInterval is how often a running attempt is checked without a wake-up.
	watchInterval = 500 * time.Millisecond
)

// outcomeKind classifies how an attempt ended.
type outcomeKind int

const (
	// outcomeTermOver means that the term is over; the next holder adopts the attempt.
	outcomeTermOver outcomeKind = iota
	outcomeStartFailed
	outcomeTaskFailed
	// outcomeRequeued means that the job is back in the queue.
	outcomeRequeued
	// outcomeFinal means that the job reached a final state.
	outcomeFinal
)

// outcome is the result of an attempt that is reported to the core.
type outcome struct {
	kind    outcomeKind
	failure place.Failure
}

// attempt runs one attempt of a job.
type attempt struct {
	sched      *regionScheduler
	spec       chestnutpond.JobSpec
	number     int64
	placements []chestnutpond.Placement
	// zones are the zones of the placements; empty if the attempt is adopted.
	zones      []string
	guaranteed bool
	checkpoint string
	// adopted means that another entry started the attempt.
	adopted bool
	// activeSince is when the attempt was recorded or adopted, in the members' time.
	activeSince time.Duration
	// started means that the attempt was reported to the core as running.
	started bool
	// startedAt is when the attempt was first seen running, in the manager's time.
	startedAt time.Duration
	// wakeCh holds one element while a wake-up is pending.
	wakeCh chan struct{}

	// The fields below are guarded by the scheduler's mu.

	cancelled bool
	// preemptReason is why the attempt must be preempted; empty if it need not be.
	preemptReason string
}

func newAttempt(
	r *regionScheduler, spec chestnutpond.JobSpec, number int64, placements []chestnutpond.Placement, guaranteed bool,
) *attempt {
	return &attempt{
		sched: r, spec: spec, number: number, placements: placements, guaranteed: guaranteed,
		wakeCh: make(chan struct{}, 1),
	}
}

// wake wakes the attempt. It never blocks.
func (a *attempt) wake() {
	select {
	case a.wakeCh <- struct{}{}:
	default:
	}
}

func (a *attempt) uses(worker string) bool {
	for _, p := range a.placements {
		if p.Worker == worker {
			return true
		}
	}
	return false
}

// run executes the attempt until it ends or the term is over.
func (a *attempt) run(ctx context.Context) {
	defer a.sched.wg.Done()
	out := a.execute(ctx)
	if ctx.Err() != nil {
		out = outcome{kind: outcomeTermOver}
	}
	a.sched.finishAttempt(a, out)
}

func (a *attempt) execute(ctx context.Context) outcome {
	if a.adopted {
		a.activeSince = a.sched.mgr.cfg.Members.Now()
		return a.watch(ctx)
	}
	if f := a.prepare(ctx); f != nil {
		a.releaseReservations(ctx)
		waitRetry(ctx)
		return outcome{kind: outcomeStartFailed, failure: *f}
	}
	if a.placedInEvacuatedZone() {
		a.releaseReservations(ctx)
		waitRetry(ctx)
		return outcome{kind: outcomeRequeued}
	}
	recorded, final := a.recordStart(ctx)
	if !recorded {
		a.releaseReservations(ctx)
		if final {
			return outcome{kind: outcomeFinal}
		}
		waitRetry(ctx)
		if a.placedInEvacuatedZone() {
			return outcome{kind: outcomeRequeued}
		}
		return outcome{kind: outcomeStartFailed, failure: place.Failure{Reason: "the start could not be recorded"}}
	}
	a.activeSince = a.sched.mgr.cfg.Members.Now()
	if a.placedInEvacuatedZone() {
		return a.abort(ctx, "zone is evacuated", outcome{kind: outcomeRequeued})
	}
	if f := a.commit(ctx); f != nil {
		return a.abort(ctx, f.Reason, outcome{kind: outcomeStartFailed, failure: *f})
	}
	return a.watch(ctx)
}

// recordStart appends the start record and reads it back. It reports whether the
// start is valid, and if it is not, whether the job is in a final state.
func (a *attempt) recordStart(ctx context.Context) (recorded, final bool) {
	body := ledger.StartJob{
		Job: a.spec.ID, Attempt: a.number, Region: a.sched.name, Term: a.sched.term,
		Guaranteed: a.guaranteed, Placements: a.placements, Zones: a.zones,
	}
	// ambiguous means that an earlier append may still take effect, so that a
	// later rejected append does not prove the start void.
	ambiguous := false
	for ctx.Err() == nil {
		err := a.append(ctx, body)
		job, ok, held := a.jobAndTerm()
		if !ok || job.State.Final() {
			return false, true
		}
		if !held {
			// The next holder of the term may have started an attempt of the same
			// number, so an equal number does not prove that this start is valid.
			return false, false
		}
		if job.Attempt >= a.number {
			return job.Attempt == a.number, false
		}
		var failed *chestnutpond.AppendError
		ambiguous = ambiguous || !errors.As(err, &failed) || failed.Ambiguous
		if err == nil || !ambiguous {
			// The record is in the log and void, or it certainly is not in the log.
			return false, false
		}
	}
	return false, false
}

func (a *attempt) append(ctx context.Context, body ledger.Body) error {
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.sched.mgr.cfg.Tail.Append(actx, body)
}

func (a *attempt) job() (job ledger.Job, ok bool) {
	a.sched.mgr.cfg.Tail.View(func(st *ledger.State) { job, ok = st.Job(a.spec.ID) })
	return job, ok
}

// jobAndTerm returns the job, and whether this entry still holds the term in the
// same state of the fold.
func (a *attempt) jobAndTerm() (job ledger.Job, ok, held bool) {
	a.sched.mgr.cfg.Tail.View(func(st *ledger.State) {
		job, ok = st.Job(a.spec.ID)
		term := st.Term(a.sched.name)
		held = term.Number == a.sched.term && term.Held(a.sched.mgr.cfg.Origin)
	})
	return job, ok, held
}

// watch monitors a committed attempt until it ends.
func (a *attempt) watch(ctx context.Context) outcome {
	for {
		if out, over := a.reconcile(ctx); over {
			return out
		}
		timer := time.NewTimer(watchInterval)
		select {
		case <-ctx.Done():
		case <-a.wakeCh:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return outcome{kind: outcomeTermOver}
		}
	}
}

// reconcile checks the state of the attempt once and acts on it. It reports
// whether the attempt is over.
func (a *attempt) reconcile(ctx context.Context) (outcome, bool) {
	a.sched.mu.Lock()
	cancelled, preempted := a.cancelled, a.preemptReason
	a.sched.mu.Unlock()
	status := a.inspect()
	switch {
	case status.completed:
		return a.recordEnd(ctx, chestnutpond.JobCompleted, status.result, ""), true
	case cancelled:
		return a.abort(ctx, "cancelled", outcome{kind: outcomeFinal}), true
	case status.failed != nil:
		return a.abort(ctx, status.failed.Reason, outcome{kind: outcomeTaskFailed, failure: *status.failed}), true
	case status.brokenReason != "":
		return a.abort(ctx, status.brokenReason, outcome{kind: outcomeRequeued}), true
	case preempted != "":
		return a.preempt(ctx, preempted), true
	case status.running && !a.started:
		a.markStarted()
	}
	return outcome{}, false
}

func (a *attempt) markStarted() {
	a.started = true
	r := a.sched
	a.startedAt = r.mgr.now()
	r.mu.Lock()
	r.observeStart(a)
	r.core.Running(r.mgr.now(), a.spec.ID, a.number)
	r.mu.Unlock()
	r.emit(chestnutpond.EventStarted, a, "")
}

// recordEnd appends the end of the job.
func (a *attempt) recordEnd(ctx context.Context, state chestnutpond.JobState, result, reason string) outcome {
	a.appendUntilApplied(ctx, ledger.EndJob{
		Job: a.spec.ID, Attempt: a.number, Region: a.sched.name, Term: a.sched.term,
		State: state, Result: result, Reason: reason,
	})
	a.sched.emit(chestnutpond.EventEnded, a, string(state)+" "+reason)
	return outcome{kind: outcomeFinal}
}

// abort stops all tasks of the attempt without a checkpoint and records the stop.
func (a *attempt) abort(ctx context.Context, reason string, out outcome) outcome {
	stopped, ok := a.stopGang(ctx, 0, reason)
	if !ok {
		return outcome{kind: outcomeTermOver}
	}
	return a.recordStop(ctx, stopped, reason, out)
}

// preempt stops the attempt with a checkpoint and requeues the job.
func (a *attempt) preempt(ctx context.Context, reason string) outcome {
	stopped, ok := a.stopGang(ctx, a.spec.Checkpoint, reason)
	if !ok {
		return outcome{kind: outcomeTermOver}
	}
	if stopped.checkpoint != "" {
		a.sched.emit(chestnutpond.EventCheckpointed, a, stopped.checkpoint)
	}
	return a.recordStop(ctx, stopped, reason, outcome{kind: outcomeRequeued})
}

func (a *attempt) recordStop(ctx context.Context, stopped stopResult, reason string, out outcome) outcome {
	if stopped.completed {
		return a.recordEnd(ctx, chestnutpond.JobCompleted, stopped.result, "")
	}
	a.sched.countLostWork(a, stopped)
	a.appendUntilApplied(ctx, ledger.StopJob{
		Job: a.spec.ID, Attempt: a.number, Region: a.sched.name, Term: a.sched.term,
		Checkpoint: stopped.checkpoint, Reason: reason,
	})
	a.sched.emit(chestnutpond.EventStopped, a, reason)
	if job, ok := a.job(); !ok || job.State.Final() {
		return outcome{kind: outcomeFinal}
	}
	return out
}

// appendUntilApplied retries an append until the record is applied to the fold or
// the term is over.
func (a *attempt) appendUntilApplied(ctx context.Context, body ledger.Body) {
	for ctx.Err() == nil && a.append(ctx, body) != nil {
		waitRetry(ctx)
	}
}

// waitRetry waits for retryDelay, or until ctx ends.
func waitRetry(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
