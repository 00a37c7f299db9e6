package world

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// tinyTask lets far more tasks run on a worker than it lists ends.
var tinyTask = chestnutpond.Resources{CPU: 20, Memory: 20}

// Guards against runs whose ends are not listed yet, because the worker lists only so many
// at a time, that are taken for lost or never started and run again.
func TestMoreEndsThanAWorkerLists(t *testing.T) {
	const jobs, tasksOfJob = 14, 50
	for name, fault := range map[string]func(w *World){
		"store down": func(w *World) {
			w.Store.SetDown(chestnutpond.StoreUnavailable)
			time.Sleep(4500 * time.Millisecond)
			w.Store.SetDown("")
		},
		"store slow": func(w *World) {
			w.Store.SetDelay(800 * time.Millisecond)
			time.Sleep(6 * time.Second)
			w.Store.SetDelay(5 * time.Millisecond)
		},
		"leader killed meanwhile": func(w *World) {
			w.Store.SetDown(chestnutpond.StoreUnavailable)
			time.Sleep(2 * time.Second)
			w.Leader().Kill()
			time.Sleep(2 * time.Second)
			w.Store.SetDown("")
		},
		"leader killed, store slow": func(w *World) {
			time.Sleep(2 * time.Second)
			w.Leader().Kill()
			w.Store.SetDelay(700 * time.Millisecond)
			time.Sleep(6 * time.Second)
			w.Store.SetDelay(5 * time.Millisecond)
		},
		"agent killed meanwhile": func(w *World) {
			w.Store.SetDown(chestnutpond.StoreUnavailable)
			time.Sleep(2 * time.Second)
			w.Agents[0].Kill()
			time.Sleep(time.Second)
			w.Agents[0].Start()
			time.Sleep(time.Second)
			w.Store.SetDown("")
		},
		"all processes killed meanwhile": func(w *World) {
			w.Store.SetDown(chestnutpond.StoreUnavailable)
			time.Sleep(2 * time.Second)
			for _, e := range w.Entries {
				e.Kill()
			}
			w.Agents[0].Kill()
			time.Sleep(500 * time.Millisecond)
			w.Store.SetDown("")
			for _, e := range w.Entries {
				e.Start()
			}
			w.Agents[0].Start()
		},
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, time.Second, func(c *Config) {
				c.Workers = 1
				c.Model = func(chestnutpond.TaskRef) stand.TaskModel {
					return stand.TaskModel{Work: 9500 * time.Millisecond, Need: tinyTask}
				}
			}, func(t *testing.T, w *World) {
				id := func(i int) string { return fmt.Sprintf("%016x", 0x100+i) }
				for i := range jobs {
					w.accept(t, w.Entries[0], id(i), chestnutpond.Graph{Payload: "x", Steps: []chestnutpond.Step{
						{Count: tasksOfJob, Need: tinyTask, Estimate: 9 * time.Second},
					}})
				}
				w.running(t, jobs*tasksOfJob)
				time.Sleep(8 * time.Second)
				fault(w)
				for i := range jobs {
					assert.Assert(t, w.Ended(20*time.Second, id(i), chestnutpond.JobCompleted), "job %d", i)
					w.startedOnce(t, id(i), tasksOfJob)
				}
			})
		})
	}
}
