package chestnutpond

import (
	"context"
	"time"
)

// PlacementState says what would become of a step that is submitted now.
type PlacementState string

// The placement states.
const (
	// PlacementNow means that all tasks of the step would be placed now.
	PlacementNow PlacementState = "placed_now"
	// PlacementWaits means that at least one task would wait.
	PlacementWaits PlacementState = "waits"
	// PlacementNever means that the step cannot run on the workers that are known, however
	// long it waits, until workers or evacuations change.
	PlacementNever PlacementState = "never"
)

// WaitCause is a reason for which a step waits or can never run.
type WaitCause string

// The causes for which a step waits.
const (
	CauseAccelerators WaitCause = "accelerators"
	CauseCPU          WaitCause = "cpu"
	CauseMemory       WaitCause = "memory"
	// CauseCombination means that each dimension would suffice by itself, but no worker has
	// all of them.
	CauseCombination WaitCause = "combination"
	// CauseRack means that the step fits, but not on the rack or on one rack as it asks.
	CauseRack WaitCause = "rack"
	// CausePerWorker means that the limit of tasks per worker is reached.
	CausePerWorker WaitCause = "per_worker"
	// CauseReserved means that the free capacity is reserved for work that goes first.
	CauseReserved    WaitCause = "reserved"
	CauseEvacuated   WaitCause = "evacuated_zone"
	CauseEjected     WaitCause = "ejected"
	CauseUnavailable WaitCause = "unavailable"
	CauseDraining    WaitCause = "draining"
	// CauseAdvice means that the advice service has not permitted a worker.
	CauseAdvice WaitCause = "advice"
	// CauseSettling means that a new leader waits for the first reports of workers.
	CauseSettling WaitCause = "workers_reporting"
	// CauseStartsHeld means that the leader has not read the operators' requests recently.
	CauseStartsHeld WaitCause = "starts_held"
	// CauseFormerRun means that a task waits for the end of its former run, or for another
	// worker than the one on which it failed.
	CauseFormerRun WaitCause = "former_run"
	// CauseSchedule means that the job is not due.
	CauseSchedule WaitCause = "schedule"
)

// The causes for which a step can never run, and further reasons that exclude a worker.
const (
	CauseNoWorkers         WaitCause = "no_workers"
	CauseLabel             WaitCause = "label"
	CauseTooLarge          WaitCause = "too_large"
	CauseAllZonesEvacuated WaitCause = "all_zones_evacuated"
	CauseOtherService      WaitCause = "other_service"
)

// PlacementForecast says where a job would be placed if it were submitted now.
type PlacementForecast struct {
	// Leader is the entry that evaluated the job, and Epoch its term.
	Leader string
	Epoch  int64
	// Guaranteed means that the guarantee of the account covers the job.
	Guaranteed bool
	// Steps has the steps that depend on no other step.
	Steps []StepForecast
}

// State returns the state of the job: that of the step that is worst off.
func (f PlacementForecast) State() PlacementState {
	state := PlacementNow
	for i := range f.Steps {
		switch f.Steps[i].State {
		case PlacementNever:
			return PlacementNever
		case PlacementWaits:
			state = PlacementWaits
		case PlacementNow:
		}
	}
	return state
}

// StepForecast is the forecast of a step.
type StepForecast struct {
	Step  int
	State PlacementState
	// Tasks is the number of tasks of the step, Placed of those that would be placed now.
	Tasks, Placed int
	// Causes explain why a task waits, why the step can never run, or why it preempts.
	Causes []WaitCause
	// Workers are the workers of the placed tasks, by name.
	Workers []WorkerChoice
	// Preempted are the runs that would be stopped, by priority, and LostWork the work that
	// would be lost by that in core seconds, with an accelerator counted as 8 cores.
	Preempted []PreemptedRuns
	LostWork  float64
	// StartKnown means that capacity is expected for the waiting tasks after StartsIn.
	StartKnown bool
	StartsIn   time.Duration
	// Duration is the expected duration of a task; zero if it is not known.
	Duration time.Duration
	// Learned is the prediction of the model of durations; the zero value if it is off.
	Learned Prediction
	// Considered is the number of workers that were considered, and Fitting of those that
	// have room for a task. Excluded has the others by reason.
	Considered, Fitting int
	Excluded            []ExcludedWorkers
}

// WorkerChoice is a worker that would get tasks of a step.
type WorkerChoice struct {
	Worker, Zone, Rack string
	Tasks              int
}

// PreemptedRuns counts the runs of a priority that would be stopped.
type PreemptedRuns struct {
	Priority, Runs int
}

// ExcludedWorkers counts the workers that cannot take a task for a reason.
type ExcludedWorkers struct {
	Reason  WaitCause
	Workers int
}

// PlacementForecaster evaluates jobs without submitting them.
type PlacementForecaster interface {
	// Where returns where the job would be placed. The outcome is OutcomeAnswered if the
	// leader evaluated it by its current state.
	Where(ctx context.Context, target RouteTarget, g Graph) (PlacementForecast, CallResult)
	// WhereJob is Where for the waiting tasks of a job that was submitted.
	WhereJob(ctx context.Context, target RouteTarget, id JobID) (PlacementForecast, CallResult)
}
