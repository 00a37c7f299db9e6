package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// adviceService answers one inquiry at a time, after the response time that it states.
type adviceService struct {
	b     *testbed
	terms chestnutpond.AdvicePolicy
	// open is the inquiry that is being answered, sent when it was made.
	open *Inquiry
	sent time.Duration
	// denied are workers that may run nothing.
	denied map[string]bool
	// count counts the inquiries by job, asked the workers of all of them.
	count map[chestnutpond.JobID]int
	asked int
}

func (b *testbed) newAdviceService(terms chestnutpond.AdvicePolicy) *adviceService {
	return &adviceService{b: b, terms: terms, count: map[chestnutpond.JobID]int{}}
}

// submit submits a job of a queue with advice.
func (s *adviceService) submit(priority int, def chestnutpond.Step) chestnutpond.JobID {
	g := s.b.newGraph(priority, "stock", def)
	g.Queue.Advice = &s.terms
	s.b.p.Accept(g)
	return g.ID
}

// play plays rounds for the given time, and ends runs after the given work.
func (s *adviceService) play(d, work time.Duration) {
	b := s.b
	for end := b.now + d; b.now < end; b.advance(50*time.Millisecond, 0) {
		b.round()
		for _, w := range b.workers {
			for r := range w.running {
				if began := b.p.jobs[r.Task.Job].occurrences[0].steps[0].tasks[r.Task.Index].current; work > 0 && b.now-began.assigned >= work {
					w.end(r, chestnutpond.RunDone)
				}
			}
		}
		s.answer()
	}
}

func (s *adviceService) answer() {
	b := s.b
	if s.open != nil && b.now-s.sent >= s.open.ResponseTime {
		tickets := map[string]string{}
		for _, id := range s.open.Workers {
			if !s.denied[id] {
				tickets[id] = "ticket"
			}
		}
		b.p.RecordAdvice(b.now, s.sent, *s.open, tickets)
		s.open = nil
	}
	if s.open == nil {
		if q, ok := b.p.NextInquiry(b.now); ok {
			s.open, s.sent = &q, b.now
			s.count[q.Step.Job]++
			s.asked += len(q.Workers)
		}
	}
}

var (
	oneTask   = chestnutpond.Step{Count: 1, Need: accelerators(1), Estimate: time.Second}
	slowTerms = chestnutpond.AdvicePolicy{Base: 200 * time.Millisecond, PerWorker: 40 * time.Millisecond, Valid: 2 * time.Second}
)

// TestStepsThatCannotStartTakeNoInquiries guards against jobs that never begin because the
// inquiries for earlier ones, which cannot be placed, leave none for them.
func TestStepsThatCannotStartTakeNoInquiries(t *testing.T) {
	perpetual := chestnutpond.Step{Count: 2, Need: accelerators(5), PerWorker: 1, Perpetual: true, Estimate: time.Second}
	for name, c := range map[string]struct {
		hopeless int
		priority int
		def      chestnutpond.Step
		// beside holds capacity on all but one worker.
		beside bool
		// most bounds the inquiries for all hopeless jobs in 20 s.
		most int
	}{
		"no worker is large enough":        {3, 1, chestnutpond.Step{Count: 1, Need: accelerators(16), Estimate: time.Second}, false, 0},
		"as many as a thousand":            {1000, 1, chestnutpond.Step{Count: 1, Need: accelerators(16), Estimate: time.Second}, false, 0},
		"urgent, and no worker is":         {3, 0, chestnutpond.Step{Count: 1, Need: accelerators(16), Estimate: time.Second}, false, 0},
		"gang for more workers":            {3, 1, chestnutpond.Step{Count: 9, Need: accelerators(8), Gang: true, Estimate: time.Second}, false, 0},
		"no worker has the label":          {3, 1, chestnutpond.Step{Count: 1, Need: accelerators(1), Label: "b", Estimate: time.Second}, false, 0},
		"capacity never comes":             {3, 1, chestnutpond.Step{Count: 1, Need: accelerators(8), Estimate: time.Second}, true, 0},
		"urgent, and nothing may be taken": {3, 0, chestnutpond.Step{Count: 1, Need: accelerators(8), Estimate: time.Second}, true, 30},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4, 4)
			s := b.newAdviceService(slowTerms)
			if c.beside {
				perpetual.Count = len(b.workers)
				b.submit(0, "stock", perpetual)
				b.round()
			}
			for range c.hopeless {
				s.submit(c.priority, c.def)
			}
			s.play(time.Second, 0)
			var sound []chestnutpond.JobID
			for range 10 {
				sound = append(sound, s.submit(1, oneTask))
				s.play(2*time.Second, time.Second)
			}
			s.play(2*time.Second, time.Second)
			hopeless := 0
			for id, n := range s.count {
				if b.p.jobs[id].graph.Steps[0].Need == c.def.Need && b.p.jobs[id].graph.Steps[0].Label == c.def.Label {
					hopeless += n
				}
			}
			for _, id := range sound {
				assert.Equal(t, b.phase(id), chestnutpond.JobCompleted, "job %s", id)
			}
			assert.Assert(t, hopeless <= c.most, "%d inquiries for jobs that cannot start", hopeless)
		})
	}
}

// TestLargerWorkerMakesStepPossible guards against a step that is never inquired about again after
// no worker was large enough for it.
func TestLargerWorkerMakesStepPossible(t *testing.T) {
	b := newTestbed(t, 2)
	s := b.newAdviceService(slowTerms)
	id := s.submit(1, chestnutpond.Step{Count: 1, Need: accelerators(16), Estimate: time.Second})
	s.play(5*time.Second, time.Second)
	assert.Equal(t, s.asked, 0)
	w := b.addWorker("w9", "r1")
	w.info.Capacity.Accelerators = 16
	s.play(3*time.Second, time.Second)
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
}

// TestInquiriesOfASlowService guards against jobs that never begin because the answer about all
// workers takes longer than its tickets count.
func TestInquiriesOfASlowService(t *testing.T) {
	gang := chestnutpond.Step{Count: 8, Need: accelerators(8), Gang: true, Estimate: time.Second}
	for name, c := range map[string]struct {
		terms chestnutpond.AdvicePolicy
		def   chestnutpond.Step
	}{
		"longer for all workers":      {chestnutpond.AdvicePolicy{Base: 200 * time.Millisecond, PerWorker: 360 * time.Millisecond, Valid: 3 * time.Second}, oneTask},
		"longer for one worker":       {chestnutpond.AdvicePolicy{Base: 2 * time.Second, PerWorker: time.Second, Valid: 2 * time.Second}, oneTask},
		"less valid than the margin":  {chestnutpond.AdvicePolicy{Base: 10 * time.Millisecond, Valid: 400 * time.Millisecond}, oneTask},
		"gang that takes two answers": {chestnutpond.AdvicePolicy{Base: 10 * time.Millisecond, PerWorker: 200 * time.Millisecond, Valid: 2500 * time.Millisecond}, gang},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4, 4)
			s := b.newAdviceService(c.terms)
			id := s.submit(1, c.def)
			other := s.submit(1, oneTask)
			s.play(15*time.Second, time.Second)
			assert.Equal(t, b.phase(id), chestnutpond.JobCompleted)
			assert.Equal(t, b.phase(other), chestnutpond.JobCompleted)
		})
	}
}

// TestInquiriesUntilAWorkerIsAllowed guards against a job that begins late because answers that
// deny all workers delay the inquiries about the others.
func TestInquiriesUntilAWorkerIsAllowed(t *testing.T) {
	b := newTestbed(t, 100, 100)
	s := b.newAdviceService(chestnutpond.AdvicePolicy{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, Valid: 2 * time.Second})
	s.denied = map[string]bool{}
	for _, w := range b.workers {
		s.denied[w.info.ID] = w.info.ID != "w50"
	}
	id := s.submit(1, oneTask)
	s.play(2*time.Second, time.Second)
	assert.Equal(t, b.phase(id), chestnutpond.JobCompleted, "%d inquiries", s.count[id])
}

// TestFailedInquiryGivesUpTheTurn guards against a gang that is inquired about again and again
// while the service fails for it, and keeps other jobs from starting.
func TestFailedInquiryGivesUpTheTurn(t *testing.T) {
	b := newTestbed(t, 4, 4)
	s := b.newAdviceService(chestnutpond.AdvicePolicy{Base: 10 * time.Millisecond, PerWorker: 400 * time.Millisecond, Valid: 2500 * time.Millisecond})
	gang := s.submit(1, chestnutpond.Step{Count: 8, Need: accelerators(8), Gang: true, Estimate: time.Second})
	b.round()
	q, ok := b.p.NextInquiry(b.now)
	assert.Assert(t, ok && q.Step.Job == gang)
	b.p.RecordAdviceFailure(b.now, q)
	b.advance(inquiryRetryDelay, 0)
	other := s.submit(1, oneTask)
	b.round()
	q, ok = b.p.NextInquiry(b.now)
	assert.Assert(t, ok)
	assert.Equal(t, q.Step.Job, other)
}

// TestInquiriesUnderLoad guards against jobs that wait for their inquiries because the earlier ones
// name more workers than their steps need.
func TestInquiriesUnderLoad(t *testing.T) {
	for name, denied := range map[string]map[string]bool{
		"all workers are allowed": nil,
		"half of them are denied": {"w1": true, "w3": true, "w5": true, "w7": true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4, 4)
			s := b.newAdviceService(slowTerms)
			s.denied = denied
			var ids []chestnutpond.JobID
			for range 60 {
				ids = append(ids, s.submit(1, oneTask))
				s.play(400*time.Millisecond, time.Second)
			}
			s.play(3*time.Second, time.Second)
			for _, id := range ids {
				assert.Equal(t, b.phase(id), chestnutpond.JobCompleted, "job %s", id)
			}
		})
	}
}
