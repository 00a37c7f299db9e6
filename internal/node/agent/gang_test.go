package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards the normal life cycle of a gang: all members start together, run,
// complete, and keep their results until the entry releases them.
func TestGangRunsToCompletion(t *testing.T) {
	for name, n := range map[string]int{"one": 1, "two": 2, "eight": 8} {
		runInCluster(t, name, n, func(t *testing.T, w *cluster) {
			w.taskPayload = func(member int) stand.TaskPayload {
				// Members complete one after another.
				return stand.TaskPayload{Run: stand.Duration(time.Minute + time.Duration(member)*4*time.Second)}
			}
			w.launch(n)
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, w.running(), n)
			t.Log("start spread", w.partialGangTime())
			time.Sleep(time.Minute - 2*time.Second)
			for left := n; left >= 0; left-- {
				assert.Equal(t, w.running(), left)
				time.Sleep(4 * time.Second)
			}
			for i := range n {
				assert.Equal(t, w.taskRow(i).GetState(), inner.TaskState_TASK_STATE_COMPLETED)
				assert.Equal(t, w.taskRow(i).GetResult(), "ok")
				assert.Equal(t, len(w.taskRow(i).GetAccelerators()), 0)
			}
			w.entries["entry-a"].setReply(&inner.AnnounceReply{Release: []string{"j.1.0", "j.1.1"}})
			time.Sleep(5 * time.Second)
			assert.Assert(t, w.taskRow(0) == nil)
		})
	}
}
