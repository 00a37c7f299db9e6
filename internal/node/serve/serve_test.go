package serve

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// TestTransportFaults guards against a non-idempotent request that runs twice, a
// request that ran but has the outcome "not run", and an answer that belongs to
// another request.
func TestTransportFaults(t *testing.T) {
	tests := map[string]struct {
		faults []fault
		kind   chestnutpond.Kind
		want   chestnutpond.Outcome
		runs   int
	}{
		"no fault":                          {nil, order, chestnutpond.OutcomeAnswered, 1},
		"cut before, non-idempotent":        {[]fault{faultBefore}, order, chestnutpond.OutcomeAnswered, 1},
		"cut before, idempotent":            {[]fault{faultBefore}, price, chestnutpond.OutcomeAnswered, 1},
		"cut after, non-idempotent":         {[]fault{faultAfter}, order, chestnutpond.OutcomeAnswered, 1},
		"cut after, idempotent":             {[]fault{faultAfter}, price, chestnutpond.OutcomeAnswered, 1},
		"silent, non-idempotent":            {[]fault{faultSilent}, order, chestnutpond.OutcomeAnswered, 1},
		"swapped answer":                    {[]fault{faultWrongReply}, order, chestnutpond.OutcomeAnswered, 1},
		"corrupt answer":                    {[]fault{faultCorrupt}, order, chestnutpond.OutcomeAnswered, 1},
		"refused, non-idempotent":           {[]fault{faultRefused}, order, chestnutpond.OutcomeAnswered, 1},
		"agent restarted, non-idempotent":   {[]fault{faultRestart}, order, chestnutpond.OutcomeUnknown, 1},
		"agent replaced, row behind":        {[]fault{faultReplaced}, order, chestnutpond.OutcomeUnknown, 1},
		"agent restarted, idempotent":       {[]fault{faultRestart}, price, chestnutpond.OutcomeAnswered, 2},
		"two faults, cut before and after":  {[]fault{faultBefore, faultAfter}, order, chestnutpond.OutcomeAnswered, 1},
		"two faults, refused and swapped":   {[]fault{faultRefused, faultWrongReply}, order, chestnutpond.OutcomeAnswered, 1},
		"two faults, refused and restarted": {[]fault{faultRefused, faultRestart}, order, chestnutpond.OutcomeUnknown, 1},
		"refused four times":                {slices.Repeat([]fault{faultRefused}, 4), order, chestnutpond.OutcomeAnswered, 1},
		"refused until the deadline":        {slices.Repeat([]fault{faultRefused}, 10000), order, chestnutpond.OutcomeNotRun, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				cluster := newFakeCluster(newAgent("a", tc.faults...))
				s := cluster.addEntry(t, "entry", stand.NewLog("s"))
				r := request(tc.kind, "")
				res := s.Do(ctx, r)
				time.Sleep(time.Minute)
				assert.Equal(t, res.Outcome, tc.want, "detail %s", res.Detail)
				assert.Equal(t, cluster.runs(r.ID), tc.runs)
				if res.Outcome == chestnutpond.OutcomeAnswered {
					assert.Equal(t, string(res.Answer.Body), "answer to "+r.ID)
				}
				assert.Equal(t, s.OpenRequests(), 0)
			})
		})
	}
}

// TestRepeatedKey guards against a non-idempotent request that runs again, under
// faults, when its caller repeats it at another entry.
func TestRepeatedKey(t *testing.T) {
	tests := map[string]struct {
		faults []fault
		// down makes the first entry unreachable before the repeat.
		down bool
		log  stand.LogFaults
		// refusing is how long the agent refuses all requests.
		refusing time.Duration
		first    chestnutpond.Outcome
		second   chestnutpond.Outcome
		runs     int
	}{
		"answered":                    {first: "answered", second: "answered", runs: 1},
		"owner is gone":               {down: true, first: "answered", second: "unknown", runs: 1},
		"answer lost":                 {faults: []fault{faultAfter}, first: "answered", second: "answered", runs: 1},
		"agent restarted":             {faults: []fault{faultRestart}, first: "unknown", second: "unknown", runs: 1},
		"log down":                    {log: stand.LogFaults{Outage: true}, first: "not_run", second: "not_run"},
		"log loses one answer":        {log: stand.LogFaults{LoseAnswers: 1}, first: "answered", second: "answered", runs: 1},
		"log loses all answers":       {log: stand.LogFaults{LoseAnswers: -1}, first: "not_run", second: "not_run"},
		"answer lost, owner is gone":  {faults: []fault{faultAfter}, down: true, first: "answered", second: "unknown", runs: 1},
		"agent and owner are gone":    {faults: []fault{faultRestart}, down: true, first: "unknown", second: "unknown", runs: 1},
		"not run, then run elsewhere": {refusing: 5500 * time.Millisecond, first: "not_run", second: "answered", runs: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				log := stand.NewLog("s")
				cluster := newFakeCluster(newAgent("a", tc.faults...))
				one := cluster.addEntry(t, "one", log)
				two := cluster.addEntry(t, "two", log)
				log.SetFaults(tc.log)
				if tc.log.Outage {
					time.Sleep(10 * time.Second)
				}
				cluster.agents["a"].refuseUntil = time.Now().Add(tc.refusing)
				first := one.Do(ctx, request(order, "key"))
				time.Sleep(time.Second)
				cluster.mu.Lock()
				cluster.unreachable["one"] = tc.down
				cluster.mu.Unlock()
				second := two.Do(ctx, request(order, "key"))
				time.Sleep(time.Minute)
				assert.Equal(t, first.Outcome, tc.first, "first: %s", first.Detail)
				assert.Equal(t, second.Outcome, tc.second, "second: %s", second.Detail)
				assert.Equal(t, cluster.totalRuns(), tc.runs)
				if first.Outcome == chestnutpond.OutcomeAnswered && second.Outcome == chestnutpond.OutcomeAnswered {
					assert.Equal(t, string(second.Answer.Body), string(first.Answer.Body))
				}
			})
		})
	}
}

// TestKeyInParallel guards against two entries that send the same key at the
// same time.
func TestKeyInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		log := stand.NewLog("s")
		agent := newAgent("a")
		agent.latency = 300 * time.Millisecond
		cluster := newFakeCluster(agent)
		entries := []*Server{cluster.addEntry(t, "one", log), cluster.addEntry(t, "two", log), cluster.addEntry(t, "three", log)}
		var mu sync.Mutex
		var bodies []string
		var all sync.WaitGroup
		for i := range 12 {
			all.Go(func() {
				res := entries[i%3].Do(ctx, request(order, "key"))
				mu.Lock()
				defer mu.Unlock()
				bodies = append(bodies, string(res.Outcome)+string(res.Answer.Body))
			})
		}
		all.Wait()
		assert.Equal(t, cluster.totalRuns(), 1)
		for _, b := range bodies {
			assert.Equal(t, b, bodies[0])
		}
	})
}

// TestDrain guards against a drain that interrupts a request in progress.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		agent := newAgent("a")
		agent.latency = 3 * time.Second
		cluster := newFakeCluster(agent)
		s := cluster.addEntry(t, "entry", stand.NewLog("s"))
		results := make(chan Result, 20)
		for range 20 {
			go func() { results <- s.Do(ctx, request(price, "")) }()
		}
		time.Sleep(time.Second)
		s.Drain(ctx)
		refused := s.Do(ctx, request(price, ""))
		assert.Equal(t, refused.Outcome, chestnutpond.OutcomeNotRun)
		answered := 0
		for range 20 {
			if res := <-results; res.Outcome == chestnutpond.OutcomeAnswered {
				answered++
			} else {
				assert.Equal(t, res.Outcome, chestnutpond.OutcomeNotRun)
			}
		}
		assert.Assert(t, answered >= 8, "answered %d", answered)
		assert.Equal(t, cluster.totalRuns(), answered)
	})
}
