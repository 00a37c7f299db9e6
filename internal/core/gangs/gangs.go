// Package gangs implements an agent's side of the gang protocol. It keeps the
// reservations and tasks of the agent's worker, returns the next step of each
// task, and, at the agent of member 0, tracks whether all members are alive.
//
// A member goes through these steps. Prepare reserves its accelerators for a
// short time. Commit turns the reservation into a task that waits at the gang's
// barrier. The member sends heartbeats, called beats, to the leader, which is
// the agent of member 0. Once every member has joined, the leader's reply opens
// the barrier, and only then may the member start its task on the worker. From
// then on the member renews the task's lease on the worker only while the
// leader's replies prove that all members were alive within GangLease. The
// leader stops the gang when a member is silent for GangLease or reports that
// it stopped or failed; a stopped gang never runs again.
//
// The package makes decisions and keeps state, but makes no calls itself. The
// caller asks for the next step of a task, makes the call to the worker or to
// another agent, and reports the result. Every method takes the time as an
// argument, on the agent's monotonic clock. The methods may be called from
// several goroutines; one mutex guards all state, and no callback runs with it
// held.
package gangs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The durations of the protocol. Section 10 of the design page adds them up.
const (
	// ReservationTTL is the longest lifetime of a reservation. The wait before a restart
	// depends on it, so a request for a longer one is capped.
	ReservationTTL = 3 * time.Second
	// GangLease is how long a member continues without proof that all members
	// were alive, and how long the leader lets a member be silent.
	GangLease = 2500 * time.Millisecond
	// TaskLease is how long the worker runs a task without a renewal.
	TaskLease = 2 * time.Second
	// BeatInterval is the interval of beats and of lease renewals.
	BeatInterval = 500 * time.Millisecond
	// JoinInterval is the interval of beats at the barrier. With it a gang passes
	// the barrier within the 200 ms that the start of an urgent job allows for it.
	JoinInterval = 50 * time.Millisecond
	// CallTimeout is the timeout of one call to the worker or to the leader. The
	// bound on how long a partial gang can run allows 500 ms for such a call.
	CallTimeout = 500 * time.Millisecond
	// IsolationTimeout is how long an agent keeps its tasks while no entry answers.
	// The wait before the restart of an unreachable gang depends on it.
	IsolationTimeout = 20 * time.Second
	// StopRetry is the delay before a failed stop call is retried.
	StopRetry = 100 * time.Millisecond
)

// The bounds of the tables.
const (
	// MaxMembers is the largest gang.
	MaxMembers = 64
	// MaxFences bounds the fenced jobs, and FenceAge is the shortest lifetime of
	// a fence. A fence may be dropped after that, because a Commit needs an
	// unexpired reservation of the same attempt: the scheduler sends Commit only
	// after the reply to Prepare, and a message is delivered within the 15 s
	// after which the server closes an idle connection.
	MaxFences = 16384
	FenceAge  = time.Minute
	// MaxEnded bounds the completed and failed tasks that are not released yet.
	// At the bound, Prepare is refused, so that no result is lost.
	MaxEnded = 1024
	// MaxResult bounds the result of a task in bytes. A task with a longer one
	// fails, because a member row with many long results is too large to send.
	// MaxReason bounds the worker's reason in bytes; a longer one is truncated.
	MaxResult = 16 << 10
	MaxReason = 1 << 10
	// MaxStopped bounds the stopped tasks that are not released yet. The oldest
	// are dropped, which loses no results, because a stopped task has none.
	MaxStopped = 256
)

// Key identifies one member of one attempt of a job.
type Key struct {
	Job     string
	Attempt int64
	Member  int32
}

// Task returns the id of the member's task on the worker.
func (k Key) Task() chestnutpond.TaskID {
	return chestnutpond.TaskID(fmt.Sprintf("%s.%d.%d", k.Job, k.Attempt, k.Member))
}

// ParseTask parses the id of a task on the worker. It reports whether the id is
// well-formed.
func ParseTask(id chestnutpond.TaskID) (Key, bool) {
	parts := strings.Split(string(id), ".")
	if len(parts) != 3 {
		return Key{}, false
	}
	attempt, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, false
	}
	member, err := strconv.ParseInt(parts[2], 10, 32)
	if err != nil {
		return Key{}, false
	}
	return Key{Job: parts[0], Attempt: attempt, Member: int32(member)}, true
}

// Decision is the result of Prepare and Commit.
type Decision struct {
	OK      bool
	Refusal inner.Refusal
	Reason  string
}

func refuse(refusal inner.Refusal, format string, args ...any) Decision {
	return Decision{Refusal: refusal, Reason: fmt.Sprintf(format, args...)}
}

var granted = Decision{OK: true}

// gangKey identifies one attempt of a job.
type gangKey struct {
	job     string
	attempt int64
}

func (k Key) gang() gangKey { return gangKey{job: k.Job, attempt: k.Attempt} }
