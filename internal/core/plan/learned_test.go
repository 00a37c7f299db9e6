package plan

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

func newLearningTestbed(t *testing.T) *testbed {
	b := newTestbed(t, 4)
	b.learns = true
	b.p = b.newPlanner(1, 0)
	b.report()
	b.report()
	return b
}

// play runs a job of one task for the given time.
func (b *testbed) play(account string, estimate, took time.Duration) {
	id := b.submit(1, account, chestnutpond.Step{Count: 1, Need: small, Estimate: estimate})
	b.round()
	b.round()
	b.advance(took, 0)
	b.endRuns(id, chestnutpond.RunDone)
	b.round()
}

// expected returns the expected duration of a new step's tasks, in seconds.
func (b *testbed) expected(account string, estimate time.Duration) float64 {
	id := b.submit(1, account, chestnutpond.Step{Count: 1, Need: small, Estimate: estimate})
	b.round()
	return b.p.expectedDuration(b.p.jobs[id].occurrences[0].steps[0]).Seconds()
}

// Guards against an account whose wrong estimates spoil the predictions of another one, and
// against a planner that learns without being told to.
func TestLearnedByAccount(t *testing.T) {
	for name, learns := range map[string]bool{"learns": true, "does not": false} {
		t.Run(name, func(t *testing.T) {
			b := newLearningTestbed(t)
			b.learns = learns
			b.p = b.newPlanner(1, 0)
			b.report()
			b.report()
			for i := range 12 {
				took := time.Duration(2+i%4) * time.Second
				b.play("stock", took, took)
				b.play("ventas", 7*took, took)
			}
			right, wrong := b.expected("stock", 4*time.Second), b.expected("ventas", 28*time.Second)
			t.Logf("%.2f s and %.2f s of 4 s", right, wrong)
			known := math.Abs(right-4) < 0.6 && math.Abs(wrong-4) < 0.6
			assert.Equal(t, known, learns)
			assert.Equal(t, b.p.LearnedGroups() > 0, learns)
		})
	}
}

// Guards against an estimate that is believed although runs of the same step show that it is
// wrong.
func TestStepShowsItsDuration(t *testing.T) {
	step := chestnutpond.Step{Count: 4, Need: small, Estimate: 2 * time.Second}
	gang := step
	gang.Gang = true
	cases := map[string]struct {
		step chestnutpond.Step
		show func(b *testbed, id chestnutpond.JobID)
	}{
		"progress of a step": {step, func(b *testbed, _ chestnutpond.JobID) { b.advance(4*time.Second, 20) }},
		"progress of a gang": {gang, func(b *testbed, _ chestnutpond.JobID) { b.advance(4*time.Second, 20) }},
		"stopped runs": {step, func(b *testbed, id chestnutpond.JobID) {
			b.advance(4*time.Second, 20)
			b.endRuns(id, chestnutpond.RunStopped)
		}},
		"a completed run": {step, func(b *testbed, _ chestnutpond.JobID) {
			b.advanceWithLeases(20*time.Second, 0)
			for r := range b.worker("w1").running {
				b.worker("w1").end(r, chestnutpond.RunDone)
			}
			b.report()
		}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newLearningTestbed(t)
			id := b.submit(1, "stock", tt.step)
			b.round()
			b.round()
			s := b.p.jobs[id].occurrences[0].steps[0]
			assert.Equal(t, b.p.expectedDuration(s), 2*time.Second)
			tt.show(b, id)
			clear(b.p.predictions)
			got := b.p.expectedDuration(s).Seconds()
			t.Logf("%.1f s of 20 s", got)
			assert.Assert(t, got > 14 && got < 24, "%.1f s of 20 s", got)
		})
	}
}

// Guards against a class whose runs are all stopped before they end, and of which nothing
// is learned.
func TestStoppedRunsRaiseThePrediction(t *testing.T) {
	b := newLearningTestbed(t)
	for range 10 {
		id := b.submit(1, "stock", chestnutpond.Step{Count: 1, Need: small, Estimate: 2 * time.Second})
		b.round()
		b.round()
		b.advance(6*time.Second, 5)
		b.p.Cancel(b.now, id)
		b.round()
		b.report()
		b.endRuns(id, chestnutpond.RunStopped)
		b.round()
	}
	got := b.expected("stock", 2*time.Second)
	t.Logf("%.1f s after runs of more than 6 s", got)
	assert.Assert(t, got > 5, "%.1f s", got)
}

// Guards against a new leader that has lost what was learned, and against one that fails
// or predicts nonsense after a malformed record.
func TestTakeoverKeepsWhatWasLearned(t *testing.T) {
	b := newLearningTestbed(t)
	for range 12 {
		b.play("stock", 14*time.Second, 2*time.Second)
	}
	value, err := b.p.TakeLearned(b.now, b.wall, 32<<10)
	assert.NilError(t, err)
	again, err := b.p.TakeLearned(b.now, b.wall, 32<<10)
	assert.NilError(t, err)
	assert.Assert(t, again == nil, "the same record twice")
	want := b.expected("stock", 14*time.Second)
	cases := map[string]struct {
		value []byte
		fails bool
		want  float64
	}{
		"record":    {value, false, want},
		"none":      {nil, false, 14},
		"malformed": {value[:len(value)-3], true, 14},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			next := newLearningTestbed(t)
			err := next.p.LoadLearned(tt.value, b.wall)
			assert.Equal(t, err != nil, tt.fails, "%v", err)
			got := next.expected("stock", 14*time.Second)
			assert.Assert(t, math.Abs(got-tt.want) < 0.02*tt.want, "%.2f s, want %.2f s", got, tt.want)
		})
	}
}
