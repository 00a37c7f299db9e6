package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a leader whose host stops without closing its connections, and that is
// replaced only after the store has missed several of its records.
func TestTakeoverFromAFrozenLeader(t *testing.T) {
	const limit = 1300 * time.Millisecond
	for name, phase := range map[string]time.Duration{
		"at once": 0, "later": 130 * time.Millisecond, "later still": 260 * time.Millisecond, "last": 390 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(1))
				time.Sleep(phase)
				frozen := w.Leader()
				frozen.CutOff()
				frozen.Way.SetSilent(true)
				began := time.Now()
				var other *Entry
				for _, e := range w.Entries {
					if e != frozen {
						other = e
					}
				}
				w.accept(t, other, "00000000000000a2", tasks(1))
				led := w.Until(limit, func() bool {
					for _, e := range w.Entries {
						if e != frozen && e.Node().Leads() {
							return true
						}
					}
					return false
				})
				assert.Assert(t, led, "no other leader after %s", time.Since(began))
				frozen.Heal()
				frozen.Way.SetSilent(false)
				assert.Assert(t, w.Ended(4*time.Second, "00000000000000a2", chestnutpond.JobCompleted))
			})
		})
	}
}

// Guards against an entry that takes over from a working leader that it cannot reach, or
// whose answers come late.
func TestNoTakeoverFromAWorkingLeader(t *testing.T) {
	faults := map[string]func(w *World, leader, other *Entry){
		"cut off from one": func(w *World, leader, other *Entry) { w.net.cut(leader.Name, other.Name) },
		"store slow":       func(w *World, _, _ *Entry) { w.Store.SetDelay(200 * time.Millisecond) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			play(t, time.Second, func(t *testing.T, w *World) {
				leader := w.Leader()
				other := w.Entries[0]
				if other == leader {
					other = w.Entries[1]
				}
				fault(w, leader, other)
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					assert.Equal(t, w.Leader(), leader)
				}
			})
		})
	}
}
