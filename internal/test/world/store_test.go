package world

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// documentLimit is the time in which a document must be in force everywhere.
const documentLimit = 2500 * time.Millisecond

// Guards against a store that is asked another way later and later, because each
// answer that came the other way counts as a slow one.
func TestDocumentWhileOwnWayIsSilent(t *testing.T) {
	cases := map[string]struct {
		silent time.Duration
		// heals means that the way is sound again when the document comes.
		heals bool
	}{
		"at once":         {},
		"for a while":     {silent: 8 * time.Second},
		"over by then":    {silent: 8 * time.Second, heals: true},
		"for a long time": {silent: 30 * time.Second},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			play(t, time.Second, func(t *testing.T, w *World) {
				e := w.Entries[0]
				e.Way.SetSilent(true)
				time.Sleep(tt.silent)
				e.Way.SetSilent(!tt.heals)
				next := document()
				next.Version = 2
				queue := *next.Kinds[0].Queue
				queue.PathPrefix = "/more/"
				next.Kinds = append(next.Kinds, chestnutpond.Kind{Name: "more", Work: chestnutpond.WorkGraph, Queue: &queue})
				w.Publish(next)
				inForce := func() bool {
					_, v := e.Node().Intake().Route(chestnutpond.RouteRequest{Host: "example", Path: "/more/"})
					return v.Reason != chestnutpond.ReasonUnknownKind
				}
				assert.Assert(t, w.Until(documentLimit, inForce), "not in force within %s", documentLimit)
			})
		})
	}
}

// Guards against calls that each wait for a way to the store that is known to be
// silent.
func TestSilentWayIsTriedLast(t *testing.T) {
	play(t, time.Second, func(t *testing.T, w *World) {
		e := w.Entries[0]
		e.Way.SetSilent(true)
		w.accept(t, e, "00000000000000a1", tasks(1))
		began := time.Now()
		w.accept(t, e, "00000000000000a2", tasks(1))
		// The other way takes the 5 ms of an append, and the probe before it as much.
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%s", time.Since(began))
	})
}

// shownLimit is how much later than others an entry may show a state that is
// stored: a read through another process, twice.
const shownLimit = 60 * time.Millisecond

// Guards against an entry that asks a silent way to the store again and again and
// meanwhile shows states that are a second old.
func TestStatesWhileOwnWayIsSilent(t *testing.T) {
	play(t, 300*time.Millisecond, func(t *testing.T, w *World) {
		cut, sound := w.Entries[0], w.Entries[1]
		cut.Way.SetSilent(true)
		// The first calls find out.
		time.Sleep(3 * time.Second)
		for n := range 20 {
			id := fmt.Sprintf("%016x", n+1)
			w.accept(t, sound, id, tasks(1))
			assert.Assert(t, w.Until(3*time.Second, func() bool { return shows(sound, id, chestnutpond.JobCompleted) }))
			began := time.Now()
			assert.Assert(t, w.Until(3*time.Second, func() bool { return shows(cut, id, chestnutpond.JobCompleted) }))
			assert.Check(t, time.Since(began) <= shownLimit, "job %d: %s later", n, time.Since(began))
			time.Sleep(130 * time.Millisecond)
		}
	})
}

func shows(e *Entry, id string, want chestnutpond.JobState) bool {
	state, _ := e.State(id)
	return state == want
}

// Guards against a way to the store that is not used again after it was silent.
func TestOwnWayIsUsedAgain(t *testing.T) {
	play(t, 300*time.Millisecond, func(t *testing.T, w *World) {
		e := w.Entries[0]
		e.Way.SetSilent(true)
		assert.Assert(t, w.Until(3*time.Second, func() bool { return !e.Node().Direct() }))
		time.Sleep(5 * time.Second)
		e.Way.SetSilent(false)
		assert.Assert(t, w.Until(3*time.Second, func() bool { return e.Node().Direct() }))
	})
}

// Guards against a leader that others take for silent because the store does not
// tell them of new records for a while.
func TestLeaderStaysWhileWatchesAreLost(t *testing.T) {
	play(t, 300*time.Millisecond, func(t *testing.T, w *World) {
		leader := w.Leader()
		for range 5 {
			w.Store.SetDeaf(true)
			time.Sleep(3 * time.Second)
			w.Store.SetDeaf(false)
			time.Sleep(time.Second)
			assert.Equal(t, w.Leader(), leader, "another entry leads")
		}
	})
}

// lateLimit is how late a state may be shown while the store does not tell of new
// records: the wait of a read and an answer another way.
const lateLimit = time.Second

// Guards against states that stand still while the store does not tell of new
// records.
func TestStatesWhileWatchesAreLost(t *testing.T) {
	play(t, 300*time.Millisecond, func(t *testing.T, w *World) {
		w.Store.SetDeaf(true)
		for n := range 10 {
			id := fmt.Sprintf("%016x", n+1)
			e, other := w.Entries[n%3], w.Entries[(n+1)%3]
			w.accept(t, e, id, tasks(1))
			began := time.Now()
			assert.Assert(t, w.Until(5*time.Second, func() bool { return shows(other, id, chestnutpond.JobCompleted) }))
			assert.Check(t, time.Since(began) <= 300*time.Millisecond+lateLimit, "job %d: %s", n, time.Since(began))
		}
	})
}
