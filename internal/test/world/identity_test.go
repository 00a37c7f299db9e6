package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a report or a leave of a former life of a worker, or of another worker,
// that ends the runs of its present life, which then run twice.
func TestLeavesOfAnotherLife(t *testing.T) {
	for name, leave := range map[string]func(former, current chestnutpond.WorkerIncarnation) chestnutpond.WorkerIncarnation{
		"former life": func(former, _ chestnutpond.WorkerIncarnation) chestnutpond.WorkerIncarnation { return former },
		"former life, no start time": func(former, _ chestnutpond.WorkerIncarnation) chestnutpond.WorkerIncarnation {
			return chestnutpond.WorkerIncarnation{ID: former.ID}
		},
		"another id": func(_, current chestnutpond.WorkerIncarnation) chestnutpond.WorkerIncarnation {
			return chestnutpond.WorkerIncarnation{ID: "stranger", StartedMs: current.StartedMs}
		},
		"later life": func(_, current chestnutpond.WorkerIncarnation) chestnutpond.WorkerIncarnation {
			return chestnutpond.WorkerIncarnation{ID: current.ID, StartedMs: current.StartedMs + 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 4*time.Second, func(t *testing.T, w *World) {
				former := make([]chestnutpond.WorkerIncarnation, len(w.Agents))
				for i, a := range w.Agents {
					former[i] = a.Worker.Life()
					a.Worker.Restart()
				}
				time.Sleep(2 * beatEvery)
				w.accept(t, w.Entries[0], jobID, tasks(20))
				w.running(t, 20)
				for i, a := range w.Agents {
					a.LeaveOf(leave(former[i], a.Worker.Life()))
				}
				assert.Assert(t, w.Ended(8*time.Second, jobID, chestnutpond.JobCompleted))
				w.startedOnce(t, jobID, 20)
				w.accept(t, w.Entries[0], "00000000000000a2", tasks(20))
				assert.Assert(t, w.Ended(8*time.Second, "00000000000000a2", chestnutpond.JobCompleted))
			})
		})
	}
}

// Guards against runs of a worker that has left and ended which wait for its lease to
// expire.
func TestWorkerLeaves(t *testing.T) {
	for name, stated := range map[string]bool{"start time stated": true, "no start time": false} {
		t.Run(name, func(t *testing.T) {
			play(t, 4*time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(8))
				w.running(t, 8)
				a := w.Agents[0]
				life, lost := a.Worker.Life(), a.Worker.Running()
				a.SetQuiet(true)
				a.Worker.Exit()
				if !stated {
					life.StartedMs = 0
				}
				a.LeaveOf(life)
				assert.Assert(t, w.Until(time.Second, func() bool {
					sum := 0
					for _, other := range w.Agents {
						sum += other.Worker.Running()
					}
					return sum == 8
				}), "%d runs are not started elsewhere", lost)
				assert.Assert(t, w.Ended(6*time.Second, jobID, chestnutpond.JobCompleted))
			})
		})
	}
}

// Guards against a worker that is ignored for good because the time of day by which its
// new life began is before that of the former one.
func TestWorkerWhoseClockWasSetBack(t *testing.T) {
	for name, restart := range map[string]func(w *World){
		"same id":    func(w *World) { w.Agents[0].Worker.Restart() },
		"another id": func(w *World) { w.Agents[0].Worker.RestartAs("worker-reborn") },
	} {
		t.Run(name, func(t *testing.T) {
			playWith(t, time.Second, func(c *Config) { c.Workers = 1 }, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(4))
				w.running(t, 4)
				w.Agents[0].Worker.SetClockLead(-2 * time.Second)
				restart(w)
				assert.Assert(t, w.Ended(12*time.Second, jobID, chestnutpond.JobCompleted))
			})
		})
	}
}

// Guards against an agent that gives up its worker for good after a leave that was not
// the worker's, and that nothing contradicted while the worker did not answer.
func TestWorkerThatReportsAfterItsLeave(t *testing.T) {
	playWith(t, time.Second, func(c *Config) { c.Workers = 1 }, func(t *testing.T, w *World) {
		a := w.Agents[0]
		a.LeaveOf(a.Worker.Life())
		time.Sleep(2 * beatEvery)
		w.accept(t, w.Entries[0], jobID, tasks(4))
		assert.Assert(t, w.Ended(5*time.Second, jobID, chestnutpond.JobCompleted))
		w.startedOnce(t, jobID, 4)
	})
}

// Guards against a worker that is silenced for good by the first report that its agent
// receives, which has its identity and a sequence and state of another sender.
func TestFirstReportOfAnotherSender(t *testing.T) {
	playWith(t, time.Second, func(c *Config) { c.Workers = 1 }, func(t *testing.T, w *World) {
		a := w.Agents[0]
		a.SetQuiet(true)
		a.Kill()
		a.Start()
		info := a.Worker.Info()
		info.Sequence, info.State = 1<<52, chestnutpond.WorkerDraining
		assert.Assert(t, a.ReportOf(info))
		a.SetQuiet(false)
		time.Sleep(4 * beatEvery)
		w.accept(t, w.Entries[0], jobID, tasks(4))
		assert.Assert(t, w.Ended(3*time.Second, jobID, chestnutpond.JobCompleted))
		w.startedOnce(t, jobID, 4)
	})
}

// Guards against a report of another sender that is believed because the worker does not
// answer at that moment.
func TestReportWhileWorkerIsMute(t *testing.T) {
	play(t, 3*time.Second, func(t *testing.T, w *World) {
		w.accept(t, w.Entries[0], jobID, tasks(8))
		w.running(t, 8)
		for _, a := range w.Agents {
			info := a.Worker.Info()
			info.ID, info.StartedMs = "stranger", info.StartedMs+1000
			a.Worker.SetMute(true)
			assert.Assert(t, !a.ReportOf(info))
			a.Worker.SetMute(false)
		}
		assert.Assert(t, w.Ended(8*time.Second, jobID, chestnutpond.JobCompleted))
		w.startedOnce(t, jobID, 8)
	})
}

// Guards against work for a label that the worker's new life does not have, before that
// life has reported.
func TestWorkerRebornWithOtherLabels(t *testing.T) {
	playWith(t, 4*time.Second, func(c *Config) { c.Workers = 2 }, func(t *testing.T, w *World) {
		g := tasks(4)
		g.Steps[0].Label = "a"
		w.accept(t, w.Entries[0], jobID, g)
		w.running(t, 4)
		reborn := w.Agents[0]
		if reborn.Worker.Running() == 0 {
			reborn = w.Agents[1]
		}
		reborn.SetQuiet(true)
		reborn.Worker.RestartWith("b", "rack-1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, reborn.Worker.Running(), 0, "the new life has no label a")
		reborn.SetQuiet(false)
		assert.Assert(t, w.Ended(15*time.Second, jobID, chestnutpond.JobCompleted))
		b := tasks(2)
		b.Steps[0].Label = "b"
		w.accept(t, w.Entries[0], "00000000000000a2", b)
		assert.Assert(t, w.Ended(8*time.Second, "00000000000000a2", chestnutpond.JobCompleted))
	})
}
