package peers

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// settle is long enough for one exchange.
const settle = 2*exchangeTimeout + exchangeRetry

// play runs a test in virtual time with entries a, b and c that know each other.
func play(t *testing.T, test func(w *world, a, b, c *entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		a, b, c := w.start("a", 1, "a", "b", "c"), w.start("b", 1, "a", "b", "c"), w.start("c", 1, "a", "b", "c")
		time.Sleep(settle)
		test(w, a, b, c)
	})
}

// Guards against a change that is skipped, or undone, when an exchange took place
// and its answer did not arrive.
func TestExchangeLosesAnswers(t *testing.T) {
	for _, kind := range []fate{refused, requestLost, replyLost} {
		for _, every := range []int{2, 3} {
			t.Run(fmt.Sprintf("fate %d of every %d", kind, every), func(t *testing.T) {
				play(t, func(w *world, a, b, _ *entry) {
					n := 0
					w.setJudge(func(from, to string) fate {
						if from != "a" || to != "b" {
							return delivered
						}
						n++
						if n%every != 0 {
							return delivered
						}
						return kind
					})
					x := w.agent("x")
					x.announce(b)
					defer x.leave()
					for range 20 {
						time.Sleep(700 * time.Millisecond)
						x.change()
						peer, _ := a.Peer("b")
						assert.Assert(t, !peer.Lost, "one lost answer made an entry lost")
					}
					time.Sleep(settle)
					assert.Equal(t, a.view(x), "up 21")
					assert.Equal(t, b.view(x), "up 21")
				})
			})
		}
	}
}

// Guards against rows that outlive their agent when the home entry restarts and
// does not hear the agent again.
func TestEntryRestarts(t *testing.T) {
	play(t, func(w *world, a, b, c *entry) {
		alive, dead := w.agent("alive"), w.agent("dead")
		alive.announce(b)
		defer alive.leave()
		dead.announce(b)
		time.Sleep(settle)
		assert.Equal(t, a.view(dead), "up 1")
		b.kill()
		dead.leave()
		b = w.start("b", 2, "a", "b", "c")
		alive.announce(b)
		time.Sleep(settle)
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
		time.Sleep(settle)
		for _, e := range []*entry{a, b, c} {
			assert.Equal(t, e.view(dead), "up 2")
		}
	})
}

// Guards against an agent that the former home declares lost, or whose old row
// comes back, after it moved to another entry.
func TestAgentChangesHome(t *testing.T) {
	tests := map[string]func(from, to string) fate{
		"all links": nil,
		"the former home does not hear of it": func(from, to string) fate {
			if from == "a" && to == "b" {
				return refused
			}
			return delivered
		},
		"the new home does not hear of the former": func(from, to string) fate {
			if from == "b" && to == "a" {
				return requestLost
			}
			return delivered
		},
	}
	for name, judge := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world, a, b, c *entry) {
				x := w.agent("x")
				x.announce(a)
				time.Sleep(settle)
				assert.Equal(t, c.view(x), "up 1")
				w.setJudge(judge)
				x.announce(b)
				defer x.leave()
				time.Sleep(settle)
				for range 30 {
					assert.Equal(t, b.view(x), "up 2")
					assert.Equal(t, c.view(x), "up 2")
					time.Sleep(time.Second)
				}
				w.setJudge(nil)
				time.Sleep(settle)
				assert.Equal(t, a.view(x), "up 2")
				assert.Equal(t, a.Homed(), 0)
				assert.Equal(t, b.Homed(), 1)
			})
		})
	}
}

// Guards against a cut in one direction that blinds the entries behind the other
// one, and against agents that stay lost after the cut although nothing about
// them changed.
func TestOneWayCut(t *testing.T) {
	for name, kind := range map[string]fate{"refused": refused, "silent": requestLost, "no answers": replyLost} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world, a, b, c *entry) {
				atA, atB := w.agent("at-a"), w.agent("at-b")
				atA.announce(a)
				defer atA.leave()
				atB.announce(b)
				defer atB.leave()
				time.Sleep(settle)
				w.setJudge(func(from, to string) fate {
					if from == "a" && to == "b" {
						return kind
					}
					return delivered
				})
				time.Sleep(peerLost + 7*time.Second)
				peer, _ := a.Peer("b")
				assert.Assert(t, peer.Lost)
				assert.Equal(t, a.view(atB), "lost 1")
				for _, e := range []*entry{b, c} {
					peer, _ = e.Peer("a")
					assert.Assert(t, !peer.Lost)
					assert.Equal(t, e.view(atA), "up 1")
					assert.Equal(t, e.view(atB), "up 1")
				}
				w.setJudge(nil)
				time.Sleep(settle)
				peer, _ = a.Peer("b")
				assert.Assert(t, !peer.Lost)
				assert.Equal(t, a.view(atB), "up 1")
			})
		})
	}
}

// Guards against a silent agent that stays in use, and against one that stays lost
// when its stream speaks again.
func TestSilentAgent(t *testing.T) {
	play(t, func(w *world, a, b, _ *entry) {
		x := w.agent("x")
		x.announce(a)
		time.Sleep(settle)
		x.leave()
		time.Sleep(5 * time.Second)
		assert.Equal(t, a.view(x), "lost 1")
		assert.Equal(t, b.view(x), "lost 1")
		x.announce(a)
		defer x.leave()
		time.Sleep(settle)
		assert.Equal(t, a.view(x), "up 2")
		assert.Equal(t, b.view(x), "up 2")
	})
}

// Guards against an agent whose stream has ended and that stays in use for three
// intervals of a large fleet, and against one that is called lost while it moves.
func TestAgentOfLargeFleetIsLostSoon(t *testing.T) {
	play(t, func(w *world, a, b, _ *entry) {
		for i := range 800 {
			a.hear(&inner.Member{Name: fmt.Sprint("of the fleet ", i), Incarnation: 1})
		}
		x := w.agent("x")
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

// Guards against a replaced entry host whose address is in nobody's settings: the
// others must learn of it because it asks one of them.
func TestNewEntryIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		a := w.start("a", 1)
		b := w.start("b", 1, "a")
		time.Sleep(settle)
		c := w.start("c", 1, "a")
		x := w.agent("x")
		x.announce(c)
		defer x.leave()
		time.Sleep(2 * settle)
		for _, e := range []*entry{a, b, c} {
			assert.Equal(t, len(e.Peers()), 2, "entry %s", e.name)
			assert.Equal(t, e.view(x), "up 1")
		}
	})
}

// Guards against a process that runs for long and tries the addresses of all
// entries that ever were, until it has no room for new ones.
func TestReplacedEntriesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		a := w.start("a", 1, "seed")
		for i := range addressLimit + 10 {
			e := w.start(fmt.Sprint("e", i), 1, "a")
			time.Sleep(settle)
			e.kill()
			time.Sleep(2 * time.Minute)
		}
		last := w.start("last", 1, "a")
		time.Sleep(settle)
		peer, ok := a.Peer(last.name)
		assert.Assert(t, ok && !peer.Lost)
		time.Sleep(forgetAfter + followFor)
		assert.DeepEqual(t, len(a.Peers()), 1)
		a.mu.Lock()
		defer a.mu.Unlock()
		assert.Equal(t, len(a.pollers), 2, "the last entry and the address of the settings")
	})
}
