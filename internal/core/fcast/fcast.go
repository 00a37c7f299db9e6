package fcast

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// preemptionDelay is how long urgent work waits for the runs that it preempts: a decision
	// is stored, sent out and carried out.
	preemptionDelay = 300 * time.Millisecond
	// maxWaiting limits the steps of waiting work that a forecast places. Those beyond it are
	// ignored, so the work behind them is predicted to start earlier.
	maxWaiting = 512
)

// Forecaster computes digests. It retains memory between calls, and is not safe for
// concurrent use.
type Forecaster struct {
	profile profile
}

// New returns a Forecaster.
func New() *Forecaster { return &Forecaster{} }

// Compute predicts the starts of one more job of each class of the snapshot. A class that
// would start at once, or that the workers cannot hold even without runs, is left out of the
// digest: for the first there is capacity, for the second nothing is known.
func (f *Forecaster) Compute(s Snapshot) Digest {
	s.Waiting = s.Waiting[:min(len(s.Waiting), maxWaiting)]
	d := Digest{Accounts: limitAccounts(s.Accounts)}
	results := make([][]Class, len(s.Queues))
	// Work of priority 0 may preempt all other runs; work of other priorities none.
	f.simulate(s, results, func(priority int) bool { return priority == 0 }, 0)
	f.simulate(s, results, func(priority int) bool { return priority != 0 }, noPreemption)
	for i, q := range s.Queues {
		if len(results[i]) > 0 {
			d.Queues = append(d.Queues, Queue{Name: q.Name, Duration: q.Duration, Capacity: q.Capacity, Classes: results[i]})
		}
	}
	return d
}

// noPreemption is at least the priority number of any queue.
const noPreemption = 1 << 30

// simulate adds the forecasts of the queues whose priority is selected.
func (f *Forecaster) simulate(s Snapshot, results [][]Class, selected func(priority int) bool, preempted int) {
	var priorities []int
	for _, q := range s.Queues {
		if selected(q.Priority) && len(q.Classes) > 0 {
			priorities = append(priorities, q.Priority)
		}
	}
	if len(priorities) == 0 {
		return
	}
	slices.Sort(priorities)
	f.profile.fill(s.Workers, preempted, preemptionDelay)
	next := 0
	for _, priority := range slices.Compact(priorities) {
		for next < len(s.Waiting) && s.Waiting[next].Priority < priority {
			next = f.placePriority(s.Waiting, next, func(Standing) {})
		}
		behind := func(standing Standing) {
			switch standing {
			case OnTime:
				f.probe(s, results, priority)
			case Late:
				f.probeBehindLate(s, results, priority)
			}
		}
		if next < len(s.Waiting) && s.Waiting[next].Priority == priority {
			next = f.placePriority(s.Waiting, next, behind)
		} else {
			behind(OnTime)
		}
	}
}

// placePriority places the waiting work of the priority of that at index next, and returns
// the index behind it. Work that cannot start while it keeps its standing goes behind the
// other work of the next standing, as the planner does it. Placed is called when the work of
// a standing has been placed.
func (f *Forecaster) placePriority(waiting []Work, next int, placed func(Standing)) int {
	end := next
	for end < len(waiting) && waiting[end].Priority == waiting[next].Priority {
		end++
	}
	var demoted []Work
	for standing := OnTime; standing <= Expired; standing++ {
		var left []Work
		place := func(w Work) {
			limit := [...]time.Duration{OnTime: w.OnTimeFor, Late: w.ValidFor, Expired: Horizon}[standing]
			if n := f.profile.place(&w, limit); n > 0 {
				w.Shape.Width = n
				left = append(left, w)
			}
		}
		for ; next < end && waiting[next].Standing == standing; next++ {
			place(waiting[next].rounded())
		}
		for _, w := range demoted {
			place(w)
		}
		placed(standing)
		demoted = left
	}
	return end
}

// probe predicts the starts of the classes of the queues of a priority, behind the work that
// has been placed.
func (f *Forecaster) probe(s Snapshot, results [][]Class, priority int) {
	for i, q := range s.Queues {
		if q.Priority != priority {
			continue
		}
		for _, shape := range q.Classes[:min(len(q.Classes), MaxClasses)] {
			if fitsNow(s.Workers, q.Service, shape, func(w *Worker) chestnutpond.Resources { return w.Free }) ||
				!fitsNow(s.Workers, q.Service, shape.atLeast(), func(w *Worker) chestnutpond.Resources { return w.Capacity }) {
				continue
			}
			if t := f.probeShape(q, shape); t.last > 0 {
				results[i] = append(results[i], Class{Shape: shape, First: t.first, Last: t.last, LateLast: t.last})
			}
		}
	}
}

// probeBehindLate completes the forecasts of probe for jobs that miss their objective.
func (f *Forecaster) probeBehindLate(s Snapshot, results [][]Class, priority int) {
	for i, q := range s.Queues {
		if q.Priority != priority {
			continue
		}
		for j := range results[i] {
			results[i][j].LateLast = f.probeShape(q, results[i][j].Shape).last
		}
	}
}

func (f *Forecaster) probeShape(q QueueSnapshot, shape Shape) times {
	work := Work{Service: q.Service, Priority: q.Priority, Shape: shape, Duration: q.Duration}.rounded()
	return f.profile.probe(&work)
}

// atLeast returns the part of the shape that has to fit at a time: all tasks of a gang,
// otherwise one.
func (s Shape) atLeast() Shape {
	if !s.Gang {
		s.Width = 1
	}
	return s
}
