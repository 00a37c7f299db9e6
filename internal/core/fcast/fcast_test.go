package fcast

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// delayOf returns the forecast for the class of a queue of the given priority.
func delayOf(s Snapshot, priority int, shape Shape, duration time.Duration) (Class, bool) {
	s.Queues = []QueueSnapshot{{Name: "q", Service: "s", Priority: priority, Duration: duration, Classes: []Shape{shape}}}
	d := New().Compute(s)
	if len(d.Queues) == 0 {
		return Class{}, false
	}
	return d.Queues[0].Classes[0], true
}

// fleet returns workers, two to a rack, that are occupied by one run each until the given
// times; zero leaves a worker free.
func fleet(priority int, ends ...time.Duration) Snapshot {
	s := Snapshot{}
	for i, end := range ends {
		w := Worker{Service: "s", Rack: fmt.Sprintf("r%d", i/2), Capacity: workerCapacity, Free: workerCapacity}
		if end > 0 {
			w.Free = chestnutpond.Resources{}
			w.Releases = []Release{{After: end, Need: workerCapacity, Priority: priority}}
		}
		s.Workers = append(s.Workers, w)
	}
	return s
}

// TestForecast guards against delays that are predicted too long, so that jobs are rejected
// that would have been served, and against none where there is no capacity.
func TestForecast(t *testing.T) {
	s := time.Second
	waiting := func(count int, standing Standing, valid ...time.Duration) []Work {
		var all []Work
		for range count {
			all = append(all, Work{
				Service: "s", Priority: 1, Standing: standing, Shape: Shape{Need: whole, Width: 1}, Duration: 4 * s,
				OnTimeFor: append(valid, Horizon)[0], ValidFor: append(valid, Horizon, Horizon)[1],
			})
		}
		return all
	}
	for name, c := range map[string]struct {
		snapshot          Snapshot
		waiting           []Work
		priority          int
		shape             Shape
		known             bool
		first, last, late time.Duration
	}{
		"free worker":                   {snapshot: fleet(1, 2*s, 0), priority: 1, shape: Shape{Need: whole, Width: 1}},
		"no free worker":                {snapshot: fleet(1, 2*s, 5*s), priority: 1, shape: Shape{Need: whole, Width: 1}, known: true, first: 2 * s, last: 2 * s, late: 2 * s},
		"several tasks":                 {snapshot: fleet(1, 2*s, 5*s), priority: 1, shape: Shape{Need: whole, Width: 2}, known: true, first: 2 * s, last: 4 * s, late: 4 * s},
		"gang":                          {snapshot: fleet(1, 2*s, 5*s), priority: 1, shape: Shape{Need: whole, Width: 2, Gang: true}, known: true, first: 5 * s, last: 5 * s, late: 5 * s},
		"gang on a rack":                {snapshot: fleet(1, 2*s, 9*s, 2*s, 6*s), priority: 1, shape: Shape{Need: whole, Width: 2, Gang: true, SameRack: true}, known: true, first: 6 * s, last: 6 * s, late: 6 * s},
		"too large for the fleet":       {snapshot: fleet(1, 2*s, 5*s), priority: 1, shape: Shape{Need: whole, Width: 3, Gang: true}},
		"behind work that is late":      {snapshot: fleet(1, 2*s), waiting: waiting(1, Late), priority: 1, shape: Shape{Need: whole, Width: 1}, known: true, first: 2 * s, last: 2 * s, late: 6 * s},
		"behind waiting work":           {snapshot: fleet(1, 2*s), waiting: waiting(2, OnTime), priority: 1, shape: Shape{Need: whole, Width: 1}, known: true, first: 10 * s, last: 10 * s, late: 10 * s},
		"behind work that becomes late": {snapshot: fleet(1, 2*s), waiting: waiting(2, OnTime, 5*s, 30*s), priority: 1, shape: Shape{Need: whole, Width: 1}, known: true, first: 6 * s, last: 6 * s, late: 10 * s},
		"behind work that expires":      {snapshot: fleet(1, 2*s), waiting: waiting(3, OnTime, 5*s, 9*s), priority: 1, shape: Shape{Need: whole, Width: 1}, known: true, first: 6 * s, last: 6 * s, late: 10 * s},
		"ahead of expired work":         {snapshot: fleet(1, 2*s), waiting: waiting(2, Expired), priority: 1, shape: Shape{Need: whole, Width: 1}, known: true, first: 2 * s, last: 2 * s, late: 2 * s},
		"urgent work preempts":          {snapshot: fleet(1, 20*s), waiting: waiting(2, OnTime), priority: 0, shape: Shape{Need: whole, Width: 1}, known: true, first: s / 4, last: s / 4, late: s / 4},
		"urgent behind urgent":          {snapshot: fleet(0, 8*s), priority: 0, shape: Shape{Need: whole, Width: 1}, known: true, first: 8 * s, last: 8 * s, late: 8 * s},
	} {
		t.Run(name, func(t *testing.T) {
			c.snapshot.Waiting = c.waiting
			got, known := delayOf(c.snapshot, c.priority, c.shape, 2*s)
			assert.Equal(t, known, c.known, "%+v", got)
			assert.Equal(t, got.First, c.first)
			assert.Equal(t, got.Last, c.last)
			assert.Equal(t, got.LateLast, c.late)
		})
	}
}

// TestDigestIsBounded guards against a leader record that grows with the accounts and queues.
func TestDigestIsBounded(t *testing.T) {
	s := fullFleet(60, 150)
	for i := range 510 {
		s.Accounts = append(s.Accounts, AccountUse{Account: fmt.Sprintf("account-%d", i), Accelerators: int64(i)})
	}
	for i := range 60 {
		q := s.Queues[i%3]
		q.Name = fmt.Sprintf("queue-with-a-long-name-%d", i)
		s.Queues = append(s.Queues, q)
	}
	d := New().Compute(s)
	m := d.Encode()
	assert.Assert(t, proto.Size(m) <= MaxDigestBytes && proto.Size(m) > MaxDigestBytes/2, "%d bytes", proto.Size(m))
	got := Decode(m)
	assert.Assert(t, len(got.Queues) > 0)
	for _, q := range got.Queues {
		for _, c := range q.Classes {
			one := chestnutpond.Graph{
				Queue: chestnutpond.QueuePolicy{Name: q.Name}, Steps: []chestnutpond.Step{{Count: c.Width, Need: c.Need, Gang: c.Gang, SameRack: c.SameRack}},
			}
			_, _, ok := got.Delay(&one)
			assert.Assert(t, ok)
		}
	}
}
