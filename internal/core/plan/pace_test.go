package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against fillers that keep a serving task above its latency target, and
// against fillers that stay throttled when the load is low again.
func TestPace(t *testing.T) {
	const target = 100 * time.Millisecond
	cases := map[string]struct {
		// loads are the serving task's reported loads, one per second.
		loads []int64
		want  int
	}{
		"far below the target":      {loads: []int64{20, 30, 20}, want: fullPace},
		"above the target":          {loads: []int64{150}, want: 50},
		"above it for long":         {loads: []int64{150, 150, 150, 150, 150, 150}, want: 0},
		"between low and high load": {loads: []int64{150, 80, 80, 80}, want: 50},
		"low load again":            {loads: []int64{150, 30, 30}, want: 80},
		"low load again for long":   {loads: []int64{150, 30, 30, 30, 30, 30, 30}, want: fullPace},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Perpetual: true, TailLatency: target})
			filler := b.submit(2, "stock", chestnutpond.Step{Count: 1, Need: small, Perpetual: true, Filler: true})
			b.round()
			b.round()
			w := b.worker("w1")
			for _, load := range tt.loads {
				w.load = load
				b.advance(time.Second, 0)
				b.round()
			}
			o, _ := b.p.Orders(b.now, "w1")
			got := fullPace
			for _, paced := range o.Paces {
				assert.Equal(t, paced.Task.Job, filler)
				got = paced.Percent
			}
			assert.Equal(t, got, tt.want)
		})
	}
}
