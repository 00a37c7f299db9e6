package route

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures one Pick, Begin and End on targets in three zones and
// another region, with half of the slots in use.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 8300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := New(Config{Region: "r1", Zone: "z1", Seed: 1})
			for i := range n {
				region, zone := "r1", fmt.Sprintf("z%d", i%3)
				if i%4 == 3 {
					region = "r2"
				}
				r.PutTarget(0, Target{
					Name: fmt.Sprintf("t%d", i), Region: region, Zone: zone, Slots: 8, Connections: 64,
					Kinds: []string{"x", "y", "z"}, Up: true,
				})
			}
			ring := make([]string, 4*n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				if old := ring[i%len(ring)]; old != "" {
					r.End(now, old, "x", ResultAnswered, time.Second, 0, 4)
				}
				name, ok := r.Pick(now, Query{Kind: "x"})
				if ok {
					r.Begin(now, name, "x", 0)
				}
				ring[i%len(ring)] = name
			}
		})
	}
}
