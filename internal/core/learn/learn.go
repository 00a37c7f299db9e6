// Package learn predicts the durations of tasks from ended runs.
//
// The logarithm of a duration is taken to be normal. Its mean, and the mean of the
// logarithm of the ratio of duration to caller's estimate, are kept by queue, by account
// within the queue and by shape within the account. Each is shrunk toward that of the
// wider group: a group counts as many samples as it has, the wider one as many as the
// ratio of the variance inside groups to the variance between them.
//
// There are two predictors, the mean of the group and the caller's estimate times the
// ratio of the group. Both are compared with each run before the run is added. The
// variances and the covariance of their errors give the weights with which they are
// combined and the variance of the result.
//
// A run that was stopped or lost counts with the duration expected of a task that runs at
// least as long. A run that deviates by more than clipDeviations is clipped. Samples lose
// half of their weight in halfLife, and no group weighs more than maxWeight samples.
//
// The package is deterministic: the time is part of a sample, and no result depends on the
// order of a map. The newest time of a sample is the time of the model.
package learn

import (
	"container/list"
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
)

// Error is the class of this package's errors.
var Error = errs.Class("learn")

const (
	// MaxGroups is the number of groups of a model unless its configuration says
	// otherwise. The least recently observed group is evicted; its members are predicted
	// by the wider group.
	MaxGroups = 4096
	// halfLife is the age at which a sample has half of its weight: the loads of callers
	// change over the hours of a day.
	halfLife = 30 * time.Minute
	// maxWeight bounds the weight of a group, so that a change of the work shows within
	// about as many runs.
	maxWeight = 20
	// clipDeviations is the number of standard deviations at which a sample is clipped.
	clipDeviations = 4
	// minClipDeviation is the lower bound of the standard deviation that clipping uses. With
	// equal samples, a change of the work by more than a factor of 2.7 is still followed
	// within a few runs.
	minClipDeviation = 0.25
	// minClipWeight is the weight of the samples required before samples are clipped.
	minClipWeight = 5
	// minDeviation is the lower bound of a predicted standard deviation. Reports arrive
	// every 0.4 s, so durations of some seconds are not known better.
	minDeviation = 0.05
)

// levels of groups.
const (
	queueLevel = iota
	accountLevel
	shapeLevel
	levels
)

// Config configures a Model.
type Config struct {
	// MaxGroups is the maximum number of groups, at least the number of levels; zero means
	// the constant of this name.
	MaxGroups int
}

// Model implements chestnutpond.DurationModel.
type Model struct {
	maxGroups int
	groups    map[key]*list.Element
	// recent has the groups, the most recently observed first. A group is never behind the
	// narrower ones within it, so that these are evicted first.
	recent *list.List
	// now is the newest time of a sample.
	now time.Duration
}

var _ chestnutpond.DurationModel = (*Model)(nil)

// New returns a model without samples.
func New(c Config) *Model {
	if c.MaxGroups == 0 {
		c.MaxGroups = MaxGroups
	}
	return &Model{maxGroups: max(c.MaxGroups, levels), groups: map[key]*list.Element{}, recent: list.New()}
}

// key identifies a group. The fields of narrower levels are zero.
type key struct {
	level          int
	queue, account string
	shape          chestnutpond.TaskShape
}

// keysOf returns the keys of a class by level.
func keysOf(c chestnutpond.TaskClass) [levels]key {
	return [levels]key{
		{level: queueLevel, queue: c.Queue},
		{level: accountLevel, queue: c.Queue, account: c.Account},
		{level: shapeLevel, queue: c.Queue, account: c.Account, shape: c.Shape},
	}
}

// group has the statistics of a group.
type group struct {
	key key
	// at is the time at which the weights hold.
	at time.Duration
	// duration is of the logarithm of durations in seconds, ratio of the logarithm of their
	// ratio to the caller's estimate.
	duration, ratio tally
	errors          errors
}

// aged returns the group with the weights of the given time.
func (g group) aged(now time.Duration) group {
	if now > g.at {
		share := math.Exp2(-float64(now-g.at) / float64(halfLife))
		g.duration.weight *= share
		g.ratio.weight *= share
		g.errors.weight *= share
		g.at = now
	}
	return g
}

// Groups returns the number of groups.
func (m *Model) Groups() int { return len(m.groups) }

// Predict implements chestnutpond.DurationModel.
func (m *Model) Predict(c chestnutpond.TaskClass) chestnutpond.Prediction {
	f := m.forecast(m.lookUp(c), c)
	if !f.known {
		return chestnutpond.Prediction{}
	}
	if f.samples == 0 {
		// Without samples the caller's estimate is returned as it is.
		return chestnutpond.Prediction{Median: c.Estimate, P90: c.Estimate}
	}
	return chestnutpond.NewPrediction(f.mean, math.Sqrt(f.variance), f.samples)
}

// lookUp returns copies of the groups of a class at the time of the model, empty ones for
// those that are missing.
func (m *Model) lookUp(c chestnutpond.TaskClass) [levels]group {
	var found [levels]group
	for i, k := range keysOf(c) {
		if e, ok := m.groups[k]; ok {
			found[i] = e.Value.(*group).aged(m.now)
		}
	}
	return found
}

// Observe implements chestnutpond.DurationModel.
func (m *Model) Observe(c chestnutpond.TaskClass, s chestnutpond.DurationSample) {
	if s.Duration <= 0 || s.Weight < 0 || math.IsNaN(s.Weight) {
		return
	}
	if s.Weight == 0 {
		s.Weight = 1
	}
	weight := min(s.Weight, 1)
	m.now = max(m.now, s.At)
	found := m.lookUp(c)
	f := m.forecast(found, c)
	x, variance := f.valueOf(math.Log(s.Duration.Seconds()), s.LowerBound)
	if f.byMean.known {
		e := f.errorsAt(x, variance)
		found[queueLevel].errors.add(e, weight)
		found[accountLevel].errors.add(e, weight)
	}
	logRatio := 0.0
	if c.Estimate > 0 {
		logRatio = x - math.Log(c.Estimate.Seconds())
	}
	for i := range found {
		var inner *group
		if i+1 < levels {
			inner = &found[i+1]
		}
		found[i].add(x, logRatio, weight, c.Estimate > 0, inner)
	}
	keys := keysOf(c)
	// The widest group is the most recent one.
	for i := levels - 1; i >= 0; i-- {
		found[i].key, found[i].at = keys[i], m.now
		m.store(found[i])
	}
}

// add adds a sample. The group inside it that the sample also belongs to has not been
// changed yet; nil for the narrowest group.
func (g *group) add(x, logRatio, weight float64, estimated bool, inner *group) {
	if inner == nil {
		g.duration.add(x, weight, nil)
		if estimated {
			g.ratio.add(logRatio, weight, nil)
		}
		return
	}
	g.duration.add(x, weight, &inner.duration)
	if estimated {
		g.ratio.add(logRatio, weight, &inner.ratio)
	}
}

// store makes g the most recent group and evicts the least recent one if there are too
// many.
func (m *Model) store(g group) {
	if e, ok := m.groups[g.key]; ok {
		*e.Value.(*group) = g
		m.recent.MoveToFront(e)
		return
	}
	m.groups[g.key] = m.recent.PushFront(&g)
	if len(m.groups) > m.maxGroups {
		last := m.recent.Back()
		delete(m.groups, last.Value.(*group).key)
		m.recent.Remove(last)
	}
}
