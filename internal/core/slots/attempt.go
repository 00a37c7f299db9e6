package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Attempt is one delivery of a request to the agent.
type Attempt struct {
	ID      string
	Request string
	Kind    string
	Body    []byte
	// Deadline is on the agent's monotonic clock.
	Deadline time.Time

	// reply is set once, before done is closed, and never changed afterwards.
	reply *inner.ServeReply
	done  chan struct{}
}

// Done returns a channel that is closed when the reply is set.
func (a *Attempt) Done() <-chan struct{} { return a.done }

// Reply returns the reply. It must not be called before Done is closed, and the
// caller must not modify the reply.
func (a *Attempt) Reply() *inner.ServeReply { return a.reply }

// complete sets the reply of an attempt and drops its body. The caller holds
// t.mu.
func (t *Table) complete(a *Attempt, reply *inner.ServeReply) {
	reply.Attempt, reply.Request = a.ID, a.Request
	reply.Digest = xxhash.Sum64(reply.GetBody())
	reply.Busy = int32(t.busy)
	a.reply, a.Body = reply, nil
	close(a.done)
}

// doneAttempt returns an attempt with a reply that is not in the table.
func (t *Table) doneAttempt(id, request string, reply *inner.ServeReply) *Attempt {
	a := &Attempt{ID: id, Request: request, done: make(chan struct{})}
	t.complete(a, reply)
	return a
}

func (t *Table) notRun(id, request string, refusal inner.Refusal, reason string) *Attempt {
	return t.doneAttempt(id, request, NotRun(refusal, reason))
}

func (t *Table) unknown(id, request, reason string) *Attempt {
	reply := Unknown(reason)
	reply.Refusal = inner.Refusal_REFUSAL_UNKNOWN_ATTEMPT
	return t.doneAttempt(id, request, reply)
}

// fromTombstone returns an attempt with the reply for a tombstone.
func (t *Table) fromTombstone(id, request string, fenced bool) *Attempt {
	if fenced {
		return t.notRun(id, request, inner.Refusal_REFUSAL_FENCED, "this attempt is fenced")
	}
	return t.doneAttempt(id, request, Unknown("the reply of this attempt is no longer kept"))
}

// NotRun returns a reply that proves that the attempt did not run and will not
// run.
func NotRun(refusal inner.Refusal, reason string) *inner.ServeReply {
	return &inner.ServeReply{
		Outcome: inner.OutcomeCode_OUTCOME_CODE_NOT_RUN, Refusal: refusal, Reason: reason,
	}
}

// Unknown returns the reply for an attempt that may or may not have run.
func Unknown(reason string) *inner.ServeReply {
	return &inner.ServeReply{Outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, Reason: reason}
}

// Running returns the reply for an attempt that Resolve found still running.
func (t *Table) Running(a *Attempt) *inner.ServeReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &inner.ServeReply{
		Attempt: a.ID, Request: a.Request, Busy: int32(t.busy),
		Outcome: inner.OutcomeCode_OUTCOME_CODE_RUNNING,
	}
}
