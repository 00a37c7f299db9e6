package plan

import "time"

// lowCostShare is the cost of a preemption, as a share of the value of the unit that it makes
// room for, below which the unit does not wait. A late urgent job loses four fifths of its
// value, and the time at which other runs end is known to a quarter of their duration at best,
// so waiting risks more than this.
const lowCostShare = 0.05

// preemptEarly preempts less urgent runs for an urgent unit if that costs little, although
// the unit could still wait for capacity. Bursts of urgent work meet workers that are full of
// runs with checkpoints: to stop them loses a restore, and to wait until the slack is used up
// makes the unit late if its work, or the work that it waits for, takes longer than expected.
// It reports whether it assigned the unit.
func (p *Planner) preemptEarly(now time.Duration, u unit) bool {
	if !p.cfg.Policy.PreemptEarly {
		return false
	}
	chosen, victims := p.planPreemption(now, u, 1)
	if chosen == nil || p.cost(now, u, victims) >= lowCostShare*p.gain(u) {
		return false
	}
	p.preempt(now, u, chosen, victims)
	return true
}

// preempt stops the victims and assigns the unit to the chosen workers.
func (p *Planner) preempt(now time.Duration, u unit, chosen []*worker, victims []*run) {
	p.trial.observePreemption(p, now, u, victims)
	for _, r := range victims {
		p.stop(now, r, "makes room for more urgent work")
		p.stopGang(now, r.task.step, r.number)
	}
	p.assign(now, u, chosen)
}
