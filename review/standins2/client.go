package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// callTimeout is how long clients wait for an answer.
const callTimeout = 3 * time.Second

// step is a step of a job as clients hand it in.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"mem_mb"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimateMs   int64  `json:"estimate_ms"`
	Requirements string `json:"requirements,omitempty"`
	Perpetual    bool   `json:"perpetual,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int64  `json:"target_ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	AntiAffinity int64  `json:"anti_affinity,omitempty"`
}

// call makes a call of the first tenant's client to an entry.
func (s *stage) call(entry int, method, path string, body any) (int, string, error) {
	return s.callAs(apiKey, entry, method, path, body)
}

// callAs makes a client's call with a key.
func (s *stage) callAs(key string, entry int, method, path string, body any) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, "", err
		}
	}
	url := fmt.Sprintf("http://%s:%d%s", s.entries[entry].ip, s.front, path)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	req.Host = routeHost
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var got struct {
		State string `json:"state"`
	}
	// Only the answer to a question for the state has a body that matters.
	_ = json.NewDecoder(resp.Body).Decode(&got)
	return resp.StatusCode, got.State, nil
}

// submit hands in a job until it is accepted.
func (s *stage) submit(queue, id string, m model, st step) error {
	spec, err := json.Marshal(m)
	if err != nil {
		return err
	}
	for attempt := range 4 {
		status, _, err := s.call(attempt%len(s.entries), http.MethodPost, queue+id, map[string]any{"spec": string(spec), "steps": []step{st}})
		s.rec.note("client", "POST %s%s -> %d %v", queue, id, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job of the bulk queue.
func (s *stage) state(id string) string {
	for entry := range s.entries {
		status, state, err := s.call(entry, http.MethodGet, bulkQueue+id, nil)
		s.rec.note("client", "GET %s%s -> %d %s %v", bulkQueue, id, status, state, err)
		if err == nil && status == http.StatusOK {
			return state
		}
	}
	return ""
}

// startLimit is how long the stage waits for the first start of a job.
const startLimit = 3 * time.Second

// awaitRun waits until a task of the job runs, and returns its worker.
func (s *stage) awaitRun(job string) (*worker, error) {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, i := range s.hist.of(job) {
			if !i.end.IsZero() {
				continue
			}
			for _, w := range s.workers {
				if w != nil && w.cfg.id == i.worker {
					return w, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("job %s does not run", job)
}

// runs reports whether a task of the job runs now.
func (s *stage) runs(job string) bool {
	for _, i := range s.hist.of(job) {
		if i.end.IsZero() {
			return true
		}
	}
	return false
}
