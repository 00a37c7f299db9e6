package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// settle is long enough for every recovery of section 10 of the design page.
const settle = 2 * time.Minute

// TestCutAtEveryMessage guards against a gang that stays half started, a job
// that never finishes, and one that finishes twice, when any message of an
// attempt is lost before or after it took effect.
func TestCutAtEveryMessage(t *testing.T) {
	for _, s := range []step{stepPrepare, stepCommit} {
		for n := 1; n <= 2; n++ {
			for _, after := range []bool{false, true} {
				for _, second := range []cut{{}, {step: stepStop, n: 1}, {step: stepStop, n: 2, after: true}} {
					name := fmt.Sprintf("%s %d after %v, then %s %d", s, n, after, second.step, second.n)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							w := newWorld(t, cut{s, n, after}, second)
							e := w.addEntry("a")
							time.Sleep(5 * time.Second)
							w.submit(e, "j", "sales", 16)
							time.Sleep(settle)
							assert.Equal(t, e.state("j"), chestnutpond.JobCompleted)
							w.checkRuns(t)
							assert.Equal(t, w.ends["j"], 1)
						})
					})
				}
			}
		}
	}
}

// checkRuns checks that no task was started twice.
func (w *world) checkRuns(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.starts {
		assert.Equal(t, n, 1, "task %s", id)
	}
}

// TestTakeover guards against a job that is lost or finishes twice when the
// scheduling entry dies at any moment of it.
func TestTakeover(t *testing.T) {
	for _, after := range []time.Duration{
		0, time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond,
		runTime - 5*time.Millisecond, runTime, runTime + 15*time.Millisecond, runTime + 100*time.Millisecond,
	} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				a, b := w.addEntry("a"), w.addEntry("b")
				time.Sleep(5 * time.Second)
				w.submit(a, "j", "sales", 16)
				time.Sleep(after)
				a.kill()
				time.Sleep(settle)
				assert.Equal(t, b.state("j"), chestnutpond.JobCompleted)
				assert.Equal(t, w.ends["j"], 1)
				w.checkRuns(t)
			})
		})
	}
}

// TestTakeoverBlind guards against a second run of a gang whose new scheduler has
// not heard of any agent yet.
func TestTakeoverBlind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.addEntry("a")
		time.Sleep(5 * time.Second)
		w.submit(a, "j", "sales", 16)
		time.Sleep(100 * time.Millisecond)
		w.blind = 1500 * time.Millisecond
		b := w.addEntry("b")
		a.kill()
		time.Sleep(settle)
		assert.Equal(t, b.state("j"), chestnutpond.JobCompleted)
		assert.Equal(t, w.ends["j"], 1)
		w.checkRuns(t)
		assert.Equal(t, w.startsOf("j"), 2, "both members started once")
	})
}

// TestPausedHolder guards against a scheduler that goes on with a term that was
// claimed by another while it could not see it.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.addEntry("a"), w.addEntry("b")
		time.Sleep(5 * time.Second)
		// Both believe in themselves: b takes the term although a is alive.
		var term ledger.Term
		b.tail.View(func(st *ledger.State) { term = st.Term("pampa") })
		assert.NilError(t, b.tail.Append(t.Context(), ledger.ClaimTerm{Region: "pampa", Number: term.Number + 1}))
		for i := range 4 {
			w.submit(a, fmt.Sprint("j", i), "stock", 8)
		}
		time.Sleep(settle)
		for i := range 4 {
			id := fmt.Sprint("j", i)
			assert.Equal(t, b.state(id), chestnutpond.JobCompleted)
			assert.Equal(t, w.ends[id], 1)
		}
		w.checkRuns(t)
	})
}

// TestWorkerDies guards against a restart before all members have stopped, and
// against a gang that is never restarted, or late because the leader's own
// member had completed and nothing runs that could be seen to stop.
func TestWorkerDies(t *testing.T) {
	for name, completed := range map[string]bool{"all run": false, "member 0 has completed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				e := w.addEntry("a")
				time.Sleep(5 * time.Second)
				w.submit(e, "j", "sales", 16)
				time.Sleep(time.Second)
				var members []chestnutpond.Placement
				e.tail.View(func(st *ledger.State) {
					j, _ := st.Job("j")
					members = j.Placements
				})
				if completed {
					w.completeAlone(members[0].Worker, "j")
				}
				began := time.Now()
				w.die(members[1].Worker)
				for e.state("j") != chestnutpond.JobQueued && e.state("j") != chestnutpond.JobCompleted {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(began)
				assert.Assert(t, took >= gangGone && took < gangGone+5*time.Second, "given back after %v", took)
				time.Sleep(settle)
				assert.Equal(t, e.state("j"), chestnutpond.JobCompleted)
				assert.Equal(t, w.ends["j"], 1)
			})
		})
	}
}

// completeAlone ends a leader's task; once another member was silent for the gang
// lease, its row says that the gang is not whole.
func (w *world) completeAlone(name, job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.move(name, job, 1, inner.TaskState_TASK_STATE_COMPLETED)
	time.AfterFunc(gangs.GangLease, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		task := proto.Clone(w.task(name, job, 1)).(*inner.Task)
		task.Reason = "the gang is not whole"
		w.setTask(w.agents[name], task)
	})
}

// TestRestartedAgentKeepsResult guards against a second run of a job that had
// completed when the agents of its gang were killed, before the end was in the
// log.
func TestRestartedAgentKeepsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.addEntry("a")
		time.Sleep(5 * time.Second)
		w.submit(e, "j", "sales", 16)
		time.Sleep(runTime / 2)
		w.log.SetFaults(stand.LogFaults{Outage: true})
		time.Sleep(runTime)
		for _, name := range w.names() {
			w.restart(name)
		}
		time.Sleep(time.Minute)
		w.log.SetFaults(stand.LogFaults{})
		time.Sleep(settle)
		assert.Equal(t, e.state("j"), chestnutpond.JobCompleted)
		assert.Equal(t, w.ends["j"], 1)
		assert.Equal(t, w.startsOf("j"), 2, "both members started once")
	})
}

// TestLogOutage guards against an attempt that starts without a record, and
// against a running job that an outage stops.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.addEntry("a")
		time.Sleep(5 * time.Second)
		w.submit(e, "before", "sales", 16)
		time.Sleep(500 * time.Millisecond)
		w.submit(e, "waiting", "stock", 24)
		w.submit(e, "waiting2", "stock", 24)
		w.log.SetFaults(stand.LogFaults{Outage: true})
		time.Sleep(time.Hour)
		assert.Equal(t, w.ends["before"], 1)
		assert.Equal(t, e.state("before"), chestnutpond.JobRunning, "the end is not recorded yet")
		w.log.SetFaults(stand.LogFaults{})
		time.Sleep(settle)
		for _, id := range []string{"before", "waiting", "waiting2"} {
			assert.Equal(t, e.state(id), chestnutpond.JobCompleted)
			assert.Equal(t, w.ends[id], 1)
		}
		w.checkRuns(t)
	})
}

// TestCancel guards against a job that starts after its cancellation was
// confirmed, at any moment of its start.
func TestCancel(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				e := w.addEntry("a")
				time.Sleep(5 * time.Second)
				w.submit(e, "j", "stock", 8)
				time.Sleep(after)
				assert.NilError(t, e.tail.Append(t.Context(), ledger.CancelJob{Job: "j"}))
				confirmed := e.state("j")
				w.mu.Lock()
				started := len(w.starts)
				w.mu.Unlock()
				time.Sleep(settle)
				assert.Equal(t, e.state("j"), chestnutpond.JobCancelled)
				assert.Equal(t, w.ends["j"], 0)
				if confirmed == chestnutpond.JobCancelled {
					assert.Equal(t, len(w.starts), started)
				}
			})
		})
	}
}

// TestReclaim guards against a guarantee that is not given while others borrow
// it, and against two claims that get the same accelerators.
func TestReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.addEntry("a")
		time.Sleep(5 * time.Second)
		w.submit(e, "b1", "stock", 24)
		w.submit(e, "b2", "stock", 24)
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		w.submit(e, "claim", "sales", 16)
		for w.startsOf("claim") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(began)
		assert.Assert(t, took < 3*time.Second, "claim started after %v; allowed are 2 s and 1 s for the checkpoint", took)
		time.Sleep(settle)
		for _, id := range []string{"b1", "b2", "claim"} {
			assert.Equal(t, e.state(id), chestnutpond.JobCompleted)
		}
	})
}

func (w *world) startsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for id := range w.starts {
		if len(id) > len(job) && id[:len(job)+1] == job+"." {
			n++
		}
	}
	return n
}
