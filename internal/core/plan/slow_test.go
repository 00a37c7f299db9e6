package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a worker that is used again each time the memory of its slowness ends,
// although it is found slow each time, and against one that is avoided after it has recovered.
func TestSlowBackoff(t *testing.T) {
	second := time.Second
	cases := map[string]struct {
		backoff bool
		// found are the times at which a run is found slow, and done that at which a run has
		// completed that began at began.
		found             []time.Duration
		began, done, want time.Duration
	}{
		"once":                   {backoff: true, found: []time.Duration{10 * second}, want: 12 * second},
		"in one episode":         {backoff: true, found: []time.Duration{10 * second, 11 * second}, want: 13 * second},
		"again":                  {backoff: true, found: []time.Duration{10 * second, 13 * second}, want: 17 * second},
		"three times":            {backoff: true, found: []time.Duration{10 * second, 13 * second, 18 * second}, want: 26 * second},
		"without backoff":        {found: []time.Duration{10 * second, 13 * second, 18 * second}, want: 20 * second},
		"bounded":                {backoff: true, found: []time.Duration{1 * second, 4 * second, 9 * second, 18 * second, 60 * second, 100 * second}, want: 116 * second},
		"recovered between":      {backoff: true, found: []time.Duration{10 * second, 30 * second}, began: 13 * second, done: 20 * second, want: 32 * second},
		"completed an older run": {backoff: true, found: []time.Duration{10 * second, 30 * second}, began: 9 * second, done: 20 * second, want: 34 * second},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var s slowness
			for _, at := range tt.found {
				if tt.done > 0 && at > tt.done {
					s = s.completed(tt.began)
				}
				s = s.found(at, tt.backoff)
			}
			assert.Assert(t, s.avoided(tt.want-1))
			assert.Assert(t, !s.avoided(tt.want))
		})
	}
}
