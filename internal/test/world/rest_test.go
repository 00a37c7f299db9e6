package world

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/rest"
)

// The bearer tokens of two accounts.
const (
	salesToken = "example-token-ventas"
	otherToken = "example-token-talleres"
)

// withTokens gives the document's account a token, and adds another account.
func withTokens(c *Config) {
	digest := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	c.Document.Service = service
	c.Document.Accounts[0].TokenSHA256 = digest(salesToken)
	c.Document.Accounts = append(c.Document.Accounts, chestnutpond.Account{Name: "talleres", TokenSHA256: digest(otherToken)})
}

// restAnswer is an answer of the interface.
type restAnswer struct {
	status  int
	header  http.Header
	text    string
	Outcome chestnutpond.Outcome  `json:"outcome"`
	Reason  chestnutpond.Reason   `json:"reason"`
	ID      string                `json:"id"`
	State   chestnutpond.JobState `json:"state"`
	Waiting string                `json:"waiting"`
}

// rest makes a call of the product's own interface at an entry.
func (e *Entry) rest(t *testing.T, method, path, token, form, body string) restAnswer {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", form)
	r.Header.Set("Idempotency-Key", "lot-1")
	w := httptest.NewRecorder()
	node := e.Node()
	rest.New(rest.Config{Name: e.Name, Intake: node.Intake(), Inspector: node.Inspector(), Forecaster: node.Forecaster()}).ServeHTTP(w, r)
	a := restAnswer{status: w.Code, header: w.Header(), text: w.Body.String()}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &a), a.text)
	return a
}

const (
	yamlForm = "application/yaml"
	jsonForm = "application/json"
	lots     = "kind: lots\nsteps:\n  - {count: 3, cpu_millis: 5000, accelerators: 1}\n  - {count: 1, cpu_millis: 100, after: [0]}\n"
)

// Guards against a job of the product's interface that is lost, doubled, or shown to
// others.
func TestRestJob(t *testing.T) {
	playWith(t, time.Second, withTokens, func(t *testing.T, w *World) {
		a, b := w.Entries[0], w.Entries[1]
		first := a.rest(t, "POST", "/v1/jobs", salesToken, yamlForm, lots)
		assert.Equal(t, first.status, http.StatusAccepted, first.text)
		again := b.rest(t, "POST", "/v1/jobs", salesToken, yamlForm, lots)
		assert.Equal(t, again.ID, first.ID)
		path := "/v1/jobs/" + first.ID
		time.Sleep(500 * time.Millisecond)
		running := b.rest(t, "GET", path, salesToken, "", "")
		assert.Equal(t, running.State, chestnutpond.JobRunning)
		assert.Equal(t, running.Waiting, "4 tasks: 3 placed, 0 done")
		assert.Equal(t, b.rest(t, "GET", path, otherToken, "", "").Reason, chestnutpond.ReasonUnknownJob)
		assert.Equal(t, b.rest(t, "DELETE", path, otherToken, "", "").Reason, chestnutpond.ReasonUnknownJob)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.rest(t, "GET", path, salesToken, "", "").State, chestnutpond.JobCompleted)
		assert.Equal(t, w.Fleet.Starts(ref(first.ID, 0)), 1)
	})
}

// Guards against a cancelled job that goes on, and a short form that is taken for
// another gang.
func TestRestGang(t *testing.T) {
	playWith(t, 10*time.Second, withTokens, func(t *testing.T, w *World) {
		e := w.Entries[2]
		got := e.rest(t, "POST", "/v1/jobs", salesToken, jsonForm, `{"kind":"lots","region":"pampa","accelerators":12,"adjacency":"zone"}`)
		assert.Equal(t, got.status, http.StatusAccepted, got.text)
		time.Sleep(time.Second)
		shown := e.rest(t, "GET", "/v1/jobs/"+got.ID, salesToken, "", "")
		assert.Equal(t, shown.Waiting, "12 tasks: 12 placed, 0 done")
		cancelled := e.rest(t, "DELETE", "/v1/jobs/"+got.ID, salesToken, "", "")
		assert.Equal(t, cancelled.Outcome, chestnutpond.OutcomeCancelled)
		assert.Equal(t, cancelled.State, chestnutpond.JobCancelled)
		status := e.rest(t, "GET", "/v1/status", salesToken, "", "")
		assert.Assert(t, strings.Contains(status.text, fmt.Sprintf(`"scheduler":%q`, w.Leader().Name)), status.text)
		assert.Assert(t, strings.Contains(status.text, `"account":"ventas","guaranteed":8,"waiting":0`), status.text)
		assert.Assert(t, strings.Contains(status.text, `"available":true`), status.text)
	})
}

// Guards against a refusal without its reason, or "not run" for a job that may run.
func TestRestRefusals(t *testing.T) {
	cases := map[string]struct {
		token, form, body string
		fault             chestnutpond.StoreFault
		status            int
		outcome           chestnutpond.Outcome
		reason            chestnutpond.Reason
	}{
		"no token":     {"", yamlForm, lots, "", 401, chestnutpond.OutcomeRejected, chestnutpond.ReasonUnauthorized},
		"unknown kind": {salesToken, yamlForm, strings.Replace(lots, "lots", "zips", 1), "", 404, chestnutpond.OutcomeRejected, chestnutpond.ReasonUnknownKind},
		"no YAML":      {salesToken, yamlForm, "kind: [", "", 400, chestnutpond.OutcomeRejected, chestnutpond.ReasonBadBody},
		"no shape":     {salesToken, jsonForm, `{"kind":"lots","adjacency":"zone"}`, "", 422, chestnutpond.OutcomeRejected, chestnutpond.ReasonBadShape},
		"other field":  {salesToken, jsonForm, `{"sort":"lots"}`, "", 400, chestnutpond.OutcomeRejected, chestnutpond.ReasonBadBody},
		"store away":   {salesToken, yamlForm, lots, chestnutpond.StoreUnavailable, 503, chestnutpond.OutcomeNotRun, chestnutpond.ReasonLogUnavailable},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			playWith(t, time.Second, withTokens, func(t *testing.T, w *World) {
				w.Store.SetDown(tt.fault)
				got := w.Entries[0].rest(t, "POST", "/v1/jobs", tt.token, tt.form, tt.body)
				assert.Equal(t, got.status, tt.status, got.text)
				assert.Equal(t, got.Outcome, tt.outcome)
				assert.Equal(t, got.Reason, tt.reason)
				if tt.outcome == chestnutpond.OutcomeNotRun {
					assert.Assert(t, got.header.Get("Retry-After") != "")
				}
			})
		})
	}
}
