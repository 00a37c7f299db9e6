package world

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// returnLimit is the time in which the return of the store must be noticed.
const returnLimit = 300 * time.Millisecond

// staleConnections is the number of connections of each process that stay silent after an
// outage of the store.
const staleConnections = 8

// setStoreSilent makes the store leave all calls of all processes without an answer. Calls
// made before it ends stay unanswered, and so do those over connections from before.
func (w *World) setStoreSilent(on bool) {
	ways := []*stand.StoreCaller{}
	for _, e := range w.Entries {
		ways = append(ways, e.Way)
	}
	for _, a := range w.Agents {
		ways = append(ways, a.Way)
	}
	for _, way := range ways {
		way.SetSilent(on)
		way.SetStale(staleConnections)
	}
}

// Guards against entries that notice the return of the store late, because their calls
// from before it still wait for answers that never come.
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	for name, silent := range map[string]time.Duration{
		"for a moment":    600 * time.Millisecond,
		"for a while":     3700 * time.Millisecond,
		"for a long time": 12 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(1))
				w.setStoreSilent(true)
				time.Sleep(silent)
				w.setStoreSilent(false)
				back := time.Now()
				for i, e := range w.Entries {
					id := fmt.Sprintf("%016x", 0xb0+i)
					accepted := w.Until(returnLimit-time.Since(back), func() bool {
						return e.Submit(id, tasks(1)).Outcome == chestnutpond.OutcomeAccepted
					})
					assert.Assert(t, accepted, "%s refuses %s after the return", e.Name, time.Since(back))
				}
				assert.Assert(t, w.Ended(3*time.Second, jobID, chestnutpond.JobCompleted))
			})
		})
	}
}

// Guards against a leader that stores what has happened in an outage of the store long
// after its return.
func TestEndsInAnOutageAreShownOnReturn(t *testing.T) {
	for silent := 1300 * time.Millisecond; silent < 4*time.Second; silent += 300 * time.Millisecond {
		t.Run(silent.String(), func(t *testing.T) {
			play(t, time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(1))
				time.Sleep(300 * time.Millisecond)
				w.setStoreSilent(true)
				time.Sleep(silent)
				w.setStoreSilent(false)
				assert.Assert(t, w.Ended(2*returnLimit, jobID, chestnutpond.JobCompleted))
			})
		})
	}
}
