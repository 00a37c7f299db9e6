package chestnutpond

import (
	"context"
	"time"
)

// WorkerState is the state that a worker reports for itself.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// WorkerInfo is a worker's report about itself.
type WorkerInfo struct {
	// ID is the worker's name. A restarted worker may have the same ID.
	ID string
	// StartedMs is the time at which the worker started, as reported by the worker, in
	// Unix milliseconds. ID and StartedMs identify one incarnation of the worker.
	StartedMs int64
	Service   string
	Address   string
	Zone      string
	Rack      string
	// Host is the machine that the worker runs on; empty if not reported.
	Host     string
	Labels   []string
	Capacity Resources
	State    WorkerState
	// Remaining is the minimum time until a draining worker stops.
	Remaining time.Duration
	// WarmupRemaining is the remaining warm-up time, during which the worker is slow.
	WarmupRemaining time.Duration
	// Sequence increases with each report of one incarnation.
	Sequence int64
}

// WorkerIncarnation identifies one incarnation of a worker: a restart changes StartedMs.
type WorkerIncarnation struct {
	ID        string
	StartedMs int64
}

// Incarnation returns the incarnation that sent the report.
func (w *WorkerInfo) Incarnation() WorkerIncarnation {
	return WorkerIncarnation{ID: w.ID, StartedMs: w.StartedMs}
}

// HasLabel reports whether the worker has the label. Every worker has the empty
// label.
func (w *WorkerInfo) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// RunOutcome is the way in which a run ended.
type RunOutcome string

// The ways in which a run ends.
const (
	RunDone   RunOutcome = "done"
	RunFailed RunOutcome = "failed"
	// RunStopped means that a StopOrder ended the run.
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the run was killed when the worker's lease expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangEnded means that another member of the run's gang ended.
	RunGangEnded RunOutcome = "broken"
	// RunGangTimeout means that the run timed out waiting for the other members of its
	// gang.
	RunGangTimeout RunOutcome = "alone"
)

// RunStatus is a worker's report of a running run.
type RunStatus struct {
	Task TaskRef
	Run  int64
	// Checkpoint is the newest checkpoint; empty if there is none.
	Checkpoint string
	// Percent is the share of its capacity that the run may use, 0 to 100, or its
	// progress, as reported by the worker.
	Percent int
	// Load is measured over the last half second: the tail latency of a serving
	// task in milliseconds, otherwise the CPU usage in thousandths of a core.
	Load int64
}

// RunEnd is a worker's report of a run that ended.
type RunEnd struct {
	// Sequence starts at 1 in each incarnation of the worker and increases.
	Sequence   int64
	Task       TaskRef
	Run        int64
	Ending     RunOutcome
	Checkpoint string
}

// StartOrder starts a run on a worker.
type StartOrder struct {
	Task    TaskRef
	Run     int64
	Payload string
	// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string
	// Ticket is the permission issued by the advice service; empty if none is
	// needed.
	Ticket string
	// Until is when the worker's lease expires, on the worker's clock.
	Until time.Duration
	// Fence is the fencing token; the worker compares it with the highest one that
	// it has seen.
	Fence int64
	// Worker is the incarnation of the worker that the order is for.
	Worker string
}

// StopOrder stops a run, or prevents it from ever starting.
type StopOrder struct {
	Task   TaskRef
	Run    int64
	Fence  int64
	Worker string
}

// PaceOrder throttles a run: it sets the share of its capacity that the run may
// use.
type PaceOrder struct {
	Task    TaskRef
	Run     int64
	Percent int
	Fence   int64
	Worker  string
}

// RenewOrder renews the worker's lease and requests a list of its runs.
type RenewOrder struct {
	// Until is when the lease expires, on the worker's clock; zero does not renew
	// it.
	Until time.Duration
	Fence int64
	// Acknowledged is the highest sequence of the ends that the worker may discard.
	Acknowledged int64
	// Wait is how long the worker may delay the answer until a run ends.
	Wait   time.Duration
	Worker string
}

// RunList is a worker's answer to a RenewOrder: the list of its runs.
type RunList struct {
	// Clock is the worker's monotonic clock when it answered.
	Clock     time.Duration
	StartedMs int64
	Running   []RunStatus
	// Ended holds the ends that are not acknowledged, in ascending sequence.
	Ended []RunEnd
	// Truncated means that Ended leaves out the newest ends, so a run that is in
	// neither list may have ended.
	Truncated bool
}

// Refusal is the reason for which a worker refused an order. A refused order had
// no effect.
type Refusal string

// The reasons for which a worker refuses an order.
const (
	RefusedFence Refusal = "fence"
	// RefusedStale means that the worker already had this or a later run.
	RefusedStale Refusal = "old"
	// RefusedExpired means that the lease that the order sets has already expired.
	RefusedExpired Refusal = "late"
	// RefusedCapacity means that the worker lacks the free capacity.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the advice service's ticket is not valid.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker does not accept work now.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedIncarnation means that another incarnation of the worker answered.
	RefusedIncarnation Refusal = "life"
	// RefusedInvalid means that the order is invalid.
	RefusedInvalid Refusal = "bad_order"
)

// RefusedError means that a worker refused an order.
type RefusedError struct {
	Refusal Refusal
	// Clock is the worker's clock; it is set only if HasClock is true.
	Clock    time.Duration
	HasClock bool
}

// Error implements error.
func (e *RefusedError) Error() string { return "order refused: " + string(e.Refusal) }

// Adviser selects the workers that may run the tasks of a step, for queues whose
// policy allows only some workers.
type Adviser interface {
	// Advise returns a ticket for each of the workers that may run the step. The
	// answer for a worker does not change until the worker restarts.
	Advise(ctx context.Context, step StepRef, workers []string) (map[string]string, error)
}

// TaskRunner executes orders on the worker beside an agent. After an error that is
// neither a *RefusedError nor a *NotSentError the order may have been executed, or may
// still be. Each method returns the worker's clock.
type TaskRunner interface {
	Start(ctx context.Context, o StartOrder) (time.Duration, error)
	Stop(ctx context.Context, o StopOrder) (time.Duration, error)
	Pace(ctx context.Context, o PaceOrder) (time.Duration, error)
	Renew(ctx context.Context, o RenewOrder) (RunList, error)
}
