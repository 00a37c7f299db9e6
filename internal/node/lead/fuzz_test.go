package lead

import (
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// FuzzReport guards against a report of an agent on which decoding or the planner panics.
func FuzzReport(f *testing.F) {
	const task = "5c0e7a21d94b36f8.0.1.17"
	for _, r := range []*inner.WorkerReport{
		{},
		{Agent: "a", Sequence: 1, Worker: &inner.WorkerLife{}},
		{
			Agent: "a", Listed: true, Worker: &inner.WorkerLife{Id: "w", Service: "s", Born: 1, Labels: []string{"a"}, Capacity: &inner.Vector{MilliCpu: 1}},
			Running: []*inner.RunRow{{Task: task, Run: 1, Percent: 41}}, Ended: []*inner.EndRow{{Sequence: 1, Task: task, Run: 1, Ending: "done"}},
		},
		{
			Agent: "a", Listed: true, LeaseOver: true, Left: true, ClockMs: math.MaxInt64, SilentMs: math.MinInt64,
			Worker:  &inner.WorkerLife{Id: "w", Service: "s", Born: math.MinInt64, RemainingMs: math.MaxInt64, ColdMs: math.MinInt64, Capacity: &inner.Vector{MilliCpu: math.MinInt64, Accelerators: math.MaxInt64}},
			Running: []*inner.RunRow{{Task: task, Run: math.MinInt64, Percent: math.MinInt32, Load: math.MinInt64}, {Task: "x"}, {Task: strings.Repeat("9.", 5000)}},
			Ended:   []*inner.EndRow{{Sequence: math.MaxInt64, Task: task, Ending: "dancing"}, {Task: "a.-1.0.0"}},
			Refused: []*inner.RefusalRow{{Task: task, Refusal: "?"}, {}}, Doubts: []*inner.DoubtRow{{Task: task, AgeMs: math.MaxInt64}},
		},
	} {
		value, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	for _, value := range []string{"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", strings.Repeat("\x0a\x7f", 4000), "\x0a\xff\xff\xff\xff\x07x", "{}"} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r := &inner.WorkerReport{}
		if proto.Unmarshal(value, r) != nil {
			return
		}
		report := decodeReport(r, slog.New(slog.DiscardHandler))
		for _, run := range report.Running {
			if _, err := chestnutpond.ParseTaskRef(run.Task.String()); err != nil {
				t.Fatalf("row handed on: %v", err)
			}
		}
		p := plan.New(plan.Config{Epoch: 1})
		p.SetDocument(chestnutpond.Document{Version: 1, Pools: []chestnutpond.Pool{{Name: "s"}}})
		p.Accept(&chestnutpond.Graph{
			ID: "5c0e7a21d94b36f8", Queue: chestnutpond.QueuePolicy{Service: "s", MaxAttempts: 3},
			Steps: []chestnutpond.Step{{Count: 1}, {Count: 20, Gang: true, SameRack: true}},
		})
		for now := range 3 {
			at := time.Duration(now) * time.Second
			p.Report(at, report)
			p.ExpireLeases(at)
			p.Decide(at, time.UnixMilli(0).Add(at))
			batch, err := p.TakeBatch(time.UnixMilli(0).Add(at))
			if err != nil {
				t.Fatal(err)
			}
			p.BatchStored(batch)
			p.Orders(at, report.Info.ID)
			p.LeaseGranted(at, report.Info.ID)
			p.Counts(at)
		}
	})
}
