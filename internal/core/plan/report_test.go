package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a run that is stopped, or a worker that is ejected, because the worker
// does not list the run's end yet.
func TestEndThatIsNotListedYet(t *testing.T) {
	b := newTestbed(t, 2)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Estimate: 2 * time.Second})
	b.round()
	w := b.workerOf(id)
	for range 10 {
		b.advance(200*time.Millisecond, 9)
		b.round()
	}
	w.truncated = true
	b.endRuns(id, chestnutpond.RunDone)
	for range 30 {
		b.advance(200*time.Millisecond, 0)
		b.round()
	}
	assert.Equal(t, len(b.placements(id)), 0, "the task runs again")
	assert.Equal(t, b.p.Counts(b.now).Ejected, 0)
	w.truncated = false
	b.report()
	b.round()
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
}

// Guards against a run that waits for ever for an end that its worker has lost.
func TestRunMissingFromCompleteLists(t *testing.T) {
	b := newTestbed(t, 1)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Estimate: 2 * time.Second})
	b.round()
	w := b.workerOf(id)
	b.advance(400*time.Millisecond, 20)
	b.round()
	clear(w.running)
	w.truncated = true
	for range 5 {
		b.advance(200*time.Millisecond, 0)
		b.round()
	}
	assert.Equal(t, len(b.placements(id)), 0)
	w.truncated = false
	for range 8 {
		b.advance(200*time.Millisecond, 0)
		b.round()
	}
	assert.Equal(t, b.placements(id)["w1"], 1, "the task does not run again")
}

// workerOf returns the worker that runs a job's only task.
func (b *testbed) workerOf(id chestnutpond.JobID) *fakeWorker {
	b.t.Helper()
	for worker := range b.placements(id) {
		return b.worker(worker)
	}
	b.t.Fatalf("job %s does not run", id)
	return nil
}
