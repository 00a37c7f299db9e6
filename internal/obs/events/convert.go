package events

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Reply answers a call of the inner protocol's Events from the ring. A question
// without since gets the newest events, because it comes from a person who looks
// at what just happened; one with since gets the next events from there on.
func (r *Ring) Reply(q *inner.EventsRequest) *inner.EventsReply {
	filter := Filter{
		Job:      chestnutpond.JobID(q.GetJob()),
		Request:  q.GetRequest(),
		Upstream: q.GetUpstream(),
		From:     timeOf(q.GetFromUnixNano()),
		To:       timeOf(q.GetToUnixNano()),
	}
	selected, next, dropped := r.Newest(filter, int(q.GetLimit()))
	if q.GetSince() > 0 {
		selected, next, dropped = r.Since(q.GetSince(), filter, int(q.GetLimit()))
	}
	reply := &inner.EventsReply{Next: next, Dropped: dropped}
	for _, e := range selected {
		reply.Events = append(reply.Events, ToInner(e))
	}
	return reply
}

// timeOf returns the time of a bound; zero stays the zero time.
func timeOf(unixNano int64) time.Time {
	if unixNano == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNano).UTC()
}

// ToInner converts an event to its form in the inner protocol. The id is not
// sent; it follows from process, incarnation and sequence.
func ToInner(e chestnutpond.Event) *inner.Event {
	return &inner.Event{
		Process:     e.Process,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		AtUnixNano:  e.At.UnixNano(),
		Kind:        string(e.Kind),
		Job:         string(e.Job),
		Attempt:     e.Attempt,
		Request:     e.Request,
		Upstream:    e.Upstream,
		Account:     e.Account,
		Detail:      e.Detail,
		Cause:       string(e.Cause),
	}
}

// FromInner converts an event from its form in the inner protocol. Its time is
// in UTC.
func FromInner(m *inner.Event) chestnutpond.Event {
	return chestnutpond.Event{
		ID:          NewID(m.GetProcess(), m.GetIncarnation(), m.GetSequence()),
		Process:     m.GetProcess(),
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		At:          time.Unix(0, m.GetAtUnixNano()).UTC(),
		Kind:        chestnutpond.EventKind(m.GetKind()),
		Job:         chestnutpond.JobID(m.GetJob()),
		Attempt:     m.GetAttempt(),
		Request:     m.GetRequest(),
		Upstream:    m.GetUpstream(),
		Account:     m.GetAccount(),
		Detail:      m.GetDetail(),
		Cause:       chestnutpond.EventID(m.GetCause()),
	}
}
