package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// eject has a run of a job of its own fail at once on the worker.
func (b *testbed) eject(id string) {
	b.t.Helper()
	b.occupy(chestnutpond.Step{Need: accelerators(1), Estimate: 2 * time.Second}, id)
	w := b.worker(id)
	for r := range w.running {
		w.end(r, chestnutpond.RunFailed)
		b.p.Cancel(b.now, r.Task.Job)
	}
	b.report()
	b.round()
	assert.Equal(b.t, b.p.Counts(b.now).Ejected, 1)
}

// Guards against a worker that stays on trial for good because its first run after an
// ejection does not end.
func TestTrialEnds(t *testing.T) {
	for name, c := range map[string]struct {
		step chestnutpond.Step
		// percent is the progress of the first run in 100 ms.
		percent int
		want    bool
	}{
		"perpetual run":            {chestnutpond.Step{Count: 1, Need: accelerators(2), Perpetual: true, Estimate: 5 * time.Second}, 20, true},
		"long run that progresses": {chestnutpond.Step{Count: 1, Need: accelerators(2), Estimate: 30 * time.Second}, 1, true},
		"run that stands still":    {chestnutpond.Step{Count: 1, Need: accelerators(2), Estimate: 5 * time.Second}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.eject("w1")
			first := b.submit(1, "stock", c.step)
			b.waitForPlacement(first, 1, 2*ejectBase)
			second := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(2), Estimate: 2 * time.Second})
			third := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(2), Estimate: 2 * time.Second})
			for range 20 {
				b.advance(100*time.Millisecond, c.percent)
				b.round()
			}
			assert.Equal(t, len(b.placements(second))+len(b.placements(third)) == 2, c.want)
		})
	}
}

// Guards against a probe that is not waited for, so that a faulty worker is given more work
// than one run that fails at once.
func TestOneProbeAtATime(t *testing.T) {
	b := newTestbed(t, 1)
	b.eject("w1")
	first := b.submit(1, "stock", chestnutpond.Step{Count: 4, Need: accelerators(1), Estimate: 2 * time.Second})
	b.waitForPlacement(first, 1, 2*ejectBase)
	for range 10 {
		b.advance(100*time.Millisecond, 5)
		b.round()
		assert.Equal(t, b.placements(first)["w1"], 1)
	}
}

// Guards against a deployment whose only worker is ejected for longer and longer.
func TestOnlyWorkerIsEjectedBriefly(t *testing.T) {
	b := newTestbed(t, 1)
	for range 5 {
		b.eject("w1")
		id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(1), Estimate: 2 * time.Second})
		b.waitForPlacement(id, 1, ejectBase+200*time.Millisecond)
		b.p.Cancel(b.now, id)
		b.round()
		b.round()
		b.advance(3*time.Second, 0)
		b.round()
	}
}
