package world

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards against a report of another writer that takes the place of the worker, whose
// running work is then given up.
func TestReportsOfAnotherWriter(t *testing.T) {
	for name, change := range map[string]func(i *chestnutpond.WorkerInfo){
		"another service": func(i *chestnutpond.WorkerInfo) { i.Service = "other"; i.StartedMs += 1000 },
		"another worker of another service": func(i *chestnutpond.WorkerInfo) {
			i.ID, i.Service, i.StartedMs = "stranger", "other", i.StartedMs+1000
		},
		"another worker of the service": func(i *chestnutpond.WorkerInfo) { i.ID, i.StartedMs = "stranger", i.StartedMs+1000 },
		"another worker in the future": func(i *chestnutpond.WorkerInfo) {
			i.ID, i.StartedMs = "stranger", i.StartedMs+(9*time.Minute).Milliseconds()
		},
		"later start": func(i *chestnutpond.WorkerInfo) { i.StartedMs += 1000 },
		"bare identity": func(i *chestnutpond.WorkerInfo) {
			*i = chestnutpond.WorkerInfo{ID: "stranger", Service: i.Service, StartedMs: i.StartedMs + 1000, State: i.State}
		},
		"sequence far ahead": func(i *chestnutpond.WorkerInfo) {
			i.Sequence, i.State = 1<<52, chestnutpond.WorkerDraining
		},
		"former start":    func(i *chestnutpond.WorkerInfo) { i.StartedMs--; i.Sequence += 100 },
		"former sequence": func(i *chestnutpond.WorkerInfo) { i.Sequence = 0; i.State = chestnutpond.WorkerDraining },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 3*time.Second, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(20))
				w.running(t, 20)
				for _, a := range w.Agents {
					info := a.Worker.Info()
					change(&info)
					a.ReportOf(info)
				}
				assert.Assert(t, w.Ended(6*time.Second, jobID, chestnutpond.JobCompleted))
				w.startedOnce(t, jobID, 20)
				// The workers are given work as before.
				w.accept(t, w.Entries[0], "00000000000000a2", tasks(20))
				w.running(t, 20)
				assert.Assert(t, w.Ended(6*time.Second, "00000000000000a2", chestnutpond.JobCompleted))
				w.startedOnce(t, "00000000000000a2", 20)
			})
		})
	}
}

// oddValues are values that another writer may leave under a key.
var oddValues = map[string][]byte{
	"empty message":  {0x0a, 0x00},
	"no message":     []byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"),
	"json":           []byte(`{"address":"10.0.0.1:99999","seq":1e400}`),
	"nested deeply":  []byte(strings.Repeat("[", 20000)),
	"nested message": []byte(strings.Repeat("\x0a\x7f", 4000)),
	"huge number":    {0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
	"huge length":    {0x0a, 0xff, 0xff, 0xff, 0xff, 0x07, 'x'},
}

// oddRecords returns records of every topic with odd keys and values.
func oddRecords(t *testing.T) map[chestnutpond.Topic][]chestnutpond.KeyedRecord {
	t.Helper()
	odd := map[chestnutpond.Topic][]chestnutpond.KeyedRecord{}
	for _, value := range oddValues {
		for _, key := range []string{"j00000000000000ff", "c00000000000000fe", "s00000000000000fd", "?", "\xff\xfe", strings.Repeat("k", 255)} {
			odd[chestnutpond.TopicWork] = append(odd[chestnutpond.TopicWork], chestnutpond.KeyedRecord{Key: key, Value: value})
		}
		for _, key := range []string{"entry-1", "stranger", "\xff\xfe"} {
			odd[chestnutpond.TopicEntries] = append(odd[chestnutpond.TopicEntries], chestnutpond.KeyedRecord{Key: key, Value: value})
		}
		odd[chestnutpond.TopicDesired] = append(odd[chestnutpond.TopicDesired], chestnutpond.KeyedRecord{Key: "stranger", Value: value})
	}
	leader, err := graph.LeaderRecord(&inner.LeaderRecord{Epoch: 1 << 62, Nonce: "x"})
	assert.NilError(t, err)
	ceded, err := graph.CededRecord(1 << 62)
	assert.NilError(t, err)
	state, err := graph.StateRecord("00000000000000a2", &inner.StateRecord{
		Phase: "dancing", Occurrences: []*inner.OccurrenceRow{{Number: -4, Steps: []*inner.StepRow{
			{Tasks: []*inner.TaskRow{{State: 77, Run: -1 << 62, Worker: 1 << 30}, {Worker: -1}}}, {}, {},
		}}},
	})
	assert.NilError(t, err)
	odd[chestnutpond.TopicWork] = append(odd[chestnutpond.TopicWork], leader, ceded, state)
	return odd
}

// Guards against one odd record of another writer that ends the processes that read it, or
// keeps them from the records after it, also after they have started again.
func TestRecordsOfAnotherWriter(t *testing.T) {
	play(t, time.Second, func(t *testing.T, w *World) {
		for topic, records := range oddRecords(t) {
			way := w.Entries[1].Way
			for _, r := range records {
				_, err := way.Append(t.Context(), topic, chestnutpond.KeyedAppend{Records: []chestnutpond.KeyedRecord{r}})
				assert.NilError(t, err)
			}
		}
		time.Sleep(time.Second)
		for i, e := range w.Entries {
			e.Kill()
			e.Start()
			assert.Assert(t, w.Until(5*time.Second, e.Ready), "%s is not ready", e.Name)
			assert.Assert(t, w.Until(5*time.Second, func() bool { return w.Leader() != nil }), "no leader")
			id := fmt.Sprintf("%016x", 0xd0+i)
			w.accept(t, e, id, tasks(4))
			assert.Assert(t, w.Ended(8*time.Second, id, chestnutpond.JobCompleted))
			w.startedOnce(t, id, 4)
		}
	})
}

// Guards against an unexpected error in one round of the leader that ends its process, or
// leaves the deployment without a leader.
func TestRoundThatPanics(t *testing.T) {
	var broken atomic.Bool
	playWith(t, time.Second, func(c *Config) {
		c.Wall = func() time.Time {
			if broken.CompareAndSwap(true, false) {
				panic("unexpected")
			}
			return time.Now()
		}
	}, func(t *testing.T, w *World) {
		w.accept(t, w.Entries[0], jobID, tasks(8))
		w.running(t, 8)
		former := w.Leader()
		broken.Store(true)
		assert.Assert(t, w.Until(3*time.Second, func() bool { l := w.Leader(); return l != nil && l != former }), "no other leader")
		assert.Assert(t, w.Ended(5*time.Second, jobID, chestnutpond.JobCompleted))
		w.startedOnce(t, jobID, 8)
	})
}
