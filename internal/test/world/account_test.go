package world

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/platform"
)

// withPublicQueue adds accounts with tokens, and a queue that needs none.
func withPublicQueue(c *Config) {
	withTokens(c)
	open := c.Document.Kinds[0]
	queue := *open.Queue
	queue.PathPrefix, queue.Public, queue.Terms.Name = "/open/", true, "open"
	open.Name, open.Queue = "open", &queue
	c.Document.Kinds = append(c.Document.Kinds, open)
}

// http calls an entry over the platform's interface and returns the status.
func (e *Entry) http(t *testing.T, method, path, token string) int {
	t.Helper()
	body := `{"spec":"x","steps":[{"count":2,"cpu":5000,"mem_mb":16000,"gpu":1,"estimate_ms":4000}]}`
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	platform.NewIngress(e.Node().Intake(), slog.New(slog.NewTextHandler(io.Discard, nil))).ClientHandler().ServeHTTP(w, r)
	return w.Code
}

// Guards against a job that another account than its own sees, ends, or takes for its own.
func TestJobsOfOtherAccounts(t *testing.T) {
	// The calls on a job, and what they are answered to callers who may and who may not.
	type call struct{ method, prefix, token string }
	allowed := map[string]int{http.MethodGet: http.StatusOK, http.MethodPost: http.StatusOK, http.MethodDelete: http.StatusOK}
	denied := map[string]int{http.MethodGet: http.StatusGone, http.MethodPost: http.StatusConflict, http.MethodDelete: http.StatusGone}
	for name, c := range map[string]struct {
		prefix, token string
		by            call
		want          map[string]int
	}{
		"own key":                           {"/lots/", salesToken, call{"", "/lots/", salesToken}, allowed},
		"another key":                       {"/lots/", salesToken, call{"", "/lots/", otherToken}, denied},
		"no key on the public queue":        {"/lots/", salesToken, call{"", "/open/", ""}, denied},
		"another key on the public queue":   {"/lots/", salesToken, call{"", "/open/", otherToken}, denied},
		"own key on the public queue":       {"/lots/", salesToken, call{"", "/open/", salesToken}, allowed},
		"public job, no key":                {"/open/", "", call{"", "/open/", ""}, allowed},
		"public job with a key, no key":     {"/open/", salesToken, call{"", "/open/", ""}, allowed},
		"public job with a key, other key":  {"/open/", salesToken, call{"", "/lots/", otherToken}, denied},
		"public job without a key, any key": {"/open/", "", call{"", "/lots/", otherToken}, allowed},
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, 4*time.Second, withPublicQueue, func(t *testing.T, w *World) {
				assert.Equal(t, w.Entries[0].http(t, http.MethodPost, c.prefix+jobID, c.token), http.StatusOK)
				w.running(t, 2)
				for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
					assert.Equal(t, w.Entries[1].http(t, method, c.by.prefix+jobID, c.by.token), c.want[method], method)
				}
				want := chestnutpond.JobCompleted
				if c.want[http.MethodDelete] == http.StatusOK {
					want = chestnutpond.JobCancelled
				}
				owner := chestnutpond.RouteTarget{}
				if c.token != "" {
					owner.Account = w.cfg.Document.Accounts[0].Name
				}
				assert.Assert(t, w.Until(8*time.Second, func() bool {
					state, _ := w.Entries[2].Node().Intake().State(t.Context(), owner, jobID)
					return state == want
				}), "want %s", want)
			})
		})
	}
}

// Guards against a job that its owner does not find any more, because an entry that had not
// read its acceptance yet accepted the same id from another account.
func TestIDOfAJobThatAnEntryHasNotRead(t *testing.T) {
	playWith(t, 4*time.Second, withPublicQueue, func(t *testing.T, w *World) {
		w.Store.SetDeaf(true)
		assert.Equal(t, w.Entries[0].http(t, http.MethodPost, "/lots/"+jobID, salesToken), http.StatusOK)
		assert.Equal(t, w.Entries[1].http(t, http.MethodPost, "/lots/"+jobID, otherToken), http.StatusConflict)
		w.Store.SetDeaf(false)
		for _, e := range w.Entries {
			e.Kill()
			e.Start()
			assert.Assert(t, w.Until(5*time.Second, e.Ready))
			assert.Equal(t, e.http(t, http.MethodGet, "/lots/"+jobID, salesToken), http.StatusOK)
		}
	})
}
