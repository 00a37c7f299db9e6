package chestnutpond

import (
	"context"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is assigned by the log service; offsets of a stream ascend without
	// gaps.
	Offset int64
	Data   []byte
}

// Batch is the answer to a read.
type Batch struct {
	// Records start at the offset asked for, or are empty.
	Records []Record
	// First is the lowest offset still retained.
	First int64
	// Next is the offset that the next append gets.
	Next int64
}

// Log is a stream of the platform's log service.
type Log interface {
	// Append adds a record and returns its offset. An *AppendError with
	// Ambiguous set means that the record may be in the stream.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records from the offset on. It waits up to wait for the
	// first one. A *TrimmedError means that the offset is below First.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error)
}

// TaskID names one member of one attempt of a job: <job>.<attempt>.<member>.
type TaskID string

// TaskSpec starts a task on a worker.
type TaskSpec struct {
	ID           TaskID
	Kind         string
	Accelerators []int
	Payload      []byte
	// Checkpoint names the checkpoint to resume from; empty starts anew.
	Checkpoint string
	// Lease is how long the worker runs the task without a renewal.
	Lease time.Duration
	// Members is the number of members of the gang.
	Members int
}

// TaskPhase is the state of a task as its worker reports it.
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
	// Start runs a task. Starting a known id again changes nothing.
	Start(ctx context.Context, spec TaskSpec) error
	// Renew extends the task's lease. A *TaskGoneError means that the task does
	// not run.
	Renew(ctx context.Context, id TaskID, lease time.Duration) error
	// Checkpoint returns the name of a checkpoint once it is written.
	Checkpoint(ctx context.Context, id TaskID) (string, error)
	// Throttle bounds the task to a share of its processor time, 0 to 1.
	Throttle(ctx context.Context, id TaskID, share float64) error
	// Stop ends the task. Stopping an unknown task succeeds.
	Stop(ctx context.Context, id TaskID) error
	// Tasks lists the tasks that run or that ended and were not yet stopped.
	Tasks(ctx context.Context) ([]TaskStatus, error)
}

// Call is one request on its way to an upstream.
type Call struct {
	// Request is the identity of the request.
	Request string
	Kind    string
	Body    []byte
	Timeout time.Duration
}

// Answer is the whole answer of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Upstream serves requests beside an agent.
type Upstream interface {
	// Serve sends the call once. A *NotSentError means that no byte of it
	// reached the upstream; after any other error it may have run.
	Serve(ctx context.Context, call Call) (Answer, error)
	// Ready returns nil while the upstream takes requests.
	Ready(ctx context.Context) error
}
