package world

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// Guards against a job whose acceptance does not fit into a record and that is neither
// accepted nor rejected for good.
func TestAcceptanceTooLargeForARecord(t *testing.T) {
	const limit = 3000
	playWith(t, time.Second, func(c *Config) { c.MaxRecord = limit }, func(t *testing.T, w *World) {
		submit := func(id string, payload int) chestnutpond.CallResult {
			g := tasks(1)
			g.Payload = strings.Repeat("x", payload)
			return w.Entries[0].Submit(id, g)
		}
		// The largest payload that is accepted.
		low, high := 0, limit
		for low+1 < high {
			middle := (low + high) / 2
			if submit(fmt.Sprintf("%016x", middle), middle).Outcome == chestnutpond.OutcomeAccepted {
				low = middle
			} else {
				high = middle
			}
			time.Sleep(200 * time.Millisecond)
		}
		assert.Assert(t, low > limit/2)
		v := submit("00000000000000c1", low+1)
		assert.Equal(t, v.Outcome, chestnutpond.OutcomeRejected)
		assert.Equal(t, v.Reason, chestnutpond.ReasonBodyTooLarge)
		assert.Assert(t, strings.Contains(v.Detail, "allowed are at most 3000"), v.Detail)
		assert.Equal(t, submit("00000000000000c2", low).Outcome, chestnutpond.OutcomeAccepted)
		assert.Assert(t, w.Ended(5*time.Second, "00000000000000c2", chestnutpond.JobCompleted))
		assert.Equal(t, w.Fleet.Starts(ref("00000000000000c1", 0)), 0)
	})
}

// Guards against one record that the store rejects and that ends the term of each leader,
// so that nothing runs any more.
func TestRejectedRecordOfAJob(t *testing.T) {
	for name, after := range map[string]func(w *World){
		"same leader": func(*World) {},
		"next leader": func(w *World) { w.Leader().Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, 2*time.Second, func(c *Config) { c.MaxRecord = 1500 }, func(t *testing.T, w *World) {
				first := w.Leader()
				w.accept(t, w.Entries[0], "00000000000000b1", tasks(2))
				// The state of that many tasks does not fit into a record, their graph does.
				w.accept(t, w.Entries[1], "00000000000000b2", tasks(1200))
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, w.Leader() == first, "the term is over")
				after(w)
				assert.Assert(t, w.Until(5*time.Second, func() bool { return w.Leader() != nil }))
				w.accept(t, w.Leader(), jobID, tasks(4))
				assert.Assert(t, w.Ended(10*time.Second, jobID, chestnutpond.JobCompleted))
				assert.Assert(t, w.Ended(time.Second, "00000000000000b1", chestnutpond.JobCompleted))
				assert.Assert(t, w.Ended(time.Second, "00000000000000b2", chestnutpond.JobFailed))
				w.startedOnce(t, "00000000000000b1", 2)
				w.startedOnce(t, jobID, 4)
			})
		})
	}
}

// Guards against a job of very many tasks that keeps others from running, or that is not
// carried to its end, also by a leader that takes over meanwhile.
func TestJobOfManyTasks(t *testing.T) {
	for name, fault := range map[string]func(w *World){
		"no fault":        func(*World) {},
		"leader killed":   func(w *World) { w.Leader().Kill() },
		"worker restarts": func(w *World) { w.Agents[0].Worker.Restart() },
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, time.Second, func(c *Config) {
				c.Workers = 2
				c.Model = func(ref chestnutpond.TaskRef) stand.TaskModel {
					if ref.Job == jobID {
						return stand.TaskModel{Work: 2 * time.Second, Need: oneTask}
					}
					return stand.TaskModel{Work: 2 * time.Second, Need: chestnutpond.Resources{CPU: 1, Memory: 1}}
				}
			}, func(t *testing.T, w *World) {
				many := chestnutpond.Graph{Payload: "x"}
				for range 3 {
					many.Steps = append(many.Steps, chestnutpond.Step{
						Count: 1200, Need: chestnutpond.Resources{CPU: 1, Memory: 1}, Estimate: 2 * time.Second,
					})
				}
				w.accept(t, w.Entries[0], "00000000000000c1", many)
				time.Sleep(2 * time.Second)
				fault(w)
				assert.Assert(t, w.Until(5*time.Second, func() bool { return w.Leader() != nil }))
				w.accept(t, w.Leader(), jobID, tasks(4))
				assert.Assert(t, w.Ended(12*time.Second, jobID, chestnutpond.JobCompleted))
				assert.Assert(t, w.Ended(90*time.Second, "00000000000000c1", chestnutpond.JobCompleted))
				w.startedOnce(t, jobID, 4)
			})
		})
	}
}
