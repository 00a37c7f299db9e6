package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["leave"] = leaveCase }

const (
	// leaveLasts is longer than the case: its work item runs until its job is cancelled.
	leaveLasts = time.Hour
	// leaveAfter is how long the worker serves on after its drain was acknowledged: drain_ms and
	// a little longer.
	leaveAfter = drainTime + 500*time.Millisecond
	// leaveFreeze is how long the machine beside the worker stands still, leaveLead how long
	// before the leave that begins.
	leaveFreeze, leaveLead = 2200 * time.Millisecond, 200 * time.Millisecond
	// leaveEnds is how long after its leave a worker ends that got no confirmation.
	leaveEnds = 4 * time.Second
)

// leaveCase: a worker leaves at the end of its drain while the machine beside it stands still for
// two seconds. It gets no confirmation and ends anyway, some seconds later. The agent reads the
// leave when it wakes.
func leaveCase(rec *record, trouble bool) ([]string, error) {
	c, err := deploy(rec, options{entries: 3, agents: 3, duration: leaveLasts})
	if err != nil {
		return nil, err
	}
	id := newID()
	job := map[string]any{"spec": "s", "steps": []any{map[string]any{"count": 1, "cpu": 15000, "mem_mb": 44000, "gpu": 1, "perpetual": true}}}
	if c.call(0, http.MethodPost, id, apiKey, job).status/100 != 2 {
		return nil, fmt.Errorf("%w: the job is not accepted", errNotRun)
	}
	leaving := -1
	if !until(10*time.Second, func() bool {
		for i, w := range c.workers {
			if w.running() > 0 {
				leaving = i
			}
		}
		return leaving >= 0
	}) {
		return nil, fmt.Errorf("%w: the work item does not run", errNotRun)
	}
	w, agent := c.workers[leaving], c.agents[leaving]
	time.Sleep(time.Second)
	if !w.drain() {
		return nil, fmt.Errorf("%w: the drain is not acknowledged", errNotRun)
	}
	time.Sleep(leaveAfter - leaveLead)
	if w.running() != 1 {
		return nil, fmt.Errorf("%w: the work item does not run on the leaving worker any more", errNotRun)
	}
	w.mu.Lock()
	w.stopBeats()
	born := w.born
	w.mu.Unlock()
	woken := make(chan struct{})
	if trouble {
		agent.signal(syscall.SIGSTOP)
		time.AfterFunc(leaveFreeze, func() {
			agent.signal(syscall.SIGCONT)
			close(woken)
		})
	}
	time.Sleep(leaveLead)
	rec.add("worker %s sends its leave", w.name)
	sent := time.Now()
	confirmed := w.tell(context.Background(), "/v1/instances/"+w.name+"/leave", map[string]any{"born": born})
	rec.add("leave of worker %s confirmed: %v", w.name, confirmed)
	if confirmed == trouble {
		return nil, fmt.Errorf("%w: confirmation %v", errNotRun, confirmed)
	}
	if !confirmed {
		time.Sleep(leaveEnds - time.Since(sent))
		<-woken
	}
	w.end("it has left")
	time.Sleep(3 * time.Second)
	return c.log.overlaps(), nil
}
