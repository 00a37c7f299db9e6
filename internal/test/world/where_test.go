package world

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// whereAnswer is the part of an answer that the tests read.
type whereAnswer struct {
	State  string `json:"state"`
	Leader string `json:"leader"`
	Steps  []struct {
		Placed  int `json:"placed"`
		Workers []struct {
			Worker string `json:"worker"`
			Tasks  int    `json:"tasks"`
		} `json:"workers"`
		Causes []string `json:"causes"`
	} `json:"steps"`
}

// where asks an entry where a job would be placed.
func (e *Entry) where(t *testing.T, body string) whereAnswer {
	t.Helper()
	got := e.rest(t, "POST", "/v1/where", salesToken, yamlForm, body)
	assert.Equal(t, got.status, http.StatusOK, got.text)
	var a whereAnswer
	assert.NilError(t, json.Unmarshal([]byte(got.text), &a))
	return a
}

// Guards against an answer that depends on the entry that is asked, a question that starts or
// stores anything, and a job that goes elsewhere than the answer said.
func TestWhereTheJobGoes(t *testing.T) {
	playWith(t, 10*time.Second, withTokens, func(t *testing.T, w *World) {
		leader := w.Leader()
		var last whereAnswer
		for i, e := range w.Entries {
			a := e.where(t, lots)
			assert.Equal(t, a.State, "placed_now")
			assert.Equal(t, a.Leader, leader.Name)
			assert.Equal(t, a.Steps[0].Placed, 3)
			if i > 0 {
				assert.DeepEqual(t, a, last)
			}
			last = a
			time.Sleep(300 * time.Millisecond)
		}
		jobs := w.Entries[0].rest(t, "GET", "/v1/jobs", salesToken, "", "")
		assert.Assert(t, strings.Contains(jobs.text, `"jobs":[]`), jobs.text)
		first := w.Entries[0].rest(t, "POST", "/v1/jobs", salesToken, yamlForm, lots)
		assert.Equal(t, first.status, http.StatusAccepted)
		time.Sleep(time.Second)
		got := map[string]int{}
		for _, r := range w.Fleet.Runs() {
			if string(r.Task.Job) == first.ID {
				got[r.Worker.ID]++
			}
		}
		want := map[string]int{}
		for _, choice := range last.Steps[0].Workers {
			want[choice.Worker] = choice.Tasks
		}
		assert.DeepEqual(t, got, want)
		never := w.Entries[1].where(t, strings.Replace(lots, "accelerators: 1", "accelerators: 1000", 1))
		assert.Equal(t, never.State, "never")
		assert.DeepEqual(t, never.Steps[0].Causes, []string{"too_large"})
	})
}

// Guards against an answer from stale state, one without the right to it, and questions that
// take the leader's time.
func TestWhereIsRefused(t *testing.T) {
	var leader *Entry
	follower := func(w *World) *Entry {
		for _, e := range w.Entries {
			if e != leader {
				return e
			}
		}
		return nil
	}
	cases := map[string]struct {
		token   string
		prepare func(t *testing.T, w *World) *Entry
		status  int
		reason  chestnutpond.Reason
	}{
		"no token":         {"", func(_ *testing.T, w *World) *Entry { return w.Entries[0] }, 401, chestnutpond.ReasonUnauthorized},
		"leader is cut":    {salesToken, func(_ *testing.T, w *World) *Entry { leader.CutOff(); return follower(w) }, 503, chestnutpond.ReasonNoLeader},
		"leader is killed": {salesToken, func(_ *testing.T, w *World) *Entry { leader.Kill(); return follower(w) }, 503, chestnutpond.ReasonNoLeader},
		"store away": {salesToken, func(_ *testing.T, w *World) *Entry {
			w.Store.SetDown(chestnutpond.StoreUnavailable)
			time.Sleep(3 * time.Second)
			return leader
		}, 503, chestnutpond.ReasonNoLeader},
		"too many at the leader": {salesToken, func(t *testing.T, _ *World) *Entry { leader.where(t, lots); return leader }, 429, chestnutpond.ReasonEvaluationLimit},
		"too many at another":    {salesToken, func(t *testing.T, w *World) *Entry { leader.where(t, lots); return follower(w) }, 429, chestnutpond.ReasonEvaluationLimit},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			playWith(t, 10*time.Second, withTokens, func(t *testing.T, w *World) {
				leader = w.Leader()
				e := tt.prepare(t, w)
				got := e.rest(t, "POST", "/v1/where", tt.token, yamlForm, lots)
				assert.Equal(t, got.status, tt.status, got.text)
				assert.Equal(t, got.Reason, tt.reason)
				assert.Equal(t, got.header.Get("Retry-After") != "", tt.token != "", "Retry-After")
			})
		})
	}
}

// Guards against a waiting job whose state does not say what it waits for, against a cause for
// one that runs, and against an evaluation for each call of callers that poll.
func TestCauseOfAWaitingJob(t *testing.T) {
	cases := map[string]struct {
		job, path, cause string
	}{
		"never":     {strings.Replace(lots, "accelerators: 1", "accelerators: 1000", 1), "?cause=true", "; step 0 can never run on the known workers: too_large"},
		"waits":     {"kind: lots\nsteps:\n  - {count: 40, cpu_millis: 100, accelerators: 1, estimate: 5s}\n", "?cause=true", "; step 0 waits for accelerators, expected to start in "},
		"no start":  {"kind: lots\nsteps:\n  - {count: 9, cpu_millis: 100, per_worker: 2}\n", "?cause=true", "; step 0 waits for per_worker"},
		"runs":      {lots, "?cause=true", ""},
		"not asked": {strings.Replace(lots, "accelerators: 1", "accelerators: 1000", 1), "", ""},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			playWith(t, 10*time.Second, withTokens, func(t *testing.T, w *World) {
				e := w.Entries[1]
				id := e.rest(t, "POST", "/v1/jobs", salesToken, yamlForm, tt.job).ID
				time.Sleep(time.Second)
				shown := e.rest(t, "GET", "/v1/jobs/"+id+tt.path, salesToken, "", "").Waiting
				_, cause, _ := strings.Cut(shown, "done")
				assert.Assert(t, strings.HasPrefix(cause, tt.cause) && (tt.cause != "" || cause == ""), shown)
			})
		})
	}
}
