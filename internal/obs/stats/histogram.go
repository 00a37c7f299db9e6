package stats

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize keeps quantiles within 5% at 99.9% confidence.
	sampleSize = 1028
	// sampleAlpha biases the sample towards the last five minutes.
	sampleAlpha = 0.015
)

// histogram extends a go-metrics histogram with an exact sum, because the sum of
// a go-metrics histogram covers only its sample.
type histogram struct {
	metrics.Histogram
	sum metrics.Counter
}

func newHistogram() histogram {
	return histogram{
		Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		sum:       metrics.NewCounter(),
	}
}

// Update records a value.
func (h histogram) Update(v int64) {
	h.Histogram.Update(v)
	h.sum.Inc(v)
}

// Seconds is a histogram of durations. It is exposed in seconds.
type Seconds struct {
	histogram
}

func newSeconds() *Seconds { return &Seconds{newHistogram()} }

// Observe records a duration; a negative duration is recorded as zero.
func (s *Seconds) Observe(d time.Duration) { s.Update(int64(max(d, 0))) }

// Bytes is a histogram of sizes in bytes.
type Bytes struct {
	histogram
}

func newBytes() *Bytes { return &Bytes{newHistogram()} }

// Observe records a size; a negative size is recorded as zero.
func (b *Bytes) Observe(size int64) { b.Update(max(size, 0)) }
