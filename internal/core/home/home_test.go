package home

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newList(name string, seeds ...string) *Candidates {
	return New(Config{Name: name, Region: "pampa", Zone: "a", Seeds: seeds})
}

func next(t *testing.T, l *Candidates, now time.Duration) string {
	t.Helper()
	e, ok := l.Next(now)
	assert.Assert(t, ok)
	return e
}

var (
	zoneA    = Entry{"a", "pampa", "a"}
	zoneB    = Entry{"b", "pampa", "b"}
	farEntry = Entry{"d", "cuyo", "d"}
)

// Guards against an entry that is tried twice before all others were tried, and
// against an agent that does not prefer the entry that answered last.
func TestNext(t *testing.T) {
	l := newList("agent", "a", "b", "c", "a")
	seen := map[string]bool{}
	for range 3 {
		e := next(t, l, 0)
		assert.Assert(t, !seen[e])
		seen[e] = true
		l.Failed(0, e)
	}
	l.Answered(0, "b")
	assert.Equal(t, next(t, l, 0), "b")
	l.Failed(0, "b")
	assert.Assert(t, next(t, l, 0) != "b")
}

// Guards against unbounded memory for learned entries, and against a list that
// drops seeds or the nearest entries.
func TestLearn(t *testing.T) {
	l := newList("agent", "seed")
	many := []Entry{{Address: "seed"}}
	for i := range 1000 {
		many = append(many, Entry{fmt.Sprint("e", i), "cuyo", "d"})
	}
	l.Learn(0, append(many, zoneA))
	assert.Equal(t, l.Len(), 1+MaxLearned)
	l.Learn(0, nil)
	assert.Equal(t, l.Len(), 1+MaxLearned)
	assert.Equal(t, next(t, l, 0), "a")
	l.Learn(0, []Entry{{Address: "x"}})
	assert.Equal(t, l.Len(), 3, "the entry of the agent's zone is kept, although it is not listed")
	next(t, l, unlistedTTL)
	assert.Equal(t, l.Len(), 2)
	_, ok := newList("agent").Next(0)
	assert.Assert(t, !ok)
}

// Guards the order of distances: the agent's zone, its region, seeds of unknown
// location, other regions. It must also hold when the home is in another region,
// behind a network partition, and no longer lists the near entries.
func TestDistanceOrder(t *testing.T) {
	for i := range 50 {
		l := newList(fmt.Sprint("agent-", i), "seed", "a")
		l.Learn(0, []Entry{farEntry, zoneB, zoneA})
		l.Answered(0, "d")
		l.Learn(time.Second, []Entry{farEntry})
		l.Failed(time.Second, "d")
		for _, want := range []string{"a", "b", "seed", "d"} {
			assert.Equal(t, next(t, l, time.Second), want)
			l.Failed(time.Second, want)
		}
	}
}

// Guards against an uneven spread: each entry at the same distance gets its share
// of the agents, and losing one moves only its own agents.
func TestSpread(t *testing.T) {
	three := []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}
	count := map[string]int{}
	for i := range 300 {
		name := fmt.Sprint("agent-", i)
		before := next(t, newList(name, three...), 0)
		after := next(t, newList(name, three[:2]...), 0)
		count[before]++
		assert.Assert(t, before == three[2] || before == after)
	}
	for _, e := range three {
		assert.Assert(t, count[e] > 70, "%v", count)
	}
}

// Guards against an agent that moves to an entry that is not nearer, or moves
// before the return delay, which is longer for an entry that failed repeatedly.
func TestMove(t *testing.T) {
	both := []Entry{zoneA, zoneB}
	tests := map[string]struct {
		home    Entry
		before  func(l *Candidates)
		min, at time.Duration
	}{
		"listed by the first reply": {zoneB, func(*Candidates) {}, 0, 0},
		"back after a loss": {zoneB, func(l *Candidates) {
			l.Learn(0, both)
			l.Learn(bootstrapPeriod, both[1:])
		}, minReturnDelay, 2 * minReturnDelay},
		"failed three times": {zoneB, func(l *Candidates) {
			for range 3 {
				l.Failed(bootstrapPeriod, "a")
			}
		}, 4 * minReturnDelay, 8 * minReturnDelay},
		"home is equally near":     {zoneA, func(*Candidates) {}, -1, -1},
		"location of home unknown": {Entry{Address: "a"}, func(*Candidates) {}, -1, -1},
		"full": {zoneA, func(l *Candidates) {
			l.Learn(0, both)
			l.Full(bootstrapPeriod, "a")
		}, 0, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newList("agent", "a", "b")
			c.before(l)
			l.Answered(bootstrapPeriod, c.home.Address)
			entries := both
			if c.home.Region == "" {
				entries = []Entry{c.home, farEntry}
			}
			moved := time.Duration(-1)
			for now := bootstrapPeriod; now < time.Hour && moved < 0; now += time.Second {
				l.Answered(now, c.home.Address)
				l.Learn(now, entries)
				if l.ShouldMove(now) {
					moved = now - bootstrapPeriod
					assert.Assert(t, next(t, l, now) != c.home.Address)
				}
			}
			assert.Assert(t, c.min <= moved && moved <= c.at, "%v", moved)
		})
	}
}

// Guards against the overload that may follow the loss of a zone's entry: its
// agents must not all move to one other entry, keep moving between full entries,
// or all return at the same time.
func TestZoneLosesItsEntry(t *testing.T) {
	const agents, limit, lost = 1100, 165, "r3-z1"
	var entries []Entry
	for i := range 11 {
		region := fmt.Sprint("r", i/3)
		entries = append(entries, Entry{fmt.Sprintf("%s-z%d", region, i%3), region, fmt.Sprintf("%s-z%d", region, i%3)})
	}
	lists, homes, moves := make([]*Candidates, agents), make([]string, agents), 0
	// step simulates a heartbeat of each agent and returns the number of agents
	// of each entry.
	step := func(now time.Duration, up []Entry) map[string]int {
		count := map[string]int{}
		for _, h := range homes {
			count[h]++
		}
		for i, l := range lists {
			if len(up) < len(entries) && homes[i] == lost {
				l.Failed(now, lost)
				homes[i] = ""
			}
			fresh := homes[i] == ""
			if fresh {
				homes[i] = next(t, l, now)
				count[homes[i]]++
				moves++
			}
			l.Answered(now, homes[i])
			l.Learn(now, up)
			if fresh && homes[i] != l.cfg.Zone && count[homes[i]] > limit {
				l.Full(now, homes[i])
			}
			if l.ShouldMove(now) {
				count[homes[i]]--
				homes[i] = ""
			}
		}
		return count
	}
	for i := range lists {
		at := entries[i%11]
		lists[i] = New(Config{Name: fmt.Sprint("agent-", i), Region: at.Region, Zone: at.Zone, Seeds: []string{entries[0].Address}})
	}
	for now := range time.Duration(3) {
		step(now*time.Second, entries)
	}
	assert.DeepEqual(t, step(3*time.Second, entries), map[string]int{
		"r0-z0": 100, "r0-z1": 100, "r0-z2": 100, "r1-z0": 100, "r1-z1": 100, "r1-z2": 100,
		"r2-z0": 100, "r2-z1": 100, "r2-z2": 100, "r3-z0": 100, "r3-z1": 100,
	})
	moves = 0
	step(4*time.Second, entries[:10])
	step(5*time.Second, entries[:10])
	count := step(6*time.Second, entries[:10])
	for e, n := range count {
		assert.Assert(t, n <= limit, "%s: %v", e, count)
	}
	assert.Equal(t, count["r3-z0"], limit)
	assert.Assert(t, moves < 200, "%d moves", moves)
	lostMoves, most := moves, 0
	for now := 7 * time.Second; now < time.Minute+20*time.Second; now += time.Second {
		before := count[lost]
		count = step(now, entries)
		most = max(most, count[lost]-before)
	}
	t.Logf("%d moves after the loss, at most %d returns a second", lostMoves, most)
	assert.Equal(t, count[lost], 100)
	assert.Assert(t, most < 20, "%d in a second", most)
}
