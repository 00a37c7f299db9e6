package chestnutpond

import (
	"context"
	"time"
)

// IntakeCall is what selects the queue of a call and its account.
type IntakeCall struct {
	// Kind selects the queue by its name; if it is empty, Host and Path do.
	Kind  string
	Host  string
	Path  string
	Token string
}

// IntakeTarget is the queue that a call is for.
type IntakeTarget struct {
	Queue Queue
	// Account is empty on a public queue.
	Account string
	// Rest is the path after the queue's prefix.
	Rest string
}

// Verdict is what a caller is told.
type Verdict struct {
	Outcome Outcome
	// Reason is set unless the call succeeded.
	Reason Reason
	// RetryAfter is when a call that was not run may be repeated; zero if it is
	// not known.
	RetryAfter time.Duration
}

// Intake takes the calls of clients about graphs of tasks.
type Intake interface {
	// Route selects the queue and checks the token. The outcome is
	// OutcomeAnswered if the call may go on.
	Route(call IntakeCall) (IntakeTarget, Verdict)
	// Submit returns OutcomeAccepted once the job is stored. OutcomeUnknown means
	// that it may be stored later.
	Submit(ctx context.Context, target IntakeTarget, g Graph) Verdict
	// State returns the state of a job.
	State(ctx context.Context, target IntakeTarget, id JobID) (JobState, Verdict)
	// Cancel returns OutcomeCancelled once the cancellation is stored, or the job
	// has ended before.
	Cancel(ctx context.Context, target IntakeTarget, id JobID) Verdict
	// Waiting returns the number of the queue's jobs of which no task has started.
	Waiting(target IntakeTarget) (int, Verdict)
	// Ready reports whether the process takes calls.
	Ready() bool
}

// Inspector shows what an entry knows of graphs of tasks.
type Inspector interface {
	// Identify returns the client account of a token. The outcome is
	// OutcomeAnswered if there is one.
	Identify(token string) (string, Verdict)
	// Jobs returns the jobs of an account in order of acceptance.
	Jobs(account string) []GraphView
	// Overview returns what the entry knows of the deployment.
	Overview() FleetView
}

// GraphView is where a graph stands, as far as the store tells.
type GraphView struct {
	ID      JobID
	Account string
	Kind    string
	State   JobState
	// Reason says why a final state is what it is.
	Reason string
	// Accelerators are those of all tasks of the steps that are not done.
	Accelerators int64
	// Tasks are those of the occurrences that are due, Running have a run that
	// may exist, and Done have ended as done.
	Tasks, Running, Done int
}

// FleetView is what an entry knows of the deployment.
type FleetView struct {
	Service string
	// Version is that of the document in force.
	Version int64
	// Available means that the store's newest records were read lately, up to the
	// offset Next.
	Available bool
	Next      int64
	// Leader is the name of the entry that leads, in the term Epoch; empty if none
	// does.
	Leader string
	Epoch  int64
	// Guarantees has the accelerators of each account.
	Guarantees map[string]int64
	Entries    []EntryView
}

// EntryView is an entry that is known.
type EntryView struct {
	Name, Zone, Region string
}

// WorkerReports takes the reports of the worker beside an agent.
type WorkerReports interface {
	// Reported returns false if the report cannot be taken now.
	Reported(info WorkerInfo) bool
	// Left is called when the worker says that it ends.
	Left(id string)
}
