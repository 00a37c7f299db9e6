package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against questions that take more of the leader's time than their share, or more than
// five a second, and against a wait after which the next one is refused again.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		took time.Duration
		most int
	}{
		"cheap":     {time.Millisecond, 10 * whereRate},
		"expensive": {250 * time.Millisecond, 4},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b, now, made := newBudget(), time.Hour, 0
			for end := now + 10*time.Second; now < end; {
				if wait := b.take(now); wait > 0 {
					now += wait
					assert.Equal(t, b.take(now), time.Duration(0))
				}
				now += tt.took
				b.spend(now, tt.took)
				made++
			}
			assert.Assert(t, made <= tt.most+1 && made >= tt.most-2, "%d evaluations in 10 s", made)
		})
	}
}
