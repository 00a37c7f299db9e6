package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// TestEvacuationBeforeSend guards against a request that is sent to a zone whose evacuation
// became known between the choice of the target and the call, and against one that is lost
// or runs twice by that.
func TestEvacuationBeforeSend(t *testing.T) {
	for name, kind := range map[string]chestnutpond.Kind{"idempotent": price, "not idempotent": order} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(newAgent("a"))
				s := c.addEntry(t, "e", stand.NewLog("s"))
				assert.Equal(t, s.Do(t.Context(), request(kind, "")).Outcome, chestnutpond.OutcomeAnswered)
				before := c.totalRuns()
				evacuated := true
				c.connecting = func() {
					if evacuated {
						s.SetEvacuations(chestnutpond.Evacuations{}.With("pampa-a"))
					}
				}
				began := time.Now()
				time.AfterFunc(time.Second, func() {
					assert.Check(t, c.totalRuns() == before, "sent to the evacuated zone")
					evacuated = false
					s.SetEvacuations(chestnutpond.Evacuations{})
				})
				r := request(kind, "")
				assert.Equal(t, s.Do(t.Context(), r).Outcome, chestnutpond.OutcomeAnswered)
				assert.Assert(t, time.Since(began) >= time.Second)
				assert.Equal(t, c.runs(r.ID), 1)
			})
		})
	}
}
