package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"time"
)

// The plays below show further breaks of rules. They are no cases: see REPORT.md.

// rebornKind has a worker crash and start again under its id as another kind.
func rebornKind(s *stage, trouble bool) ([]string, error) {
	const rounds = 3
	if err := s.begin(3, 1, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	w, p := s.workers[0], s.pingers[0]
	for i := range rounds {
		k := kind{need: amount{cpu: 1000, memory: 1000, gpu: 1}, work: 3 * time.Second, label: "a"}
		id := newJobID()
		if !s.submit(id, "work", k, map[string]any{"count": 4, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "requirements": "a", "estimate_ms": 3000}) {
			return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
		}
		if !eventually(5*time.Second, func() bool { on, _ := s.runs.count(id); return on == 4 }) {
			return nil, fmt.Errorf("%w: round %d: the job is not at work", errCannotRun, i)
		}
		time.Sleep(500 * time.Millisecond)
		label := "b"
		if !trouble {
			label = "a"
		}
		p.stop()
		w.crash(500*time.Millisecond, w.id, []string{label, "r1-1"})
		time.Sleep(700 * time.Millisecond)
		p.begin()
		time.Sleep(3 * time.Second)
		p.stop()
		w.crash(500*time.Millisecond, w.id, []string{"a", "r1-1"})
		time.Sleep(700 * time.Millisecond)
		p.begin()
		if !eventually(15*time.Second, func() bool { return s.state(0, id) == "done" }) {
			return nil, fmt.Errorf("%w: round %d: the job was not done", errCannotRun, i)
		}
	}
	return s.runs.breaksOfLabels(), nil
}

// hugeJob has a client hand in one job of very many work items, and another client a small
// one after it.
func hugeJob(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	k := kind{need: amount{cpu: 1, memory: 1}, work: 2 * time.Second}
	var steps []map[string]any
	for range 11 {
		steps = append(steps, map[string]any{"count": 4000, "cpu": 1, "mem_mb": 1, "estimate_ms": 2000})
	}
	if trouble && !s.submit(newJobID(), "many", k, steps...) {
		return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	id := newJobID()
	k = kind{need: amount{cpu: 1000, memory: 1000, gpu: 1}, work: 2 * time.Second}
	if !s.submit(id, "work", k, map[string]any{"count": 4, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 2000}) {
		return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	return s.idleJobs(time.Now(), 25*time.Second, []string{id}), nil
}

// spreadStep has an urgent job whose work items must run on different workers come while
// another job fills one of the two workers.
func spreadStep(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	if trouble {
		k := kind{need: amount{cpu: 8000, memory: 8000, gpu: 8}, work: 30 * time.Second}
		id := newJobID()
		if !s.submit(id, "large", k, map[string]any{"count": 1, "cpu": 8000, "mem_mb": 8000, "gpu": 8, "estimate_ms": 30000}) {
			return nil, fmt.Errorf("%w: the large job was not accepted", errCannotRun)
		}
		if !eventually(5*time.Second, func() bool { on, _ := s.runs.count(id); return on == 1 }) {
			return nil, fmt.Errorf("%w: the large job is not at work", errCannotRun)
		}
		time.Sleep(3 * time.Second)
	}
	k := kind{need: amount{cpu: 2000, memory: 2000, gpu: 2}, work: 2500 * time.Millisecond, spread: 1}
	id := newJobID()
	if !s.submitTo(urgentPrefix, id, "urgent", k, map[string]any{"count": 2, "cpu": 2000, "mem_mb": 2000, "gpu": 2, "anti_affinity": 1, "estimate_ms": 2500}) {
		return nil, fmt.Errorf("%w: the urgent job was not accepted", errCannotRun)
	}
	time.Sleep(10 * time.Second)
	return s.runs.breaksOfSpread(), nil
}

// greyThenLasting has one worker fail what it starts for a while, so that a work item that
// lasts is the first that it runs well again.
func greyThenLasting(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 1, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	if trouble {
		k := kind{need: amount{cpu: 1000, memory: 1000, gpu: 1}, work: 200 * time.Millisecond, fails: 3}
		if !s.submit(newJobID(), "fails", k, map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 2000}) {
			return nil, fmt.Errorf("%w: the failing job was not accepted", errCannotRun)
		}
		time.Sleep(6 * time.Second)
	}
	if err := s.lasting(1, 2); err != nil {
		return nil, err
	}
	k := kind{need: amount{cpu: 2000, memory: 2000, gpu: 1}, work: 2 * time.Second}
	id := newJobID()
	if !s.submit(id, "work", k, map[string]any{"count": 1, "cpu": 2000, "mem_mb": 2000, "gpu": 1, "estimate_ms": 2000}) {
		return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	return s.idleJobs(time.Now(), 30*time.Second, []string{id}), nil
}

// contactWindow is the bound contact_window_ms.
const contactWindow = 3 * time.Second

// cancelInDoubt has a client leave before the store has answered for its job, and cancel the
// job. The store carries the job's record out later.
func cancelInDoubt(s *stage, trouble bool) ([]string, error) {
	const late = 6 * time.Second
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	id := newJobID()
	s.runs.define(id, kind{need: amount{cpu: 1000, memory: 1000, gpu: 1}, work: 4 * time.Second})
	step := map[string]any{"count": 2, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 4000}
	next := maps.Clone(step)
	next["after"] = []int{0}
	body, _ := json.Marshal(map[string]any{"spec": "work", "steps": []any{step, next}})
	if trouble {
		s.store.setLate(late)
	}
	status, _, err := request(http.MethodPost, s.address(11, frontPort), queuePrefix+id, clientHeader, body, 200*time.Millisecond)
	s.rec.line("client: POST job %s -> %d %v", id, status, err)
	// The last late append is carried out at calm, as far as the case goes.
	calm := time.Now()
	if trouble {
		s.store.setLate(0)
		calm = calm.Add(late)
	}
	acknowledged, err := s.cancel(id)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(calm.Add(12 * time.Second)))
	s.rec.line("client: GET job %s -> %s", id, s.state(0, id))
	return s.runs.breaksOfCancel(id, acknowledged, calm.Add(contactWindow)), nil
}

// cancel cancels a job and returns when that was acknowledged.
func (s *stage) cancel(id string) (time.Time, error) {
	for range 10 {
		status, data, err := request(http.MethodDelete, s.address(11, frontPort), queuePrefix+id, clientHeader, nil, 3*time.Second)
		s.rec.line("client: DELETE job %s -> %d %s %v", id, status, bytes.TrimSpace(data), err)
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			return time.Now(), nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%w: the cancellation was not acknowledged", errCannotRun)
}
