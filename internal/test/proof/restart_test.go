package proof

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a second complete run of a job whose tasks all went to their
// end while one of the agents was being replaced: the worker still lists the
// completed task when the new agent starts.
func TestAgentReplacedWhileTaskEnds(t *testing.T) {
	f := startFleet(t)
	observer := f.entries[0]
	// The run is shorter than the lease of 2 s, so the task outlives its agent.
	job := observer.submit(t, "job", gangSize, `{"run": "1500ms", "result": "sold"}`)
	view := observer.waitJob(t, job, chestnutpond.JobRunning)
	agent := f.agentOf(view.Members[1].Worker)
	agent.process.kill(t)
	until(t, "end of both tasks", func() string {
		runs := f.platform.runs(t)
		for _, r := range runs {
			if r.Phase != chestnutpond.TaskCompleted {
				return fmt.Sprintf("%s %s", r.Task, r.Phase)
			}
		}
		return ""
	})
	agent.start(t)
	f.checkRunsAndJobs(t, observer, job)
	assert.Equal(t, observer.job(t, job).Result, "sold")
}
