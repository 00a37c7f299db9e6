package chestnutpond

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of the root package.
var Error = errs.Class("chestnutpond")

// AppendError is a failed append.
type AppendError struct {
	// Ambiguous means that the record may be in the stream all the same.
	Ambiguous bool
	// Limited means that the service refused the append for its rate.
	Limited bool
	Err     error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.Ambiguous {
		return fmt.Sprintf("append: outcome unknown: %v", e.Err)
	}
	return fmt.Sprintf("append: refused: %v", e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// TrimmedError means that a read began below the retained offsets.
type TrimmedError struct {
	From  int64
	First int64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("read from offset %d: the log begins at offset %d", e.From, e.First)
}

// TaskGoneError means that a worker does not run a task.
type TaskGoneError struct {
	ID TaskID
}

// Error implements error.
func (e *TaskGoneError) Error() string {
	return fmt.Sprintf("task %s does not run", e.ID)
}

// NotSentError means that no byte of a call reached the upstream.
type NotSentError struct {
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("call not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
