package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against ordinary work that takes the last whole workers although urgent work
// arrives all the time, and against workers that stay unused once none arrives.
func TestHeadroom(t *testing.T) {
	for name, tt := range map[string]struct {
		policy  Policy
		seconds int
		// least and most bound the workers that the ordinary work leaves free of ten.
		least, most int
	}{
		"off":                 {policy: Policy{}},
		"urgent work arrives": {policy: Policy{Headroom: true}, least: 1, most: 2},
		"none for a minute":   {policy: Policy{Headroom: true}, seconds: 60},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 5, 5)
			b.p.cfg.Policy = tt.policy
			for range 10 {
				id := b.submit(0, "ventas", chestnutpond.Step{Count: 2, Need: big, Estimate: 3 * time.Second, Gang: true})
				b.round()
				b.advance(time.Second, 30)
				b.endRuns(id, chestnutpond.RunDone)
			}
			b.round()
			for range tt.seconds {
				b.advance(time.Second, 0)
				b.round()
			}
			id := b.submit(1, "stock", chestnutpond.Step{Count: 20, Need: big, Estimate: 10 * time.Second})
			b.round()
			left := len(b.workers) - len(b.placements(id))
			assert.Assert(t, left >= tt.least && left <= tt.most, "%d workers left free", left)
		})
	}
}
