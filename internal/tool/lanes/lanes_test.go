package lanes

import (
	"encoding/xml"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

// TestMain fixes the seed of the property test, so that every run gives the same
// verdict. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// event returns the event with an id such as e1/1/2, seconds after start.
func event(id string, seconds int, cause string) chestnutpond.Event {
	parts := strings.Split(id, "/")
	e := chestnutpond.Event{
		ID: chestnutpond.EventID(id), Process: parts[0], Kind: chestnutpond.EventStarted, Cause: chestnutpond.EventID(cause),
		At: time.Date(2026, 3, 1, 8, 0, seconds, 0, time.UTC),
	}
	fmt.Sscan(parts[1], &e.Incarnation)
	fmt.Sscan(parts[2], &e.Sequence)
	return e
}

// Guards against an order that a wrong clock decides.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		events []chestnutpond.Event
		want   string
	}{
		"none":                  {nil, ""},
		"clock":                 {[]chestnutpond.Event{event("b/1/1", 2, ""), event("a/1/1", 1, "")}, "a/1/1 b/1/1"},
		"same time":             {[]chestnutpond.Event{event("b/1/1", 1, ""), event("a/1/1", 1, "")}, "a/1/1 b/1/1"},
		"sequence before clock": {[]chestnutpond.Event{event("a/1/2", 1, ""), event("a/1/1", 5, "")}, "a/1/1 a/1/2"},
		"numbers, not texts":    {[]chestnutpond.Event{event("a/1/10", 1, ""), event("a/1/9", 1, "")}, "a/1/9 a/1/10"},
		"incarnation":           {[]chestnutpond.Event{event("a/2/1", 1, ""), event("a/1/7", 9, "")}, "a/1/7 a/2/1"},
		"cause before clock":    {[]chestnutpond.Event{event("b/1/1", 1, "a/1/1"), event("a/1/1", 9, "")}, "a/1/1 b/1/1"},
		"through a process":     {[]chestnutpond.Event{event("c/1/1", 0, "b/1/2"), event("b/1/2", 0, ""), event("b/1/1", 0, "a/1/1"), event("a/1/1", 9, "")}, "a/1/1 b/1/1 b/1/2 c/1/1"},
		"unknown cause":         {[]chestnutpond.Event{event("a/1/1", 1, "z/1/1")}, "a/1/1"},
		"own cause":             {[]chestnutpond.Event{event("a/1/1", 1, "a/1/1")}, "a/1/1"},
		"twice":                 {[]chestnutpond.Event{event("a/1/1", 1, ""), event("a/1/1", 1, "")}, "a/1/1"},
		"circle":                {[]chestnutpond.Event{event("a/1/1", 2, "b/1/1"), event("b/1/1", 1, "a/1/1")}, "b/1/1 a/1/1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, e := range Order(tt.events) {
				got = append(got, string(e.ID))
			}
			assert.Equal(t, strings.Join(got, " "), tt.want)
		})
	}
}

// Guards against an effect before its cause for any clocks.
func TestOrderKeepsCausesAndSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []chestnutpond.Event
		last := map[string]int{}
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
			last[process]++
			cause := ""
			if len(events) > 0 && rapid.Bool().Draw(t, "caused") {
				cause = string(rapid.SampledFrom(events).Draw(t, "cause").ID)
			}
			seconds := rapid.IntRange(0, 9).Draw(t, "clock")
			events = append(events, event(fmt.Sprintf("%s/1/%d", process, last[process]), seconds, cause))
		}
		shuffled := rapid.Permutation(events).Draw(t, "shuffled")
		places := map[chestnutpond.EventID]int{"": -1}
		for i, e := range Order(shuffled) {
			places[e.ID] = i
		}
		assert.Equal(t, len(places), len(events)+1)
		for _, e := range events {
			assert.Assert(t, places[e.Cause] < places[e.ID])
			if e.Sequence > 1 {
				before := chestnutpond.EventID(fmt.Sprintf("%s/1/%d", e.Process, e.Sequence-1))
				assert.Assert(t, places[before] < places[e.ID])
			}
		}
	})
}

func TestWriteText(t *testing.T) {
	long := event("worker-1/1/1", 1, "e1/1/1")
	long.Job, long.Attempt, long.Upstream, long.Account, long.Detail = "j1", 2, "worker-1", "ventas", "8 in\none worker"
	var b strings.Builder
	assert.NilError(t, WriteText(&b, []chestnutpond.Event{event("e1/1/1", 0, ""), long}))
	assert.Equal(t, b.String(), "2026-03-01 08:00:00.000  e1        started\n"+
		"2026-03-01 08:00:01.000  worker-1  started  job=j1 attempt=2 upstream=worker-1 account=ventas 8 in one worker (after e1/1/1)\n")
}

// Guards against a page that needs other files, that runs what an event says, or
// that leaves out events.
func TestWritePage(t *testing.T) {
	tests := map[string]struct{ processes, events int }{
		"none":            {1, 0},
		"few lanes":       {4, 40},
		"500 events":      {13, 500},
		"forty processes": {40, 500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var events []chestnutpond.Event
			cause := ""
			for i := range tt.events {
				e := event(fmt.Sprintf("p%d/1/%d", i%tt.processes, i), 0, cause)
				e.Detail = `<script>alert("x")</script>`
				events = append(events, e)
				cause = string(e.ID)
			}
			var b strings.Builder
			assert.NilError(t, WritePage(&b, "job <j1>", events))
			assert.Equal(t, strings.Count(b.String(), "<circle "), tt.events)
			assert.Equal(t, strings.Count(b.String(), `<path class="arrow"`), max(tt.events-1, 0))
			assert.Equal(t, strings.Count(b.String(), `<line class="lane"`), min(tt.processes, tt.events))
			for _, forbidden := range []string{"<script", "src=", "href=", "url(", "@import", "job <j1>"} {
				assert.Assert(t, !strings.Contains(b.String(), forbidden), forbidden)
			}
			assertWellFormed(t, b.String())
		})
	}
}

// assertWellFormed parses everything from the first svg element on.
func assertWellFormed(t *testing.T, text string) {
	body := text[strings.Index(text, "<body>"):]
	d := xml.NewDecoder(strings.NewReader(strings.TrimSuffix(strings.TrimSpace(body), "</html>")))
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		assert.NilError(t, err)
	}
}
