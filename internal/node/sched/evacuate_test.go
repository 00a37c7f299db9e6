package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// evacuatedZone is the zone of the first rack in a cluster with two zones.
const evacuatedZone = "pampa-a"

// newZonedCluster returns a cluster whose second rack is in another zone. The agents
// w0 to w2 are in evacuatedZone.
func newZonedCluster(t *testing.T, faults ...callFault) *cluster {
	cl := newCluster(t, faults...)
	for i := 3; i < 6; i++ {
		cl.agents[fmt.Sprintf("w%d", i)].member.Zone = "pampa-b"
	}
	return cl
}

// evacuate requests or revokes the evacuation on the newest state that e has.
func (e *entry) evacuate(undo bool) error {
	var base int64
	e.tail.View(func(st *ledger.State) { base = st.Evacuation(evacuatedZone).Version })
	return e.tail.Append(e.cluster.t.Context(), ledger.Evacuate{Zone: evacuatedZone, Undo: undo, Base: base})
}

// checkNoStarts checks that no job runs in the zone according to the newest state of e.
func (cl *cluster) checkNoStarts(t *testing.T, e *entry) {
	t.Helper()
	e.tail.View(func(st *ledger.State) {
		for _, j := range st.Jobs(func(j ledger.Job) bool { return j.State == chestnutpond.JobRunning }) {
			for _, p := range j.Placements {
				assert.Assert(t, p.Worker > "w2", "%s runs on %s", j.Spec.ID, p.Worker)
			}
		}
	})
}

// liveIn returns the number of live tasks on the workers of the evacuated zone.
func (cl *cluster) liveIn() int { return len(cl.liveTasks()) }

// liveTasks returns the live tasks on the workers of the evacuated zone.
func (cl *cluster) liveTasks() map[chestnutpond.TaskID]bool { return cl.tasksIn(isLive) }

// committed returns the tasks that the workers of the evacuated zone were told to start.
func (cl *cluster) committed() map[chestnutpond.TaskID]bool {
	return cl.tasksIn(func(*inner.Task) bool { return true })
}

func (cl *cluster) tasksIn(match func(*inner.Task) bool) map[chestnutpond.TaskID]bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	tasks := make(map[chestnutpond.TaskID]bool)
	for _, a := range cl.agents {
		for _, task := range a.member.GetTasks() {
			if a.member.GetZone() == evacuatedZone && match(task) {
				tasks[taskID(task.GetJob(), task.GetAttempt(), task.GetMember())] = true
			}
		}
	}
	return tasks
}

// TestEvacuation guards against a start in an evacuated zone, a running job that is cut
// off, and a zone that stays empty after the undo.
func TestEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newZonedCluster(t)
		cl.runTime = 20 * time.Second
		e := cl.addEntry("a")
		time.Sleep(5 * time.Second)
		for i := range 4 {
			cl.submit(e, fmt.Sprint("before", i), "stock", 8)
		}
		time.Sleep(time.Second)
		assert.Assert(t, cl.liveIn() > 0)
		running := cl.liveIn()
		assert.NilError(t, e.evacuate(false))
		assert.NilError(t, e.evacuate(false), "a repeated request")
		for i := range 6 {
			cl.submit(e, fmt.Sprint("after", i), "stock", 8)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.liveIn(), running, "running jobs continue and none starts")
		time.Sleep(20 * time.Second)
		cl.checkNoStarts(t, e)
		assert.Equal(t, cl.liveIn(), 0)
		assert.NilError(t, e.evacuate(true))
		time.Sleep(2 * time.Second)
		assert.Assert(t, cl.liveIn() > 0, "the zone is used again")
		time.Sleep(settleTime)
		for i := range 6 {
			assert.Equal(t, e.state(fmt.Sprint("after", i)), chestnutpond.JobCompleted)
		}
		cl.checkSingleStarts(t)
	})
}

// TestEvacuationDuringStart guards against an attempt that starts in the zone after the
// request was read, at any point of its start, and against a job that is lost by that.
func TestEvacuationDuringStart(t *testing.T) {
	for _, fault := range []callFault{{}, {callPrepare, 1, false}, {callPrepare, 2, true}, {callCommit, 1, true}, {callCommit, 2, false}} {
		for _, takeover := range []bool{false, true} {
			for _, delay := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprint(fault, takeover, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { evacuateDuringStart(t, fault, takeover, delay) })
				})
			}
		}
	}
}

func evacuateDuringStart(t *testing.T, fault callFault, takeover bool, delay time.Duration) {
	cl := newZonedCluster(t, fault)
	cl.runTime = 20 * time.Second
	a, b := cl.addEntry("a"), cl.addEntry("b")
	time.Sleep(5 * time.Second)
	cl.submit(a, "j", "sales", 16)
	cl.submit(a, "k", "stock", 16)
	time.Sleep(delay)
	assert.NilError(t, b.evacuate(false))
	if takeover {
		a.kill()
	}
	// An order that is on its way may still start its attempt.
	time.Sleep(time.Second)
	live := cl.liveTasks()
	for range 60 {
		time.Sleep(time.Second)
		for id := range cl.liveTasks() {
			assert.Assert(t, live[id], "%s started in the evacuated zone", id)
		}
	}
	time.Sleep(settleTime)
	for _, id := range []string{"j", "k"} {
		assert.Equal(t, b.state(id), chestnutpond.JobCompleted)
		assert.Equal(t, cl.ends[id], 1)
	}
	cl.checkSingleStarts(t)
}

// TestEvacuationSurvivesProcesses guards against an evacuation that is forgotten when all
// entries are replaced, or by workers that join or restart during it.
func TestEvacuationSurvivesProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newZonedCluster(t)
		a := cl.addEntry("a")
		time.Sleep(5 * time.Second)
		assert.NilError(t, a.evacuate(false))
		a.kill()
		b := cl.addEntry("b")
		time.Sleep(10 * time.Second)
		cl.mu.Lock()
		member := func(name string, incarnation int64) *inner.Member {
			return &inner.Member{
				Name: name, Incarnation: incarnation, Sequence: 1, Address: name, Region: "pampa", Zone: evacuatedZone,
				Rack: "r0", Accelerators: 8, Upstream: &inner.Upstream{},
			}
		}
		cl.agents["w0"].member = member("w0", 2)
		cl.agents["w00"] = &agent{member: member("w00", 1), fenced: make(map[string]int64), holds: make(map[string]time.Time)}
		cl.mu.Unlock()
		for _, row := range b.Rows() {
			b.manager.AgentChanged(row)
		}
		for i := range 8 {
			cl.submit(b, fmt.Sprint("j", i), "stock", 8)
		}
		for range 20 {
			time.Sleep(time.Second)
			cl.checkNoStarts(t, b)
			assert.Equal(t, cl.liveIn(), 0)
		}
		time.Sleep(settleTime)
		for i := range 8 {
			assert.Equal(t, b.state(fmt.Sprint("j", i)), chestnutpond.JobCompleted)
		}
	})
}

// TestEvacuationBeforeCommit guards against orders to start that are sent after the entry
// has read the request, because the start was recorded before it. The answers to appends
// are late.
func TestEvacuationBeforeCommit(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 99 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newZonedCluster(t)
				cl.runTime = 20 * time.Second
				e := cl.addEntry("a")
				time.Sleep(5 * time.Second)
				cl.log.SetFaults(stand.LogFaults{AnswerDelay: stand.Duration(100 * time.Millisecond)})
				known := make(chan map[chestnutpond.TaskID]bool, 1)
				time.AfterFunc(delay, func() { assert.Check(t, e.evacuate(false)) })
				time.AfterFunc(delay+5*time.Millisecond, func() { known <- cl.committed() })
				cl.submit(e, "j", "sales", 16)
				cl.submit(e, "k", "stock", 16)
				before := <-known
				time.Sleep(time.Second)
				for id := range cl.committed() {
					assert.Assert(t, before[id], "%s started in the evacuated zone", id)
				}
				time.Sleep(settleTime)
				for _, id := range []string{"j", "k"} {
					assert.Equal(t, e.state(id), chestnutpond.JobCompleted)
				}
			})
		})
	}
}
