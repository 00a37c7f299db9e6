package sched

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var seeds = flag.Uint64("sched.seeds", 12, "number of seeds of TestRandomFaults, from 1")

// TestRandomFaults guards against any mix of faults that loses a job, lets two
// attempts of a job run at the same time, or starts a job after its cancellation
// was confirmed. Calls are cut, agents are cut off or restarted, entries are
// killed and replaced, and the log service fails, at random times.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &chaos{
					world: newWorld(t), rnd: rand.New(rand.NewPCG(seed, 1)),
					cancelled: make(map[string]int),
				}
				c.runTime = time.Duration(2+seed%3*20) * time.Second
				c.play()
				c.heal()
				c.check()
			})
		})
	}
}

// chaos is a world with random faults.
type chaos struct {
	*world

	rnd     *rand.Rand
	entries []*entry
	jobs    []string
	// cancelled holds the number of starts at the time of the confirmation.
	cancelled map[string]int
}

func (c *chaos) play() {
	for i := range 3 {
		c.entries = append(c.entries, c.addEntry(fmt.Sprint("entry-", i)))
	}
	time.Sleep(5 * time.Second)
	for i := range 40 {
		if i%2 == 0 {
			c.submit(fmt.Sprint("j", i))
		}
		c.disturb()
		time.Sleep(time.Duration(c.rnd.IntN(3000)) * time.Millisecond)
	}
}

// submit accepts a job through a random entry; a refused one is left out.
func (c *chaos) submit(id string) {
	account := []string{"sales", "stock"}[c.rnd.IntN(2)]
	spec := chestnutpond.JobSpec{
		ID: chestnutpond.JobID(id), Service: "s", Account: account, Kind: "run", Class: chestnutpond.ClassStandard,
		Region: "pampa", Checkpoint: time.Second, MaxAttempts: 100, MaxRuntime: time.Hour,
		Shape: chestnutpond.Shape{Accelerators: 4 << c.rnd.IntN(3), Adjacency: chestnutpond.AdjacencyRack},
	}
	e := c.entries[c.rnd.IntN(len(c.entries))]
	if e.appendWithin(3*time.Second, ledger.AcceptJob{Spec: spec}) == nil {
		c.jobs = append(c.jobs, id)
	}
}

func (c *chaos) disturb() {
	names := c.names()
	switch c.rnd.IntN(14) {
	case 0:
		c.log.SetFaults(stand.LogFaults{Outage: true})
	case 1:
		c.log.SetFaults(stand.LogFaults{LoseAnswers: 1 + c.rnd.IntN(5)})
	case 2:
		c.log.SetFaults(stand.LogFaults{Delay: stand.Duration(time.Second)})
	case 3, 4, 5:
		c.log.SetFaults(stand.LogFaults{})
	case 6:
		i := c.rnd.IntN(len(c.entries))
		c.entries[i].kill()
		c.entries[i] = c.addEntry(c.entries[i].name)
	case 7:
		c.cutOff(names[c.rnd.IntN(len(names))], time.Duration(c.rnd.IntN(60))*time.Second)
	case 8:
		c.restart(names[c.rnd.IntN(len(names))])
	case 9, 10, 11:
		c.mu.Lock()
		s := []step{stepPrepare, stepCommit, stepStop}[c.rnd.IntN(3)]
		c.cuts = append(c.cuts, cut{s, c.calls[s] + 1 + c.rnd.IntN(3), c.rnd.IntN(2) == 0})
		c.mu.Unlock()
	case 12:
		if len(c.jobs) > 0 {
			c.cancel(c.jobs[c.rnd.IntN(len(c.jobs))])
		}
	}
}

func (c *chaos) cancel(id string) {
	e := c.entries[0]
	if e.appendWithin(3*time.Second, ledger.CancelJob{Job: chestnutpond.JobID(id)}) != nil {
		return
	}
	if e.state(id) == chestnutpond.JobCancelled {
		c.cancelled[id] = c.startsOf(id)
	}
}

// heal ends all faults and waits for the recovery.
func (c *chaos) heal() {
	c.log.SetFaults(stand.LogFaults{})
	c.mu.Lock()
	c.cuts = nil
	c.mu.Unlock()
	time.Sleep(20 * time.Minute)
}

func (c *chaos) check() {
	for _, id := range c.jobs {
		state := c.entries[0].state(id)
		assert.Assert(c.t, state.Final(), "job %s is %s", id, state)
	}
	for id, starts := range c.cancelled {
		assert.Equal(c.t, c.startsOf(id), starts, "job %s started after its cancellation", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(c.t, len(c.overlaps), 0, "two attempts ran at the same time: %v", c.overlaps)
}

// cutOff separates an agent from all entries for a time. Its tasks run on until
// it has been isolated for too long.
func (w *world) cutOff(name string, d time.Duration) {
	w.mu.Lock()
	a := w.agents[name]
	if a.dead || a.cut {
		w.mu.Unlock()
		return
	}
	a.cut = true
	a.cutAt = time.Since(w.start)
	w.mu.Unlock()
	w.tell(name)
	if d > gangs.IsolationLimit {
		time.AfterFunc(gangs.IsolationLimit, func() { w.isolate(name) })
	}
	time.AfterFunc(d, func() {
		w.mu.Lock()
		a.cut = false
		w.mu.Unlock()
		w.tell(name)
	})
}

// isolate stops the tasks of an agent that no entry answers.
func (w *world) isolate(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.agents[name].member.GetTasks() {
		if live(t) {
			w.move(name, t.GetJob(), t.GetAttempt(), inner.TaskState_TASK_STATE_STOPPED)
			w.breakGang(t.GetJob(), t.GetAttempt())
		}
	}
}

// restart kills an agent's process and starts it again. It finds the completed
// tasks on the worker, and stops all others.
func (w *world) restart(name string) {
	w.mu.Lock()
	a := w.agents[name]
	for _, t := range a.member.GetTasks() {
		if live(t) {
			w.breakGang(t.GetJob(), t.GetAttempt())
		}
	}
	old := a.member.GetTasks()
	a.member = &inner.Member{
		Name: name, Incarnation: a.member.GetIncarnation() + 1, Sequence: 1, Address: name, Region: "pampa",
		Zone: "pampa-a", Rack: a.member.GetRack(), Accelerators: 8, Upstream: &inner.Upstream{},
	}
	for _, t := range old {
		if t.GetState() == inner.TaskState_TASK_STATE_COMPLETED {
			a.member.Tasks = append(a.member.Tasks, t)
		}
	}
	a.holds = make(map[string]time.Time)
	w.mu.Unlock()
	w.tell(name)
}
