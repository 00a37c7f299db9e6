package world

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// kindOfLoad is a kind of job of a load, modelled on deployment A.
type kindOfLoad struct {
	name     string
	priority int
	step     chestnutpond.Step
	work     time.Duration
	target   time.Duration
}

var kindsOfLoad = []kindOfLoad{
	{"urgent", 0, chestnutpond.Step{Count: 2, Need: chestnutpond.Resources{CPU: 7500, Memory: 16000, Accelerators: 8}, Gang: true}, 2500 * time.Millisecond, 400 * time.Millisecond},
	{"standard", 1, chestnutpond.Step{Count: 3, Need: chestnutpond.Resources{CPU: 26000, Memory: 16000, Accelerators: 2}}, 6 * time.Second, 1200 * time.Millisecond},
	{"bulk", 2, chestnutpond.Step{Count: 16, Need: chestnutpond.Resources{CPU: 5600, Memory: 8000, Accelerators: 1}}, 5 * time.Second, 3 * time.Second},
}

const loadStretch = 1.5

func (k kindOfLoad) objective() time.Duration {
	return k.target + time.Duration(loadStretch*float64(k.work))
}

// loadDocument has a queue for each kind, an account with a guarantee of one urgent job, and
// one without.
func loadDocument() chestnutpond.Document {
	d := chestnutpond.Document{
		Version: 1, Accounts: []chestnutpond.Account{{Name: "ventas", Accelerators: 16}, {Name: "stock"}},
		Pools: []chestnutpond.Pool{{Name: service, RejectsOverload: true}},
	}
	for _, k := range kindsOfLoad {
		d.Kinds = append(d.Kinds, chestnutpond.Kind{Name: k.name, Work: chestnutpond.WorkGraph, Queue: &chestnutpond.Queue{
			Host: "example", PathPrefix: "/" + k.name + "/", Terms: chestnutpond.QueuePolicy{
				Name: k.name, Service: service, Priority: k.priority, MaxAttempts: 3, Stretch: loadStretch, TargetLatency: k.target,
			},
		}})
	}
	return d
}

// callersResult is what the callers of a kind got.
type callersResult struct {
	// inTime, late and worthless jobs ended within the objective, within three times the
	// objective, and after that. Rejected ones were never accepted in 3 s of attempts.
	inTime, late, worthless, rejected int
	// slowest is the longest time until an answer.
	slowest time.Duration
}

// callers plays the callers of a load and collects what they get.
type callers struct {
	w       *World
	mu      sync.Mutex
	results map[string]*callersResult
	// rejected has the jobs of callers that gave up.
	rejected []chestnutpond.JobID
	waits    sync.WaitGroup
	next     int
}

func newCallers(w *World) *callers {
	c := &callers{w: w, results: map[string]*callersResult{}}
	for _, k := range kindsOfLoad {
		c.results[k.name] = &callersResult{}
	}
	return c
}

// burst submits jobs of the kinds, one each 100 ms.
func (c *callers) burst(account string, counts ...int) {
	for i, k := range kindsOfLoad[:len(counts)] {
		for n := range counts[i] {
			c.next++
			id := chestnutpond.JobID(fmt.Sprintf("%012x%04x", i, c.next))
			c.waits.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				c.call(k, account, id)
			})
		}
	}
}

// call submits a job for 3 s, following Retry-After, and waits for its end.
func (c *callers) call(k kindOfLoad, account string, id chestnutpond.JobID) {
	began, accepted := time.Now(), false
	for attempt := 0; attempt < 5 && time.Since(began) < 3*time.Second; attempt++ {
		sent := time.Now()
		v := c.submit(c.w.Entries[(int(id[15])+attempt)%len(c.w.Entries)], k, account, id)
		c.mu.Lock()
		r := c.results[k.name]
		r.slowest = max(r.slowest, time.Since(sent))
		c.mu.Unlock()
		if accepted = v.Outcome == chestnutpond.OutcomeAccepted; accepted {
			began = sent
			break
		}
		time.Sleep(v.RetryAfter)
	}
	if accepted {
		for !c.w.done(id, k.step.Count) && time.Since(began) < 2*time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.results[k.name]
	switch took := time.Since(began); {
	case !accepted:
		r.rejected++
		c.rejected = append(c.rejected, id)
	case took <= k.objective():
		r.inTime++
	case took <= 3*k.objective():
		r.late++
	default:
		r.worthless++
	}
}

func (c *callers) submit(e *Entry, k kindOfLoad, account string, id chestnutpond.JobID) chestnutpond.CallResult {
	ctx, cancel := context.WithTimeout(c.w.ctx, 3*time.Second)
	defer cancel()
	step := k.step
	step.Estimate = k.work
	queue := *c.w.cfg.Document.Kinds[k.priority].Queue
	return e.Node().Intake().Submit(ctx, chestnutpond.RouteTarget{Queue: queue, Account: account},
		chestnutpond.Graph{ID: id, Payload: "x", Steps: []chestnutpond.Step{step}})
}

// done reports whether all tasks of a job have completed.
func (w *World) done(id chestnutpond.JobID, count int) bool {
	for i := range count {
		if !w.Fleet.Done(ref(string(id), i)) {
			return false
		}
	}
	return true
}

// load plays a load on 8 workers and returns what the callers got.
func load(t *testing.T, admission bool, play func(c *callers)) map[string]*callersResult {
	t.Helper()
	var results map[string]*callersResult
	playWith(t, 0, func(c *Config) {
		c.Workers, c.Racks, c.Admission, c.Document = 8, 2, admission, loadDocument()
		c.Model = func(ref chestnutpond.TaskRef) stand.TaskModel {
			k := kindsOfLoad[ref.Job[11]-'0']
			return stand.TaskModel{Work: k.work, Need: k.step.Need}
		}
	}, func(t *testing.T, w *World) {
		// An entry rejects nothing in the first 15 s.
		time.Sleep(20 * time.Second)
		c := newCallers(w)
		play(c)
		c.waits.Wait()
		for _, id := range c.rejected {
			assert.Equal(t, w.Fleet.Starts(ref(string(id), 0)), 0, "%s was rejected and ran", id)
		}
		for _, k := range kindsOfLoad {
			t.Logf("admission %v, %s: %+v", admission, k.name, *c.results[k.name])
		}
		results = c.results
	})
	return results
}

// worthShare returns the worth of what the callers got as a share of what they could have got,
// with the worths of deployment A.
func worthShare(all map[string]*callersResult) float64 {
	got, most := 0.0, 0.0
	for name, worth := range map[string][2]float64{"urgent": {4, 0.8}, "standard": {3, 0.3}, "bulk": {1, 0.1}} {
		r := all[name]
		got += worth[0]*float64(r.inTime) + worth[1]*float64(r.late)
		most += worth[0] * float64(r.inTime+r.late+r.worthless+r.rejected)
	}
	return got / most
}

// totals returns the numbers of jobs of all kinds that had no value and that were rejected, and
// the longest time until an answer.
func totals(all map[string]*callersResult) (worthless, rejected int, slowest time.Duration) {
	for _, r := range all {
		worthless += r.worthless
		rejected += r.rejected
		slowest = max(slowest, r.slowest)
	}
	return worthless, rejected, slowest
}

// TestThreeBurstsOnAFullFleet guards against an admission that makes callers worse off: three
// bursts of all kinds, 4 s apart, on a fleet filled with bulk work. Fewer jobs are accepted and
// end without value, the worth does not fall by the 0.03 that the requirements allow, and who
// is rejected is told at once and truly.
func TestThreeBurstsOnAFullFleet(t *testing.T) {
	bursts := func(c *callers) {
		c.burst("stock", 0, 0, 12)
		time.Sleep(2 * time.Second)
		for range 3 {
			c.burst("stock", 16, 12, 6)
			time.Sleep(4 * time.Second)
		}
	}
	without, with := load(t, false, bursts), load(t, true, bursts)
	worthless, rejected, _ := totals(without)
	assert.Equal(t, rejected, 0)
	worthlessWith, rejectedWith, slowest := totals(with)
	assert.Assert(t, rejectedWith > 0)
	assert.Assert(t, worthlessWith < worthless, "%d accepted jobs have no value, %d without admission", worthlessWith, worthless)
	assert.Assert(t, worthShare(with) > worthShare(without)-0.03, "worth %.3f, %.3f without admission", worthShare(with), worthShare(without))
	assert.Assert(t, slowest < 300*time.Millisecond, "answered after %s", slowest)
}

// TestNoRejectionWhileCapacityIsFree guards against rejections on a fleet that serves
// everybody: bursts of which the work fits.
func TestNoRejectionWhileCapacityIsFree(t *testing.T) {
	with := load(t, true, func(c *callers) {
		for range 3 {
			c.burst("stock", 2, 1, 1)
			time.Sleep(7 * time.Second)
		}
	})
	worthless, rejected, _ := totals(with)
	assert.Equal(t, rejected, 0)
	assert.Equal(t, worthless, 0)
}

// TestGuaranteedWorkUnderOverload guards against the rejection of urgent work within its
// account's guarantee, and against its late end, while another account's urgent work exceeds
// the fleet several times.
func TestGuaranteedWorkUnderOverload(t *testing.T) {
	var guaranteed *callersResult
	load(t, true, func(c *callers) {
		c.burst("stock", 40, 6, 3)
		ventas := newCallers(c.w)
		ventas.next = 1000
		for range 4 {
			time.Sleep(4 * time.Second)
			ventas.burst("ventas", 1)
			ventas.waits.Wait()
		}
		guaranteed = ventas.results["urgent"]
	})
	assert.Equal(t, guaranteed.inTime+guaranteed.late, 4, "%+v", guaranteed)
}
