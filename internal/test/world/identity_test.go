package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a worker that is ignored for good because the time of day by which its
// new life began is before that of the former one.
func TestWorkerWhoseClockWasSetBack(t *testing.T) {
	for name, restart := range map[string]func(w *World){
		"same id":    func(w *World) { w.Agents[0].Worker.Restart() },
		"another id": func(w *World) { w.Agents[0].Worker.RestartAs("worker-reborn") },
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, time.Second, func(c *Config) { c.Workers = 1 }, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(4))
				w.running(t, 4)
				w.Agents[0].Worker.SetClockLead(-2 * time.Second)
				restart(w)
				assert.Assert(t, w.Ended(12*time.Second, jobID, chestnutpond.JobCompleted))
			})
		})
	}
}
