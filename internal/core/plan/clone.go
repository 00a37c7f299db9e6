package plan

import (
	"maps"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// cloner copies the state of a planner.
type cloner struct {
	to   *Planner
	jobs map[*job]*job
	runs map[*run]*run
	// occurrences has the copied occurrences.
	occurrences map[*occurrence]*occurrence
	// inUse has the occurrences that runs on workers belong to.
	inUse map[*occurrence]bool
}

// clone returns a planner with a copy of all state that Decide changes. What Decide only reads
// is shared: graphs, accounts, the model of durations, the
// stored parts of jobs, and occurrences that are done. The copy
// is used before p changes and then discarded. It has the active jobs only.
func (p *Planner) clone() *Planner {
	to := *p
	c := cloner{
		to: &to, jobs: map[*job]*job{}, runs: map[*run]*run{},
		occurrences: map[*occurrence]*occurrence{}, inUse: map[*occurrence]bool{},
	}
	to.notes = nil
	to.jobs, to.active = map[chestnutpond.JobID]*job{}, make([]*job, 0, len(p.active)+1)
	to.workers, to.sortedWorkers = map[string]*worker{}, make([]*worker, 0, len(p.sortedWorkers))
	to.stats = map[string]*queueStats{}
	for name, s := range p.stats {
		copied := *s
		to.stats[name] = &copied
	}
	to.medianRates, to.reserved = map[stepOnWorker]float64{}, map[*worker][]reservation{}
	to.capacities = map[string]chestnutpond.Resources{}
	to.urgent, to.headroom = maps.Clone(p.urgent), map[string]map[*worker]bool{}
	c.copyRuns(p)
	for _, j := range p.active {
		to.active = append(to.active, c.job(j))
	}
	for _, r := range c.runs {
		c.job(r.job())
		r.task = c.occurrences[r.task.step.occurrence].steps[r.task.ref.Step].tasks[r.task.ref.Index]
	}
	to.predictions = make(map[*step]time.Duration, len(p.predictions))
	for s, expected := range p.predictions {
		if o := c.occurrences[s.occurrence]; o != nil {
			to.predictions[o.steps[s.number]] = expected
		}
	}
	return &to
}

// copyRuns copies the workers and their runs, whose tasks are still those of p.
func (c *cloner) copyRuns(p *Planner) {
	for _, w := range p.sortedWorkers {
		copied := *w
		copied.runs, copied.sorted = make(map[runKey]*run, len(w.runs)), nil
		c.to.workers[w.id] = &copied
		c.to.sortedWorkers = append(c.to.sortedWorkers, &copied)
		all := make([]run, 0, len(w.runs))
		for key, r := range w.runs {
			all = append(all, *r)
			n := &all[len(all)-1]
			n.worker = &copied
			copied.runs[key] = n
			c.runs[r] = n
			c.inUse[r.task.step.occurrence] = true
		}
		if w.sorted != nil {
			copied.sorted = make([]*run, len(w.sorted))
			for i, r := range w.sorted {
				copied.sorted[i] = c.runs[r]
			}
		}
	}
}

// job returns the copy of a job.
func (c *cloner) job(j *job) *job {
	if copied := c.jobs[j]; copied != nil {
		return copied
	}
	copied := *j
	copied.occurrences = make([]*occurrence, len(j.occurrences))
	c.jobs[j], c.to.jobs[j.graph.ID] = &copied, &copied
	for i, o := range j.occurrences {
		if o.done && !c.inUse[o] {
			copied.occurrences[i] = o
			continue
		}
		copied.occurrences[i] = c.occurrence(&copied, o)
	}
	return &copied
}

// occurrence returns a copy of an occurrence for the copy of its job.
func (c *cloner) occurrence(j *job, o *occurrence) *occurrence {
	copied := *o
	c.occurrences[o] = &copied
	copied.job, copied.steps = j, make([]*step, len(o.steps))
	for i, s := range o.steps {
		to := *s
		to.occurrence, to.tasks = &copied, make([]*task, len(s.tasks))
		copied.steps[i] = &to
		tasks := make([]task, len(s.tasks))
		for k, t := range s.tasks {
			tasks[k] = *t
			tasks[k].step = &to
			if t.current != nil {
				tasks[k].current = c.runs[t.current]
			}
			to.tasks[k] = &tasks[k]
		}
	}
	return &copied
}
