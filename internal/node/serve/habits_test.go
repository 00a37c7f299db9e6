package serve

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/node/peers"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// join makes an entry, gives it a membership and lets it exchange with another.
func (w *world) join(t *testing.T, name, other string) *Server {
	s := w.addEntry(t, name, stand.NewLog("s"))
	w.mu.Lock()
	w.groups[name] = peers.New(peers.Config{
		Self:    fleet.Peer{Name: name, Incarnation: 1, Address: name, Region: "pampa", Zone: "pampa-a"},
		Entries: []string{other}, Dialer: w, Tail: s.cfg.Tail, Listener: s, Habits: s, Events: s.cfg.Events,
		Logger: s.cfg.Logger, Metrics: stats.New(),
	})
	w.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- w.groups[name].Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return s
}

// work has callers send requests for a time, one after the other.
func work(s *Server, d time.Duration, callers ...string) {
	for i, end := 0, s.now()+d; s.now() < end; i++ {
		r := request(price, "")
		r.Caller = callers[i%len(callers)]
		s.Do(context.Background(), r)
	}
}

// Guards against a new entry that takes a flood for usual work because nobody told
// it what callers usually get.
func TestNewEntryLearnsHabits(t *testing.T) {
	for name, c := range map[string]struct {
		past time.Duration
		// lost is the number of answers to exchanges that get lost.
		lost int
		want float32
	}{
		"learns":           {past: 10 * time.Minute, want: 1},
		"answers are lost": {past: 10 * time.Minute, lost: 3, want: 1},
		"peer is new":      {past: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(newAgent("u"))
				w.agents["u"].took = 500 * time.Millisecond
				a := w.join(t, "a", "")
				work(a, c.past, "c")
				for _, next := range []string{"b", "b of the next start"} {
					w.mu.Lock()
					w.lost = c.lost
					w.mu.Unlock()
					b := w.join(t, next, "a")
					time.Sleep(20 * time.Second)
					got := b.Habits().GetHabits()
					assert.Assert(t, c.want > 0 && len(got) == 1 && got[0].GetRate() > 0.8 && got[0].GetRate() < 1.2 ||
						c.want == 0 && len(got) == 0, "%v", got)
				}
			})
		})
	}
}

// Guards against a list that grows with the names of callers, and against one that
// is lost because the document comes later.
func TestHabitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(newAgent("u"))
		a, b := w.addEntry(t, "a", stand.NewLog("s")), New(w.entries["a"].cfg)
		var callers []string
		for i := range 600 {
			callers = append(callers, strings.Repeat("x", 124-i%8)+NewID()[:4])
		}
		work(a, 2*time.Minute, callers...)
		list := a.Habits()
		assert.Assert(t, len(list.GetHabits()) > 200 && proto.Size(list) <= HabitsBytes, "%d", proto.Size(list))
		assert.Assert(t, !b.LearnHabits(nil) && b.LearnHabits(list))
		b.SetDocument(w.document())
		assert.Equal(t, len(b.Habits().GetHabits()), len(list.GetHabits()))
	})
}
