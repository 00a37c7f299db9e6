package events

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards against a causal chain that skips an event, includes an informational
// event, or mixes two jobs.
func TestTrailLinksTheEventsOfAJob(t *testing.T) {
	ring := newRing(64, 1)
	trail := NewCauseChain(ring)
	add := func(kind chestnutpond.EventKind, job chestnutpond.JobID, cause chestnutpond.EventID) {
		trail.Add(chestnutpond.Event{Kind: kind, Job: job, Cause: cause})
	}
	add(chestnutpond.EventAccepted, "j1", "")
	add(chestnutpond.EventAccepted, "j2", "")
	add(chestnutpond.EventWaiting, "j1", "")
	add(chestnutpond.EventPlaced, "j1", "")
	add(chestnutpond.EventBorrowed, "j1", "")
	add(chestnutpond.EventPrepared, "j1", "")
	add(chestnutpond.EventReclaimed, "j1", trail.Last("j2"))
	trail.Follow("j1", "w1/1/1")
	trail.Follow("j1", "")
	add(chestnutpond.EventStopped, "j1", "")
	add(chestnutpond.EventDraining, "", "")
	got, _, _ := ring.Newest(Filter{}, 0)
	var causes []chestnutpond.EventID
	for _, e := range got {
		causes = append(causes, e.Cause)
	}
	assert.DeepEqual(t, causes, []chestnutpond.EventID{
		"", "", "e1/7/1", "e1/7/1", "e1/7/4", "e1/7/4", "e1/7/2", "w1/1/1", "",
	})
}

// Guards against unbounded memory as the number of jobs grows.
func TestTrailIsBounded(t *testing.T) {
	trail := NewCauseChain(newRing(8, 1))
	for i := range MaxChainJobs + 1 {
		trail.Follow(chestnutpond.JobID(fmt.Sprint(i)), "e/1/1")
	}
	assert.Equal(t, len(trail.last), MaxChainJobs)
	assert.Equal(t, len(trail.order), MaxChainJobs)
	assert.Equal(t, trail.Last("0"), chestnutpond.EventID(""))
	assert.Equal(t, trail.Last("1"), chestnutpond.EventID("e/1/1"))
}

// Guards against a limit that is applied before the time filter, so that newer
// events displace those of the requested time range.
func TestReplyLimitsWithinTheTime(t *testing.T) {
	now := startTime
	ring := New(Config{Process: "e1", Incarnation: 7, Size: 64, RequestShare: 1, Now: func() time.Time {
		now = now.Add(time.Second)
		return now
	}})
	for range 10 {
		ring.Add(chestnutpond.Event{Job: "j1"})
	}
	at := func(seconds int) int64 { return startTime.Add(time.Duration(seconds) * time.Second).UnixNano() }
	tests := map[string]struct {
		request *inner.EventsRequest
		want    []int64
	}{
		"newest of a span":    {&inner.EventsRequest{FromUnixNano: at(2), ToUnixNano: at(6), Limit: 2}, []int64{4, 5}},
		"from, to the end":    {&inner.EventsRequest{FromUnixNano: at(9)}, []int64{9, 10}},
		"up to":               {&inner.EventsRequest{ToUnixNano: at(3)}, []int64{1, 2}},
		"since within a span": {&inner.EventsRequest{Since: 3, FromUnixNano: at(2), ToUnixNano: at(6), Limit: 2}, []int64{3, 4}},
		"empty span":          {&inner.EventsRequest{FromUnixNano: at(6), ToUnixNano: at(6)}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []int64
			for _, e := range ring.Reply(tt.request).GetEvents() {
				got = append(got, e.GetSequence())
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
