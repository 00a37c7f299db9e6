package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// BenchmarkDecide measures a round on a full fleet of 64 workers with several
// hundred waiting units, as on the busiest days of the larger deployments.
func BenchmarkDecide(b *testing.B) { benchmarkDecide(b, Config{}) }

// BenchmarkDecideHeadroom measures the same round with whole workers kept free.
func BenchmarkDecideHeadroom(b *testing.B) {
	benchmarkDecide(b, Config{Policy: Policy{Headroom: true}})
}

// BenchmarkDecidePreemption measures the same round with victims by total cost.
func BenchmarkDecidePreemption(b *testing.B) {
	benchmarkDecide(b, Config{Policy: Policy{TotalCost: true}})
}

func benchmarkDecide(b *testing.B, policies Config) {
	t := &testing.T{}
	racks := make([]int, 13)
	for i := range racks {
		racks[i] = 5
	}
	f := newTestbed(t, racks...)
	f.p.cfg.Policy = policies.Policy
	for i := range 30 {
		f.submit(2, "stock", chestnutpond.Step{Count: 39, Need: small, Estimate: 9 * time.Second})
		f.submit(1, "stock", chestnutpond.Step{Count: 7, Need: big, Estimate: 8 * time.Second, Gang: i%2 == 0})
		f.submit(0, "stock", chestnutpond.Step{Count: 5, Need: big, Estimate: 2 * time.Second, Gang: true, SameRack: true})
	}
	f.round()
	f.round()
	assert.Assert(b, !t.Failed())
	b.ResetTimer()
	for range b.N {
		f.advance(10*time.Millisecond, 0)
		f.p.Decide(f.now, f.wall)
	}
}
