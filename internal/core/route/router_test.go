package route

import (
	"fmt"
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

// A target that fails what succeeds elsewhere must get almost nothing.
func TestEjectsBadTarget(t *testing.T) {
	r := newTestRouter(5)
	bad := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		name, ok := r.Pick(now, Query{Kind: "x"})
		assert.Assert(t, ok)
		r.Begin(now, name, "x", 0)
		res := ResultAnswered
		if name == "t3" {
			res = ResultFailed
			bad++
		}
		r.End(now, name, "x", res, 0, 0, 0)
	}
	assert.Assert(t, bad > 0 && bad <= 6, "%d starts on the bad target", bad)
}
