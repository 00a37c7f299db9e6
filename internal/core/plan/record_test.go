package plan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// storedJob returns the stored state of a job after the planner's last round.
func (b *testbed) storedJob(id chestnutpond.JobID) *graph.Job {
	b.t.Helper()
	table := graph.New()
	j := b.p.jobs[id]
	accepted, err := graph.JobRecord(j.graph)
	assert.NilError(b.t, err)
	state, err := graph.StateRecord(id, b.p.encode(j))
	assert.NilError(b.t, err)
	state.Offset = 1
	for _, r := range []chestnutpond.KeyedRecord{accepted, state} {
		_, err := table.Apply(r)
		assert.NilError(b.t, err)
	}
	return table.Job(id)
}

// A successor continues from the state of the former leader: it adopts its runs,
// keeps the failure counts, and does not reuse run numbers.
func TestSuccessor(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 4, Need: small})
	b.round()
	w := b.worker("w1")
	failed := RunRef{Task: chestnutpond.TaskRef{Job: id, Index: 2}, Run: 1}
	w.end(failed, chestnutpond.RunFailed)
	b.report()
	b.advance(3*time.Second, 10)
	b.round()
	running := len(w.running) + len(b.worker("w2").running)
	assert.Equal(t, running, 4)

	table := b.storedJob(id)
	b.p = b.newPlanner(2, 0)
	b.p.Load(table)
	b.report()
	b.report()
	b.round()
	assert.Equal(t, len(w.running)+len(b.worker("w2").running), 4, "runs were started or stopped at the takeover")
	tk := b.p.jobs[id].occurrences[0].steps[0].tasks[2]
	assert.Equal(t, tk.failures, 1)
	assert.Equal(t, tk.lastRun, int64(2))
	b.endRuns(id, chestnutpond.RunDone)
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
}

// A successor of a leader that may still grant leases waits for the end of the
// grants and of the last lease before it restarts the tasks of a worker that has
// not reported to it.
func TestSuccessorWaitsForUnknownWorker(t *testing.T) {
	for name, c := range map[string]struct {
		former time.Duration
		// ceded is when the former leader stops granting leases; 0 means never.
		ceded time.Duration
		want  time.Duration
	}{
		"former leader has stopped":            {want: testLease},
		"former leader may still grant leases": {former: 8 * time.Second, want: testLease + 8*time.Second},
		"former leader stops after a while":    {former: 8 * time.Second, ceded: 2 * time.Second, want: testLease + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small})
			b.round()
			table := b.storedJob(id)
			b.p = b.newPlanner(2, c.former)
			b.p.Load(table)
			b.workers = b.workers[1:]
			b.report()
			b.report()
			began := b.now
			for len(b.placements(id)) == 0 && b.now-began < time.Minute {
				b.advance(50*time.Millisecond, 0)
				if c.ceded > 0 && b.now-began >= c.ceded {
					b.p.EndFormerGrants(began + c.ceded)
				}
				b.round()
			}
			took := b.now - began
			assert.Assert(t, took > c.want, "started after %s", took)
			assert.Assert(t, took < c.want+500*time.Millisecond, "started after %s", took)
		})
	}
}

// A cancellation that the former leader did not carry out stops the runs.
func TestSuccessorCancels(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: small})
	b.round()
	table := b.storedJob(id)
	table.Cancelled = true
	b.p = b.newPlanner(2, 0)
	b.p.Load(table)
	b.report()
	b.report()
	b.round()
	b.round()
	assert.Equal(t, len(b.placements(id)), 0)
	assert.Assert(t, b.p.jobs[id].settled)
}

// TestHistories generates random sequences of worker events and leader changes, and
// checks that no task has two runs that may exist, that no worker is assigned more
// than its capacity, and that every job ends once the events stop.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestbed(t, 2, 2)
		epoch := int64(1)
		var ids []chestnutpond.JobID
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			switch rapid.IntRange(0, 8).Draw(rt, "event") {
			case 0, 1, 2:
				s := chestnutpond.Step{
					Count: rapid.IntRange(1, 4).Draw(rt, "count"), Gang: rapid.Bool().Draw(rt, "gang"),
					Need: rapid.SampledFrom([]chestnutpond.Resources{small, big}).Draw(rt, "need"), Estimate: 2 * time.Second,
				}
				account := rapid.SampledFrom([]string{"ventas", "stock"}).Draw(rt, "account")
				ids = append(ids, b.submit(rapid.IntRange(0, 2).Draw(rt, "priority"), account, s))
			case 3:
				b.endAnyRun(rt, chestnutpond.RunDone)
			case 4:
				b.endAnyRun(rt, chestnutpond.RunFailed)
			case 5:
				w := rapid.SampledFrom(b.workers).Draw(rt, "worker")
				w.info.StartedMs += 100
				w.running, w.ended, w.ends, w.stopped = map[RunRef]int{}, nil, 0, nil
				b.p.Report(b.now, Report{Agent: w.agent, Info: w.info})
			case 6:
				epoch++
				b.failOver(epoch)
			case 7:
				if len(ids) > 0 {
					b.p.Cancel(b.now, rapid.SampledFrom(ids).Draw(rt, "cancelled"))
				}
			case 8:
				b.advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms"))*time.Millisecond, 5)
			}
			b.round()
			b.checkInvariants(rt)
		}
		b.finishJobs(rt, ids)
	})
}

// endAnyRun ends one run of a random worker.
func (b *testbed) endAnyRun(rt *rapid.T, ending chestnutpond.RunOutcome) {
	w := rapid.SampledFrom(b.workers).Draw(rt, "worker")
	for r := range w.running {
		w.end(r, ending)
		break
	}
	b.report()
}

// failOver replaces the planner by one that is loaded from the stored records.
func (b *testbed) failOver(epoch int64) {
	batch, err := b.p.TakeBatch(b.wall)
	assert.NilError(b.t, err)
	b.p.BatchStored(batch)
	next := b.newPlanner(epoch, 0)
	for id := range b.p.jobs {
		next.Load(b.storedJob(id))
	}
	b.p = next
	b.report()
	b.report()
}

// checkInvariants checks that no task runs twice and that no worker is
// overcommitted.
func (b *testbed) checkInvariants(rt *rapid.T) {
	seen := map[chestnutpond.TaskRef]string{}
	for _, w := range b.workers {
		for r := range w.running {
			if other, twice := seen[r.Task]; twice {
				rt.Fatalf("task %s runs on %s and %s", r.Task, other, w.info.ID)
			}
			seen[r.Task] = w.info.ID
		}
	}
	for _, w := range b.p.sortedWorkers {
		sum := chestnutpond.Resources{}
		for _, r := range w.runs {
			if r.mayExist() {
				sum = sum.Plus(r.need)
			}
		}
		if w.reported && !w.info.Capacity.Covers(sum) {
			rt.Fatalf("worker %s is assigned %+v of %+v", w.id, sum, w.info.Capacity)
		}
	}
}

// finishJobs ends all runs until every job has ended.
func (b *testbed) finishJobs(rt *rapid.T, ids []chestnutpond.JobID) {
	for range 400 {
		b.advance(500*time.Millisecond, 0)
		for _, w := range b.workers {
			for r := range w.running {
				w.end(r, chestnutpond.RunDone)
			}
		}
		b.report()
		b.round()
	}
	for _, id := range ids {
		if j := b.p.jobs[id]; j != nil && !j.phase.Final() {
			rt.Fatalf("job %s has not ended: %s", id, fmt.Sprint(j.phase))
		}
	}
}
