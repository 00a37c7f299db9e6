package chestnutpond

import "time"

// JobID identifies an accepted job. The same account and key give the same id.
type JobID string

// JobState is where a job stands.
type JobState string

// The states of a job. The last four are final.
const (
	JobQueued     JobState = "queued"
	JobStarting   JobState = "starting"
	JobRunning    JobState = "running"
	JobStopping   JobState = "stopping"
	JobCompleted  JobState = "completed"
	JobFailed     JobState = "failed"
	JobCancelled  JobState = "cancelled"
	JobImpossible JobState = "impossible"
)

// Final reports whether a job in state s never runs again.
func (s JobState) Final() bool {
	switch s {
	case JobCompleted, JobFailed, JobCancelled, JobImpossible:
		return true
	}
	return false
}

// JobSpec is what a caller asked for, with the limits of its kind at the time
// of acceptance. It does not change afterwards.
type JobSpec struct {
	ID      JobID  `json:"id"`
	Service string `json:"service"`
	Account string `json:"account"`
	// Caller is a name that the account gives to the one who asked; may be empty.
	Caller string `json:"caller,omitempty"`
	Kind   string `json:"kind"`
	Class  Class  `json:"class"`
	Region string `json:"region"`
	Shape  Shape  `json:"shape"`
	// Declared is the run time that the caller expects; zero means not stated.
	// It is often wrong by a factor of ten, so no order of work relies on it.
	Declared    time.Duration `json:"declared,omitempty"`
	Checkpoint  time.Duration `json:"checkpoint"`
	MaxAttempts int           `json:"max_attempts"`
	MaxRuntime  time.Duration `json:"max_runtime"`
	Payload     []byte        `json:"payload,omitempty"`
}

// Placement is the part of a gang on one worker.
type Placement struct {
	// Member numbers the parts of the gang from 0; member 0 leads the gang.
	Member int `json:"member"`
	// Worker is the name of the worker's agent.
	Worker string `json:"worker"`
	// Incarnation is the agent's, as known when the placement was decided.
	Incarnation int64 `json:"incarnation"`
	// Accelerators are indexes on the worker, ascending and distinct.
	Accelerators []int `json:"accelerators"`
}
