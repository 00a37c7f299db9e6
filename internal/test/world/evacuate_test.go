package world

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// evacuationDelay is how long starts are tolerated after a request, and fresh how soon a
// request is known everywhere while nothing is wrong.
const (
	evacuationDelay = 5 * time.Second
	fresh           = time.Second
)

// evacuationWorld plays a test with two zones of two workers each, where jobs of a task come
// all the time.
func evacuationWorld(t *testing.T, test func(t *testing.T, w *World)) {
	set := func(c *Config) { c.Zones, c.EvacuationDelay = 2, evacuationDelay }
	playWith(t, 400*time.Millisecond, set, test)
}

// submitFor submits a job of eight tasks every 100 ms, more than one zone can run, at the first
// entry that reaches the store.
func (w *World) submitFor(d time.Duration, first int) {
	for n := range int(d / (100 * time.Millisecond)) {
		for _, e := range w.Entries {
			if e.Ready() && e.Node().Direct() {
				e.Submit(fmt.Sprintf("%016x", first+n), tasks(8))
				break
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// lastStart returns when a run was last started in the zone.
func (w *World) lastStart(zone string) time.Time {
	var last time.Time
	for _, a := range w.Agents {
		if start := a.Worker.LastStart(); a.Worker.Info().Zone == zone && start.After(last) {
			last = start
		}
	}
	return last
}

// Guards against starts in a zone after its evacuation was requested: while all is well, when
// the leader is killed or frozen right after, when all processes are replaced, when the store
// has forgotten its history, and when agents are cut off from the leader.
func TestEvacuation(t *testing.T) {
	cases := map[string]struct {
		fault func(w *World)
		// within is how long after the request a run may start.
		within time.Duration
	}{
		"no fault":      {func(*World) {}, fresh},
		"leader killed": {func(w *World) { w.Leader().Kill() }, evacuationDelay},
		"leader frozen": {func(w *World) {
			l := w.Leader()
			l.CutOff()
			l.Way.SetSilent(true)
		}, evacuationDelay},
		"all processes replaced": {func(w *World) {
			for _, e := range w.Entries {
				e.Kill()
			}
			for _, a := range w.Agents {
				a.Kill()
			}
			w.Store.Trim(chestnutpond.TopicDesired)
			w.Store.Trim(chestnutpond.TopicWork)
			for _, e := range w.Entries {
				e.Start()
			}
			for _, a := range w.Agents {
				a.Start()
			}
		}, evacuationDelay},
		"agents of the zone cut off": {func(w *World) {
			w.Agents[0].CutOff()
			time.Sleep(2 * time.Second)
			w.Agents[0].Heal()
		}, evacuationDelay},
		"store slow":  {func(w *World) { w.Store.SetDelay(300 * time.Millisecond) }, evacuationDelay},
		"store limps": {func(w *World) { w.Leader().Way.LoseNext(6, 0) }, evacuationDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			evacuationWorld(t, func(t *testing.T, w *World) {
				w.submitFor(time.Second, 1)
				assert.Assert(t, !w.lastStart("zone-1").IsZero(), "the zone is in use before")
				w.SetEvacuated("zone-1", true)
				requested := time.Now()
				c.fault(w)
				w.submitFor(12*time.Second, 1000)
				late := w.lastStart("zone-1").Sub(requested)
				assert.Assert(t, late <= c.within, "run started %s after the request", late)
				assert.Assert(t, time.Since(w.lastStart("zone-2")) < 4*time.Second, "the other zone is not in use")
				w.Store.SetDelay(5 * time.Millisecond)
				w.SetEvacuated("zone-1", false)
				revoked := time.Now()
				w.submitFor(4*time.Second, 3000)
				assert.Assert(t, w.lastStart("zone-1").After(revoked), "the zone is not used again")
			})
		})
	}
}

// Guards against a leader that follows the jobs but not the requests of the operators.
func TestStaleOperatorsHoldStarts(t *testing.T) {
	evacuationWorld(t, func(t *testing.T, w *World) {
		w.Store.SetUnreadable(chestnutpond.TopicDesired)
		time.Sleep(evacuationDelay)
		began := time.Now()
		w.submitFor(3*time.Second, 1)
		for _, zone := range []string{"zone-1", "zone-2"} {
			assert.Assert(t, !w.lastStart(zone).After(began), "run started in %s", zone)
		}
		w.Store.SetUnreadable("")
		assert.Assert(t, w.Until(4*time.Second, func() bool { return w.lastStart("zone-1").After(began) }))
	})
}

// Guards against an evacuation that the status of an entry does not show, and one that it
// shows after the undo.
func TestEvacuationInStatus(t *testing.T) {
	set := func(c *Config) {
		c.Zones, c.EvacuationDelay = 2, evacuationDelay
		withTokens(c)
	}
	playWith(t, time.Second, set, func(t *testing.T, w *World) {
		shown := func(e *Entry) string {
			_, list, found := strings.Cut(e.rest(t, "GET", "/v1/status", salesToken, "", "").text, `"evacuations":`)
			assert.Assert(t, found)
			return list
		}
		w.SetEvacuated("zone-1", true)
		time.Sleep(evacuationDelay)
		for _, e := range w.Entries {
			assert.Assert(t, strings.HasPrefix(shown(e), `[{"zone":"zone-1","offset":`), shown(e))
			assert.Equal(t, strings.Contains(shown(e), `"jobs":0`), e == w.Leader(), shown(e))
		}
		w.SetEvacuated("zone-1", false)
		time.Sleep(evacuationDelay)
		for _, e := range w.Entries {
			assert.Assert(t, strings.HasPrefix(shown(e), "[]"), shown(e))
		}
	})
}
