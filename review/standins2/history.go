package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// interval is a run as its worker saw it.
type interval struct {
	task   string
	run    int64
	worker string
	start  time.Time
	// end is zero while the run goes on.
	end time.Time
	how string
}

// history has the runs of all workers. It is safe for concurrent use.
type history struct {
	rec *record

	mu   sync.Mutex
	runs []*interval
}

func (h *history) started(task string, run int64, worker string) *interval {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := &interval{task: task, run: run, worker: worker, start: time.Now()}
	h.runs = append(h.runs, i)
	h.rec.note(worker, "run %d of %s begins", run, task)
	return i
}

func (h *history) ended(i *interval, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i.end, i.how = time.Now(), how
	h.rec.note(i.worker, "run %d of %s ends: %s", i.run, i.task, how)
}

// of returns copies of the runs of a job.
func (h *history) of(job string) []interval {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []interval
	for _, i := range h.runs {
		if strings.HasPrefix(i.task, job+".") {
			all = append(all, *i)
		}
	}
	return all
}

// twice returns a description of two runs of one task of the job at the same time, empty if
// there are none.
func (h *history) twice(job string) string {
	all := h.of(job)
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.task != b.task || !a.end.IsZero() && !b.start.Before(a.end) {
				continue
			}
			until := time.Now()
			for _, end := range []time.Time{a.end, b.end} {
				if !end.IsZero() && end.Before(until) {
					until = end
				}
			}
			return fmt.Sprintf("%s ran as run %d on %s and as run %d on %s at the same time, for %s",
				a.task, a.run, a.worker, b.run, b.worker, until.Sub(b.start).Round(time.Millisecond))
		}
	}
	return ""
}
