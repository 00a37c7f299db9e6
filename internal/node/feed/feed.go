// Package feed follows a topic of the platform's store.
//
// A Feed reads the newest record of each key once and then the log from there
// on. Pages of newest records are not one snapshot, so the log is read from the
// end that the first page names; the receiver keeps the newest record of each
// key by its offset. When the log no longer has the offset to go on from, the
// feed starts anew with the newest records.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
)

// Error is the class of this package's errors.
var Error = errs.Class("feed")

const (
	// DefaultWait is how long a read waits for a record. The leader writes one
	// every 0.5 s. A way to the store that went silent is noticed a little later,
	// well inside the 2.5 s in which a new document must be in force.
	DefaultWait = 600 * time.Millisecond
	// askFor is how long a store that does not tell of new records is asked every
	// askEvery instead. The users' store loses its watches for a second.
	askFor   = 2 * time.Second
	askEvery = 100 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds the pause, which doubles with each failure in a row. It
	// is also how late the return of the store is noticed.
	maxRetryPause = 200 * time.Millisecond
)

// Receiver takes the records of a topic.
type Receiver interface {
	// Apply is called with records in ascending order of offset, but for the
	// newest records of keys at the start, which come in order of key.
	Apply(records []chestnutpond.KeyedRecord)
	// Loaded is called each time all records up to an offset were applied.
	Loaded(next int64)
}

// Config configures a Feed.
type Config struct {
	Store    chestnutpond.Store
	Topic    chestnutpond.Topic
	Receiver Receiver
	// Wait is how long a read waits for a record; zero means DefaultWait.
	Wait time.Duration
	Now  func() time.Duration
	Log  *slog.Logger
}

// Feed follows a topic. It is safe for concurrent use.
type Feed struct {
	cfg Config

	// turn holds a token while nobody reads.
	turn chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	loaded bool
	// reload means that the log no longer has the next record.
	reload bool
	next   int64
	// fresh is when the last successful read was sent: all records stored before
	// have been applied.
	fresh time.Duration
	// since is when the current row of successful reads began.
	since time.Duration
	lost  bool
	// askUntil is until when reads do not wait for records.
	askUntil time.Duration
}

// New returns a feed that has read nothing.
func New(c Config) *Feed {
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	f := &Feed{cfg: c, turn: make(chan struct{}, 1)}
	f.turn <- struct{}{}
	return f
}

// Status is how far a feed has read.
type Status struct {
	// Loaded means that the topic was read to its end once.
	Loaded bool
	Next   int64
	// Fresh is the time such that all records stored before it were applied.
	Fresh time.Duration
	// Since is the begin of the current row of successful reads.
	Since time.Duration
	// Lost means that the last read failed.
	Lost bool
}

// Status returns how far the feed has read.
func (f *Feed) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Loaded: f.loaded, Next: f.next, Fresh: f.fresh, Since: f.since, Lost: f.lost}
}

// Run follows the topic until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	wait := retryPause
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if err == nil {
			wait = retryPause
			continue
		}
		f.failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRetryPause)
	}
	return nil
}

// follow makes one read that waits for records, or one that does not and a pause
// while the store does not tell of new records.
func (f *Feed) follow(ctx context.Context) error {
	now := f.cfg.Now()
	f.mu.Lock()
	asking := now < f.askUntil
	f.mu.Unlock()
	if asking {
		if err := f.turnOnce(ctx, 0); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
		return nil
	}
	return f.turnOnce(ctx, f.cfg.Wait)
}

// CatchUp reads until all records that were stored before the call have been
// applied.
func (f *Feed) CatchUp(ctx context.Context) error {
	began := f.cfg.Now()
	for {
		if s := f.Status(); s.Loaded && s.Fresh >= began {
			return nil
		}
		if err := f.readNow(ctx); err != nil {
			return err
		}
	}
}

// readNow reads what is there without waiting. It does not wait for the turn of
// a read that waits for records: both may read the same ones.
func (f *Feed) readNow(ctx context.Context) error {
	if f.mustLoad() {
		return f.turnOnce(ctx, 0)
	}
	return f.read(ctx, 0)
}

func (f *Feed) mustLoad() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.loaded || f.reload
}

// turnOnce loads the topic or makes one read of the log.
func (f *Feed) turnOnce(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-f.turn:
	}
	defer func() { f.turn <- struct{}{} }()
	if f.mustLoad() {
		return f.load(ctx)
	}
	return f.read(ctx, wait)
}

// load reads the newest record of each key.
func (f *Feed) load(ctx context.Context) error {
	began := f.cfg.Now()
	after := ""
	end := int64(-1)
	for {
		page, err := f.cfg.Store.Newest(ctx, f.cfg.Topic, after)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End
		}
		f.cfg.Receiver.Apply(page.Records)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.cfg.Receiver.Loaded(end)
	f.succeeded(began, end)
	f.mu.Lock()
	f.reload = false
	f.mu.Unlock()
	return nil
}

// read makes one read of the log.
func (f *Feed) read(ctx context.Context, wait time.Duration) error {
	began := f.cfg.Now()
	next := f.Status().Next
	batch, err := f.cfg.Store.Read(ctx, f.cfg.Topic, next, wait)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		f.cfg.Log.Warn("log begins after the offset to read from; reading the newest records",
			"topic", f.cfg.Topic, "from", next, "first", trimmed.First)
		f.mu.Lock()
		f.reload = true
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Unwatched {
		f.mu.Lock()
		f.askUntil = f.cfg.Now() + askFor
		f.mu.Unlock()
	}
	end := next + int64(len(batch.Records))
	if len(batch.Records) > 0 {
		f.cfg.Receiver.Apply(batch.Records)
		f.cfg.Receiver.Loaded(end)
	}
	if end < batch.End {
		// More is there than one answer holds: nothing is known of its age.
		began = 0
	}
	f.succeeded(began, end)
	return nil
}

// succeeded notes a read that was sent at a time and went up to an offset.
func (f *Feed) succeeded(began time.Duration, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = true
	f.next = max(f.next, next)
	f.fresh = max(f.fresh, began)
	if f.lost || f.since == 0 {
		f.since = f.cfg.Now()
	}
	if f.lost {
		f.lost = false
		f.cfg.Log.Info("store is back", "topic", f.cfg.Topic, "next", f.next)
	}
}

func (f *Feed) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.cfg.Log.Warn("store lost", "topic", f.cfg.Topic, "error", err)
	}
}
