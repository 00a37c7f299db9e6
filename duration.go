package chestnutpond

import (
	"math"
	"math/bits"
	"time"
)

// DurationModel predicts how long runs of tasks take from those that have ended. It is
// not safe for concurrent use.
type DurationModel interface {
	// Predict returns the prediction for a task of the class. It changes nothing.
	Predict(c TaskClass) Prediction
	// Observe adds a run that has ended.
	Observe(c TaskClass, s DurationSample)
}

// TaskClass is what is known of a task's duration before it runs.
type TaskClass struct {
	Queue, Account string
	Shape          TaskShape
	// Estimate is the caller's; zero means that there is none.
	Estimate time.Duration
}

// TaskShape is the size of a task and of its step. Both are rounded up to powers of
// two, so that steps of similar size share their samples.
type TaskShape struct {
	// Accelerators are those of one task.
	Accelerators int64
	// Count is the number of tasks of the step.
	Count int64
}

// ClassOf returns the class of the tasks of a step of the graph.
func ClassOf(g *Graph, s *Step) TaskClass {
	return TaskClass{
		Queue: g.Queue.Name, Account: g.Account, Estimate: s.Estimate,
		Shape: TaskShape{Accelerators: roundUp(s.Need.Accelerators), Count: roundUp(int64(s.Count))},
	}
}

// roundUp rounds a number up to a power of two; zero stays zero.
func roundUp(n int64) int64 {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len64(uint64(n-1))
}

// DurationSample is the duration of a run that has ended.
type DurationSample struct {
	Duration time.Duration
	// LowerBound means that the run was stopped or lost, so its task takes longer.
	LowerBound bool
	// At is when the run ended, on the clock of the model's owner.
	At time.Duration
	// Weight is less than 1 for runs that depend on each other, as those of one step;
	// zero means 1.
	Weight float64
}

// Prediction is the predicted distribution of a duration, which is taken to be
// log-normal. The zero value means that nothing is known.
type Prediction struct {
	Median time.Duration
	// P90 is the 90th percentile; at least Median.
	P90 time.Duration
	// Samples is the number of ended runs that the prediction is worth; zero means that
	// it is the caller's estimate.
	Samples float64
}

// normalP90 is the 90th percentile of the standard normal distribution.
const normalP90 = 1.2815515655446004

// NewPrediction returns the prediction with the given mean and standard deviation of
// the logarithm of the duration in seconds.
func NewPrediction(mean, deviation, samples float64) Prediction {
	return Prediction{
		Median: fromLog(mean), P90: fromLog(mean + normalP90*deviation), Samples: samples,
	}
}

// Deviation returns the standard deviation of the logarithm of the duration.
func (p Prediction) Deviation() float64 {
	if p.Median <= 0 {
		return 0
	}
	return math.Log(float64(p.P90)/float64(p.Median)) / normalP90
}

// Mean returns the mean duration.
func (p Prediction) Mean() time.Duration {
	if p.Median <= 0 {
		return 0
	}
	deviation := p.Deviation()
	return fromLog(math.Log(p.Median.Seconds()) + deviation*deviation/2)
}

// fromLog returns the duration whose seconds have the given logarithm, at most
// maxEstimate.
func fromLog(log float64) time.Duration {
	return time.Duration(min(math.Exp(log), maxEstimate.Seconds()) * float64(time.Second))
}
