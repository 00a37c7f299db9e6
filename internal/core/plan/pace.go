package plan

import "time"

const (
	// paceInterval is the least time between two changes of the pace of a worker's
	// fillers: workers report their load over half a second, a pace takes effect
	// after 0.1 s, and reports arrive every 0.4 s.
	paceInterval = 800 * time.Millisecond
	// paceHighLoad and paceLowLoad are shares of a latency target: above the former
	// the pace of fillers is halved, below the latter it is increased. A serving
	// task may exceed its target for 4 s.
	paceHighLoad = 0.9
	paceLowLoad  = 0.6
	// paceIncrease is the increase of the pace at a time, in percentage points.
	paceIncrease = 15
	// fullPace is the pace of a run that is not throttled.
	fullPace = 100
	// minPace is the lowest pace that is of use; below it, fillers are paused.
	minPace = 5
)

// pacing is the pace of a worker's fillers and the time of its last change.
type pacing struct {
	percent int
	changed time.Duration
}

// adjustPace throttles the fillers on a worker whose serving tasks approach their
// latency target, and speeds them up again when the load is low (additive increase,
// multiplicative decrease). The fillers on a worker share one pace, because it
// cannot be determined which of them interferes.
func (p *Planner) adjustPace(now time.Duration, w *worker) {
	maxLoad, hasFillers := 0.0, false
	for _, r := range w.runs {
		def := r.task.step.def
		switch {
		case r.phase != runSeen:
		case def.TailLatency > 0 && def.Perpetual:
			maxLoad = max(maxLoad, float64(r.load)/float64(def.TailLatency.Milliseconds()))
		case def.Filler:
			hasFillers = true
		}
	}
	if !hasFillers {
		w.pacing.percent = fullPace
		return
	}
	if now-w.pacing.changed < paceInterval {
		return
	}
	percent := w.pacing.percent
	switch {
	case maxLoad > paceHighLoad:
		percent /= 2
		if percent < minPace {
			percent = 0
		}
	case maxLoad < paceLowLoad:
		percent = min(fullPace, percent+paceIncrease)
	}
	if percent == w.pacing.percent {
		return
	}
	w.pacing = pacing{percent: percent, changed: now}
	w.version++
	p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: "pace of its fillers changed"})
}

// PaceRun is an order that limits a run to a share of its capacity.
type PaceRun struct {
	RunRef

	Percent int
}

// paces returns the pace orders for the worker's fillers. A new run works at full
// pace until it gets such an order.
func (w *worker) paces() []PaceRun {
	var all []PaceRun
	for _, r := range w.sortedRuns() {
		if r.phase == runSeen && r.life == w.life && r.task.step.def.Filler && (r.paced || w.pacing.percent < fullPace) {
			r.paced = true
			all = append(all, PaceRun{RunRef{r.task.ref, r.number}, w.pacing.percent})
		}
	}
	return all
}
