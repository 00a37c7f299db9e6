package place_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

// waitingJobs is the queue length at which decisions are measured.
const waitingJobs = 12_000

// targetFleet returns a Core with the fleet expected in two years, about 1.2
// accelerators per worker: of 40 workers one has 8 accelerators and the others
// 1, and 40 workers form a rack.
func targetFleet(workers int) *place.Core {
	c := place.New(place.Config{Region: "r"})
	for i := range workers {
		n := 1
		if i%40 == 0 {
			n = 8
		}
		c.PutWorker(0, place.Worker{
			Name: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i%3), Rack: fmt.Sprint("r", i/40), Accelerators: n,
		})
	}
	var d chestnutpond.Document
	for a := range 510 {
		account := chestnutpond.Account{Name: fmt.Sprint("a", a), Weight: 1 + a%5}
		if a < workers/20 {
			account.Guarantees = []chestnutpond.Guarantee{{
				Region: "r", Count: 1, Shape: shape(1+a%8, chestnutpond.AdjacencyRack),
			}}
		}
		d.Accounts = append(d.Accounts, account)
	}
	c.SetDocument(0, d)
	return c
}

func benchSpec(i int) chestnutpond.JobSpec {
	sizes := []int{1, 1, 1, 1, 2, 2, 4, 8, 16, 64}
	adjacent := []chestnutpond.Adjacency{chestnutpond.AdjacencyRack, chestnutpond.AdjacencyZone}
	classes := []chestnutpond.Class{chestnutpond.ClassUrgent, chestnutpond.ClassStandard, chestnutpond.ClassBulk}
	return chestnutpond.JobSpec{
		ID: chestnutpond.JobID(fmt.Sprint("j", i)), Account: fmt.Sprint("a", i*7%510), Caller: fmt.Sprint("c", i%3),
		Kind: "k", Class: classes[i%3], Region: "r", Shape: shape(sizes[i/3%10], adjacent[i/30%2]), MaxAttempts: 3,
	}
}

// loadedCore fills the fleet and leaves at least waitingJobs jobs waiting. It
// returns the running jobs in the order of their start.
func loadedCore(workers int) (c *place.Core, running []chestnutpond.JobID, next int) {
	c = targetFleet(workers)
	for {
		before := len(running)
		for range 2000 {
			c.Submit(0, benchSpec(next), 0)
			next++
		}
		for _, a := range c.Decide(0) {
			if a.Kind == place.ActionStart {
				running = append(running, a.Job)
				c.Running(0, a.Job, a.Attempt)
			}
		}
		if waiting := next - len(running); waiting >= waitingJobs && len(running) == before {
			return c, running, next
		}
		if next-len(running) >= waitingJobs {
			return c, running, next
		}
	}
}

// BenchmarkDecide measures the end of one job, one submission and the following
// decision, with a full fleet and a long queue.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{10, 100, 1000, 8300} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c, running, next := loadedCore(workers)
			now := time.Duration(0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += time.Second
				if len(running) > 0 {
					c.Remove(now, running[0])
					running = running[1:]
				}
				c.Submit(now, benchSpec(next), 0)
				next++
				for _, a := range c.Decide(now) {
					switch a.Kind {
					case place.ActionStart:
						running = append(running, a.Job)
						c.Running(now, a.Job, a.Attempt)
					case place.ActionPreempt:
						c.Stopped(now, a.Job, a.Attempt)
						running = without(running, a.Job)
					}
				}
			}
		})
	}
}

func without(list []chestnutpond.JobID, id chestnutpond.JobID) []chestnutpond.JobID {
	for i := range list {
		if list[i] == id {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// BenchmarkMemory reports the heap bytes per worker and per waiting job.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		empty := heapBytes()
		c := targetFleet(8300)
		fleet := heapBytes()
		for i := range waitingJobs {
			c.Submit(0, benchSpec(i), 0)
		}
		full := heapBytes()
		runtime.KeepAlive(c)
		b.ReportMetric(float64(fleet-empty)/8300, "B/worker")
		b.ReportMetric(float64(full-fleet)/waitingJobs, "B/job")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkWave compares cancelling waiting jobs with running the same number
// of jobs.
func BenchmarkWave(b *testing.B) {
	b.Run("cancel", func(b *testing.B) {
		c, _, next := loadedCore(1000)
		for i := range b.N {
			c.Submit(0, benchSpec(next+i), 0)
		}
		b.ResetTimer()
		for i := range b.N {
			c.Remove(0, benchSpec(next+i).ID)
		}
		c.Decide(0)
	})
	b.Run("run", func(b *testing.B) {
		c, running, next := loadedCore(1000)
		b.ResetTimer()
		for i := range b.N {
			c.Submit(0, benchSpec(next+i), 0)
			c.Remove(0, running[i%len(running)])
			for _, a := range c.Decide(0) {
				if a.Kind == place.ActionStart {
					running = append(running, a.Job)
				}
			}
		}
	})
}
