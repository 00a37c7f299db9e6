package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = restartCase }

const (
	// restartWork is how long a work item of the case runs.
	restartWork = 12 * time.Second
	// restartLate is how late a worker carries out a start that it left unanswered; the pages
	// state seconds, and the bench 2 to 12.
	restartLate = 5 * time.Second
	// restartDown is how long the agent's process is away.
	restartDown = time.Second
)

// restartCase: workers leave every second start order unanswered and carry it out late. The
// machine of one is stopped and started, and its worker begins to drain at the same time.
func restartCase(rec *record, trouble bool) ([]string, error) {
	c, err := deploy(rec, options{entries: 3, agents: 3, duration: restartWork})
	if err != nil {
		return nil, err
	}
	unanswered := make(chan int, 64)
	for i, w := range c.workers {
		var mu sync.Mutex
		calls := 0
		w.lateStart = func(string, int64) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			calls++
			if calls%2 != 0 {
				return 0
			}
			select {
			case unanswered <- i:
			default:
			}
			if !trouble {
				return 0
			}
			return restartLate
		}
	}
	id := newID()
	job := map[string]any{"spec": "s", "steps": []any{map[string]any{"count": 8, "cpu": 15000, "mem_mb": 44000, "gpu": 1, "estimate_ms": restartWork.Milliseconds()}}}
	if c.call(0, http.MethodPost, id, job).status/100 != 2 {
		return nil, fmt.Errorf("%w: the job is not accepted", errNotRun)
	}
	var i int
	select {
	case i = <-unanswered:
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("%w: no start order", errNotRun)
	}
	w, agent := c.workers[i], c.agents[i]
	time.Sleep(100 * time.Millisecond)
	agent.signal(syscall.SIGTERM)
	if !agent.wait(6 * time.Second) {
		return nil, fmt.Errorf("%w: the agent does not end", errNotRun)
	}
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	rec.add("worker %s begins to drain", w.name)
	time.Sleep(restartDown)
	if err := agent.start(); err != nil {
		return nil, err
	}
	time.Sleep(restartWork + 4*time.Second)
	return c.log.overlaps(), nil
}
