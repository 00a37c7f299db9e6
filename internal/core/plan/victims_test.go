package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against stopping two jobs, each of which is cheaper than a gang, where the gang
// makes room on both workers and costs less than the two together.
func TestTotalCost(t *testing.T) {
	for name, tt := range map[string]struct {
		policy Policy
		stops  int
	}{
		"in turn":    {Policy{}, 2},
		"total cost": {Policy{TotalCost: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			b.p.cfg.Policy = tt.policy
			// None of the jobs is late if it is stopped, so only the work counts.
			step := chestnutpond.Step{Count: 1, Need: big, Estimate: 30 * time.Second}
			jobs := []chestnutpond.JobID{b.submit(1, "stock", step), b.submit(1, "stock", step)}
			b.round()
			b.advance(time.Second, 3)
			b.round()
			step.Count, step.Gang = 2, true
			jobs = append(jobs, b.submit(1, "stock", step))
			b.round()
			b.advance(time.Second, 3)
			b.advance(time.Second, 3)
			step.Estimate = 2 * time.Second
			urgent := b.submit(0, "ventas", step)
			b.wall = b.wall.Add(2 * time.Second)
			for range 3 {
				b.advance(100*time.Millisecond, 1)
				b.round()
			}
			assert.Equal(t, len(b.placements(urgent)), 2)
			stopped := 0
			for _, id := range jobs {
				if len(b.placements(id)) == 0 {
					stopped++
				}
			}
			assert.Equal(t, stopped, tt.stops)
		})
	}
}
