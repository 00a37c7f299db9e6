package plan

import "time"

// settleQuiet is the time without a first report after which all workers that were there at
// the claim have reported. A hundred and sixty of them report within 250 ms.
const settleQuiet = 150 * time.Millisecond

// recordJoined records that a worker has reported for the first time.
func (p *Planner) recordJoined(now time.Duration) { p.lastJoined = max(p.lastJoined, now) }

// updateSettled ends the time in which workers of a former leader report for the first
// time.
func (p *Planner) updateSettled(now time.Duration) {
	if p.settled {
		return
	}
	quiet := p.lastJoined > 0 && now-p.lastJoined >= settleQuiet
	p.settled = quiet || now-p.cfg.ClaimedAt >= p.cfg.SettleLimit
}

// mustSettle reports whether the unit has to wait until all workers have reported: one that
// depends on racks would be placed across them if some of their workers are missing.
func (p *Planner) mustSettle(u unit) bool {
	def := u.step.def
	return !p.settled && (def.DataRack != "" || def.SameRack && len(u.tasks) > 1)
}
