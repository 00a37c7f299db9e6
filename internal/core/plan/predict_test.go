package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// accelerators returns the need of a task with the given number of accelerators.
func accelerators(n int64) chestnutpond.Resources {
	return chestnutpond.Resources{CPU: 1000, Memory: 1000, Accelerators: n}
}

// Guards against capacity that is reserved for ever for large units, at the predicted end
// of something that never ends, while smaller units of a lower rank fit beside it.
func TestReservationForCapacityThatNeverComes(t *testing.T) {
	const smallWork = 3 * time.Second
	for name, c := range map[string]struct {
		// occupy has 3 of 8 accelerators of each worker held for good.
		occupy func(b *testbed)
		// bound is how long the small unit may wait.
		bound time.Duration
	}{
		"perpetual tasks": {func(b *testbed) {
			b.submit(1, "stock", chestnutpond.Step{
				Count: 2, Need: accelerators(3), PerWorker: 1, Perpetual: true, Estimate: 5 * time.Second,
			})
			b.round()
			for range 10 {
				b.advance(200*time.Millisecond, 10)
				b.round()
			}
		}, 0},
		"gang that hangs at its end": {func(b *testbed) {
			b.submit(1, "stock", chestnutpond.Step{
				Count: 2, Need: accelerators(3), PerWorker: 1, Gang: true, Estimate: 2 * time.Second,
			})
			b.round()
			for range 10 {
				b.advance(200*time.Millisecond, 10)
				b.round()
			}
		}, smallWork + overdueGrace},
		"starts that are not carried out": {func(b *testbed) {
			id := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: accelerators(3), PerWorker: 1, Estimate: time.Second})
			for _, w := range b.workers {
				w.ignored = map[RunRef]bool{
					{Task: chestnutpond.TaskRef{Job: id}, Run: 1}: true, {Task: chestnutpond.TaskRef{Job: id, Index: 1}, Run: 1}: true,
				}
			}
			b.round()
		}, smallWork + overdueGrace},
		"stops that are not carried out": {func(b *testbed) {
			id := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: accelerators(3), PerWorker: 1, Estimate: time.Second})
			b.round()
			for _, w := range b.workers {
				w.ignoresStops = true
			}
			b.p.Cancel(b.now, id)
			b.round()
		}, smallWork + overdueGrace},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			c.occupy(b)
			for range 2 {
				b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(8), Estimate: 6800 * time.Millisecond})
			}
			b.round()
			id := b.submit(2, "stock", chestnutpond.Step{Count: 1, Need: accelerators(1), Estimate: smallWork})
			b.round()
			for waited := time.Duration(0); waited < c.bound && len(b.placements(id)) == 0; waited += 200 * time.Millisecond {
				b.advance(200*time.Millisecond, 0)
				b.round()
			}
			assert.Equal(t, len(b.placements(id)), 1, "the small unit does not start")
		})
	}
}

// Guards against a unit that is backfilled although the runs before it end in time, which
// delays the larger unit that capacity is reserved for.
func TestReservationHoldsUntilRunsEnd(t *testing.T) {
	b := newTestbed(t, 1)
	first := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(3), Estimate: 2 * time.Second})
	b.round()
	for range 5 {
		b.advance(200*time.Millisecond, 10)
		b.round()
	}
	large := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(8), Estimate: 4 * time.Second})
	later := b.submit(2, "stock", chestnutpond.Step{Count: 1, Need: accelerators(1), Estimate: 3 * time.Second})
	for range 7 {
		b.advance(200*time.Millisecond, 7)
		b.round()
		assert.Equal(t, len(b.placements(later)), 0, "the small unit delays the large one")
	}
	b.endRuns(first, chestnutpond.RunDone)
	b.round()
	assert.Equal(t, len(b.placements(large)), 1)
}
