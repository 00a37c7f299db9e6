package chestnutpond

import "time"

// JobID identifies an accepted job. The same account and idempotency key give
// the same ID.
type JobID string

// JobState is the state of a job.
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

// Final reports whether s is final: the job never runs again.
func (s JobState) Final() bool {
	switch s {
	case JobCompleted, JobFailed, JobCancelled, JobImpossible:
		return true
	}
	return false
}

// JobSpec is the job that a caller submitted, with the limits of its kind at the
// time of acceptance. It is immutable afterwards.
type JobSpec struct {
	ID      JobID  `json:"id"`
	Service string `json:"service"`
	Account string `json:"account"`
	// Caller is the name that the account gives to the submitter; may be empty.
	Caller string `json:"caller,omitempty"`
	Kind   string `json:"kind"`
	Class  Class  `json:"class"`
	Region string `json:"region"`
	Shape  Shape  `json:"shape"`
	// Declared is the run time that the caller expects; zero means unspecified.
	// It is often wrong by a factor of ten, so scheduling does not rely on it.
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
	// Incarnation is the agent's incarnation when the placement was decided.
	Incarnation int64 `json:"incarnation"`
	// Accelerators are indexes on the worker, ascending and distinct.
	Accelerators []int `json:"accelerators"`
}
