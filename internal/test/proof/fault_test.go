package proof

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
)

// gangGone is the time after which no member of a silent gang can run.
const gangGone = 9 * time.Second

// scheduler returns the entry that holds the term of the region, and the term,
// as the observer sees it.
func (f *fleet) scheduler(t *testing.T, observer *node, region string) (*node, int64) {
	t.Helper()
	for _, r := range observer.status(t).Regions {
		if r.Region != region {
			continue
		}
		for _, e := range f.entries {
			if e.name == r.Scheduler {
				return e, r.Term
			}
		}
	}
	return nil, 0
}

// waitScheduler waits for a scheduler other than the former one.
func (f *fleet) waitScheduler(t *testing.T, observer, former *node) (*node, int64) {
	t.Helper()
	var now *node
	var term int64
	until(t, "scheduler of pampa", func() string {
		if now, term = f.scheduler(t, observer, "pampa"); now == nil || now == former {
			return fmt.Sprintf("none but the former, term %d", term)
		}
		return ""
	})
	return now, term
}

// other returns an entry that is not the given one.
func (f *fleet) other(n *node) *node {
	if f.entries[0] == n {
		return f.entries[1]
	}
	return f.entries[0]
}

// Guards against a gang that is lost, doubled or restarted when the entry that
// schedules it is killed, and against jobs that then start nowhere.
func TestSchedulerKilled(t *testing.T) {
	f := startFleet(t)
	former, term := f.waitScheduler(t, f.entries[0], nil)
	observer := f.other(former)
	running := observer.submit(t, "running", gangSize, `{"run": "8s"}`)
	observer.waitJob(t, running, chestnutpond.JobRunning)
	former.process.kill(t)
	queued := observer.submit(t, "queued", gangSize, `{"run": "1s"}`)
	_, next := f.waitScheduler(t, observer, former)
	assert.Assert(t, next > term, "term %d after term %d", next, term)
	f.checkRunsAndJobs(t, observer, running, queued)
	assert.Equal(t, observer.job(t, running).Attempt, 1, "the running gang must go on")
}

// Guards against a part of a gang that runs on without the member whose agent
// was killed, and against a restart beside it.
func TestAgentKilled(t *testing.T) {
	f := startFleet(t)
	observer := f.entries[0]
	job := observer.submit(t, "job", gangSize, `{"run": "6s"}`)
	view := observer.waitJob(t, job, chestnutpond.JobRunning)
	for _, a := range f.agents {
		if a.name == view.Members[1].Worker {
			a.process.kill(t)
		}
	}
	f.checkRunsAndJobs(t, observer, job)
	assert.Equal(t, observer.job(t, job).Attempt, 2)
}

// Guards against work that is accepted and lost, or done twice, while the log
// service is down or its answers are lost.
func TestLogOutage(t *testing.T) {
	f := startFleet(t)
	e := f.entries[0]
	job := e.submit(t, "job", gangSize, `{"run": "8s"}`)
	e.waitJob(t, job, chestnutpond.JobRunning)

	control(t, f.platform.log, `{"outage": true}`)
	callers := []caller{
		e.request("price_list", "during the outage", ""),
		e.request("reorder", "during the outage, no key", ""),
	}
	assertOutcomes(t, callers, chestnutpond.OutcomeAnswered)
	keyed := e.request("reorder", "during the outage, with a key", "lot-1")
	assertOutcomes(t, []caller{keyed}, chestnutpond.OutcomeNotRun)
	r, err := e.submitOnce(accountToken, "refused", gangSize, "")
	assert.NilError(t, err)
	assert.Equal(t, r.outcome(), chestnutpond.OutcomeNotRun, "%s", r.body)
	refused := e.publish(t, "refused", 1, serviceDocument(3))
	assert.Check(t, refused.Outcome == chestnutpond.OutcomeNotRun || refused.Outcome == chestnutpond.OutcomeUnknown, "%s", refused.Outcome)

	control(t, f.platform.log, `{"outage": false}`)
	after := e.submit(t, "after", gangSize, `{"run": "1s"}`)
	control(t, f.platform.log, `{"lose_answers": 4}`)
	lossy := e.submit(t, "lossy", gangSize, `{"run": "1s"}`)
	control(t, f.platform.log, `{"lose_answers": 4}`)
	again := e.request("reorder", "with lost answers", "lot-2")
	callers = append(callers, keyed, again, e.request("reorder", "with lost answers", "lot-2"))
	assert.Check(t, check.Requests(callers, f.platform.executions(t)))
	assertOutcomes(t, []caller{again}, chestnutpond.OutcomeAnswered)
	f.checkRunsAndJobs(t, e, job, after, lossy)
}

// Guards against two publications over one base that both win, both lose, or
// leave different documents in force.
func TestTwoOperators(t *testing.T) {
	f := startFleet(t)
	const rounds = 5
	base := int64(1)
	var history []publication
	texts := map[string]string{}
	for round := range rounds {
		seen := make(chan publication, len(f.entries))
		for i, e := range f.entries {
			id := fmt.Sprintf("round-%d-%d", round, i)
			text := serviceDocument(10 + round*len(f.entries) + i)
			texts[id] = text
			go func() { seen <- e.publish(t, id, base, text) }()
		}
		for range f.entries {
			history = append(history, <-seen)
		}
		base++
		f.waitVersion(t, f.entries[0], base)
	}
	for _, e := range f.entries {
		final := document{Version: e.status(t).ConfigVersion}
		text := e.document(t)
		for id := range texts {
			if texts[id] == text {
				final.ID = id
			}
		}
		assert.Check(t, check.Publications(1, history, final))
	}
}

// Guards against a scheduler that was paused past all leases and goes on as if
// no time had passed.
func TestSchedulerPaused(t *testing.T) {
	f := startFleet(t)
	former, term := f.waitScheduler(t, f.entries[0], nil)
	observer := f.other(former)
	before := observer.submit(t, "before", gangSize, `{"run": "5s"}`)
	observer.waitJob(t, before, chestnutpond.JobRunning)
	paused := time.Now()
	former.process.pause(t)
	during := observer.submit(t, "during", gangSize, `{"run": "5s"}`)
	_, next := f.waitScheduler(t, observer, former)
	assert.Assert(t, next > term, "term %d after term %d", next, term)
	observer.waitJob(t, during, chestnutpond.JobCompleted)
	until(t, "pause beyond all leases", func() string {
		if left := gangGone - time.Since(paused); left > 0 {
			return left.String()
		}
		return ""
	})
	overlapping := observer.submit(t, "overlapping", gangSize, `{"run": "3s"}`)
	observer.waitJob(t, overlapping, chestnutpond.JobRunning)
	former.process.resume()
	after := former.submit(t, "after", gangSize, `{"run": "1s"}`)
	f.checkRunsAndJobs(t, observer, before, during, overlapping, after)
	f.checkRunsAndJobs(t, former, before, during, overlapping, after)
	assert.Check(t, check.Versions(former.versions(t)))
}
