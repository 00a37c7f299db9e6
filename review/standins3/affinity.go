package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["affinity"] = affinityCase }

// affinityCase: a client sets no limit on the work items of a step on a worker, by the largest
// number of 32 bits. It asks for the job after visible_ms.
func affinityCase(rec *record, trouble bool) ([]string, error) {
	c, err := deploy(rec, options{entries: 3, agents: 3, duration: time.Second})
	if err != nil {
		return nil, err
	}
	limit := int64(4)
	if trouble {
		limit = 1<<32 - 1
	}
	id := newID()
	job := map[string]any{"spec": "s", "steps": []any{map[string]any{"count": 2, "cpu": 15000, "mem_mb": 44000, "gpu": 1, "estimate_ms": 1000, "anti_affinity": limit}}}
	if c.call(0, http.MethodPost, id, apiKey, job).status/100 != 2 {
		return nil, fmt.Errorf("%w: the job is not accepted", errNotRun)
	}
	time.Sleep(4 * time.Second)
	var broken []string
	for i := range c.entries {
		if got := c.call(i, http.MethodGet, id, apiKey, nil); got.status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("%s answers 410 for the accepted job %s", c.entries[i].name, id))
		} else if got.status != http.StatusOK || !strings.Contains(got.body, "done") {
			broken = append(broken, fmt.Sprintf("%s does not show the accepted job %s as done: %d %s", c.entries[i].name, id, got.status, got.body))
		}
	}
	if n := len(c.log.of(id)); n == 0 {
		broken = append(broken, fmt.Sprintf("no work item of the accepted job %s has run", id))
	}
	return broken, nil
}
