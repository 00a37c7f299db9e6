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
	// settleLimit bounds the wait for a state that must come about.
	settleLimit = 15 * time.Second
	settleEvery = 10 * time.Millisecond

	salesToken    = "secret-of-sales"
	stockToken    = "secret-of-stock"
	operatorToken = "secret-of-operator"
)

// documentText is the document of most tests: one worker of 8 is guaranteed.
var documentText = fmt.Sprintf(`schema: 1
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
`, digestOf(salesToken), digestOf(stockToken))

// world is one entry and the agents beside its upstreams, on loopback.
type world struct {
	t       *testing.T
	log     *stand.Log
	entry   *Entry
	metrics *stats.Registry
	stop    context.CancelFunc
	stopped chan struct{}
	client  *http.Client
	// answers is the text of every answer, to look for secrets.
	answers []string
}

// newWorld starts an entry without agents and documents.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, log: stand.NewLog("s"), metrics: stats.New(), stopped: make(chan struct{}), client: &http.Client{}}
	e, err := New(Config{
		Name: "entry-1", Region: "pampa", Zone: "pampa-a", Incarnation: 1,
		Listen: "127.0.0.1:0", InnerListen: "127.0.0.1:0", Log: w.log,
		Operators:     []Operator{{Name: "op", TokenSHA256: digestOf(operatorToken)}},
		ParseDocument: new(svcdoc.Reader).Parse, Events: ring("entry-1"), Metrics: w.metrics, FleetSettle: time.Nanosecond,
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

func ring(process string) *events.Ring {
	return events.New(events.Config{Process: process, Incarnation: 1, RequestShare: 1})
}

func (w *world) addAgent(name, rack string) {
	w.t.Helper()
	a, err := agent.New(agent.Config{
		Name: name, Region: "pampa", Zone: "pampa-a", Rack: rack, Incarnation: 1,
		InnerListen: "127.0.0.1:0", Entries: []string{w.entry.InnerAddr()},
		Accelerators: 8, Slots: 8, Connections: 64, Kinds: []string{"price_list", "order"},
		Worker: stand.NewWorker(name), Upstream: stand.NewUpstream(), Events: ring(name), Metrics: stats.New(),
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
	w.settle("agent "+name+" in the table", func() bool {
		row, ok := w.entry.group.Row(name)
		return ok && row.Member.GetUpstream().GetUp() && a.Ready()
	})
}

// settle polls until the state has come about.
func (w *world) settle(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(settleLimit); !done(); time.Sleep(settleEvery) {
		if time.Now().After(end) {
			w.t.Fatalf("no %s within %v", what, settleLimit)
		}
	}
}

func (w *world) publish(base int, document string) received {
	return w.send(call{
		method: "PUT", path: fmt.Sprintf("/v1/document?base=%d", base), token: operatorToken, body: document,
	})
}

// open publishes the first document and waits until the entry is ready.
func (w *world) open() {
	w.t.Helper()
	w.settle("a state", w.entry.tail.Loaded)
	got := w.publish(0, documentText)
	assert.Equal(w.t, got.status, http.StatusOK, got.text)
	w.settle("readiness", w.entry.Ready)
}

// call is one HTTP call.
type call struct {
	method, path, token, body string
	header                    map[string]string
}

// received is one HTTP answer.
type received struct {
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

func (w *world) send(c call) received {
	w.t.Helper()
	got, err := w.exchange(c)
	assert.NilError(w.t, err)
	w.answers = append(w.answers, got.text)
	return got
}

// exchange is safe for concurrent use.
func (w *world) exchange(c call) (received, error) {
	req, err := http.NewRequest(c.method, "http://"+w.entry.Addr()+c.path, strings.NewReader(c.body))
	if err != nil {
		return received{}, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	res, err := w.client.Do(req)
	if err != nil {
		return received{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	got := received{status: res.StatusCode, text: string(text), header: res.Header}
	if bytes.HasPrefix(text, []byte("{")) && err == nil {
		err = json.Unmarshal(text, &got)
	}
	return got, err
}

// checkSecrets fails the test when an answer so far shows a token.
func (w *world) checkSecrets() {
	w.t.Helper()
	for _, text := range w.answers {
		for _, secret := range []string{salesToken, stockToken, operatorToken} {
			assert.Assert(w.t, !strings.Contains(text, secret), text)
		}
	}
}

// job8 runs until it is stopped: its payload is {"run":"1h"}.
const job8 = `{"kind":"forecast","accelerators":8,"adjacency":"worker","payload":"eyJydW4iOiIxaCJ9"}`

func jobCall(token, key, body string) call {
	return call{method: "POST", path: "/v1/jobs", token: token, body: body, header: map[string]string{reply.HeaderKey: key}}
}
