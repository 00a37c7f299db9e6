package bench

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

// Policy is the part of place.Core that the loads use.
type Policy interface {
	SetDocument(now time.Duration, doc chestnutpond.Document)
	PutWorker(now time.Duration, w place.Worker)
	Submit(now time.Duration, spec chestnutpond.JobSpec, attempt int64)
	Running(now time.Duration, id chestnutpond.JobID, attempt int64)
	TaskFailed(now time.Duration, id chestnutpond.JobID, attempt int64, f place.Failure)
	Stopped(now time.Duration, id chestnutpond.JobID, attempt int64)
	Remove(now time.Duration, id chestnutpond.JobID)
	Decide(now time.Duration) []place.Action
	NextWake(now time.Duration) (time.Duration, bool)
}

// Candidate is a policy of the table.
type Candidate struct {
	Name string
	New  func(seed uint64) Policy
	// Baseline marks the policies that the targets compare with.
	Baseline bool
}

// Candidates returns the policies of the table: the baselines, then the core.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "first_fit", Baseline: true, New: func(uint64) Policy { return newFirstFit(false) }},
		{Name: "strict_priority", Baseline: true, New: func(uint64) Policy { return newFirstFit(true) }},
		{Name: "core_v1", New: func(seed uint64) Policy {
			return place.New(place.Config{Region: region, Seed: seed, DisabledFeatures: place.FeaturesAll})
		}},
		{Name: "core_v2", New: func(seed uint64) Policy {
			return place.New(place.Config{Region: region, Seed: seed, DisabledFeatures: place.FeatureUrgentFirst})
		}},
		{Name: "core", New: func(seed uint64) Policy { return place.New(place.Config{Region: region, Seed: seed}) }},
	}
}

// baseJob is a job of a baseline.
type baseJob struct {
	spec    chestnutpond.JobSpec
	attempt int64
	seq     int
	tries   int
	held    []chestnutpond.Placement
}

// firstFit starts the waiting jobs in arrival order, or by class and arrival, on
// the first accelerators that fit. A job that does not fit is passed over. It
// knows no guarantees, accounts or worker health.
type firstFit struct {
	byClass bool
	workers []*baseWorker
	byName  map[string]*baseWorker
	jobs    map[chestnutpond.JobID]*baseJob
	// queues hold the waiting jobs in order, by class rank if byClass.
	queues [3][]*baseJob
	seq    int
	gone   []*baseJob
	dirty  bool
}

type baseWorker struct {
	place.Worker
	busy []bool
	free int
}

func newFirstFit(byClass bool) *firstFit {
	return &firstFit{byClass: byClass, byName: map[string]*baseWorker{}, jobs: map[chestnutpond.JobID]*baseJob{}}
}

// SetDocument implements Policy; the baseline knows no guarantees.
func (p *firstFit) SetDocument(time.Duration, chestnutpond.Document) {}

// PutWorker implements Policy.
func (p *firstFit) PutWorker(_ time.Duration, w place.Worker) {
	b := &baseWorker{Worker: w, busy: make([]bool, w.Accelerators), free: w.Accelerators}
	p.workers = append(p.workers, b)
	p.byName[w.Name] = b
}

// Submit implements Policy.
func (p *firstFit) Submit(_ time.Duration, spec chestnutpond.JobSpec, attempt int64) {
	p.seq++
	j := &baseJob{spec: spec, attempt: attempt, seq: p.seq}
	p.jobs[spec.ID] = j
	p.enqueue(j)
}

func (p *firstFit) enqueue(j *baseJob) {
	q := &p.queues[0]
	if p.byClass {
		q = &p.queues[min(j.spec.Class.Rank(), 2)]
	}
	i := sort.Search(len(*q), func(i int) bool { return (*q)[i].seq > j.seq })
	*q = append(*q, nil)
	copy((*q)[i+1:], (*q)[i:])
	(*q)[i] = j
	p.dirty = true
}

// Running implements Policy.
func (p *firstFit) Running(time.Duration, chestnutpond.JobID, int64) {}

// TaskFailed implements Policy. The job ends as impossible after its tries.
func (p *firstFit) TaskFailed(_ time.Duration, id chestnutpond.JobID, _ int64, _ place.Failure) {
	j := p.jobs[id]
	p.release(j)
	j.tries++
	if j.tries >= j.spec.MaxAttempts {
		p.gone = append(p.gone, j)
		return
	}
	p.enqueue(j)
}

// Stopped implements Policy.
func (p *firstFit) Stopped(_ time.Duration, id chestnutpond.JobID, _ int64) {
	p.release(p.jobs[id])
	p.enqueue(p.jobs[id])
}

// Remove implements Policy.
func (p *firstFit) Remove(_ time.Duration, id chestnutpond.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.release(j)
	delete(p.jobs, id)
	for i := range p.queues {
		for k, o := range p.queues[i] {
			if o == j {
				p.queues[i] = append(p.queues[i][:k], p.queues[i][k+1:]...)
				return
			}
		}
	}
}

func (p *firstFit) release(j *baseJob) {
	for _, h := range j.held {
		w := p.byName[h.Worker]
		for _, i := range h.Accelerators {
			w.busy[i] = false
		}
		w.free += len(h.Accelerators)
		p.dirty = true
	}
	j.held = nil
}

// NextWake implements Policy.
func (p *firstFit) NextWake(time.Duration) (time.Duration, bool) { return 0, false }

// Decide implements Policy.
func (p *firstFit) Decide(time.Duration) []place.Action {
	var out []place.Action
	for _, j := range p.gone {
		out = append(out, place.Action{Kind: place.ActionGiveUp, Job: j.spec.ID, Attempt: j.attempt})
	}
	p.gone = nil
	if !p.dirty {
		return out
	}
	p.dirty = false
	failed := map[chestnutpond.Shape]bool{}
	for i, q := range p.queues {
		rest := q[:0]
		for _, j := range q {
			if failed[j.spec.Shape] || !p.fit(j) {
				failed[j.spec.Shape] = true
				rest = append(rest, j)
				continue
			}
			j.attempt++
			out = append(out, place.Action{Kind: place.ActionStart, Job: j.spec.ID, Attempt: j.attempt, Placements: j.held})
		}
		p.queues[i] = rest
	}
	return out
}

// fit takes the first workers that have room, in the order of the fleet.
func (p *firstFit) fit(j *baseJob) bool {
	n := j.spec.Shape.Accelerators
	for _, w := range p.workers {
		if w.free >= n {
			p.hold(j, w, n)
			return true
		}
	}
	if j.spec.Shape.Adjacency == chestnutpond.AdjacencyWorker {
		return false
	}
	for i := range p.workers {
		if p.span(j, p.workers[i:], n) {
			return true
		}
	}
	return false
}

// span takes whole workers and a remainder, beginning with the first of the
// workers, from those that are as near to it as the shape demands.
func (p *firstFit) span(j *baseJob, workers []*baseWorker, n int) bool {
	first := workers[0]
	var whole []*baseWorker
	var part *baseWorker
	rest := n
	for _, w := range workers {
		if w.Zone != first.Zone || j.spec.Shape.Adjacency == chestnutpond.AdjacencyRack && w.Rack != first.Rack {
			continue
		}
		switch {
		case w.free == w.Accelerators && rest >= w.free:
			whole = append(whole, w)
			rest -= w.free
		case part == nil && w.free >= n%workerSize:
			part = w
		}
	}
	if rest > 0 && (part == nil || rest >= workerSize) {
		return false
	}
	for _, w := range whole {
		p.hold(j, w, w.free)
	}
	if rest > 0 {
		p.hold(j, part, rest)
	}
	return true
}

func (p *firstFit) hold(j *baseJob, w *baseWorker, n int) {
	h := chestnutpond.Placement{Member: len(j.held), Worker: w.Name, Incarnation: w.Incarnation}
	for i := 0; len(h.Accelerators) < n; i++ {
		if !w.busy[i] {
			w.busy[i] = true
			h.Accelerators = append(h.Accelerators, i)
		}
	}
	w.free -= n
	j.held = append(j.held, h)
}
