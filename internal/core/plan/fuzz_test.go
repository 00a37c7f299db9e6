package plan

import (
	"math"
	"testing"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// FuzzLoad guards against a stored state of another writer on which a new leader panics.
func FuzzLoad(f *testing.F) {
	const id = "5c0e7a21d94b36f8"
	g := &chestnutpond.Graph{
		ID: id, Queue: chestnutpond.QueuePolicy{Service: "s", MaxAttempts: 3},
		Steps: []chestnutpond.Step{{Count: 3}, {Count: 2, Gang: true, After: []int{0}}},
	}
	job, err := graph.JobRecord(g)
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []*inner.StateRecord{
		{},
		{Phase: "dancing", Occurrences: []*inner.OccurrenceRow{{Number: -4}, {Number: 1 << 30}, {}, {}}},
		{Phase: "running", Epoch: math.MaxInt64, Occurrences: []*inner.OccurrenceRow{{Steps: []*inner.StepRow{
			{Tasks: []*inner.TaskRow{{State: 77, Run: math.MinInt64, Worker: 1 << 30}, {State: 1, Worker: -1}, {State: 2}, {}, {}}, Failures: -1}, {}, {},
		}}}},
		{Phase: "completed", Occurrences: []*inner.OccurrenceRow{{Done: true, Steps: []*inner.StepRow{nil}}}},
	} {
		r, err := graph.StateRecord(id, s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(r.Key, r.Value)
	}
	f.Add("t"+id+".0.0.0", []byte{0x0a, 0x00})
	f.Add("t"+id+".0.1.7", []byte("\x0a\x7f"))
	f.Add(job.Key, job.Value)
	f.Add("c"+id, []byte{0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := graph.New()
		for i, r := range []chestnutpond.KeyedRecord{job, {Key: key, Value: value}} {
			r.Offset = int64(i)
			// Errors are expected.
			_, _ = table.Apply(r)
		}
		p := New(Config{Epoch: 2, Retention: time.Minute})
		p.SetDocument(chestnutpond.Document{Version: 1, Pools: []chestnutpond.Pool{{Name: "s"}}})
		table.Jobs(func(j *graph.Job) {
			j.View()
			if j.Graph.TotalTasks() <= 1000 {
				p.Load(j)
			}
		})
		p.Decide(time.Second, time.UnixMilli(1000))
		if _, err := p.TakeBatch(time.UnixMilli(1000)); err != nil {
			t.Fatal(err)
		}
	})
}
