package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// takeOver replaces the planner by that of a new leader, to which no worker has reported.
func (b *testbed) takeOver() {
	old := b.p
	b.p = New(Config{
		Epoch: 2, Lease: testLease, FormerGrantPeriod: 8 * time.Second, ClaimedAt: b.now, Wall: b.wall, Retention: time.Minute,
		RemoteSlowdown: 3, SettleLimit: time.Second,
	})
	b.p.SetDocument(old.document)
}

// reportOf has the first workers report to the planner, with their lists.
func (b *testbed) reportOf(count int) {
	all := b.workers
	b.workers = all[:count]
	b.report()
	b.report()
	b.workers = all
}

// Guards against a new leader that stops running work, or places work away from its data or
// its gang, because the workers that it needs have not reported to it yet.
func TestNewLeaderWaitsForWorkers(t *testing.T) {
	urgent := chestnutpond.Step{Count: 1, Need: big, Estimate: time.Second}
	cases := map[string]struct {
		step chestnutpond.Step
		// busy is the number of workers that run less urgent work, which report first.
		busy int
		want map[string]int
	}{
		"free worker reports later": {step: urgent, busy: 2, want: map[string]int{"w3": 1}},
		"rack of the data reports later": {
			step: chestnutpond.Step{Count: 1, Need: small, Estimate: time.Second, DataRack: "r2"}, want: map[string]int{"w3": 1},
		},
		"rack of the gang reports later": {
			step: chestnutpond.Step{Count: 2, Need: big, Estimate: time.Second, Gang: true, SameRack: true},
			busy: 2, want: map[string]int{"w3": 1, "w4": 1},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2, 2)
			b.takeOver()
			b.reportOf(2)
			for range tt.busy {
				b.submit(2, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: 20 * time.Second})
			}
			b.workersRound(2)
			id := b.submit(0, "stock", tt.step)
			b.now += 30 * time.Millisecond
			b.workersRound(2)
			assert.Equal(t, len(b.placements(id)), 0)
			b.now += 60 * time.Millisecond
			b.report()
			b.report()
			b.now += settleQuiet
			b.round()
			assert.DeepEqual(t, b.placements(id), tt.want)
			for _, n := range b.p.Notes() {
				assert.Assert(t, n.Kind != NoteStopped, "%+v", n)
			}
		})
	}
}

// workersRound runs a round in which only the first workers take part.
func (b *testbed) workersRound(count int) {
	all := b.workers
	b.workers = all[:count]
	b.round()
	b.workers = all
}

// Guards against urgent work that waits for workers that are gone.
func TestNewLeaderDoesNotWaitLong(t *testing.T) {
	b := newTestbed(t, 2)
	b.takeOver()
	b.reportOf(1)
	b.submit(2, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: 20 * time.Second})
	b.workersRound(1)
	id := b.submit(0, "stock", chestnutpond.Step{Count: 1, Need: big, Estimate: time.Second})
	b.now += settleQuiet
	b.workersRound(1)
	b.workersRound(1)
	assert.DeepEqual(t, b.placements(id), map[string]int{"w1": 1})
}
