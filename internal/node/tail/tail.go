package tail

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	// readWait is how long a read waits for the first new record. It adds to the
	// time until a new configuration takes effect.
	readWait = time.Second
	// readTimeout is the limit of one read beyond its wait, so that a read does
	// not hang on an unresponsive connection.
	readTimeout = 3 * time.Second
	// readLimit is the maximum number of records of one read.
	readLimit = 512
	// appendTimeout is the limit of one append attempt.
	appendTimeout = time.Second
	// availabilityTimeout is how long after the last successful read the log
	// counts as available.
	availabilityTimeout = 4 * time.Second
	// pauseTimeout is the time without an ended read after which the process must have
	// been paused: a read that times out, the longest backoff, and a second for a slow host.
	pauseTimeout   = readWait + readTimeout + 3*maxBackoff/2 + time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Config configures a Tail.
type Config struct {
	Log    chestnutpond.Log
	Origin ledger.Origin
	Events chestnutpond.EventSink
	Logger *slog.Logger
	// Metrics is the registry of this package's metrics.
	Metrics *stats.Registry
	// Sync returns the encoded state of another entry, or an error if none is
	// reachable.
	Sync func(ctx context.Context) ([]byte, error)
	// OnChange is called for every record that changed the state, in order, in
	// the goroutine of Run. It must not block.
	OnChange func(ledger.Change)
	// OnReplace is called after the whole state was replaced by a later one.
	OnReplace func()
}

// Tail reads the log and maintains the state that results from its records.
type Tail struct {
	cfg Config

	// mu guards the fields below. It is taken after no other lock and no other
	// lock is taken under it.
	mu    sync.RWMutex
	state *ledger.State
	// loaded is set once the state includes all records before its offset.
	loaded bool
	// moved is closed and replaced whenever the state changes.
	moved chan struct{}
	// lastRead is when the last successful read was sent.
	lastRead time.Time
	// checkedAt is when the last read ended, with all records applied or with a failure.
	// Reads across which the process was paused do not count.
	checkedAt time.Time
	// checked is closed and replaced whenever checkedAt is set.
	checked chan struct{}
	// available is the availability of the log at the last check.
	available bool
	// applyErr is set when a record of a later release stops the reader.
	applyErr error
}

// New returns a Tail with an empty state.
func New(cfg Config) *Tail {
	return &Tail{cfg: cfg, state: ledger.New(), moved: make(chan struct{}), checked: make(chan struct{})}
}

// View calls f with the state under a read lock; f must not retain the state.
func (t *Tail) View(f func(*ledger.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	f(t.state)
}

// Loaded reports whether the state is complete up to its offset, so that
// decisions may be based on it.
func (t *Tail) Loaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded && t.applyErr == nil
}

// Available reports whether the log service answered a read within
// availabilityTimeout.
func (t *Tail) Available() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.isAvailable()
}

func (t *Tail) isAvailable() bool {
	return !t.lastRead.IsZero() && time.Since(t.lastRead) < availabilityTimeout
}

// Err returns the error that stopped Run from applying records, or nil.
func (t *Tail) Err() error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.applyErr
}

// Snapshot returns the encoded state and its next offset. It returns an error
// until the state is loaded.
func (t *Tail) Snapshot() ([]byte, int64, error) {
	t.mu.RLock()
	if !t.loaded {
		t.mu.RUnlock()
		return nil, 0, ledger.Error.New("state is not loaded")
	}
	img := t.state.Capture()
	t.mu.RUnlock()
	data, err := img.Pack()
	return data, img.Next(), err
}

// Run reads and applies records until ctx ends. It returns an error if the log has
// a record of a later release.
func (t *Tail) Run(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialBackoff
	delay.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		began := time.Now()
		atEnd, err := t.step(ctx)
		t.updateAvailability()
		if (atEnd || err != nil) && time.Since(began) < pauseTimeout {
			t.setChecked()
		}
		if err == nil {
			delay.Reset()
			continue
		}
		var versionErr *ledger.VersionError
		if errors.As(err, &versionErr) {
			t.stopApplying(err)
			return err
		}
		t.cfg.Logger.Debug("tail: reading the log or loading the state failed; retrying", "error", err)
		pause(ctx, delay.NextBackOff())
	}
	return nil
}

// step loads the state or reads once. It reports whether the state then has all records
// that the log had.
func (t *Tail) step(ctx context.Context) (bool, error) {
	if !t.Loaded() {
		err := t.load(ctx)
		return err == nil, err
	}
	t.mu.RLock()
	from := t.state.Next()
	t.mu.RUnlock()
	batch, sent, err := t.read(ctx, from, readWait)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		err := t.load(ctx)
		return err == nil, err
	}
	if err != nil {
		return false, err
	}
	t.setLastRead(sent)
	return from+int64(len(batch.Records)) >= batch.Next, t.applyRecords(batch.Records)
}

// AwaitRead returns at once unless the process was paused since the last read ended. It
// then waits for the next read to end, at most for the given time, because until then
// withdrawn keys and evacuations may not be known. A log that does not answer delays
// nothing: reads from it end by their timeout.
func (t *Tail) AwaitRead(limit time.Duration) {
	t.mu.RLock()
	paused := !t.checkedAt.IsZero() && time.Since(t.checkedAt) >= pauseTimeout && t.applyErr == nil
	checked := t.checked
	t.mu.RUnlock()
	if !paused || limit <= 0 {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	}
}

func (t *Tail) setChecked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkedAt = time.Now()
	close(t.checked)
	t.checked = make(chan struct{})
}

func (t *Tail) read(ctx context.Context, from int64, wait time.Duration) (chestnutpond.Batch, time.Time, error) {
	rctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	sent := time.Now()
	batch, err := t.cfg.Log.Read(rctx, from, readLimit, wait)
	return batch, sent, err
}

func (t *Tail) applyRecords(records []chestnutpond.Record) error {
	for _, rec := range records {
		change, err := t.applyRecord(rec)
		var versionErr *ledger.VersionError
		if errors.As(err, &versionErr) {
			return err
		}
		if err != nil {
			t.cfg.Logger.Error("tail: record skipped", "offset", rec.Offset, "error", err)
			continue
		}
		if change.Kind != ledger.ChangeNone && t.cfg.OnChange != nil {
			t.cfg.OnChange(change)
		}
	}
	return nil
}

func (t *Tail) applyRecord(rec chestnutpond.Record) (ledger.Change, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec.Offset < t.state.Next() {
		return ledger.Change{}, nil
	}
	change, err := t.state.Apply(rec)
	t.notifyWaiters()
	return change, err
}

// notifyWaiters wakes the goroutines that wait for a change of the state. The
// caller holds mu.
func (t *Tail) notifyWaiters() {
	close(t.moved)
	t.moved = make(chan struct{})
}

func (t *Tail) stopApplying(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyErr = err
	t.notifyWaiters()
	t.cfg.Logger.Error("tail: stopped, the log has records of a later release", "error", err)
}

func (t *Tail) setLastRead(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRead = sent
}

func (t *Tail) updateAvailability() {
	t.mu.Lock()
	was := t.available
	t.available = t.isAvailable()
	now := t.available
	t.mu.Unlock()
	if was == now {
		return
	}
	kind := chestnutpond.EventLogLost
	if now {
		kind = chestnutpond.EventLogRecovered
	}
	t.cfg.Events.Add(chestnutpond.Event{Kind: kind})
	t.cfg.Logger.Warn("tail: log service availability changed", "available", now)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
