package world

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// allTasks is off in CI: jobs of 100,000 tasks take most of the minute that TestShapes may take.
var allTasks = flag.Bool("shapes.bounds", false, "play jobs at the limit of all tasks, too: 18 s without the race detector")

// Guards against a job at a limit of graphs that is rejected or that cannot be cancelled, one
// beyond a limit that is accepted, and one that keeps others from running.
func TestJobsAtTheLimits(t *testing.T) {
	tiny := chestnutpond.Step{Count: 1, Need: chestnutpond.Resources{CPU: 1, Memory: 1}}
	repeat := func(steps, count int) []chestnutpond.Step {
		all := make([]chestnutpond.Step, steps)
		for i := range all {
			all[i] = tiny
			all[i].Count = count
		}
		return all
	}
	for name, c := range map[string]struct {
		limit int
		graph func(n int) chestnutpond.Graph
	}{
		"tasks of a step": {chestnutpond.MaxTasks, func(n int) chestnutpond.Graph { return chestnutpond.Graph{Steps: repeat(1, n)} }},
		"steps":           {chestnutpond.MaxSteps, func(n int) chestnutpond.Graph { return chestnutpond.Graph{Steps: repeat(n, 1)} }},
		"repetitions": {chestnutpond.MaxRepetitions, func(n int) chestnutpond.Graph {
			return chestnutpond.Graph{Steps: repeat(1, 1), Schedule: chestnutpond.Schedule{First: time.Now().Add(time.Hour), Every: time.Second, Repetitions: n}}
		}},
		"all tasks": {chestnutpond.MaxTotalTasks, func(n int) chestnutpond.Graph {
			steps := repeat(n/4000, 4000)
			if rest := n % 4000; rest > 0 {
				steps = append(steps, repeat(1, rest)...)
			}
			return chestnutpond.Graph{Steps: steps}
		}},
	} {
		if c.limit == chestnutpond.MaxTotalTasks && !*allTasks {
			continue
		}
		t.Run(name, func(t *testing.T) {
			playWith(t, time.Second, withTokens, func(t *testing.T, w *World) {
				for i, n := range []int{c.limit - 1, c.limit, c.limit + 1} {
					g := c.graph(n)
					path := fmt.Sprintf("/lots/%016x", i+1)
					status, text := w.Entries[i].exchange(http.MethodPost, path, salesToken, bodyOf(&g))
					if n > c.limit {
						assert.Equal(t, status, http.StatusBadRequest, text)
						assert.Assert(t, strings.Contains(text, "allowed are"), text)
						continue
					}
					assert.Equal(t, status, http.StatusOK, "%d: %s", n, text)
					time.Sleep(time.Second)
					status, text = w.Entries[(i+1)%3].exchange(http.MethodDelete, path, salesToken, "")
					assert.Equal(t, status, http.StatusOK, text)
				}
				w.accept(t, w.Entries[0], jobID, tasks(4))
				assert.Assert(t, w.Ended(10*time.Second, jobID, chestnutpond.JobCompleted))
				for i := range 4 {
					assert.Equal(t, w.Fleet.Starts(ref("0000000000000003", i)), 0)
				}
			})
		})
	}
}
