package plan

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

// graph returns a job that the testbed has not submitted.
func (b *testbed) graph(priority int, account string, s chestnutpond.Step) *chestnutpond.Graph {
	b.jobs++
	return &chestnutpond.Graph{
		ID: chestnutpond.JobID(fmt.Sprintf("%016x", b.jobs)), Account: account, Steps: []chestnutpond.Step{s}, Accepted: b.wall,
		Queue: chestnutpond.QueuePolicy{
			Name: fmt.Sprintf("q%d", priority), Service: "s", Priority: priority, MaxAttempts: 3, Stretch: 1.5,
			TargetLatency: 400 * time.Millisecond,
		},
	}
}

// endFirst ends the first run of each worker.
func (b *testbed) endFirst() {
	for _, w := range b.workers {
		var first *RunRef
		for r := range w.running {
			if first == nil || compareRunKeys(runKey{r.Task, r.Run}, runKey{first.Task, first.Run}) < 0 {
				first = &r
			}
		}
		if first != nil {
			w.end(*first, chestnutpond.RunDone)
		}
	}
	b.report()
}

// plannerState is all state of a planner, in maps without pointers as keys, so that two planners
// can be compared.
type plannerState struct {
	planner     Planner
	predictions map[string]time.Duration
	reserved    map[string][]reservation
	medianRates map[string]float64
}

func (p *Planner) state() plannerState {
	s := plannerState{
		planner: *p, predictions: map[string]time.Duration{}, reserved: map[string][]reservation{}, medianRates: map[string]float64{},
	}
	for k, v := range p.predictions {
		s.predictions[k.ref().String()] = v
	}
	for k, v := range p.reserved {
		s.reserved[k.id] = v
	}
	for k, v := range p.medianRates {
		s.medianRates[k.step.ref().String()+k.worker.id] = v
	}
	s.planner.predictions, s.planner.reserved, s.planner.medianRates = nil, nil, nil
	return s
}

// drawStep returns any step.
func drawStep(rt *rapid.T) chestnutpond.Step {
	count := rapid.IntRange(1, 5).Draw(rt, "count")
	return chestnutpond.Step{
		Count: count, Need: rapid.SampledFrom([]chestnutpond.Resources{small, big}).Draw(rt, "need"),
		Gang: rapid.Bool().Draw(rt, "gang"), SameRack: rapid.Bool().Draw(rt, "same_rack"),
		Checkpointable: rapid.Bool().Draw(rt, "checkpointable"), Label: rapid.SampledFrom([]string{"", "a", "r1"}).Draw(rt, "label"),
		Estimate: time.Duration(rapid.IntRange(1, 9).Draw(rt, "estimate")) * time.Second,
	}
}

// Guards against an evaluation that changes the planner, in any of its state with its notes,
// records, orders and caches, and against an answer that the real job does not follow if it is
// submitted right after.
func TestEvaluateChangesNothingAndIsFollowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		learns := rapid.Bool().Draw(rt, "learns")
		early := rapid.Bool().Draw(rt, "early")
		pair := [2]*testbed{}
		for i := range pair {
			pair[i] = evacuationBed(t)
			pair[i].learns = learns
			pair[i].p.cfg.Policy.PreemptEarly = early
			if learns {
				pair[i].p.model = New(Config{Policy: Policy{LearnDurations: true}}).model
			}
		}
		for range rapid.IntRange(0, 12).Draw(rt, "steps") {
			action, priority := rapid.IntRange(0, 5).Draw(rt, "action"), rapid.IntRange(0, 2).Draw(rt, "priority")
			s, zone := drawStep(rt), rapid.SampledFrom([]string{"east", "west"}).Draw(rt, "zone")
			for _, b := range pair {
				switch action {
				case 0, 1, 2:
					b.submit(priority, "stock", s)
				case 3:
					b.advance(500*time.Millisecond, 10)
				case 4:
					b.evacuate(zone)
				case 5:
					b.endFirst()
				}
				if action != 2 {
					b.round()
				}
				// Workers list their runs in the order of a map, which the notes follow.
				b.p.Notes()
			}
		}
		a, b := pair[0], pair[1]
		account := rapid.SampledFrom([]string{"ventas", "stock"}).Draw(rt, "account")
		s, priority := drawStep(rt), rapid.IntRange(0, 2).Draw(rt, "new priority")
		g := a.graph(priority, account, s)
		b.jobs++
		assert.Assert(rt, reflect.DeepEqual(a.p.state(), b.p.state()), "the two planners differ before")
		f := a.p.Evaluate(a.now, a.wall, g)
		assert.Assert(rt, reflect.DeepEqual(a.p.state(), b.p.state()), "the evaluation has changed the planner")

		a.p.Notes()
		a.p.Accept(g)
		a.p.Decide(a.now, a.wall)
		choices, placed := a.p.jobs[g.ID].occurrences[0].steps[0].choices()
		assert.DeepEqual(rt, f.Steps[0].Workers, choices)
		assert.Equal(rt, f.Steps[0].Placed, placed)
		assert.Equal(rt, f.State() == chestnutpond.PlacementNow, placed == s.Count)
		stopped, answered := 0, 0
		for _, n := range a.p.Notes() {
			if n.Kind == NoteStopped && (n.Detail == "makes room for more urgent work" || n.Detail == "another member of the gang has ended") {
				stopped++
			}
		}
		for _, r := range f.Steps[0].Preempted {
			answered += r.Runs
		}
		assert.Assert(rt, answered <= stopped, "%d preempted, %d stopped", answered, stopped)
		counted := f.Steps[0].Fitting
		for _, e := range f.Steps[0].Excluded {
			counted += e.Workers
		}
		assert.Equal(rt, counted, f.Steps[0].Considered)
	})
}

// Guards against a wrong state or cause, which would send the caller after the wrong remedy.
func TestEvaluate(t *testing.T) {
	one := chestnutpond.Step{Count: 1, Need: small, Estimate: time.Second}
	with := func(change func(s *chestnutpond.Step)) chestnutpond.Step {
		s := one
		change(&s)
		return s
	}
	fill := func(need chestnutpond.Resources) func(b *testbed) {
		return func(b *testbed) {
			b.submit(2, "stock", chestnutpond.Step{Count: 4, Need: need, Estimate: 5 * time.Second, PerWorker: 1})
			b.round()
			b.advance(time.Second, 20)
		}
	}
	cases := map[string]struct {
		prepare  func(b *testbed)
		priority int
		step     chestnutpond.Step
		state    chestnutpond.PlacementState
		cause    chestnutpond.WaitCause
		excluded chestnutpond.WaitCause
		preempts int
		starts   bool
	}{
		"free":       {func(*testbed) {}, 1, one, "placed_now", "", "", 0, false},
		"full":       {fill(big), 1, one, "waits", "accelerators", "accelerators", 0, true},
		"processor":  {fill(chestnutpond.Resources{CPU: 64000}), 1, one, "waits", "cpu", "cpu", 0, true},
		"memory":     {fill(chestnutpond.Resources{Memory: 256000}), 1, one, "waits", "memory", "memory", 0, true},
		"preempts":   {fill(big), 0, one, "placed_now", "accelerators", "accelerators", 1, false},
		"no label":   {func(*testbed) {}, 1, with(func(s *chestnutpond.Step) { s.Label = "z" }), "never", "label", "label", 0, false},
		"too large":  {func(*testbed) {}, 1, with(func(s *chestnutpond.Step) { s.Need.Accelerators = 9 }), "never", "too_large", "accelerators", 0, false},
		"gang":       {func(*testbed) {}, 1, with(func(s *chestnutpond.Step) { s.Need, s.Count, s.Gang = big, 5, true }), "never", "too_large", "", 0, false},
		"per worker": {func(*testbed) {}, 1, with(func(s *chestnutpond.Step) { s.Count, s.PerWorker = 5, 1 }), "waits", "per_worker", "", 0, false},
		"one zone":   {func(b *testbed) { b.evacuate("east") }, 1, with(func(s *chestnutpond.Step) { s.Need, s.Count, s.Gang = big, 4, true }), "waits", "evacuated_zone", "evacuated_zone", 0, false},
		"all zones":  {func(b *testbed) { b.evacuate("east", "west") }, 1, one, "never", "all_zones_evacuated", "evacuated_zone", 0, false},
		"ejected": {func(b *testbed) {
			for _, w := range b.p.sortedWorkers {
				w.health.ejectedUntil = b.now + time.Second
			}
		}, 1, one, "waits", "ejected", "ejected", 0, false},
		"rack": {func(b *testbed) {
			for _, id := range []string{"w1", "w3"} {
				b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: big, Label: b.worker(id).info.Rack, Estimate: 5 * time.Second})
			}
			b.round()
			b.advance(time.Second, 20)
		}, 1, with(func(s *chestnutpond.Step) { s.Need, s.Count, s.Gang, s.SameRack = big, 2, true, true }), "waits", "rack", "accelerators", 0, true},
		"starts held": {func(b *testbed) { b.p.SetStartsHeld(true) }, 1, one, "waits", "starts_held", "", 0, false},
		"reserved": {func(b *testbed) {
			b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: 3 * time.Second})
			b.round()
			b.advance(time.Second, 30)
			b.submit(0, "stock", with(func(s *chestnutpond.Step) { s.Need, s.Count, s.Gang = big, 4, true }))
		}, 2, with(func(s *chestnutpond.Step) { s.Estimate = time.Minute }), "waits", "reserved", "reserved", 0, false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := evacuationBed(t)
			tt.prepare(b)
			f := b.p.Evaluate(b.now, b.wall, b.graph(tt.priority, "ventas", tt.step))
			s := f.Steps[0]
			assert.Equal(t, s.State, tt.state, "%+v", s)
			if tt.cause != "" {
				assert.DeepEqual(t, s.Causes, []chestnutpond.WaitCause{tt.cause})
			}
			if tt.excluded != "" {
				assert.Equal(t, s.Excluded[0].Reason, tt.excluded, "%+v", s)
			}
			runs := 0
			for _, p := range s.Preempted {
				runs += p.Runs
			}
			assert.Equal(t, runs, tt.preempts)
			if tt.starts {
				assert.Assert(t, s.StartKnown && s.StartsIn > 0, "%+v", s)
			}
			assert.Equal(t, f.Guaranteed, tt.priority == 0)
		})
	}
}

// Guards against a scheduled job that is shown as placed before it is due.
func TestEvaluateScheduledJob(t *testing.T) {
	b := newTestbed(t, 1)
	g := b.graph(1, "stock", chestnutpond.Step{Count: 1, Need: small})
	g.Schedule = chestnutpond.Schedule{First: b.wall.Add(time.Minute), Every: time.Minute, Repetitions: 2}
	s := b.p.Evaluate(b.now, b.wall, g).Steps[0]
	assert.Equal(t, s.State, chestnutpond.PlacementWaits)
	assert.DeepEqual(t, s.Causes, []chestnutpond.WaitCause{chestnutpond.CauseSchedule})
	assert.Equal(t, s.StartsIn, time.Minute)
}

// BenchmarkEvaluate measures an evaluation on a full fleet with several hundred waiting units.
func BenchmarkEvaluate(b *testing.B) {
	for _, workers := range []int{60, 300} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := &testing.T{}
			racks := make([]int, workers/5)
			for i := range racks {
				racks[i] = 5
			}
			f := newTestbed(t, racks...)
			for i := range workers / 2 {
				f.submit(2, "stock", chestnutpond.Step{Count: 39, Need: small, Estimate: 9 * time.Second})
				f.submit(1, "stock", chestnutpond.Step{Count: 7, Need: big, Estimate: 8 * time.Second, Gang: i%2 == 0})
				f.submit(0, "stock", chestnutpond.Step{Count: 5, Need: big, Estimate: 2 * time.Second, Gang: true, SameRack: true})
			}
			f.round()
			f.round()
			g := f.graph(0, "ventas", chestnutpond.Step{Count: 5, Need: big, Estimate: 2 * time.Second, Gang: true})
			b.Run("evaluate", func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					f.p.Evaluate(f.now, f.wall, g)
				}
			})
			b.Run("clone", func(b *testing.B) {
				for range b.N {
					f.p.clone()
				}
			})
		})
	}
}
