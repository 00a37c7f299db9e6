package events

import (
	"sync"

	"github.com/chestnutpond/chestnutpond"
)

// TrailJobs bounds the jobs whose last event a Trail remembers; those that it
// heard of first are forgotten first.
const TrailJobs = 16384

// Trail is an event sink that links the events of each job into a chain: an
// event without a cause is caused by the job's event before it. The notes
// waiting and borrowed have a cause and are no link, so that the chain leads
// from accepted to placed to prepared. Its methods are safe for concurrent use.
type Trail struct {
	sink chestnutpond.EventSink

	// mu guards the fields below. The sink's locks may be taken under it.
	mu   sync.Mutex
	last map[chestnutpond.JobID]chestnutpond.EventID
	// order lists the keys of last, the oldest first.
	order []chestnutpond.JobID
}

var _ chestnutpond.EventSink = (*Trail)(nil)

// NewTrail returns a trail that hands its events to sink.
func NewTrail(sink chestnutpond.EventSink) *Trail {
	return &Trail{sink: sink, last: make(map[chestnutpond.JobID]chestnutpond.EventID)}
}

// Add implements chestnutpond.EventSink.
func (t *Trail) Add(e chestnutpond.Event) chestnutpond.EventID {
	if e.Job == "" {
		return t.sink.Add(e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Cause == "" {
		e.Cause = t.last[e.Job]
	}
	id := t.sink.Add(e)
	switch e.Kind {
	case chestnutpond.EventWaiting, chestnutpond.EventBorrowed:
	default:
		t.set(e.Job, id)
	}
	return id
}

// Last returns the newest link of a job's chain; empty if there is none.
func (t *Trail) Last(job chestnutpond.JobID) chestnutpond.EventID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[job]
}

// Follow makes an event of another process the newest link of a job's chain. An
// empty id changes nothing.
func (t *Trail) Follow(job chestnutpond.JobID, id chestnutpond.EventID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(job, id)
}

// set remembers a link. The caller holds mu.
func (t *Trail) set(job chestnutpond.JobID, id chestnutpond.EventID) {
	if id == "" {
		return
	}
	if _, known := t.last[job]; !known {
		t.order = append(t.order, job)
	}
	t.last[job] = id
	if len(t.order) > TrailJobs {
		delete(t.last, t.order[0])
		t.order = t.order[1:]
	}
}
