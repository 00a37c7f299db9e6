package chestnutpond

import (
	"context"
	"time"
)

// RouteRequest holds the properties of a call that select its queue and account.
type RouteRequest struct {
	// Kind is the name of the queue; if it is empty, Host and Path select the queue.
	Kind  string
	Host  string
	Path  string
	Token string
}

// RouteTarget is the queue and the account to which a call was routed.
type RouteTarget struct {
	Queue Queue
	// Account is empty on a public queue.
	Account string
	// PathSuffix is the path after the queue's prefix.
	PathSuffix string
}

// CallResult is the result of a call as reported to the caller.
type CallResult struct {
	Outcome Outcome
	// Reason is set unless the call succeeded.
	Reason Reason
	// Detail explains a rejection to the caller; it may be empty.
	Detail string
	// RetryAfter is the delay after which a call that was not run may be retried;
	// zero if unknown.
	RetryAfter time.Duration
}

// GraphService handles the calls of clients that submit and control graphs.
type GraphService interface {
	// Route selects the queue and authenticates the token. The outcome is
	// OutcomeAnswered if the call may proceed.
	Route(call RouteRequest) (RouteTarget, CallResult)
	// Submit returns OutcomeAccepted once the job is stored. OutcomeUnknown means
	// that the job may have been stored or may still be.
	Submit(ctx context.Context, target RouteTarget, g Graph) CallResult
	// State returns the state of a job.
	State(ctx context.Context, target RouteTarget, id JobID) (JobState, CallResult)
	// Cancel returns OutcomeCancelled once the cancellation is stored, or if the job
	// has already ended.
	Cancel(ctx context.Context, target RouteTarget, id JobID) CallResult
	// Waiting returns the number of jobs of the queue of which no task has started.
	Waiting(target RouteTarget) (int, CallResult)
	// Ready reports whether the process accepts calls.
	Ready() bool
}

// Inspector provides an entry's view of graphs and of the deployment.
type Inspector interface {
	// Identify returns the client account that a token authenticates. The outcome is
	// OutcomeAnswered if there is one.
	Identify(token string) (string, CallResult)
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
	// Evacuations are the zones under evacuation, by name.
	Evacuations []EvacuationView
}

// EvacuationView describes a zone under evacuation.
type EvacuationView struct {
	Zone string
	// Offset is that of the newest request that was read.
	Offset int64
	// Runs is the number of runs that may exist in the zone; only the leader knows it.
	Runs      int
	RunsKnown bool
}

// EntryView describes an entry that the reporting entry has discovered.
type EntryView struct {
	Name, Zone, Region string
}

// WorkerReports receives the reports of the worker beside an agent.
type WorkerReports interface {
	// HandleReport handles a report. It returns false if the report cannot be accepted
	// now.
	HandleReport(ctx context.Context, info WorkerInfo) bool
	// HandleLeave is called when the incarnation of a worker reports that it shuts
	// down. StartedMs is 0 if the report does not state it.
	HandleLeave(life WorkerIncarnation)
}
