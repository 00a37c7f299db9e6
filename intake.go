package chestnutpond

import (
	"context"
	"time"
)

// IntakeCall holds the properties of a call that select its queue and account.
type IntakeCall struct {
	// Kind is the name of the queue; if it is empty, Host and Path select the queue.
	Kind  string
	Host  string
	Path  string
	Token string
}

// IntakeTarget is the queue and the account to which a call was routed.
type IntakeTarget struct {
	Queue Queue
	// Account is empty on a public queue.
	Account string
	// Rest is the path after the queue's prefix.
	Rest string
}

// Verdict is the result of a call as reported to the caller.
type Verdict struct {
	Outcome Outcome
	// Reason is set unless the call succeeded.
	Reason Reason
	// RetryAfter is the delay after which a call that was not run may be retried;
	// zero if unknown.
	RetryAfter time.Duration
}

// Intake handles the calls of clients that submit and control graphs.
type Intake interface {
	// Route selects the queue and authenticates the token. The outcome is
	// OutcomeAnswered if the call may proceed.
	Route(call IntakeCall) (IntakeTarget, Verdict)
	// Submit returns OutcomeAccepted once the job is stored. OutcomeUnknown means
	// that the job may have been stored or may still be.
	Submit(ctx context.Context, target IntakeTarget, g Graph) Verdict
	// State returns the state of a job.
	State(ctx context.Context, target IntakeTarget, id JobID) (JobState, Verdict)
	// Cancel returns OutcomeCancelled once the cancellation is stored, or if the job
	// has already ended.
	Cancel(ctx context.Context, target IntakeTarget, id JobID) Verdict
	// Waiting returns the number of jobs of the queue of which no task has started.
	Waiting(target IntakeTarget) (int, Verdict)
	// Ready reports whether the process accepts calls.
	Ready() bool
}

// Inspector provides an entry's view of graphs and of the deployment.
type Inspector interface {
	// Identify returns the client account that a token authenticates. The outcome is
	// OutcomeAnswered if there is one.
	Identify(token string) (string, Verdict)
	// Jobs returns the jobs of an account in order of acceptance.
	Jobs(account string) []GraphView
	// Overview returns the entry's view of the deployment.
	Overview() FleetView
}

// GraphView is the state of a graph according to the store.
type GraphView struct {
	ID      JobID
	Account string
	Kind    string
	State   JobState
	// Reason is the reason for a final state.
	Reason string
	// Accelerators is the total over all tasks of the steps that are not done.
	Accelerators int64
	// Tasks, Running and Done count the tasks of the occurrences that are due: all
	// of them, those with a run that may exist, and those that are done.
	Tasks, Running, Done int
}

// FleetView is an entry's view of the deployment.
type FleetView struct {
	Service string
	// Version is the version of the current document.
	Version int64
	// Available means that the store's newest records were read recently, up to the
	// offset Next.
	Available bool
	Next      int64
	// Leader is the name of the entry that leads in term Epoch; empty if there is
	// no leader.
	Leader string
	Epoch  int64
	// Guarantees is the number of guaranteed accelerators by account.
	Guarantees map[string]int64
	Entries    []EntryView
}

// EntryView describes an entry that the reporting entry has discovered.
type EntryView struct {
	Name, Zone, Region string
}

// WorkerReports receives the reports of the worker beside an agent.
type WorkerReports interface {
	// Reported handles a report. It returns false if the report cannot be accepted
	// now.
	Reported(info WorkerInfo) bool
	// Left is called when the worker reports that it shuts down.
	Left(id string)
}
