package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTestRouter(n int) *Router {
	r := New(Config{Region: "r1", Zone: "z1", Seed: 1})
	for i := range n {
		r.PutTarget(0, Target{
			Name: fmt.Sprintf("t%d", i), Region: "r1", Zone: "z1",
			Slots: 8, Connections: 64, Kinds: []string{"x", "y"}, Up: true,
		})
	}
	return r
}

// A target must never have more open requests than slots, whatever it reports.
func TestPickStopsAtSlots(t *testing.T) {
	r := newTestRouter(2)
	for range 16 {
		assert.Assert(t, r.CanServe(0, "x"))
		name, ok := r.Pick(0, Query{Kind: "x"})
		assert.Assert(t, ok)
		r.Begin(0, name, "x", 0)
	}
	assert.Assert(t, !r.CanServe(0, "x"))
	_, ok := r.Pick(0, Query{Kind: "x"})
	assert.Assert(t, !ok)
	r.End(0, "t1", "x", ResultAnswered, time.Second, 0, 0)
	name, ok := r.Pick(0, Query{Kind: "y"})
	assert.Assert(t, ok)
	assert.Equal(t, name, "t1")
}

// Guards against unhealthy targets that keep getting requests, ejections beyond
// the cap, and ejections because of a kind that fails on every target.
func TestEjection(t *testing.T) {
	fails := func(names ...string) func(name, kind string, now time.Duration) bool {
		return func(name, _ string, _ time.Duration) bool { return slices.Contains(names, name) }
	}
	for name, c := range map[string]struct {
		targets int
		fails   func(name, kind string, now time.Duration) bool
		// out is the maximum number of ejected targets, starts the maximum share
		// of starts on t0 in the second minute. again means that t0 gets requests
		// again at the end.
		out    int
		starts float64
		again  bool
	}{
		"none bad":        {targets: 10, fails: fails(), starts: 0.2, again: true},
		"one bad":         {targets: 10, fails: fails("t0"), out: 1, starts: 0.01},
		"two bad":         {targets: 10, fails: fails("t0", "t1"), out: 2, starts: 0.01},
		"over the cap":    {targets: 10, fails: fails("t0", "t1", "t2", "t3"), out: 2, starts: 1},
		"only target":     {targets: 1, fails: fails("t0"), starts: 1, again: true},
		"two targets":     {targets: 2, fails: fails("t0"), out: 1, starts: 0.01},
		"recovers":        {targets: 10, fails: func(n, _ string, now time.Duration) bool { return n == "t0" && now < 5*time.Second }, out: 1, starts: 0.2, again: true},
		"kind fails":      {targets: 10, fails: func(_, kind string, _ time.Duration) bool { return kind == "y" }, starts: 0.2, again: true},
		"one kind on one": {targets: 10, fails: func(n, kind string, _ time.Duration) bool { return n == "t0" && kind == "y" }, starts: 0.2, again: true},
		"fails at first":  {targets: 10, fails: func(_, _ string, now time.Duration) bool { return now < time.Second }, starts: 0.2, again: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(c.targets)
			counted, starts, last, out, failedStarts := 0, 0, 0, 0, 0
			for i := range 12000 {
				now := time.Duration(i) * 10 * time.Millisecond
				kind := []string{"x", "x", "y"}[i%3]
				name, ok := r.Pick(now, Query{Kind: kind})
				assert.Assert(t, ok)
				r.Begin(now, name, kind, 0)
				res := ResultAnswered
				if c.fails(name, kind, now) {
					res = ResultFailed
					if now >= time.Minute && name == "t0" && kind == "y" {
						failedStarts++
					}
				}
				r.End(now, name, kind, res, 0, 0, 0)
				out = max(out, r.ejectedCount)
				if now >= time.Minute {
					counted++
					if name == "t0" {
						starts++
						last = i
					}
				}
			}
			assert.Equal(t, out, c.out)
			assert.Assert(t, float64(starts) <= c.starts*float64(counted), "%d of %d starts on t0", starts, counted)
			if name == "one kind on one" {
				assert.Assert(t, failedStarts <= counted/300, "%d of %d starts of y on t0", failedStarts, counted/3)
			}
			assert.Assert(t, !c.again || last > 11900, "last start on t0 at %d", last)
		})
	}
}

// The router must stop using a draining target, a target that refuses and an
// unreachable region at once, and must try them again later.
func TestStopsUsingTarget(t *testing.T) {
	r := New(Config{Region: "r1", Zone: "z1", Seed: 1})
	far := Target{Name: "far", Region: "r2", Zone: "z9", Slots: 8, Kinds: []string{"x"}, Up: true}
	r.PutTarget(0, far)
	lose := func(now time.Duration) {
		r.Begin(now, "far", "x", 10)
		r.End(now, "far", "x", ResultLost, 0, 0, -1)
	}
	for range regionBackoffLosses {
		assert.Assert(t, r.CanServe(0, "x"))
		lose(0)
	}
	assert.Assert(t, !r.CanServe(999*time.Millisecond, "x"))
	assert.Assert(t, r.CanServe(time.Second, "x"))
	lose(time.Second)
	assert.Assert(t, !r.CanServe(2*time.Second, "x"))
	r.Begin(3*time.Second, "far", "x", 10)
	assert.Assert(t, !r.CanServe(3*time.Second, "x"), "one request at a time until one is not lost")
	r.End(3*time.Second, "far", "x", ResultRefused, 0, 0, -1)
	assert.Assert(t, !r.CanServe(3*time.Second, "x"))
	assert.Assert(t, r.CanServe(4*time.Second, "x"))
	far.Draining = true
	r.PutTarget(4*time.Second, far)
	assert.Assert(t, !r.CanServe(time.Minute, "x"))
}

// Guards against requests sent to another zone or region although nearer targets
// have free slots, and against traffic to other regions beyond the byte budget.
func TestPickPrefersNearTargets(t *testing.T) {
	r := New(Config{Region: "r1", Zone: "z1", Seed: 1, CrossRegionBytesPerSecond: 1000})
	for _, in := range []Target{
		{Name: "far", Region: "r2", Zone: "z1"}, {Name: "region", Region: "r1", Zone: "z2"}, {Name: "zone", Region: "r1", Zone: "z1"},
	} {
		in.Slots, in.Kinds, in.Up = 1, []string{"x"}, true
		r.PutTarget(0, in)
	}
	for _, want := range []string{"zone", "region", "far"} {
		name, ok := r.Pick(0, Query{Kind: "x", Bytes: 600})
		assert.Assert(t, ok)
		assert.Equal(t, name, want)
		r.Begin(0, name, "x", 600)
	}
	// The answer of 1,400 bytes lowers the budget to -1,000.
	r.End(0, "far", "x", ResultAnswered, 0, 1400, 0)
	_, ok := r.Pick(1500*time.Millisecond, Query{Kind: "x", Bytes: 600})
	assert.Assert(t, !ok)
	_, ok = r.Pick(1900*time.Millisecond, Query{Kind: "x", Bytes: 600})
	assert.Assert(t, ok)
	_, ok = r.Pick(2*time.Second, Query{Kind: "x", Bytes: 600, Exclude: []string{"far"}})
	assert.Assert(t, !ok)
}

// A target added to an existing fleet must not get all its slots used at once.
func TestSlowStart(t *testing.T) {
	r := newTestRouter(1)
	for range 8 {
		r.Begin(0, "t0", "x", 0)
	}
	start := time.Minute
	r.PutTarget(start, Target{Name: "new", Region: "r1", Zone: "z1", Slots: 8, Kinds: []string{"x"}, Up: true})
	open := 0
	for i, want := range []int{1, 3, 5, 7, 8} {
		now := start + time.Duration(i)*2500*time.Millisecond
		for r.CanServe(now, "x") {
			r.Begin(now, "new", "x", 0)
			open++
		}
		assert.Equal(t, open, want, "after %v", now-start)
	}
}

// Retries must not add load to a kind that fails on every target, but a refused
// attempt may be retried elsewhere.
func TestRetryOfFailingKind(t *testing.T) {
	r := newTestRouter(4)
	for i := range 20 {
		name := fmt.Sprintf("t%d", i%4)
		r.Begin(0, name, "x", 0)
		r.End(0, name, "x", ResultFailed, 0, 0, 0)
		r.Begin(0, name, "y", 0)
		r.End(0, name, "y", ResultAnswered, 0, 0, 0)
	}
	for name, c := range map[string]struct {
		a    Attempt
		want bool
	}{
		"failing kind":          {Attempt{Number: 1, Kind: "x", Idempotent: true}, false},
		"failing kind, refused": {Attempt{Number: 1, Kind: "x", ProvenNotRun: true}, true},
		"other kind":            {Attempt{Number: 1, Kind: "y", Idempotent: true}, true},
		"unknown kind":          {Attempt{Number: 1, Kind: "z", Idempotent: true}, false},
		"third attempt":         {Attempt{Number: 3, Kind: "y", Idempotent: true}, false},
		"no time left":          {Attempt{Number: 1, Kind: "y", Idempotent: true, Deadline: 5 * time.Millisecond}, false},
		"may have run":          {Attempt{Number: 1, Kind: "y"}, false},
	} {
		_, ok := r.Retry(0, c.a)
		assert.Equal(t, ok, c.want, name)
	}
}
