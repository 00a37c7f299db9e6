package plan

import (
	"math"
	"time"
)

const (
	// minSizeFactor is the value of the smallest job relative to that of a job of
	// mean size. The rest grows with the job's work, up to maxSizeFactor.
	minSizeFactor = 0.3
	maxSizeFactor = 4
	// lateValueShare is the share of its value that a late job retains.
	lateValueShare = 0.25
	// lostWorkCost is the cost of lost work, as a share of the value of the same
	// amount of the unit's work.
	lostWorkCost = 0.25
	// requeueTime is how long a stopped task waits for its next run when the
	// service is full: about the remaining time of the runs ahead of it.
	requeueTime = 4 * time.Second
)

// value returns the value of completing a job in time, relative to other jobs. It
// halves from one priority to the next.
func (p *Planner) value(j *job) float64 {
	size := 1.0
	if mean := p.statsOf(j).meanWork; mean > 0 {
		size = min(maxSizeFactor, minSizeFactor+(1-minSizeFactor)*p.jobWork(j)/mean)
	}
	return size * math.Exp2(-float64(j.graph.Queue.Priority))
}

// jobWork returns the expected work of all steps of a job in core seconds.
func (p *Planner) jobWork(j *job) float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			sum += p.expectedDuration(s).Seconds() * coreEquivalents(s.def.Need) * float64(s.def.Count)
		}
	}
	return sum
}

// recordWork adds a job's work to the statistics of its queue.
func (p *Planner) recordWork(j *job) {
	d := p.statsOf(j)
	d.jobs = min(d.jobs+1, statsWindow)
	d.meanWork += (p.jobWork(j) - d.meanWork) / float64(d.jobs)
}

// gain returns the value of placing the unit now: its share of the value of its
// job, which needs all tasks of the step.
func (p *Planner) gain(u unit) float64 {
	waiting := 0
	for _, t := range u.step.tasks {
		if t.phase == taskWaiting {
			waiting++
		}
	}
	return p.value(u.job()) * float64(len(u.tasks)) / float64(max(1, waiting))
}

// cost returns the cost of stopping runs for a unit: the value of jobs that would
// probably be late because of it, and the lost work.
func (p *Planner) cost(now time.Duration, u unit, runs []*run) float64 {
	sum := 0.0
	losses := map[*job]float64{}
	for _, r := range runs {
		j := r.job()
		if loss := p.value(j) * p.risk(now, r); loss > losses[j] {
			sum += loss - losses[j]
			losses[j] = loss
		}
	}
	work := p.expectedWork(u)
	if work <= 0 {
		return sum
	}
	return sum + lostWorkCost*p.gain(u)*p.totalLostWork(now, runs)/work
}

// risk returns the share of its job's value that stopping a run is expected to
// cost.
func (p *Planner) risk(now time.Duration, r *run) float64 {
	u := unit{step: r.task.step, tasks: []*task{r.task}}
	if p.timeliness(u) == expired {
		return 0
	}
	rest := p.expectedDuration(r.task.step)
	if r.task.step.def.Checkpointable && r.task.checkpoint != "" {
		rest = rest*time.Duration(100-r.percent)/100 + p.cfg.RestoreTime
	}
	// A run that is not expected to end has no remaining time.
	remaining, _ := p.remaining(now, r)
	before := p.objective(u) - p.age(u) - remaining
	after := p.objective(u) - p.age(u) - rest
	share := 1 - lateValueShare
	if before < 0 {
		// The job is late already, so only its remaining value is at risk.
		share = lateValueShare
		after += (lateFactor - 1) * p.objective(u)
	}
	return share * min(1, max(0, 1-after.Seconds()/requeueTime.Seconds()))
}
