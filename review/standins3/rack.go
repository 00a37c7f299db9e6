package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["rack"] = rackCase }

const (
	rackAgents = 11
	// rackEstimate is the estimate of the work items that fill the rack, and how long they take;
	// with the disruption it is rackFactor times that.
	rackEstimate, rackFactor = 6 * time.Second, 10
	// rackWork is how long the work item takes that waits for the rack.
	rackWork = time.Second
	// finish is finish_s, and idle how long a job may have nothing running then.
	finish, idle = 14 * time.Second, 3 * time.Second
)

// rackCase: the workers of one rack are full with work that takes longer than its estimate. A
// small job whose data is on that rack comes, while the other racks are idle.
func rackCase(rec *record, trouble bool) ([]string, error) {
	c, err := deploy(rec, options{entries: 3, agents: rackAgents, duration: rackWork})
	if err != nil {
		return nil, err
	}
	rack, near := c.workers[0].rack, 0
	for _, w := range c.workers {
		if w.rack == rack {
			near++
		}
		w.workOf = func(r *run) time.Duration {
			switch {
			case r.spec != "fills":
				return rackWork
			case trouble:
				return rackFactor * rackEstimate
			}
			return rackEstimate
		}
	}
	fills, small := newID(), newID()
	step := func(count, gpu int, estimate time.Duration) map[string]any {
		return map[string]any{"count": count, "cpu": 15000, "mem_mb": 44000, "gpu": gpu, "estimate_ms": estimate.Milliseconds(), "data_rack": rack}
	}
	if c.call(0, http.MethodPost, fills, map[string]any{"spec": "fills", "steps": []any{step(near, 8, rackEstimate)}}).status/100 != 2 {
		return nil, fmt.Errorf("%w: the first job is not accepted", errNotRun)
	}
	full := func() int {
		n := 0
		for _, w := range c.workers {
			if w.rack == rack && w.running() > 0 {
				n++
			}
		}
		return n
	}
	if !until(5*time.Second, func() bool { return full() == near }) {
		return nil, fmt.Errorf("%w: the rack is not full", errNotRun)
	}
	if c.call(1, http.MethodPost, small, map[string]any{"spec": "small", "steps": []any{step(1, 1, rackWork)}}).status/100 != 2 {
		return nil, fmt.Errorf("%w: the second job is not accepted", errNotRun)
	}
	rec.add("the traffic has ended")
	time.Sleep(finish)
	before := c.call(2, http.MethodGet, small, nil)
	time.Sleep(idle)
	after := c.call(2, http.MethodGet, small, nil)
	if strings.Contains(after.body, "done") || len(c.log.of(small)) > 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("job %s is %s and %s, and none of its work items has begun, %s after the end of the traffic; %d of %d workers run nothing", small, before.body, after.body, finish+idle, rackAgents-full(), rackAgents)}, nil
}
