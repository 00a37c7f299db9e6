package peers

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// settleTime is longer than one exchange.
const settleTime = 2*exchangeTimeout + exchangeRetryDelay

// testThreeEntries runs a test in virtual time with three entries that have each
// other's addresses.
func testThreeEntries(t *testing.T, test func(cl *cluster, a, b, c *entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.killAll()
		a, b, c := cl.start("a", 1, "a", "b", "c"), cl.start("b", 1, "a", "b", "c"), cl.start("c", 1, "a", "b", "c")
		time.Sleep(settleTime)
		test(cl, a, b, c)
	})
}

// TestExchangeLosesAnswers guards against a change that is skipped or reverted when
// the reply to an exchange is lost.
func TestExchangeLosesAnswers(t *testing.T) {
	for _, kind := range []delivery{refused, requestLost, replyLost} {
		for _, every := range []int{2, 3} {
			t.Run(fmt.Sprintf("fate %d of every %d", kind, every), func(t *testing.T) {
				testThreeEntries(t, func(cl *cluster, a, b, _ *entry) {
					n := 0
					cl.setDelivery(func(from, to string) delivery {
						if from != "a" || to != "b" {
							return delivered
						}
						n++
						if n%every != 0 {
							return delivered
						}
						return kind
					})
					x := cl.agent("x")
					x.announce(b)
					defer x.leave()
					for range 20 {
						time.Sleep(700 * time.Millisecond)
						x.change()
						peer, _ := a.Peer("b")
						assert.Assert(t, !peer.Lost, "entry declared lost after a single lost reply")
					}
					time.Sleep(settleTime)
					assert.Equal(t, a.view(x), "up 21")
					assert.Equal(t, b.view(x), "up 21")
				})
			})
		}
	}
}

// TestEntryRestarts guards against rows that outlive their agent when the home entry
// restarts and the agent does not contact it again.
func TestEntryRestarts(t *testing.T) {
	testThreeEntries(t, func(cl *cluster, a, b, c *entry) {
		alive, dead := cl.agent("alive"), cl.agent("dead")
		alive.announce(b)
		defer alive.leave()
		dead.announce(b)
		time.Sleep(settleTime)
		assert.Equal(t, a.view(dead), "up 1")
		b.kill()
		dead.leave()
		b = cl.start("b", 2, "a", "b", "c")
		alive.announce(b)
		time.Sleep(settleTime)
		assert.Equal(t, a.view(alive), "up 2")
		time.Sleep(10 * time.Second)
		for _, e := range []*entry{a, c} {
			assert.Equal(t, e.view(alive), "up 2")
			assert.Equal(t, e.view(dead), "lost 1")
		}
		assert.Equal(t, b.view(dead), "unknown")
		peer, _ := a.Peer("b")
		assert.Equal(t, peer.Incarnation, int64(2))
		// The agent comes back at another entry.
		dead.announce(c)
		defer dead.leave()
		time.Sleep(settleTime)
		for _, e := range []*entry{a, b, c} {
			assert.Equal(t, e.view(dead), "up 2")
		}
	})
}

// TestAgentChangesHome guards against an agent that is declared lost by its former
// home, or whose old row reappears, after it moved to another entry.
func TestAgentChangesHome(t *testing.T) {
	tests := map[string]func(from, to string) delivery{
		"all links": nil,
		"the former home does not hear of it": func(from, to string) delivery {
			if from == "a" && to == "b" {
				return refused
			}
			return delivered
		},
		"the new home does not hear of the former": func(from, to string) delivery {
			if from == "b" && to == "a" {
				return requestLost
			}
			return delivered
		},
	}
	for name, deliver := range tests {
		t.Run(name, func(t *testing.T) {
			testThreeEntries(t, func(cl *cluster, a, b, c *entry) {
				x := cl.agent("x")
				x.announce(a)
				time.Sleep(settleTime)
				assert.Equal(t, c.view(x), "up 1")
				cl.setDelivery(deliver)
				x.announce(b)
				defer x.leave()
				time.Sleep(settleTime)
				for range 30 {
					assert.Equal(t, b.view(x), "up 2")
					assert.Equal(t, c.view(x), "up 2")
					time.Sleep(time.Second)
				}
				cl.setDelivery(nil)
				time.Sleep(settleTime)
				assert.Equal(t, a.view(x), "up 2")
				assert.Equal(t, a.Homed(), 0)
				assert.Equal(t, b.Homed(), 1)
			})
		})
	}
}

// TestOneWayCut guards against a cut in one direction that also affects entries that
// are still connected, and against agents that stay lost after the cut because their
// rows did not change.
func TestOneWayCut(t *testing.T) {
	for name, kind := range map[string]delivery{"refused": refused, "silent": requestLost, "no answers": replyLost} {
		t.Run(name, func(t *testing.T) {
			testThreeEntries(t, func(cl *cluster, a, b, c *entry) {
				atA, atB := cl.agent("at-a"), cl.agent("at-b")
				atA.announce(a)
				defer atA.leave()
				atB.announce(b)
				defer atB.leave()
				time.Sleep(settleTime)
				cl.setDelivery(func(from, to string) delivery {
					if from == "a" && to == "b" {
						return kind
					}
					return delivered
				})
				time.Sleep(peerLostAfter + 7*time.Second)
				peer, _ := a.Peer("b")
				assert.Assert(t, peer.Lost)
				assert.Equal(t, a.view(atB), "lost 1")
				for _, e := range []*entry{b, c} {
					peer, _ = e.Peer("a")
					assert.Assert(t, !peer.Lost)
					assert.Equal(t, e.view(atA), "up 1")
					assert.Equal(t, e.view(atB), "up 1")
				}
				cl.setDelivery(nil)
				time.Sleep(settleTime)
				peer, _ = a.Peer("b")
				assert.Assert(t, !peer.Lost)
				assert.Equal(t, a.view(atB), "up 1")
			})
		})
	}
}

// TestSilentAgent guards against an agent that stays up without heartbeats, and
// against one that stays lost after it announces itself again.
func TestSilentAgent(t *testing.T) {
	testThreeEntries(t, func(cl *cluster, a, b, _ *entry) {
		x := cl.agent("x")
		x.announce(a)
		time.Sleep(settleTime)
		x.leave()
		time.Sleep(5 * time.Second)
		assert.Equal(t, a.view(x), "lost 1")
		assert.Equal(t, b.view(x), "lost 1")
		x.announce(a)
		defer x.leave()
		time.Sleep(settleTime)
		assert.Equal(t, a.view(x), "up 2")
		assert.Equal(t, b.view(x), "up 2")
	})
}

// TestAgentOfLargeFleetIsLostSoon guards against an agent whose stream has ended but
// that stays up for three heartbeat intervals, which are long in a large fleet, and
// against one that is declared lost while it reconnects.
func TestAgentOfLargeFleetIsLostSoon(t *testing.T) {
	testThreeEntries(t, func(cl *cluster, a, b, _ *entry) {
		for i := range 800 {
			a.updateMember(&inner.Member{Name: fmt.Sprint("of the fleet ", i), Incarnation: 1})
		}
		x := cl.agent("x")
		x.announce(a)
		x.leave()
		time.Sleep(10 * time.Second)
		x.announce(a)
		time.Sleep(12 * time.Second)
		assert.Equal(t, a.view(x), "up 2")
		x.leave()
		time.Sleep(12 * time.Second)
		assert.Equal(t, a.view(x), "lost 2")
		assert.Equal(t, b.view(x), "lost 2")
	})
}

// TestNewEntryIsLearned guards against a replaced entry host that stays unknown
// because no settings contain its address: the others must learn the address from
// its requests to one of them.
func TestNewEntryIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.killAll()
		a := cl.start("a", 1)
		b := cl.start("b", 1, "a")
		time.Sleep(settleTime)
		c := cl.start("c", 1, "a")
		x := cl.agent("x")
		x.announce(c)
		defer x.leave()
		time.Sleep(2 * settleTime)
		for _, e := range []*entry{a, b, c} {
			assert.Equal(t, len(e.Peers()), 2, "entry %s", e.name)
			assert.Equal(t, e.view(x), "up 1")
		}
	})
}

// TestReplacedEntriesAreForgotten guards against a long-running process that polls
// the addresses of all former entries until maxPollers leaves no room for new ones.
func TestReplacedEntriesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t)
		defer cl.killAll()
		a := cl.start("a", 1, "seed")
		for i := range maxPollers + 10 {
			e := cl.start(fmt.Sprint("e", i), 1, "a")
			time.Sleep(settleTime)
			e.kill()
			time.Sleep(2 * time.Minute)
		}
		last := cl.start("last", 1, "a")
		time.Sleep(settleTime)
		peer, ok := a.Peer(last.name)
		assert.Assert(t, ok && !peer.Lost)
		time.Sleep(forgetAfter + unansweredLimit)
		assert.DeepEqual(t, len(a.Peers()), 1)
		a.mu.Lock()
		defer a.mu.Unlock()
		assert.Equal(t, len(a.pollers), 2, "the last entry and the address of the settings")
	})
}
