package events

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newRing(size int, share float64) *Ring {
	return New(Config{Process: "e1", Incarnation: 7, Size: size, RequestShare: share, Now: func() time.Time { return startTime }})
}

// Guards against a reader that misses dropped events without notice.
func TestSinceCountsWhatWasDropped(t *testing.T) {
	tests := map[string]struct {
		add, since, limit        int
		want                     int
		wantFirst, next, dropped int64
	}{
		"empty":                {add: 0, since: 0, want: 0, next: 1},
		"all kept":             {add: 4, since: 0, want: 4, wantFirst: 1, next: 5},
		"oldest dropped":       {add: 10, since: 1, want: 4, wantFirst: 7, next: 11, dropped: 6},
		"from the middle":      {add: 10, since: 9, want: 2, wantFirst: 9, next: 11},
		"beyond the newest":    {add: 4, since: 20, want: 0, next: 20},
		"limit":                {add: 4, since: 1, limit: 2, want: 2, wantFirst: 1, next: 3},
		"limit after the drop": {add: 10, since: 5, limit: 1, want: 1, wantFirst: 7, next: 8, dropped: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRing(8, 1)
			for range tt.add {
				r.Add(chestnutpond.Event{Job: "j1"})
			}
			got, next, dropped := r.Since(int64(tt.since), Filter{}, tt.limit)
			assert.Equal(t, len(got), tt.want)
			assert.Equal(t, next, tt.next)
			assert.Equal(t, dropped, tt.dropped)
			if len(got) > 0 {
				assert.Equal(t, got[0].Sequence, tt.wantFirst)
			}
		})
	}
}

// Guards against a flood of request events that evicts job events.
func TestRequestsDoNotDropJobs(t *testing.T) {
	r := newRing(8, 1)
	id := r.Add(chestnutpond.Event{Kind: chestnutpond.EventStarted, Job: "j1"})
	for i := range 100 {
		r.Add(chestnutpond.Event{Kind: chestnutpond.EventServed, Request: fmt.Sprint(i)})
	}
	got, _, dropped := r.Since(0, Filter{Job: "j1"}, 0)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, id)
	assert.Equal(t, dropped, int64(96))
	assert.Equal(t, r.Dropped(), int64(96))
}

// Guards against a sample that keeps only some events of a request, and against
// gaps in the sequence numbers where a request is not sampled.
func TestRequestsAreSampledWhole(t *testing.T) {
	tests := map[string]struct {
		share    float64
		min, max int
	}{
		"none":    {share: -1, min: 0, max: 0},
		"default": {share: 0, min: 60, max: 140},
		"half":    {share: 0.5, min: 400, max: 600},
		"all":     {share: 1, min: 1000, max: 1000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRing(8192, tt.share)
			kept := 0
			for i := range 1000 {
				first := r.Add(chestnutpond.Event{Request: fmt.Sprint(i)})
				second := r.Add(chestnutpond.Event{Request: fmt.Sprint(i)})
				assert.Equal(t, first == "", second == "")
				if first != "" {
					kept++
				}
			}
			assert.Assert(t, kept >= tt.min && kept <= tt.max, "kept %d", kept)
			got, _, dropped := r.Since(0, Filter{}, 0)
			assert.Equal(t, len(got), 2*kept)
			assert.Equal(t, dropped, int64(0))
			job := r.Add(chestnutpond.Event{Request: "1", Job: "j1"})
			assert.Assert(t, job != "", "an event of a job is always kept")
		})
	}
}

func TestFilterMatch(t *testing.T) {
	e := chestnutpond.Event{Job: "j1", Request: "r1", Upstream: "w1", At: startTime}
	tests := map[string]struct {
		filter Filter
		want   bool
	}{
		"all":            {Filter{}, true},
		"job":            {Filter{Job: "j1"}, true},
		"other job":      {Filter{Job: "j2"}, false},
		"other request":  {Filter{Request: "r2"}, false},
		"other upstream": {Filter{Upstream: "w2"}, false},
		"at from":        {Filter{From: startTime}, true},
		"before from":    {Filter{From: startTime.Add(1)}, false},
		"at to":          {Filter{To: startTime}, false},
		"before to":      {Filter{To: startTime.Add(1)}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.filter.Match(e), tt.want) })
	}
}

// Guards against duplicate event IDs when several goroutines add events.
func TestAddConcurrently(t *testing.T) {
	r := newRing(64, 1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				r.Add(chestnutpond.Event{Job: "j1"})
				r.Since(0, Filter{}, 4)
			}
		})
	}
	wg.Wait()
	got, next, dropped := r.Since(0, Filter{}, 0)
	assert.Equal(t, next, int64(801))
	assert.Equal(t, dropped, int64(800-len(got)))
	for i, e := range got {
		assert.Equal(t, e.Sequence, int64(769+i))
	}
}

// Guards against a time line that shows the oldest events instead of the newest.
func TestReplyWithoutSinceHasTheNewest(t *testing.T) {
	r := newRing(8, 1)
	for i := range 10 {
		r.Add(chestnutpond.Event{Job: chestnutpond.JobID(fmt.Sprint("j", i%2)), Detail: strings.Repeat("é", MaxDetail)})
	}
	tests := map[string]struct {
		request *inner.EventsRequest
		want    []int64
		next    int64
		dropped int64
	}{
		"newest":        {&inner.EventsRequest{Limit: 2}, []int64{9, 10}, 11, 6},
		"newest of job": {&inner.EventsRequest{Limit: 2, Job: "j0"}, []int64{7, 9}, 11, 6},
		"all":           {&inner.EventsRequest{}, []int64{7, 8, 9, 10}, 11, 6},
		"since":         {&inner.EventsRequest{Since: 8, Limit: 2}, []int64{8, 9}, 10, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reply := r.Reply(tt.request)
			var got []int64
			for _, e := range reply.GetEvents() {
				got = append(got, e.GetSequence())
				assert.Equal(t, e.GetDetail(), strings.Repeat("é", MaxDetail/2))
			}
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, reply.GetNext(), tt.next)
			assert.Equal(t, reply.GetDropped(), tt.dropped)
		})
	}
}

func TestInnerRoundTrip(t *testing.T) {
	r := newRing(8, 1)
	r.Add(chestnutpond.Event{
		Kind: chestnutpond.EventStarted, Job: "j1", Attempt: 2, Request: "r1", Upstream: "w1",
		Account: "ventas", Detail: "8 in one worker", Cause: "e2/1/9",
	})
	r.Add(chestnutpond.Event{Job: "j2"})
	reply := r.Reply(&inner.EventsRequest{Since: 1, Job: "j1"})
	want, next, _ := r.Since(1, Filter{Job: "j1"}, 0)
	assert.Equal(t, len(reply.Events), 1)
	assert.Equal(t, reply.Next, next)
	assert.DeepEqual(t, FromInner(reply.Events[0]), want[0])
	assert.Equal(t, want[0].ID, chestnutpond.EventID("e1/7/1"))
}
