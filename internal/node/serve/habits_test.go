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

// addMember starts an entry that exchanges membership state with another one.
func (c *fakeCluster) addMember(t *testing.T, name, other string) *Server {
	s := c.addEntry(t, name, stand.NewLog("s"))
	c.mu.Lock()
	c.groups[name] = peers.New(peers.Config{
		Self:    fleet.Peer{Name: name, Incarnation: 1, Address: name, Region: "pampa", Zone: "pampa-a"},
		Entries: []string{other}, Dialer: c, Tail: s.cfg.Tail, Listener: s, Habits: s, Events: s.cfg.Events,
		Logger: s.cfg.Logger, Metrics: stats.New(),
	})
	c.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- c.groups[name].Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return s
}

// sendRequests sends requests of the callers in turn, one at a time, for d.
func sendRequests(s *Server, d time.Duration, callers ...string) {
	for i, end := 0, s.now()+d; s.now() < end; i++ {
		r := request(price, "")
		r.Caller = callers[i%len(callers)]
		s.Do(context.Background(), r)
	}
}

// TestNewEntryLearnsHabits guards against a new entry that treats a flood as usual
// load because it did not get the callers' usual rates from another entry.
func TestNewEntryLearnsHabits(t *testing.T) {
	for name, c := range map[string]struct {
		past time.Duration
		// dropReplies is the number of exchange replies that are dropped.
		dropReplies int
		want        float32
	}{
		"learns":           {past: 10 * time.Minute, want: 1},
		"answers are lost": {past: 10 * time.Minute, dropReplies: 3, want: 1},
		"peer is new":      {past: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster(newAgent("u"))
				cluster.agents["u"].latency = 500 * time.Millisecond
				a := cluster.addMember(t, "a", "")
				sendRequests(a, c.past, "c")
				for _, next := range []string{"b", "b of the next start"} {
					cluster.mu.Lock()
					cluster.dropReplies = c.dropReplies
					cluster.mu.Unlock()
					b := cluster.addMember(t, next, "a")
					time.Sleep(20 * time.Second)
					got := b.Habits().GetHabits()
					assert.Assert(t, c.want > 0 && len(got) == 1 && got[0].GetRate() > 0.8 && got[0].GetRate() < 1.2 ||
						c.want == 0 && len(got) == 0, "%v", got)
				}
			})
		})
	}
}

// TestHabitsAreBounded guards against a list whose size grows with the length of
// the callers' names, and against losing a list that arrives before the document.
func TestHabitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(newAgent("u"))
		a, b := cluster.addEntry(t, "a", stand.NewLog("s")), New(cluster.entries["a"].cfg)
		var callers []string
		for i := range 600 {
			callers = append(callers, strings.Repeat("x", 124-i%8)+NewID()[:4])
		}
		sendRequests(a, 2*time.Minute, callers...)
		list := a.Habits()
		assert.Assert(t, len(list.GetHabits()) > 200 && proto.Size(list) <= MaxHabitsBytes, "%d", proto.Size(list))
		assert.Assert(t, !b.ImportHabits(nil) && b.ImportHabits(list))
		b.SetDocument(cluster.document())
		assert.Equal(t, len(b.Habits().GetHabits()), len(list.GetHabits()))
	})
}
