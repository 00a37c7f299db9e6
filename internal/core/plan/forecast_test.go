package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
)

// TestForecastSnapshot guards against a forecast that counts what does not delay new work, or
// misses what does: running and waiting work, workers that are away for a moment or for good,
// and the use of guarantees.
func TestForecastSnapshot(t *testing.T) {
	f := newTestbed(t, 4)
	d := f.p.document
	d.Kinds = []chestnutpond.Kind{{Queue: &chestnutpond.Queue{Terms: chestnutpond.QueuePolicy{Name: "q1", Service: "s", Priority: 1}}}}
	f.p.SetDocument(d)
	f.submit(1, "stock", chestnutpond.Step{Count: 2, Need: big, Estimate: 6 * time.Second})
	f.submit(1, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: 4 * time.Second, Perpetual: true})
	f.submit(0, "ventas", chestnutpond.Step{Count: 1, Need: big, Estimate: 2 * time.Second})
	f.round()
	f.submit(1, "stock", chestnutpond.Step{Count: 3, Need: big, Estimate: 5 * time.Second})
	f.round()
	s, ok := f.p.ForecastSnapshot(f.now)
	assert.Assert(t, ok)
	assert.Equal(t, len(s.Workers), 4)
	assert.DeepEqual(t, s.Accounts, []fcast.AccountUse{{Account: "ventas", Accelerators: 8}})
	assert.Equal(t, len(s.Waiting), 1)
	assert.Equal(t, s.Waiting[0].Shape.Width, 3)
	releases := 0
	for _, w := range s.Workers {
		releases += len(w.Releases)
	}
	assert.Equal(t, releases, 3, "the perpetual run ends never")
	assert.DeepEqual(t, s.Queues[0].Classes, []fcast.Shape{{Need: big, Width: 2}})

	// The digest tells a job of this shape about the time at which two of the runs and the
	// waiting work have ended.
	digest := fcast.New().Compute(s)
	_, c, ok := digest.Delay(&chestnutpond.Graph{
		Queue: chestnutpond.QueuePolicy{Name: "q1"}, Steps: []chestnutpond.Step{{Count: 2, Need: big}},
	})
	assert.Assert(t, ok)
	assert.Assert(t, c.First >= 5*time.Second && c.Last <= 12*time.Second, "%+v", c)
}
