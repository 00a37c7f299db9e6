// Package gangs holds an agent's side of the gang protocol: who holds and owns
// the accelerators of its worker, what each member of a gang may do next, and,
// at the agent of member 0, whether the whole gang is alive.
//
// A member goes through these steps. Prepare reserves its accelerators for a
// short time. Commit turns the reservation into a task that waits at the
// gang's barrier. The member beats to the leader, and the leader answers "go"
// once every member has joined. Only then may the member start its task on the
// worker. From then on the member keeps the task's lease on the worker only
// while the leader's answers prove that the whole gang was alive within
// GangLease. A leader stops the gang when a member is silent for GangLease or
// reports that it stopped or failed; a stopped gang never runs again.
//
// The package decides and keeps the state. Calls to the worker and to other
// agents are made by the caller, which asks for the next step of a task and
// reports what became of it. Every method takes the time as an argument, on the
// agent's monotonic clock. The methods may be called from several goroutines;
// one mutex guards all state, and no callback runs with it held.
package gangs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The times of the protocol. Section 10 of the design page adds them up.
const (
	// HoldTTL is the longest time that a reservation lasts. The wait before a
	// restart counts on it, so a longer request is cut to it.
	HoldTTL = 3 * time.Second
	// GangLease is how long a member goes on without proof that the whole gang
	// was alive, and how long a member may be silent at the leader.
	GangLease = 2500 * time.Millisecond
	// TaskLease is how long the worker runs a task without a renewal.
	TaskLease = 2 * time.Second
	// BeatEvery is the interval of beats and of lease renewals.
	BeatEvery = 500 * time.Millisecond
	// JoinEvery is the interval of beats at the barrier. It keeps the start of
	// a gang within the 200 ms that the urgent start allows for the barrier.
	JoinEvery = 50 * time.Millisecond
	// CallLimit bounds one call to the worker or to the leader. A longer call
	// would exceed the 500 ms that the bound of a partial gang allows for it.
	CallLimit = 500 * time.Millisecond
	// IsolationLimit is how long an agent that no entry answers keeps its tasks.
	// The wait before the restart of a gang that cannot be reached counts on it.
	IsolationLimit = 20 * time.Second
	// StopRetry is the pause before a failed stop call is repeated.
	StopRetry = 100 * time.Millisecond
)

// The bounds of the tables.
const (
	// MaxMembers is the largest gang.
	MaxMembers = 64
	// MaxFences bounds the fenced jobs and FenceAge is the least time that a
	// fence lasts. A fence may be forgotten then, because a Commit needs a live
	// reservation of the same attempt: the scheduler sends it only after the
	// answer to Prepare, and a message is delivered within the 15 s after which
	// the server closes a silent connection.
	MaxFences = 16384
	FenceAge  = time.Minute
	// MaxEnded bounds the ended tasks that wait for their release. When that
	// many completed or failed, Prepare is refused, so that no result is lost.
	MaxEnded = 1024
	// MaxResult bounds the result of a task in bytes. A longer one fails the
	// task, because a row with many of them could not be sent. MaxReason bounds
	// the worker's reason, of which the rest is cut off.
	MaxResult = 16 << 10
	MaxReason = 1 << 10
	// MaxStopped bounds the stopped tasks that wait for their release; the
	// oldest is dropped first, because a stopped task has no result.
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

// ParseTask returns the key of a task id on the worker.
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

// Verdict is the answer to Prepare and Commit.
type Verdict struct {
	OK      bool
	Refusal inner.Refusal
	Reason  string
}

func refuse(refusal inner.Refusal, format string, args ...any) Verdict {
	return Verdict{Refusal: refusal, Reason: fmt.Sprintf(format, args...)}
}

var granted = Verdict{OK: true}

// gangKey identifies one attempt of a job.
type gangKey struct {
	job     string
	attempt int64
}

func (k Key) gang() gangKey { return gangKey{job: k.Job, attempt: k.Attempt} }
