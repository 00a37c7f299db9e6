package tail

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// TestLoadedStateIsCurrent guards against a process that acts on its first state, from a
// snapshot, another entry or a part of the log, before it has read what was stored since:
// a withdrawn key or the evacuation of a zone.
func TestLoadedStateIsCurrent(t *testing.T) {
	tests := map[string]struct {
		snapshot bool
		retain   int
		// peer means that another entry returns its state of before the evacuation.
		peer bool
		// delay is that of each call to the log.
		delay time.Duration
		// outageAt is when the log goes down for 5 s, after the start.
		outageAt time.Duration
	}{
		"whole log":                       {},
		"whole log, slow":                 {delay: 300 * time.Millisecond},
		"old snapshot":                    {snapshot: true, retain: 700},
		"old snapshot, slow":              {snapshot: true, retain: 700, delay: 300 * time.Millisecond},
		"old snapshot, log lost midway":   {snapshot: true, retain: 700, delay: 300 * time.Millisecond, outageAt: 1000 * time.Millisecond},
		"whole log, lost midway":          {delay: 300 * time.Millisecond, outageAt: 700 * time.Millisecond},
		"old state of another entry":      {retain: 650, peer: true},
		"old state of another, log slow":  {retain: 650, peer: true, delay: 300 * time.Millisecond},
		"older state of another than log": {snapshot: true, retain: 620, peer: true, delay: 300 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := stand.NewLog("s")
				old := newTail("old", log, nil)
				runTails(ctx, old)
				assert.NilError(t, old.Append(ctx, publication(1)))
				stale, _, err := old.Snapshot()
				assert.NilError(t, err)
				if tc.snapshot {
					NewSnapshotWriter(SnapshotConfig{Tail: old, IsWriter: func() bool { return true }}).write(ctx)
				}
				for n := int64(2); n <= 600; n++ {
					assert.NilError(t, old.Append(ctx, publication(n)))
					time.Sleep(5 * time.Millisecond)
				}
				assert.NilError(t, old.Append(ctx, ledger.Evacuate{Zone: "z"}))
				faults := stand.LogFaults{Retain: tc.retain, Delay: stand.Duration(tc.delay)}
				log.SetFaults(faults)
				if tc.outageAt > 0 {
					down := faults
					down.Outage = true
					time.AfterFunc(tc.outageAt, func() { log.SetFaults(down) })
					time.AfterFunc(tc.outageAt+5*time.Second, func() { log.SetFaults(faults) })
				}
				var sync func(context.Context) ([]byte, error)
				if tc.peer {
					sync = func(context.Context) ([]byte, error) { return stale, nil }
				}
				fresh := newTail("new", log, sync)
				runTails(ctx, fresh)
				for began := time.Now(); !fresh.Loaded(); time.Sleep(time.Millisecond) {
					assert.Assert(t, time.Since(began) < 30*time.Second, "not loaded")
				}
				assert.Equal(t, version(fresh), int64(600))
				fresh.View(func(st *ledger.State) { assert.Assert(t, st.AnyEvacuated([]string{"z"})) })
			})
		})
	}
}

// TestStateThatLacksRecords guards against a state of another entry that lacks records
// which the log has trimmed, and that is served from while the log could say so.
func TestStateThatLacksRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := stand.NewLog("s")
		old := newTail("old", log, nil)
		runTails(ctx, old)
		assert.NilError(t, old.Append(ctx, publication(1)))
		stale, _, err := old.Snapshot()
		assert.NilError(t, err)
		for n := int64(2); n <= 30; n++ {
			assert.NilError(t, old.Append(ctx, publication(n)))
		}
		log.SetFaults(stand.LogFaults{Retain: 5})
		fresh := newTail("new", log, func(context.Context) ([]byte, error) { return stale, nil })
		runTails(ctx, fresh)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !fresh.Loaded())
		NewSnapshotWriter(SnapshotConfig{Tail: old, IsWriter: func() bool { return true }}).write(ctx)
		time.Sleep(3 * time.Second)
		assert.Assert(t, fresh.Loaded())
		assert.Equal(t, version(fresh), int64(30))
	})
}
