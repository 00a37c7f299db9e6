package world

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

var (
	// The default seeds are those of CI.
	lossesFirst = flag.Uint64("losses.first", 1, "first seed of TestLosses")
	lossesSeeds = flag.Uint64("losses.seeds", 12, "number of seeds of TestLosses")
)

const (
	lossesWorkers = 6
	// mostLost is how many workers are lost at a time, some of them for good.
	mostLost = 3
	// mostMembers is the largest number of members of a gang.
	mostMembers = 4
	// perpetualTasks is the number of tasks of a job that does not end by itself.
	perpetualTasks = 2
	lossesWork     = 2 * time.Second
	// lossesZone is the zone that operators evacuate.
	lossesZone = "zone-1"
)

// TestLosses draws losses of workers, for a while or for good, between the faults of TestChaos
// and evacuations of zones, while single tasks, gangs and perpetual tasks come. It guards
// against work of a lost worker that is never placed elsewhere.
func TestLosses(t *testing.T) {
	for seed := *lossesFirst; seed < *lossesFirst+*lossesSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { losses(t, seed) })
	}
}

type lossesRun struct {
	*chaosRun
	// lost has the workers that are lost.
	lost map[*Agent]bool
	// submitted counts the submissions of jobs of single tasks.
	submitted int
	// perpetual are the accepted jobs that do not end by themselves.
	perpetual []string
}

// gangJobs and perpetualJobs mark the ids of such jobs.
const (
	gangJobs      = "00000000000000c"
	perpetualJobs = "00000000000000d"
)

func losses(t *testing.T, seed uint64) {
	playWith(t, lossesWork, func(c *Config) {
		c.Workers, c.Zones, c.Model = lossesWorkers, 2, lossesModel
	}, func(t *testing.T, w *World) {
		c := &chaosRun{t: t, w: w, random: rand.New(rand.NewPCG(seed, 3)), want: map[string]chestnutpond.Outcome{}}
		l := &lossesRun{chaosRun: c, lost: map[*Agent]bool{}}
		for end := time.Now().Add(chaosTime); time.Now().Before(end); {
			l.submitNext()
			if l.disturb() {
				// The loss is not known yet.
				time.Sleep(time.Duration(l.random.IntN(300)) * time.Millisecond)
				l.submitNext()
			}
			time.Sleep(time.Duration(l.random.IntN(1500)) * time.Millisecond)
		}
		l.calm()
		w.SetEvacuated(lossesZone, false)
		l.check()
		l.checkPerpetual()
	})
}

// lossesModel returns the model of a task; gangs have their size in the last digit of the id.
func lossesModel(ref chestnutpond.TaskRef) stand.TaskModel {
	m := stand.TaskModel{Work: lossesWork, Need: oneTask}
	switch string(ref.Job[:len(gangJobs)]) {
	case gangJobs:
		m.Gang = int(ref.Job[len(gangJobs)] - '0')
	case perpetualJobs:
		m.Perpetual = true
	}
	return m
}

// submitNext submits a job of single tasks, a gang, or perpetual tasks.
func (l *lossesRun) submitNext() {
	e := l.living()
	if e == nil || len(l.want) >= chaosJobs {
		return
	}
	l.submitted++
	id, g := fmt.Sprintf("%016x", l.submitted), tasks(1+l.random.IntN(chaosTasks))
	switch members := 1 + l.random.IntN(mostMembers); l.random.IntN(5) {
	case 0, 1:
		id, g = fmt.Sprintf("%s%d", gangJobs, members), tasks(members)
		g.Steps[0].Gang = true
	case 2:
		id, g = fmt.Sprintf("%s%d", perpetualJobs, members), tasks(perpetualTasks)
		g.Steps[0].Perpetual = true
	}
	if _, known := l.want[id]; known || slices.Contains(l.perpetual, id) {
		return
	}
	v := e.Submit(id, g)
	if v.Outcome != chestnutpond.OutcomeAccepted {
		return
	}
	if g.Steps[0].Perpetual {
		l.perpetual = append(l.perpetual, id)
		return
	}
	l.want[id] = v.Outcome
}

// disturb draws one fault, and reports whether it is the loss of a worker.
func (l *lossesRun) disturb() bool {
	a := l.w.Agents[l.random.IntN(len(l.w.Agents))]
	after := time.Duration(500+l.random.IntN(9000)) * time.Millisecond
	switch draw := l.random.IntN(12); {
	case draw < 4 && !l.lost[a] && len(l.lost) < mostLost:
		l.lost[a] = true
		a.Lose()
		return true
	case draw < 6 && l.lost[a]:
		delete(l.lost, a)
		a.Regain()
	case draw == 6 && l.lost[a]:
		// It is lost again as soon as its agent has noticed its return.
		a.Regain()
		a.Report()
		a.Lose()
		return true
	case draw == 7:
		// The store may be away. The last request is taken back when all faults are over.
		_ = l.w.TrySetEvacuated(lossesZone, true)
		time.AfterFunc(after, func() { _ = l.w.TrySetEvacuated(lossesZone, false) })
	case l.lost[a]:
		// The other faults of a worker would end its loss.
	default:
		l.fault()
	}
	return false
}

// checkPerpetual expects every perpetual task to run.
func (l *lossesRun) checkPerpetual() {
	for _, id := range l.perpetual {
		ok := l.w.Until(chaosSettle, func() bool { return l.w.tasksRunning(id) == perpetualTasks })
		assert.Assert(l.t, ok, "%d tasks of job %s run\n%s", l.w.tasksRunning(id), id, l.w.describe(id))
	}
}

// tasksRunning returns the number of runs of a job on all workers.
func (w *World) tasksRunning(id string) int {
	count := 0
	for _, a := range w.Agents {
		for _, r := range a.Worker.Listing().Running {
			if string(r.Task.Job) == id {
				count++
			}
		}
	}
	return count
}
