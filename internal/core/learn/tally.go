package learn

const (
	// startShrinkage is the number of samples that the wider group counts as long as the
	// variances are not known; shrinkagePrior is the variance with which it enters.
	startShrinkage = 2
	shrinkagePrior = 0.02
	// minShrinkage and maxShrinkage bound that number.
	minShrinkage = 0.25
	maxShrinkage = 10
)

// tally is the weighted mean of a quantity in a group.
type tally struct {
	weight, mean float64
	// inside is the mean square of the samples' deviations from the means of the narrower
	// groups, between that of these means from the group's own.
	inside, between float64
}

// add adds a sample of a weight above 0. The tally of the narrower group that the sample
// also belongs to must not have the sample yet; nil if there is none.
func (t *tally) add(x, weight float64, inner *tally) {
	t.weight = min(t.weight, maxWeight-weight) + weight
	share := weight / t.weight
	if inner != nil && inner.weight > 0 {
		inside := square(x - inner.mean)
		// The mean of few samples deviates by chance alone.
		between := max(0, square(inner.mean-t.mean)-t.inside/max(1, inner.weight))
		t.inside += share * (inside - t.inside)
		t.between += share * (between - t.between)
	}
	t.mean += share * (x - t.mean)
}

// shrinkage returns the number of samples that the tally counts as for a narrower group.
func (t *tally) shrinkage() float64 {
	k := (t.inside + startShrinkage*shrinkagePrior) / (t.between + shrinkagePrior)
	return min(maxShrinkage, max(minShrinkage, k))
}

// shrunk is the mean of the narrowest tally, shrunk toward those of the wider ones.
type shrunk struct {
	known bool
	mean  float64
	// samples is the number of samples that the mean is worth.
	samples float64
	// variance is between the means of the wider group's members if it has no sample of the
	// narrower one; otherwise the errors at earlier runs account for it.
	variance float64
}

// shrink returns the mean for the narrowest of the tallies, which are in order from the
// widest. The start is the mean of the group around all of them, if it is known.
func shrink(start shrunk, tallies [levels]*tally) shrunk {
	s := start
	around, between := startShrinkage/2.0, 0.0
	for _, t := range tallies {
		switch {
		case t.weight <= 0:
			s.samples = min(around, s.samples)
			s.variance += between
		case !s.known:
			s = shrunk{known: true, mean: t.mean, samples: t.weight}
		default:
			s.mean = (t.weight*t.mean + around*s.mean) / (t.weight + around)
			s.samples = t.weight + min(around, s.samples)
		}
		around, between = t.shrinkage(), t.between
	}
	return s
}

func square(x float64) float64 { return x * x }
