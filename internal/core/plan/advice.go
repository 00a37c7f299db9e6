package plan

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// maxInquiryWorkers limits the workers of one inquiry. The users' objectives
	// allow for one call with 30 workers per step.
	maxInquiryWorkers = 30
	// ticketMargin is the least remaining validity of a ticket that is used. It
	// covers the record, the order and the start.
	ticketMargin = 500 * time.Millisecond
	// inquiryRetryDelay is the delay after an inquiry that got no answer.
	inquiryRetryDelay = 200 * time.Millisecond
)

// advice holds the answers of the advice service for one step.
type advice struct {
	// workers has the answers by worker id.
	workers map[string]workerAdvice
	// pending means that an inquiry is in flight; notBefore is the earliest time of
	// the next one.
	pending   bool
	notBefore time.Duration
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

// ticket returns the worker's ticket for the step; false if it has no valid one.
// The ticket is empty on queues without advice.
func (p *Planner) ticket(now time.Duration, s *step, w *worker) (string, bool) {
	if s.occurrence.job.graph.Queue.Advice == nil {
		return "", true
	}
	a, ok := s.advice.workers[w.id]
	return a.ticket, ok && a.life == w.life && a.ticket != "" && now+ticketMargin < a.expires
}

// denied reports whether the advice service has denied the step to this incarnation of the
// worker.
func (s *step) denied(w *worker) bool {
	a, ok := s.advice.workers[w.id]
	return ok && a.life == w.life && a.ticket == ""
}

// NextInquiry returns the next inquiry to make, for the step of the earliest accepted
// job that waits for advice; false if there is none. The caller must report the
// outcome through RecordAdvice or RecordAdviceFailure.
func (p *Planner) NextInquiry(now time.Duration) (Inquiry, bool) {
	for _, j := range p.active {
		if j.phase.Final() || j.graph.Queue.Advice == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if q, ok := p.nextInquiry(now, s); ok {
					return q, true
				}
			}
		}
	}
	return Inquiry{}, false
}

// nextInquiry returns the inquiry that the step needs now; false if it needs none.
func (p *Planner) nextInquiry(now time.Duration, s *step) (Inquiry, bool) {
	waiting := len(s.waiting(now))
	if !s.open || s.done || waiting == 0 || s.advice.pending || now < s.advice.notBefore {
		return Inquiry{}, false
	}
	var targets []*worker
	for _, w := range p.sortedWorkers {
		if !w.usable() || w.info.Service != s.occurrence.job.graph.Queue.Service || !w.info.HasLabel(s.def.Label) || s.denied(w) {
			continue
		}
		if _, ok := p.ticket(now, s, w); ok {
			if w.free().Covers(s.def.Reserved()) {
				// This worker can already run one of the waiting tasks.
				waiting--
			}
			continue
		}
		targets = append(targets, w)
	}
	if waiting <= 0 || len(targets) == 0 {
		return Inquiry{}, false
	}
	// Workers with free capacity come first. The sort is stable, so each group
	// stays in order of id.
	slices.SortStableFunc(targets, func(a, b *worker) int {
		need := s.def.Reserved()
		return -compareBool(a.free().Covers(need), b.free().Covers(need))
	})
	q := Inquiry{Step: s.ref()}
	for _, w := range targets[:min(len(targets), maxInquiryWorkers)] {
		q.Workers = append(q.Workers, w.id)
	}
	terms := s.occurrence.job.graph.Queue.Advice
	q.ResponseTime = terms.Base + time.Duration(len(q.Workers))*terms.PerWorker
	s.advice.pending = true
	return q, true
}

// RecordAdvice records the answer to an inquiry that was sent at the given time. Workers
// without a ticket are denied.
func (p *Planner) RecordAdvice(sent time.Duration, q Inquiry, tickets map[string]string) {
	s := p.stepOf(q.Step)
	if s == nil {
		return
	}
	s.advice.pending = false
	if s.advice.workers == nil {
		s.advice.workers = map[string]workerAdvice{}
	}
	for _, id := range q.Workers {
		if w := p.workers[id]; w != nil {
			s.advice.workers[id] = workerAdvice{life: w.life, ticket: tickets[id], expires: sent + s.occurrence.job.graph.Queue.Advice.Valid}
		}
	}
}

// RecordAdviceFailure records that an inquiry got no answer.
func (p *Planner) RecordAdviceFailure(now time.Duration, q Inquiry) {
	if s := p.stepOf(q.Step); s != nil {
		s.advice.pending, s.advice.notBefore = false, now+inquiryRetryDelay
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
