package sched

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
)

// history returns the entry's events of a job, or all for an empty id.
func (e *entry) history(job string) []chestnutpond.Event {
	list, _, _ := e.ring.Newest(events.Filter{Job: chestnutpond.JobID(job)}, 0)
	return list
}

// story returns the kinds of events from the first cause to the event.
func (e *entry) story(last chestnutpond.Event) string {
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

// Guards against a time line in which an event does not tell what led to it: the
// displaced job must lead back to the claim.
func TestEventsNameTheirCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.addEntry("a")
		time.Sleep(5 * time.Second)
		w.submit(e, "b1", "stock", 24)
		w.submit(e, "b2", "stock", 24)
		time.Sleep(500 * time.Millisecond)
		w.submit(e, "claim", "sales", 16)
		time.Sleep(settle)
		stories := make(map[string]bool)
		for _, ev := range e.history("") {
			stories[e.story(ev)] = true
		}
		ended := e.history("claim")
		assert.Equal(t, e.story(ended[len(ended)-1]),
			"claim accepted, claim placed, claim prepared, claim committed, claim started, claim ended")
		displaced := "b1"
		if !stories["claim accepted, b1 reclaimed"] {
			displaced = "b2"
		}
		begin := "claim accepted, " + displaced + " reclaimed, " + displaced + " checkpointed, " + displaced + " stopped"
		assert.Assert(t, stories[begin], stories)
		assert.Assert(t, stories[begin+", "+displaced+" placed"], stories)
		assert.Assert(t, stories[displaced+" accepted, "+displaced+" placed, "+displaced+" borrowed"], stories)
	})
}

// Guards against a reason to wait that is recorded in each round, or never.
func TestWaitingIsRecordedOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.addEntry("a")
		time.Sleep(5 * time.Second)
		w.submit(e, "huge", "stock", 25)
		for i := range 3 {
			w.submit(e, fmt.Sprint("j", i), "stock", 24)
		}
		time.Sleep(settle)
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

// Guards against a worker that is ejected without a trace.
func TestEjectionIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.bad = map[string]bool{"w0": true}
		e := w.addEntry("a")
		time.Sleep(5 * time.Second)
		for i := range 24 {
			w.submit(e, fmt.Sprint("j", i), "stock", 8)
		}
		time.Sleep(settle)
		var ejected []chestnutpond.Event
		for _, ev := range e.history("") {
			if ev.Kind == chestnutpond.EventEjected {
				ejected = append(ejected, ev)
			}
		}
		assert.Assert(t, len(ejected) > 0)
		for _, ev := range ejected {
			assert.Equal(t, ev.Upstream, "w0")
			assert.Assert(t, strings.HasSuffix(e.story(ev), " stopped,  ejected"), e.story(ev))
		}
		for i := range 24 {
			assert.Equal(t, e.state(fmt.Sprint("j", i)), chestnutpond.JobCompleted)
		}
	})
}
