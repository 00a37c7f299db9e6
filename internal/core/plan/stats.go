package plan

import (
	"math"
	"time"
)

const (
	// statsWindow caps the sample count of a mean, so that a new sample always
	// weighs at least 1/statsWindow.
	statsWindow = 20
	// minSamples is the number of finished tasks required before the statistics of
	// a queue are used.
	minSamples = 3
	// minStdDev is the lower bound of a standard deviation, in natural logarithms.
	// It limits the weight of a few samples that happen to be equal.
	minStdDev = 0.05
)

// queueStats are statistics of the tasks and jobs of a queue. The durations are
// taken to be those of tasks that ran near their data and their gang. Durations and
// estimate errors are kept as logarithms, because both vary by factors.
type queueStats struct {
	count    int
	duration moments
	// meanWork is the mean work of the accepted jobs in core seconds, and jobs
	// their number, at most statsWindow.
	meanWork float64
	jobs     int
	// estimateError is the ratio of a task's duration to its estimate.
	estimateError moments
}

// moments are an exponentially weighted mean and variance.
type moments struct {
	mean, variance float64
}

// add adds a sample with a weight of 1/count.
func (m *moments) add(x float64, count int) {
	weight := 1 / float64(count)
	delta := x - m.mean
	m.mean += weight * delta
	m.variance = (1 - weight) * (m.variance + weight*delta*delta)
}

// precision returns the inverse of the variance, the weight of a prediction by
// these moments.
func (m *moments) precision() float64 {
	return 1 / max(m.variance, minStdDev*minStdDev)
}

// statsOf returns the statistics of the job's queue.
func (p *Planner) statsOf(j *job) *queueStats {
	name := j.graph.Queue.Name
	if p.stats[name] == nil {
		p.stats[name] = &queueStats{}
	}
	return p.stats[name]
}

// recordDuration adds the duration of a completed run to the statistics of its
// queue. Runs started from a checkpoint are skipped.
func (p *Planner) recordDuration(now time.Duration, r *run) {
	took, estimate := now-r.seen, r.task.step.def.Estimate
	if r.phase != runSeen || r.checkpoint != "" || took <= 0 {
		return
	}
	clear(p.predictions)
	if p.model != nil {
		p.learnDone(now, r, took)
		return
	}
	d := p.statsOf(r.job())
	d.count = min(d.count+1, statsWindow)
	d.duration.add(math.Log(took.Seconds()), d.count)
	if estimate > 0 {
		d.estimateError.add(math.Log(took.Seconds()/estimate.Seconds()), d.count)
	}
}

// expectedDuration returns how long a task of the step is expected to run. It
// combines the past durations of the queue's tasks with the caller's estimate, each
// weighted by how accurate it has been.
func (p *Planner) expectedDuration(s *step) time.Duration {
	if cached, ok := p.predictions[s]; ok {
		return cached
	}
	e := p.predictDuration(s)
	p.predictions[s] = e
	return e
}

func (p *Planner) predictDuration(s *step) time.Duration {
	if p.model != nil {
		return p.predictLearned(s)
	}
	d := p.stats[s.occurrence.job.graph.Queue.Name]
	if d == nil || d.count < minSamples {
		return s.def.Estimate
	}
	a, b, byEstimate := d.duration.precision(), 0.0, 0.0
	if s.def.Estimate > 0 {
		b, byEstimate = d.estimateError.precision(), math.Log(s.def.Estimate.Seconds())+d.estimateError.mean
	}
	mean, variance := (a*d.duration.mean+b*byEstimate)/(a+b), 1/(a+b)
	// The mean of a log-normal distribution.
	return seconds(math.Exp(mean + variance/2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
