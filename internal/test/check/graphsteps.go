package check

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// steps checks the order of steps, schedules, gangs and attempts.
func (c *graphCheck) steps() {
	byStep := map[chestnutpond.StepRef][]stand.TaskRun{}
	var order []chestnutpond.StepRef
	for _, r := range c.runs {
		s := stepOf(r.Task)
		if byStep[s] == nil {
			order = append(order, s)
		}
		byStep[s] = append(byStep[s], r)
	}
	for _, s := range order {
		runs := byStep[s]
		if s.Step >= len(c.job.Graph.Steps) || s.Occurrence >= c.job.Graph.Occurrences() {
			c.add("run %d of %s, which the job does not have", runs[0].Run, runs[0].Task)
			continue
		}
		first := runs[0]
		if due := c.job.Graph.Due(s.Occurrence); first.Start.Before(due) {
			c.add("run %d of %s started at %s; it is due at %s", first.Run, first.Task, clock(first.Start), clock(due))
		}
		for _, a := range c.job.Graph.Steps[s.Step].After {
			before := chestnutpond.StepRef{Job: s.Job, Occurrence: s.Occurrence, Step: a}
			if at, done := c.doneAt(before, byStep[before]); !done || first.Start.Before(at) {
				c.add("run %d of %s started at %s before step %d was done", first.Run, first.Task, clock(first.Start), a)
			}
		}
		c.attempts(s, runs)
		if c.job.Graph.Steps[s.Step].Gang {
			c.gang(s, runs)
		}
	}
}

// doneAt returns when the last task of a step was done for the first time.
func (c *graphCheck) doneAt(s chestnutpond.StepRef, runs []stand.TaskRun) (time.Time, bool) {
	def := &c.job.Graph.Steps[s.Step]
	done := map[int]time.Time{}
	for _, r := range runs {
		if at, ok := done[r.Task.Index]; r.Ending == chestnutpond.RunDone && (!ok || r.End.Before(at)) {
			done[r.Task.Index] = r.End
		}
	}
	var latest, earliest time.Time
	for _, at := range done {
		if at.After(latest) {
			latest = at
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	if def.Gang {
		return earliest, len(done) > 0
	}
	return latest, len(done) == def.Count
}

// attempts checks that no task or gang has more recorded failures than its queue allows.
// Perpetual tasks run until they are cancelled, however often they fail.
func (c *graphCheck) attempts(s chestnutpond.StepRef, runs []stand.TaskRun) {
	if c.job.Graph.Steps[s.Step].Perpetual {
		return
	}
	failures := map[int]map[int64]bool{}
	for _, r := range runs {
		if r.Ending != chestnutpond.RunFailed || r.Noted.IsZero() {
			continue
		}
		index := r.Task.Index
		if c.job.Graph.Steps[s.Step].Gang {
			index = 0
		}
		if failures[index] == nil {
			failures[index] = map[int64]bool{}
		}
		failures[index][r.Run] = true
		if limit := max(1, c.job.Graph.Queue.MaxAttempts); len(failures[index]) > limit {
			c.add("run %d of %s at %s is failure %d; allowed are %d", r.Run, r.Task, clock(r.Start), len(failures[index]), limit)
		}
	}
}

// gang checks that no part of a gang is present alone for long, and that the recorded ends of
// its tasks are those of one run.
func (c *graphCheck) gang(s chestnutpond.StepRef, runs []stand.TaskRun) {
	count := c.job.Graph.Steps[s.Step].Count
	borders := map[int64][]border{}
	done := int64(0)
	for _, r := range runs {
		borders[r.Run] = append(borders[r.Run], border{r.Start, 1}, border{r.End, -1})
		if r.Ending != chestnutpond.RunDone || r.Noted.IsZero() {
			continue
		}
		if done != 0 && done != r.Run {
			c.add("the gang of step %s is done in part as run %d and in part as run %d", s, done, r.Run)
		}
		done = r.Run
	}
	for _, number := range slices.Sorted(maps.Keys(borders)) {
		all := borders[number]
		slices.SortFunc(all, compareBorders)
		present := 0
		var since time.Time
		for _, b := range all {
			if partial := present > 0 && present < count; partial && b.at.Sub(since) > c.bounds.Gang {
				c.add("%d of %d members of gang %s were present alone as run %d from %s to %s", present, count, s, number, clock(since), clock(b.at))
				break
			}
			wasPartial := present > 0 && present < count
			present += b.change
			if isPartial := present > 0 && present < count; isPartial && !wasPartial {
				since = b.at
			}
		}
	}
}

// stepOf returns the step of a task.
func stepOf(t chestnutpond.TaskRef) chestnutpond.StepRef {
	return chestnutpond.StepRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}
