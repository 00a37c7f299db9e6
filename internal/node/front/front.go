// Package front takes the calls of clients about graphs of tasks.
//
// A Front selects the queue and the account of a call by the newest document,
// stores what clients hand in, and answers from the table of jobs. It accepts a
// job, or a cancellation, once the record is stored. Only a call whose record
// cannot have reached the store is answered "not run"; if the store may have the
// record, the same record is stored again until the client's time is over.
package front

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/node/feed"
	"github.com/chestnutpond/chestnutpond/internal/node/lead"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// Error is the class of this package's errors.
var Error = errs.Class("front")

const (
	// retryAfter is what a client is told whose call was not run because the
	// store takes nothing: most outages last a few seconds.
	retryAfter = time.Second
	// appendPause is the pause between two tries to store a record.
	appendPause = 30 * time.Millisecond
	// slowAnswer is what answers of a slow store take. There, a read before each
	// record would cost a client more time than it spares it doubt.
	slowAnswer = 150 * time.Millisecond
	// probeLimit bounds that read. Between regions it takes 20 ms.
	probeLimit = 300 * time.Millisecond
	// maxProbeLimit bounds it while the store is slow: three times what its answers
	// take.
	maxProbeLimit = time.Second
	// lostProbeLimit is the same while the store is known to be away: a client
	// that cannot be served is to hear so at once.
	lostProbeLimit = 90 * time.Millisecond
	// probePause is how long a failed read speaks for the next calls, too.
	probePause = 50 * time.Millisecond
	// stateWait is how long the answer to a question for a job's state waits for the
	// job's end. Callers ask several times a second, and see an end earlier this way
	// than by their next question.
	stateWait = 300 * time.Millisecond
	// lookupLimit bounds the reading of the store for a job that is not known.
	lookupLimit = 800 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	Store chestnutpond.Store
	// Answered returns how long ago the store last answered, and what an answer
	// takes at present.
	Answered func() (time.Duration, time.Duration)
	Lead     *lead.Manager
	// ParseDocument reads a record of the operators; false for other records.
	ParseDocument func(key string, value []byte) (chestnutpond.Document, bool, error)
	Now           func() time.Duration
	Wall          func() time.Time
	Log           *slog.Logger
	// Metrics has the time that storing takes.
	Metrics *stats.Registry
}

// Front is the intake of an entry. It is safe for concurrent use.
type Front struct {
	cfg  Config
	feed *feed.Feed
	// stored is the time that it took to store what a client handed in.
	stored *stats.Seconds

	// mu guards the fields below; no other lock is taken under it.
	mu       sync.Mutex
	document chestnutpond.Document
	// tokens maps the digest of each token to its account.
	tokens   map[string]string
	stopping bool
	// unreachable is when the store last did not answer a read, or 0.
	unreachable time.Duration
}

var _ chestnutpond.Intake = (*Front)(nil)

// New returns a front without a document.
func New(c Config) *Front {
	f := &Front{
		cfg: c, tokens: map[string]string{},
		stored: c.Metrics.Seconds("front_store_seconds", "Time from a client's call until its record was stored."),
	}
	f.feed = feed.New(feed.Config{
		Store: c.Store, Topic: chestnutpond.TopicDesired, Receiver: f, Now: c.Now, Log: c.Log,
	})
	return f
}

// Feed returns the feed of the operators' documents.
func (f *Front) Feed() *feed.Feed { return f.feed }

// Apply takes records of the operators. It implements feed.Receiver.
func (f *Front) Apply(records []chestnutpond.KeyedRecord) {
	for _, r := range records {
		d, ok, err := f.cfg.ParseDocument(r.Key, r.Value)
		if err != nil {
			f.cfg.Log.Error("document left out", "offset", r.Offset, "error", err)
			continue
		}
		if ok {
			f.setDocument(d, r.Offset)
		}
	}
}

// Loaded implements feed.Receiver.
func (f *Front) Loaded(int64) {}

// setDocument puts a document into force unless a newer one is.
func (f *Front) setDocument(d chestnutpond.Document, offset int64) {
	f.mu.Lock()
	if d.Version <= f.document.Version {
		f.mu.Unlock()
		return
	}
	f.document = d
	f.tokens = map[string]string{}
	for _, a := range d.Accounts {
		for _, digest := range a.MoreTokensSHA256 {
			f.tokens[digest] = a.Name
		}
		if a.TokenSHA256 != "" {
			f.tokens[a.TokenSHA256] = a.Name
		}
	}
	f.mu.Unlock()
	f.cfg.Log.Info("document in force", "version", d.Version, "offset", offset, "queues", len(d.Kinds), "accounts", len(d.Accounts))
	f.cfg.Lead.SetDocument(d)
}

// Version returns the version of the document in force, 0 if there is none.
func (f *Front) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document.Version
}

// Stop has the front report itself not ready.
func (f *Front) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Ready implements chestnutpond.Intake.
func (f *Front) Ready() bool {
	f.mu.Lock()
	ready := !f.stopping && f.document.Version > 0
	f.mu.Unlock()
	return ready && f.cfg.Lead.Feed().Status().Loaded
}

func verdict(o chestnutpond.Outcome, r chestnutpond.Reason) chestnutpond.Verdict {
	return chestnutpond.Verdict{Outcome: o, Reason: r}
}

func notRun(r chestnutpond.Reason) chestnutpond.Verdict {
	return chestnutpond.Verdict{Outcome: chestnutpond.OutcomeNotRun, Reason: r, RetryAfter: retryAfter}
}

// Submit implements chestnutpond.Intake.
func (f *Front) Submit(ctx context.Context, target chestnutpond.IntakeTarget, g chestnutpond.Graph) chestnutpond.Verdict {
	if _, known := f.cfg.Lead.Job(g.ID); known {
		return verdict(chestnutpond.OutcomeAccepted, "")
	}
	if !f.cfg.Lead.Feed().Status().Loaded {
		f.cfg.Log.Warn("job refused", "job", g.ID, "account", target.Account, "error", "the jobs were not read yet")
		return notRun(chestnutpond.ReasonLogUnavailable)
	}
	g.Account, g.Queue, g.Accepted = target.Account, target.Queue.Terms, f.cfg.Wall()
	record, err := graph.JobRecord(&g)
	if err != nil {
		return verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonBadBody)
	}
	began := f.cfg.Now()
	fault, err := f.store(ctx, record)
	took := f.cfg.Now() - began
	switch {
	case err == nil:
		first := g.Steps[0]
		f.cfg.Log.Info("job accepted", "job", g.ID, "account", g.Account, "queue", g.Queue.Name, "priority", g.Queue.Priority,
			"stretch", g.Queue.Stretch, "target_latency", g.Queue.TargetLatency,
			"steps", len(g.Steps), "tasks", first.Count, "need", first.Need, "gang", first.Gang, "same_rack", first.SameRack,
			"data_rack", first.DataRack, "label", first.Label, "per_worker", first.PerWorker, "checkpointable", first.Checkpointable,
			"estimate", first.Estimate, "occurrences", g.Occurrences(), "took", took)
		return verdict(chestnutpond.OutcomeAccepted, "")
	case fault == chestnutpond.StoreInDoubt:
		f.cfg.Log.Warn("job in doubt", "job", g.ID, "account", g.Account, "took", took, "error", err)
		return verdict(chestnutpond.OutcomeUnknown, chestnutpond.ReasonLogUnavailable)
	}
	f.cfg.Log.Warn("job refused", "job", g.ID, "account", g.Account, "took", took, "error", err)
	return notRun(chestnutpond.ReasonLogUnavailable)
}

// reachable returns an error if the store cannot be read now. A record is only
// sent to a store that can: otherwise it might be stored after its client was
// told that it was not.
func (f *Front) reachable(ctx context.Context) error {
	now := f.cfg.Now()
	f.mu.Lock()
	failed := f.unreachable
	f.mu.Unlock()
	if failed > 0 && now-failed < probePause {
		return Error.New("store did not answer %s ago", now-failed)
	}
	status := f.cfg.Lead.Feed().Status()
	age, usual := f.cfg.Answered()
	limit := min(max(probeLimit, 3*usual), maxProbeLimit)
	if status.Lost {
		limit = lostProbeLimit
	} else if usual > slowAnswer && age < usual {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	next := status.Next
	_, err := f.cfg.Store.Read(ctx, chestnutpond.TopicWork, next, 0)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		err = nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = 0
	if err != nil {
		f.unreachable = now
	}
	return err
}

// store appends a record and applies it to the table. If the outcome of a try is
// open, it repeats the append until the context ends; then the fault is
// StoreInDoubt.
func (f *Front) store(ctx context.Context, record chestnutpond.KeyedRecord) (chestnutpond.StoreFault, error) {
	if err := f.reachable(ctx); err != nil {
		return chestnutpond.StoreUnavailable, err
	}
	began, doubt := f.cfg.Now(), false
	for {
		offset, err := f.cfg.Store.Append(ctx, chestnutpond.TopicWork, chestnutpond.KeyedAppend{
			Records: []chestnutpond.KeyedRecord{record},
		})
		if err == nil {
			f.stored.Observe(f.cfg.Now() - began)
			record.Offset = offset
			f.cfg.Lead.Apply([]chestnutpond.KeyedRecord{record})
			return "", nil
		}
		var failed *chestnutpond.StoreError
		if !errors.As(err, &failed) {
			failed = &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: err}
		}
		doubt = doubt || failed.Fault == chestnutpond.StoreInDoubt
		if !doubt {
			return failed.Fault, err
		}
		select {
		case <-ctx.Done():
			return chestnutpond.StoreInDoubt, err
		case <-time.After(appendPause):
		}
	}
}

// lookup returns a job. A job that is not known is looked for in the store before
// it counts as unknown.
func (f *Front) lookup(ctx context.Context, target chestnutpond.IntakeTarget, id chestnutpond.JobID) (lead.JobView, chestnutpond.Verdict) {
	view, known := f.cfg.Lead.Job(id)
	if !known {
		ctx, cancel := context.WithTimeout(ctx, lookupLimit)
		defer cancel()
		if err := f.cfg.Lead.Feed().CatchUp(ctx); err != nil {
			f.cfg.Log.Warn("job not known, and the store cannot be read", "job", id, "error", err)
			return lead.JobView{}, notRun(chestnutpond.ReasonLogUnavailable)
		}
		view, known = f.cfg.Lead.Job(id)
	}
	if !known || view.Account != "" && !target.Queue.Public && view.Account != target.Account {
		f.cfg.Log.Info("job not known", "job", id, "account", target.Account, "owner", view.Account,
			"read_to", f.cfg.Lead.Feed().Status().Next)
		return lead.JobView{}, verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonUnknownJob)
	}
	return view, verdict(chestnutpond.OutcomeAnswered, "")
}

// State implements chestnutpond.Intake. The answer waits a little for the end of a
// job that has not ended.
func (f *Front) State(ctx context.Context, target chestnutpond.IntakeTarget, id chestnutpond.JobID) (chestnutpond.JobState, chestnutpond.Verdict) {
	view, v := f.lookup(ctx, target, id)
	if v.Outcome == chestnutpond.OutcomeAnswered && !view.Lasting {
		view = f.awaitEnd(ctx, id, view)
	}
	return view.State, v
}

// awaitEnd returns the view of a job once it has ended, or as it is after
// stateWait, at the latest after half of the caller's time.
func (f *Front) awaitEnd(ctx context.Context, id chestnutpond.JobID, view lead.JobView) lead.JobView {
	wait := stateWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		// The watch begins before the look, so that no change falls in between.
		changed := f.cfg.Lead.Watch(id)
		if now, known := f.cfg.Lead.Job(id); known {
			view = now
		}
		if view.State.Final() || ctx.Err() != nil {
			f.cfg.Lead.Unwatch(id)
			return view
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Cancel implements chestnutpond.Intake.
func (f *Front) Cancel(ctx context.Context, target chestnutpond.IntakeTarget, id chestnutpond.JobID) chestnutpond.Verdict {
	view, v := f.lookup(ctx, target, id)
	if v.Outcome != chestnutpond.OutcomeAnswered {
		return v
	}
	if view.State.Final() {
		return verdict(chestnutpond.OutcomeCancelled, "")
	}
	record, err := graph.CancelRecord(id, f.cfg.Wall())
	if err != nil {
		f.cfg.Log.Error("cancellation could not be encoded", "job", id, "error", err)
		return notRun(chestnutpond.ReasonLogUnavailable)
	}
	fault, err := f.store(ctx, record)
	switch {
	case err == nil:
		f.cfg.Log.Info("job cancelled", "job", id, "account", target.Account)
		return verdict(chestnutpond.OutcomeCancelled, "")
	case fault == chestnutpond.StoreInDoubt:
		f.cfg.Log.Warn("cancellation in doubt", "job", id, "error", err)
		return verdict(chestnutpond.OutcomeUnknown, chestnutpond.ReasonLogUnavailable)
	}
	f.cfg.Log.Warn("cancellation refused", "job", id, "error", err)
	return notRun(chestnutpond.ReasonLogUnavailable)
}

// Waiting implements chestnutpond.Intake.
func (f *Front) Waiting(target chestnutpond.IntakeTarget) (int, chestnutpond.Verdict) {
	if !f.cfg.Lead.Feed().Status().Loaded {
		return 0, notRun(chestnutpond.ReasonLogUnavailable)
	}
	return f.cfg.Lead.Waiting(target.Queue.Terms.Name), verdict(chestnutpond.OutcomeAnswered, "")
}
