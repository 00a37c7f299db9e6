package graph

import (
	"cmp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// PartTasks is the number of tasks whose states one record holds, if the states of a job's
// tasks are in records of their own. With checkpoints of 64 bytes such a record takes about
// 80 KB.
const PartTasks = 512

// PartRef identifies consecutive tasks of a step, PartTasks of them except in the last part.
type PartRef struct {
	Occurrence, Step, Part int
}

// Compare orders parts by occurrence, step and part.
func (r PartRef) Compare(other PartRef) int {
	return cmp.Or(
		cmp.Compare(r.Occurrence, other.Occurrence), cmp.Compare(r.Step, other.Step), cmp.Compare(r.Part, other.Part),
	)
}

// Part is a part of the states of a job's tasks.
type Part struct {
	*inner.TasksRecord

	// Offset is that of the record.
	Offset int64
}

// PartRecord returns the record of a part, which only the leader writes.
func PartRecord(id chestnutpond.JobID, ref PartRef, t *inner.TasksRecord) (chestnutpond.KeyedRecord, error) {
	return newRecord(partKey(id, ref), t)
}

// PartTombstone returns the tombstone of a part.
func PartTombstone(id chestnutpond.JobID, ref PartRef) chestnutpond.KeyedRecord {
	return chestnutpond.KeyedRecord{Key: partKey(id, ref)}
}

func partKey(id chestnutpond.JobID, ref PartRef) string {
	return partPrefix + string(id) + "." + strconv.Itoa(ref.Occurrence) + "." + strconv.Itoa(ref.Step) + "." + strconv.Itoa(ref.Part)
}

// parsePartKey parses the key of a part.
func parsePartKey(key string) (PartRef, error) {
	cells := strings.Split(key, ".")
	if len(cells) != 4 {
		return PartRef{}, Error.New("want a job ID, an occurrence, a step and a part")
	}
	var numbers [3]int
	for i, limit := range []int{chestnutpond.MaxRepetitions, chestnutpond.MaxSteps, chestnutpond.MaxTasks / PartTasks} {
		n, err := strconv.Atoi(cells[i+1])
		if err != nil || n < 0 || n >= limit {
			return PartRef{}, Error.New("%q is not a number from 0 to %d", cells[i+1], limit-1)
		}
		numbers[i] = n
	}
	return PartRef{Occurrence: numbers[0], Step: numbers[1], Part: numbers[2]}, nil
}

// applyPart applies the record of a part.
func (j *Job) applyPart(r chestnutpond.KeyedRecord) (bool, error) {
	ref, err := parsePartKey(r.Key)
	if err != nil {
		return false, err
	}
	if old, ok := j.Parts[ref]; ok && old.Offset >= r.Offset {
		return false, nil
	}
	if len(r.Value) == 0 {
		delete(j.Parts, ref)
		return true, nil
	}
	t := &inner.TasksRecord{}
	if err := proto.Unmarshal(r.Value, t); err != nil {
		return false, err
	}
	if j.Parts == nil {
		j.Parts = map[PartRef]Part{}
	}
	j.Parts[ref] = Part{TasksRecord: t, Offset: r.Offset}
	return true, nil
}

// retainParts removes the parts before the offset end that are under none of the keys, and
// reports whether there were any.
func (j *Job) retainParts(keys map[string]bool, end int64) bool {
	removed := false
	for ref, part := range j.Parts {
		if part.Offset < end && !keys[partKey(j.ID, ref)] {
			delete(j.Parts, ref)
			removed = true
		}
	}
	return removed
}

// taskRows calls f with the stored states of a step's tasks, once for each record that has
// some. Tasks without a stored state are those of a new job.
func (j *Job) taskRows(occurrence, step int, row *inner.StepRow, f func(tasks []*inner.TaskRow)) {
	f(row.GetTasks())
	for part := range chestnutpond.MaxTasks / PartTasks {
		if p, ok := j.Parts[PartRef{Occurrence: occurrence, Step: step, Part: part}]; ok {
			f(p.GetTasks())
		}
	}
}
