// Package events keeps the newest events of a process in memory.
//
// A Ring implements chestnutpond.EventSink. It assigns consecutive sequence
// numbers, starting at 1, to the events of one incarnation of a process and
// retains a bounded number of them; the oldest are dropped and counted. Request
// events have a separate buffer, so that a flood of requests cannot evict job
// events. Requests are sampled by a hash of their ID: all events of a request are
// kept or none, and all processes sample the same requests. Nothing is written to
// disk; the events are lost when the process exits.
//
// The package also converts events to and from the inner protocol.
package events

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// DefaultSize is the default capacity of a ring, in events.
	DefaultSize = 8192
	// DefaultRequestShare is the default fraction of requests whose events are
	// kept. At 1,000 requests per second the ring holds the last 40 s of them.
	DefaultRequestShare = 0.1
	// MaxRead is the maximum number of events that one call of Since returns.
	MaxRead = DefaultSize
	// MaxDetail is the length in bytes to which the detail of an event is
	// truncated, so that a whole ring fits into one message of the inner protocol.
	MaxDetail = 1024
	// minSize leaves at least one slot for each of the two buffers of a ring.
	minSize = 2
)

// Config configures a Ring.
type Config struct {
	// Process is the name of the process.
	Process string
	// Incarnation identifies the start of the process that records the events.
	Incarnation int64
	// Size is the capacity in events, half of it for request events; zero means
	// DefaultSize.
	Size int
	// RequestShare is the fraction of requests whose events are kept, at most 1.
	// Zero means DefaultRequestShare, a negative number keeps none.
	RequestShare float64
	// Now returns the wall-clock time shown with an event; nil means time.Now.
	Now func() time.Time
}

// Filter selects events. An empty field matches all events.
type Filter struct {
	Job      chestnutpond.JobID
	Request  string
	Upstream string
	// From (inclusive) and To (exclusive) bound the wall-clock time.
	From, To time.Time
}

// Match reports whether e matches the filter.
func (f Filter) Match(e chestnutpond.Event) bool {
	switch {
	case f.Job != "" && f.Job != e.Job:
		return false
	case f.Request != "" && f.Request != e.Request:
		return false
	case f.Upstream != "" && f.Upstream != e.Upstream:
		return false
	case !f.From.IsZero() && e.At.Before(f.From):
		return false
	case !f.To.IsZero() && !e.At.Before(f.To):
		return false
	}
	return true
}

// Ring keeps the newest events of one process. Its methods are safe for
// concurrent use. The lock is held only while a bounded number of pointers is
// copied, so Add never waits for a reader to process events.
type Ring struct {
	process     string
	incarnation int64
	threshold   uint64
	now         func() time.Time

	mu sync.Mutex
	// last is the sequence number of the newest event, 0 if there is none.
	last int64
	// requests holds events with a request and no job, others holds the rest.
	requests, others ringBuffer
}

var _ chestnutpond.EventSink = (*Ring)(nil)

// New returns an empty ring.
func New(c Config) *Ring {
	if c.Size <= 0 {
		c.Size = DefaultSize
	}
	if c.RequestShare == 0 {
		c.RequestShare = DefaultRequestShare
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	size := max(c.Size, minSize)
	return &Ring{
		process:     c.Process,
		incarnation: c.Incarnation,
		threshold:   threshold(c.RequestShare),
		now:         c.Now,
		requests:    ringBuffer{slots: make([]*chestnutpond.Event, size/2)},
		others:      ringBuffer{slots: make([]*chestnutpond.Event, size-size/2)},
	}
}

// Add records e and returns its ID. It returns the empty ID for an event of a
// request that is not sampled; such an event gets no sequence number.
func (r *Ring) Add(e chestnutpond.Event) chestnutpond.EventID {
	request := e.Request != "" && e.Job == ""
	if request && !r.sampled(e.Request) {
		return ""
	}
	e.Detail = truncate(e.Detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	e.Process = r.process
	e.Incarnation = r.incarnation
	e.Sequence = r.last
	e.At = r.now()
	e.ID = NewID(e.Process, e.Incarnation, e.Sequence)
	if request {
		r.requests.add(&e)
	} else {
		r.others.add(&e)
	}
	return e.ID
}

// Since returns the retained events that match the filter and whose sequence
// number is at least sequence, in ascending order and at most limit of them (zero
// means MaxRead). The second result, next, is the sequence number at which the
// next call continues. The third result is the number of events between sequence
// and next that were dropped, whether they matched or not.
func (r *Ring) Since(sequence int64, filter Filter, limit int) ([]chestnutpond.Event, int64, int64) {
	sequence = max(sequence, 1)
	if limit <= 0 || limit > MaxRead {
		limit = MaxRead
	}
	kept, last := r.eventsFrom(sequence)
	next := max(sequence, last+1)
	var selected []chestnutpond.Event
	seen := int64(0)
	for _, e := range kept {
		if filter.Match(*e) {
			if len(selected) == limit {
				next = e.Sequence
				break
			}
			selected = append(selected, *e)
		}
		seen++
	}
	return selected, next, next - sequence - seen
}

// Newest returns the newest events that match the filter, in ascending order and
// at most limit of them (zero means MaxRead). The second result is the sequence
// number at which a call of Since continues. The third result is the number of
// recorded events that were dropped.
func (r *Ring) Newest(filter Filter, limit int) ([]chestnutpond.Event, int64, int64) {
	if limit <= 0 || limit > MaxRead {
		limit = MaxRead
	}
	kept, last := r.eventsFrom(1)
	var selected []chestnutpond.Event
	for i := len(kept) - 1; i >= 0 && len(selected) < limit; i-- {
		if filter.Match(*kept[i]) {
			selected = append(selected, *kept[i])
		}
	}
	slices.Reverse(selected)
	return selected, last + 1, last - int64(len(kept))
}

// Dropped returns the number of recorded events that were dropped.
func (r *Ring) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last - int64(r.requests.len()+r.others.len())
}

// eventsFrom returns the retained events whose sequence number is at least
// sequence, in ascending order, and the sequence number of the newest event.
func (r *Ring) eventsFrom(sequence int64) ([]*chestnutpond.Event, int64) {
	r.mu.Lock()
	all := make([]*chestnutpond.Event, 0, r.requests.len()+r.others.len())
	all = r.requests.appendFrom(all, sequence)
	all = r.others.appendFrom(all, sequence)
	last := r.last
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b *chestnutpond.Event) int { return int(a.Sequence - b.Sequence) })
	return all, last
}

// truncate truncates a detail to at most MaxDetail bytes of valid UTF-8.
func truncate(detail string) string {
	if len(detail) <= MaxDetail {
		return detail
	}
	return strings.ToValidUTF8(detail[:MaxDetail], "")
}

// sampled reports whether a request is in the sample.
func (r *Ring) sampled(request string) bool {
	return xxhash.Sum64String(request) < r.threshold || r.threshold == math.MaxUint64
}

// threshold returns the hash below which a request is sampled.
func threshold(share float64) uint64 {
	switch {
	case !(share > 0):
		return 0
	case share >= 1:
		return math.MaxUint64
	}
	return uint64(share * math.MaxUint64)
}

// NewID returns the ID of an event.
func NewID(process string, incarnation, sequence int64) chestnutpond.EventID {
	id := process + "/" + strconv.FormatInt(incarnation, 10) + "/" + strconv.FormatInt(sequence, 10)
	return chestnutpond.EventID(id)
}

// ringBuffer is a circular buffer of events in ascending order of sequence number.
type ringBuffer struct {
	slots []*chestnutpond.Event
	// added is the number of events ever added; the next event goes into slot
	// added modulo the number of slots.
	added int
}

// add stores e, replacing the oldest event if the buffer is full.
func (b *ringBuffer) add(e *chestnutpond.Event) {
	b.slots[b.added%len(b.slots)] = e
	b.added++
}

// len returns the number of retained events.
func (b *ringBuffer) len() int { return min(b.added, len(b.slots)) }

// appendFrom appends to all the events whose sequence number is at least
// sequence.
func (b *ringBuffer) appendFrom(all []*chestnutpond.Event, sequence int64) []*chestnutpond.Event {
	for i := b.added - b.len(); i < b.added; i++ {
		if e := b.slots[i%len(b.slots)]; e.Sequence >= sequence {
			all = append(all, e)
		}
	}
	return all
}
