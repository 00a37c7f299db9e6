package world

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

const learnedKey = "learned"

// learn runs jobs, one after the other, whose estimates are too short.
func (w *World) learn(t *testing.T, e *Entry, first, jobs int) {
	t.Helper()
	for i := range jobs {
		g := tasks(4)
		g.Steps[0].Estimate = 200 * time.Millisecond
		id := fmt.Sprintf("%016x", first+i)
		w.accept(t, e, id, g)
		assert.Assert(t, w.Ended(8*time.Second, id, chestnutpond.JobCompleted))
		w.startedOnce(t, id, 4)
	}
}

// Guards against a leader that loses what was learned before it, against one that fails or
// stops storing after the record of another writer, and against a record that nothing calls
// for.
func TestLearnedDurationsOutliveTheLeader(t *testing.T) {
	const groups = "lead_learned_groups"
	cases := map[string]struct {
		learns bool
		// value is left by another writer.
		value []byte
		// want is the metric of the next leader before it has learned anything.
		want string
	}{
		"record":         {true, nil, "chestnutpond_lead_learned_groups 3"},
		"malformed":      {true, []byte("\xff\xff"), "chestnutpond_lead_learned_groups 0"},
		"other version":  {true, []byte{0x08, 0x63}, "chestnutpond_lead_learned_groups 0"},
		"not configured": {false, nil, "chestnutpond_lead_learned_groups 0"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			playWith(t, 2*time.Second, func(c *Config) { c.Policy.LearnDurations = tt.learns }, func(t *testing.T, w *World) {
				former := w.Leader()
				w.learn(t, former, 0xa0, 3)
				time.Sleep(11 * time.Second)
				_, stored := w.Store.Records(chestnutpond.TopicWork)[learnedKey]
				assert.Equal(t, stored, tt.learns)
				if tt.value != nil {
					_, err := former.Way.Append(t.Context(), chestnutpond.TopicWork, chestnutpond.KeyedAppend{
						Records: []chestnutpond.KeyedRecord{{Key: learnedKey, Value: tt.value}},
					})
					assert.NilError(t, err)
					time.Sleep(time.Second)
				}
				former.Kill()
				assert.Assert(t, w.Until(5*time.Second, func() bool { l := w.Leader(); return l != nil && l != former }), "no leader")
				time.Sleep(time.Second)
				next := w.Leader()
				assert.DeepEqual(t, lines(t, next.Node().Metrics(), groups), []string{tt.want})
				w.learn(t, next, 0xb0, 3)
				time.Sleep(11 * time.Second)
				value := w.Store.Records(chestnutpond.TopicWork)[learnedKey].Value
				assert.Equal(t, len(value) > 20, tt.learns, "%d bytes", len(value))
				predicted := lines(t, next.Node().Metrics(), `lead_predicted_runs_total{queue="lots"`)
				assert.Equal(t, len(predicted) == 1, tt.learns, "%q", predicted)
			})
		})
	}
}
