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

// More requests than slots must never be open on a target, whatever its reports.
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

// Guards against bad targets that keep getting work, ejections over the cap, and
// targets that are blamed for a kind that fails everywhere.
func TestEjection(t *testing.T) {
	fails := func(names ...string) func(name, kind string, now time.Duration) bool {
		return func(name, _ string, _ time.Duration) bool { return slices.Contains(names, name) }
	}
	for name, c := range map[string]struct {
		targets int
		fails   func(name, kind string, now time.Duration) bool
		// out is the greatest number of ejected targets, starts the greatest
		// share of starts on t0 in the second minute; again means that t0 has
		// its share back at the end.
		out    int
		starts float64
		again  bool
	}{
		"none bad":         {targets: 10, fails: fails(), starts: 0.2, again: true},
		"one bad":          {targets: 10, fails: fails("t0"), out: 1, starts: 0.01},
		"two bad":          {targets: 10, fails: fails("t0", "t1"), out: 2, starts: 0.01},
		"over the cap":     {targets: 10, fails: fails("t0", "t1", "t2", "t3"), out: 2, starts: 1},
		"only target":      {targets: 1, fails: fails("t0"), starts: 1, again: true},
		"two targets":      {targets: 2, fails: fails("t0"), out: 1, starts: 0.01},
		"recovers":         {targets: 10, fails: func(n, _ string, now time.Duration) bool { return n == "t0" && now < 5*time.Second }, out: 1, starts: 0.2, again: true},
		"kind fails":       {targets: 10, fails: func(_, kind string, _ time.Duration) bool { return kind == "y" }, starts: 0.2, again: true},
		"fails for a tick": {targets: 10, fails: func(_, _ string, now time.Duration) bool { return now < time.Second }, starts: 0.2, again: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(c.targets)
			second, starts, last, out := 0, 0, 0, 0
			for i := range 12000 {
				now := time.Duration(i) * 10 * time.Millisecond
				kind := []string{"x", "x", "y"}[i%3]
				name, ok := r.Pick(now, Query{Kind: kind})
				assert.Assert(t, ok)
				r.Begin(now, name, kind, 0)
				res := ResultAnswered
				if c.fails(name, kind, now) {
					res = ResultFailed
				}
				r.End(now, name, kind, res, 0, 0, 0)
				out = max(out, r.out)
				if now >= time.Minute {
					second++
					if name == "t0" {
						starts++
						last = i
					}
				}
			}
			assert.Equal(t, out, c.out)
			assert.Assert(t, float64(starts) <= c.starts*float64(second), "%d of %d starts on t0", starts, second)
			assert.Assert(t, !c.again || last > 11900, "last start on t0 at %d", last)
		})
	}
}

// A draining target, one that refuses and a region out of reach must be left at
// once, and tried again when they are back.
func TestLeavesTarget(t *testing.T) {
	r := New(Config{Region: "r1", Zone: "z1", Seed: 1})
	far := Target{Name: "far", Region: "r2", Zone: "z9", Slots: 8, Kinds: []string{"x"}, Up: true}
	r.PutTarget(0, far)
	lose := func(now time.Duration) {
		r.Begin(now, "far", "x", 10)
		r.End(now, "far", "x", ResultLost, 0, 0, -1)
	}
	for range pathLosses {
		assert.Assert(t, r.CanServe(0, "x"))
		lose(0)
	}
	assert.Assert(t, !r.CanServe(999*time.Millisecond, "x"))
	assert.Assert(t, r.CanServe(time.Second, "x"))
	lose(time.Second)
	assert.Assert(t, !r.CanServe(2*time.Second, "x"))
	r.Begin(3*time.Second, "far", "x", 10)
	assert.Assert(t, !r.CanServe(3*time.Second, "x"), "one request at a time until one comes back")
	r.End(3*time.Second, "far", "x", ResultRefused, 0, 0, -1)
	assert.Assert(t, !r.CanServe(3*time.Second, "x"))
	assert.Assert(t, r.CanServe(4*time.Second, "x"))
	far.Draining = true
	r.PutTarget(4*time.Second, far)
	assert.Assert(t, !r.CanServe(time.Minute, "x"))
}
