package peers

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// TestEndedTasks guards against an entry that is behind the log and lets an agent
// drop a result before its end is in the log: the job would run again.
func TestEndedTasks(t *testing.T) {
	by := ledger.Origin{Process: "a", Incarnation: 1}
	accept := ledger.AcceptJob{Spec: chestnutpond.JobSpec{ID: "j", Region: "r"}}
	claim := ledger.ClaimTerm{Region: "r", Number: 1}
	start := ledger.StartJob{Job: "j", Attempt: 1, Region: "r", Term: 1}
	stop := ledger.StopJob{Job: "j", Attempt: 1, Region: "r", Term: 1}
	end := ledger.EndJob{Job: "j", Attempt: 1, Region: "r", Term: 1, State: chestnutpond.JobCompleted}
	tests := map[string]struct {
		records []ledger.Body
		settled bool
		release bool
	}{
		"the fold is behind the acceptance": {nil, false, false},
		"the fold is behind the start":      {[]ledger.Body{accept, claim}, true, false},
		"running by the log":                {[]ledger.Body{accept, claim, start}, true, false},
		"given back":                        {[]ledger.Body{accept, claim, start, stop}, false, true},
		"ended":                             {[]ledger.Body{accept, claim, start, end}, false, true},
		"forgotten long ago":                {nil, true, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			st := ledger.New()
			for i, body := range tc.records {
				data, err := ledger.Encode(by, body)
				assert.NilError(t, err)
				_, err = st.Apply(chestnutpond.Record{Offset: int64(i), Data: data})
				assert.NilError(t, err)
			}
			m := &inner.Member{Tasks: []*inner.Task{
				{Job: "j", Attempt: 1, State: inner.TaskState_TASK_STATE_COMPLETED},
			}}
			assert.Equal(t, len(releasableTasks(m, st, tc.settled)) == 1, tc.release)
		})
	}
}
