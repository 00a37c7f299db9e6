package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards the ordinary way of a gang: all members start together, run, complete,
// and keep their results until the entry releases them.
func TestGangRunsToCompletion(t *testing.T) {
	for name, n := range map[string]int{"one": 1, "two": 2, "eight": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, n)
				defer w.stop()
				e := w.addEntry("entry-a")
				time.Sleep(5 * time.Second)
				w.launch(n, 1)
				time.Sleep(200 * time.Millisecond)
				assert.Equal(t, w.running(n, 1), n)
				time.Sleep(time.Minute)
				assert.Equal(t, w.running(n, 1), n)
				for i := range n {
					// Members complete one after another.
					w.workers[i].end(taskID(1, i), chestnutpond.TaskCompleted, "ok")
					time.Sleep(4 * time.Second)
					assert.Equal(t, w.running(n, 1), n-1-i)
				}
				for i := range n {
					row := w.row(i, 1)
					assert.Equal(t, row.GetState(), inner.TaskState_TASK_STATE_COMPLETED)
					assert.Equal(t, row.GetResult(), "ok")
					assert.Equal(t, len(row.GetAccelerators()), 0)
				}
				e.answer(&inner.AnnounceReply{Release: []string{"j.1.0", "j.1.1"}})
				time.Sleep(5 * time.Second)
				assert.Assert(t, w.row(0, 1) == nil)
			})
		})
	}
}
