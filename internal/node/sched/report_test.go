package sched

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// history returns the entry's events of a job, or all events for an empty id.
func (e *entry) history(job string) []chestnutpond.Event {
	list, _, _ := e.ring.Newest(events.Filter{Job: chestnutpond.JobID(job)}, 0)
	return list
}

// causeChain returns the kinds of the events from the root cause to the event.
func (e *entry) causeChain(last chestnutpond.Event) string {
	byID := make(map[chestnutpond.EventID]chestnutpond.Event)
	for _, ev := range e.history("") {
		byID[ev.ID] = ev
	}
	var kinds []string
	for ev, ok := last, true; ok; ev, ok = byID[ev.Cause] {
		kinds = append([]string{fmt.Sprint(ev.Job, " ", ev.Kind)}, kinds...)
	}
	return strings.Join(kinds, ", ")
}

// TestEventCauses guards against events without their cause: the events of a
// preempted job must lead back to the claim.
func TestEventCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		e := cl.addEntry("a")
		time.Sleep(5 * time.Second)
		cl.submit(e, "b1", "stock", 24)
		cl.submit(e, "b2", "stock", 24)
		time.Sleep(500 * time.Millisecond)
		cl.submit(e, "claim", "sales", 16)
		time.Sleep(settleTime)
		chains := make(map[string]bool)
		for _, ev := range e.history("") {
			chains[e.causeChain(ev)] = true
		}
		ended := e.history("claim")
		assert.Equal(t, e.causeChain(ended[len(ended)-1]),
			"claim accepted, claim placed, claim prepared, claim committed, claim started, claim ended")
		preempted := "b1"
		if !chains["claim accepted, b1 reclaimed"] {
			preempted = "b2"
		}
		prefix := "claim accepted, " + preempted + " reclaimed, " + preempted + " checkpointed, " + preempted + " stopped"
		assert.Assert(t, chains[prefix], chains)
		assert.Assert(t, chains[prefix+", "+preempted+" placed"], chains)
		assert.Assert(t, chains[preempted+" accepted, "+preempted+" placed, "+preempted+" borrowed"], chains)
	})
}

// metric returns the lines of a metric.
func (e *entry) metric(t *testing.T, name string) string {
	var text strings.Builder
	assert.NilError(t, e.metrics.WriteText(&text))
	var lines []string
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, stats.Prefix+name) {
			lines = append(lines, strings.TrimPrefix(strings.TrimSpace(line), stats.Prefix))
		}
	}
	return strings.Join(lines, "; ")
}

// TestMetricsOfARegion guards against an uncovered guarantee, a slow claim or lost
// work that is missing from the metrics, and against gauges that keep their values
// after the term is over.
func TestMetricsOfARegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		cl.checkpointTime = 500 * time.Millisecond
		e := cl.addEntry("a")
		time.Sleep(5 * time.Second)
		cl.submit(e, "b1", "stock", 24)
		cl.submit(e, "b2", "stock", 24)
		cl.submit(e, "b3", "stock", 24)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, e.metric(t, "jobs_running"), `jobs_running{region="pampa"} 2`)
		assert.Equal(t, e.metric(t, "jobs_waiting"),
			`jobs_waiting{account="sales",region="pampa"} 0; jobs_waiting{account="stock",region="pampa"} 1`)
		cl.submit(e, "claim", "sales", 16)
		time.Sleep(settleTime)
		assert.Equal(t, e.metric(t, "preemptions_total"), `preemptions_total{region="pampa"} 1`)
		assert.Equal(t, e.metric(t, "claim_start_seconds_count"), `claim_start_seconds_count{region="pampa"} 1`)
		covered := `guarantee_uncovered{account="sales",region="pampa"} 0`
		assert.Equal(t, e.metric(t, "guarantee_uncovered"), covered+`; guarantee_uncovered{account="stock",region="pampa"} 0`)
		assert.Equal(t, e.metric(t, "guarantee_debt_seconds"),
			`guarantee_debt_seconds{account="sales",region="pampa"} 0.5; guarantee_debt_seconds{account="stock",region="pampa"} 0`)

		cl.submit(e, "lost", "stock", 24)
		time.Sleep(time.Second)
		cl.mu.Lock()
		for _, a := range cl.agents {
			a.noCheckpoint = true
		}
		cl.mu.Unlock()
		assert.NilError(t, e.tail.Append(t.Context(), ledger.CancelJob{Job: "lost"}))
		time.Sleep(settleTime)
		assert.Equal(t, e.metric(t, "work_lost"), `work_lost_accelerator_seconds_total{region="pampa"} 24`)
		for _, name := range []string{"w0", "w1", "w3", "w4"} {
			cl.killAgent(name)
		}
		time.Sleep(settleTime)
		uncovered := `guarantee_uncovered{account="sales",region="pampa"} 1`
		assert.Assert(t, strings.HasPrefix(e.metric(t, "guarantee_uncovered"), uncovered))
		e.kill()
		assert.Assert(t, strings.HasPrefix(e.metric(t, "guarantee_uncovered"), covered))
	})
}

// TestWaitingIsRecordedOnChange guards against a wait reason that is recorded in
// every report, or never.
func TestWaitingIsRecordedOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		e := cl.addEntry("a")
		time.Sleep(5 * time.Second)
		cl.submit(e, "huge", "stock", 25)
		for i := range 3 {
			cl.submit(e, fmt.Sprint("j", i), "stock", 24)
		}
		time.Sleep(settleTime)
		reasons := make(map[string][]string)
		for _, ev := range e.history("") {
			if ev.Kind == chestnutpond.EventWaiting {
				reasons[string(ev.Job)] = append(reasons[string(ev.Job)], ev.Detail)
			}
		}
		assert.DeepEqual(t, reasons["huge"], []string{"no worker, rack or zone that is up can hold its shape"})
		waited := 0
		for i := range 3 {
			list := reasons[fmt.Sprint("j", i)]
			for n, reason := range list {
				assert.Assert(t, n == 0 || reason != list[n-1], list)
			}
			waited += len(list)
		}
		assert.Assert(t, waited >= 1 && waited <= 6, reasons)
	})
}

// TestEjectionIsRecorded guards against an ejection without an event.
func TestEjectionIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		cl.failingWorkers = map[string]bool{"w0": true}
		e := cl.addEntry("a")
		time.Sleep(5 * time.Second)
		for i := range 24 {
			cl.submit(e, fmt.Sprint("j", i), "stock", 8)
		}
		time.Sleep(settleTime)
		var ejected []chestnutpond.Event
		for _, ev := range e.history("") {
			if ev.Kind == chestnutpond.EventEjected {
				ejected = append(ejected, ev)
			}
		}
		assert.Assert(t, len(ejected) > 0)
		for _, ev := range ejected {
			assert.Equal(t, ev.Upstream, "w0")
			assert.Assert(t, strings.HasSuffix(e.causeChain(ev), " stopped,  ejected"), e.causeChain(ev))
		}
		for i := range 24 {
			assert.Equal(t, e.state(fmt.Sprint("j", i)), chestnutpond.JobCompleted)
		}
	})
}
