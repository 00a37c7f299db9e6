package route

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

// TestMain fixes the seed of the property tests to make runs reproducible. The
// flags of rapid override it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type openRequest struct {
	target, kind string
}

// checkRouter compares the free lists, counts and caps with the state of the
// targets.
func checkRouter(t *rapid.T, r *Router, now time.Duration, open []openRequest, ejectedBefore int) {
	r.runTimers(now)
	count := map[string]int{}
	for _, o := range open {
		count[o.target]++
	}
	up, out := 0, 0
	outs := map[string]int{}
	inUse := map[string][2]int{}
	for _, o := range r.order {
		assert.Equal(t, o.open, count[o.Name])
		accepts, _ := r.canAccept(now, o)
		// Decay is applied up to 3 ms late, so that it is never applied early.
		soon := o.timerIndex >= 0 && o.recheckAt-now <= 3*time.Millisecond
		assert.Assert(t, o.free == accepts || accepts && soon, "%s: %+v", o.Name, o.ejectionState)
		if o.health == ejected {
			out++
		}
		if !o.usable() {
			continue
		}
		up++
		for _, e := range o.endpoints {
			assert.Equal(t, e.freeIndex >= 0, o.free && e.canAccept(), "%s %s", o.Name, e.kind.name)
			if e.health == ejected {
				outs[e.kind.name]++
			}
			n := inUse[e.kind.name]
			n[0]++
			if o.health == healthy && e.health == healthy {
				n[1]++
			}
			inUse[e.kind.name] = n
		}
	}
	assert.Equal(t, out, r.ejectedCount)
	assert.Assert(t, out <= ejectedBefore || out <= max(up/5, 1), "%d of %d ejected", out, up)
	for kind, n := range inUse {
		assert.Assert(t, outs[kind] <= r.kinds[kind].ejectedCount)
		assert.Assert(t, n[0] == 0 || n[1] > 0, "no healthy target of %s", kind)
	}
}

func drawTarget(t *rapid.T) Target {
	return Target{
		Name:        rapid.SampledFrom([]string{"t0", "t1", "t2", "t3", "t4", "t5"}).Draw(t, "name"),
		Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
		Region:      rapid.SampledFrom([]string{"r1", "r1", "r2"}).Draw(t, "region"),
		Zone:        rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		Slots:       rapid.IntRange(0, 3).Draw(t, "slots"), Connections: rapid.IntRange(0, 4).Draw(t, "connections"),
		Busy:  rapid.IntRange(0, 9).Draw(t, "busy"),
		Kinds: rapid.SampledFrom([][]string{{"x"}, {"x", "y"}, {"y", "x", "y"}, nil}).Draw(t, "kinds"),
		Up:    rapid.Float64Range(0, 1).Draw(t, "up") < 0.9, Draining: rapid.Float64Range(0, 1).Draw(t, "draining") < 0.1,
	}
}

var steps = []string{
	"put", "remove", "begin", "begin", "begin", "begin", "begin", "begin", "begin", "end", "end", "end", "end", "end", "end",
	"evacuate",
}

// Guards against more open requests than slots, free lists that miss a target,
// more ejections than the cap, kinds with all targets ejected, and choices that
// don't follow from the seed.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Region: "r1", Zone: "z1", Seed: 7, CrossRegionBytesPerSecond: 1000, EjectFailures: 2}
		r, twin := New(cfg), New(cfg)
		var opened []openRequest
		now, far := time.Duration(0), 0
		var zones chestnutpond.Evacuations
		for i := range 6 {
			in := Target{Name: fmt.Sprintf("t%d", i), Region: "r1", Slots: 3, Kinds: []string{"x", "y"}[i/5:], Up: true}
			r.PutTarget(now, in)
			twin.PutTarget(now, in)
		}
		// Targets from this one on fail. Without failing targets nothing would be
		// ejected.
		bad := rapid.SampledFrom([]string{"t3", "t3", "t4", "t5"}).Draw(t, "bad")
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 1, 1, 1, 10, 10, 100, 3000}).Draw(t, "pause")) * time.Millisecond
			ejectedBefore := r.ejectedCount
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "put":
				in := drawTarget(t)
				r.PutTarget(now, in)
				twin.PutTarget(now, in)
			case "remove":
				name := drawTarget(t).Name
				r.RemoveTarget(now, name)
				twin.RemoveTarget(now, name)
			case "evacuate":
				zone := drawTarget(t).Zone
				if rapid.Bool().Draw(t, "undo") {
					zones = zones.Without(zone)
				} else {
					zones = zones.With(zone)
				}
				r.SetEvacuations(now, zones)
				twin.SetEvacuations(now, zones)
			case "begin":
				q := Query{Kind: rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "kind"), Exclude: []string{"t0"}}
				q.Bytes = rapid.IntRange(0, 900).Draw(t, "bytes")
				name, ok := r.Pick(now, q)
				name2, _ := twin.Pick(now, q)
				assert.Equal(t, name, name2)
				assert.Assert(t, !ok || r.CanServe(now, q.Kind))
				if !ok {
					break
				}
				o := r.targets[name]
				assert.Assert(t, !zones.Contains(o.Zone))
				assert.Assert(t, name != "t0" && o.open < o.Slots && o.usable() && o.health != ejected)
				r.Begin(now, name, q.Kind, q.Bytes)
				twin.Begin(now, name, q.Kind, q.Bytes)
				opened = append(opened, openRequest{name, q.Kind})
				if o.Region != "r1" {
					far += q.Bytes
				}
				assert.Assert(t, float64(far) <= 1000*(1+now.Seconds()), "%d bytes to another region", far)
			case "end":
				if len(opened) == 0 {
					break
				}
				i := rapid.IntRange(0, len(opened)-1).Draw(t, "open")
				o := opened[i]
				opened = append(opened[:i], opened[i+1:]...)
				res := Result(max(0, rapid.IntRange(-20, 4).Draw(t, "result")))
				if res == ResultAnswered && o.target >= bad {
					res = ResultFailed
				}
				busy := rapid.IntRange(-1, 9).Draw(t, "busy")
				r.End(now, o.target, o.kind, res, time.Second, 0, busy)
				twin.End(now, o.target, o.kind, res, time.Second, 0, busy)
			}
			checkRouter(t, r, now, opened, ejectedBefore)
			twin.runTimers(now)
		}
	})
}

// Guards against retries of requests that may have run, and retries beyond the
// budget, the deadline or the maximum number of attempts.
func TestRetryStaysInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(3)
		first, granted, ahead := 0, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") {
				r.Begin(0, "t0", "x", 0)
				r.End(0, "t0", "x", ResultAnswered, 0, 0, -1)
				if ahead > 0 {
					ahead--
				} else {
					first++
				}
				continue
			}
			a := Attempt{
				Number: rapid.IntRange(1, 4).Draw(t, "number"), Kind: "x",
				Idempotent: rapid.Bool().Draw(t, "idempotent"), ProvenNotRun: rapid.Bool().Draw(t, "not run"),
				Deadline: time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Millisecond,
			}
			delay, ok := r.Retry(0, a)
			if !ok {
				continue
			}
			granted++
			ahead++
			assert.Assert(t, a.Idempotent || a.ProvenNotRun)
			assert.Assert(t, a.Number < 3 && delay < a.Deadline && delay >= 10*time.Millisecond)
			assert.Assert(t, float64(granted) <= 10+0.1*float64(first)+1e-9, "%d retries of %d", granted, first)
		}
	})
}
