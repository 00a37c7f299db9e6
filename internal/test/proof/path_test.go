package proof

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
)

const (
	gangSize = 2 * 8
	// clock is how a failure shows times.
	clock = "15:04:05.000"
)

// together runs the calls at the same time and returns what their callers saw.
func together(calls ...func() caller) []caller {
	seen := make([]caller, len(calls))
	var all sync.WaitGroup
	for i, c := range calls {
		all.Go(func() { seen[i] = c() })
	}
	all.Wait()
	return seen
}

func assertOutcomes(t *testing.T, callers []caller, want chestnutpond.Outcome) {
	t.Helper()
	for _, c := range callers {
		assert.Check(t, c.Outcome == want, "request %s: %s", c.Body, c.Outcome)
	}
}

// checkRunsAndJobs applies the checkers of tasks and jobs; every accepted job
// must have completed.
func (f *fleet) checkRunsAndJobs(t *testing.T, observer *node, jobs ...chestnutpond.JobID) {
	t.Helper()
	states := map[chestnutpond.JobID]chestnutpond.JobState{}
	for _, id := range jobs {
		states[id] = observer.waitJob(t, id, chestnutpond.JobCompleted).State
	}
	runs := f.platform.runs(t)
	if groups, err := check.GroupRuns(runs); err == nil {
		longest := time.Duration(0)
		for _, group := range groups {
			longest = max(longest, check.LongestPartial(group))
		}
		t.Logf("longest time of a part of a gang alone: %s", longest)
	}
	assert.Check(t, check.Gangs(runs))
	assert.Check(t, check.Overlap(runs))
	if !assert.Check(t, check.Jobs(jobs, states, runs)) {
		for _, r := range runs {
			t.Logf("run %s on worker %s from %s to %s: %s", r.Task, r.Worker,
				r.Start.Format(clock), r.End.Format(clock), r.Reason)
		}
		events, err := observer.call(http.MethodGet, "/v1/events?limit=10000", operatorToken, nil, nil)
		t.Logf("events: %s, %v", events.body, err)
	}
}

// Guards against a wrong, missing or second answer on the ordinary path, a gang
// that does not start whole, and a document that does not reach a process.
func TestOrdinaryPath(t *testing.T) {
	f := startFleet(t)
	var calls []func() caller
	for i, e := range f.entries {
		for j := range 10 {
			calls = append(calls,
				func() caller { return e.request("price_list", fmt.Sprintf("price list %d of %d", j, i), "") },
				func() caller { return e.request("reorder", fmt.Sprintf("reorder %d of %d", j, i), "") })
		}
	}
	callers := together(calls...)
	assertOutcomes(t, callers, chestnutpond.OutcomeAnswered)

	sameKey := together(
		func() caller { return f.entries[0].request("reorder", `{"work": "500ms"}`, "lot-7") },
		func() caller { return f.entries[1].request("reorder", `{"work": "500ms"}`, "lot-7") },
	)
	assertOutcomes(t, sameKey, chestnutpond.OutcomeAnswered)
	assert.NilError(t, check.Requests(append(callers, sameKey...), f.platform.executions(t)))
	assert.Equal(t, sameKey[0].Echo, sameKey[1].Echo)

	job := f.entries[0].submit(t, "job-1", gangSize, `{"run": "2s", "result": "sold"}`)
	view := f.entries[1].waitJob(t, job, chestnutpond.JobRunning)
	assert.Equal(t, len(view.Members), 2)
	f.checkRunsAndJobs(t, f.entries[2], job)

	p := f.entries[1].publish(t, "second", 1, serviceDocument(2))
	assert.Equal(t, p.Outcome, chestnutpond.OutcomePublished)
	assert.Equal(t, p.Version, int64(2))
	f.waitVersion(t, f.entries[0], 2)
}

// Guards against a planned stop that cuts off a request: an entry and an agent
// beside it stop while requests run through both.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t)
	entry, agent := f.entries[2], f.agents[2*rackSize]
	var calls []func() caller
	for i := range rackSize * slotCount {
		calls = append(calls, func() caller {
			return entry.request("reorder", fmt.Sprintf(`{"work": "3s"}%*s`, i, ""), "")
		})
	}
	var callers []caller
	var open sync.WaitGroup
	open.Go(func() { callers = together(calls...) })
	until(t, "requests run", func() string {
		if n := len(f.platform.executions(t)); n < len(calls) {
			return fmt.Sprintf("%d of %d", n, len(calls))
		}
		return ""
	})
	stopping := time.Now()
	entry.process.signal(terminate)
	agent.process.signal(terminate)
	open.Wait()
	assertOutcomes(t, callers, chestnutpond.OutcomeAnswered)
	assert.Check(t, check.Requests(callers, f.platform.executions(t)))
	for _, n := range []*node{entry, agent} {
		n.process.wait(t)
		assert.Check(t, n.process.err, "%s", n.name)
	}
	assert.Check(t, time.Since(stopping) < 32*time.Second, "stopped after %s", time.Since(stopping))

	after := f.entries[0].request("price_list", "after the stop", "")
	assertOutcomes(t, []caller{after}, chestnutpond.OutcomeAnswered)
}
