package tail

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

func newTail(name string, log chestnutpond.Log, sync func(context.Context) ([]byte, error)) *Tail {
	return New(Config{
		Log: log, Origin: ledger.Origin{Process: name, Incarnation: 1},
		Events:  events.New(events.Config{Process: name}),
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: stats.New(), Sync: sync,
	})
}

// runTails runs tails inside the synctest bubble until ctx ends.
func runTails(ctx context.Context, tails ...*Tail) {
	for _, t := range tails {
		go func() { _ = t.Run(ctx) }()
	}
}

func publication(n int64) ledger.Publish {
	return ledger.Publish{ID: fmt.Sprint("p", n), Service: "s", Base: n - 1, Document: []byte(fmt.Sprint(n))}
}

func version(t *Tail) (v int64) {
	t.View(func(st *ledger.State) {
		config, _ := st.Current()
		v = config.Version
	})
	return v
}

// TestAppendUnderFaults guards against an append that returns a wrong outcome: a
// record that took effect must never be reported as not appended.
func TestAppendUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults stand.LogFaults
		// heal is the time until the faults end; zero means that they never do.
		heal      time.Duration
		ok        bool
		ambiguous bool
		// inLog is whether the record must be in the log at the end.
		inLog bool
	}{
		"no fault":                {ok: true, inLog: true},
		"outage throughout":       {faults: stand.LogFaults{Outage: true}},
		"outage that ends":        {faults: stand.LogFaults{Outage: true}, heal: 2 * time.Second, ok: true, inLog: true},
		"one answer lost":         {faults: stand.LogFaults{LoseAnswers: 1}, ok: true, inLog: true},
		"all answers lost":        {faults: stand.LogFaults{LoseAnswers: -1}, ambiguous: true, inLog: true},
		"answers after the limit": {faults: stand.LogFaults{AnswerDelay: stand.Duration(2 * time.Second)}, ambiguous: true, inLog: true},
		"slow that heals":         {faults: stand.LogFaults{Delay: stand.Duration(3 * time.Second)}, heal: 2 * time.Second, ok: true, inLog: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := stand.NewLog("s")
				tail := newTail("a", log, nil)
				runTails(ctx, tail)
				time.Sleep(time.Second)
				log.SetFaults(tc.faults)
				if tc.heal > 0 {
					time.AfterFunc(tc.heal, func() { log.SetFaults(stand.LogFaults{}) })
				}
				actx, done := context.WithTimeout(ctx, 8*time.Second)
				defer done()
				err := tail.Append(actx, publication(1))
				assert.Equal(t, err == nil, tc.ok, "error %v", err)
				var failed *chestnutpond.AppendError
				assert.Equal(t, errors.As(err, &failed) && failed.Ambiguous, tc.ambiguous)
				log.SetFaults(stand.LogFaults{})
				time.Sleep(20 * time.Second)
				assert.Equal(t, len(log.Records()) > 0, tc.inLog)
				assert.Equal(t, version(tail) == 1, tc.inLog)
			})
		})
	}
}

// TestStart guards against a process that starts with an incomplete state: it must
// have the accepted version even if the log has trimmed it or is down.
func TestStart(t *testing.T) {
	tests := map[string]struct {
		snapshot bool
		retain   int
		outage   bool
		peer     bool
		loaded   bool
	}{
		"whole log":                       {loaded: true},
		"trimmed, with a snapshot":        {snapshot: true, retain: 5, loaded: true},
		"trimmed, without, from a peer":   {retain: 5, peer: true, loaded: true},
		"trimmed, without, alone":         {retain: 5},
		"log down, from a peer":           {outage: true, peer: true, loaded: true},
		"log down, alone":                 {outage: true},
		"trimmed, snapshot and a peer up": {snapshot: true, retain: 5, peer: true, loaded: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := stand.NewLog("s")
				log.SetFaults(stand.LogFaults{Retain: tc.retain})
				old := newTail("old", log, nil)
				runTails(ctx, old)
				for n := int64(1); n <= 20; n++ {
					assert.NilError(t, old.Append(ctx, publication(n)))
				}
				if tc.snapshot {
					snapshots := NewSnapshotWriter(SnapshotConfig{Tail: old, IsWriter: func() bool { return true }})
					snapshots.write(ctx)
				}
				log.SetFaults(stand.LogFaults{Retain: tc.retain, Outage: tc.outage})
				var sync func(context.Context) ([]byte, error)
				if tc.peer {
					sync = func(context.Context) ([]byte, error) {
						data, _, err := old.Snapshot()
						return data, err
					}
				}
				fresh := newTail("new", log, sync)
				runTails(ctx, fresh)
				time.Sleep(10 * time.Second)
				assert.Equal(t, fresh.Loaded(), tc.loaded)
				if tc.loaded {
					assert.Equal(t, version(fresh), int64(20))
				}
			})
		})
	}
}

// TestVersionNeverDecreases guards against a reader whose configuration version
// decreases when the log is trimmed and a peer returns an old state.
func TestVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := stand.NewLog("s")
		writer := newTail("writer", log, nil)
		stale, _, err := func() ([]byte, int64, error) {
			runTails(ctx, writer)
			time.Sleep(time.Second)
			return writer.Snapshot()
		}()
		assert.NilError(t, err)
		reader := newTail("reader", log, func(context.Context) ([]byte, error) { return stale, nil })
		runTails(ctx, reader)
		var highest int64
		for n := int64(1); n <= 30; n++ {
			assert.NilError(t, writer.Append(ctx, publication(n)))
			if n == 20 {
				// The reader's offset falls out of the retained records, and the only
				// peer returns a state that is older than all of them.
				log.SetFaults(stand.LogFaults{Retain: 2})
			}
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, version(reader) >= highest)
			highest = version(reader)
		}
		assert.Assert(t, highest >= 20)
	})
}

// TestUnsupportedRecordVersion guards against a process that continues after a
// record of a version that it does not support.
func TestUnsupportedRecordVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := stand.NewLog("s")
		_, err := log.Append(t.Context(), []byte(`{"version":9,"kind":"term","body":{}}`))
		assert.NilError(t, err)
		tail := newTail("a", log, nil)
		err = tail.Run(t.Context())
		var versionErr *ledger.VersionError
		assert.Assert(t, errors.As(err, &versionErr))
		assert.Assert(t, !tail.Loaded())
	})
}
