package world

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

var (
	// The default seeds are those of CI.
	doubtsFirst = flag.Uint64("doubts.first", 1, "first seed of TestDoubts")
	doubtsSeeds = flag.Uint64("doubts.seeds", 12, "number of seeds of TestDoubts")
)

const (
	doubtsWork = 4 * time.Second
	// latestStart is how late a start without an answer may be carried out.
	latestStart = 12 * time.Second
)

// TestDoubts draws starts that get no answer and are carried out late, while the processes that
// know of them are replaced and their workers drain, refuse, go silent or start again, between the
// faults of TestChaos. It guards against tasks that run twice because a doubt was forgotten.
func TestDoubts(t *testing.T) {
	for seed := *doubtsFirst; seed < *doubtsFirst+*doubtsSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { doubts(t, seed) })
	}
}

type doubtsRun struct {
	*chaosRun
}

func doubts(t *testing.T, seed uint64) {
	playWith(t, doubtsWork, func(c *Config) { c.Workers = lossesWorkers }, func(t *testing.T, w *World) {
		c := &chaosRun{t: t, w: w, random: rand.New(rand.NewPCG(seed, 4)), want: map[string]chestnutpond.Outcome{}}
		d := &doubtsRun{c}
		n := 0
		for end := time.Now().Add(chaosTime); time.Now().Before(end); n++ {
			a := w.Agents[d.random.IntN(len(w.Agents))]
			a.Worker.SetLate(time.Duration(d.random.Int64N(int64(latestStart))))
			if n < chaosJobs {
				d.submit(n)
			}
			d.wait(600 * time.Millisecond)
			a.Worker.SetLate(0)
			d.disturb(a)
			d.wait(2 * time.Second)
		}
		d.calm()
		for _, a := range w.Agents {
			a.Worker.SetUnhealthy(false)
			a.Worker.SetState(chestnutpond.WorkerReady)
		}
		d.check()
	})
}

func (d *doubtsRun) wait(most time.Duration) { time.Sleep(time.Duration(d.random.Int64N(int64(most)))) }

// disturb replaces processes that may know of a start in doubt, and disturbs its worker.
func (d *doubtsRun) disturb(a *Agent) {
	after := time.Duration(200+d.random.IntN(3000)) * time.Millisecond
	draw := d.random.IntN(4)
	if draw != 0 {
		d.restartAgent(a, after)
	}
	if l := d.w.Leader(); l != nil && draw == 1 {
		d.wait(time.Second)
		d.restart(l, after)
	}
	until := after + time.Duration(d.random.IntN(4000))*time.Millisecond
	switch d.random.IntN(6) {
	case 0:
		a.Worker.SetState(chestnutpond.WorkerDraining)
		time.AfterFunc(until, func() { a.Worker.SetState(chestnutpond.WorkerReady) })
	case 1:
		a.Worker.SetUnhealthy(true)
		time.AfterFunc(until, func() { a.Worker.SetUnhealthy(false) })
	case 2:
		a.Worker.SetMute(true)
		time.AfterFunc(until, func() { a.Worker.SetMute(false) })
	case 3:
		time.AfterFunc(until, a.Worker.Restart)
	case 4:
		a.SetQuiet(true)
		time.AfterFunc(until, func() { a.SetQuiet(false) })
	default:
		d.fault()
	}
}
