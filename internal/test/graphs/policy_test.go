package graphs

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

// urgentLeast is the share of urgent jobs that are in time with a policy, of those without:
// a policy that saves work may not take it from urgent callers. One job in fifty is the
// noise of a load.
const urgentLeast = 0.98

// largeLeast is how often the largest tenth of a kind is served, relative to the kind.
const largeLeast = 0.5

// Guards against a policy that discards more work for urgent jobs than none, that makes
// urgent jobs late, starves large jobs, or leaves callers below the deployment's target.
func TestPolicies(t *testing.T) {
	for name, tt := range map[string]struct {
		row    string
		policy plan.Policy
	}{
		"whole workers stay free on B": {"deployment_b", plan.Policy{Headroom: true}},
		"victims by total cost on B": {"deployment_b", plan.Policy{
			Headroom: true, TotalCost: true,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := rowNamed(t, tt.row)
			without, with := newOutcomes(), newOutcomes()
			for _, seed := range Seeds[:2] {
				without = without.plus(Run(r, seed).Outcomes)
				r.Policy = tt.policy
				got := Run(r, seed)
				r.Policy = plan.Policy{}
				assert.Equal(t, got.Unfinished, 0)
				assert.Assert(t, got.Large >= largeLeast, "%v of the large jobs", got.Large)
				with = with.plus(got.Outcomes)
			}
			t.Logf("without: %s", without.row(2))
			t.Logf("with:    %s", with.row(2))
			assert.Assert(t, with.Preempted < without.Preempted, "%.0f of %.0f core-seconds", with.Preempted, without.Preempted)
			assert.Assert(t, float64(with.Kinds["urgent"].InTime) >= urgentLeast*float64(without.Kinds["urgent"].InTime))
			assert.Assert(t, with.Worth >= 2*r.worthLeast, "%.3f", with.Worth/2)
		})
	}
}

func rowNamed(t *testing.T, name string) Row {
	for _, r := range Rows() {
		if r.Name == name {
			return r
		}
	}
	t.Fatalf("no row %s", name)
	return Row{}
}
