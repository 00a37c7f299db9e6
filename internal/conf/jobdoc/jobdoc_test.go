package jobdoc

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// valid has every key at least once; tests replace parts of it.
const valid = `kind: lot_match
payload: zip lengths
schedule: {first: 2026-12-04T09:00:00Z, every: 1h, repetitions: 3}
steps:
  - {count: 4, cpu_millis: 500, memory_mib: 256, estimate: 900ms, data_rack: r1-3, label: a, per_worker: 2, speculative: true}
  - {count: 20, accelerators: 1, after: [0], gang: true, same_rack: true, checkpointable: true, image: matcher}
  - {perpetual: true, tail_latency: 50ms, max_unavailable: 1, filler: true, after: [0, 1]}
`

func TestParse(t *testing.T) {
	got, err := Parse("j", []byte(valid))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Job{Kind: "lot_match", Graph: chestnutpond.Graph{
		Payload: "zip lengths",
		Schedule: chestnutpond.Schedule{
			First: time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC), Every: time.Hour, Repetitions: 3,
		},
		Steps: []chestnutpond.Step{
			{
				Count: 4, Need: chestnutpond.Resources{CPU: 500, Memory: 256}, Estimate: 900 * time.Millisecond,
				DataRack: "r1-3", Label: "a", PerWorker: 2, Speculative: true,
			},
			{
				Count: 20, Need: chestnutpond.Resources{Accelerators: 1}, After: []int{0}, Gang: true, SameRack: true,
				Checkpointable: true, Image: "matcher",
			},
			{
				Count: 1, Perpetual: true, TailLatency: 50 * time.Millisecond, MaxUnavailable: 1, Filler: true,
				After: []int{0, 1},
			},
		},
	}})
	assert.NilError(t, got.Graph.Check())
}

// Guards against a message that omits the position, the problem or the allowed
// values.
func TestErrors(t *testing.T) {
	const span = "; allowed: 0s to 720h as a number with a unit, such as 500ms, 5s or 24h"
	tests := map[string]struct{ old, replacement, want string }{
		"unknown key":    {"payload:", "paylod:", `2:1: unknown key "paylod"; allowed: kind, payload, schedule, steps`},
		"no steps":       {valid[strings.Index(valid, "steps:"):], "", "1:1: steps is missing; allowed: a list of 1 to 256 mappings"},
		"large payload":  {"zip lengths", strings.Repeat("z", MaxPayload+1), `2:10: payload is "` + strings.Repeat("z", 40) + `…"; allowed: a text of at most 4000 bytes`},
		"time":           {"2026-12-04T09:00:00Z", "9", `3:19: schedule.first is "9"; allowed: a time such as 2026-12-04T09:00:00Z`},
		"repetitions":    {"repetitions: 3", "repetitions: 0", "3:65: schedule.repetitions is 0; allowed: 1 to 10000"},
		"count":          {"count: 4,", "count: 0,", "5:13: steps[0].count is 0; allowed: 1 to 4096"},
		"estimate":       {"900ms", "-1s", "5:60: steps[0].estimate is -1s" + span},
		"later step":     {"after: [0]", "after: [1]", `6:42: steps[1].after[0] is "1"; allowed: the numbers of earlier steps, counted from 0`},
		"step twice":     {"after: [0, 1]", "after: [0, 0]", `7:88: steps[2].after[1] repeats "0"; allowed: distinct values`},
		"gang is a text": {"gang: true", "gang: all", "6:52: steps[1].gang is a text; allowed: true, false"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.replacement, 1)
			assert.Assert(t, text != valid)
			_, err := Parse("j", []byte(text))
			assert.Error(t, err, "j:"+tt.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("kind: k\nsteps: [{}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := Parse("f", data)
		if err != nil {
			assert.Assert(t, strings.HasPrefix(err.Error(), "f:"), err)
			assert.Assert(t, strings.Contains(err.Error(), "; allowed: "), err)
			return
		}
		assert.NilError(t, j.Graph.Check())
	})
}
