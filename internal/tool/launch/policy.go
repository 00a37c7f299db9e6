package launch

import (
	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

// The flags that switch parts of the scheduling on. All entries of a deployment have the same.
const (
	flagLearnDurations = "learn-durations"
	flagPreemptEarly   = "preempt-early"
	flagSlowBackoff    = "slow-backoff"
	flagHeadroom       = "headroom"
	flagTotalCost      = "total-cost"
	flagAdmission      = "admission"
)

// policyFlags returns these flags. A deployment that sets none is
// scheduled as before these parts existed.
func policyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagLearnDurations, Usage: "predict the durations of tasks from ended runs"},
		&cli.BoolFlag{Name: flagPreemptEarly, Usage: "let urgent work preempt at once where that costs little"},
		&cli.BoolFlag{Name: flagSlowBackoff, Usage: "avoid a worker for longer each time it is found slow again"},
		&cli.BoolFlag{Name: flagHeadroom, Usage: "keep whole workers free for urgent work, as recent arrivals need"},
		&cli.BoolFlag{Name: flagTotalCost, Usage: "choose preempted runs by their total cost over all workers"},
		&cli.BoolFlag{Name: flagAdmission, Usage: "reject jobs at once that could not end in time by the forecast"},
	}
}

// policyOf returns the policy that the flags of a command state.
func policyOf(c *cli.Command) plan.Policy {
	return plan.Policy{
		LearnDurations: c.Bool(flagLearnDurations), PreemptEarly: c.Bool(flagPreemptEarly), Headroom: c.Bool(flagHeadroom),
		TotalCost: c.Bool(flagTotalCost), SlowBackoff: c.Bool(flagSlowBackoff),
	}
}
