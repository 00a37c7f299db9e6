package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["advice"] = adviceCase }

const (
	// adviceDecide and adviceEach are what a call for advice takes, and for each worker named.
	adviceDecide, adviceEach = 200 * time.Millisecond, 220 * time.Millisecond
	// adviceValid is how long a ticket is valid; without the disruption it is adviceLong.
	adviceValid, adviceLong = 3 * time.Second, 9 * time.Second
	adviceAgents            = 11
)

// adviceService gives a ticket for each worker that it is asked for.
type adviceService struct {
	rec *record
	// decide is what a call takes, each what it takes for each worker named, and valid how long
	// its tickets are valid.
	decide, each, valid time.Duration

	mu      sync.Mutex
	turn    sync.Mutex
	tickets map[string]time.Time
	calls   int
}

func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	took := a.decide + time.Duration(len(q.Workers))*a.each
	time.Sleep(took)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	good := [][]string{}
	for _, id := range q.Workers {
		ticket := fmt.Sprintf("%s-%s-%d", q.Step, id, a.calls)
		a.tickets[id+" "+ticket] = time.Now()
		good = append(good, []string{id, ticket})
	}
	a.rec.add("advice for step %s: %d workers, all good, after %d ms, valid for %d ms from now", q.Step, len(q.Workers), took.Milliseconds(), a.valid.Milliseconds())
	answer(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.valid.Milliseconds()})
}

// holds reports whether a ticket for a worker is valid.
func (a *adviceService) holds(worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	given, ok := a.tickets[worker+" "+ticket]
	return ok && time.Since(given) < a.valid
}

// adviceCase: a queue with advice, whose service takes most of the time for which its tickets
// are valid.
func adviceCase(rec *record, trouble bool) ([]string, error) {
	service := &adviceService{rec: rec, decide: adviceDecide, each: adviceEach, valid: adviceLong, tickets: map[string]time.Time{}}
	if trouble {
		service.valid = adviceValid
	}
	c, err := deploy(rec, options{entries: 3, agents: adviceAgents, duration: time.Second, advice: service, route: map[string]any{
		"advice": map[string]any{"decide_ms": adviceDecide.Milliseconds(), "each_ms": adviceEach.Milliseconds(), "valid_ms": service.valid.Milliseconds()},
	}})
	if err != nil {
		return nil, err
	}
	for _, w := range c.workers {
		w.ticketValid = service.holds
	}
	id := newID()
	job := map[string]any{"spec": "s", "steps": []any{map[string]any{"count": 2, "cpu": 15000, "mem_mb": 44000, "gpu": 1, "estimate_ms": 1000}}}
	if c.call(0, http.MethodPost, id, job).status/100 != 2 {
		return nil, fmt.Errorf("%w: the job is not accepted", errNotRun)
	}
	// finish_s after the end of the traffic, and 3 s more.
	time.Sleep(17 * time.Second)
	got := c.call(1, http.MethodGet, id, nil)
	if n := len(c.log.of(id)); n == 0 || !strings.Contains(got.body, "done") {
		return []string{fmt.Sprintf("job %s: %d runs, state %s; all %d workers are free, and the advice service has answered %d calls with good for all of them", id, n, got.body, adviceAgents, service.calls)}, nil
	}
	return nil, nil
}
