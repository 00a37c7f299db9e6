package events

import (
	"sync"

	"github.com/chestnutpond/chestnutpond"
)

// MaxChainJobs is the maximum number of jobs whose last event a Trail keeps; the job
// that was added first is evicted first.
const MaxChainJobs = 16384

// CauseChain is an event sink that records the causal chain of each job: an event
// without a cause gets the previous event in the job's chain as its cause. The
// informational events waiting and borrowed get a cause but are not part of the
// chain, so that it leads from accepted to placed to prepared. Its methods are
// safe for concurrent use.
type CauseChain struct {
	sink chestnutpond.EventSink

	// mu guards the fields below. The sink's locks may be acquired while it is
	// held.
	mu   sync.Mutex
	last map[chestnutpond.JobID]chestnutpond.EventID
	// order lists the keys of last in insertion order.
	order []chestnutpond.JobID
}

var _ chestnutpond.EventSink = (*CauseChain)(nil)

// NewCauseChain returns a trail that forwards its events to sink.
func NewCauseChain(sink chestnutpond.EventSink) *CauseChain {
	return &CauseChain{sink: sink, last: make(map[chestnutpond.JobID]chestnutpond.EventID)}
}

// Add implements chestnutpond.EventSink.
func (t *CauseChain) Add(e chestnutpond.Event) chestnutpond.EventID {
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
		t.setLast(e.Job, id)
	}
	return id
}

// Last returns the last event of a job's chain, or an empty ID if there is none.
func (t *CauseChain) Last(job chestnutpond.JobID) chestnutpond.EventID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[job]
}

// Follow makes an event of another process the last event of a job's chain. An
// empty ID is ignored.
func (t *CauseChain) Follow(job chestnutpond.JobID, id chestnutpond.EventID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLast(job, id)
}

// setLast records the last event of a job's chain and evicts the oldest job beyond
// MaxChainJobs. The caller holds mu.
func (t *CauseChain) setLast(job chestnutpond.JobID, id chestnutpond.EventID) {
	if id == "" {
		return
	}
	if _, known := t.last[job]; !known {
		t.order = append(t.order, job)
	}
	t.last[job] = id
	if len(t.order) > MaxChainJobs {
		delete(t.last, t.order[0])
		t.order = t.order[1:]
	}
}
