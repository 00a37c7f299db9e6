package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// occupy runs a job with one task on each of some workers, and holds the rest of the
// capacity of the others meanwhile, so that it is placed just there.
func (b *testbed) occupy(s chestnutpond.Step, workers ...string) chestnutpond.JobID {
	b.t.Helper()
	for _, w := range b.workers {
		w.info.State = chestnutpond.WorkerDraining
	}
	for _, id := range workers {
		b.worker(id).info.State = chestnutpond.WorkerReady
	}
	b.report()
	s.Count, s.PerWorker = len(workers), 1
	id := b.submit(1, "stock", s)
	b.round()
	for _, w := range workers {
		assert.Equal(b.t, b.placements(id)[w], 1)
	}
	for _, w := range b.workers {
		w.info.State = chestnutpond.WorkerReady
	}
	b.report()
	return id
}

// waitForPlacement plays rounds until the job has tasks on all of the workers, at most for
// the limit, and returns the time that this took.
func (b *testbed) waitForPlacement(id chestnutpond.JobID, count int, limit time.Duration) time.Duration {
	b.t.Helper()
	began := b.now
	for b.round(); ; b.round() {
		sum := 0
		for _, n := range b.placements(id) {
			sum += n
		}
		if sum == count {
			return b.now - began
		}
		assert.Assert(b.t, b.now-began < limit, "the job does not run within %s", limit)
		b.advance(100*time.Millisecond, 0)
	}
}

// Guards against a task that failed once and waits without a bound for another worker,
// beside the one that has room for it.
func TestTaskThatFailedRunsAgain(t *testing.T) {
	perpetual := chestnutpond.Step{Need: accelerators(5), Perpetual: true, Estimate: 5 * time.Second}
	finite := chestnutpond.Step{Need: accelerators(5), Estimate: 3 * time.Second}
	// A gang is not inspected for progress at its end, so this one may hang there.
	hanging := chestnutpond.Step{Need: accelerators(5), Estimate: 3 * time.Second, Gang: true}
	for name, c := range map[string]struct {
		// beside holds most of the capacity of w2, and makes that progress in 2 s.
		beside  chestnutpond.Step
		percent int
		// ended has the work of beside end after that time.
		ended time.Duration
		// bound is how long the job may wait, and want the worker that runs it then.
		bound time.Duration
		want  string
	}{
		"other worker never has room":    {perpetual, 100, 0, 0, "w1"},
		"other worker has room late":     {finite, 10, 0, 0, "w1"},
		"other worker has room soon":     {finite, 80, time.Second, time.Second, "w2"},
		"other worker's work is overdue": {hanging, 100, 0, avoidPeriod, "w1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			beside := b.occupy(c.beside, "w2")
			id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(4), Estimate: 2 * time.Second})
			b.round()
			assert.Equal(t, b.placements(id)["w1"], 1)
			for range 10 {
				b.advance(200*time.Millisecond, c.percent/10)
				b.round()
			}
			b.endRuns(id, chestnutpond.RunFailed)
			if c.ended > 0 {
				b.round()
				assert.Equal(t, len(b.placements(id)), 0, "the task does not wait for the other worker")
				b.advance(c.ended, 0)
				b.endRuns(beside, chestnutpond.RunDone)
			}
			b.waitForPlacement(id, 1, c.bound+100*time.Millisecond)
			assert.Equal(t, b.placements(id)[c.want], 1, "%v", b.placements(id))
		})
	}
}

// Guards against a gang whose second member failed and that waits for a worker that never
// has room.
func TestGangThatFailedRunsAgain(t *testing.T) {
	b := newTestbed(t, 3)
	b.occupy(chestnutpond.Step{Need: accelerators(5), Perpetual: true, Estimate: 5 * time.Second}, "w3")
	id := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: accelerators(4), PerWorker: 1, Gang: true, Estimate: 2 * time.Second})
	b.round()
	for range 5 {
		b.advance(200*time.Millisecond, 5)
		b.round()
	}
	w := b.worker("w2")
	for r := range w.running {
		w.end(r, chestnutpond.RunFailed)
	}
	b.report()
	b.round()
	b.waitForPlacement(id, 2, avoidPeriod)
}

// Guards against a unit that waits for ever for the rack of its data, or for one rack for
// its whole gang, while perpetual tasks hold the capacity there.
func TestRackThatNeverHasRoom(t *testing.T) {
	perpetual := chestnutpond.Step{Need: accelerators(5), Perpetual: true, Estimate: 5 * time.Second}
	for name, c := range map[string]struct {
		held []string
		step chestnutpond.Step
	}{
		"rack of the data": {[]string{"w1", "w2"}, chestnutpond.Step{Count: 1, Need: accelerators(4), DataRack: "r1"}},
		"rack of the gang": {[]string{"w1", "w3"}, chestnutpond.Step{Count: 2, Need: accelerators(4), PerWorker: 1, Gang: true, SameRack: true}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2, 2)
			b.occupy(perpetual, c.held...)
			c.step.Estimate = 2 * time.Second
			b.waitForPlacement(b.submit(1, "stock", c.step), c.step.Count, time.Second)
		})
	}
}

// Guards against a unit that leaves the rack of its data, or spreads its gang, although the
// work that holds the capacity there ends.
func TestRackThatWillHaveRoom(t *testing.T) {
	finite := chestnutpond.Step{Need: accelerators(5), Estimate: 4 * time.Second}
	for name, c := range map[string]struct {
		held []string
		step chestnutpond.Step
		want map[string]int
	}{
		"rack of the data": {
			[]string{"w1", "w2"}, chestnutpond.Step{Count: 1, Need: accelerators(4), DataRack: "r1"}, map[string]int{"w1": 1},
		},
		"rack of the gang": {
			[]string{"w1", "w3", "w4"},
			chestnutpond.Step{Count: 2, Need: accelerators(4), PerWorker: 1, Gang: true, SameRack: true},
			map[string]int{"w1": 1, "w2": 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2, 2)
			held := b.occupy(finite, c.held...)
			c.step.Estimate = 2 * time.Second
			id := b.submit(1, "stock", c.step)
			for range 5 {
				b.round()
				b.advance(200*time.Millisecond, 5)
				assert.Equal(t, len(b.placements(id)), 0, "%v", b.placements(id))
			}
			w := b.worker("w1")
			for r := range w.running {
				if r.Task.Job == held {
					w.end(r, chestnutpond.RunDone)
				}
			}
			b.report()
			b.waitForPlacement(id, c.step.Count, time.Second)
			assert.DeepEqual(t, b.placements(id), c.want)
		})
	}
}

// Guards against an urgent unit that preempts others on a worker that has as many tasks of
// its step as it may have.
func TestPreemptionKeepsSpread(t *testing.T) {
	b := newTestbed(t, 2)
	b.occupy(chestnutpond.Step{Need: accelerators(8), Estimate: 30 * time.Second}, "w1")
	for range 10 {
		b.advance(200*time.Millisecond, 1)
		b.round()
	}
	id := b.submit(0, "ventas", chestnutpond.Step{Count: 2, Need: accelerators(2), PerWorker: 1, Estimate: 2500 * time.Millisecond})
	for range 20 {
		b.round()
		for worker, n := range b.placements(id) {
			assert.Equal(t, n, 1, "%d tasks on %s", n, worker)
		}
		b.advance(100*time.Millisecond, 2)
	}
	assert.Equal(t, len(b.placements(id)), 2)
}

// TestWaitForARackIsBounded guards against a unit that waits for the rack of its data, or for one
// rack for its whole gang, for as long as the work there runs, while other racks are idle.
func TestWaitForARackIsBounded(t *testing.T) {
	const second = time.Second
	data := chestnutpond.Step{Count: 1, Need: accelerators(1), DataRack: "r1", Estimate: second}
	gang := chestnutpond.Step{Count: 2, Need: accelerators(4), PerWorker: 1, Gang: true, SameRack: true, Estimate: second}
	with := func(s chestnutpond.Step, estimate time.Duration) chestnutpond.Step {
		s.Estimate = estimate
		return s
	}
	perpetual := with(data, second)
	perpetual.Perpetual = true
	for name, c := range map[string]struct {
		held []string
		// estimate is that of the work that holds the rack, and percent what it makes of it in
		// 0.1 s.
		estimate time.Duration
		percent  int
		step     chestnutpond.Step
		// from and to bound the wait.
		from, to time.Duration
	}{
		"rack of the data":                 {[]string{"w1", "w2"}, 6 * second, 1, data, 2 * second, 2 * second},
		"work there takes hours":           {[]string{"w1", "w2"}, 5 * time.Hour, 0, data, 2 * second, 2 * second},
		"work there ends in 5 s":           {[]string{"w1", "w2"}, 10 * second, 2, data, 2 * second, 2 * second},
		"long work, much of it is to gain": {[]string{"w1", "w2"}, 5 * time.Hour, 0, with(data, time.Hour), 10 * second, 10 * second},
		"perpetual work":                   {[]string{"w1", "w2"}, 5 * time.Hour, 0, perpetual, 4 * second, 4 * second},
		"rack of the gang":                 {[]string{"w1", "w3"}, 6 * second, 1, gang, 2 * second, 2 * second},
		"long gang":                        {[]string{"w1", "w3"}, 5 * time.Hour, 0, with(gang, time.Hour), 10 * second, 10 * second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2, 2)
			b.occupy(chestnutpond.Step{Need: accelerators(8), Estimate: c.estimate}, c.held...)
			id := b.submit(1, "stock", c.step)
			began, placed := b.now, 0
			for placed == 0 && b.now-began < time.Minute {
				b.round()
				for _, n := range b.placements(id) {
					placed += n
				}
				b.advance(100*time.Millisecond, c.percent)
			}
			waited := b.now - began - 100*time.Millisecond
			assert.Equal(t, placed, c.step.Count)
			assert.Assert(t, waited >= c.from && waited <= c.to+200*time.Millisecond, "waited %s", waited)
		})
	}
}

// TestRackIsPreferredAfterTheWait guards against a unit that leaves the rack of its data although
// that has capacity.
func TestRackIsPreferredAfterTheWait(t *testing.T) {
	b := newTestbed(t, 2, 2)
	held := b.occupy(chestnutpond.Step{Need: accelerators(8), Estimate: time.Hour}, "w1", "w2", "w3", "w4")
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(1), DataRack: "r2", Estimate: time.Second})
	for range 50 {
		b.round()
		b.advance(100*time.Millisecond, 0)
	}
	assert.Equal(t, len(b.placements(id)), 0)
	b.endRuns(held, chestnutpond.RunDone)
	b.waitForPlacement(id, 1, time.Second)
	assert.Equal(t, b.placements(id)["w3"], 1, "%v", b.placements(id))
}

// TestMoveKeepsRack guards against a run that is moved off the rack of its data, where it would
// take longer than on the worker that it leaves.
func TestMoveKeepsRack(t *testing.T) {
	b := newTestbed(t, 2, 2)
	b.occupy(chestnutpond.Step{Need: accelerators(8), Estimate: time.Hour}, "w2")
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: accelerators(1), DataRack: "r1", Estimate: 2 * time.Second})
	b.round()
	assert.Equal(t, b.placements(id)["w1"], 1)
	for range 50 {
		b.advance(100*time.Millisecond, 1)
		b.round()
	}
	r := b.p.jobs[id].occurrences[0].steps[0].tasks[0].current
	b.p.moveIfFits(b.now, r, reasonSlow)
	assert.Assert(t, !r.stopping, "the run is moved")
}
