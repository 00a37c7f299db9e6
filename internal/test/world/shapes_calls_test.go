package world

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/platform"
)

// spawn makes a call after a time at an entry that takes calls.
func (s *shapesRun) spawn(after time.Duration, method check.GraphMethod, id chestnutpond.JobID, token string) {
	e := s.living()
	if e == nil {
		return
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		time.Sleep(after)
		s.call(e, method, id, token)
	}()
}

// call makes a call on a drawn job and records it.
func (s *shapesRun) call(e *Entry, method check.GraphMethod, id chestnutpond.JobID, token string) check.GraphCall {
	s.mu.Lock()
	job := s.drawn[id]
	s.mu.Unlock()
	path, body := "/"+job.graph.Queue.Name+"/"+string(id), ""
	verb := map[check.GraphMethod]string{check.GraphSubmit: http.MethodPost, check.GraphState: http.MethodGet, check.GraphCancel: http.MethodDelete}[method]
	if method == check.GraphSubmit {
		body = bodyOf(&job.graph)
	}
	c := check.GraphCall{Method: method, Account: token, Sent: time.Now()}
	status, answer := e.exchange(verb, path, token, body)
	c.Answered = time.Now()
	interpret(&c, status, answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id].Calls = append(s.jobs[id].Calls, c)
	return c
}

// exchange makes an HTTP call at an entry. The status is 0 if the process ended meanwhile.
func (e *Entry) exchange(method, path, token, body string) (int, string) {
	node := e.Node()
	if node == nil {
		return 0, ""
	}
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "example"
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	platform.NewIngress(node.Intake(), slog.New(slog.DiscardHandler)).ClientHandler().ServeHTTP(w, r)
	if e.Node() != node {
		return 0, ""
	}
	return w.Code, w.Body.String()
}

// interpret sets what a client concludes from an answer.
func interpret(c *check.GraphCall, status int, body string) {
	c.Outcome = chestnutpond.OutcomeRejected
	switch status {
	case http.StatusOK:
		c.Outcome = map[check.GraphMethod]chestnutpond.Outcome{
			check.GraphSubmit: chestnutpond.OutcomeAccepted, check.GraphState: chestnutpond.OutcomeAnswered, check.GraphCancel: chestnutpond.OutcomeCancelled,
		}[c.Method]
		var answer struct{ State string }
		if json.Unmarshal([]byte(body), &answer) == nil {
			c.State = map[string]chestnutpond.JobState{
				"done": chestnutpond.JobCompleted, "failed": chestnutpond.JobFailed, "cancelled": chestnutpond.JobCancelled,
				"pending": chestnutpond.JobQueued, "running": chestnutpond.JobRunning,
			}[answer.State]
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Outcome = chestnutpond.OutcomeNotRun
	case http.StatusGone:
		c.Reason = chestnutpond.ReasonUnknownJob
	case 0, http.StatusGatewayTimeout, http.StatusInternalServerError:
		c.Outcome = chestnutpond.OutcomeUnknown
	}
}

// oddCall hands in a job whose body is odd. It may be accepted, with a shape that is not known.
func (s *shapesRun) oddCall() {
	e := s.living()
	if e == nil {
		return
	}
	g := tasks(1 + s.random.IntN(3))
	g.Queue = shapeQueues[0]
	id := chestnutpond.JobID(fmt.Sprintf("E%015X", s.random.IntN(1<<20)))
	s.mu.Lock()
	s.strange = append(s.strange, id)
	s.mu.Unlock()
	s.send(e, id, oddText(s.random, bodyOf(&g)))
}

func (s *shapesRun) send(e *Entry, id chestnutpond.JobID, body string) {
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		e.exchange(http.MethodPost, "/lots/"+string(id), salesToken, body)
	}()
}

// oddHeartbeat sends an odd heartbeat or leave of another worker to an agent.
func (s *shapesRun) oddHeartbeat() {
	a := s.w.Agents[s.random.IntN(len(s.w.Agents))]
	node := a.running()
	if node == nil {
		return
	}
	body := fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:7000","zone":"zone-1","state":"ready","cold_remaining_ms":0,"remaining_ms":0,`+
		`"capacity":{"cpu":64000,"mem_mb":256000,"gpu":8},"labels":["a","rack-1"],"machine":"m","seq":%d,"born":%d}`,
		service, 1+s.random.IntN(9), time.Now().UnixMilli())
	path := "/v1/instances/stranger/" + []string{"heartbeat", "leave"}[s.random.IntN(2)]
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(oddText(s.random, body)))
	platform.NewHeartbeats(node.Reports(), slog.New(slog.DiscardHandler)).Handler().ServeHTTP(httptest.NewRecorder(), r)
}

// running returns the agent's process, or nil.
func (a *Agent) running() interface {
	Reports() chestnutpond.WorkerReports
} {
	if node := a.Node(); node != nil {
		return node
	}
	return nil
}

// oddRecord has another writer append a changed record of a job, of a leader or of an entry
// under the key of a job that nobody handed in, or of a stranger.
func (s *shapesRun) oddRecord() {
	id := chestnutpond.JobID(fmt.Sprintf("f%015x", s.random.IntN(1<<20)))
	g := tasks(2)
	g.ID, g.Queue, g.Account = id, shapeQueues[0], "ventas"
	g.Queue.Service = service
	job, err := graph.JobRecord(&g)
	assert.NilError(s.t, err)
	records := []chestnutpond.KeyedRecord{job}
	for _, key := range []string{"s" + string(id), "c" + string(id), "t" + string(id) + ".0.0.0", "?", "\xff\xfe" + string(id)} {
		records = append(records, chestnutpond.KeyedRecord{Key: key, Value: oddValue(s.random, job.Value)})
	}
	topic := chestnutpond.TopicWork
	r := records[s.random.IntN(len(records))]
	r.Value = oddValue(s.random, r.Value)
	if s.random.IntN(4) == 0 {
		topic, r.Key = chestnutpond.TopicEntries, "stranger"
	}
	s.mu.Lock()
	s.strange = append(s.strange, id)
	s.mu.Unlock()
	// Nobody hears of a failure.
	_, _ = (&stand.StoreCaller{Store: s.w.Store}).Append(s.t.Context(), topic, chestnutpond.KeyedAppend{Records: []chestnutpond.KeyedRecord{r}})
}
