package chestnutpond

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MilliCPU is CPU capacity in thousandths of a core.
type MilliCPU int64

// MiB is an amount of memory in mebibytes.
type MiB int64

// Resources are the resources that a task needs or that a worker has.
type Resources struct {
	CPU          MilliCPU
	Memory       MiB
	Accelerators int64
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns r minus o. A component may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.CPU >= o.CPU && r.Memory >= o.Memory && r.Accelerators >= o.Accelerators
}

// Graph is a job that consists of steps of tasks, some of which depend on earlier
// steps. It is immutable once it is accepted.
type Graph struct {
	ID JobID
	// Account is the owner of the job; empty on a public queue.
	Account string
	// Payload is passed to each task unchanged.
	Payload string
	// Steps are numbered from 0.
	Steps []Step
	// Schedule is the zero value for a job that runs once, immediately.
	Schedule Schedule
	// Queue is the policy of the job's queue at the time of acceptance.
	Queue QueuePolicy
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time
}

// Occurrences returns how many times the steps run.
func (g *Graph) Occurrences() int {
	return max(1, g.Schedule.Repetitions)
}

// Due returns the wall-clock time before which an occurrence must not start.
// The zero time means immediately.
func (g *Graph) Due(occurrence int) time.Time {
	if g.Schedule.Repetitions <= 0 {
		return time.Time{}
	}
	return g.Schedule.First.Add(time.Duration(occurrence) * g.Schedule.Every)
}

// Schedule says when the steps of a job run.
type Schedule struct {
	// First is the time at which occurrence 0 is due.
	First time.Time
	// Every is the interval between the occurrences, which may overlap.
	Every time.Duration
	// Repetitions is the number of occurrences; zero means once, immediately.
	Repetitions int
}

// QueuePolicy are the scheduling policy that a queue applies to its jobs.
type QueuePolicy struct {
	Name    string
	Service string
	// Priority orders work; 0 is the most urgent and may preempt other work.
	Priority int
	// MaxAttempts is the number of times that a task, or a gang, may fail.
	MaxAttempts int
	// Stretch times the critical path of the job, plus TargetLatency, is the time
	// in which the job should complete.
	Stretch       float64
	TargetLatency time.Duration
	// Advice is set if the advice service decides which workers may run the tasks.
	Advice *AdvicePolicy
}

// AdvicePolicy describe the latency of calls to the advice service and the
// validity of its tickets.
type AdvicePolicy struct {
	// Base plus PerWorker for each worker asked about is the time that a call takes.
	Base      time.Duration
	PerWorker time.Duration
	// Valid is how long a ticket is valid.
	Valid time.Duration
}

// Step is a number of identical tasks.
type Step struct {
	// Count is at least 1.
	Count int
	Need  Resources
	// Estimate is the estimated duration of a task; it may be off by any factor.
	Estimate time.Duration
	// After lists the earlier steps that must complete first.
	After []int
	// Gang means that the tasks only make progress when all of them run.
	Gang bool
	// SameRack means that the tasks are slow if they run on more than one rack.
	SameRack bool
	// Label is a label that the worker must have; empty means any worker.
	Label string
	// DataRack is the rack on which the tasks are fast; empty means any rack.
	DataRack string
	// PerWorker is the maximum number of tasks on one worker; zero means no limit.
	PerWorker int
	// Checkpointable means that the tasks can resume from a checkpoint.
	Checkpointable bool
	// Speculative means that a task may run as parallel copies, of which the first
	// to complete counts.
	Speculative bool
	// Perpetual means that the tasks run until the job is cancelled.
	Perpetual bool
	// Image is the name of the image that the tasks run.
	Image string
	// TailLatency is the target for the tail latency of a serving task.
	TailLatency time.Duration
	// Filler means that the tasks use only capacity that other tasks leave idle;
	// their CPU need does not count against the worker's capacity.
	Filler bool
	// MaxUnavailable is the maximum number of perpetual tasks that the scheduler may
	// make unavailable at a time; zero means no limit.
	MaxUnavailable int
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Filler {
		r.CPU = 0
	}
	return r
}

// TaskRef identifies a task: <job>.<occurrence>.<step>.<index>.
type TaskRef struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// StepRef identifies a step of an occurrence: <job>.<occurrence>.<step>.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the reference.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns the reference in the form that ParseTaskRef parses.
func (t TaskRef) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskRef parses the string form of a TaskRef.
func ParseTaskRef(s string) (TaskRef, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskRef{}, Error.New("task %q: want <job>.<occurrence>.<step>.<index>", s)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskRef{}, Error.New("task %q: %q is not a non-negative integer", s, p)
		}
		numbers[i] = n
	}
	return TaskRef{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// TotalTasks returns the number of tasks of all steps and occurrences.
func (g *Graph) TotalTasks() int {
	tasks := 0
	for i := range g.Steps {
		tasks += g.Steps[i].Count
	}
	return tasks * g.Occurrences()
}

// Check validates the graph and returns an error that describes the first invalid
// field.
func (g *Graph) Check() error {
	if len(g.Steps) == 0 || len(g.Steps) > MaxSteps {
		return Error.New("%d steps; allowed are 1 to %d", len(g.Steps), MaxSteps)
	}
	for i := range g.Steps {
		if err := g.Steps[i].check(i); err != nil {
			return Error.New("steps[%d]: %v", i, err)
		}
	}
	if g.Schedule.Repetitions < 0 || g.Schedule.Every < 0 {
		return Error.New("schedule: negative repetitions or interval")
	}
	if g.Schedule.Repetitions > MaxRepetitions {
		return Error.New("schedule: %d repetitions; allowed are at most %d", g.Schedule.Repetitions, MaxRepetitions)
	}
	if total := g.TotalTasks(); total > MaxTotalTasks {
		return Error.New("%d tasks in all steps and repetitions; allowed are at most %d", total, MaxTotalTasks)
	}
	return nil
}

// Limits of a graph. An entry keeps each task of an accepted job in memory.
const (
	// MaxTasks is the maximum number of tasks of one step.
	MaxTasks = 4096
	// MaxSteps is the maximum number of steps.
	MaxSteps = 256
	// MaxRepetitions is the maximum number of occurrences of a scheduled job.
	MaxRepetitions = 10_000
	// MaxTotalTasks is the maximum number of tasks of all steps and occurrences.
	MaxTotalTasks = 100_000
	// maxNeed bounds each dimension of a task's needs, so that sums do not overflow.
	maxNeed = 1 << 40
	// maxEstimate bounds the durations in a step.
	maxEstimate = 365 * 24 * time.Hour
)

func (s *Step) check(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fmt.Errorf("count is %d; allowed are 1 to %d", s.Count, MaxTasks)
	case s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0:
		return fmt.Errorf("a need is negative")
	case s.Need.CPU > maxNeed || s.Need.Memory > maxNeed || s.Need.Accelerators > maxNeed:
		return fmt.Errorf("a need exceeds %d", int64(maxNeed))
	case s.PerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0:
		return fmt.Errorf("a limit or estimate is negative")
	case s.Estimate > maxEstimate || s.TailLatency > maxEstimate:
		return fmt.Errorf("estimate or tail latency exceeds %s", maxEstimate)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fmt.Errorf("after names step %d; allowed are earlier steps", a)
		}
	}
	return nil
}
