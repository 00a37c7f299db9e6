package plan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// advanceWithLeases advances the clock while leases are renewed and runs progress
// by the given percents per second. It makes no scheduling decisions.
func (b *testbed) advanceWithLeases(d time.Duration, percents int) {
	for ; d > 0; d -= time.Second {
		b.advance(min(d, time.Second), percents)
		for _, w := range b.workers {
			b.p.LeaseGranted(b.now, w.info.ID)
		}
	}
}

// Guards against placing units in the order of acceptance, in which a job with
// slack can make a job without slack late.
func TestOrderOfUnits(t *testing.T) {
	step := func(estimate time.Duration) chestnutpond.Step {
		return chestnutpond.Step{Count: 1, Need: big, Estimate: estimate}
	}
	cases := map[string]struct {
		first, second chestnutpond.Step
		// between is the time between the acceptance of the two jobs, and after the
		// time from then until the service has free capacity.
		between, after time.Duration
		want           int
	}{
		"less slack first":         {first: step(9 * time.Second), second: step(time.Second), after: 100 * time.Millisecond, want: 2},
		"equal slack, older first": {first: step(time.Second), second: step(time.Second), between: 200 * time.Millisecond, want: 1},
		"on time before late":      {first: step(time.Second), second: step(time.Second), between: 6 * time.Second, want: 2},
		"late before expired":      {first: step(time.Second), second: step(time.Second), between: 20 * time.Second, after: 6 * time.Second, want: 2},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			running := b.submit(0, "stock", step(20*time.Second))
			b.round()
			ids := []chestnutpond.JobID{b.submit(0, "stock", tt.first)}
			b.advanceWithLeases(tt.between, 3)
			ids = append(ids, b.submit(0, "stock", tt.second))
			b.advanceWithLeases(tt.after, 3)
			b.round()
			b.endRuns(running, chestnutpond.RunDone)
			b.p.stats = map[string]*queueStats{}
			clear(b.p.predictions)
			b.round()
			assert.Equal(t, len(b.placements(ids[tt.want-1])), 1, "job %d does not run", tt.want)
		})
	}
}

// Guards against preempting a run whose job would be late and is worth more than
// the preempting one, and against urgent work that waits although preemption costs
// nothing.
func TestPreemptionByValue(t *testing.T) {
	cases := map[string]struct {
		victim chestnutpond.Step
		// age is the age of the victim when the urgent job is accepted.
		age  time.Duration
		want bool
	}{
		"victim has time to restart": {victim: chestnutpond.Step{Count: 1, Need: big, Estimate: 30 * time.Second}, age: 100 * time.Millisecond, want: true},
		"checkpoint preserves the work": {
			victim: chestnutpond.Step{Count: 1, Need: big, Estimate: 30 * time.Second, Checkpointable: true},
			age:    12 * time.Second, want: true,
		},
		"victim would be late": {
			victim: chestnutpond.Step{Count: 1, Need: chestnutpond.Resources{CPU: 16000, Memory: 60000, Accelerators: 2}, Estimate: 30 * time.Second},
			age:    20 * time.Second,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			victim := b.submit(1, "stock", tt.victim)
			b.round()
			b.round()
			if tt.victim.Checkpointable {
				b.p.jobs[victim].occurrences[0].steps[0].tasks[0].checkpoint = "c"
			}
			b.advanceWithLeases(tt.age, 3)
			urgent := b.submit(0, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: 2 * time.Second})
			b.round()
			b.round()
			assert.Equal(t, len(b.placements(urgent)) == 1, tt.want)
		})
	}
}

// Guards against always trusting one source of predictions: callers' estimates are
// off by a factor on some queues, and the mean of a queue misleads on others.
func TestExpectedDuration(t *testing.T) {
	cases := map[string]struct {
		// took and estimates are of finished tasks, in seconds.
		took, estimates []float64
		estimate, want  float64
	}{
		"no finished tasks":            {estimate: 7, want: 7},
		"estimates are accurate":       {took: []float64{1, 2, 4, 8, 3, 6}, estimates: []float64{1, 2, 4, 8, 3, 6}, estimate: 5, want: 5},
		"estimates are twice too long": {took: []float64{1, 2, 4, 8, 3, 6}, estimates: []float64{2, 4, 8, 16, 6, 12}, estimate: 10, want: 5},
		"estimates mislead":            {took: []float64{3, 3, 3, 3, 3, 3}, estimates: []float64{1, 9, 2, 14, 1, 30}, estimate: 40, want: 3},
		"no estimate":                  {took: []float64{3, 3, 3}, estimates: []float64{0, 0, 0}, want: 3},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			for i, took := range tt.took {
				id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Estimate: seconds(tt.estimates[i])})
				b.round()
				b.round()
				b.advance(seconds(took), 0)
				b.endRuns(id, chestnutpond.RunDone)
			}
			id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Estimate: seconds(tt.estimate)})
			b.round()
			got := b.p.expectedDuration(b.p.jobs[id].occurrences[0].steps[0]).Seconds()
			assert.Assert(t, math.Abs(got-tt.want) < 0.05*tt.want, "%.2f s, want %.2f s", got, tt.want)
		})
	}
}

// Guards against an objective that ignores the waves of a wide step or the
// dependencies between steps.
func TestObjective(t *testing.T) {
	step := func(count int, after ...int) chestnutpond.Step {
		return chestnutpond.Step{Count: count, Need: big, Estimate: 2 * time.Second, After: after}
	}
	cases := map[string]struct {
		steps []chestnutpond.Step
		want  time.Duration
	}{
		"one step":        {steps: []chestnutpond.Step{step(1)}, want: 3400 * time.Millisecond},
		"four waves":      {steps: []chestnutpond.Step{step(4)}, want: 12400 * time.Millisecond},
		"two in sequence": {steps: []chestnutpond.Step{step(1), step(1, 0)}, want: 6400 * time.Millisecond},
		"two in parallel": {steps: []chestnutpond.Step{step(1), step(1)}, want: 3400 * time.Millisecond},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			id := b.submit(0, "stock", tt.steps[0])
			b.p.jobs[id].graph.Steps = tt.steps
			b.round()
			o := b.p.jobs[id].occurrences[0]
			assert.Equal(t, b.p.objective(unit{step: o.steps[0]}), tt.want)
		})
	}
}

// Guards against losing a run with its draining worker although it could have been
// restarted elsewhere when the drain was announced, and against stopping one that
// would have ended in time.
func TestEvacuation(t *testing.T) {
	cases := map[string]struct {
		work      time.Duration
		remaining time.Duration
		// full means that no other worker has free capacity.
		full bool
		want bool
	}{
		"will not end in time":       {work: 20 * time.Second, remaining: 2500 * time.Millisecond, want: true},
		"ends in time":               {work: 3 * time.Second, remaining: 2500 * time.Millisecond},
		"no free capacity elsewhere": {work: 20 * time.Second, remaining: 2500 * time.Millisecond, full: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: tt.work})
			b.round()
			b.round()
			if tt.full {
				b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: time.Hour})
				b.round()
			}
			w := b.worker("w1")
			w.info.State, w.info.Remaining = chestnutpond.WorkerDraining, tt.remaining
			b.report()
			b.round()
			b.round()
			b.round()
			assert.Equal(t, b.placements(id)["w2"] == 1, tt.want)
			assert.Equal(t, b.placements(id)["w1"] == 0, tt.want)
		})
	}
}

// Guards against preempting more tasks of a service than its owner allows to be
// unavailable.
func TestPreemptionLeavesServing(t *testing.T) {
	for allowed, want := range map[int]int{0: 2, 1: 1, 2: 2} {
		t.Run(fmt.Sprint(allowed), func(t *testing.T) {
			b := newTestbed(t, 2)
			serving := b.submit(1, "stock", chestnutpond.Step{Count: 2, Need: big, Perpetual: true, MaxUnavailable: allowed})
			b.round()
			b.round()
			b.advance(time.Second, 100)
			for range 2 {
				b.submit(0, "ventas", chestnutpond.Step{Count: 1, Need: big, Estimate: time.Second})
			}
			b.advanceWithLeases(1300*time.Millisecond, 0)
			b.round()
			b.round()
			taken := 2
			for _, n := range b.placements(serving) {
				taken -= n
			}
			assert.Equal(t, taken, want)
		})
	}
}
