package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a caller that learns of a job's end only by its next question.
func TestStateWaitsForTheEnd(t *testing.T) {
	play(t, time.Second, func(t *testing.T, w *World) {
		for _, e := range w.Entries {
			id := "00000000000000a" + e.Name[len(e.Name)-1:]
			began := time.Now()
			w.accept(t, e, id, tasks(1))
			time.Sleep(900*time.Millisecond - time.Since(began))
			state, _ := e.State(id)
			assert.Equal(t, state, chestnutpond.JobCompleted)
			assert.Assert(t, time.Since(began) < 1200*time.Millisecond, "%s", time.Since(began))
		}
	})
}

// Guards against an answer that waits long for a job that goes on.
func TestStateOfALongJob(t *testing.T) {
	limits := map[string]struct {
		change func(g *chestnutpond.Graph)
		limit  time.Duration
	}{
		"once":      {func(*chestnutpond.Graph) {}, 350 * time.Millisecond},
		"perpetual": {func(g *chestnutpond.Graph) { g.Steps[0].Perpetual = true }, 50 * time.Millisecond},
		"scheduled": {func(g *chestnutpond.Graph) {
			g.Schedule = chestnutpond.Schedule{First: time.Now(), Every: time.Second, Repetitions: 2}
		}, 50 * time.Millisecond},
	}
	for name, tt := range limits {
		t.Run(name, func(t *testing.T) {
			play(t, 10*time.Second, func(t *testing.T, w *World) {
				g := tasks(1)
				tt.change(&g)
				w.accept(t, w.Entries[0], jobID, g)
				time.Sleep(time.Second)
				began := time.Now()
				state, _ := w.Entries[1].State(jobID)
				assert.Equal(t, state, chestnutpond.JobRunning)
				assert.Assert(t, time.Since(began) <= tt.limit, "%s", time.Since(began))
			})
		})
	}
}
