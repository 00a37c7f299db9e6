package chestnutpond

import (
	"context"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is assigned by the log service; the offsets of a stream increase
	// without gaps.
	Offset int64
	Data   []byte
}

// Batch is the answer to a read.
type Batch struct {
	// Records start at the requested offset, or are empty.
	Records []Record
	// First is the lowest retained offset.
	First int64
	// Next is the offset that the next append gets.
	Next int64
}

// Log is a stream of the platform's log service.
type Log interface {
	// Append adds a record and returns its offset. An *AppendError with
	// Ambiguous set means that the record may be in the stream.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records starting at offset from. It waits up to wait for the
	// first one. A *TrimmedError means that from is below First.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error)
}

// TaskID identifies one member of one attempt of a job: <job>.<attempt>.<member>.
type TaskID string

// TaskSpec describes a task to start on a worker.
type TaskSpec struct {
	ID           TaskID
	Kind         string
	Accelerators []int
	Payload      []byte
	// Checkpoint is the name of the checkpoint to resume from; empty starts from the
	// beginning.
	Checkpoint string
	// Lease is how long the worker runs the task without a renewal of the lease.
	Lease time.Duration
	// Members is the number of members of the gang.
	Members int
}

// TaskPhase is the state of a task as reported by its worker.
type TaskPhase string

// The phases of a task.
const (
	TaskRunning   TaskPhase = "running"
	TaskCompleted TaskPhase = "completed"
	TaskFailed    TaskPhase = "failed"
	TaskStopped   TaskPhase = "stopped"
)

// TaskStatus is a worker's report of one task.
type TaskStatus struct {
	ID     TaskID
	Phase  TaskPhase
	Result string
	Reason string
}

// Worker is the platform's interface to the worker beside an agent.
type Worker interface {
	// Start starts a task. It has no effect if the worker already has a task with
	// the ID.
	Start(ctx context.Context, spec TaskSpec) error
	// Renew extends the task's lease. A *TaskGoneError means that the task is not
	// running.
	Renew(ctx context.Context, id TaskID, lease time.Duration) error
	// Checkpoint returns the name of a checkpoint once it is written.
	Checkpoint(ctx context.Context, id TaskID) (string, error)
	// Throttle limits the task to a share of its CPU time, 0 to 1.
	Throttle(ctx context.Context, id TaskID, share float64) error
	// Stop stops the task. Stopping an unknown task succeeds.
	Stop(ctx context.Context, id TaskID) error
	// Tasks lists the running tasks, and the ended tasks for which Stop has not been
	// called.
	Tasks(ctx context.Context) ([]TaskStatus, error)
}

// Call is a request that is sent to an upstream.
type Call struct {
	// Request is the ID of the request.
	Request string
	Kind    string
	Body    []byte
	Timeout time.Duration
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Upstream serves requests beside an agent.
type Upstream interface {
	// Serve sends the call once, without retries. A *NotSentError means that no byte
	// of it reached the upstream; after any other error the call may have run.
	Serve(ctx context.Context, call Call) (Answer, error)
	// Ready returns nil if the upstream accepts requests.
	Ready(ctx context.Context) error
}
