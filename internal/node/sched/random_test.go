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

// TestRandomFaults guards against combinations of faults that lose a job, run two
// attempts of a job at the same time, or start a job after its cancellation was
// confirmed. Calls fail, agents are disconnected or restarted, entries are killed
// and replaced, and the log service fails, at random times.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &chaos{
					cluster: newCluster(t), rnd: rand.New(rand.NewPCG(seed, 1)),
					cancelled: make(map[string]int),
				}
				c.runTime = time.Duration(2+seed%3*20) * time.Second
				c.run()
				c.heal()
				c.check()
			})
		})
	}
}

// chaos is a cluster with random faults.
type chaos struct {
	*cluster

	rnd     *rand.Rand
	entries []*entry
	jobs    []string
	// cancelled holds each job's number of starts when its cancellation was confirmed.
	cancelled map[string]int
}

func (c *chaos) run() {
	for i := range 3 {
		c.entries = append(c.entries, c.addEntry(fmt.Sprint("entry-", i)))
	}
	time.Sleep(5 * time.Second)
	for i := range 40 {
		if i%2 == 0 {
			c.submit(fmt.Sprint("j", i))
		}
		c.injectFault()
		time.Sleep(time.Duration(c.rnd.IntN(3000)) * time.Millisecond)
	}
}

// submit accepts a job through a random entry; a job whose append fails is skipped.
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

func (c *chaos) injectFault() {
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
		c.disconnectAgent(names[c.rnd.IntN(len(names))], time.Duration(c.rnd.IntN(60))*time.Second)
	case 8:
		c.restartAgent(names[c.rnd.IntN(len(names))])
	case 9, 10, 11:
		c.mu.Lock()
		s := []callKind{callPrepare, callCommit, callStop}[c.rnd.IntN(3)]
		c.faults = append(c.faults, callFault{s, c.calls[s] + 1 + c.rnd.IntN(3), c.rnd.IntN(2) == 0})
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
		c.cancelled[id] = c.startCount(id)
	}
}

// heal removes all faults and waits for the recovery.
func (c *chaos) heal() {
	c.log.SetFaults(stand.LogFaults{})
	c.mu.Lock()
	c.faults = nil
	c.mu.Unlock()
	time.Sleep(20 * time.Minute)
}

func (c *chaos) check() {
	for _, id := range c.jobs {
		state := c.entries[0].state(id)
		assert.Assert(c.t, state.Final(), "job %s is %s", id, state)
	}
	for id, starts := range c.cancelled {
		assert.Equal(c.t, c.startCount(id), starts, "job %s started after its cancellation", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(c.t, len(c.overlaps), 0, "two attempts ran at the same time: %v", c.overlaps)
}

// disconnectAgent disconnects an agent from all entries for a time. Its tasks
// continue until it has been isolated for gangs.IsolationTimeout.
func (cl *cluster) disconnectAgent(name string, d time.Duration) {
	cl.mu.Lock()
	a := cl.agents[name]
	if a.dead || a.unreachable {
		cl.mu.Unlock()
		return
	}
	a.unreachable = true
	a.unreachableAt = time.Since(cl.start)
	cl.mu.Unlock()
	cl.notifyEntries(name)
	if d > gangs.IsolationTimeout {
		time.AfterFunc(gangs.IsolationTimeout, func() { cl.stopIsolated(name) })
	}
	time.AfterFunc(d, func() {
		cl.mu.Lock()
		a.unreachable = false
		cl.mu.Unlock()
		cl.notifyEntries(name)
	})
}

// stopIsolated stops the tasks of an agent that has no contact with any entry.
func (cl *cluster) stopIsolated(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, t := range cl.agents[name].member.GetTasks() {
		if isLive(t) {
			cl.setState(name, t.GetJob(), t.GetAttempt(), inner.TaskState_TASK_STATE_STOPPED)
			cl.breakGang(t.GetJob(), t.GetAttempt())
		}
	}
}

// restartAgent kills an agent's process and starts a new incarnation, which finds
// the completed tasks on the worker and stops all others.
func (cl *cluster) restartAgent(name string) {
	cl.mu.Lock()
	a := cl.agents[name]
	for _, t := range a.member.GetTasks() {
		if isLive(t) {
			cl.breakGang(t.GetJob(), t.GetAttempt())
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
	cl.mu.Unlock()
	cl.notifyEntries(name)
}
