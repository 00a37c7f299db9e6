package lead

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// encodePlacement converts a forecast for the inner protocol.
func encodePlacement(f chestnutpond.PlacementForecast) *inner.WhereReply {
	r := &inner.WhereReply{Leader: f.Leader, Epoch: f.Epoch, Guaranteed: f.Guaranteed}
	for _, s := range f.Steps {
		row := &inner.WhereStep{
			Step: int32(s.Step), State: string(s.State), Tasks: int32(s.Tasks), Placed: int32(s.Placed),
			LostCoreSeconds: s.LostWork, StartKnown: s.StartKnown, StartsInMs: s.StartsIn.Milliseconds(),
			DurationMs: s.Duration.Milliseconds(), LearnedMedianMs: s.Learned.Median.Milliseconds(),
			LearnedP90Ms: s.Learned.P90.Milliseconds(), LearnedSamples: s.Learned.Samples,
			Considered: int32(s.Considered), Fitting: int32(s.Fitting),
		}
		for _, c := range s.Causes {
			row.Causes = append(row.Causes, string(c))
		}
		for _, w := range s.Workers {
			row.Workers = append(row.Workers, &inner.WhereWorker{Worker: w.Worker, Zone: w.Zone, Rack: w.Rack, Tasks: int32(w.Tasks)})
		}
		for _, p := range s.Preempted {
			row.Preempted = append(row.Preempted, &inner.WherePreempted{Priority: int32(p.Priority), Runs: int32(p.Runs)})
		}
		for _, e := range s.Excluded {
			row.Excluded = append(row.Excluded, &inner.WhereExcluded{Reason: string(e.Reason), Workers: int32(e.Workers)})
		}
		r.Steps = append(r.Steps, row)
	}
	return r
}

// decodePlacement is the inverse of encodePlacement.
func decodePlacement(r *inner.WhereReply) chestnutpond.PlacementForecast {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	f := chestnutpond.PlacementForecast{Leader: r.GetLeader(), Epoch: r.GetEpoch(), Guaranteed: r.GetGuaranteed()}
	for _, row := range r.GetSteps() {
		s := chestnutpond.StepForecast{
			Step: int(row.GetStep()), State: chestnutpond.PlacementState(row.GetState()), Tasks: int(row.GetTasks()),
			Placed: int(row.GetPlaced()), LostWork: row.GetLostCoreSeconds(), StartKnown: row.GetStartKnown(),
			StartsIn: ms(row.GetStartsInMs()), Duration: ms(row.GetDurationMs()),
			Learned: chestnutpond.Prediction{
				Median: ms(row.GetLearnedMedianMs()), P90: ms(row.GetLearnedP90Ms()), Samples: row.GetLearnedSamples(),
			},
			Considered: int(row.GetConsidered()), Fitting: int(row.GetFitting()),
		}
		for _, c := range row.GetCauses() {
			s.Causes = append(s.Causes, chestnutpond.WaitCause(c))
		}
		for _, w := range row.GetWorkers() {
			s.Workers = append(s.Workers, chestnutpond.WorkerChoice{
				Worker: w.GetWorker(), Zone: w.GetZone(), Rack: w.GetRack(), Tasks: int(w.GetTasks()),
			})
		}
		for _, p := range row.GetPreempted() {
			s.Preempted = append(s.Preempted, chestnutpond.PreemptedRuns{Priority: int(p.GetPriority()), Runs: int(p.GetRuns())})
		}
		for _, e := range row.GetExcluded() {
			s.Excluded = append(s.Excluded, chestnutpond.ExcludedWorkers{Reason: chestnutpond.WaitCause(e.GetReason()), Workers: int(e.GetWorkers())})
		}
		f.Steps = append(f.Steps, s)
	}
	return f
}
