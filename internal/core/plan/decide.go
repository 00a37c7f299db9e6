package plan

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// unit is the unit of placement: a whole gang or a single task.
type unit struct {
	step  *step
	tasks []*task
}

func (u unit) job() *job { return u.step.occurrence.job }

// Decide places the waiting units that fit. The starts take effect through TakeBatch,
// BatchStored and Orders. It reports whether it placed anything.
func (p *Planner) Decide(now time.Duration, wall time.Time) bool {
	p.wall, p.decidedAt = wall, now
	p.updateSettled(now)
	p.removeSettled(wall)
	for _, j := range p.active {
		p.materialize(now, wall, j)
	}
	p.inspect(now)
	changed := false
	clear(p.reserved)
	clear(p.capacities)
	clear(p.headroom)
	clear(p.predictions)
	p.reservations = 0
	// Units of one step are interchangeable: if one cannot be placed, neither can
	// the others.
	unplaced := map[*step]bool{}
	if p.startsHeld {
		return false
	}
	for _, u := range p.units(now) {
		if unplaced[u.step] {
			continue
		}
		if p.place(now, u) {
			changed = true
		} else {
			unplaced[u.step] = true
		}
	}
	return changed
}

// units returns the step's waiting units.
func (s *step) units(now time.Duration) []unit {
	if !s.open || s.done {
		return nil
	}
	waiting := s.waiting(now)
	if s.def.Gang {
		if len(waiting) != len(s.tasks) || len(waiting) == 0 {
			return nil
		}
		return []unit{{step: s, tasks: waiting}}
	}
	var all []unit
	for _, t := range waiting {
		all = append(all, unit{step: s, tasks: []*task{t}})
	}
	return all
}

// place assigns the unit to workers, preempting other runs if necessary, and
// reports whether it did.
func (p *Planner) place(now time.Duration, u unit) bool {
	p.trial.observe(p, now, u)
	if p.mustSettle(u) {
		return false
	}
	if p.anyFree(u) {
		if chosen := p.fit(now, u, p.available(now, u)); chosen != nil {
			p.assign(now, u, chosen)
			return true
		}
	}
	return p.reserveOrPreempt(now, u)
}

// anyFree reports whether any worker of the service has free capacity for a task of
// the unit. On a full fleet this check avoids the search.
func (p *Planner) anyFree(u unit) bool {
	need := u.step.def.Reserved()
	return slices.ContainsFunc(p.sortedWorkers, func(w *worker) bool {
		return w.usable() && w.info.Service == u.job().graph.Queue.Service && !w.full(u, 0) && w.free().Covers(need)
	})
}

// assign creates a run of each task of the unit on its chosen worker.
func (p *Planner) assign(now time.Duration, u unit, chosen []*worker) {
	var number int64
	checkpoint, newest := "", time.Duration(-1)
	for _, t := range u.tasks {
		number = max(number, t.lastRun)
		if t.checkpoint != "" && t.checkpointAt > newest {
			checkpoint, newest = t.checkpoint, t.checkpointAt
		}
	}
	number++
	for i, t := range u.tasks {
		w := chosen[i]
		r := &run{
			task: t, number: number, worker: w, life: w.life, need: u.step.def.Reserved(), checkpoint: checkpoint,
			assigned: now,
		}
		r.ticket, _ = p.ticket(now, u.step, w)
		t.lastRun, t.current, t.phase = number, r, taskAssigned
		w.add(r)
		p.note(Note{Kind: NotePlaced, Job: t.ref.Job, Task: t.ref, Run: number, Worker: w.id, Source: u.job().source})
	}
	u.step.advice.fruitless = 0
	j := u.job()
	j.dirty = true
	if j.phase == chestnutpond.JobQueued {
		j.phase = chestnutpond.JobRunning
	}
}

// removeSettled removes the jobs that are settled and have no change to store from
// the active ones, and sets the end time of final jobs.
func (p *Planner) removeSettled(wall time.Time) {
	p.active = slices.DeleteFunc(p.active, func(j *job) bool {
		if j.phase.Final() && j.ended.IsZero() {
			j.ended = wall
		}
		return j.settled && !j.dirty
	})
}
