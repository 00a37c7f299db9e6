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
	// readWait is how long a read waits for the first new record. It is part of
	// the time in which a configuration comes into force.
	readWait = time.Second
	// readTimeout bounds one read, so that a silent connection is left.
	readTimeout = 3 * time.Second
	// readLimit bounds the records of one read.
	readLimit = 512
	// appendTimeout bounds one try of an append.
	appendTimeout = time.Second
	// availableFor is how long after the last good read the log counts as there.
	availableFor = 4 * time.Second
	retryFirst   = 20 * time.Millisecond
	retryMax     = time.Second
)

// Config makes a Tail.
type Config struct {
	Log    chestnutpond.Log
	Origin ledger.Origin
	Events chestnutpond.EventSink
	Logger *slog.Logger
	// Metrics gets the meters and gauges of this package.
	Metrics *stats.Registry
	// Sync returns the packed state of another entry. It fails when none can be
	// reached.
	Sync func(ctx context.Context) ([]byte, error)
	// OnChange is called for every record that changed the state, in order, by
	// the goroutine of Run. It must not block.
	OnChange func(ledger.Change)
	// OnReplace is called after the whole state was replaced by a later one.
	OnReplace func()
}

// Tail follows the log.
type Tail struct {
	cfg Config

	// mu guards the fields below. It is taken after no other lock and no other
	// lock is taken under it.
	mu    sync.RWMutex
	state *ledger.State
	// loaded means that the state holds all that came before its offset.
	loaded bool
	// moved is closed and replaced whenever the state moves.
	moved chan struct{}
	// lastRead is when the last good read was sent.
	lastRead time.Time
	// available is whether the last look at lastRead found the log there.
	available bool
	// broken is set when a record of a later release stops the fold.
	broken error
}

// New returns a Tail that has read nothing.
func New(cfg Config) *Tail {
	return &Tail{cfg: cfg, state: ledger.New(), moved: make(chan struct{})}
}

// View calls look with the state under a read lock; look must not keep it.
func (t *Tail) View(look func(*ledger.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	look(t.state)
}

// Loaded reports whether the state is complete up to its offset, so that
// decisions may rest on it.
func (t *Tail) Loaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded && t.broken == nil
}

// Available reports whether the log service answered lately.
func (t *Tail) Available() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.isAvailable()
}

func (t *Tail) isAvailable() bool {
	return !t.lastRead.IsZero() && time.Since(t.lastRead) < availableFor
}

// Err returns the error that stopped the fold, nil while it goes on.
func (t *Tail) Err() error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.broken
}

// Snapshot returns the packed state and its next offset. It fails before the
// state is loaded.
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

// Run reads and folds until ctx ends, or until a record of a later release
// stops it.
func (t *Tail) Run(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryFirst
	delay.MaxInterval = retryMax
	for ctx.Err() == nil {
		err := t.step(ctx)
		t.noteAvailability()
		if err == nil {
			delay.Reset()
			continue
		}
		var late *ledger.VersionError
		if errors.As(err, &late) {
			t.stopFold(err)
			return err
		}
		t.cfg.Logger.Debug("tail: read failed", "error", err)
		pause(ctx, delay.NextBackOff())
	}
	return nil
}

func (t *Tail) step(ctx context.Context) error {
	if !t.Loaded() {
		return t.load(ctx)
	}
	t.mu.RLock()
	from := t.state.Next()
	t.mu.RUnlock()
	batch, sent, err := t.read(ctx, from, readWait)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		return t.load(ctx)
	}
	if err != nil {
		return err
	}
	t.noteRead(sent)
	return t.fold(batch.Records)
}

func (t *Tail) read(ctx context.Context, from int64, wait time.Duration) (chestnutpond.Batch, time.Time, error) {
	rctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	sent := time.Now()
	batch, err := t.cfg.Log.Read(rctx, from, readLimit, wait)
	return batch, sent, err
}

func (t *Tail) fold(records []chestnutpond.Record) error {
	for _, rec := range records {
		change, err := t.apply(rec)
		var late *ledger.VersionError
		if errors.As(err, &late) {
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

func (t *Tail) apply(rec chestnutpond.Record) (ledger.Change, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec.Offset < t.state.Next() {
		return ledger.Change{}, nil
	}
	change, err := t.state.Apply(rec)
	t.wake()
	return change, err
}

// wake tells the waiters that the state moved. The caller holds mu.
func (t *Tail) wake() {
	close(t.moved)
	t.moved = make(chan struct{})
}

func (t *Tail) stopFold(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = err
	t.wake()
	t.cfg.Logger.Error("tail: stopped, the log has records of a later release", "error", err)
}

func (t *Tail) noteRead(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRead = sent
}

func (t *Tail) noteAvailability() {
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
		kind = chestnutpond.EventLogBack
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
