package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// restartAgents replaces the processes of all agents, one after the other, and calls between
// while they are away.
func (w *World) restartAgents(between func()) {
	for _, a := range w.Agents {
		a.Kill()
	}
	between()
	time.Sleep(time.Second)
	for _, a := range w.Agents {
		a.Start()
	}
}

// restartWithoutFence starts another incarnation of the worker that receives no call, and so no
// fence, around the given time.
func (a *Agent) restartWithoutFence(at time.Time) {
	time.Sleep(time.Until(at.Add(-100 * time.Millisecond)))
	a.SetQuiet(true)
	a.Worker.Restart()
	a.Worker.SetMute(true)
	time.Sleep(time.Second)
	a.Worker.SetMute(false)
	a.SetQuiet(false)
}

// TestLateOrderMeetsRestartedAgent guards against a task that runs twice at a time because a new
// process of an agent reports a start as refused that its former process left in doubt.
func TestLateOrderMeetsRestartedAgent(t *testing.T) {
	const late, work = 5 * time.Second, 8 * time.Second
	drain := func(w *World) {
		for _, a := range w.Agents[:3] {
			a.Worker.SetState(chestnutpond.WorkerDraining)
		}
	}
	for name, between := range map[string]func(w *World){
		"workers drain": drain,
		"workers drain, and the leader is replaced": func(w *World) {
			drain(w)
			leader := w.Leader()
			leader.Kill()
			leader.Start()
		},
		"the worker refuses starts for some time": func(w *World) {
			first := w.Agents[0].Worker
			first.SetUnhealthy(true)
			time.AfterFunc(3*time.Second, func() { first.SetUnhealthy(false) })
		},
		"workers drain, and the agents restart once more": func(w *World) {
			drain(w)
			w.restartAgents(func() {})
			time.Sleep(500 * time.Millisecond)
			for _, a := range w.Agents {
				a.Kill()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, work, func(t *testing.T, w *World) {
				for _, a := range w.Agents {
					a.Worker.SetLate(late)
				}
				w.accept(t, w.Entries[0], jobID, tasks(8))
				time.Sleep(100 * time.Millisecond)
				for _, a := range w.Agents {
					a.Worker.SetLate(0)
				}
				w.restartAgents(func() { between(w) })
				assert.Assert(t, w.Ended(late+work+5*time.Second, jobID, chestnutpond.JobCompleted))
			})
		})
	}
}

// TestLateOrderMeetsRestartedAgentAndWorker guards against a task that runs twice at a time
// because a start that a former process of the agent left in doubt is executed by a later
// incarnation of the worker, after the lease of the former one was over.
func TestLateOrderMeetsRestartedAgentAndWorker(t *testing.T) {
	const late, work = 10 * time.Second, 8 * time.Second
	play(t, work, func(t *testing.T, w *World) {
		first := w.Agents[0]
		first.Worker.SetLate(late)
		w.accept(t, w.Entries[0], jobID, tasks(8))
		ordered := time.Now()
		time.Sleep(100 * time.Millisecond)
		first.Worker.SetLate(0)
		first.Kill()
		time.Sleep(time.Second)
		first.Start()
		time.Sleep(time.Second)
		first.Worker.SetMute(true)
		first.restartWithoutFence(ordered.Add(late))
		assert.Assert(t, w.Ended(late+2*work, jobID, chestnutpond.JobCompleted))
	})
}

// TestLateOrderMeetsReplacedLeaderAndRestartedWorker guards against a task that runs twice at a
// time because a new leader does not know that a start of its last run is in doubt, and a later
// incarnation of the worker executes it.
func TestLateOrderMeetsReplacedLeaderAndRestartedWorker(t *testing.T) {
	const late, work = 10 * time.Second, 8 * time.Second
	play(t, work, func(t *testing.T, w *World) {
		first := w.Agents[0]
		first.Worker.SetLate(late)
		w.accept(t, w.Entries[0], jobID, tasks(8))
		ordered := time.Now()
		time.Sleep(100 * time.Millisecond)
		first.Worker.SetLate(0)
		first.Worker.SetMute(true)
		time.Sleep(time.Until(ordered.Add(8 * time.Second)))
		leader := w.Leader()
		leader.Kill()
		leader.Start()
		first.restartWithoutFence(ordered.Add(late))
		assert.Assert(t, w.Ended(late+2*work, jobID, chestnutpond.JobCompleted))
	})
}
