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
// the heartbeat interval of 755 agents an entry.
func TestCutRegionKeepsItsTasks(t *testing.T) {
	inWorld(t, "gang of 8", 8, func(t *testing.T, w *world) {
		far, names := []*fakeEntry{w.entries["entry-a"]}, []string{"entry-a"}
		for i := range 9 {
			name := fmt.Sprint("far-", i)
			far, names = append(far, w.addEntry(name)), append(names, name)
		}
		entries := append(placed("cuyo", "c", names...), placed("pampa", "y", "entry-b")...)
		for _, e := range far {
			e.answer(&inner.AnnounceReply{Heartbeat: durationpb.New(18900 * time.Millisecond), Entries: entries})
		}
		time.Sleep(2 * time.Second)
		w.launch(8)
		time.Sleep(30 * time.Second)
		assert.Equal(t, w.running(), 8)
		w.addEntry("entry-b")
		for _, e := range far {
			e.answer(nil)
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, w.running(), 8)
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
