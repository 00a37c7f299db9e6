package place

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// migration is a running job that is preempted with a checkpoint to continue on
// another worker.
type migration struct {
	job *job
	to  pick
}

// evacuation is a worker whose jobs may all be migrated.
type evacuation struct {
	w    *worker
	jobs []*job
	used int
	cost int64
}

// entirelyLendable reports whether borrowers may use all accelerators of the
// worker.
func (w *worker) entirelyLendable() bool { return w.count[poolLendable] == w.size() }

func (c *Core) consolidates() bool { return len(c.cells) > 0 && c.cfg.has(FeatureConsolidate) }

// consolidate evacuates the cheapest set of workers that frees accelerators for
// one more of the largest guaranteed shape. It migrates their jobs to other
// workers that are partly used. A migration costs a stop and a start of a few
// seconds, and the work since the job's start if the checkpoint is not written.
// Guaranteed and urgent jobs are never migrated. A consolidation starts only
// after the previous one has finished.
func (c *Core) consolidate() {
	if !c.consolidates() || c.now < c.consolidateAt || c.holdsPreemption() {
		return
	}
	c.consolidateAt = c.now + c.cfg.ConsolidateEvery
	if len(c.migrations) > 0 {
		return
	}
	sets := c.evacuationSets(c.cells[0].shape)
	sort.SliceStable(sets, func(i, j int) bool { return totalCost(sets[i]) < totalCost(sets[j]) })
	for _, set := range sets[:min(len(sets), maxEvacuationSets)] {
		if migrations, ok := c.planMigrations(set); ok {
			c.migrations = migrations
			break
		}
	}
	for _, m := range c.migrations {
		m.job.migratedAt, m.job.hasMigrated = c.now, true
		c.preempt(m.job, "", "moved to free a whole guaranteed shape")
	}
}

// maxEvacuationSets is the maximum number of sets for which one decision
// searches for destinations, because each search scans all workers.
const maxEvacuationSets = 8

func totalCost(set []evacuation) int64 {
	n := int64(0)
	for _, e := range set {
		n += e.cost
	}
	return n
}

// evacuationSets returns sets of workers. Evacuating all workers of a set frees
// accelerators for one more of the shape.
func (c *Core) evacuationSets(shape chestnutpond.Shape) [][]evacuation {
	var out [][]evacuation
	for _, z := range c.fleet.zones {
		var inZone []evacuation
		whole := 0
		for _, r := range z.racks {
			inRack := c.evacuable(r)
			switch shape.Adjacency {
			case chestnutpond.AdjacencyWorker:
				for _, e := range inRack {
					out = appendCheapestSet(out, []evacuation{e}, e.w.size()-e.used, shape.Accelerators)
				}
			case chestnutpond.AdjacencyRack:
				out = appendCheapestSet(out, inRack, r.summaries[poolLendable].whole, shape.Accelerators)
			default:
				inZone = append(inZone, inRack...)
				whole += r.summaries[poolLendable].whole
			}
		}
		out = appendCheapestSet(out, inZone, whole, shape.Accelerators)
	}
	return out
}

// appendCheapestSet appends the cheapest workers that, with the free
// accelerators, hold one more shape of n accelerators.
func appendCheapestSet(to [][]evacuation, from []evacuation, free, n int) [][]evacuation {
	sort.SliceStable(from, func(i, j int) bool { return from[i].cost < from[j].cost })
	need := n - free%n
	for i, e := range from {
		need -= e.w.size()
		if need <= 0 {
			return append(to, from[:i+1])
		}
	}
	return to
}

// evacuable returns the workers of a rack whose jobs may all be migrated.
func (c *Core) evacuable(r *rack) []evacuation {
	var out []evacuation
	for _, w := range r.workers {
		if !w.usable() || w.entirelyLendable() || w.count[poolLendable] < w.size()-c.cfg.ConsolidateLimit {
			continue
		}
		e := evacuation{w: w, used: w.size() - w.count[poolLendable]}
		n := 0
		for i := range w.slots[:w.size()] {
			if j := w.slots[i].job; j != nil && !contains(e.jobs, j) && c.mayMigrate(j) {
				e.jobs = append(e.jobs, j)
				e.cost += c.preemptionCost(j) % costPerLevel
				n += j.size()
			}
		}
		// n is smaller if a job must stay or accelerators are claimed.
		if n == e.used {
			out = append(out, e)
		}
	}
	return out
}

// mayMigrate reports whether a job may be migrated. Urgent jobs stay, because
// they suffer most from the few seconds that a migration takes.
func (c *Core) mayMigrate(j *job) bool {
	run := c.now - j.runningSince
	return j.state == stateRunning && j.level > 0 && !j.guaranteed && len(j.held) == 1 &&
		run >= c.cfg.HealthyAfter && run <= c.cfg.MigrationMaxRun &&
		(!j.hasMigrated || c.now-j.migratedAt >= c.cfg.MigrationCooldown)
}

// planMigrations finds a destination for each job of the set, the largest job
// first, on the fullest other worker that has room. ok is false if a job has
// none.
func (c *Core) planMigrations(set []evacuation) (migrations []migration, ok bool) {
	var jobs []*job
	taken := map[*worker]int{}
	for _, e := range set {
		jobs = append(jobs, e.jobs...)
		taken[e.w] = e.w.size()
	}
	sort.SliceStable(jobs, func(i, k int) bool { return jobs[i].size() > jobs[k].size() })
	for _, j := range jobs {
		w := c.fullestWorker(j, taken)
		if w == nil {
			return nil, false
		}
		taken[w] += j.size()
		migrations = append(migrations, migration{j, pick{w, j.size()}})
	}
	return migrations, true
}

// fullestWorker returns the partly used worker on which the job fits with the
// fewest accelerators left over. taken counts accelerators that are planned for
// other migrations or being evacuated.
func (c *Core) fullestWorker(j *job, taken map[*worker]int) *worker {
	var best *worker
	least := 0
	q := query{avoid: j.avoid}
	for _, r := range c.fleet.racks {
		for _, w := range r.workers {
			room := w.count[poolLendable] - taken[w]
			if room >= j.size() && !w.entirelyLendable() && (best == nil || room < least) && q.allows(w) {
				best, least = w, room
			}
		}
	}
	return best
}

// startMigrated starts the jobs whose attempt has stopped on their destination.
// If the destination lost its room or became empty meanwhile, the job waits
// like any other.
func (c *Core) startMigrated() {
	kept := c.migrations[:0]
	for _, m := range c.migrations {
		switch w := m.to.w; {
		case m.job.state == stateStopping:
			kept = append(kept, m)
		case m.job.state == stateWaiting && !w.entirelyLendable() && w.count[poolLendable] >= m.to.n:
			c.startBorrower(m.job, []pick{m.to})
		}
	}
	c.migrations = kept
}
