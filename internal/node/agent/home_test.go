package agent

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// entryAddresses returns the addresses of entries of one zone.
func entryAddresses(region, zone string, names ...string) []*inner.EntryAddress {
	var list []*inner.EntryAddress
	for _, name := range names {
		list = append(list, &inner.EntryAddress{Address: name, Region: region, Zone: zone})
	}
	return list
}

// Guards the tasks of agents whose home entry is on the other side of a network
// partition around their region: each agent must find the reachable entry of its
// region before isolation stops its tasks, at the heartbeat interval of 755 agents
// per entry. Without a reachable entry the tasks must have stopped when the
// scheduler's wait is over, which starts at the loss of the stream if the entries
// send pings.
func TestCutRegionKeepsItsTasks(t *testing.T) {
	tests := map[string]struct {
		keepalive time.Duration
		// near are the entries of the agents' region, of which only the last is up.
		near []string
		// found is when the agents have reached the near entry, end when the tasks
		// of agents without one have stopped.
		found, end time.Duration
	}{
		"no pings":                    {near: []string{"b"}, found: 58 * time.Second},
		"pings":                       {keepalive: 5 * time.Second, near: []string{"b"}, found: 9 * time.Second},
		"pings, three more are down":  {keepalive: 5 * time.Second, near: []string{"b", "c", "d", "e"}, found: 19 * time.Second},
		"nobody is there, no pings":   {end: 63 * time.Second},
		"nobody is there, with pings": {keepalive: 5 * time.Second, end: 21 * time.Second},
	}
	for name, c := range tests {
		runInCluster(t, name, 8, func(t *testing.T, w *cluster) {
			far, names := []*fakeEntry{w.entries["entry-a"]}, []string{"entry-a"}
			for i := range 9 {
				name := fmt.Sprint("far-", i)
				far, names = append(far, w.addEntry(name)), append(names, name)
			}
			entries := append(entryAddresses("cuyo", "c", names...), entryAddresses("pampa", "y", c.near...)...)
			for _, e := range far {
				e.setReply(&inner.AnnounceReply{
					Heartbeat: durationpb.New(18900 * time.Millisecond), Entries: entries, Keepalive: durationpb.New(c.keepalive),
				})
			}
			// Keepalive is applied only from the first reply of a stream.
			far[0].breakAll()
			time.Sleep(2 * time.Second)
			w.launch(8)
			time.Sleep(30 * time.Second)
			assert.Equal(t, w.running(), 8)
			var last *fakeEntry
			for _, name := range c.near {
				if last != nil {
					last.goSilent()
				}
				last = w.addEntry(name)
			}
			for _, e := range far {
				e.goSilent()
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

// Guards against leaving an entry because of a pause shorter than keepalive plus
// pingSlack, or because of a long time between its replies.
func TestPausedEntryKeepsItsStream(t *testing.T) {
	runInCluster(t, "7 s of 8 s", 1, func(t *testing.T, w *cluster) {
		e := w.entries["entry-a"]
		e.setReply(&inner.AnnounceReply{Heartbeat: durationpb.New(20 * time.Second), Keepalive: durationpb.New(5 * time.Second)})
		e.breakAll()
		time.Sleep(2 * time.Second)
		sequence := e.lastRow().GetSequence()
		for range 3 {
			e.goSilent()
			time.Sleep(7 * time.Second)
			e.setReply(&inner.AnnounceReply{})
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, e.lastRow().GetSequence(), sequence, "the stream was closed")
	})
}

// Guards against a sender that waits for the end of the old interval after the
// entry shortened it: the entry and its timeout use the new one.
func TestShortenedHeartbeatInterval(t *testing.T) {
	runInCluster(t, "20 s to 1 s", 1, func(t *testing.T, w *cluster) {
		e := w.entries["entry-a"]
		e.setReply(&inner.AnnounceReply{Heartbeat: durationpb.New(20 * time.Second)})
		time.Sleep(2 * time.Second)
		sequence := e.lastRow().GetSequence()
		e.setReply(&inner.AnnounceReply{Heartbeat: durationpb.New(time.Second)})
		time.Sleep(time.Minute)
		assert.Equal(t, e.lastRow().GetSequence(), sequence, "the stream was closed")
	})
}
