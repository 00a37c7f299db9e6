package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// trial records how a copy of a planner decides about one job. Its methods do nothing on a nil
// trial and for other jobs.
type trial struct {
	job   chestnutpond.JobID
	steps map[*step]*stepTrial
}

// stepTrial is what a trial has recorded of a step.
type stepTrial struct {
	survey survey
	// why has the causes for which the last unit that did not fit did not when it was its turn.
	why diagnosis
	// preempted counts the runs that are stopped for the step by priority, and lostWork is the
	// work that is lost by that.
	preempted map[int]int
	lostWork  float64
	// reserved means that capacity is reserved for a waiting unit from reservedAt on.
	reserved   bool
	reservedAt time.Duration
}

// of returns the record of the unit's step; nil if the trial is not about the unit's job.
func (t *trial) of(u unit) *stepTrial {
	if t == nil || u.job().graph.ID != t.job {
		return nil
	}
	return t.steps[u.step]
}

// observe records the state of the workers when it is the unit's turn.
func (t *trial) observe(p *Planner, now time.Duration, u unit) {
	if t == nil || u.job().graph.ID != t.job {
		return
	}
	st := t.steps[u.step]
	if st == nil {
		st = &stepTrial{survey: p.survey(now, u), preempted: map[int]int{}}
		t.steps[u.step] = st
	}
	if why := p.diagnose(now, u); len(why.causes) > 0 {
		st.why = why
	}
}

// observePreemption records the runs that are about to be stopped for the unit.
func (t *trial) observePreemption(p *Planner, now time.Duration, u unit, victims []*run) {
	st := t.of(u)
	if st == nil {
		return
	}
	stopped := map[*run]bool{}
	for _, r := range victims {
		for _, member := range r.gang() {
			if !stopped[member] {
				stopped[member] = true
				st.preempted[member.job().graph.Queue.Priority]++
			}
		}
	}
	st.lostWork += p.totalLostWork(now, victims)
}

// observeReservation records that capacity is reserved for the unit.
func (t *trial) observeReservation(u unit, at time.Duration) {
	if st := t.of(u); st != nil && !st.reserved {
		st.reserved, st.reservedAt = true, at
	}
}

// Evaluate returns how the next round would place a job if it were accepted now. The round is
// that of Decide, on a copy of the planner, which itself does not change. A job that the
// planner has already is evaluated as it is; one that has ended has no steps.
func (p *Planner) Evaluate(now time.Duration, wall time.Time, g *chestnutpond.Graph) chestnutpond.PlacementForecast {
	if known := p.jobs[g.ID]; known != nil && known.phase.Final() {
		return chestnutpond.PlacementForecast{}
	}
	c := p.clone()
	c.trial = &trial{job: g.ID, steps: map[*step]*stepTrial{}}
	c.Accept(g)
	c.Decide(now, wall)
	j := c.jobs[g.ID]
	if len(j.occurrences) == 0 {
		return c.notDue(now, wall, j)
	}
	var f chestnutpond.PlacementForecast
	for _, o := range j.occurrences {
		if o.done {
			continue
		}
		for _, s := range o.steps {
			if s.open && !s.done {
				f.Steps = append(f.Steps, c.stepForecast(now, s))
				f.Guaranteed = c.guaranteed(unit{step: s, tasks: s.tasks})
			}
		}
		break
	}
	return f
}

// notDue returns the forecast of a job whose first occurrence is not due.
func (p *Planner) notDue(now time.Duration, wall time.Time, j *job) chestnutpond.PlacementForecast {
	f := chestnutpond.PlacementForecast{}
	o := j.newOccurrence(0)
	for _, s := range o.steps {
		if !s.predecessorsDone() {
			continue
		}
		s.open = true
		one := p.stepForecast(now, s)
		if one.State != chestnutpond.PlacementNever {
			one.State, one.Causes = chestnutpond.PlacementWaits, []chestnutpond.WaitCause{chestnutpond.CauseSchedule}
			one.StartsIn, one.StartKnown = j.graph.Due(0).Sub(wall), true
		}
		f.Steps = append(f.Steps, one)
	}
	return f
}

// stepForecast describes what the round decided about a step.
func (p *Planner) stepForecast(now time.Duration, s *step) chestnutpond.StepForecast {
	f := chestnutpond.StepForecast{
		Step: s.number, Tasks: len(s.tasks), State: chestnutpond.PlacementNow, Duration: p.expectedDuration(s),
	}
	if p.model != nil {
		f.Learned = p.model.Predict(chestnutpond.ClassOf(s.occurrence.job.graph, s.def))
	}
	f.Workers, f.Placed = s.choices()
	u := s.firstUnit(now)
	st := p.trial.steps[s]
	if st == nil {
		st = &stepTrial{survey: p.survey(now, u), why: p.diagnose(now, u)}
	}
	f.Considered, f.Fitting, f.Excluded = st.survey.considered, st.survey.fitting, st.survey.sorted()
	for _, priority := range slices.Sorted(maps.Keys(st.preempted)) {
		f.Preempted = append(f.Preempted, chestnutpond.PreemptedRuns{Priority: priority, Runs: st.preempted[priority]})
	}
	f.LostWork = st.lostWork
	if f.Placed == f.Tasks {
		if len(f.Preempted) > 0 {
			f.Causes = st.why.causes
		}
		return f
	}
	f.State, f.Causes = chestnutpond.PlacementWaits, st.why.causes
	if st.why.never {
		f.State = chestnutpond.PlacementNever
		return f
	}
	if len(f.Causes) == 0 {
		f.Causes = []chestnutpond.WaitCause{chestnutpond.CauseFormerRun}
	}
	if p.startsHeld {
		f.Causes = []chestnutpond.WaitCause{chestnutpond.CauseStartsHeld}
	}
	if !st.reserved && p.settled {
		// The round reserves capacity for a few units only.
		p.reservations = 0
		p.trial.steps[s] = st
		p.reserveEarliest(now, u)
	}
	if f.StartKnown = st.reserved; st.reserved {
		f.StartsIn = st.reservedAt - now
	}
	return f
}

// firstUnit returns a waiting unit of the step, or one of all its tasks if none waits.
func (s *step) firstUnit(now time.Duration) unit {
	if units := s.units(now); len(units) > 0 {
		return units[0]
	}
	if s.def.Gang {
		return unit{step: s, tasks: s.tasks}
	}
	return unit{step: s, tasks: s.tasks[:1]}
}

// choices returns the workers of the step's tasks by name, and the number of those tasks.
func (s *step) choices() ([]chestnutpond.WorkerChoice, int) {
	counts := map[*worker]int{}
	placed := 0
	for _, t := range s.tasks {
		if t.phase == taskDone {
			placed++
		} else if t.current != nil && !t.current.stopping {
			counts[t.current.worker]++
			placed++
		}
	}
	all := make([]chestnutpond.WorkerChoice, 0, len(counts))
	for w, n := range counts {
		all = append(all, chestnutpond.WorkerChoice{Worker: w.id, Zone: w.info.Zone, Rack: w.info.Rack, Tasks: n})
	}
	slices.SortFunc(all, func(a, b chestnutpond.WorkerChoice) int { return cmp.Compare(a.Worker, b.Worker) })
	return all, placed
}
