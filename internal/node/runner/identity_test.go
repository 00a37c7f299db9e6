package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a newest report that is disregarded because others were held up, or that
// silences the worker for good.
func TestOutdatedReports(t *testing.T) {
	type report struct {
		at       time.Duration
		sequence int64
	}
	for name, c := range map[string]struct {
		reports []report
		want    bool
	}{
		"one":                      {[]report{{0, 4}}, false},
		"held up, arrive together": {[]report{{0, 1}, {0, 2}, {time.Millisecond, 3}, {time.Second, 4}}, false},
		"in order over a while":    {[]report{{0, 4}, {1500 * time.Millisecond, 5}, {3 * time.Second, 6}}, true},
		"two over a while":         {[]report{{0, 4}, {4 * time.Second, 5}}, false},
		"the same again":           {[]report{{0, 4}, {2 * time.Second, 4}, {4 * time.Second, 4}}, false},
		"in falling order":         {[]report{{0, 6}, {2 * time.Second, 5}, {4 * time.Second, 4}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var o outdated
			got := false
			for _, r := range c.reports {
				got = o.add(time.Hour+r.at, r.sequence)
			}
			assert.Equal(t, got, c.want)
		})
	}
}
