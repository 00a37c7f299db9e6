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
	// recordStep bounds one wait for the log before the attempt looks at the
	// state again.
	recordStep = 2 * time.Second
	// retryPause is the time between two tries of a step. It also keeps an attempt
	// that was refused without blame from being placed again at once.
	retryPause = 200 * time.Millisecond
	// watchEvery is how often a running attempt is looked at without news.
	watchEvery = 500 * time.Millisecond
)

// endKind is how an attempt ended.
type endKind int

const (
	// endLeft means that the term is over; another entry goes on.
	endLeft endKind = iota
	endStartFailed
	endTaskFailed
	// endStopped means that the job waits again.
	endStopped
	// endFinal means that the job is over.
	endFinal
)

// ending is how an attempt ended, for the core.
type ending struct {
	kind    endKind
	failure place.Failure
}

// attempt drives one attempt of a job.
type attempt struct {
	region     *region
	spec       chestnutpond.JobSpec
	number     int64
	placements []chestnutpond.Placement
	guaranteed bool
	checkpoint string
	// adopted means that another entry started the attempt.
	adopted bool
	// since is when the attempt was committed or adopted, in the members' time.
	since time.Duration
	// started means that the core knows that the attempt runs.
	started bool
	// startedAt is when the attempt was first seen running, in the region's time.
	startedAt time.Duration
	// signal holds one element while there is news.
	signal chan struct{}

	// The fields below are guarded by the region's mu.

	cancelled bool
	// preempted is why the attempt must make room; empty if it need not.
	preempted string
}

func newAttempt(
	r *region, spec chestnutpond.JobSpec, number int64, placements []chestnutpond.Placement, guaranteed bool,
) *attempt {
	return &attempt{
		region: r, spec: spec, number: number, placements: placements, guaranteed: guaranteed,
		signal: make(chan struct{}, 1),
	}
}

// notice wakes the attempt. It never blocks.
func (a *attempt) notice() {
	select {
	case a.signal <- struct{}{}:
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

// run drives the attempt to its end, or until the term is over.
func (a *attempt) run(ctx context.Context) {
	defer a.region.running.Done()
	end := a.drive(ctx)
	if ctx.Err() != nil {
		end = ending{kind: endLeft}
	}
	a.region.finish(a, end)
}

func (a *attempt) drive(ctx context.Context) ending {
	if a.adopted {
		a.since = a.region.m.cfg.Members.Now()
		return a.watch(ctx)
	}
	if f := a.prepare(ctx); f != nil {
		a.dropHolds(ctx)
		pause(ctx)
		return ending{kind: endStartFailed, failure: *f}
	}
	recorded, final := a.record(ctx)
	if !recorded {
		a.dropHolds(ctx)
		if final {
			return ending{kind: endFinal}
		}
		pause(ctx)
		return ending{kind: endStartFailed, failure: place.Failure{Reason: "the start could not be recorded"}}
	}
	a.since = a.region.m.cfg.Members.Now()
	if f := a.commit(ctx); f != nil {
		return a.giveBack(ctx, f.Reason, ending{kind: endStartFailed, failure: *f})
	}
	return a.watch(ctx)
}

// record appends the start and reads it back. It reports whether the start is
// valid, and otherwise whether the job is over for good.
func (a *attempt) record(ctx context.Context) (recorded, final bool) {
	body := ledger.StartJob{
		Job: a.spec.ID, Attempt: a.number, Region: a.region.name, Term: a.region.term,
		Guaranteed: a.guaranteed, Placements: a.placements,
	}
	// perhaps means that an earlier try may still take effect, so that a later
	// refusal proves nothing.
	perhaps := false
	for ctx.Err() == nil {
		err := a.append(ctx, body)
		job, ok := a.job()
		if !ok || job.State.Final() {
			return false, true
		}
		if job.Attempt >= a.number {
			return job.Attempt == a.number, false
		}
		var failed *chestnutpond.AppendError
		perhaps = perhaps || !errors.As(err, &failed) || failed.Ambiguous
		if err == nil || !perhaps {
			// The record is in the log and void, or it is surely not in the log.
			return false, false
		}
	}
	return false, false
}

func (a *attempt) append(ctx context.Context, body ledger.Body) error {
	actx, cancel := context.WithTimeout(ctx, recordStep)
	defer cancel()
	return a.region.m.cfg.Tail.Append(actx, body)
}

func (a *attempt) job() (job ledger.Job, ok bool) {
	a.region.m.cfg.Tail.View(func(st *ledger.State) { job, ok = st.Job(a.spec.ID) })
	return job, ok
}

// watch follows a committed attempt until it ends.
func (a *attempt) watch(ctx context.Context) ending {
	for {
		if end, over := a.step(ctx); over {
			return end
		}
		timer := time.NewTimer(watchEvery)
		select {
		case <-ctx.Done():
		case <-a.signal:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ending{kind: endLeft}
		}
	}
}

// step looks once at the attempt and acts on what it sees.
func (a *attempt) step(ctx context.Context) (ending, bool) {
	a.region.mu.Lock()
	cancelled, preempted := a.cancelled, a.preempted
	a.region.mu.Unlock()
	seen := a.inspect()
	switch {
	case seen.completed:
		return a.finish(ctx, chestnutpond.JobCompleted, seen.result, ""), true
	case cancelled:
		return a.giveBack(ctx, "cancelled", ending{kind: endFinal}), true
	case seen.failed != nil:
		return a.giveBack(ctx, seen.failed.Reason, ending{kind: endTaskFailed, failure: *seen.failed}), true
	case seen.broken != "":
		return a.giveBack(ctx, seen.broken, ending{kind: endStopped}), true
	case preempted != "":
		return a.makeRoom(ctx, preempted), true
	case seen.running && !a.started:
		a.noteStarted()
	}
	return ending{}, false
}

func (a *attempt) noteStarted() {
	a.started = true
	r := a.region
	a.startedAt = r.m.now()
	r.mu.Lock()
	r.noteStart(a)
	r.core.Running(r.m.now(), a.spec.ID, a.number)
	r.mu.Unlock()
	r.event(chestnutpond.EventStarted, a, "")
}

// finish records the end of the job.
func (a *attempt) finish(ctx context.Context, state chestnutpond.JobState, result, reason string) ending {
	a.put(ctx, ledger.EndJob{
		Job: a.spec.ID, Attempt: a.number, Region: a.region.name, Term: a.region.term,
		State: state, Result: result, Reason: reason,
	})
	a.region.event(chestnutpond.EventEnded, a, string(state)+" "+reason)
	return ending{kind: endFinal}
}

// giveBack stops what may run of the attempt, and lets the job wait again.
func (a *attempt) giveBack(ctx context.Context, reason string, end ending) ending {
	halted, ok := a.halt(ctx, 0, reason)
	if !ok {
		return ending{kind: endLeft}
	}
	return a.recordStop(ctx, halted, reason, end)
}

// makeRoom stops the attempt with a checkpoint.
func (a *attempt) makeRoom(ctx context.Context, reason string) ending {
	halted, ok := a.halt(ctx, a.spec.Checkpoint, reason)
	if !ok {
		return ending{kind: endLeft}
	}
	if halted.checkpoint != "" {
		a.region.event(chestnutpond.EventCheckpointed, a, halted.checkpoint)
	}
	return a.recordStop(ctx, halted, reason, ending{kind: endStopped})
}

func (a *attempt) recordStop(ctx context.Context, halted halted, reason string, end ending) ending {
	if halted.completed {
		return a.finish(ctx, chestnutpond.JobCompleted, halted.result, "")
	}
	a.region.noteLost(a, halted)
	a.put(ctx, ledger.StopJob{
		Job: a.spec.ID, Attempt: a.number, Region: a.region.name, Term: a.region.term,
		Checkpoint: halted.checkpoint, Reason: reason,
	})
	a.region.event(chestnutpond.EventStopped, a, reason)
	if job, ok := a.job(); !ok || job.State.Final() {
		return ending{kind: endFinal}
	}
	return end
}

// put appends a record until it is in the fold, or the term is over.
func (a *attempt) put(ctx context.Context, body ledger.Body) {
	for ctx.Err() == nil && a.append(ctx, body) != nil {
		pause(ctx)
	}
}

// pause waits for retryPause or until ctx ends.
func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
