package tail

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// pausingLog pauses its process once, between the answer to a read and its arrival. No
// timeout of the process ends the pause.
type pausingLog struct {
	*stand.Log

	// pause is the duration of the coming pause, zero if none.
	pause atomic.Int64
	// until receives the end of the pause when it begins.
	until chan time.Time
}

func (l *pausingLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (chestnutpond.Batch, error) {
	batch, err := l.Log.Read(ctx, from, limit, wait)
	if pause := time.Duration(l.pause.Swap(0)); pause > 0 {
		l.until <- time.Now().Add(pause)
		time.Sleep(pause)
		return batch, ctx.Err()
	}
	return batch, err
}

// TestAwaitReadAfterPause guards against a process that was paused and that acts on the
// state of before, while the withdrawal of a key or an evacuation is in the log.
func TestAwaitReadAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{pauseTimeout, 10 * time.Second, time.Hour} {
		for _, delay := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(pause.String()+" "+delay.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					way := &pausingLog{Log: stand.NewLog("s"), until: make(chan time.Time, 1)}
					way.SetFaults(stand.LogFaults{Delay: stand.Duration(delay)})
					paused, other := newTail("paused", way, nil), newTail("other", way.Log, nil)
					runTails(ctx, paused, other)
					time.Sleep(4 * time.Second)
					way.pause.Store(int64(pause))
					until := <-way.until
					assert.NilError(t, other.Append(ctx, ledger.Evacuate{Zone: "z"}))
					time.Sleep(time.Until(until) + time.Millisecond)
					paused.AwaitRead(5 * time.Second)
					paused.View(func(st *ledger.State) { assert.Assert(t, st.AnyEvacuated([]string{"z"})) })
				})
			})
		}
	}
}

// TestAwaitReadWithoutPause guards against requests that wait for a log that is idle, slow,
// down or silent, although the process was not paused.
func TestAwaitReadWithoutPause(t *testing.T) {
	for name, faults := range map[string]stand.LogFaults{
		"idle": {}, "down": {Outage: true},
		"slow": {Delay: stand.Duration(2 * time.Second)}, "silent": {Delay: stand.Duration(time.Hour)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := stand.NewLog("s")
				tail := newTail("a", log, nil)
				runTails(ctx, tail)
				time.Sleep(3 * time.Second)
				log.SetFaults(faults)
				for range 6000 {
					began := time.Now()
					tail.AwaitRead(time.Minute)
					assert.Equal(t, time.Since(began), time.Duration(0))
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}
