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

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (w *world) job(token, id string) received {
	return w.send(call{method: "GET", path: "/v1/jobs/" + id, token: token})
}

// Guards against a repeated submission that makes a second job or is refused,
// and against one account that sees or cancels the jobs of another.
func TestJobLife(t *testing.T) {
	w := newWorld(t)
	w.open()
	w.addAgent("worker-1", "rack-1")
	first := w.send(jobCall(salesToken, "k", job8))
	assert.Equal(t, first.status, http.StatusAccepted, first.text)
	w.settle("a running job", func() bool { return w.job(salesToken, first.ID).State == chestnutpond.JobRunning })
	assert.Assert(t, w.job(salesToken, first.ID).Guaranteed)

	again := w.send(jobCall(salesToken, "k", job8))
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
	w.settle("a cancelled job", func() bool { return w.job(salesToken, first.ID).State == chestnutpond.JobCancelled })
	repeated := w.send(call{method: "DELETE", path: "/v1/jobs/" + first.ID, token: salesToken})
	assert.Equal(t, repeated.status, http.StatusOK, repeated.text)
	assert.Equal(t, w.send(jobCall(salesToken, "k", job8)).State, chestnutpond.JobCancelled)
	w.checkSecrets()
}

// Guards against a repeat that is refused because the workers, or the kind, went
// away after the job was accepted.
func TestRepeatAfterChange(t *testing.T) {
	w := newWorld(t)
	w.open()
	w.addAgent("worker-1", "rack-1")
	first := w.send(jobCall(salesToken, "k", job8))
	assert.Equal(t, first.status, http.StatusAccepted, first.text)
	without := documentText[:len(documentText)-len("  - {name: forecast, work: job, class: bulk, checkpoint: 1s, max_body: 64}\n")]
	assert.Equal(t, w.publish(1, without).status, http.StatusOK)
	w.settle("the second document", func() bool { return w.entry.ConfigVersion() == 2 })
	again := w.send(jobCall(salesToken, "k", job8))
	assert.Equal(t, again.status, http.StatusAccepted, again.text)
	assert.Equal(t, again.ID, first.ID)
}

// Guards against an account that fills the region's queue: the limit counts
// waiting jobs only.
func TestJobLimit(t *testing.T) {
	w := newWorld(t)
	w.open()
	w.addAgent("worker-1", "rack-1")
	var last received
	for i := range 5 {
		last = w.send(jobCall(salesToken, fmt.Sprint(i), job8))
		if last.status != http.StatusAccepted {
			break
		}
	}
	assert.Equal(t, last.status, http.StatusTooManyRequests, last.text)
	assert.Equal(t, last.Outcome, chestnutpond.OutcomeNotRun)
	assert.Equal(t, last.Reason, chestnutpond.ReasonJobLimit)
	assert.Assert(t, last.header.Get("Retry-After") != "")
}

// Guards against two operators who both believe that their document is in force.
func TestPublishRace(t *testing.T) {
	w := newWorld(t)
	w.open()
	const operators = 8
	replies := make([]received, operators)
	var done sync.WaitGroup
	for i := range operators {
		done.Go(func() {
			replies[i], _ = w.exchange(call{
				method: "PUT", path: fmt.Sprintf("/v1/document?base=1&id=p%d", i), token: operatorToken, body: documentText,
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
	assert.Equal(t, doc.text, documentText)
	assert.Equal(t, doc.header.Get(headerVersion), "2")
}

// Guards against a balancer that sends work to an entry that cannot take it, and
// against a rejection of a valid token that this entry only does not know yet.
func TestReadiness(t *testing.T) {
	w := newWorld(t)
	w.settle("a state", w.entry.tail.Loaded)
	ready := call{method: "GET", path: "/readyz"}
	got := w.send(ready)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.text, "no document was published yet\n")
	early := w.send(request("price_list", salesToken, "x", nil))
	assert.Equal(t, early.status, http.StatusServiceUnavailable)
	assert.Equal(t, early.Outcome, chestnutpond.OutcomeNotRun)
	assert.Equal(t, early.Reason, chestnutpond.ReasonNoConfig)
	none := w.send(call{method: "GET", path: "/v1/document", token: operatorToken})
	assert.Equal(t, none.status, http.StatusNotFound)
	w.open()
	assert.Equal(t, w.send(ready).status, http.StatusOK)
	w.addAgent("worker-1", "rack-1")
	served := w.send(request("price_list", salesToken, "x", nil))
	assert.Equal(t, served.status, http.StatusOK, served.text)
	assert.Equal(t, served.header.Get(reply.HeaderOutcome), string(chestnutpond.OutcomeAnswered))
	assert.Equal(t, served.header.Get(headerUpstream), "worker-1")

	w.stop()
	w.settle("a drain", w.entry.stopping.Load)
	got = w.send(ready)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.text, "draining\n")
	assert.Equal(t, w.send(call{method: "GET", path: "/healthz"}).status, http.StatusOK)
	refused := w.send(jobCall(salesToken, "late", job8))
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.text)
	assert.Equal(t, refused.Reason, chestnutpond.ReasonDraining)
}

// TestPublishWhileAgentsArrive guards against a valid document that is refused
// because only some of the agents have announced themselves.
func TestPublishWhileAgentsArrive(t *testing.T) {
	w := newWorld(t)
	w.settleFleet(time.Hour)
	w.open()
	w.addAgent("worker-1", "rack-1")
	more := strings.Replace(documentText, "count: 1", "count: 3", 1)
	assert.Equal(t, w.publish(1, more).status, http.StatusOK)
	w.settleFleet(time.Nanosecond)
	assert.Equal(t, w.publish(2, more).status, http.StatusUnprocessableEntity)
}

func (w *world) settleFleet(d time.Duration) {
	w.entry.mu.Lock()
	defer w.entry.mu.Unlock()
	w.entry.cfg.FleetSettle = d
}
