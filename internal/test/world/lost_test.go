package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const (
	secondJobID = "00000000000000a2"
	// recoveryTime is the time in which the tasks of a lost worker must run elsewhere: its
	// silence is noticed, its lease expires, and the tasks are done.
	recoveryTime = Lease + 5*time.Second
	// orderDelayLimit is the time after which an unanswered order is not executed any more.
	orderDelayLimit = 13 * time.Second
)

// Lose ends the worker for good: it runs nothing, sends nothing and refuses connections. Its
// agent lives on.
func (a *Agent) Lose() {
	a.SetQuiet(true)
	a.Worker.Exit()
}

// Regain starts another incarnation of a lost worker.
func (a *Agent) Regain() {
	a.Worker.Restart()
	a.SetQuiet(false)
}

// wholeWorkers returns a job of a gang of which each task takes a whole worker.
func wholeWorkers(count int) chestnutpond.Graph {
	return chestnutpond.Graph{Payload: "x", Steps: []chestnutpond.Step{{Count: count, Need: wholeWorker, Gang: true}}}
}

// Guards against the tasks of a lost worker that are never placed elsewhere, because a start
// order that the worker does not answer is repeated and counts as a renewal of its lease.
func TestLostWorkerWithStartOnItsWay(t *testing.T) {
	restartLeader := func(w *World) {
		e := w.Leader()
		e.Kill()
		e.Start()
	}
	for name, c := range map[string]struct {
		// lose is how the worker is lost.
		lose func(a *Agent)
		// delay is the time between the loss and the submission of the second job.
		delay time.Duration
		// fault strikes after the second job has been placed.
		fault func(w *World)
		limit time.Duration
	}{
		"at once":                  {(*Agent).Lose, 0, func(*World) {}, recoveryTime},
		"before it is noticed":     {(*Agent).Lose, 200 * time.Millisecond, func(*World) {}, recoveryTime},
		"and the leader is killed": {(*Agent).Lose, 0, restartLeader, recoveryTime},
		"and the leader is killed later": {(*Agent).Lose, 0, func(w *World) {
			time.Sleep(3 * time.Second)
			restartLeader(w)
		}, recoveryTime},
		"and the agent is killed": {(*Agent).Lose, 0, func(w *World) {
			w.Agents[0].Kill()
			w.Agents[0].Start()
		}, recoveryTime},
		"and its zone is evacuated": {(*Agent).Lose, 0, func(w *World) { w.SetEvacuated("zone-1", true) }, recoveryTime},
		"and its zone is evacuated as the leader is killed": {(*Agent).Lose, 0, func(w *World) {
			w.SetEvacuated("zone-1", true)
			restartLeader(w)
		}, recoveryTime},
		"and is lost again as it returns": {(*Agent).Lose, 0, func(w *World) {
			a := w.Agents[0]
			time.Sleep(time.Second)
			a.Regain()
			for !a.Report() {
				time.Sleep(time.Millisecond)
			}
			a.Lose()
		}, recoveryTime},
		"silent": {func(a *Agent) {
			a.SetQuiet(true)
			a.Worker.SetMute(true)
		}, 0, func(*World) {}, orderDelayLimit + recoveryTime},
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, 2*time.Second, func(c *Config) { c.Zones = 2 }, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(4))
				w.running(t, 4)
				c.lose(w.Agents[0])
				time.Sleep(c.delay)
				w.accept(t, w.Entries[0], secondJobID, tasks(4))
				time.Sleep(50 * time.Millisecond)
				c.fault(w)
				for _, id := range []string{jobID, secondJobID} {
					assert.Assert(t, w.Ended(c.limit, id, chestnutpond.JobCompleted), "job %s is not done", id)
				}
			})
		})
	}
}

// Guards against a gang that never runs again, because the order to stop a member that was
// never started on a lost worker has no outcome.
func TestGangWithMemberOnLostWorker(t *testing.T) {
	const members = 4
	setUp := func(c *Config) {
		c.Workers = members + 1
		c.Model = func(chestnutpond.TaskRef) stand.TaskModel {
			return stand.TaskModel{Work: 2 * time.Second, Need: wholeWorker, Gang: members}
		}
	}
	playWith(t, 2*time.Second, setUp, func(t *testing.T, w *World) {
		spare := w.Agents[members]
		spare.Lose()
		time.Sleep(2 * time.Second)
		w.Agents[0].Lose()
		w.accept(t, w.Entries[0], jobID, wholeWorkers(members))
		time.Sleep(500 * time.Millisecond)
		spare.Regain()
		time.Sleep(4 * time.Second)
		assert.Assert(t, w.Ended(recoveryTime, jobID, chestnutpond.JobCompleted), "the gang does not run again")
	})
}
