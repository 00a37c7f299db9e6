package events

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Reply answers an Events call of the inner protocol from the ring. A request
// without since returns the newest events, because it comes from an operator who
// inspects recent activity; a request with since returns the events that follow.
func (r *Ring) Reply(req *inner.EventsRequest) *inner.EventsReply {
	filter := Filter{
		Job:      chestnutpond.JobID(req.GetJob()),
		Request:  req.GetRequest(),
		Upstream: req.GetUpstream(),
		From:     timeFromUnixNano(req.GetFromUnixNano()),
		To:       timeFromUnixNano(req.GetToUnixNano()),
	}
	selected, next, dropped := r.Newest(filter, int(req.GetLimit()))
	if req.GetSince() > 0 {
		selected, next, dropped = r.Since(req.GetSince(), filter, int(req.GetLimit()))
	}
	reply := &inner.EventsReply{Next: next, Dropped: dropped}
	for _, e := range selected {
		reply.Events = append(reply.Events, ToInner(e))
	}
	return reply
}

// timeFromUnixNano converts a time bound; zero means no bound and gives the zero
// time.
func timeFromUnixNano(unixNano int64) time.Time {
	if unixNano == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNano).UTC()
}

// ToInner converts an event to its inner protocol message. The ID is not sent; it
// is derived from process, incarnation and sequence number.
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

// FromInner converts an event from its inner protocol message. Its time is in
// UTC.
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
