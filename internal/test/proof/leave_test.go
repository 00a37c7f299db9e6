package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against work for an upstream that leaves: 3 s later it gets no request
// and no task from any zone, and every entry knows that it leaves; also when the
// regions are cut from each other, and come together while it still leaves.
func TestLeavingUpstream(t *testing.T) {
	for name, cut := range map[string]bool{"whole": false, "region cut": true} {
		t.Run(name, func(t *testing.T) {
			f := startCuttable(t)
			rng := seeded(t)
			var leaving []int
			for zone := range entryCount {
				leaving = append(leaving, zone*rackSize+rng.IntN(rackSize))
			}
			if cut {
				for _, l := range f.regionLinks() {
					l.silence(t)
				}
				until(t, "regions know only themselves", func() string { return f.partsUp(t) })
			}
			open := f.openRequests()
			until(t, "a request runs on each that leaves", func() string {
				for _, i := range leaving {
					if f.platform.executionsOn(t, i) == 0 {
						return f.agents[i].name
					}
				}
				return ""
			})
			requests := f.startLoad(t)
			begin := time.Now()
			for _, i := range leaving {
				f.agents[i].process.signal(terminate)
			}
			hold(t, begin, leavingBound)
			before := f.checkLeaving(t, leaving)
			if cut {
				for _, l := range f.regionLinks() {
					l.heal(t)
				}
			}
			var jobs []chestnutpond.JobID
			for i := range 2 {
				jobs = append(jobs, f.entries[0].submit(t, fmt.Sprintf("job-%d", i), gangSize, `{"run": "1s"}`))
			}
			for _, i := range leaving {
				f.agents[i].process.wait(t)
				assert.Check(t, f.agents[i].process.err)
				t.Logf("%s ended after %s", f.agents[i].name, time.Since(begin))
			}
			assert.DeepEqual(t, f.checkLeaving(t, leaving), before)
			f.checkRunsAndJobs(t, f.entries[0], jobs...)
			requests.checkAnswered(t, f, silentBound+requestWork)
			assertOutcomes(t, open.wait(), chestnutpond.OutcomeAnswered)
			for _, r := range f.platform.runs(t) {
				for _, i := range leaving {
					assert.Check(t, r.Worker != fmt.Sprint(i), "%s ran on %s", r.Task, f.agents[i].name)
				}
			}
		})
	}
}

// checkLeaving requires that no entry takes the upstreams for usable, and returns
// how many requests each has executed.
func (f *fleet) checkLeaving(t *testing.T, leaving []int) []int {
	t.Helper()
	for _, e := range f.entries {
		states := e.upstreamStates(t)
		for _, i := range leaving {
			assert.Check(t, states[f.agents[i].name] != "up", "%s at %s", f.agents[i].name, e.name)
		}
	}
	var counts []int
	for _, i := range leaving {
		counts = append(counts, f.platform.executionsOn(t, i))
	}
	return counts
}

// partsUp says which upstream an entry sees wrongly while the regions are cut.
func (f *fleet) partsUp(t *testing.T) string {
	t.Helper()
	for _, e := range f.entries {
		states := e.upstreamStates(t)
		for _, a := range f.agents {
			if up := states[a.name] == "up"; up != (a.place.region == e.place.region) {
				return fmt.Sprintf("%s at %s is %s", a.name, e.name, states[a.name])
			}
		}
	}
	return ""
}

// openRequests are requests that run for long.
type openRequests struct {
	running sync.WaitGroup
	seen    []caller
}

// openRequests sends enough requests to every entry that its zone's upstreams
// have some each.
func (f *fleet) openRequests() *openRequests {
	var calls []func() caller
	for i, e := range f.entries {
		for j := range 4 * rackSize {
			calls = append(calls, func() caller {
				return e.request("reorder", fmt.Sprintf(`{"work": "9s", "name": "open %d of %d"}`, j, i), "")
			})
		}
	}
	o := &openRequests{}
	o.running.Go(func() { o.seen = together(calls...) })
	return o
}

func (o *openRequests) wait() []caller {
	o.running.Wait()
	return o.seen
}
