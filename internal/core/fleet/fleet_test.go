package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

func row(name string, incarnation, sequence int64) *inner.Member {
	return &inner.Member{Name: name, Incarnation: incarnation, Sequence: sequence}
}

// TestOrder guards against a row that is replaced by an older one because that
// one arrived later.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		rows  []*inner.Member
		wants [2]int64
	}{
		"ascending":           {[]*inner.Member{row("a", 1, 1), row("a", 1, 2)}, [2]int64{1, 2}},
		"late":                {[]*inner.Member{row("a", 1, 2), row("a", 1, 1)}, [2]int64{1, 2}},
		"new incarnation":     {[]*inner.Member{row("a", 1, 9), row("a", 2, 1)}, [2]int64{2, 1}},
		"old incarnation":     {[]*inner.Member{row("a", 2, 1), row("a", 1, 9)}, [2]int64{2, 1}},
		"repeated":            {[]*inner.Member{row("a", 1, 1), row("a", 1, 1)}, [2]int64{1, 1}},
		"late and incarnated": {[]*inner.Member{row("a", 2, 3), row("a", 2, 1), row("a", 1, 5)}, [2]int64{2, 3}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Self: "entry"})
			for _, m := range tc.rows {
				table.Learn(0, m, "other")
			}
			got, ok := table.Get("a")
			assert.Assert(t, ok)
			assert.Equal(t, got.Member.GetIncarnation(), tc.wants[0])
			assert.Equal(t, got.Member.GetSequence(), tc.wants[1])
		})
	}
}

// TestExpire guards against a silent agent that stays in use, and against a
// live one that is dropped because its home died.
func TestExpire(t *testing.T) {
	const limit = missedHeartbeats * minHeartbeat
	noneLost := func(string) (time.Duration, bool) { return 0, false }
	homeLost := func(string) (time.Duration, bool) { return time.Second, true }
	tests := map[string]struct {
		home     string
		now      time.Duration
		lost     func(string) (time.Duration, bool)
		want     int
		fleet    int
		departed time.Duration
		back     bool
	}{
		"own, heard":                {home: "self", now: limit, lost: noneLost, departed: limit},
		"own, silent":               {home: "self", now: limit + 1, lost: noneLost, departed: limit, want: 1},
		"of a live entry":           {home: "other", now: time.Hour, lost: noneLost},
		"of a lost entry, at first": {home: "other", now: time.Second + orphanAfter, lost: homeLost},
		"of a lost entry, later":    {home: "other", now: time.Second + orphanAfter + 1, lost: homeLost, want: 1},
		"without a home, at first":  {now: orphanAfter, lost: noneLost},
		"without a home, later":     {now: orphanAfter + 1, lost: noneLost, want: 1},
		"stream ended, at first":    {home: "self", now: 1 + departedAfter, lost: noneLost, fleet: 800, departed: 1},
		"stream ended, later":       {home: "self", now: 2 + departedAfter, lost: noneLost, fleet: 800, departed: 1, want: 1},
		"stream opened again":       {home: "self", now: time.Minute, lost: noneLost, fleet: 800, departed: 1, back: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Self: "self"})
			table.Learn(0, row("a", 1, 1), tc.home)
			// 800 agents make the heartbeat interval 20 s.
			for i := range tc.fleet {
				table.Hear(0, row(fmt.Sprint("of the fleet ", i), 1, 1))
			}
			table.Depart(tc.departed, "a")
			if tc.back {
				table.Hear(tc.departed, row("a", 1, 1))
			}
			lost := table.Expire(tc.now, tc.lost)
			assert.Equal(t, len(lost), tc.want)
			got, _ := table.Get("a")
			assert.Equal(t, got.Usable(), tc.want == 0)
		})
	}
}

// TestSince guards against an exchange that sends rows of other homes, sends
// unchanged rows again, or leaves a loss out.
func TestSince(t *testing.T) {
	table := New(Config{Self: "self"})
	table.Hear(0, row("a", 1, 1))
	table.Hear(0, row("b", 1, 1))
	table.Learn(0, row("c", 1, 1), "other")
	rows, next := table.Since(0)
	assert.Equal(t, len(rows), 2)
	rows, _ = table.Since(next)
	assert.Equal(t, len(rows), 0)
	table.Hear(0, row("b", 1, 2))
	table.Lose(0, "a")
	rows, _ = table.Since(next)
	assert.Equal(t, len(rows), 2)
	assert.Assert(t, rows[1].Lost)
}

// TestMove guards against an agent that flaps between its former and its new
// home.
func TestMove(t *testing.T) {
	table := New(Config{Self: "self"})
	table.Hear(0, row("a", 1, 1))
	assert.Assert(t, table.Learn(0, row("a", 1, 2), "other"))
	late := row("a", 1, 1)
	late.Lost = true
	assert.Assert(t, !table.Learn(0, late, "former"))
	got, _ := table.Get("a")
	assert.Equal(t, got.Home, "other")
	assert.Assert(t, got.Usable())
	assert.Equal(t, table.Homed(), 0)
}

// TestInterval guards against a home that takes in more heartbeats than its
// budget when a region's agents all choose it.
func TestInterval(t *testing.T) {
	table := New(Config{Self: "self"})
	for i := range 400 {
		table.Hear(0, row(string(rune('a'+i)), 1, 1))
	}
	assert.Equal(t, table.Interval(), 10*time.Second)
}

// TestCrowded guards against a home that sends agents away although it has no
// more than its share, or because its region is cut off.
func TestCrowded(t *testing.T) {
	tests := map[string]struct {
		own, others, entries int
		want                 bool
	}{
		"small fleet":       {heartbeatBudget, 0, 3, false},
		"a share and half":  {150, 150, 3, false},
		"more than that":    {151, 149, 3, true},
		"after a cut":       {151, 149, 2, false},
		"nobody else there": {500, 0, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Self: "self"})
			for i := range tc.own {
				table.Hear(0, row(fmt.Sprint("own-", i), 1, 1))
			}
			for i := range tc.others {
				table.Learn(0, row(fmt.Sprint("other-", i), 1, 1), "other")
			}
			assert.Equal(t, table.Crowded(tc.entries), tc.want)
		})
	}
}

// TestRank guards against two entries that both think they come first.
func TestRank(t *testing.T) {
	peers := []Peer{
		{Name: "a", Region: "pampa"}, {Name: "b", Region: "pampa"}, {Name: "c", Region: "cuyo"},
	}
	ranks := make(map[int]string)
	for _, self := range peers {
		p := NewPeers(PeersConfig{Self: self, LostAfter: time.Second})
		for _, other := range peers {
			p.Heard(0, other)
		}
		ranks[p.Rank("pampa")] = self.Name
	}
	assert.Equal(t, len(ranks), 3)
	assert.Equal(t, ranks[2], "c")
}

// TestMajority guards against an entry that counts those that left for good, or
// that takes itself for the majority when it is cut off.
func TestMajority(t *testing.T) {
	tests := map[string]struct {
		heard, lost, left int
		want              bool
	}{
		"alone":                     {0, 0, 0, true},
		"one of two":                {0, 1, 0, false},
		"two of three":              {1, 1, 0, true},
		"one of three":              {0, 2, 0, false},
		"half of four":              {1, 2, 0, false},
		"one, the others have left": {0, 0, 2, true},
		"one of two, three left":    {0, 1, 3, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPeers(PeersConfig{Self: Peer{Name: "self"}, LostAfter: time.Second})
			for i := range tc.heard + tc.lost + tc.left {
				peer := Peer{Name: string(rune('a' + i)), Incarnation: 1}
				p.Heard(0, peer)
				if i < tc.heard {
					p.Heard(time.Minute, peer)
				}
				if i >= tc.heard+tc.lost {
					p.Leave(0, peer)
					p.Heard(time.Minute, peer)
				}
			}
			p.Expire(time.Minute)
			assert.Equal(t, p.Majority(), tc.want)
		})
	}
}
