package chestnutpond

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of the root package.
var Error = errs.Class("chestnutpond")

// AppendError is a failed append.
type AppendError struct {
	// Ambiguous means that the outcome is unknown: the record may be in the stream.
	Ambiguous bool
	// Limited means that the service refused the append because of its rate limit.
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

// TrimmedError means that a read started below the first retained offset.
type TrimmedError struct {
	From  int64
	First int64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("read from offset %d: the log begins at offset %d", e.From, e.First)
}

// TaskGoneError means that a worker is not running a task.
type TaskGoneError struct {
	ID TaskID
}

// Error implements error.
func (e *TaskGoneError) Error() string {
	return fmt.Sprintf("task %s does not run", e.ID)
}

// NotSentError means that no byte of a call reached its recipient, so it was not executed and
// never will be.
type NotSentError struct {
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("call not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
