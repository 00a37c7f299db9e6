package plan

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// minStuckTime is the least time without progress after which a run is
	// considered stuck. Reports arrive every 0.4 s.
	minStuckTime = 1200 * time.Millisecond
	// stuckPercent is the progress, in percentage points, that a run would normally
	// make in the time after which it is considered stuck.
	stuckPercent = 6
	// rateWindow is the time over which a run's current rate of progress is
	// measured.
	rateWindow = time.Second
	// slowRateShare is the share of a run's initial rate, or of the rate of the
	// other tasks of its step, below which its worker is considered slow.
	slowRateShare = 0.4
	// maxRestartShare limits the time for a restart elsewhere to a share of the
	// time that a slow run still needs where it is.
	maxRestartShare = 0.6
	// inspectInterval is the least time between two inspections of all runs;
	// progress reports arrive every 0.4 s.
	inspectInterval = 100 * time.Millisecond
	// rateSamples limits the progress samples kept of a run.
	rateSamples = 8
)

// sample is a run's progress at a time of its worker's clock. The arrival times of
// lists are not used, because a delayed list would distort the rate.
type sample struct {
	at      time.Duration
	percent int
}

// recordProgress records the progress that the worker reports.
func (r *run) recordProgress(now time.Duration, percent int) {
	clock := r.worker.clock
	if percent != r.percent {
		r.percent, r.progressAt, r.progressClock = percent, now, clock
	}
	if n := len(r.samples); n > 0 && clock-r.samples[n-1].at < rateWindow/rateSamples {
		return
	}
	if len(r.samples) == rateSamples {
		copy(r.samples, r.samples[1:])
		r.samples = r.samples[:rateSamples-1]
	}
	r.samples = append(r.samples, sample{clock, percent})
	if r.firstAt == 0 && clock-r.seenClock >= rateWindow {
		r.firstAt, r.firstPercent = clock, percent
	}
}

// timePerPercent returns the run's average time for a percent of progress since it
// was seen; false if it has made too little progress.
func (r *run) timePerPercent() (time.Duration, bool) {
	made := r.percent - r.basePercent
	if made < minProgress || r.progressClock <= r.seenClock {
		return 0, false
	}
	return (r.progressClock - r.seenClock) / time.Duration(made), true
}

// rate returns the run's recent progress in percent per second; false if it has not
// been observed long enough.
func (r *run) rate() (float64, bool) {
	n := len(r.samples)
	if n < 2 {
		return 0, false
	}
	last := r.samples[n-1]
	for i := n - 2; i >= 0; i-- {
		if span := last.at - r.samples[i].at; span >= rateWindow {
			return float64(last.percent-r.samples[i].percent) / span.Seconds(), true
		}
	}
	return 0, false
}

// initialRate returns the run's progress in percent per second during its first
// second; false if that second is not over or overlaps the window of the current
// rate.
func (r *run) initialRate() (float64, bool) {
	if r.firstAt == 0 || r.firstPercent <= r.basePercent || len(r.samples) == 0 || r.samples[0].at < r.firstAt {
		return 0, false
	}
	return float64(r.firstPercent-r.basePercent) / (r.firstAt - r.seenClock).Seconds(), true
}

// relativeRate returns the run's current rate as a share of its initial rate if it
// is below that, else of the median rate of its step's tasks on other workers;
// false if there is nothing to compare it with.
func (p *Planner) relativeRate(r *run) (float64, bool) {
	rate, ok := r.rate()
	if !ok {
		return 0, false
	}
	if first, ok := r.initialRate(); ok && rate < first {
		return rate / first, true
	}
	if median := p.medianRate(r.task.step, r.worker); median > 0 {
		return rate / median, true
	}
	return 0, false
}

// stepOnWorker identifies the tasks of a step that are not on a worker.
type stepOnWorker struct {
	step   *step
	worker *worker
}

// medianRate returns the median rate of the step's tasks on other workers than the given
// one; 0 if it is not known.
func (p *Planner) medianRate(s *step, w *worker) float64 {
	key := stepOnWorker{s, w}
	if median, ok := p.medianRates[key]; ok {
		return median
	}
	var others []float64
	for _, t := range s.tasks {
		if o := t.current; o != nil && o.worker != w {
			if other, ok := o.rate(); ok {
				others = append(others, other)
			}
		}
	}
	median := 0.0
	if len(others) > 0 {
		slices.Sort(others)
		median = others[len(others)/2]
	}
	p.medianRates[key] = median
	return median
}

// memberDonePercent is the progress at which a member of a gang has done its own
// work and waits for the others.
const memberDonePercent = 99

// monitored reports whether the run is expected to show progress in its worker's
// lists. A run that they lack has ended or is missing.
func (r *run) monitored() bool {
	def := r.task.step.def
	if def.Gang && r.percent >= memberDonePercent {
		return false
	}
	return r.phase == runSeen && r.listed && !r.stopping && !r.superseded && !def.Perpetual && !def.Filler
}

// gangRunning reports whether all members of the run's gang, if it has one, are
// running.
func (r *run) gangRunning() bool {
	if !r.task.step.def.Gang {
		return true
	}
	for _, t := range r.task.step.tasks {
		if t.current == nil || t.current.number != r.number || t.current.phase != runSeen {
			return false
		}
	}
	return true
}

// stuckFor returns how long the run has made no progress, or 0 if that is not
// unusual yet.
func (p *Planner) stuckFor(r *run) time.Duration {
	stalled := r.worker.clock - max(r.progressClock, r.seenClock)
	usual := p.expectedDuration(r.task.step) * stuckPercent / 100
	if each, ok := r.timePerPercent(); ok {
		usual = each * stuckPercent
	}
	if stalled < max(minStuckTime, usual) {
		return 0
	}
	return stalled
}

// inspect finds workers whose runs are stuck or slow, moves runs to other workers
// where they would end earlier, and adjusts the pace of fillers.
func (p *Planner) inspect(now time.Duration) {
	if now-p.lastInspection < inspectInterval {
		return
	}
	p.lastInspection = now
	clear(p.medianRates)
	for _, w := range p.sortedWorkers {
		if w.reachable() {
			w.checkTrial(now)
			p.inspectWorker(now, w)
			p.movePerpetual(now, w)
			p.adjustPace(now, w)
		}
	}
}

func (p *Planner) inspectWorker(now time.Duration, w *worker) {
	progressing := false
	for _, r := range w.sortedRuns() {
		if !r.monitored() || !r.gangRunning() {
			continue
		}
		if w.info.State == chestnutpond.WorkerDraining {
			p.evacuate(now, r)
			continue
		}
		if stalled := p.stuckFor(r); stalled > 0 {
			p.recordStuck(now, w)
			if p.worthMoving(r, stalled) {
				p.move(now, r, "stands still")
			}
			continue
		}
		progressing = progressing || r.progressAt > w.health.stuckAt
		rate, _ := r.rate()
		if share, ok := p.relativeRate(r); !ok || share > slowRateShare || rate <= 0 {
			continue
		}
		w.health.slow = w.health.slow.found(now, p.cfg.Policy.SlowBackoff)
		left := time.Duration(float64(100-r.percent) / rate * float64(time.Second))
		if p.restartTime(r) < time.Duration(maxRestartShare*float64(left)) {
			p.moveIfFits(now, r, reasonSlow)
		}
	}
	if progressing && w.health.stuckAt > 0 {
		// A run makes progress again, so the worker is no longer stuck.
		w.health.stuckAt, w.health.ejectedUntil, w.health.suspicion = 0, 0, 0
	}
}

// drainGrace is how long a draining worker usually serves beyond the remaining time
// that it reports.
const drainGrace = 1500 * time.Millisecond

// evacuate moves a run off a draining worker if it is not expected to end there in
// time.
func (p *Planner) evacuate(now time.Duration, r *run) {
	remaining, ends := p.remaining(now, r)
	if left := r.worker.exitsAt + drainGrace - now; !ends || remaining > left {
		p.moveIfFits(now, r, "worker is draining")
	}
}

// recordStuck records that a run on the worker is stuck. The worker is ejected for
// a time, because nothing shows its state any more once its runs have been moved.
func (p *Planner) recordStuck(now time.Duration, w *worker) {
	w.health.stuckAt = now
	if now >= w.health.ejectedUntil {
		w.health.suspicion = ejectThreshold
		p.eject(now, w, "its runs make no progress")
	}
}

// restartTime returns how long the run's task would take on another worker.
func (p *Planner) restartTime(r *run) time.Duration {
	total := p.expectedDuration(r.task.step)
	if r.task.step.def.Checkpointable && r.task.checkpoint != "" {
		return total*time.Duration(100-r.percent)/100 + p.cfg.RestoreTime + startDelay
	}
	return total + startDelay
}

// worthMoving reports whether a stuck run should be restarted elsewhere. The run is
// expected to stay stuck for as long again and then to do the remaining work.
func (p *Planner) worthMoving(r *run, stalled time.Duration) bool {
	total := p.expectedDuration(r.task.step)
	rest := total * time.Duration(100-r.percent) / 100
	return p.restartTime(r) < stalled+rest
}

// move stops a run so that its task is placed on another worker.
func (p *Planner) move(now time.Duration, r *run, reason string) {
	r.task.avoidWorker(now, r.worker.id)
	p.stop(now, r, reason)
	p.stopGang(now, r.task.step, r.number)
}

// moveIfFits moves a run if its task, or its gang, fits on other workers now.
func (p *Planner) moveIfFits(now time.Duration, r *run, reason string) {
	u := unit{step: r.task.step, tasks: []*task{r.task}}
	if r.task.step.def.Gang {
		u.tasks = r.task.step.tasks
	}
	elsewhere := func(w *worker) bool {
		if p.cfg.Policy.SlowBackoff && reason == reasonSlow && w.health.slow.avoided(now) {
			// Another slow worker would not be faster.
			return false
		}
		return w != r.worker
	}
	if p.fitOn(now, u, p.candidates(now, u, elsewhere), p.available(now, u)) != nil {
		p.move(now, r, reason)
	}
}
