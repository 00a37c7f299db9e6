package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// jobEvent holds the fields of an event that are the same in each run.
type jobEvent struct {
	Kind  chestnutpond.EventKind
	Cause chestnutpond.EventID
}

func (w *cluster) jobEvents(i int) []jobEvent {
	list, _, _ := w.rings[i].Newest(events.Filter{Job: "j"}, 0)
	var all []jobEvent
	for _, e := range list {
		all = append(all, jobEvent{e.Kind, e.Cause})
	}
	return all
}

// Guards against events of an agent whose causes do not lead back to the
// scheduler's events.
func TestEventCausesLeadToScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 1)
		defer w.stop()
		prepare, commit := w.prepareReq(0, 1), w.commitReq(0, 1)
		prepare.Cause, commit.Cause = "entry-a/1/1", "entry-a/1/2"
		_, err := w.svc(0).Prepare(t.Context(), prepare)
		assert.NilError(t, err)
		_, err = w.svc(0).Commit(t.Context(), commit)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		_, err = w.svc(0).Stop(t.Context(), &inner.StopRequest{
			Region: "pampa", Term: 1, Job: "j", Attempt: 1, Checkpoint: durationpb.New(time.Second), Cause: "entry-a/1/3",
		})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		list, _, _ := w.rings[0].Newest(events.Filter{Job: "j"}, 0)
		assert.DeepEqual(t, w.jobEvents(0), []jobEvent{
			{chestnutpond.EventPrepared, "entry-a/1/1"},
			{chestnutpond.EventCommitted, "entry-a/1/2"},
			{chestnutpond.EventStarted, list[1].ID},
			{chestnutpond.EventCheckpointed, "entry-a/1/3"},
			{chestnutpond.EventStopped, list[3].ID},
		})
	})
}

// Guards against a missing event when a task stops because its gang lease
// expired, whether it was running or waiting at the barrier.
func TestLapsedLeaseIsRecorded(t *testing.T) {
	for name, cutAfter := range map[string]time.Duration{"running": time.Second, "at the barrier": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 2)
				defer w.stop()
				cut := func(message) delivery { return requestLost }
				if cutAfter == 0 {
					w.setDelivery(cut)
				}
				w.launch(2)
				time.Sleep(cutAfter)
				w.setDelivery(cut)
				time.Sleep(2 * (gangs.GangLease + gangs.TaskLease))
				lapses := 0
				for _, e := range w.jobEvents(1) {
					if e.Kind == chestnutpond.EventLeaseLapsed {
						lapses++
					}
				}
				assert.Equal(t, lapses, 1, "%v", w.jobEvents(1))
			})
		})
	}
}
