package runner

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// Guards against a run that is reported as stopped or never started while the list of ends
// that would name it is truncated.
func TestObserveOutcomes(t *testing.T) {
	key := runKey{chestnutpond.TaskRef{Job: "00000000000000a1"}, 1}
	ended := chestnutpond.RunEnd{Sequence: 7, Task: key.task, Run: 1, Ending: chestnutpond.RunDone}
	for name, c := range map[string]struct {
		number int64
		lists  chestnutpond.RunList
		want   bool
	}{
		"absent":                    {6, chestnutpond.RunList{}, true},
		"absent from truncated":     {6, chestnutpond.RunList{Truncated: true}, false},
		"ended":                     {6, chestnutpond.RunList{Ended: []chestnutpond.RunEnd{ended}}, false},
		"ended in truncated":        {6, chestnutpond.RunList{Ended: []chestnutpond.RunEnd{ended}, Truncated: true}, false},
		"running":                   {6, chestnutpond.RunList{Running: []chestnutpond.RunStatus{{Task: key.task, Run: 1}}}, false},
		"absent, call before order": {5, chestnutpond.RunList{}, false},
		"another run is listed":     {6, chestnutpond.RunList{Running: []chestnutpond.RunStatus{{Task: key.task, Run: 2}}}, true},
	} {
		for _, reason := range []chestnutpond.Refusal{chestnutpond.RefusedStale, reasonStopped} {
			t.Run(name+", "+string(reason), func(t *testing.T) {
				a := New(Config{Now: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler), Metrics: stats.New()})
				start := &startOrder{agent: a, key: key, outcome: outcome{reason: reason, afterCall: 5}}
				stop := &stopOrder{agent: a, key: key, outcome: outcome{reason: reason, afterCall: 5}}
				a.starts[key], a.stops[key] = start, stop
				assert.Equal(t, a.observeOutcomes(c.number, c.lists), c.want)
				assert.Equal(t, start.outcome.absent, c.want)
				assert.Equal(t, stop.outcome.absent, c.want)
			})
		}
	}
}
