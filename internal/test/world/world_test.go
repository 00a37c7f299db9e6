package world

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

var (
	wholeWorker = chestnutpond.Resources{CPU: 64000, Memory: 256000, Accelerators: 8}
	oneTask     = chestnutpond.Resources{CPU: 5000, Memory: 16000, Accelerators: 1}
)

// document has one queue, whose jobs may fail three times.
func document() chestnutpond.Document {
	return chestnutpond.Document{
		Version:  1,
		Accounts: []chestnutpond.Account{{Name: "ventas", Accelerators: 8}},
		Kinds: []chestnutpond.Kind{{
			Name: "lots", Work: chestnutpond.WorkGraph,
			Queue: &chestnutpond.Queue{
				Host: "example", PathPrefix: "/lots/",
				Terms: chestnutpond.QueuePolicy{
					Name: "lots", Service: service, Priority: 1, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Second,
				},
			},
		}},
		Pools: []chestnutpond.Pool{{Name: service, RejectsOverload: true}},
	}
}

// tasks returns a job of one step of single tasks.
func tasks(count int) chestnutpond.Graph {
	return chestnutpond.Graph{Payload: "x", Steps: []chestnutpond.Step{{Count: count, Need: oneTask}}}
}

// play runs a test in virtual time in a world of three entries and four workers
// whose tasks work for the given time.
func play(t *testing.T, work time.Duration, test func(t *testing.T, w *World)) {
	t.Helper()
	playWith(t, work, func(*Config) {}, test)
}

// playWith is play in a world that is set up otherwise.
func playWith(t *testing.T, work time.Duration, set func(c *Config), test func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		c := Config{
			Entries: 3, Workers: 4, Racks: 2, Capacity: wholeWorker, Document: document(),
			Model: func(chestnutpond.TaskRef) stand.TaskModel { return stand.TaskModel{Work: work, Need: oneTask} },
		}
		set(&c)
		if testing.Verbose() && c.Out == nil {
			c.Out = os.Stdout
		}
		w := New(ctx, c)
		defer func() {
			stop()
			w.end()
		}()
		assert.Assert(t, w.Until(5*time.Second, w.settled), "no leader with all agents")
		test(t, w)
		assert.DeepEqual(t, w.Fleet.Violations(), []string(nil))
	})
}

// end waits for the end of all processes.
func (w *World) end() {
	for _, e := range w.Entries {
		w.net.heal(e.Name)
		<-e.done
	}
	for _, a := range w.Agents {
		<-a.done
		a.Worker.Restart()
	}
	// Connections that were closed while they were cut end after a time-out.
	time.Sleep(time.Minute)
}

// settled reports whether one entry leads and holds all workers.
func (w *World) settled() bool {
	if w.Leader() == nil {
		return false
	}
	for _, a := range w.Agents {
		if a.Worker.Fence() == 0 {
			return false
		}
	}
	return true
}

// ref names a task of the first step of a job.
func ref(id string, index int) chestnutpond.TaskRef {
	return chestnutpond.TaskRef{Job: chestnutpond.JobID(id), Index: index}
}

const jobID = "00000000000000a1"

// A job is accepted, runs once and is shown as done by every entry.
func TestJobRunsOnce(t *testing.T) {
	play(t, 2*time.Second, func(t *testing.T, w *World) {
		w.accept(t, w.Entries[0], jobID, tasks(20))
		assert.Assert(t, w.Ended(3*time.Second, jobID, chestnutpond.JobCompleted))
		w.startedOnce(t, jobID, 20)
	})
}

// accept hands a job in and expects it to be accepted.
func (w *World) accept(t *testing.T, e *Entry, id string, g chestnutpond.Graph) {
	t.Helper()
	v := e.Submit(id, g)
	assert.Equal(t, v.Outcome, chestnutpond.OutcomeAccepted, "%+v", v)
}

// startedOnce expects each task of a job's first step to have been started once.
func (w *World) startedOnce(t *testing.T, id string, count int) {
	t.Helper()
	for i := range count {
		assert.Equal(t, w.Fleet.Starts(ref(id, i)), 1, "task %d", i)
	}
}

// running waits until the number of runs on all workers is at least count.
func (w *World) running(t *testing.T, count int) {
	t.Helper()
	ok := w.Until(3*time.Second, func() bool {
		sum := 0
		for _, a := range w.Agents {
			sum += a.Worker.Running()
		}
		return sum >= count
	})
	assert.Assert(t, ok, "fewer than %d runs", count)
}

// TestFaultsThatLoseNoRun covers faults that the runs outlive: every task is
// started once although processes die, are cut off or lose the store.
func TestFaultsThatLoseNoRun(t *testing.T) {
	for name, fault := range map[string]func(w *World){
		"leader killed": func(w *World) { w.Leader().Kill() },
		"leader killed and started again": func(w *World) {
			e := w.Leader()
			e.Kill()
			time.Sleep(time.Second)
			e.Start()
		},
		"leader leaves": func(w *World) {
			e := w.Leader()
			e.Node().Leave()
			time.Sleep(time.Second)
			e.Kill()
			e.Start()
		},
		"all entries killed": func(w *World) {
			for _, e := range w.Entries {
				e.Kill()
			}
			time.Sleep(time.Second)
			for _, e := range w.Entries {
				e.Start()
			}
		},
		"everything killed": func(w *World) {
			for _, e := range w.Entries {
				e.Kill()
			}
			for _, a := range w.Agents {
				a.Kill()
			}
			time.Sleep(1500 * time.Millisecond)
			for _, e := range w.Entries {
				e.Start()
			}
			for _, a := range w.Agents {
				a.Start()
			}
		},
		"agent killed for 3.5 s": func(w *World) {
			w.Agents[0].Kill()
			time.Sleep(3500 * time.Millisecond)
			w.Agents[0].Start()
		},
		"agent cut off for 4 s": func(w *World) {
			w.Agents[0].CutOff()
			time.Sleep(4 * time.Second)
			w.Agents[0].Heal()
		},
		"leader cut off for 5 s": func(w *World) {
			e := w.Leader()
			e.CutOff()
			time.Sleep(5 * time.Second)
			e.Heal()
		},
		"store away for 5 s": func(w *World) {
			w.Store.SetDown(chestnutpond.StoreUnavailable)
			time.Sleep(5 * time.Second)
			w.Store.SetDown("")
		},
		"store away for the leader": func(w *World) {
			e := w.Leader()
			e.Way.SetFault(chestnutpond.StoreUnavailable)
			time.Sleep(5 * time.Second)
			e.Way.SetFault("")
		},
		"store silent for the leader": func(w *World) {
			e := w.Leader()
			e.Way.SetSilent(true)
			time.Sleep(5 * time.Second)
			e.Way.SetSilent(false)
		},
		"history of the store dropped":    func(w *World) { w.Store.Trim(chestnutpond.TopicWork) },
		"connections of the leader reset": func(w *World) { w.net.reset(w.Leader().Name) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 7*time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[1], jobID, tasks(20))
				w.running(t, 20)
				time.Sleep(500 * time.Millisecond)
				fault(w)
				assert.Assert(t, w.Until(4*time.Second, func() bool { return w.Leader() != nil }), "no leader after the fault")
				assert.Assert(t, w.Until(12*time.Second, func() bool { return w.shown(jobID) == chestnutpond.JobCompleted }))
				w.startedOnce(t, jobID, 20)
			})
		})
	}
}

// shown returns the state of a job that the first living entry shows.
func (w *World) shown(id string) chestnutpond.JobState {
	for _, e := range w.Entries {
		if e.Ready() {
			state, _ := e.State(id)
			return state
		}
	}
	return ""
}

// TestLostRunsAreReplaced covers faults that end runs: the tasks run again, and
// never twice at a time.
func TestLostRunsAreReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(w *World)
		// limit is the time in which the job must be done.
		limit time.Duration
	}{
		"agent cut off for good": {
			func(w *World) { w.Agents[0].CutOff() }, 12 * time.Second,
		},
		"agent killed for good": {
			func(w *World) { w.Agents[0].Kill() }, 12 * time.Second,
		},
		"worker starts again": {
			func(w *World) { w.Agents[0].Worker.Restart() }, 8 * time.Second,
		},
		"worker starts again behind a cut": {
			func(w *World) {
				w.Agents[0].CutOff()
				w.Agents[0].Worker.Restart()
				time.Sleep(2 * time.Second)
				w.Agents[0].Heal()
			}, 8 * time.Second,
		},
		"worker answers no more": {
			func(w *World) { w.Agents[0].Worker.SetMute(true) }, 14 * time.Second,
		},
		"leader and agent cut off together": {
			func(w *World) {
				e := w.Leader()
				e.CutOff()
				w.Agents[0].CutOff()
			}, 22 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 3*time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[1], jobID, tasks(32))
				w.running(t, 32)
				c.fault(w)
				e := w.Entries[0]
				done := w.Until(c.limit, func() bool {
					for _, e = range w.Entries {
						if state, _ := e.State(jobID); state == chestnutpond.JobCompleted {
							return true
						}
					}
					return false
				})
				assert.Assert(t, done)
				for _, e := range w.Entries {
					e.Heal()
				}
				for _, a := range w.Agents {
					a.Heal()
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestOrdersCarriedOutLate guards against a task that runs twice because the
// order of its first run took effect long after it got no answer.
func TestOrdersCarriedOutLate(t *testing.T) {
	play(t, time.Second, func(t *testing.T, w *World) {
		for _, a := range w.Agents[:3] {
			a.Worker.SetLate(5 * time.Second)
		}
		w.accept(t, w.Entries[0], jobID, tasks(20))
		time.Sleep(2 * time.Second)
		for _, a := range w.Agents {
			a.Worker.SetLate(0)
		}
		assert.Assert(t, w.Ended(15*time.Second, jobID, chestnutpond.JobCompleted))
		time.Sleep(10 * time.Second)
	})
}

// TestLateOrderMeetsRestartedWorker guards against a late start of a former life
// of the worker, whose clock begins anew, beside the run that replaced it.
func TestLateOrderMeetsRestartedWorker(t *testing.T) {
	play(t, 3*time.Second, func(t *testing.T, w *World) {
		for _, a := range w.Agents {
			a.Worker.SetLate(4 * time.Second)
		}
		w.accept(t, w.Entries[0], jobID, tasks(8))
		time.Sleep(time.Second)
		for _, a := range w.Agents {
			a.Worker.Restart()
		}
		// An order without an answer may be carried out 12 s later.
		assert.Assert(t, w.Ended(20*time.Second, jobID, chestnutpond.JobCompleted))
		time.Sleep(10 * time.Second)
	})
}

// TestAcceptance covers what a client is told while the store misbehaves.
func TestAcceptance(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(w *World, e *Entry)
		want  chestnutpond.Outcome
		// within bounds the time of the answer.
		within time.Duration
	}{
		"store turns this entry away": {
			func(_ *World, e *Entry) { e.Way.SetFault(chestnutpond.StoreUnavailable) }, chestnutpond.OutcomeAccepted, 200 * time.Millisecond,
		},
		"store limits this entry": {
			func(_ *World, e *Entry) { e.Way.SetFault(chestnutpond.StoreLimited) }, chestnutpond.OutcomeAccepted, 200 * time.Millisecond,
		},
		"store is silent for this entry": {
			func(_ *World, e *Entry) { e.Way.SetSilent(true) }, chestnutpond.OutcomeAccepted, time.Second,
		},
		"store is silent and entries are cut off": {
			func(w *World, e *Entry) {
				e.Way.SetSilent(true)
				for _, o := range w.Entries {
					if o != e {
						w.net.cut(e.Name, o.Name)
					}
				}
			}, chestnutpond.OutcomeAccepted, 1500 * time.Millisecond,
		},
		"append carried out late": {
			func(_ *World, e *Entry) { e.Way.LoseNext(1, 3*time.Second) }, chestnutpond.OutcomeAccepted, time.Second,
		},
		"store refuses everybody": {
			func(w *World, _ *Entry) { w.Store.SetDown(chestnutpond.StoreUnavailable) }, chestnutpond.OutcomeNotRun, 200 * time.Millisecond,
		},
		"store resets everybody": {
			func(w *World, _ *Entry) { w.Store.SetDown(chestnutpond.StoreInDoubt) }, chestnutpond.OutcomeNotRun, 500 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, time.Second, func(t *testing.T, w *World) {
				e := w.Entries[2]
				c.fault(w, e)
				began := time.Now()
				v := e.Submit(jobID, tasks(2))
				assert.Equal(t, v.Outcome, c.want, "%+v", v)
				assert.Assert(t, time.Since(began) <= c.within, "answered after %s", time.Since(began))
				w.Store.SetDown("")
				e.Heal()
				if c.want == chestnutpond.OutcomeAccepted {
					assert.Assert(t, w.Ended(15*time.Second, jobID, chestnutpond.JobCompleted))
					w.startedOnce(t, jobID, 2)
					return
				}
				assert.Assert(t, v.RetryAfter > 0)
				time.Sleep(15 * time.Second)
				assert.Equal(t, w.Fleet.Starts(ref(jobID, 0)), 0)
			})
		})
	}
}

// A repeated submission, also at other entries and at once, stays one job.
func TestRepeatedSubmission(t *testing.T) {
	play(t, time.Second, func(t *testing.T, w *World) {
		for _, e := range w.Entries {
			w.accept(t, e, jobID, tasks(3))
		}
		assert.Assert(t, w.Ended(5*time.Second, jobID, chestnutpond.JobCompleted))
		for _, e := range w.Entries {
			w.accept(t, e, jobID, tasks(3))
		}
		time.Sleep(5 * time.Second)
		w.startedOnce(t, jobID, 3)
	})
}

// A cancelled job stops, on every entry's word, and never starts again.
func TestCancel(t *testing.T) {
	for name, c := range map[string]struct {
		wait time.Duration
		kill bool
	}{
		"while it runs":                    {wait: time.Second},
		"right after acceptance":           {},
		"and the leader is killed at once": {wait: time.Second, kill: true},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 20*time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(40))
				time.Sleep(c.wait)
				v := w.Entries[2].Cancel(jobID)
				assert.Equal(t, v.Outcome, chestnutpond.OutcomeCancelled)
				if c.kill {
					e := w.Leader()
					e.Kill()
					e.Start()
				}
				stopped := w.Until(2900*time.Millisecond, func() bool {
					for _, a := range w.Agents {
						if a.Worker.Running() > 0 {
							return false
						}
					}
					return true
				})
				assert.Assert(t, stopped, "tasks still run")
				assert.Assert(t, w.Ended(time.Second, jobID, chestnutpond.JobCancelled))
				before := w.Fleet.Starts(ref(jobID, 0))
				time.Sleep(10 * time.Second)
				assert.Equal(t, w.Fleet.Starts(ref(jobID, 0)), before)
			})
		})
	}
}

// An entry that was just started must not take a job that others accepted for an
// unknown one.
func TestUnknownJob(t *testing.T) {
	play(t, 10*time.Second, func(t *testing.T, w *World) {
		_, v := w.Entries[0].State("00000000000000ff")
		assert.Equal(t, v.Reason, chestnutpond.ReasonUnknownJob)
		w.accept(t, w.Entries[0], jobID, tasks(1))
		w.Entries[2].Kill()
		w.Entries[2].Start()
		_, v = w.Entries[2].State(jobID)
		assert.Assert(t, v.Reason != chestnutpond.ReasonUnknownJob, "%+v", v)
		assert.Assert(t, w.Until(2*time.Second, func() bool { return w.Entries[2].Ready() }))
		state, _ := w.Entries[2].State(jobID)
		assert.Assert(t, state != "" && !state.Final(), state)
	})
}

// A worker that drains gets no new work, and what runs there may end.
func TestDrainingWorker(t *testing.T) {
	play(t, 2*time.Second, func(t *testing.T, w *World) {
		w.accept(t, w.Entries[0], jobID, tasks(32))
		w.running(t, 32)
		w.Agents[0].Worker.SetState(chestnutpond.WorkerDraining)
		assert.Assert(t, w.Agents[0].Report(), "the report is not confirmed")
		time.Sleep(100 * time.Millisecond)
		w.accept(t, w.Entries[0], "00000000000000a2", tasks(32))
		assert.Assert(t, w.Ended(4*time.Second, jobID, chestnutpond.JobCompleted))
		assert.Equal(t, w.Agents[0].Worker.Running(), 0)
		assert.Assert(t, w.Ended(6*time.Second, "00000000000000a2", chestnutpond.JobCompleted))
	})
}

// A job that can never be done fails after as many attempts as its queue allows.
func TestHopelessJob(t *testing.T) {
	play(t, time.Second, func(t *testing.T, w *World) {
		for _, a := range w.Agents {
			a.Worker.SetFailing(true)
		}
		w.accept(t, w.Entries[0], jobID, tasks(1))
		assert.Assert(t, w.Ended(5*time.Second, jobID, chestnutpond.JobFailed))
		assert.Equal(t, w.Fleet.Starts(ref(jobID, 0)), 3)
	})
}
