package proof

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
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

// takeoverBound is the scheduler takeover of section 10 of the design page.
const takeoverBound = 4300 * time.Millisecond

// Guards against a guarantee that is not given because the entry that schedules
// the region dies right after the claim, while it displaces the borrowers.
func TestReclaimWhileSchedulerDies(t *testing.T) {
	f := startFleet(t)
	former, _ := f.waitScheduler(t, f.entries[0], nil)
	observer := f.other(former)
	var jobs []chestnutpond.JobID
	for i := range 2 * rackSize {
		jobs = append(jobs, observer.submitAs(t, borrowerToken, fmt.Sprintf("borrower-%d", i), 8, `{"run": "12s"}`))
	}
	for _, id := range jobs {
		observer.waitJob(t, id, chestnutpond.JobRunning)
	}
	claimed := time.Now()
	claim := observer.submit(t, "claim", gangSize, `{"run": "1s"}`)
	former.process.kill(t)
	f.checkRunsAndJobs(t, observer, append(jobs, claim)...)
	bound := takeoverBound + 2*time.Second + checkpointLimit
	for _, r := range f.platform.runs(t) {
		key, _, err := check.SplitTask(r.Task)
		assert.NilError(t, err)
		if key.Job == string(claim) {
			assert.Check(t, r.Start.Sub(claimed) < bound, "started after %s, allowed are %s", r.Start.Sub(claimed), bound)
		}
	}
}
