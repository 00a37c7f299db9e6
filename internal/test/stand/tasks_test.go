package stand

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a stand-in that lets a broken promise pass: what chaos and soak
// check is what it notes.
func TestTaskFleetNotesViolations(t *testing.T) {
	need := chestnutpond.Resources{CPU: 1}
	ref := chestnutpond.TaskRef{Job: "j"}
	newWorkers := func() (*TaskFleet, *TaskWorker, *TaskWorker) {
		f := NewTaskFleet(func(chestnutpond.TaskRef) TaskModel { return TaskModel{Work: time.Minute, Need: need} })
		worker := func(id string) *TaskWorker {
			return NewTaskWorker(TaskWorkerConfig{Fleet: f, ID: id, Capacity: need, Lease: time.Minute})
		}
		return f, worker("w1"), worker("w2")
	}
	start := func(t *testing.T, w *TaskWorker, run int64) {
		t.Helper()
		_, err := w.Start(t.Context(), chestnutpond.StartOrder{Task: ref, Run: run, Until: time.Minute, Fence: 1})
		assert.NilError(t, err)
	}
	end := func(w *TaskWorker, how chestnutpond.RunOutcome) {
		w.cfg.Fleet.mu.Lock()
		defer w.cfg.Fleet.mu.Unlock()
		for _, r := range w.runs {
			w.end(r, how)
		}
	}
	acknowledge := func(t *testing.T, w *TaskWorker) {
		t.Helper()
		_, err := w.Renew(t.Context(), chestnutpond.RenewOrder{Fence: 1, Acknowledged: 1})
		assert.NilError(t, err)
	}
	cases := map[string]struct {
		play func(t *testing.T, a, b *TaskWorker)
		// want is in the only violation; empty if there is none.
		want string
	}{
		"one run": {play: func(t *testing.T, a, _ *TaskWorker) {
			start(t, a, 1)
			end(a, chestnutpond.RunDone)
			acknowledge(t, a)
		}},
		"again after a failure": {play: func(t *testing.T, a, b *TaskWorker) {
			start(t, a, 1)
			end(a, chestnutpond.RunFailed)
			start(t, b, 2)
		}},
		"two at a time": {play: func(t *testing.T, a, b *TaskWorker) {
			start(t, a, 1)
			start(t, b, 2)
		}, want: "runs twice"},
		"again after its end was noted": {play: func(t *testing.T, a, b *TaskWorker) {
			start(t, a, 1)
			end(a, chestnutpond.RunDone)
			acknowledge(t, a)
			start(t, b, 2)
		}, want: "after it was done"},
		"end noted after another run": {play: func(t *testing.T, a, b *TaskWorker) {
			start(t, a, 1)
			end(a, chestnutpond.RunDone)
			start(t, b, 2)
			end(b, chestnutpond.RunStopped)
			acknowledge(t, a)
		}, want: "and was started as run 2"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f, a, b := newWorkers()
			tt.play(t, a, b)
			got := f.Violations()
			if tt.want == "" {
				assert.DeepEqual(t, got, []string(nil))
				return
			}
			assert.Equal(t, len(got), 1, "%q", got)
			assert.Assert(t, strings.Contains(got[0], tt.want), got[0])
		})
	}
}
