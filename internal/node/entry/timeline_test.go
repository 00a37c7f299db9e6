package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

func (w *testEnv) timeline(query url.Values) []eventView {
	w.t.Helper()
	got := w.send(call{method: "GET", path: "/v1/events?" + query.Encode(), token: operatorToken})
	assert.Equal(w.t, got.status, http.StatusOK, got.text)
	var view eventsView
	assert.NilError(w.t, json.Unmarshal([]byte(got.text), &view))
	assert.Equal(w.t, len(view.Unreachable), 0)
	return view.Events
}

// Guards against broken cause links between processes: the events of an agent
// must link to the call at the entry that caused them.
func TestTimelineLinksCausesToCaller(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	began := time.Now()
	borrower := w.send(jobCall(stockToken, "b", fullWorkerJob))
	w.waitUntil("a running job", func() bool { return w.job(stockToken, borrower.ID).State == chestnutpond.JobRunning })
	claim := w.send(jobCall(salesToken, "c", fullWorkerJob))
	// The agent table shows the run before the scheduler records its start. The
	// cancellation links to the start only if it comes after that event.
	w.waitUntil("a recorded start event", func() bool {
		return slices.ContainsFunc(w.timeline(url.Values{"job": {claim.ID}}), func(e eventView) bool {
			return e.Process == "entry-1" && e.Kind == chestnutpond.EventStarted
		})
	})
	w.send(call{method: "DELETE", path: "/v1/jobs/" + claim.ID, token: salesToken})
	w.waitUntil("a cancelled job", func() bool { return w.job(salesToken, claim.ID).State == chestnutpond.JobCancelled })

	byID := make(map[chestnutpond.EventID]eventView)
	list := w.timeline(url.Values{"limit": {"10000"}})
	for _, e := range list {
		byID[e.ID] = e
	}
	names := map[chestnutpond.JobID]string{
		chestnutpond.JobID(borrower.ID): "borrower", chestnutpond.JobID(claim.ID): "claim",
	}
	chains := make(map[string]bool)
	for _, e := range list {
		if e.Job == "" {
			continue
		}
		if e.Kind != chestnutpond.EventAccepted {
			_, ok := byID[e.Cause]
			assert.Assert(t, ok, "no cause of %+v", e)
		}
		chain := ""
		for step, ok := e, true; ok; step, ok = byID[step.Cause] {
			chain = fmt.Sprintf(" %s:%s:%s", step.Process, names[step.Job], step.Kind) + chain
		}
		chains[chain] = true
	}
	for _, want := range []string{
		" entry-1:claim:accepted entry-1:borrower:reclaimed worker-1:borrower:checkpointed worker-1:borrower:stopped",
		" entry-1:claim:accepted entry-1:claim:placed worker-1:claim:prepared",
		" entry-1:claim:accepted entry-1:claim:placed entry-1:claim:prepared worker-1:claim:committed worker-1:claim:started",
		" entry-1:claim:accepted entry-1:claim:placed entry-1:claim:prepared entry-1:claim:committed entry-1:claim:started" +
			" entry-1:claim:cancelled worker-1:claim:stopped",
	} {
		assert.Assert(t, chains[want], "no cause chain%s in %v", want, chains)
	}
	before := w.timeline(url.Values{"to": {began.UTC().Format(time.RFC3339Nano)}, "limit": {"2"}})
	assert.Equal(t, len(before), 2, "the limit applies within the time range")
}
