package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["saved"] = savedCase }

const (
	// savedTasks is the number of work items of the job.
	savedTasks = 400
	// savedLength is the length of a checkpoint in bytes, that of a signed address in an object
	// store; without the disruption it is that of the pages' example.
	savedLength, savedShort = 700, 16
	savedWork               = 6 * time.Second
)

// savedCase: the checkpoints of a job's work items are long strings.
func savedCase(rec *record, trouble bool) ([]string, error) {
	c, err := deploy(rec, options{entries: 3, agents: 3, duration: savedWork})
	if err != nil {
		return nil, err
	}
	length := savedShort
	if trouble {
		length = savedLength
	}
	for _, w := range c.workers {
		w.checkpoint = func(r *run) string {
			// A new one each half second of work.
			step := int(time.Since(r.from) / (500 * time.Millisecond))
			if step == 0 {
				return ""
			}
			name := fmt.Sprintf("%x-%d-%d-", r.from.UnixNano(), r.number, step)
			return name[:min(len(name), length)] + strings.Repeat("x", max(0, length-len(name)))
		}
	}
	id := newID()
	job := map[string]any{"spec": "s", "steps": []any{map[string]any{"count": savedTasks, "cpu": 500, "mem_mb": 256, "estimate_ms": savedWork.Milliseconds(), "checkpointable": true}}}
	if c.call(0, http.MethodPost, id, job).status/100 != 2 {
		return nil, fmt.Errorf("%w: the job is not accepted", errNotRun)
	}
	var broken []string
	until(savedWork+10*time.Second, func() bool {
		got := c.call(1, http.MethodGet, id, nil)
		return strings.Contains(got.body, "done") || strings.Contains(got.body, "failed")
	})
	got := c.call(2, http.MethodGet, id, nil)
	ends := map[string]int{}
	for _, r := range c.log.of(id) {
		ends[r.how]++
	}
	rec.add("runs of the job by their end: %v", ends)
	switch {
	case strings.Contains(got.body, "failed") && ends["failed"] == 0:
		broken = append(broken, fmt.Sprintf("job %s is shown as failed, and none of its work items has failed: %v", id, ends))
	case !strings.Contains(got.body, "done"):
		broken = append(broken, fmt.Sprintf("job %s is not done: %d %s", id, got.status, got.body))
	}
	return broken, nil
}
