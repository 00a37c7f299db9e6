// Package jobsvc handles the client calls that submit, query and cancel jobs.
//
// A Service selects the queue and the account of a call by the newest configuration
// document, stores jobs and cancellations, and answers queries from the table of
// jobs. It accepts a job or a cancellation once its record is stored. It answers
// "not run" only if the record cannot have reached the store; if the store may have
// the record, it repeats the append of the same record until the client's deadline.
package jobsvc

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/feed"
	"github.com/chestnutpond/chestnutpond/internal/node/lead"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// Error is the class of this package's errors.
var Error = errs.Class("front")

const (
	// appendRetryDelay is the delay between two attempts to store a record.
	appendRetryDelay = 30 * time.Millisecond
	// slowStoreLatency is the latency above which the store counts as slow. A read
	// before each append to a slow store would cost clients more time than the
	// unknown outcomes that it avoids.
	slowStoreLatency = 150 * time.Millisecond
	// probeTimeout bounds that read. Between regions it takes 20 ms.
	probeTimeout = 300 * time.Millisecond
	// maxProbeTimeout bounds it while the store is slow, when the timeout is three
	// times the latency of the store.
	maxProbeTimeout = time.Second
	// lostProbeTimeout bounds it while the store is known to be unavailable, so
	// that a client that cannot be served is told so at once.
	lostProbeTimeout = 90 * time.Millisecond
	// probeFailureTTL is how long later calls reuse the result of a failed read.
	probeFailureTTL = 50 * time.Millisecond
	// stateWait is how long a query for the state of a job waits for the end of the
	// job. Clients poll several times a second, and learn of an end sooner this way
	// than by their next poll.
	stateWait = 300 * time.Millisecond
	// maxUnmatchedCancels limits the cancellations of unknown jobs that are kept.
	maxUnmatchedCancels = 10_000
	// lookupTimeout bounds the read of the store for an unknown job.
	lookupTimeout = 800 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	Store chestnutpond.Store
	// StoreLatency returns the time since the store last answered, and its current
	// latency.
	StoreLatency func() (time.Duration, time.Duration)
	Lead         *lead.Manager
	// ParseDocument parses a record of the operators; the second result is false
	// for records of other kinds.
	ParseDocument func(key string, value []byte) (chestnutpond.Document, bool, error)
	// ParseEvacuation returns the zone of a request for an evacuation by its key; false for
	// records of other kinds. It may be nil if zones are not evacuated.
	ParseEvacuation func(key string) (string, bool)
	Now             func() time.Duration
	WallClock       func() time.Time
	Log             *slog.Logger
	// Metrics receives the time that it takes to store records.
	Metrics *stats.Registry
	// Guard contains panics.
	Guard *guard.Guard
	// MaxRecord bounds a record of the store in bytes; zero means no bound.
	MaxRecord int
	// Admission makes Submit reject jobs that could not end in time.
	Admission bool
}

// Service implements chestnutpond.GraphService for an entry. It is safe for concurrent use.
type Service struct {
	cfg  Config
	feed *feed.Feed
	// storeSeconds measures the time that it takes to store the record of a call.
	storeSeconds *stats.Seconds
	// admission is nil unless Config.Admission is set.
	admission *admission

	// mu guards the fields below. Only the lock of the lead.Manager is taken while it is held.
	mu       sync.Mutex
	document chestnutpond.Document
	// tokens maps the digest of each token to its account.
	tokens map[string]string
	// evacuations has the newest request for the evacuation of each zone.
	evacuations map[string]evacuation
	stopping    bool
	// unreachableAt is when the store last failed to answer a read; 0 once a read
	// succeeds.
	unreachableAt time.Duration
}

var _ chestnutpond.GraphService = (*Service)(nil)

// New returns a Service without a configuration document.
func New(c Config) *Service {
	f := &Service{
		cfg: c, tokens: map[string]string{}, evacuations: map[string]evacuation{},
		storeSeconds: c.Metrics.Seconds("front_store_seconds", "Time from a client's call until its record was stored."),
	}
	f.feed = feed.New(feed.Config{
		Store: c.Store, Topic: chestnutpond.TopicDesired, Receiver: f, Now: c.Now, Log: c.Log, Guard: c.Guard,
	})
	if c.Admission {
		f.admission = newAdmission()
		c.Metrics.GaugeFunc("front_forecast_age_milliseconds", "Age of the newest forecast; -1 if there is none.", f.forecastAge)
	}
	return f
}

// Feed returns the feed of the configuration documents.
func (f *Service) Feed() *feed.Feed { return f.feed }

// Apply applies configuration records of the operators. It implements
// feed.Receiver.
func (f *Service) Apply(records []chestnutpond.KeyedRecord) {
	for _, r := range records {
		if zone, ok := f.parseEvacuation(r.Key); ok {
			f.applyEvacuation(zone, r)
			continue
		}
		d, ok, err := f.cfg.ParseDocument(r.Key, r.Value)
		if err != nil {
			f.cfg.Log.Error("skipping invalid document", "offset", r.Offset, "error", err)
			continue
		}
		if ok {
			f.setDocument(d, r.Offset)
		}
	}
}

// Loaded implements feed.Receiver.
func (f *Service) Loaded(int64) {}

// Retain implements feed.Receiver. A document stays in force until there is a newer one.
func (f *Service) Retain(keys map[string]bool, end int64) { f.retainEvacuations(keys, end) }

// setDocument replaces the document in force if the given one is newer.
func (f *Service) setDocument(d chestnutpond.Document, offset int64) {
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

// Version returns the version of the document in force, or 0 if there is none.
func (f *Service) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document.Version
}

// Stop makes the Service report itself as not ready.
func (f *Service) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Ready implements chestnutpond.GraphService.
func (f *Service) Ready() bool {
	f.mu.Lock()
	ready := !f.stopping && f.document.Version > 0
	f.mu.Unlock()
	return ready && f.cfg.Lead.Feed().Status().Loaded
}

func verdict(o chestnutpond.Outcome, r chestnutpond.Reason) chestnutpond.CallResult {
	return chestnutpond.CallResult{Outcome: o, Reason: r}
}

// checkReachable returns an error if the store cannot be read now. A record is sent
// only to a store that can be read; otherwise it might be stored after its client
// was told that it was not. All records stored before the call are then applied, unless the
// store is slow.
func (f *Service) checkReachable(ctx context.Context) error {
	now := f.cfg.Now()
	f.mu.Lock()
	failed := f.unreachableAt
	f.mu.Unlock()
	if failed > 0 && now-failed < probeFailureTTL {
		return Error.New("store did not answer a read %s ago", now-failed)
	}
	status := f.cfg.Lead.Feed().Status()
	age, latency := f.cfg.StoreLatency()
	limit := min(max(probeTimeout, 3*latency), maxProbeTimeout)
	if status.Disconnected {
		limit = lostProbeTimeout
	} else if latency > slowStoreLatency && age < latency {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := f.cfg.Lead.Feed().CatchUp(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachableAt = 0
	if err != nil {
		f.unreachableAt = now
	}
	return err
}

// storeRecord is appendRecord if the store can be read.
func (f *Service) storeRecord(ctx context.Context, record chestnutpond.KeyedRecord) (chestnutpond.StoreFault, error) {
	if err := f.checkReachable(ctx); err != nil {
		return chestnutpond.StoreUnavailable, err
	}
	return f.appendRecord(ctx, record)
}

// appendRecord appends a record and applies it to the table. If the outcome of an
// attempt is unknown, it repeats the append until the context ends; then the fault
// is StoreInDoubt.
func (f *Service) appendRecord(ctx context.Context, record chestnutpond.KeyedRecord) (chestnutpond.StoreFault, error) {
	began, inDoubt := f.cfg.Now(), false
	for {
		offset, err := f.cfg.Store.Append(ctx, chestnutpond.TopicWork, chestnutpond.KeyedAppend{
			Records: []chestnutpond.KeyedRecord{record},
		})
		if err == nil {
			f.storeSeconds.Observe(f.cfg.Now() - began)
			record.Offset = offset
			f.cfg.Lead.Apply([]chestnutpond.KeyedRecord{record})
			return "", nil
		}
		var failed *chestnutpond.StoreError
		if !errors.As(err, &failed) {
			failed = &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: err}
		}
		inDoubt = inDoubt || failed.Fault == chestnutpond.StoreInDoubt
		if !inDoubt {
			return failed.Fault, err
		}
		select {
		case <-ctx.Done():
			return chestnutpond.StoreInDoubt, err
		case <-time.After(appendRetryDelay):
		}
	}
}

// lookup returns a job. If the job is not in the table, lookup reads the store to
// its end before it reports the job as unknown.
func (f *Service) lookup(ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID) (lead.JobView, chestnutpond.CallResult) {
	view, known := f.cfg.Lead.Job(id)
	if !known {
		ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
		defer cancel()
		if err := f.cfg.Lead.Feed().CatchUp(ctx); err != nil {
			f.cfg.Log.Warn("job not known, and the store cannot be read", "job", id, "error", err)
			return lead.JobView{}, f.storeAway(id)
		}
		view, known = f.cfg.Lead.Job(id)
	}
	if !known || !f.mayAccess(target, view) {
		f.cfg.Log.Info("job not known", "job", id, "account", target.Account, "owner", view.Account,
			"read_to", f.cfg.Lead.Feed().Status().Next)
		return lead.JobView{}, verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonUnknownJob)
	}
	return view, verdict(chestnutpond.OutcomeAnswered, "")
}

// mayAccess reports whether a call may see and end a job: its own account's, or on a public
// queue one that was accepted there or on another public queue. The queue of a job may have
// been removed since.
func (f *Service) mayAccess(target chestnutpond.RouteTarget, view lead.JobView) bool {
	if view.Account == target.Account || !target.Queue.Public {
		return view.Account == target.Account || view.Account == ""
	}
	if view.Queue == target.Queue.Terms.Name {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.document.Kinds {
		if q := f.document.Kinds[i].Queue; q != nil && q.Terms.Name == view.Queue {
			return q.Public
		}
	}
	return true
}

// State implements chestnutpond.GraphService. If the job has not ended, the answer waits
// briefly for its end.
func (f *Service) State(ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID) (chestnutpond.JobState, chestnutpond.CallResult) {
	view, v := f.lookup(ctx, target, id)
	if v.Outcome == chestnutpond.OutcomeAnswered && !view.LongRunning {
		view = f.awaitEnd(ctx, id, view)
	}
	return view.State, v
}

// awaitEnd returns the view of a job once it has ended, or its current view after
// the shorter of stateWait and half of the caller's remaining time.
func (f *Service) awaitEnd(ctx context.Context, id chestnutpond.JobID, view lead.JobView) lead.JobView {
	wait := stateWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		// Watch before the job is read, so that no change in between is missed.
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

// Waiting implements chestnutpond.GraphService.
func (f *Service) Waiting(target chestnutpond.RouteTarget) (int, chestnutpond.CallResult) {
	if !f.cfg.Lead.Feed().Status().Loaded {
		return 0, notRun(chestnutpond.ReasonLogUnavailable)
	}
	return f.cfg.Lead.Waiting(target.Queue.Terms.Name), verdict(chestnutpond.OutcomeAnswered, "")
}
