package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Attempt is one sending of one request.
type Attempt struct {
	ID      string
	Request string
	Kind    string
	Body    []byte
	// Deadline is on the agent's monotonic clock.
	Deadline time.Time

	// reply is written once, before done closes, and not changed afterwards.
	reply *inner.ServeReply
	done  chan struct{}
}

// Done closes when the reply is set.
func (a *Attempt) Done() <-chan struct{} { return a.done }

// Reply returns the reply. It must not be called before Done has closed, and
// the caller must not change what it returns.
func (a *Attempt) Reply() *inner.ServeReply { return a.reply }

// complete sets the reply of an attempt. The caller holds t.mu.
func (t *Table) complete(a *Attempt, reply *inner.ServeReply) {
	reply.Attempt, reply.Request = a.ID, a.Request
	reply.Digest = xxhash.Sum64(reply.GetBody())
	reply.Busy = int32(t.busy)
	a.reply, a.Body = reply, nil
	close(a.done)
}

// closed returns an attempt that is done and not in the table.
func (t *Table) closed(id, request string, reply *inner.ServeReply) *Attempt {
	a := &Attempt{ID: id, Request: request, done: make(chan struct{})}
	t.complete(a, reply)
	return a
}

func (t *Table) notRun(id, request string, refusal inner.Refusal, reason string) *Attempt {
	return t.closed(id, request, NotRun(refusal, reason))
}

func (t *Table) unknown(id, request, reason string) *Attempt {
	reply := Unknown(reason)
	reply.Refusal = inner.Refusal_REFUSAL_UNKNOWN_ATTEMPT
	return t.closed(id, request, reply)
}

// ended answers for an attempt in the spent table.
func (t *Table) ended(id, request string, fenced bool) *Attempt {
	if fenced {
		return t.notRun(id, request, inner.Refusal_REFUSAL_FENCED, "this attempt is fenced")
	}
	return t.closed(id, request, Unknown("the reply of this attempt is no longer kept"))
}

// NotRun returns a reply that proves that the attempt did not run.
func NotRun(refusal inner.Refusal, reason string) *inner.ServeReply {
	return &inner.ServeReply{
		Outcome: inner.OutcomeCode_OUTCOME_CODE_NOT_RUN, Refusal: refusal, Reason: reason,
	}
}

// Unknown returns a reply of an attempt that may have run.
func Unknown(reason string) *inner.ServeReply {
	return &inner.ServeReply{Outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, Reason: reason}
}

// Running returns the reply to Resolve for an attempt that still runs.
func (t *Table) Running(a *Attempt) *inner.ServeReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &inner.ServeReply{
		Attempt: a.ID, Request: a.Request, Busy: int32(t.busy),
		Outcome: inner.OutcomeCode_OUTCOME_CODE_RUNNING,
	}
}
