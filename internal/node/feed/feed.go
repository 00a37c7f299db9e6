// Package feed implements a subscription to a topic of the platform's store.
//
// A Feed loads the newest record of each key once and then tails the log. Pages of
// newest records are not one consistent snapshot, so the log is read from the end
// offset of the first page, and receivers keep the record with the highest offset of
// each key. If the log was trimmed beyond the next offset, the feed loads the newest
// records again.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
)

// Error is the error class of this package.
var Error = errs.Class("feed")

const (
	// DefaultWait is how long a read waits for records. The leader writes one every
	// 0.5 s. A route to the store that stops responding is detected soon after, well
	// within the 2.5 s in which a new document must be in force.
	DefaultWait = 600 * time.Millisecond
	// pollDuration is how long the feed polls, once every pollInterval, after the store
	// failed to notify it of new records. The users' store loses watches for a second.
	pollDuration = 2 * time.Second
	pollInterval = 100 * time.Millisecond
	// initialRetryDelay is the backoff after the first failed read.
	initialRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the backoff, which doubles with each consecutive failure. It
	// is also how late the recovery of the store may be detected.
	maxRetryDelay = 200 * time.Millisecond
)

// Receiver receives the records of a topic.
type Receiver interface {
	// Apply is called with records in ascending order of offset. The exception is a
	// load of the newest records, which come in order of key.
	Apply(records []chestnutpond.KeyedRecord)
	// Loaded is called each time all records before the offset next have been applied.
	Loaded(next int64)
	// Retain is called when the newest records have been loaded once more, before
	// Loaded. Records before the offset end that are under none of the keys have been
	// removed, and their tombstones were trimmed before they were read.
	Retain(keys map[string]bool, end int64)
}

// Config configures a Feed.
type Config struct {
	Store    chestnutpond.Store
	Topic    chestnutpond.Topic
	Receiver Receiver
	// Wait is how long a read waits for records; zero means DefaultWait.
	Wait time.Duration
	Now  func() time.Duration
	Log  *slog.Logger
	// Guard contains panics of the receiver.
	Guard *guard.Guard
}

// Feed is a subscription to a topic. It is safe for concurrent use.
type Feed struct {
	cfg Config

	// readToken holds a token while no load or waiting read is in progress.
	readToken chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	loaded bool
	// reload means that the next record was trimmed from the log.
	reload bool
	next   int64
	// fresh is when the last successful read was sent. All records stored before then
	// have been applied.
	fresh time.Duration
	// since is when the current run of successful reads began.
	since time.Duration
	lost  bool
	// pollUntil is the time until which the feed polls instead of waiting for records.
	pollUntil time.Duration
}

// New returns a feed that has not read anything yet.
func New(c Config) *Feed {
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	f := &Feed{cfg: c, readToken: make(chan struct{}, 1)}
	f.readToken <- struct{}{}
	return f
}

// Status is the read progress of a feed.
type Status struct {
	// Loaded means that the initial load has completed.
	Loaded bool
	Next   int64
	// Fresh is a time such that all records stored before it have been applied.
	Fresh time.Duration
	// Since is when the current run of successful reads began.
	Since time.Duration
	// Disconnected means that the last read failed.
	Disconnected bool
}

// Status returns the read progress of the feed.
func (f *Feed) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Loaded: f.loaded, Next: f.next, Fresh: f.fresh, Since: f.since, Disconnected: f.lost}
}

// Run reads the topic until ctx is done.
func (f *Feed) Run(ctx context.Context) error {
	wait := initialRetryDelay
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if err == nil {
			wait = initialRetryDelay
			continue
		}
		f.recordFailure(err)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRetryDelay)
	}
	return nil
}

// follow performs one read that waits for records. While the feed is polling, it reads
// without waiting and then pauses for pollInterval.
func (f *Feed) follow(ctx context.Context) error {
	now := f.cfg.Now()
	f.mu.Lock()
	polling := now < f.pollUntil
	f.mu.Unlock()
	if polling {
		if err := f.readExclusive(ctx, 0); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
		return nil
	}
	return f.readExclusive(ctx, f.cfg.Wait)
}

// CatchUp reads until all records stored before the call have been applied.
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

// readNow reads the available records without waiting for new ones. Once the topic is
// loaded it may run concurrently with a waiting read; both may then apply the same
// records.
func (f *Feed) readNow(ctx context.Context) error {
	if f.needsLoad() {
		return f.readExclusive(ctx, 0)
	}
	return f.read(ctx, 0)
}

func (f *Feed) needsLoad() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.loaded || f.reload
}

// readExclusive loads the topic or reads the log once while it holds the read token.
func (f *Feed) readExclusive(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-f.readToken:
	}
	defer func() { f.readToken <- struct{}{} }()
	if f.needsLoad() {
		return f.load(ctx)
	}
	return f.read(ctx, wait)
}

// load applies the newest record of each key.
func (f *Feed) load(ctx context.Context) error {
	began := f.cfg.Now()
	after := ""
	end := int64(-1)
	keys := map[string]bool{}
	for {
		page, err := f.cfg.Store.Newest(ctx, f.cfg.Topic, after)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End
		}
		f.apply(page.Records)
		for _, r := range page.Records {
			keys[r.Key] = true
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	if f.Status().Loaded {
		f.cfg.Receiver.Retain(keys, end)
	}
	f.cfg.Receiver.Loaded(end)
	f.recordSuccess(began, end)
	f.mu.Lock()
	f.reload = false
	f.mu.Unlock()
	return nil
}

// read reads the log once from the next offset.
func (f *Feed) read(ctx context.Context, wait time.Duration) error {
	began := f.cfg.Now()
	next := f.Status().Next
	batch, err := f.cfg.Store.Read(ctx, f.cfg.Topic, next, wait)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		f.cfg.Log.Warn("log was trimmed beyond the next offset; reloading the newest records",
			"topic", f.cfg.Topic, "from", next, "first", trimmed.First)
		f.mu.Lock()
		f.reload = true
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Polled {
		f.mu.Lock()
		f.pollUntil = f.cfg.Now() + pollDuration
		f.mu.Unlock()
	}
	end := next + int64(len(batch.Records))
	if len(batch.Records) > 0 {
		f.apply(batch.Records)
		f.cfg.Receiver.Loaded(end)
	}
	if end < batch.End {
		// The batch does not reach the end of the log, so it proves no freshness.
		began = 0
	}
	f.recordSuccess(began, end)
	return nil
}

// apply passes records to the receiver. If it panics, it gets the records once more one
// by one, and those that make it panic are skipped.
func (f *Feed) apply(records []chestnutpond.KeyedRecord) {
	if f.cfg.Guard.Run(func() { f.cfg.Receiver.Apply(records) }, "topic", f.cfg.Topic, "records", len(records)) {
		return
	}
	for i, r := range records {
		one := records[i : i+1]
		f.cfg.Guard.Run(func() { f.cfg.Receiver.Apply(one) }, "topic", f.cfg.Topic, "record", r.Key, "offset", r.Offset)
	}
}

// recordSuccess updates the status after a read that was sent at began and that applied
// all records before next.
func (f *Feed) recordSuccess(began time.Duration, next int64) {
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

func (f *Feed) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.cfg.Log.Warn("store lost", "topic", f.cfg.Topic, "error", err)
	}
}
