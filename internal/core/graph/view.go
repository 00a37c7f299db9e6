package graph

import (
	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The states of a task in a StateRecord.
const (
	TaskWaiting int32 = iota
	TaskAssigned
	TaskDone
)

// View returns a summary of the job's progress.
func (j *Job) View() chestnutpond.GraphView {
	v := chestnutpond.GraphView{
		ID: j.ID, Account: j.Graph.Account, Kind: j.Graph.Queue.Name, State: j.Phase(), Reason: j.State.GetReason(),
	}
	if v.State.Final() {
		return v
	}
	if len(j.State.GetOccurrences()) == 0 {
		for i := range j.Graph.Steps {
			v.Tasks += j.Graph.Steps[i].Count
			v.Accelerators += int64(j.Graph.Steps[i].Count) * j.Graph.Steps[i].Need.Accelerators
		}
		return v
	}
	for _, occurrence := range j.State.GetOccurrences() {
		for i := range j.Graph.Steps {
			step := &j.Graph.Steps[i]
			v.Tasks += step.Count
			if occurrence.GetDone() || i < len(occurrence.GetSteps()) && occurrence.GetSteps()[i].GetDone() {
				v.Done += step.Count
				continue
			}
			v.Accelerators += int64(step.Count) * step.Need.Accelerators
			if i >= len(occurrence.GetSteps()) {
				continue
			}
			j.taskRows(int(occurrence.GetNumber()), i, occurrence.GetSteps()[i], func(tasks []*inner.TaskRow) {
				for _, t := range tasks {
					switch t.GetState() {
					case TaskAssigned:
						v.Running++
					case TaskDone:
						v.Done++
					}
				}
			})
		}
	}
	return v
}
