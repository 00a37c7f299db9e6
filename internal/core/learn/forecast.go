package learn

import (
	"math"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// meanErrorPrior and estimateErrorPrior are the mean square errors that are assumed of
	// the two predictors before they have been compared with runs; they count as one run.
	// Measured on deployments A and B are 0.14 to 0.77 and 0.11 to 1.8.
	meanErrorPrior     = 0.7
	estimateErrorPrior = 0.4
	// accountShrinkage is the number of runs that the errors in the queue count as for an
	// account.
	accountShrinkage = 4
)

// errors are the weighted means of the squares and of the product of the errors of the two
// predictors.
type errors struct {
	weight, byMean, byEstimate, cross float64
}

// add adds the errors at a run.
func (e *errors) add(at errors, weight float64) {
	e.weight = min(e.weight, maxWeight-weight) + weight
	share := weight / e.weight
	e.byMean += share * (at.byMean - e.byMean)
	e.byEstimate += share * (at.byEstimate - e.byEstimate)
	e.cross += share * (at.cross - e.cross)
}

// plus returns the mean of e and of another one that counts as the given number of runs.
func (e errors) plus(other errors, weight float64) errors {
	e.add(other, min(weight, maxWeight))
	return e
}

// combined returns the weight of the estimate with which the error of the combination is
// least, and the mean square error then.
func (e errors) combined() (float64, float64) {
	difference := e.byMean + e.byEstimate - 2*e.cross
	w := 0.5
	if difference > 1e-9 {
		w = min(1, max(0, (e.byMean-e.cross)/difference))
	}
	return w, square(1-w)*e.byMean + square(w)*e.byEstimate + 2*w*(1-w)*e.cross
}

// forecast is the prediction for a class in logarithms.
type forecast struct {
	known          bool
	mean, variance float64
	samples        float64
	// byMean and byEstimate are the two predictions that are combined.
	byMean, byEstimate shrunk
	// weight is that of the samples of the queue.
	weight float64
}

// forecast predicts the class of the groups.
func (m *Model) forecast(of [levels]group, c chestnutpond.TaskClass) forecast {
	f := forecast{weight: of[queueLevel].duration.weight}
	durations, ratios := [levels]*tally{}, [levels]*tally{}
	for i := range of {
		durations[i], ratios[i] = &of[i].duration, &of[i].ratio
	}
	f.byMean = shrink(shrunk{}, durations)
	if c.Estimate > 0 {
		// Without samples, callers are taken to be right.
		f.byEstimate = shrink(shrunk{known: true}, ratios)
		f.byEstimate.mean += math.Log(c.Estimate.Seconds())
	}
	e := errors{weight: 1, byMean: meanErrorPrior, byEstimate: estimateErrorPrior}
	if queue := of[queueLevel].errors; queue.weight > 0 {
		e = e.plus(queue, queue.weight)
	}
	if account := of[accountLevel].errors; account.weight > 0 {
		e.weight = min(e.weight, accountShrinkage)
		e = e.plus(account, account.weight)
	}
	e.byMean += f.byMean.variance
	e.byEstimate += f.byEstimate.variance
	share := 1.0
	switch {
	case f.byMean.known && f.byEstimate.known:
		share, f.variance = e.combined()
	case f.byMean.known:
		share, f.variance = 0, e.byMean
	case f.byEstimate.known:
		f.variance = e.byEstimate
	default:
		f.variance = e.byMean
		return f
	}
	f.known = true
	f.mean = (1-share)*f.byMean.mean + share*f.byEstimate.mean
	f.samples = (1-share)*f.byMean.samples + share*f.byEstimate.samples
	f.variance = max(f.variance, square(minDeviation))
	return f
}

// valueOf returns the logarithm of a duration that a sample counts as, and its variance. A
// lower bound counts as the mean of what lies above it.
func (f forecast) valueOf(x float64, lowerBound bool) (float64, float64) {
	mean, deviation := f.mean, math.Sqrt(f.variance)
	if !f.known {
		mean = x
	}
	variance := 0.0
	if lowerBound {
		x, variance = above(x, mean, deviation)
	}
	if f.weight >= minClipWeight {
		limit := clipDeviations * max(deviation, minClipDeviation)
		x = min(mean+limit, max(mean-limit, x))
	}
	return x, variance
}

// above returns the mean and the variance of the part of a normal distribution above a
// bound.
func above(bound, mean, deviation float64) (float64, float64) {
	a := (bound - mean) / deviation
	// hazard is the density at the bound over the probability above it. For large a it
	// tends to the first terms of its series, whereas the probability underflows.
	hazard := a + 1/a
	if a < 6 {
		hazard = math.Exp(-a*a/2) / math.Sqrt(2*math.Pi) / (0.5 * math.Erfc(a/math.Sqrt2))
	}
	return mean + deviation*hazard, square(deviation) * max(0, 1+a*hazard-square(hazard))
}

// errorsAt returns the errors of the two predictions at a value with a variance. A
// prediction that is not known counts as the other one.
func (f forecast) errorsAt(x, variance float64) errors {
	byMean := x - f.byMean.mean
	byEstimate := byMean
	if f.byEstimate.known {
		byEstimate = x - f.byEstimate.mean
	}
	return errors{
		byMean: square(byMean) + variance, byEstimate: square(byEstimate) + variance, cross: byMean*byEstimate + variance,
	}
}
