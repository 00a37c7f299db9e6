package world

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// removalTime is above the retention of ended jobs and the planner's margin.
const removalTime = 3 * time.Minute

// Guards against a job that runs again, or runs although it was cancelled, once its
// retention is over and its records are removed.
func TestRemovedJobsDoNotRun(t *testing.T) {
	for name, fault := range map[string]func(w *World){
		"no fault":              func(*World) {},
		"leader killed at end":  func(w *World) { w.Leader().Kill() },
		"store slow at removal": func(w *World) { time.Sleep(140 * time.Second); w.Store.SetDelay(300 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 2*time.Second, func(t *testing.T, w *World) {
				done, cancelled := jobID, "00000000000000b1"
				w.accept(t, w.Entries[0], done, tasks(4))
				w.accept(t, w.Entries[1], cancelled, tasks(4))
				w.running(t, 8)
				assert.Equal(t, w.Entries[1].Cancel(cancelled).Outcome, chestnutpond.OutcomeCancelled)
				assert.Assert(t, w.Ended(5*time.Second, done, chestnutpond.JobCompleted))
				fault(w)
				time.Sleep(removalTime)
				for _, id := range []string{done, cancelled} {
					w.startedOnce(t, id, 4)
					for _, e := range w.Entries {
						if e.Ready() {
							_, v := e.State(id)
							assert.Equal(t, v.Reason, chestnutpond.ReasonUnknownJob, "%s at %s", id, e.Name)
						}
					}
				}
				for key := range w.Store.Records(chestnutpond.TopicWork) {
					assert.Assert(t, key == "leader" || key == "ceded", "record %q is left", key)
				}
			})
		})
	}
}

// Guards against a job that runs again at an entry that was cut off when the job ended and
// was removed, and that leads later.
func TestJobRemovedBehindACut(t *testing.T) {
	play(t, 2*time.Second, func(t *testing.T, w *World) {
		cut := w.Entries[0]
		if w.Leader() == cut {
			cut = w.Entries[1]
		}
		w.accept(t, w.Entries[2], jobID, tasks(4))
		w.running(t, 4)
		cut.CutOff()
		cut.Way.SetFault(chestnutpond.StoreUnavailable)
		time.Sleep(removalTime)
		w.Store.Trim(chestnutpond.TopicWork)
		cut.Way.SetFault("")
		cut.Heal()
		time.Sleep(2 * time.Second)
		for _, e := range w.Entries {
			if e != cut {
				e.Kill()
			}
		}
		assert.Assert(t, w.Until(5*time.Second, func() bool { return w.Leader() == cut }), "no leader")
		time.Sleep(10 * time.Second)
		w.startedOnce(t, jobID, 4)
		_, v := cut.State(jobID)
		assert.Equal(t, v.Reason, chestnutpond.ReasonUnknownJob)
	})
}
