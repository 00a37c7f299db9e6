package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
	"github.com/chestnutpond/chestnutpond/internal/node/agent"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// waitTimeout bounds the wait for an expected state.
	waitTimeout  = 15 * time.Second
	pollInterval = 10 * time.Millisecond

	salesToken    = "secret-of-sales"
	stockToken    = "secret-of-stock"
	operatorToken = "secret-of-operator"
)

// testDocument is the default document; it guarantees one worker of 8 accelerators.
var testDocument = fmt.Sprintf(`schema: 1
service: desk
accounts:
  - name: sales
    token_sha256: %s
    job_limit: 3
    guarantees:
      - {region: pampa, count: 1, accelerators: 8, adjacency: worker}
  - name: stock
    token_sha256: %s
kinds:
  - {name: price_list, work: request, class: urgent, idempotent: true, timeout: 2s, max_body: 64}
  - {name: order, work: request, class: urgent, idempotent: false, timeout: 2s, max_body: 64}
  - {name: forecast, work: job, class: bulk, checkpoint: 1s, max_body: 64}
`, tokenDigest(salesToken), tokenDigest(stockToken))

// testEnv is an entry and the agents of its upstreams, on loopback.
type testEnv struct {
	t       *testing.T
	log     *stand.Log
	entry   *Entry
	metrics *stats.Registry
	stop    context.CancelFunc
	stopped chan struct{}
	client  *http.Client
	// bodies holds all response bodies; checkSecrets searches them.
	bodies []string
}

// newTestEnv starts an entry without agents or documents.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	return newTestEnvOn(t, "entry-1", stand.NewLog("s"))
}

// newTestEnvOn starts an entry on a log.
func newTestEnvOn(t *testing.T, name string, log *stand.Log) *testEnv {
	t.Helper()
	w := &testEnv{t: t, log: log, metrics: stats.New(), stopped: make(chan struct{}), client: &http.Client{}}
	e, err := New(Config{
		Name: name, Region: "pampa", Zone: "pampa-a", Incarnation: 1,
		Listen: "127.0.0.1:0", InnerListen: "127.0.0.1:0", Log: w.log,
		Operators:     []Operator{{Name: "op", TokenSHA256: tokenDigest(operatorToken)}},
		ParseDocument: new(svcdoc.Reader).Parse, Events: newRing(name), Metrics: w.metrics, FleetSettle: time.Nanosecond,
		Logs: slogs.New(slogs.Config{Out: io.Discard}),
	})
	assert.NilError(t, err)
	w.entry = e
	var ctx context.Context
	ctx, w.stop = context.WithCancel(context.Background())
	go func() {
		defer close(w.stopped)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() {
		w.stop()
		<-w.stopped
		w.client.CloseIdleConnections()
	})
	return w
}

func newRing(process string) *events.Ring {
	return events.New(events.Config{Process: process, Incarnation: 1, RequestShare: 1})
}

func (w *testEnv) addAgent(name, rack string) {
	w.t.Helper()
	a, err := agent.New(agent.Config{
		Name: name, Region: "pampa", Zone: "pampa-a", Rack: rack, Incarnation: 1,
		InnerListen: "127.0.0.1:0", Entries: []string{w.entry.InnerAddr()},
		Accelerators: 8, Slots: 8, Connections: 64, Kinds: []string{"price_list", "order"},
		Worker: stand.NewWorker(name), Upstream: stand.NewUpstream(), Events: newRing(name), Metrics: stats.New(),
		Log: slogs.New(slogs.Config{Out: io.Discard}).Logger("agent"),
	})
	assert.NilError(w.t, err)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = a.Run(ctx)
	}()
	w.t.Cleanup(func() {
		stop()
		<-stopped
	})
	w.waitUntil("agent "+name+" in the table", func() bool {
		row, ok := w.entry.group.Row(name)
		return ok && row.Member.GetUpstream().GetUp() && a.Ready()
	})
}

// waitUntil polls until done returns true, and fails the test after waitTimeout.
func (w *testEnv) waitUntil(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			w.t.Fatalf("no %s within %v", what, waitTimeout)
		}
	}
}

func (w *testEnv) publish(base int, document string) response {
	return w.send(call{
		method: "PUT", path: fmt.Sprintf("/v1/document?base=%d", base), token: operatorToken, body: document,
	})
}

// publishFirstDocument publishes testDocument and waits until the entry is ready.
func (w *testEnv) publishFirstDocument() {
	w.t.Helper()
	w.waitUntil("a state", w.entry.tail.Loaded)
	got := w.publish(0, testDocument)
	assert.Equal(w.t, got.status, http.StatusOK, got.text)
	w.waitUntil("readiness", w.entry.Ready)
}

// call is an HTTP request.
type call struct {
	method, path, token, body string
	header                    map[string]string
}

// response is an HTTP response with the fields of its JSON body.
type response struct {
	status     int
	text       string
	header     http.Header
	Outcome    chestnutpond.Outcome  `json:"outcome"`
	Reason     chestnutpond.Reason   `json:"reason"`
	Detail     string                `json:"detail"`
	ID         string                `json:"id"`
	Version    int64                 `json:"version"`
	State      chestnutpond.JobState `json:"state"`
	Attempt    int64                 `json:"attempt"`
	Guaranteed bool                  `json:"guaranteed"`
}

func (w *testEnv) send(c call) response {
	w.t.Helper()
	got, err := w.roundTrip(c)
	assert.NilError(w.t, err)
	w.bodies = append(w.bodies, got.text)
	return got
}

// roundTrip sends c and returns the response. It is safe for concurrent use.
func (w *testEnv) roundTrip(c call) (response, error) {
	req, err := http.NewRequest(c.method, "http://"+w.entry.Addr()+c.path, strings.NewReader(c.body))
	if err != nil {
		return response{}, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	res, err := w.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	got := response{status: res.StatusCode, text: string(text), header: res.Header}
	if bytes.HasPrefix(text, []byte("{")) && err == nil {
		err = json.Unmarshal(text, &got)
	}
	return got, err
}

// checkSecrets fails the test if a response so far contains a token.
func (w *testEnv) checkSecrets() {
	w.t.Helper()
	for _, text := range w.bodies {
		for _, secret := range []string{salesToken, stockToken, operatorToken} {
			assert.Assert(w.t, !strings.Contains(text, secret), text)
		}
	}
}

// fullWorkerJob takes all accelerators of a worker and runs until it is stopped:
// its payload is {"run":"1h"}.
const fullWorkerJob = `{"kind":"forecast","accelerators":8,"adjacency":"worker","payload":"eyJydW4iOiIxaCJ9"}`

func jobCall(token, key, body string) call {
	return call{method: "POST", path: "/v1/jobs", token: token, body: body, header: map[string]string{reply.HeaderKey: key}}
}
