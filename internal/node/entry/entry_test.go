package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (w *testEnv) job(token, id string) response {
	return w.send(call{method: "GET", path: "/v1/jobs/" + id, token: token})
}

// Guards against a repeated submission that creates a second job or is rejected,
// and against an account that reads or cancels the jobs of another.
func TestJobLifecycle(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	first := w.send(jobCall(salesToken, "k", fullWorkerJob))
	assert.Equal(t, first.status, http.StatusAccepted, first.text)
	w.waitUntil("a running job", func() bool { return w.job(salesToken, first.ID).State == chestnutpond.JobRunning })
	assert.Assert(t, w.job(salesToken, first.ID).Guaranteed)

	again := w.send(jobCall(salesToken, "k", fullWorkerJob))
	assert.Equal(t, again.status, http.StatusAccepted)
	assert.Equal(t, again.ID, first.ID)
	other := w.send(jobCall(salesToken, "k", `{"kind":"forecast","accelerators":4,"adjacency":"worker"}`))
	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Assert(t, other.Detail == "the key was used for another job: "+first.ID, other.Detail)
	foreign := w.send(jobCall(stockToken, "k", `{"kind":"forecast","accelerators":4,"adjacency":"worker"}`))
	assert.Equal(t, foreign.status, http.StatusAccepted)
	assert.Assert(t, foreign.ID != first.ID, "two accounts share the job of a key")

	for _, method := range []string{"GET", "DELETE"} {
		got := w.send(call{method: method, path: "/v1/jobs/" + first.ID, token: stockToken})
		assert.Equal(t, got.status, http.StatusNotFound)
		assert.Equal(t, got.Reason, chestnutpond.ReasonUnknownJob)
	}
	assert.Equal(t, w.job(operatorToken, first.ID).status, http.StatusOK)

	cancelled := w.send(call{method: "DELETE", path: "/v1/jobs/" + first.ID, token: salesToken})
	assert.Equal(t, cancelled.status, http.StatusOK, cancelled.text)
	assert.Equal(t, cancelled.Outcome, chestnutpond.OutcomeCancelled)
	w.waitUntil("a cancelled job", func() bool { return w.job(salesToken, first.ID).State == chestnutpond.JobCancelled })
	repeated := w.send(call{method: "DELETE", path: "/v1/jobs/" + first.ID, token: salesToken})
	assert.Equal(t, repeated.status, http.StatusOK, repeated.text)
	assert.Equal(t, w.send(jobCall(salesToken, "k", fullWorkerJob)).State, chestnutpond.JobCancelled)
	w.checkSecrets()
}

// Guards against a repeated submission that is rejected because the workers or
// the kind were removed after the job was accepted.
func TestResubmitAfterChange(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	first := w.send(jobCall(salesToken, "k", fullWorkerJob))
	assert.Equal(t, first.status, http.StatusAccepted, first.text)
	without := testDocument[:len(testDocument)-len("  - {name: forecast, work: job, class: bulk, checkpoint: 1s, max_body: 64}\n")]
	assert.Equal(t, w.publish(1, without).status, http.StatusOK)
	w.waitUntil("the second document", func() bool { return w.entry.ConfigVersion() == 2 })
	again := w.send(jobCall(salesToken, "k", fullWorkerJob))
	assert.Equal(t, again.status, http.StatusAccepted, again.text)
	assert.Equal(t, again.ID, first.ID)
}

// Guards against an account that fills the queue of a region. The limit applies
// to waiting jobs only.
func TestJobLimit(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	var last response
	for i := range 5 {
		last = w.send(jobCall(salesToken, fmt.Sprint(i), fullWorkerJob))
		if last.status != http.StatusAccepted {
			break
		}
	}
	assert.Equal(t, last.status, http.StatusTooManyRequests, last.text)
	assert.Equal(t, last.Outcome, chestnutpond.OutcomeNotRun)
	assert.Equal(t, last.Reason, chestnutpond.ReasonJobLimit)
	assert.Assert(t, last.header.Get("Retry-After") != "")
}

// Guards against two concurrent publications that both report success.
func TestPublishRace(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	const operators = 8
	replies := make([]response, operators)
	var done sync.WaitGroup
	for i := range operators {
		done.Go(func() {
			replies[i], _ = w.roundTrip(call{
				method: "PUT", path: fmt.Sprintf("/v1/document?base=1&id=p%d", i), token: operatorToken, body: testDocument,
			})
		})
	}
	done.Wait()
	won := 0
	for i, got := range replies {
		if got.status == http.StatusOK {
			won++
			assert.Equal(t, got.Outcome, chestnutpond.OutcomePublished)
		} else {
			assert.Equal(t, got.status, http.StatusConflict, got.text)
			assert.Equal(t, got.Outcome, chestnutpond.OutcomeLost)
		}
		assert.Equal(t, got.Version, int64(2))
		found := w.send(call{method: "GET", path: fmt.Sprintf("/v1/publications/p%d", i), token: operatorToken})
		assert.Equal(t, found.Outcome, got.Outcome)
		assert.Equal(t, found.Version, int64(2))
	}
	assert.Equal(t, won, 1)
	missing := w.send(call{method: "GET", path: "/v1/publications/none", token: operatorToken})
	assert.Equal(t, missing.Outcome, chestnutpond.OutcomeUnknown)
	doc := w.send(call{method: "GET", path: "/v1/document", token: operatorToken})
	assert.Equal(t, doc.text, testDocument)
	assert.Equal(t, doc.header.Get(headerVersion), "2")
}

// Guards against readiness of an entry that cannot accept requests, and against
// the rejection of a valid token before the entry has loaded its document.
func TestReadiness(t *testing.T) {
	w := newTestEnv(t)
	w.waitUntil("a state", w.entry.tail.Loaded)
	ready := call{method: "GET", path: "/readyz"}
	got := w.send(ready)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.text, "no document was published yet\n")
	early := w.send(requestCall("price_list", salesToken, "x", nil))
	assert.Equal(t, early.status, http.StatusServiceUnavailable)
	assert.Equal(t, early.Outcome, chestnutpond.OutcomeNotRun)
	assert.Equal(t, early.Reason, chestnutpond.ReasonNoConfig)
	none := w.send(call{method: "GET", path: "/v1/document", token: operatorToken})
	assert.Equal(t, none.status, http.StatusNotFound)
	w.publishFirstDocument()
	assert.Equal(t, w.send(ready).status, http.StatusOK)
	w.addAgent("worker-1", "rack-1")
	served := w.send(requestCall("price_list", salesToken, "x", nil))
	assert.Equal(t, served.status, http.StatusOK, served.text)
	assert.Equal(t, served.header.Get(reply.HeaderOutcome), string(chestnutpond.OutcomeAnswered))
	assert.Equal(t, served.header.Get(headerUpstream), "worker-1")

	w.stop()
	w.waitUntil("a drain", w.entry.stopping.Load)
	got = w.send(ready)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.text, "draining\n")
	assert.Equal(t, w.send(call{method: "GET", path: "/healthz"}).status, http.StatusOK)
	refused := w.send(jobCall(salesToken, "late", fullWorkerJob))
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.text)
	assert.Equal(t, refused.Reason, chestnutpond.ReasonDraining)
}

// TestPublishWhileAgentsArrive guards against the rejection of a valid document
// because only some of the agents have registered.
func TestPublishWhileAgentsArrive(t *testing.T) {
	w := newTestEnv(t)
	w.setFleetSettle(time.Hour)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	more := strings.Replace(testDocument, "count: 1", "count: 3", 1)
	assert.Equal(t, w.publish(1, more).status, http.StatusOK)
	w.setFleetSettle(time.Nanosecond)
	assert.Equal(t, w.publish(2, more).status, http.StatusUnprocessableEntity)
}

func (w *testEnv) setFleetSettle(d time.Duration) {
	w.entry.mu.Lock()
	defer w.entry.mu.Unlock()
	w.entry.cfg.FleetSettle = d
}
