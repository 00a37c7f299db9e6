package world

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// policy is an advice service that allows some workers and fails its first calls.
type policy struct {
	allowed []string

	mu    sync.Mutex
	fails int
	calls int
	asked []string
}

// Advise implements chestnutpond.Adviser.
func (p *policy) Advise(_ context.Context, _ chestnutpond.StepRef, workers []string) (map[string]string, error) {
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.calls <= p.fails {
		return nil, errors.New("status 429")
	}
	tickets := map[string]string{}
	for _, id := range workers {
		p.asked = append(p.asked, id)
		if slices.Contains(p.allowed, id) {
			tickets[id] = id
		}
	}
	return tickets, nil
}

// Guards against a start without a ticket, on a worker that the policy forbids, and
// against a service that is asked the same again and again.
func TestAdvice(t *testing.T) {
	cases := map[string]struct {
		policy *policy
		want   []string
	}{
		"all":                   {policy: &policy{allowed: []string{"worker-1", "worker-2", "worker-3", "worker-4"}}},
		"one":                   {policy: &policy{allowed: []string{"worker-3"}}, want: []string{"worker-3"}},
		"after calls that fail": {policy: &policy{allowed: []string{"worker-2"}, fails: 3}, want: []string{"worker-2"}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			p := tt.policy
			set := func(c *Config) {
				c.Document.Kinds[0].Queue.Terms.Advice = &chestnutpond.AdvicePolicy{
					Base: 20 * time.Millisecond, PerWorker: time.Millisecond, Valid: 5 * time.Second,
				}
				c.Adviser = p
			}
			playWith(t, 2*time.Second, set, func(t *testing.T, w *World) {
				w.accept(t, w.Entries[0], jobID, tasks(4))
				assert.Assert(t, w.Until(3*time.Second, func() bool { return w.Fleet.Starts(ref(jobID, 3)) == 1 }))
				for _, a := range w.Agents {
					id := a.Worker.Info().ID
					assert.Check(t, a.Worker.Running() == 0 || tt.want == nil || slices.Contains(tt.want, id), "runs on %s", id)
				}
				assert.Assert(t, w.Ended(10*time.Second, jobID, chestnutpond.JobCompleted))
				w.startedOnce(t, jobID, 4)
				p.mu.Lock()
				defer p.mu.Unlock()
				slices.Sort(p.asked)
				assert.Equal(t, len(slices.Compact(p.asked)), len(p.asked), "asked again: %v", p.asked)
			})
		})
	}
}

// Guards against a ticket that is used after its time, or on another life of the
// worker than it was given for.
func TestTicketsExpire(t *testing.T) {
	p := &policy{allowed: []string{"worker-1"}}
	set := func(c *Config) {
		c.Document.Kinds[0].Queue.Terms.Advice = &chestnutpond.AdvicePolicy{Base: 20 * time.Millisecond, Valid: 2 * time.Second}
		c.Adviser = p
	}
	playWith(t, 3*time.Second, set, func(t *testing.T, w *World) {
		// One worker runs eight at a time, so the second half waits for longer than a
		// ticket is valid.
		w.accept(t, w.Entries[0], jobID, tasks(16))
		assert.Assert(t, w.Ended(15*time.Second, jobID, chestnutpond.JobCompleted))
		w.startedOnce(t, jobID, 16)
		p.mu.Lock()
		defer p.mu.Unlock()
		count := 0
		for _, id := range p.asked {
			if id == "worker-1" {
				count++
			}
		}
		assert.Assert(t, count >= 2, "asked %v", p.asked)
	})
}
