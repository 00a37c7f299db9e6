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

// history is one request with its outcome.
type history struct {
	request Request
	result  Result
}

// TestRandomFaults guards against any mix of faults that makes a non-idempotent
// request run twice, calls a request that ran "not run", or hands a caller
// another's answer. The faults hit calls to agents, agents restart, the log
// service fails, and entries lose sight of each other, at random times.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, seed))
				w := newWorld(newAgent("a"), newAgent("b"), newAgent("c"))
				for _, a := range w.agents {
					a.random = rand.New(rand.NewPCG(seed, uint64(a.name[0])))
				}
				log := stand.NewLog("s")
				entries := []*Server{w.addEntry(t, "one", log), w.addEntry(t, "two", log), w.addEntry(t, "three", log)}
				all := w.load(t, rnd, log, entries)
				time.Sleep(2 * time.Minute)
				w.check(t, all)
			})
		})
	}
}

// load sends requests and lets faults come and go meanwhile.
func (w *world) load(t *testing.T, rnd *rand.Rand, log *stand.Log, entries []*Server) []history {
	var mu sync.Mutex
	var all []history
	var open sync.WaitGroup
	for range 80 {
		r := w.draw(rnd)
		e := entries[rnd.IntN(len(entries))]
		open.Go(func() {
			res := e.Do(t.Context(), r)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, history{r, res})
		})
		w.disturb(rnd, log)
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
	}
	open.Wait()
	return all
}

// draw returns a request; its body names the use that must run at most once.
func (w *world) draw(rnd *rand.Rand) Request {
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

func (w *world) disturb(rnd *rand.Rand, log *stand.Log) {
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
		w.mu.Lock()
		w.down[name] = !w.down[name]
		w.mu.Unlock()
	}
}

// check compares the outcomes with what the upstreams ran.
func (w *world) check(t *testing.T, all []history) {
	ran := make(map[string]int)
	for _, a := range w.agents {
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
			assert.Assert(t, keyed || n == 0, "%s was called not run and ran %d times", body, n)
		case chestnutpond.OutcomeAnswered:
			assert.Assert(t, n >= 1, "%s was answered and did not run", body)
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
