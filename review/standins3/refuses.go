package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["refuses"] = refusesCase }

const (
	refusesAgents = 11
	// refusesWork is how long a work item takes.
	refusesWork = 8 * time.Second
	// refusesFor is how long a worker refuses all calls, and refusesTimes how often that comes, one
	// right after the other.
	refusesFor, refusesTimes = 6500 * time.Millisecond, 4
)

// refusesCase: a worker answers 503 to all calls, and sends its pings. The lease of what it runs
// expires.
func refusesCase(rec *record, trouble bool) ([]string, error) {
	c, err := deploy(rec, options{entries: 3, agents: refusesAgents, duration: refusesWork})
	if err != nil {
		return nil, err
	}
	id := newID()
	step := map[string]any{"count": 1, "cpu": 15000, "mem_mb": 44000, "gpu": 1, "estimate_ms": refusesWork.Milliseconds()}
	if c.call(0, http.MethodPost, id, map[string]any{"spec": "s", "steps": []any{step}}).status/100 != 2 {
		return nil, fmt.Errorf("%w: the job is not accepted", errNotRun)
	}
	var w *worker
	if !until(5*time.Second, func() bool {
		for _, one := range c.workers {
			if one.running() > 0 {
				w = one
			}
		}
		return w != nil
	}) {
		return nil, fmt.Errorf("%w: the work item does not run", errNotRun)
	}
	time.Sleep(time.Second)
	rec.add("the traffic has ended")
	began := time.Now()
	if trouble {
		w.refuses.Store(true)
		rec.add("worker %s answers 503 to all calls for %d times %s", w.name, refusesTimes, refusesFor)
		time.AfterFunc(refusesTimes*refusesFor, func() {
			w.refuses.Store(false)
			rec.add("worker %s answers calls again", w.name)
		})
	}
	time.Sleep(time.Until(began.Add(finish)))
	runs := len(c.log.of(id))
	before, idleBefore := c.call(1, http.MethodGet, id, nil), c.busy() == 0
	time.Sleep(time.Until(began.Add(finish + idle)))
	after, idleAfter := c.call(2, http.MethodGet, id, nil), c.busy() == 0
	still := len(c.log.of(id)) == runs
	rec.add("runs so far: %d", len(c.log.of(id)))
	// What becomes of it after that is only recorded.
	time.Sleep(time.Until(began.Add(refusesTimes*refusesFor + 2*time.Second)))
	if strings.Contains(after.body, "done") || !idleBefore || !idleAfter || !still {
		return nil, nil
	}
	return []string{fmt.Sprintf("job %s is %s at %s and %s at %s after the end of the traffic, and nothing of it has run in between; all %d workers run nothing", id, before.body, finish, after.body, finish+idle, refusesAgents)}, nil
}
