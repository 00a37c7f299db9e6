package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// maxInquiryWorkers limits the workers of one inquiry. The users' objectives
	// allow for one call with 30 workers per step.
	maxInquiryWorkers = 30
	// minInquiryWorkers is the least number of workers of an inquiry while other steps wait
	// for theirs, unless fewer are left.
	minInquiryWorkers = 4
	// ticketMargin is the least remaining validity of a ticket that is used. It
	// covers the record, the order and the start.
	ticketMargin = 500 * time.Millisecond
	// placementTime is the time from the answer to an inquiry to the end of the next round.
	placementTime = 250 * time.Millisecond
	// inquiryRetryDelay is the delay after an inquiry that got no answer.
	inquiryRetryDelay = 200 * time.Millisecond
	// maxInquiryBackoff bounds the delay between two inquiries for a step that is placed
	// after neither, although there is capacity for it.
	maxInquiryBackoff = 4 * time.Second
	// repeatedInterval is the number of inquiries after which a step that was inquired about
	// before goes ahead of the others.
	repeatedInterval = 8
)

// advice holds the answers of the advice service for one step.
type advice struct {
	// workers has the answers by worker id.
	workers map[string]workerAdvice
	// pending means that an inquiry is in flight; notBefore is the earliest time of
	// the next one.
	pending   bool
	notBefore time.Duration
	// inquiredAt is when the last inquiry was made, or 0.
	inquiredAt time.Duration
	// left is how many workers the current round of inquiries for a gang still leaves out. A
	// round inquires about each worker once.
	left int
	// fruitless counts the inquiries that brought tickets since a task of the step was last
	// placed.
	fruitless int
}

// workerAdvice is the advice service's answer for one incarnation of a worker.
type workerAdvice struct {
	life chestnutpond.WorkerIncarnation
	// ticket is empty if the worker may not run the step.
	ticket  string
	expires time.Duration
}

// Inquiry is a request to the advice service.
type Inquiry struct {
	Step    chestnutpond.StepRef
	Workers []string
	// ResponseTime is the response time that the queue's policy states.
	ResponseTime time.Duration
}

// leastValidity returns the least remaining validity of a ticket that is used.
func leastValidity(terms *chestnutpond.AdvicePolicy) time.Duration {
	return min(ticketMargin, terms.Valid/2)
}

// inquirySize returns for how many workers the service answers early enough that their
// tickets can still be used. It is at least one.
func inquirySize(terms *chestnutpond.AdvicePolicy) int {
	left := terms.Valid - leastValidity(terms) - placementTime - terms.Base
	if terms.PerWorker <= 0 {
		return maxInquiryWorkers
	}
	return int(min(max(left/terms.PerWorker, 1), maxInquiryWorkers))
}

// ticketExpiry returns when the tickets of an answer expire. They are counted from the inquiry,
// as the service may have issued them at any time since. If none could be used then, they
// are counted from the answer.
func ticketExpiry(terms *chestnutpond.AdvicePolicy, sent, answered time.Duration) time.Duration {
	if terms.Base+terms.PerWorker+leastValidity(terms) < terms.Valid {
		return sent + terms.Valid
	}
	return answered + terms.Valid
}

// ticket returns the worker's ticket for the step; false if it has no valid one.
// The ticket is empty on queues without advice.
func (p *Planner) ticket(now time.Duration, s *step, w *worker) (string, bool) {
	terms := s.occurrence.job.graph.Queue.Advice
	if terms == nil {
		return "", true
	}
	a, ok := s.advice.workers[w.id]
	return a.ticket, ok && a.life == w.life && a.ticket != "" && now+leastValidity(terms) < a.expires
}

// denied reports whether the advice service has denied the step to this incarnation of the
// worker.
func (s *step) denied(w *worker) bool {
	a, ok := s.advice.workers[w.id]
	return ok && a.life == w.life && a.ticket == ""
}

// NextInquiry returns the next inquiry to make; false if there is none. A gang that lacks
// tickets for some workers comes first, as the others expire, then the steps that have had no
// tickets since a task of them was last placed, by priority, last inquiry and acceptance, then
// the others, the one whose last inquiry is oldest first. The caller must report the outcome through RecordAdvice or RecordAdviceFailure.
func (p *Planner) NextInquiry(now time.Duration) (Inquiry, bool) {
	var unfinished, first, repeated []*step
	for _, j := range p.active {
		if j.phase.Final() || j.graph.Queue.Advice == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				switch {
				case !s.open || s.done || s.advice.pending || now < s.advice.notBefore || s.waitingWidth(now) == 0:
				case s.advice.left > 0:
					unfinished = append(unfinished, s)
				case s.advice.fruitless == 0:
					first = append(first, s)
				default:
					repeated = append(repeated, s)
				}
			}
		}
	}
	slices.SortStableFunc(first, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(a.occurrence.job.graph.Queue.Priority, b.occurrence.job.graph.Queue.Priority),
			cmp.Compare(a.advice.inquiredAt, b.advice.inquiredAt),
		)
	})
	slices.SortStableFunc(repeated, func(a, b *step) int { return cmp.Compare(a.advice.inquiredAt, b.advice.inquiredAt) })
	order := slices.Concat(unfinished, first, repeated)
	if p.inquiries%repeatedInterval == repeatedInterval-1 {
		order = slices.Concat(unfinished, repeated, first)
	}
	capacity := expectedCapacity{planner: p, now: now, found: map[capacityNeed]bool{}}
	for _, s := range order {
		if q, ok := p.nextInquiry(now, s, capacity, len(order) > 1); ok {
			p.inquiries++
			return q, true
		}
	}
	return Inquiry{}, false
}

// expectedCapacity caches whether any worker is expected to have capacity for a task before the
// tickets of an inquiry expire.
type expectedCapacity struct {
	planner *Planner
	now     time.Duration
	found   map[capacityNeed]bool
}

// capacityNeed is what the tasks of a step need of a worker.
type capacityNeed struct {
	service, label string
	need           chestnutpond.Resources
	// until is when the capacity is needed at the latest.
	until time.Duration
	// preempts means that the step may preempt other runs.
	preempts bool
}

// covers reports whether a worker is expected to have capacity for a task of the step. A step
// that may preempt needs a worker that is large enough.
func (c expectedCapacity) covers(s *step) bool {
	queue := &s.occurrence.job.graph.Queue
	key := capacityNeed{
		service: queue.Service, label: s.def.Label, need: s.def.Reserved(),
		until: c.now + queue.Advice.Valid - leastValidity(queue.Advice), preempts: queue.Priority == 0,
	}
	if found, ok := c.found[key]; ok {
		return found
	}
	c.found[key] = slices.ContainsFunc(c.planner.sortedWorkers, func(w *worker) bool {
		if !w.usable() || w.info.Service != key.service || !w.info.HasLabel(key.label) {
			return false
		}
		return key.preempts && w.info.Capacity.Covers(key.need) || c.planner.freeAt(c.now, w, key.until).Covers(key.need)
	})
	return c.found[key]
}

// nextInquiry returns the inquiry that the step needs now; false if it needs none, or if its
// tickets would expire unused. If other steps wait for theirs, it names about as many workers as
// the step has tasks, because the service takes its time for each.
func (p *Planner) nextInquiry(now time.Duration, s *step, capacity expectedCapacity, others bool) (Inquiry, bool) {
	left := s.advice.left
	s.advice.left = 0
	units := s.units(now)
	if len(units) == 0 || !capacity.covers(s) {
		return Inquiry{}, false
	}
	waiting := len(s.waiting(now))
	targets := p.inquiryTargets(now, s, waiting)
	if len(targets) == 0 || p.impossible(units[0]) != "" {
		return Inquiry{}, false
	}
	if left == 0 {
		left = len(targets)
	}
	terms := s.occurrence.job.graph.Queue.Advice
	size := min(len(targets), inquirySize(terms))
	if others && !s.def.Gang {
		size = min(size, max(minInquiryWorkers, waiting))
	}
	q := Inquiry{Step: s.ref()}
	for _, w := range targets[:size] {
		q.Workers = append(q.Workers, w.id)
	}
	q.ResponseTime = terms.Base + time.Duration(len(q.Workers))*terms.PerWorker
	s.advice.pending, s.advice.inquiredAt = true, now
	if s.def.Gang {
		s.advice.left = max(0, min(left, len(targets))-len(q.Workers))
	}
	return q, true
}

// inquiryTargets returns the workers to inquire about, those on the rack of the step's data and
// those with free capacity first; none if there are tickets for as many tasks as wait.
func (p *Planner) inquiryTargets(now time.Duration, s *step, waiting int) []*worker {
	need := s.def.Reserved()
	var targets []*worker
	for _, w := range p.sortedWorkers {
		if !w.usable() || w.info.Service != s.occurrence.job.graph.Queue.Service || !w.info.HasLabel(s.def.Label) || s.denied(w) {
			continue
		}
		if _, ok := p.ticket(now, s, w); ok {
			if w.free().Covers(need) {
				// This worker can already run one of the waiting tasks.
				waiting--
			}
			continue
		}
		targets = append(targets, w)
	}
	if waiting <= 0 {
		return nil
	}
	// The sort is stable, so each group stays in order of id.
	slices.SortStableFunc(targets, func(a, b *worker) int {
		near := -compareBool(a.info.Rack == s.def.DataRack, b.info.Rack == s.def.DataRack)
		if s.def.DataRack == "" {
			near = 0
		}
		return cmp.Or(near, -compareBool(a.free().Covers(need), b.free().Covers(need)))
	})
	return targets
}

// RecordAdvice records the answer to an inquiry that was sent at the given time. Workers
// without a ticket are denied.
func (p *Planner) RecordAdvice(now, sent time.Duration, q Inquiry, tickets map[string]string) {
	s := p.stepOf(q.Step)
	if s == nil {
		return
	}
	s.advice.pending = false
	if len(tickets) > 0 {
		s.advice.backOff(sent)
	}
	expires := ticketExpiry(s.occurrence.job.graph.Queue.Advice, sent, now)
	if s.advice.workers == nil {
		s.advice.workers = map[string]workerAdvice{}
	}
	for _, id := range q.Workers {
		if w := p.workers[id]; w != nil {
			s.advice.workers[id] = workerAdvice{life: w.life, ticket: tickets[id], expires: expires}
		}
	}
}

// backOff delays the next inquiry after several that brought tickets and were followed by no
// start. Workers that are denied are not inquired about again.
func (a *advice) backOff(sent time.Duration) {
	a.fruitless++
	if a.fruitless > 1 && a.left == 0 {
		a.notBefore = sent + min(maxInquiryBackoff, time.Second<<min(a.fruitless-2, 8))
	}
}

// RecordAdviceFailure records that an inquiry got no answer.
func (p *Planner) RecordAdviceFailure(now time.Duration, q Inquiry) {
	if s := p.stepOf(q.Step); s != nil {
		s.advice.pending, s.advice.left, s.advice.notBefore = false, 0, now+inquiryRetryDelay
	}
}

// stepOf returns the step that ref identifies, or nil.
func (p *Planner) stepOf(ref chestnutpond.StepRef) *step {
	j := p.jobs[ref.Job]
	if j == nil || ref.Occurrence >= len(j.occurrences) || ref.Step >= len(j.graph.Steps) {
		return nil
	}
	return j.occurrences[ref.Occurrence].steps[ref.Step]
}

// ref returns the step's reference.
func (s *step) ref() chestnutpond.StepRef {
	return chestnutpond.StepRef{Job: s.occurrence.job.graph.ID, Occurrence: s.occurrence.number, Step: s.number}
}
