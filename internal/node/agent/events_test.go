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

// told is an event without what differs from run to run.
type told struct {
	Kind  chestnutpond.EventKind
	Cause chestnutpond.EventID
}

func (w *world) told(i int) []told {
	list, _, _ := w.rings[i].Newest(events.Filter{Job: "j"}, 0)
	var all []told
	for _, e := range list {
		all = append(all, told{e.Kind, e.Cause})
	}
	return all
}

// Guards against an agent's events that do not lead back to the scheduler's.
func TestEventsFollowTheScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
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
		assert.DeepEqual(t, w.told(0), []told{
			{chestnutpond.EventPrepared, "entry-a/1/1"},
			{chestnutpond.EventCommitted, "entry-a/1/2"},
			{chestnutpond.EventStarted, list[1].ID},
			{chestnutpond.EventCheckpointed, "entry-a/1/3"},
			{chestnutpond.EventStopped, list[3].ID},
		})
	})
}

// Guards against a task that stops because its gang is silent without a word of
// it, whether it runs or waits at the barrier.
func TestLapsedLeaseIsRecorded(t *testing.T) {
	for name, cutAfter := range map[string]time.Duration{"running": time.Second, "at the barrier": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				defer w.stop()
				cut := func(message) fate { return requestLost }
				if cutAfter == 0 {
					w.setLost(cut)
				}
				w.launch(2)
				time.Sleep(cutAfter)
				w.setLost(cut)
				time.Sleep(2 * (gangs.GangLease + gangs.TaskLease))
				lapses := 0
				for _, e := range w.told(1) {
					if e.Kind == chestnutpond.EventLeaseLapsed {
						lapses++
					}
				}
				assert.Equal(t, lapses, 1, "%v", w.told(1))
			})
		})
	}
}
