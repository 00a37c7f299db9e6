package plan

import (
	"bytes"
	"maps"
	"slices"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// maxInlineTasks is the largest number of tasks of a job whose states its state record
// holds. With checkpoints of 64 bytes such a record takes about 160 KB. The states of more
// tasks are in records of their own, the parts, of which a change rewrites only some.
const maxInlineTasks = 1000

// part returns the tasks of a part of the step.
func (s *step) part(number int) []*task {
	begin := min(number*graph.PartTasks, len(s.tasks))
	return s.tasks[begin:min(begin+graph.PartTasks, len(s.tasks))]
}

// addParts adds the records of the parts that changed to those of a split job, about as many
// as fit in the given size, but at least one. If they are all, it adds tombstones for the
// parts that are no longer needed; these follow the state that says so. The second result
// is false if the records are not all.
//
// A part is never newer than the state with or after which it is stored, so a step whose
// tasks are all done by their parts is done by the state.
func (p *Planner) addParts(j *job, records []chestnutpond.KeyedRecord, size int) ([]chestnutpond.KeyedRecord, bool, error) {
	needed := map[graph.PartRef]bool{}
	added := 0
	for ref, tasks := range j.currentParts() {
		r, err := p.encodePart(j, ref, tasks)
		if err != nil {
			return nil, false, err
		}
		stored, known := j.parts[ref]
		if r == nil && !known {
			continue
		}
		needed[ref] = true
		if r == nil || known && bytes.Equal(stored, r.Value) {
			continue
		}
		if added > 0 && added+r.Size() > size && !j.wholeState {
			return records, false, nil
		}
		records = append(records, *r)
		added += r.Size()
		j.parts[ref] = r.Value
		for _, t := range tasks {
			if t.current != nil {
				p.markRecorded(t.current)
			}
		}
	}
	j.wholeState = false
	for _, ref := range slices.SortedFunc(maps.Keys(j.parts), graph.PartRef.Compare) {
		if !needed[ref] {
			records = append(records, graph.PartTombstone(j.graph.ID, ref))
			delete(j.parts, ref)
		}
	}
	return records, true, nil
}

// currentParts iterates over the parts of the steps that are not done, in order. A job that
// is settled or set apart has none.
func (j *job) currentParts() func(yield func(graph.PartRef, []*task) bool) {
	return func(yield func(graph.PartRef, []*task) bool) {
		if j.settled || j.apart {
			return
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if o.done || s.done {
					continue
				}
				for number := 0; len(s.part(number)) > 0; number++ {
					ref := graph.PartRef{Occurrence: o.number, Step: s.number, Part: number}
					if !yield(ref, s.part(number)) {
						return
					}
				}
			}
		}
	}
}

// encodePart returns the record of a part, or nil if none of its tasks has had a run.
func (p *Planner) encodePart(j *job, ref graph.PartRef, tasks []*task) (*chestnutpond.KeyedRecord, error) {
	untouched := func(t *task) bool { return t.phase == taskWaiting && t.lastRun == 0 }
	if !slices.ContainsFunc(tasks, func(t *task) bool { return !untouched(t) }) {
		return nil, nil
	}
	lives := p.newLifeIndex()
	rows := lives.encodeTasks(tasks)
	r, err := graph.PartRecord(j.graph.ID, ref, &inner.TasksRecord{Lives: lives.rows, Tasks: rows})
	return &r, err
}

// loadParts records which parts of the job are in the store.
func (j *job) loadParts(parts map[graph.PartRef]graph.Part) {
	for ref := range parts {
		j.parts[ref] = nil
	}
}

// loadStepParts loads the states of a step's tasks that are in parts.
func (p *Planner) loadStepParts(st *step, parts map[graph.PartRef]graph.Part) {
	if st.done {
		return
	}
	for number := 0; len(st.part(number)) > 0; number++ {
		ref := graph.PartRef{Occurrence: st.occurrence.number, Step: st.number, Part: number}
		if stored, ok := parts[ref]; ok {
			p.loadTasks(st.part(number), stored.GetTasks(), stored.GetLives())
		}
	}
}
