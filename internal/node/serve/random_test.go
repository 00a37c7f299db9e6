package serve

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

var seeds = flag.Uint64("serve.seeds", 40, "number of seeds of TestRandomFaults, from 1")

// requestRecord is a request with its result.
type requestRecord struct {
	request Request
	result  Result
}

// TestRandomFaults guards against a non-idempotent request that runs twice, a
// request that ran but has the outcome "not run", and an answer that belongs to
// another request, under any mix of faults. At random times, calls to agents fail,
// agents restart, the log service fails, and entries cannot reach each other.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, seed))
				cluster := newFakeCluster(newAgent("a"), newAgent("b"), newAgent("c"))
				for _, a := range cluster.agents {
					a.randomFaults = rand.New(rand.NewPCG(seed, uint64(a.name[0])))
				}
				log := stand.NewLog("s")
				entries := []*Server{cluster.addEntry(t, "one", log), cluster.addEntry(t, "two", log), cluster.addEntry(t, "three", log)}
				all := cluster.runLoad(t, rnd, log, entries)
				time.Sleep(2 * time.Minute)
				cluster.checkResults(t, all)
			})
		})
	}
}

// runLoad sends requests while it injects and removes faults.
func (c *fakeCluster) runLoad(t *testing.T, rnd *rand.Rand, log *stand.Log, entries []*Server) []requestRecord {
	var mu sync.Mutex
	var all []requestRecord
	var open sync.WaitGroup
	for range 80 {
		r := c.randomRequest(rnd)
		e := entries[rnd.IntN(len(entries))]
		open.Go(func() {
			res := e.Do(t.Context(), r)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, requestRecord{r, res})
		})
		c.changeFaults(rnd, log)
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
	}
	open.Wait()
	return all
}

// randomRequest returns a request. Its body identifies what must run at most once
// if the request is not idempotent: the key if there is one, otherwise the request.
func (c *fakeCluster) randomRequest(rnd *rand.Rand) Request {
	kind := order
	if rnd.IntN(4) == 0 {
		kind = price
	}
	key := ""
	if rnd.IntN(3) > 0 {
		key = fmt.Sprint("key-", rnd.IntN(8))
	}
	r := request(kind, key)
	r.Body = []byte(r.ID)
	if key != "" && !kind.Idempotent {
		r.Body = []byte(key)
	}
	return r
}

func (c *fakeCluster) changeFaults(rnd *rand.Rand, log *stand.Log) {
	switch rnd.IntN(12) {
	case 0:
		log.SetFaults(stand.LogFaults{Outage: true})
	case 1:
		log.SetFaults(stand.LogFaults{LoseAnswers: 1 + rnd.IntN(3)})
	case 2:
		log.SetFaults(stand.LogFaults{Delay: stand.Duration(rnd.IntN(2000)) * stand.Duration(time.Millisecond)})
	case 3, 4, 5:
		log.SetFaults(stand.LogFaults{})
	case 6:
		name := []string{"one", "two", "three"}[rnd.IntN(3)]
		c.mu.Lock()
		c.unreachable[name] = !c.unreachable[name]
		c.mu.Unlock()
	}
}

// checkResults checks the outcomes against the executions at the upstreams.
func (c *fakeCluster) checkResults(t *testing.T, all []requestRecord) {
	ran := make(map[string]int)
	for _, a := range c.agents {
		for body, n := range a.bodies {
			ran[body] += n
		}
	}
	answers := make(map[string]string)
	for _, h := range all {
		body := string(h.request.Body)
		n := ran[body]
		keyed := h.request.Key != "" && !h.request.Kind.Idempotent
		if !h.request.Kind.Idempotent {
			assert.Assert(t, n <= 1, "non-idempotent %s ran %d times", body, n)
		}
		switch h.result.Outcome {
		case chestnutpond.OutcomeNotRun:
			assert.Assert(t, keyed || n == 0, "%s has the outcome not run, but ran %d times", body, n)
		case chestnutpond.OutcomeAnswered:
			assert.Assert(t, n >= 1, "%s was answered, but did not run", body)
			got := string(h.result.Answer.Body)
			if !keyed {
				assert.Equal(t, got, "answer to "+h.request.ID)
				continue
			}
			first, seen := answers[body]
			assert.Assert(t, !seen || first == got, "two answers for %s", body)
			answers[body] = got
		}
	}
}
