package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

// Guards against accepting shapes that no worker, rack or zone can hold, and
// against rejecting shapes that one can.
func TestFits(t *testing.T) {
	c := newCore(7, document())
	tests := map[string]struct {
		shape chestnutpond.Shape
		want  bool
	}{
		"none":                {shape(0, chestnutpond.AdjacencyWorker), false},
		"a worker":            {shape(8, chestnutpond.AdjacencyWorker), true},
		"more than a worker":  {shape(9, chestnutpond.AdjacencyWorker), false},
		"a rack":              {shape(24, chestnutpond.AdjacencyRack), true},
		"more than a rack":    {shape(25, chestnutpond.AdjacencyRack), false},
		"a zone":              {shape(56, chestnutpond.AdjacencyZone), true},
		"more than the zone":  {shape(57, chestnutpond.AdjacencyZone), false},
		"a remainder in rack": {shape(20, chestnutpond.AdjacencyRack), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.Fits(test.shape), test.want)
		})
	}
}

// Guards against a refused start that is retried forever without a growing
// delay, that counts against the worker, or that is never retried because
// NextWake returns no time.
func TestRefusedStartIsRetriedLater(t *testing.T) {
	c := newCore(1, document())
	c.Submit(0, spec("j", "a", chestnutpond.ClassUrgent, shape(8, chestnutpond.AdjacencyWorker)), 0)
	now := time.Duration(0)
	last := time.Duration(0)
	for attempt := int64(1); attempt <= 6; attempt++ {
		assert.Equal(t, startActions(c.Decide(now))["j"].Attempt, attempt)
		c.StartFailed(now, "j", attempt, place.Failure{Worker: "w0", Reason: "no accelerator"})
		assert.Equal(t, len(c.Decide(now)), 0)
		reason, ok := c.WaitReason("j")
		assert.Assert(t, ok && reason != "")
		wake, ok := c.NextWake(now)
		assert.Assert(t, ok && wake-now > last, "wake at %v, now %v, last pause %v", wake, now, last)
		last, now = wake-now, wake
	}
}
