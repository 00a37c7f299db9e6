package sched

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// TestAcceptedChangeAfterLoad guards against a second attempt with the same number
// when the change of an accepted job arrives after the scheduler loaded the job
// from the fold.
func TestAcceptedChangeAfterLoad(t *testing.T) {
	for name, size := range map[string]int{"starting": 16, "waiting": 25} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t)
				e := cl.addEntry("a")
				time.Sleep(5 * time.Second)
				cl.log.SetFaults(stand.LogFaults{Delay: stand.Duration(500 * time.Millisecond)})
				cl.submit(e, "j", "stock", size)
				time.Sleep(100 * time.Millisecond)
				e.manager.LogChanged(ledger.Change{Kind: ledger.ChangeAccepted, Job: "j", Region: "pampa"})
				time.Sleep(settleTime)
				placed := 0
				for _, ev := range e.history("j") {
					if ev.Kind == chestnutpond.EventPlaced {
						placed++
					}
				}
				if size == 16 {
					assert.Equal(t, placed, 1)
					assert.Equal(t, e.state("j"), chestnutpond.JobCompleted)
				}
				cl.checkSingleStarts(t)
			})
		})
	}
}

// TestStartRecordOfSuccessor guards against a scheduler that mistakes the start
// record of its successor for its own, because both used the same attempt number.
// The successor's records may be read one by one, or together with its own.
func TestStartRecordOfSuccessor(t *testing.T) {
	for name, settled := range map[string]bool{"read one by one": true, "read with the own record": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStartRecordOfSuccessor(t, settled) })
		})
	}
}

func testStartRecordOfSuccessor(t *testing.T, settled bool) {
	cl := newCluster(t)
	e := cl.addEntry("a")
	time.Sleep(5 * time.Second)
	var term ledger.Term
	e.tail.View(func(st *ledger.State) { term = st.Term("pampa") })
	// A holder that is not a live peer would lose the term at once, and its start
	// with it.
	cl.mu.Lock()
	cl.entries["b"] = &entry{cluster: cl, name: "b", incarnation: 1}
	cl.mu.Unlock()
	// The former scheduler's attempt is prepared and about to record its start
	// when the records of the successor are appended.
	former := newRegionScheduler(e.manager, term, document)
	placements := []chestnutpond.Placement{{Worker: "w0", Incarnation: 1, Accelerators: []int{0}}}
	late := newAttempt(former, chestnutpond.JobSpec{ID: "j"}, 1, placements, false)
	records := []ledger.Body{
		ledger.ClaimTerm{Region: "pampa", Number: term.Number + 1},
		ledger.AcceptJob{Spec: chestnutpond.JobSpec{ID: "j", Account: "stock", Region: "pampa"}},
		ledger.StartJob{
			Job: "j", Attempt: 1, Region: "pampa", Term: term.Number + 1,
			Placements: []chestnutpond.Placement{{Worker: "w5", Incarnation: 1, Accelerators: []int{0}}},
		},
	}
	for _, body := range records {
		data, err := ledger.Encode(ledger.Origin{Process: "b", Incarnation: 1}, body)
		assert.NilError(t, err)
		_, err = cl.log.Append(t.Context(), data)
		assert.NilError(t, err)
		if settled {
			synctest.Wait()
		}
	}
	recorded, final := late.recordStart(t.Context())
	job, _ := late.job()
	assert.Equal(t, len(job.Placements), 1, "the start record of the successor is void")
	assert.Equal(t, job.Placements[0].Worker, "w5")
	assert.Assert(t, !recorded && !final, "the start record of the successor was taken for the former scheduler's own")
}
