package graph

import "github.com/chestnutpond/chestnutpond"

// The states of a task in its record.
const (
	TaskWaiting int32 = iota
	TaskAssigned
	TaskDone
)

// View returns where the job stands.
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
	for _, o := range j.State.GetOccurrences() {
		for i := range j.Graph.Steps {
			def := &j.Graph.Steps[i]
			v.Tasks += def.Count
			if o.GetDone() || i < len(o.GetSteps()) && o.GetSteps()[i].GetDone() {
				v.Done += def.Count
				continue
			}
			v.Accelerators += int64(def.Count) * def.Need.Accelerators
			if i >= len(o.GetSteps()) {
				continue
			}
			for _, t := range o.GetSteps()[i].GetTasks() {
				switch t.GetState() {
				case TaskAssigned:
					v.Running++
				case TaskDone:
					v.Done++
				}
			}
		}
	}
	return v
}
