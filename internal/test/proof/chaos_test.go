package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
)

const callerPace = 25 * time.Millisecond

// A soak takes more steps, about 4 s each, or other seeds.
var (
	chaosSeed  = flag.Uint64("proof.seed", 7, "seed of TestRandomFaults")
	chaosSteps = flag.Int("proof.steps", 10, "steps of two faults in TestRandomFaults")
)

// chaos is a run of random faults under load.
type chaos struct {
	f   *fleet
	rng *rand.Rand
	// stop ends the callers.
	stop    chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	callers []caller
	jobs    []chestnutpond.JobID
}

// fault is begun, held for some seconds and ended.
type fault struct {
	name       string
	begin, end func(t *testing.T)
}

// faults returns the faults of one step; each picks its target once.
func (c *chaos) faults() []fault {
	i, j := c.rng.IntN(entryCount), c.rng.IntN(agentCount)
	entry, agent, path := c.f.entries[i], c.f.agents[j], c.f.toLog[i]
	plain := func(act func()) func(*testing.T) { return func(*testing.T) { act() } }
	logSwitch := func(switches string) func(*testing.T) {
		return func(t *testing.T) { control(t, c.f.platform.log, switches) }
	}
	return []fault{
		{"kill " + entry.name, entry.process.kill, entry.start},
		{"kill " + agent.name, agent.process.kill, agent.start},
		{"pause " + entry.name, entry.process.pause, plain(entry.process.resume)},
		{"pause " + agent.name, agent.process.pause, plain(agent.process.resume)},
		{"silent log at " + entry.name, path.silence, path.heal},
		{"cut log at " + entry.name, plain(path.cut), path.restore},
		{"outage of the log", logSwitch(`{"outage": true}`), logSwitch(`{"outage": false}`)},
		{"lost answers", logSwitch(`{"lose_answers": 6}`), logSwitch(`{"lose_answers": 0}`)},
		{"late answers", logSwitch(`{"answer_delay": "3s"}`), logSwitch(`{"answer_delay": "0s"}`)},
		{"slow log", logSwitch(`{"delay": "700ms"}`), logSwitch(`{"delay": "0s"}`)},
	}
}

// call sends requests until the run stops. Some keys go to two entries at once.
func (c *chaos) call(number int, rng *rand.Rand) {
	pace := time.NewTicker(callerPace)
	defer pace.Stop()
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-pace.C:
		}
		body := fmt.Sprintf(`{"work": "%dms", "name": "%d of %d"}`, rng.IntN(80), n, number)
		kind, key := "price_list", ""
		entries := []*node{c.f.entries[rng.IntN(entryCount)]}
		if rng.IntN(2) == 0 {
			kind = "reorder"
		}
		if kind == "reorder" && rng.IntN(2) == 0 {
			key = fmt.Sprintf("key-%d-%d", number, n)
			entries = append(entries, c.f.entries[rng.IntN(entryCount)])
		}
		var calls []func() caller
		for _, e := range entries {
			calls = append(calls, func() caller { return e.request(kind, body, key) })
		}
		seen := together(calls...)
		c.mu.Lock()
		c.callers = append(c.callers, seen...)
		c.mu.Unlock()
	}
}

// submit sends a job to one entry after the other until one accepts it.
func (c *chaos) submit(key string, accelerators int, payload string) {
	for begin, i := time.Now(), 0; time.Since(begin) < patience; i++ {
		r, err := c.f.entries[i%entryCount].submitOnce(accountToken, key, accelerators, payload)
		if err != nil || r.outcome() != chestnutpond.OutcomeAccepted {
			time.Sleep(pollEvery)
			continue
		}
		c.mu.Lock()
		c.jobs = append(c.jobs, idOf(r))
		c.mu.Unlock()
		return
	}
}

// Guards against combinations of faults that no single test has: random ones
// under load, two at a time, with everything in force and complete at the end.
func TestRandomFaults(t *testing.T) {
	t.Logf("seed %d", *chaosSeed)
	c := &chaos{f: startFleet(t), rng: rand.New(rand.NewPCG(*chaosSeed, 1)), stop: make(chan struct{})}
	for i := range 6 {
		rng := rand.New(rand.NewPCG(*chaosSeed, uint64(i+2)))
		c.running.Go(func() { c.call(i, rng) })
	}
	var history []publication
	texts := map[string]string{}
	for step := range *chaosSteps {
		size, run := 8*(1+c.rng.IntN(rackSize)), 1+c.rng.IntN(4)
		c.running.Go(func() { c.submit(fmt.Sprintf("job-%d", step), size, fmt.Sprintf(`{"run": "%ds"}`, run)) })
		history = append(history, c.step(t, step, texts))
	}
	until(t, "acceptance of all jobs", func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		if open := *chaosSteps - len(c.jobs); open > 0 {
			return fmt.Sprintf("%d open", open)
		}
		return ""
	})
	close(c.stop)
	c.running.Wait()
	c.verify(t, history, texts)
}

// step holds two faults for some seconds and publishes a document meanwhile.
func (c *chaos) step(t *testing.T, step int, texts map[string]string) publication {
	t.Helper()
	all := c.faults()
	first := all[c.rng.IntN(len(all))]
	all = slices.DeleteFunc(c.faults(), func(f fault) bool { return f.name == first.name })
	second := all[c.rng.IntN(len(all))]
	hold := time.Duration(500+c.rng.IntN(6500)) * time.Millisecond
	publisher := c.f.entries[c.rng.IntN(entryCount)]
	t.Logf("step %d: %s and %s for %s", step, first.name, second.name, hold)
	base := int64(0)
	for _, e := range c.f.entries {
		base = max(base, e.status(t).ConfigVersion)
	}
	first.begin(t)
	second.begin(t)
	begin := time.Now()
	id := fmt.Sprintf("step-%d", step)
	texts[id] = serviceDocument(10 + step)
	seen := make(chan publication, 1)
	go func() { seen <- publisher.publish(t, id, base, texts[id]) }()
	until(t, "time of the faults", func() string {
		if left := hold - time.Since(begin); left > 0 {
			return left.String()
		}
		return ""
	})
	first.end(t)
	second.end(t)
	for _, n := range c.f.nodes() {
		until(t, n.name+" ready after the faults", func() string { return get(n.http, "/readyz") })
	}
	return <-seen
}

// verify waits for rest and applies all checkers.
func (c *chaos) verify(t *testing.T, history []publication, texts map[string]string) {
	t.Helper()
	observer := c.f.entries[0]
	newest := int64(0)
	for _, e := range c.f.entries {
		newest = max(newest, e.status(t).ConfigVersion)
	}
	c.f.waitVersion(t, observer, newest)
	for _, e := range c.f.entries {
		final := document{Version: e.status(t).ConfigVersion}
		text := e.document(t)
		for id := range texts {
			if texts[id] == text {
				final.ID = id
			}
		}
		if final.Version == 1 {
			final.ID = ""
		}
		assert.Check(t, check.Publications(1, history, final))
	}
	c.f.checkRunsAndJobs(t, observer, c.jobs...)
	assert.Check(t, check.Requests(c.callers, c.f.platform.executions(t)))
	counts := map[chestnutpond.Outcome]int{}
	for _, seen := range c.callers {
		counts[seen.Outcome]++
	}
	t.Logf("requests by outcome: %v", counts)
	assert.Check(t, counts[chestnutpond.OutcomeAnswered] > 0)
}
