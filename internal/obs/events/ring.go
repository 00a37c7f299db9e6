// Package events keeps the newest events of a process in memory.
//
// A Ring implements chestnutpond.EventSink. It numbers the events of one
// incarnation of a process from 1 without gaps and keeps a bounded number of
// them; the oldest are dropped and counted. Events of requests are kept apart
// from all others, so that a flood of requests cannot push the events of jobs
// out. A request is kept or left out as a whole, by a hash of its identity, so
// all processes keep the same requests. Nothing is written to disk: the events
// are lost with the process.
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
	// DefaultSize is the number of events that a ring keeps.
	DefaultSize = 8192
	// DefaultRequestShare is the share of requests whose events are kept. At
	// 1,000 requests a second it leaves the newest 40 s of them in the ring.
	DefaultRequestShare = 0.1
	// MaxRead bounds the events that one call of Since returns.
	MaxRead = DefaultSize
	// MaxDetail bounds the detail of an event in bytes; the rest is cut off. With
	// it a whole ring fits into one message of the inner protocol.
	MaxDetail = 1024
	// minSize leaves at least one place for each of the two parts of a ring.
	minSize = 2
)

// Config configures a Ring.
type Config struct {
	// Process is the name of the process.
	Process string
	// Incarnation is the start of the process that the events belong to.
	Incarnation int64
	// Size is the number of events kept, half of it for events of requests;
	// zero means DefaultSize.
	Size int
	// RequestShare is the share of requests whose events are kept, up to 1.
	// Zero means DefaultRequestShare, a negative number keeps none.
	RequestShare float64
	// Now returns the time that people see beside an event; nil means time.Now.
	Now func() time.Time
}

// Filter selects events. An empty field selects all.
type Filter struct {
	Job      chestnutpond.JobID
	Request  string
	Upstream string
	// From and To bound the clock time: From is included, To is not.
	From, To time.Time
}

// Match reports whether the filter selects e.
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
// concurrent use. The lock is held only for a bounded copy of pointers, so Add
// never waits for a reader to use what it read.
type Ring struct {
	process     string
	incarnation int64
	threshold   uint64
	now         func() time.Time

	mu sync.Mutex
	// last is the sequence of the newest event, 0 if there is none.
	last int64
	// requests holds events that name a request and no job, others the rest.
	requests, others part
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
		requests:    part{slots: make([]*chestnutpond.Event, size/2)},
		others:      part{slots: make([]*chestnutpond.Event, size-size/2)},
	}
}

// Add records e and returns its id. It returns the empty id for an event of a
// request that is not in the sampled share; such an event takes no sequence.
func (r *Ring) Add(e chestnutpond.Event) chestnutpond.EventID {
	request := e.Request != "" && e.Job == ""
	if request && !r.sampled(e.Request) {
		return ""
	}
	e.Detail = shorten(e.Detail)
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

// Since returns the kept events from the sequence on that the filter selects,
// in ascending order and at most limit of them (zero means MaxRead). The next
// call continues at next. The third result is the number of events between
// sequence and next that the ring no longer keeps, whether selected or not.
func (r *Ring) Since(sequence int64, filter Filter, limit int) ([]chestnutpond.Event, int64, int64) {
	sequence = max(sequence, 1)
	if limit <= 0 || limit > MaxRead {
		limit = MaxRead
	}
	kept, last := r.kept(sequence)
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

// Newest returns the newest limit events that the filter selects, in ascending
// order (zero means MaxRead). The next call of Since continues at next. The third
// result is the number of recorded events that the ring no longer keeps.
func (r *Ring) Newest(filter Filter, limit int) ([]chestnutpond.Event, int64, int64) {
	if limit <= 0 || limit > MaxRead {
		limit = MaxRead
	}
	kept, last := r.kept(1)
	var selected []chestnutpond.Event
	for i := len(kept) - 1; i >= 0 && len(selected) < limit; i-- {
		if filter.Match(*kept[i]) {
			selected = append(selected, *kept[i])
		}
	}
	slices.Reverse(selected)
	return selected, last + 1, last - int64(len(kept))
}

// Dropped returns the number of events that were recorded and are no longer
// kept.
func (r *Ring) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last - int64(r.requests.len()+r.others.len())
}

// kept returns the kept events from the sequence on in ascending order, and the
// sequence of the newest event.
func (r *Ring) kept(sequence int64) ([]*chestnutpond.Event, int64) {
	r.mu.Lock()
	all := make([]*chestnutpond.Event, 0, r.requests.len()+r.others.len())
	all = r.requests.appendFrom(all, sequence)
	all = r.others.appendFrom(all, sequence)
	last := r.last
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b *chestnutpond.Event) int { return int(a.Sequence - b.Sequence) })
	return all, last
}

// shorten cuts a detail to MaxDetail bytes without a broken character.
func shorten(detail string) string {
	if len(detail) <= MaxDetail {
		return detail
	}
	return strings.ToValidUTF8(detail[:MaxDetail], "")
}

// sampled reports whether the events of a request are kept.
func (r *Ring) sampled(request string) bool {
	return xxhash.Sum64String(request) < r.threshold || r.threshold == math.MaxUint64
}

// threshold returns the hash below which a request is in the share.
func threshold(share float64) uint64 {
	switch {
	case !(share > 0):
		return 0
	case share >= 1:
		return math.MaxUint64
	}
	return uint64(share * math.MaxUint64)
}

// NewID returns the id of an event.
func NewID(process string, incarnation, sequence int64) chestnutpond.EventID {
	id := process + "/" + strconv.FormatInt(incarnation, 10) + "/" + strconv.FormatInt(sequence, 10)
	return chestnutpond.EventID(id)
}

// part is a ring of events in ascending order of sequence.
type part struct {
	slots []*chestnutpond.Event
	// added counts the events ever added; the next goes to added modulo the
	// number of slots.
	added int
}

// add replaces the oldest event by e once the part is full.
func (p *part) add(e *chestnutpond.Event) {
	p.slots[p.added%len(p.slots)] = e
	p.added++
}

// len returns the number of events kept.
func (p *part) len() int { return min(p.added, len(p.slots)) }

// appendFrom appends the events from the sequence on.
func (p *part) appendFrom(all []*chestnutpond.Event, sequence int64) []*chestnutpond.Event {
	for i := p.added - p.len(); i < p.added; i++ {
		if e := p.slots[i%len(p.slots)]; e.Sequence >= sequence {
			all = append(all, e)
		}
	}
	return all
}
