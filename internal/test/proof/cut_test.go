package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
)

// Bounds of the design page.
const (
	// configBound is invariant 8, which counts from the end of a cut.
	configBound = 13 * time.Second
	// leavingBound is invariant 6.
	leavingBound = 3 * time.Second
	// startBound is the urgent start.
	startBound = 2 * time.Second
	// silentBound is section 10, "silent connection".
	silentBound = 2600 * time.Millisecond
	// regionCut is longer than isolation_limit, after which an agent stops its
	// tasks unless an entry answers it, and shorter than vouch_limit.
	regionCut = 24 * time.Second
	// shortCut is longer than peer_lost, after which the other region claims the
	// term of the far one.
	shortCut = 8 * time.Second
)

// seeded returns the random choices of one test; it prints their seed.
func seeded(t *testing.T) *rand.Rand {
	t.Helper()
	t.Logf("seed %d", *chaosSeed)
	return rand.New(rand.NewPCG(*chaosSeed, uint64(len(t.Name()))))
}

// timed is a request with the time that its caller waited.
type timed struct {
	caller

	entry string
	begin time.Time
	took  time.Duration
}

// load sends requests to every entry until it is ended.
type load struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu   sync.Mutex
	seen []timed
}

// requestWork is what the upstream does for a request of a load.
const requestWork = 100 * time.Millisecond

func (f *fleet) startLoad(t *testing.T) *load {
	l := &load{stop: make(chan struct{})}
	for _, e := range f.entries {
		for _, kind := range []string{"price_list", "reorder"} {
			l.running.Go(func() { l.call(e, kind) })
		}
	}
	t.Cleanup(func() { l.end() })
	return l
}

func (l *load) call(e *node, kind string) {
	pace := time.NewTicker(2 * callerPace)
	defer pace.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-pace.C:
		}
		one := timed{entry: e.name, begin: time.Now()}
		one.caller = e.request(kind, fmt.Sprintf(`{"work": %q, "name": "%s %s %d"}`, requestWork, e.name, kind, n), "")
		one.took = time.Since(one.begin)
		l.mu.Lock()
		l.seen = append(l.seen, one)
		l.mu.Unlock()
	}
}

// end stops the callers and returns what they saw.
func (l *load) end() []timed {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.running.Wait()
	return l.seen
}

// checkAnswered ends the load; all its requests must have been answered within
// the bound, each by its own answer.
func (l *load) checkAnswered(t *testing.T, f *fleet, bound time.Duration) {
	t.Helper()
	var callers []caller
	slowest := time.Duration(0)
	for _, one := range l.end() {
		callers = append(callers, one.caller)
		slowest = max(slowest, one.took)
		assert.Check(t, one.Outcome == chestnutpond.OutcomeAnswered && one.took < bound,
			"request at %s, %s: %s after %s", one.entry, one.begin.Format(clock), one.Outcome, one.took)
	}
	t.Logf("%d requests, the slowest took %s", len(callers), slowest)
	assert.Check(t, len(callers) > 0)
	assert.Check(t, check.Requests(callers, f.platform.executions(t)))
}

// within waits for a condition and requires that it comes in time.
func within(t *testing.T, what string, bound time.Duration, missing func() string) {
	t.Helper()
	begin := time.Now()
	until(t, what, missing)
	t.Logf("%s after %s", what, time.Since(begin))
	assert.Check(t, time.Since(begin) < bound, "%s after %s, allowed are %s", what, time.Since(begin), bound)
}

// hold waits until a fault has lasted for d.
func hold(t *testing.T, since time.Time, d time.Duration) {
	t.Helper()
	until(t, "time of the fault", func() string {
		if left := d - time.Since(since); left > 0 {
			return left.String()
		}
		return ""
	})
}

// regionLinks are the links that a cut between the regions takes: the inner ones
// and the path of the far entry to the log service.
func (f *fleet) regionLinks() []*link {
	inner := f.fabric.between(func(from, to *node) bool { return from.place.region != to.place.region })
	return append(inner, f.toLog[entryCount-1])
}

// upstreamStates returns the states of the upstreams by name, as an entry sees them.
func (n *node) upstreamStates(t *testing.T) map[string]string {
	t.Helper()
	states := map[string]string{}
	for _, u := range n.status(t).Upstreams {
		states[u.Name] = u.State
	}
	return states
}

// allUp says which upstream an entry does not see up.
func (f *fleet) allUp(t *testing.T) string {
	t.Helper()
	for _, e := range f.entries {
		states := e.upstreamStates(t)
		for _, a := range f.agents {
			if states[a.name] != "up" {
				return fmt.Sprintf("%s at %s is %s", a.name, e.name, states[a.name])
			}
		}
	}
	return ""
}

// startOf returns when the last attempt of a job began to run.
func (f *fleet) startOf(t *testing.T, job chestnutpond.JobID) time.Time {
	t.Helper()
	var last check.Attempt
	var start time.Time
	for _, r := range f.platform.runs(t) {
		key, _, err := check.SplitTask(r.Task)
		assert.NilError(t, err)
		if key.Job == string(job) && key.Number > last.Number {
			last, start = key, r.Start
		}
	}
	return start
}

// Guards against a region that stands still, a gang that is torn or stopped, and
// a side that stays behind, when the link between the regions is cut with the
// far region's way to the log.
func TestRegionCut(t *testing.T) {
	cuts := map[string]struct {
		begin, end func(t *testing.T, l *link)
		length     time.Duration
	}{
		"closed": {func(_ *testing.T, l *link) { l.cut() }, func(t *testing.T, l *link) { l.restore(t) }, shortCut},
		"silent": {func(t *testing.T, l *link) { l.silence(t) }, func(t *testing.T, l *link) { l.heal(t) }, regionCut},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := startCuttable(t)
			length := cut.length + time.Duration(seeded(t).IntN(4000))*time.Millisecond
			near, far := f.entries[0], f.entries[entryCount-1]
			payload := fmt.Sprintf(`{"run": %q}`, length+2*time.Second)
			jobs := []chestnutpond.JobID{
				near.submit(t, "near", gangSize, payload), far.submitIn(t, "cuyo", accountToken, "far", gangSize, payload),
			}
			attempts := map[chestnutpond.JobID]int{}
			for _, id := range jobs {
				attempts[id] = near.waitJob(t, id, chestnutpond.JobRunning).Attempt
			}
			requests := f.startLoad(t)
			for _, l := range f.regionLinks() {
				cut.begin(t, l)
			}
			begin := time.Now()
			p := near.publish(t, "during", 1, serviceDocument(2))
			assert.Equal(t, p.Outcome, chestnutpond.OutcomePublished)
			during := near.submit(t, "during", gangSize, `{"run": "1s"}`)
			near.waitJob(t, during, chestnutpond.JobCompleted)
			hold(t, begin, length)
			assert.Equal(t, far.status(t).ConfigVersion, int64(1), "the cut lets records through")
			requests.checkAnswered(t, f, silentBound+requestWork)

			for _, l := range f.regionLinks() {
				cut.end(t, l)
			}
			healed := time.Now()
			within(t, "rows of both regions", configBound, func() string { return f.allUp(t) })
			f.waitVersion(t, near, 2)
			assert.Check(t, time.Since(healed) < configBound, "in force %s after the cut", time.Since(healed))
			submitted := time.Now()
			after := far.submitIn(t, "cuyo", accountToken, "after", 8, `{"run": "1s"}`)
			f.checkRunsAndJobs(t, near, append(jobs, during, after)...)
			took := f.startOf(t, after).Sub(submitted)
			assert.Check(t, took < startBound, "started after %s", took)
			for _, id := range jobs {
				assert.Check(t, near.job(t, id).Attempt == attempts[id], "%s was restarted", id)
			}
		})
	}
}
