package agent

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// placed returns entries of one zone.
func placed(region, zone string, names ...string) []*inner.EntryAddress {
	var list []*inner.EntryAddress
	for _, name := range names {
		list = append(list, &inner.EntryAddress{Address: name, Region: region, Zone: zone})
	}
	return list
}

// Guards against agents whose home is beyond a cut of their region: each must
// find the entry that its region keeps before its isolation stops its tasks, at
// the heartbeat interval of 755 agents an entry. Without any entry the tasks must
// have stopped when the scheduler has waited, which counts from the loss of the
// stream where the entries ping.
func TestCutRegionKeepsItsTasks(t *testing.T) {
	tests := map[string]struct {
		keepalive time.Duration
		// near are the entries of the region, of which the last is up.
		near []string
		// found is when the agents have the near entry, and end when the tasks of
		// agents without one have stopped.
		found, end time.Duration
	}{
		"no pings":                    {near: []string{"b"}, found: 58 * time.Second},
		"pings":                       {keepalive: 5 * time.Second, near: []string{"b"}, found: 9 * time.Second},
		"pings, three more are down":  {keepalive: 5 * time.Second, near: []string{"b", "c", "d", "e"}, found: 19 * time.Second},
		"nobody is there, no pings":   {end: 63 * time.Second},
		"nobody is there, with pings": {keepalive: 5 * time.Second, end: 21 * time.Second},
	}
	for name, c := range tests {
		inWorld(t, name, 8, func(t *testing.T, w *world) {
			far, names := []*fakeEntry{w.entries["entry-a"]}, []string{"entry-a"}
			for i := range 9 {
				name := fmt.Sprint("far-", i)
				far, names = append(far, w.addEntry(name)), append(names, name)
			}
			entries := append(placed("cuyo", "c", names...), placed("pampa", "y", c.near...)...)
			for _, e := range far {
				e.answer(&inner.AnnounceReply{
					Heartbeat: durationpb.New(18900 * time.Millisecond), Entries: entries, Keepalive: durationpb.New(c.keepalive),
				})
			}
			// The first answer of a stream tells of the pings.
			far[0].breakAll()
			time.Sleep(2 * time.Second)
			w.launch(8)
			time.Sleep(30 * time.Second)
			assert.Equal(t, w.running(), 8)
			var last *fakeEntry
			for _, name := range c.near {
				if last != nil {
					last.hush()
				}
				last = w.addEntry(name)
			}
			for _, e := range far {
				e.hush()
			}
			time.Sleep(c.found + c.end)
			if last == nil {
				assert.Equal(t, w.running(), 0)
				return
			}
			assert.Assert(t, len(last.messages()) >= 8)
			time.Sleep(2 * time.Minute)
			assert.Equal(t, w.running(), 8)
		})
	}
}

// Guards against an entry that is called silent, and left, after a pause that is
// shorter than a ping may be late, or because its answers are far apart.
func TestPausedEntryIsKept(t *testing.T) {
	inWorld(t, "7 s of 8 s", 1, func(t *testing.T, w *world) {
		e := w.entries["entry-a"]
		e.answer(&inner.AnnounceReply{Heartbeat: durationpb.New(20 * time.Second), Keepalive: durationpb.New(5 * time.Second)})
		e.breakAll()
		time.Sleep(2 * time.Second)
		sequence := e.lastRow().GetSequence()
		for range 3 {
			e.hush()
			time.Sleep(7 * time.Second)
			e.answer(&inner.AnnounceReply{})
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, e.lastRow().GetSequence(), sequence, "the stream was given up")
	})
}

// Guards against a speaker that sleeps through a shortened interval: the entry,
// and the limit of its silence, count in the new one.
func TestShorterInterval(t *testing.T) {
	inWorld(t, "20 s to 1 s", 1, func(t *testing.T, w *world) {
		e := w.entries["entry-a"]
		e.answer(&inner.AnnounceReply{Heartbeat: durationpb.New(20 * time.Second)})
		time.Sleep(2 * time.Second)
		sequence := e.lastRow().GetSequence()
		e.answer(&inner.AnnounceReply{Heartbeat: durationpb.New(time.Second)})
		time.Sleep(time.Minute)
		assert.Equal(t, e.lastRow().GetSequence(), sequence, "the stream was given up")
	})
}
