package feed_test

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/feed"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// oddKey is the key of the record that makes the receiver panic.
const oddKey = "odd"

// receiver keeps the values of keys and panics on one of them.
type receiver struct {
	mu     sync.Mutex
	values map[string]string
	next   int64
}

// snapshot returns the values.
func (r *receiver) snapshot() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.values)
}

func (r *receiver) Apply(records []chestnutpond.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if record.Key == oddKey {
			panic("odd record")
		}
		r.values[record.Key] = string(record.Value)
	}
}

func (r *receiver) Loaded(next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = next
}

func (r *receiver) Retain(keys map[string]bool, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.values {
		if !keys[key] {
			delete(r.values, key)
		}
	}
}

// Guards against one record that ends every process that reads it, or keeps it from the
// records that follow.
func TestRecordThatPanics(t *testing.T) {
	records := []chestnutpond.KeyedRecord{
		{Key: "a", Value: []byte("1")},
		{Key: oddKey, Value: []byte("?")},
		{Key: "z", Value: []byte("2")},
	}
	for name, loaded := range map[string]bool{"while it is loaded": false, "while it is followed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := stand.NewKeyedStore()
				r := &receiver{values: map[string]string{}}
				registry := stats.New()
				began := time.Now()
				f := feed.New(feed.Config{
					Store: store, Topic: chestnutpond.TopicEntries, Receiver: r,
					Now: func() time.Duration { return time.Since(began) + 1 },
					Log: slog.New(slog.DiscardHandler),
					Guard: guard.New(guard.Config{
						Log: slog.New(slog.DiscardHandler), Metrics: registry,
					}),
				})
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				if loaded {
					go func() { done <- f.Run(ctx) }()
					synctest.Wait()
				}
				_, err := store.Append(ctx, chestnutpond.TopicEntries, chestnutpond.KeyedAppend{Records: records})
				assert.NilError(t, err)
				if !loaded {
					go func() { done <- f.Run(ctx) }()
				}
				time.Sleep(time.Second)
				stop()
				assert.NilError(t, <-done)
				assert.DeepEqual(t, r.values, map[string]string{"a": "1", "z": "2"})
				assert.Equal(t, r.next, int64(3))
				assert.Assert(t, registry.Counter("panics_total", "").Count() > 0)
			})
		})
	}
}

// Guards against records that stay for good because they were removed, and the log was
// trimmed, while the feed could not read.
func TestRecordsRemovedWhileNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := stand.NewKeyedStore()
		way := &stand.StoreCaller{Store: store}
		r := &receiver{values: map[string]string{}}
		began := time.Now()
		f := feed.New(feed.Config{
			Store: way, Topic: chestnutpond.TopicEntries, Receiver: r,
			Now: func() time.Duration { return time.Since(began) + 1 }, Log: slog.New(slog.DiscardHandler),
			Guard: guard.New(guard.Config{Log: slog.New(slog.DiscardHandler), Metrics: stats.New()}),
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		put := func(records ...chestnutpond.KeyedRecord) {
			_, err := store.Append(ctx, chestnutpond.TopicEntries, chestnutpond.KeyedAppend{Records: records})
			assert.NilError(t, err)
		}
		put(chestnutpond.KeyedRecord{Key: "a", Value: []byte("1")}, chestnutpond.KeyedRecord{Key: "b", Value: []byte("2")})
		time.Sleep(time.Second)
		assert.DeepEqual(t, r.snapshot(), map[string]string{"a": "1", "b": "2"})
		way.SetFault(chestnutpond.StoreUnavailable)
		time.Sleep(time.Second)
		put(chestnutpond.KeyedRecord{Key: "a"}, chestnutpond.KeyedRecord{Key: "c", Value: []byte("3")})
		store.Trim(chestnutpond.TopicEntries)
		way.SetFault("")
		time.Sleep(time.Second)
		stop()
		assert.NilError(t, <-done)
		assert.DeepEqual(t, r.snapshot(), map[string]string{"b": "2", "c": "3"})
	})
}
