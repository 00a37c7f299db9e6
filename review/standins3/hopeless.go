package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() { cases["hopeless"] = hopelessCase }

const (
	hopelessAgents = 11
	// What a call for advice takes, and for each worker named, and how long its tickets are valid.
	hopelessDecide, hopelessEach, hopelessValid = 200 * time.Millisecond, 40 * time.Millisecond, 2 * time.Second
	// hopelessJobs are handed in, one each hopelessPause.
	hopelessJobs, hopelessPause = 100, 750 * time.Millisecond
)

// neverDone has the numbers of the jobs that can never be done.
var neverDone = []int{5, 15, 25}

// hopelessCase: on a queue with advice, some jobs can never be done, because no worker has as
// many accelerators as they need.
func hopelessCase(rec *record, trouble bool) ([]string, error) {
	service := &adviceService{rec: rec, decide: hopelessDecide, each: hopelessEach, valid: hopelessValid, tickets: map[string]time.Time{}}
	c, err := deploy(rec, options{entries: 3, agents: hopelessAgents, duration: time.Second, advice: service, route: map[string]any{
		"advice": map[string]any{"decide_ms": hopelessDecide.Milliseconds(), "each_ms": hopelessEach.Milliseconds(), "valid_ms": hopelessValid.Milliseconds()},
	}})
	if err != nil {
		return nil, err
	}
	for _, w := range c.workers {
		w.ticketValid = service.holds
	}
	var sound []string
	began, hopeless, rejected := time.Now(), 0, 0
	for i := range hopelessJobs {
		time.Sleep(time.Until(began.Add(time.Duration(i) * hopelessPause)))
		id, gpu := newID(), 1
		if slices.Contains(neverDone, i) {
			if !trouble {
				continue
			}
			gpu = 16
		}
		step := map[string]any{"count": 1, "cpu": 15000, "mem_mb": 44000, "gpu": gpu, "estimate_ms": 1000}
		switch r := c.call(rand.IntN(3), http.MethodPost, id, map[string]any{"spec": "s", "steps": []any{step}}); {
		case r.status/100 != 2:
			rejected++
		case gpu == 1:
			sound = append(sound, id)
		default:
			hopeless++
		}
	}
	rec.add("the traffic has ended: %d sound jobs and %d hopeless ones accepted, %d rejected", len(sound), hopeless, rejected)
	time.Sleep(finish + idle)
	var waiting []string
	for _, id := range sound {
		if len(c.log.of(id)) == 0 {
			waiting = append(waiting, id)
		}
	}
	// A few are asked for: they are known, and not done.
	for _, id := range waiting[:min(len(waiting), 3)] {
		if strings.Contains(c.call(rand.IntN(3), http.MethodGet, id, nil).body, "done") {
			return nil, fmt.Errorf("%w: job %s is done without a run", errNotRun, id)
		}
	}
	busy := c.busy()
	rec.add("%d of %d sound jobs have not begun; %d runs on %d workers", len(waiting), len(sound), busy, hopelessAgents)
	if len(waiting) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d of %d accepted jobs have not begun %s after the end of the traffic, the first %s; %d runs are at work on %d workers", len(waiting), len(sound), finish+idle, waiting[0], busy, hopelessAgents)}, nil
}
