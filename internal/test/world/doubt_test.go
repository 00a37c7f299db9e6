package world

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// submitInDoubt hands a job in at an entry. The client leaves after 200 ms, and the store
// carries the append out after the given time.
func (w *World) submitInDoubt(t *testing.T, e *Entry, late time.Duration) {
	t.Helper()
	for _, other := range w.Entries {
		other.Way.LoseNext(2, late)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	g := tasks(4)
	g.ID = jobID
	v := e.Node().Intake().Submit(ctx, e.target(), g)
	assert.Equal(t, v.Outcome, chestnutpond.OutcomeUnknown, "%+v", v)
	for _, other := range w.Entries {
		other.Way.LoseNext(0, 0)
	}
}

// Guards against a job that starts after its cancellation was answered, because its
// acceptance was in doubt and was stored later.
func TestCancelOfAnAcceptanceInDoubt(t *testing.T) {
	const late = 6 * time.Second
	restart := func(entries ...*Entry) {
		for _, e := range entries {
			e.Kill()
		}
		for _, e := range entries {
			e.Start()
		}
	}
	for name, after := range map[string]func(w *World){
		"no fault":                func(*World) {},
		"leader killed":           func(w *World) { restart(w.Leader()) },
		"all entries replaced":    func(w *World) { restart(w.Entries...) },
		"the log is trimmed":      func(w *World) { w.Store.Trim(chestnutpond.TopicWork) },
		"cancelled once more":     func(w *World) { w.Entries[2].Cancel(jobID) },
		"entry of the job killed": func(w *World) { restart(w.Entries[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 2*time.Second, func(t *testing.T, w *World) {
				w.submitInDoubt(t, w.Entries[0], late)
				var v chestnutpond.CallResult
				assert.Assert(t, w.Until(5*time.Second, func() bool {
					v = w.Entries[1].Cancel(jobID)
					return v.Outcome == chestnutpond.OutcomeCancelled || v.Reason == chestnutpond.ReasonUnknownJob
				}), "%+v", v)
				assert.Equal(t, v.Reason, chestnutpond.ReasonUnknownJob, "the acceptance was not in doubt")
				time.Sleep(time.Second)
				after(w)
				time.Sleep(late + 10*time.Second)
				for i := range 4 {
					assert.Equal(t, w.Fleet.Starts(ref(jobID, i)), 0)
				}
				assert.Assert(t, w.Ended(time.Second, jobID, chestnutpond.JobCancelled))
				time.Sleep(removalTime)
				for key := range w.Store.Records(chestnutpond.TopicWork) {
					assert.Assert(t, key == "leader" || key == "ceded", "record %q is left", key)
				}
			})
		})
	}
}

// Guards against cancellations of jobs that nobody hands in and that stay for good, and
// against one that ends the job of another account.
func TestCancelOfAnUnknownJob(t *testing.T) {
	play(t, 2*time.Second, func(t *testing.T, w *World) {
		assert.Equal(t, w.Entries[0].Cancel("00000000000000d1").Reason, chestnutpond.ReasonUnknownJob)
		other := w.Entries[1].target()
		other.Account = "other"
		v := w.Entries[1].Node().Intake().Cancel(t.Context(), other, jobID)
		assert.Equal(t, v.Reason, chestnutpond.ReasonUnknownJob)
		w.accept(t, w.Entries[0], jobID, tasks(4))
		assert.Equal(t, w.Entries[1].Node().Intake().Cancel(t.Context(), other, jobID).Reason, chestnutpond.ReasonUnknownJob)
		assert.Assert(t, w.Ended(5*time.Second, jobID, chestnutpond.JobCompleted))
		time.Sleep(removalTime + time.Minute)
		for key := range w.Store.Records(chestnutpond.TopicWork) {
			assert.Assert(t, key == "leader" || key == "ceded", "record %q is left", key)
		}
	})
}
