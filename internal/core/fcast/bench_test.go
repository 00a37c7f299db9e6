package fcast

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

var (
	workerCapacity = chestnutpond.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}
	whole          = chestnutpond.Resources{CPU: 7500, Memory: 31000, Accelerators: 8}
	large          = chestnutpond.Resources{CPU: 26000, Memory: 30000, Accelerators: 2}
	small          = chestnutpond.Resources{CPU: 5600, Memory: 8000, Accelerators: 1}
)

// fullFleet returns a fleet whose accelerators are all in use by single tasks that end one
// after the other within 8 s, with waiting work of three priorities.
func fullFleet(workers, waitingSteps int) Snapshot {
	s := Snapshot{}
	for i := range workers {
		w := Worker{Service: "s", Rack: fmt.Sprintf("r%d", i/5), Capacity: workerCapacity, Free: workerCapacity}
		for k := range 8 {
			w.Free = w.Free.Minus(small)
			w.Releases = append(w.Releases, Release{After: time.Duration((i+k)%8+1) * time.Second, Need: small, Priority: 2})
		}
		s.Workers = append(s.Workers, w)
	}
	for _, part := range []Work{
		{Priority: 0, Shape: Shape{Need: whole, Width: 5, Gang: true, SameRack: true}, Duration: 2500 * time.Millisecond},
		{Priority: 1, Shape: Shape{Need: large, Width: 6}, Duration: 11 * time.Second},
		{Priority: 2, Shape: Shape{Need: small, Width: 39}, Duration: 7600 * time.Millisecond},
	} {
		part.Service = "s"
		for i := range waitingSteps / 3 {
			one := part
			one.Standing = Standing(3 * i / max(1, waitingSteps/3))
			// Needs and estimates differ from job to job, estimates by factors.
			one.Shape.Need.CPU -= chestnutpond.MilliCPU(37 * i)
			one.Shape.Need.Memory -= chestnutpond.MiB(53 * i)
			one.Duration = part.Duration/2 + time.Duration(i*i%17)*part.Duration/8
			one.OnTimeFor, one.ValidFor = part.Duration/2, 3*part.Duration
			s.Waiting = append(s.Waiting, one)
		}
		s.Queues = append(s.Queues, QueueSnapshot{
			Name: fmt.Sprintf("q%d", part.Priority), Service: "s", Priority: part.Priority, Duration: part.Duration,
			Classes: []Shape{part.Shape, {Need: part.Shape.Need, Width: 1}, {Need: whole, Width: 2}},
		})
	}
	return s
}

// BenchmarkCompute measures a forecast of the sizes of the deployments: 60 workers, and up to
// 300 with thousands of waiting tasks. The leader computes one each 500 ms on 0.19 of a core.
func BenchmarkCompute(b *testing.B) {
	for _, c := range []struct{ workers, steps int }{{60, 60}, {60, 150}, {160, 150}, {300, 150}, {300, 450}} {
		s := fullFleet(c.workers, c.steps)
		tasks := 0
		for _, w := range s.Waiting {
			tasks += w.Shape.Width
		}
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", c.workers, tasks), func(b *testing.B) {
			f := New()
			b.ReportAllocs()
			for range b.N {
				f.Compute(s)
			}
		})
	}
}
