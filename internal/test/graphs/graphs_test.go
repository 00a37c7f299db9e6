package graphs

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var seedsRun = flag.Int("graphs.seeds", 1, "number of seeds of TestPlanner")

// inTimeLeast is the share of the bound that the planner has to reach in every row: a
// fifth below it leaves room for what only a scheduler that knows all jobs can do.
const inTimeLeast = 0.8

// Guards against a change of the planner that makes jobs late or loses them, and
// against a result above the bound, which would show that the bound is wrong. With -v
// it prints the table.
func TestPlanner(t *testing.T) {
	for _, r := range Rows() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			value, bound, thrown, jobs := 0.0, 0.0, 0.0, 0
			late := map[string]int{}
			outcomes := newOutcomes()
			seeds := Seeds[:*seedsRun]
			for _, seed := range seeds {
				got := Run(r, seed)
				assert.Equal(t, got.Unfinished, 0, "seed %d", seed)
				assert.Assert(t, got.Value <= got.Bound+1e-9, "seed %d: %v of %v", seed, got.Value, got.Bound)
				value, bound, thrown, jobs = value+got.Value, bound+got.Bound, thrown+got.Thrown, jobs+got.Jobs
				outcomes = outcomes.plus(got.Outcomes)
				for kind, n := range got.Late {
					late[kind] += n
				}
			}
			n := float64(len(seeds))
			t.Logf("%s: %.3f of the value in time, bound %.3f, %.3f of the work thrown away; of %d jobs late: %v",
				r.Name, value/n, bound/n, thrown/n, jobs, late)
			t.Logf("%s: %s", r.Name, outcomes.row(n))
			if r.worthLeast > 0 {
				assert.Assert(t, outcomes.Worth >= r.worthLeast*n, "%.3f", outcomes.Worth/n)
				return
			}
			assert.Assert(t, value >= inTimeLeast*bound, "%.3f of %.3f", value/n, bound/n)
		})
	}
}

// Guards against a load or a planner that depends on the order of a map.
func TestPlannerIsDeterministic(t *testing.T) {
	r := Rows()[0]
	assert.DeepEqual(t, Run(r, Seeds[0]), Run(r, Seeds[0]))
}

// Guards against a bound that is too low, which would hide what can be gained.
func TestBound(t *testing.T) {
	one := func(arrives, objective, work time.Duration, share, value float64) job {
		return job{arrives: arrives, objective: objective, work: work, share: share, value: value}
	}
	cases := map[string]struct {
		jobs []job
		want float64
	}{
		"none":              {nil, 1},
		"one that fits":     {[]job{one(0, 2*time.Second, time.Second, 1, 1)}, 1},
		"two in turn":       {[]job{one(0, 2*time.Second, time.Second, 1, 1), one(0, 2*time.Second, time.Second, 1, 1)}, 1},
		"three for two":     {[]job{one(0, 2*time.Second, time.Second, 1, 1), one(0, 2*time.Second, time.Second, 1, 1), one(0, 2*time.Second, time.Second, 1, 2)}, 0.75},
		"halves beside":     {[]job{one(0, time.Second, time.Second, 0.5, 1), one(0, time.Second, time.Second, 0.5, 1)}, 1},
		"one too many":      {[]job{one(0, time.Second, time.Second, 1, 3), one(0, time.Second, time.Second, 1, 1)}, 0.75},
		"later is free":     {[]job{one(0, time.Second, time.Second, 1, 1), one(time.Second, time.Second, time.Second, 1, 1)}, 1},
		"cheap one is kept": {[]job{one(0, time.Second, time.Second, 1, 1), one(0, time.Second, time.Second, 0.1, 1)}, 0.95},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			got := bound(tt.jobs)
			assert.Assert(t, got > tt.want-1e-9 && got < tt.want+1e-9, "%v", got)
		})
	}
}
