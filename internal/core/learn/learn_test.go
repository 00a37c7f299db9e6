package learn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func classOf(account int, estimate float64) chestnutpond.TaskClass {
	return chestnutpond.TaskClass{
		Queue: "lots", Account: fmt.Sprint("account-", account), Estimate: seconds(estimate),
		Shape: chestnutpond.TaskShape{Accelerators: 1 << (account % 4), Count: 4},
	}
}

// load draws jobs: the true duration by account and job, and the caller's estimate.
type load struct {
	// spread is the deviation between accounts, job that between the jobs of an account.
	spread, job float64
	estimate    func(r *rand.Rand, account int, took float64) float64
}

// rmsError is the root mean square error of a prediction by the model and by the estimate
// in the last half of 600 runs of 10 accounts, and the share of those under the 90th
// percentile.
func (l load) play(seed uint64) (float64, float64, float64) {
	r := rand.New(rand.NewPCG(seed, 7))
	m := New(Config{})
	model, estimate, under, n := 0.0, 0.0, 0.0, 0.0
	var base [10]float64
	for i := range base {
		base[i] = 8 * math.Exp(l.spread*r.NormFloat64())
	}
	for i := range 600 {
		account := r.IntN(10)
		took := base[account] * math.Exp(l.job*r.NormFloat64())
		c := classOf(account, l.estimate(r, account, took))
		if p := m.Predict(c); i >= 300 {
			model += square(math.Log(took / p.Median.Seconds()))
			estimate += square(math.Log(took / c.Estimate.Seconds()))
			n++
			if seconds(took) <= p.P90 {
				under++
			}
		}
		m.Observe(c, chestnutpond.DurationSample{Duration: seconds(took), At: time.Duration(i) * time.Second})
	}
	return math.Sqrt(model / n), math.Sqrt(estimate / n), under / n
}

// Guards against a prediction that is worse than the better of its sources, or whose 90th
// percentile is not one: which source is the better depends on the callers.
func TestAccuracy(t *testing.T) {
	noisy := func(by float64) func(*rand.Rand, int, float64) float64 {
		return func(r *rand.Rand, _ int, took float64) float64 { return took * math.Exp(by*r.NormFloat64()) }
	}
	cases := map[string]struct {
		load load
		// best is the error of the best combination of both sources if all means are known.
		best float64
	}{
		"good estimates":          {load{0.5, 0.5, noisy(0.1)}, 0.098},
		"biased estimates":        {load{0.5, 0.5, func(r *rand.Rand, a int, took float64) float64 { return 3 * noisy(0.2)(r, a, took) }}, 0.186},
		"estimates without a cue": {load{0.5, 0.3, func(r *rand.Rand, _ int, _ float64) float64 { return 8 * math.Exp(r.NormFloat64()) }}, 0.3},
		"both sources are equal":  {load{0, 0.5, noisy(0.5)}, 0.354},
		"some accounts off by 7": {load{0.5, 0.5, func(r *rand.Rand, a int, took float64) float64 {
			return []float64{1, 1, 7}[a%3] * noisy(0.2)(r, a, took)
		}}, 0.186},
		"some off, rest at random": {load{0.3, 0.4, func(r *rand.Rand, a int, took float64) float64 { return []float64{1, 7}[a%2] * noisy(1.2)(r, a, took) }}, 0.379},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			for _, seed := range []uint64{1, 2, 3} {
				model, estimate, under := tt.load.play(seed)
				t.Logf("seed %d: error %.3f, of the estimate %.3f, under the 90th percentile %.3f", seed, model, estimate, under)
				// A tenth is left for what has to be learned, and two standard errors of 300 runs.
				assert.Assert(t, model <= 1.2*tt.best, "error is %.3f; best is %.3f", model, tt.best)
				assert.Assert(t, under >= 0.82 && under <= 0.97, "%.3f are under the 90th percentile", under)
			}
		})
	}
}

// Guards against predictions that sink because long runs are stopped before they end: their
// exact durations are never seen.
func TestLowerBounds(t *testing.T) {
	for name, stopAt := range map[string]float64{"none": math.Inf(1), "half": 10, "most": 7} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(5, 7))
			m := New(Config{})
			logs, n := 0.0, 0.0
			for i := range 2000 {
				took := 10 * math.Exp(0.5*r.NormFloat64())
				m.Observe(classOf(1, 10), chestnutpond.DurationSample{
					Duration: seconds(min(took, stopAt)), LowerBound: took > stopAt, At: time.Duration(i) * time.Second,
				})
				if i >= 1000 {
					logs += math.Log(m.Predict(classOf(1, 10)).Median.Seconds() / 10)
					n++
				}
			}
			t.Logf("bias of the logarithm: %.3f", logs/n)
			assert.Assert(t, math.Abs(logs/n) < 0.1, "bias is %.3f", logs/n)
		})
	}
}

// Guards against a prediction that a single wild run ruins, and against one that does not
// follow a lasting change.
func TestOutliersAndChange(t *testing.T) {
	m := New(Config{})
	observe := func(took float64, times int) float64 {
		for range times {
			m.Observe(classOf(1, 10), chestnutpond.DurationSample{Duration: seconds(took), At: m.now + time.Second})
		}
		return m.Predict(classOf(1, 10)).Median.Seconds()
	}
	assert.Assert(t, math.Abs(observe(10, 50)-10) < 0.2)
	after := observe(100_000, 1)
	assert.Assert(t, after < 10.7, "%.2f s after an outlier", after)
	after = observe(10, 50)
	assert.Assert(t, math.Abs(after-10) < 0.3, "%.2f s", after)
	after = observe(40, 60)
	assert.Assert(t, after > 30 && after < 41, "%.2f s after a change to 40 s", after)
}

// Guards against a state that grows with the number of accounts and shapes, and against an
// evicted group that takes the wider ones with it.
func TestMemoryIsBounded(t *testing.T) {
	m := New(Config{MaxGroups: 100})
	for i := range 5000 {
		m.Observe(classOf(i, 10), chestnutpond.DurationSample{Duration: seconds(20), At: time.Duration(i) * time.Second})
		assert.Assert(t, m.Groups() <= 100)
	}
	got := m.Predict(classOf(0, 10)).Median.Seconds()
	assert.Assert(t, math.Abs(got-20) < 1, "%.2f s for an evicted account", got)
}

// Guards against samples that never fade.
func TestAgeing(t *testing.T) {
	m := New(Config{})
	for range 20 {
		m.Observe(classOf(1, 0), chestnutpond.DurationSample{Duration: seconds(10), At: time.Second})
	}
	fresh := m.Predict(classOf(1, 0)).Samples
	m.Observe(classOf(2, 0), chestnutpond.DurationSample{Duration: seconds(10), At: time.Second + 4*halfLife})
	assert.Assert(t, m.Predict(classOf(1, 0)).Samples < fresh/4)
}
