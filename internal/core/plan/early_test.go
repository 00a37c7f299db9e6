package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against urgent work that waits for runs that could be stopped at little loss, and
// against stopping runs early that lose their work or are as urgent.
func TestPreemptEarly(t *testing.T) {
	bulk := chestnutpond.Step{Count: 1, Need: big, Estimate: 25 * time.Second, Checkpointable: true}
	lossy := bulk
	lossy.Checkpointable = false
	cases := map[string]struct {
		off      bool
		victim   chestnutpond.Step
		priority int
		want     int
	}{
		"checkpointed bulk":        {victim: bulk, priority: 2, want: 2},
		"checkpointed, policy off": {off: true, victim: bulk, priority: 2},
		"bulk that loses its work": {victim: lossy, priority: 2},
		"urgent work":              {victim: bulk},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.p.cfg.Policy.PreemptEarly = !tt.off
			for range 2 {
				b.submit(tt.priority, "stock", tt.victim)
			}
			b.round()
			// The runs end before the slack of the urgent work is used up, and one without
			// checkpoints has much to lose.
			for range 20 {
				b.advance(time.Second, 4)
				b.round()
				for _, w := range b.workers {
					for r := range w.running {
						b.p.workers[w.info.ID].runs[runKey{r.Task, r.Run}].task.checkpoint = "c"
					}
				}
			}
			id := b.submit(0, "stock", chestnutpond.Step{Count: 2, Need: big, Gang: true, Estimate: 20 * time.Second})
			b.round()
			b.round()
			b.round()
			started := 0
			for _, n := range b.placements(id) {
				started += n
			}
			assert.Equal(t, started, tt.want)
		})
	}
}
