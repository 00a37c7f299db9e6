package proof

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// silentRounds is how often the connections go silent.
const silentRounds = 3

// Guards against a process that waits on a connection that went silent for good
// while new ones work: connections between entries and agents, in either
// direction, and in the last round those between entries and between agents too.
func TestSilentConnections(t *testing.T) {
	f := startCuttable(t)
	rng := seeded(t)
	observer := f.entries[0]
	running := observer.submit(t, "running", gangSize, `{"run": "25s"}`)
	attempt := observer.waitJob(t, running, chestnutpond.JobRunning).Attempt
	jobs := []chestnutpond.JobID{running}
	requests := f.startLoad(t)
	for round := range silentRounds {
		last := round == silentRounds-1
		f.fabric.forsake(t, func(from, to *node) bool { return last || from.command != to.command })
		begin := time.Now()
		version := int64(2 + round)
		p := f.entries[rng.IntN(entryCount)].publish(t, fmt.Sprint("round-", round), version-1, serviceDocument(int(version)))
		assert.Equal(t, p.Outcome, chestnutpond.OutcomePublished)
		job := f.entries[rng.IntN(entryCount)].submit(t, fmt.Sprint("job-", round), gangSize, `{"run": "500ms"}`)
		jobs = append(jobs, job)
		f.waitVersion(t, observer, version)
		assert.Check(t, time.Since(begin) < configBound, "in force after %s", time.Since(begin))
		observer.waitJob(t, job, chestnutpond.JobCompleted)
		took := f.startOf(t, job).Sub(begin)
		t.Logf("round %d: version %d in force and job run after %s, started after %s", round, version, time.Since(begin), took)
		assert.Check(t, took < startBound+silentBound, "started after %s", took)
		until(t, "all upstreams up", func() string { return f.allUp(t) })
		hold(t, begin, time.Duration(4000+rng.IntN(2000))*time.Millisecond)
	}
	requests.checkAnswered(t, f, silentBound+requestWork)
	f.checkRunsAndJobs(t, observer, jobs...)
	assert.Equal(t, observer.job(t, running).Attempt, attempt, "the running gang must go on")
}
