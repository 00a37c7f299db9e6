package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
)

const (
	// claimPayload runs longer than the latest loss of an agent and its leases: a
	// task that completes on the worker of a lost agent runs again, which is a
	// known limit.
	claimPayload = `{"run": "8s"}`
	secondName   = "compras"
	secondToken  = "token-of-compras"
	// memberLost is the silence after which the row of an agent counts as lost.
	memberLost = 3 * time.Second
	// reclaimBound is section 10, "reclaim".
	reclaimBound = 2*time.Second + checkpointLimit
)

// twoGuarantees is a document with a second account that has a guarantee, so
// that each of the near region's racks has to hold one.
func twoGuarantees() string {
	second := fmt.Sprintf(`  - name: %s
    token_sha256: %s
    guarantees:
      - {region: pampa, count: 1, accelerators: 16, adjacency: rack}
kinds:`, secondName, digest(secondToken))
	return strings.Replace(serviceDocument(2), "kinds:", second, 1)
}

// Guards against a guarantee that is not given because another one is claimed at
// the same time, everything is lent to a third account, and an agent is lost.
// The bound grows by what the design page states for a lost member: 3 s until its
// row counts as lost, and 9 s more if the claimed gang had begun there.
func TestTwoClaims(t *testing.T) {
	cases := map[string]struct {
		begin, end func(t *testing.T, agent *node)
	}{
		"alone":        {},
		"agent killed": {begin: func(t *testing.T, a *node) { a.process.kill(t) }},
		"agent paused": {
			begin: func(t *testing.T, a *node) { a.process.pause(t) },
			end:   func(_ *testing.T, a *node) { a.process.resume() },
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t)
			rng := seeded(t)
			lost := rng.IntN(2 * rackSize)
			delay := time.Duration(rng.IntN(2000)) * time.Millisecond
			observer := f.entries[0]
			p := observer.publish(t, "second", 1, twoGuarantees())
			assert.Equal(t, p.Outcome, chestnutpond.OutcomePublished)
			f.waitVersion(t, observer, 2)
			var jobs []chestnutpond.JobID
			for i := range 2 * rackSize {
				jobs = append(jobs, observer.submitAs(t, borrowerToken, fmt.Sprintf("borrower-%d", i), 8, claimPayload))
			}
			for _, id := range jobs {
				observer.waitJob(t, id, chestnutpond.JobRunning)
			}
			claimed := time.Now()
			claims := f.claimTogether(t)
			var lostAt time.Time
			if fault.begin != nil {
				hold(t, claimed, delay)
				t.Logf("%s lost %s after the claims", f.agents[lost].name, time.Since(claimed))
				fault.begin(t, f.agents[lost])
				lostAt = time.Now()
			}
			for _, id := range claims {
				observer.waitJob(t, id, chestnutpond.JobCompleted)
			}
			if fault.end != nil {
				hold(t, lostAt, gangGone)
				fault.end(t, f.agents[lost])
			}
			f.checkRunsAndJobs(t, observer, append(jobs, claims...)...)
			for _, id := range claims {
				f.checkClaim(t, id, claimed, lostAt, lost)
			}
		})
	}
}

// claimTogether submits the whole guarantees of both accounts at the same time.
func (f *fleet) claimTogether(t *testing.T) []chestnutpond.JobID {
	t.Helper()
	replies := make([]reply, 2)
	errs := make([]error, 2)
	claim := func(i int, token string) func() caller {
		return func() caller {
			replies[i], errs[i] = f.entries[i].submitOnce(token, fmt.Sprintf("claim-%d", i), gangSize, claimPayload)
			return caller{}
		}
	}
	together(claim(0, accountToken), claim(1, secondToken))
	var claims []chestnutpond.JobID
	for i, r := range replies {
		assert.NilError(t, errs[i])
		assert.Equal(t, r.outcome(), chestnutpond.OutcomeAccepted, "%s", r.body)
		claims = append(claims, idOf(r))
	}
	return claims
}

// checkClaim requires that the last attempt of a claim began in time. A claim
// that ran on the lost agent has its time from the loss.
func (f *fleet) checkClaim(t *testing.T, id chestnutpond.JobID, claimed, lostAt time.Time, lost int) {
	t.Helper()
	from, bound := claimed, reclaimBound
	if !lostAt.IsZero() {
		bound += memberLost
	}
	for _, r := range f.platform.runs(t) {
		key, _, err := check.SplitTask(r.Task)
		assert.NilError(t, err)
		if !lostAt.IsZero() && key.Job == string(id) && r.Worker == fmt.Sprint(lost) {
			from, bound = lostAt, reclaimBound+memberLost+gangGone
		}
	}
	took := f.startOf(t, id).Sub(from)
	t.Logf("%s runs %s after the claim or the loss, allowed are %s", id, took, bound)
	assert.Check(t, took < bound, "started after %s, allowed are %s", took, bound)
}
