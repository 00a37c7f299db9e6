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

// TestNewestRowWins guards against a row that is replaced by an older one that
// arrives later.
func TestNewestRowWins(t *testing.T) {
	tests := map[string]struct {
		rows []*inner.Member
		want [2]int64
	}{
		"ascending":                  {[]*inner.Member{row("a", 1, 1), row("a", 1, 2)}, [2]int64{1, 2}},
		"late":                       {[]*inner.Member{row("a", 1, 2), row("a", 1, 1)}, [2]int64{1, 2}},
		"new incarnation":            {[]*inner.Member{row("a", 1, 9), row("a", 2, 1)}, [2]int64{2, 1}},
		"old incarnation":            {[]*inner.Member{row("a", 2, 1), row("a", 1, 9)}, [2]int64{2, 1}},
		"repeated":                   {[]*inner.Member{row("a", 1, 1), row("a", 1, 1)}, [2]int64{1, 1}},
		"late from two incarnations": {[]*inner.Member{row("a", 2, 3), row("a", 2, 1), row("a", 1, 5)}, [2]int64{2, 3}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Self: "entry"})
			for _, m := range tc.rows {
				table.PutRemote(0, m, "other")
			}
			got, ok := table.Get("a")
			assert.Assert(t, ok)
			assert.Equal(t, got.Member.GetIncarnation(), tc.want[0])
			assert.Equal(t, got.Member.GetSequence(), tc.want[1])
		})
	}
}

// TestExpire guards against a silent agent that stays usable, and against a live
// one that is marked as lost too early after its home or its stream was lost.
func TestExpire(t *testing.T) {
	const limit = maxMissedHeartbeats * minHeartbeatInterval
	noneLost := func(string) (time.Duration, bool) { return 0, false }
	homeLost := func(string) (time.Duration, bool) { return time.Second, true }
	tests := map[string]struct {
		home           string
		now            time.Duration
		lostSince      func(string) (time.Duration, bool)
		want           int
		otherAgents    int
		disconnectedAt time.Duration
		reconnected    bool
	}{
		"homed here, heard":         {home: "self", now: limit, lostSince: noneLost, disconnectedAt: limit},
		"homed here, silent":        {home: "self", now: limit + 1, lostSince: noneLost, disconnectedAt: limit, want: 1},
		"of a live entry":           {home: "other", now: time.Hour, lostSince: noneLost},
		"of a lost entry, at first": {home: "other", now: time.Second + orphanTimeout, lostSince: homeLost},
		"of a lost entry, later":    {home: "other", now: time.Second + orphanTimeout + 1, lostSince: homeLost, want: 1},
		"without a home, at first":  {now: orphanTimeout, lostSince: noneLost},
		"without a home, later":     {now: orphanTimeout + 1, lostSince: noneLost, want: 1},
		"stream ended, at first":    {home: "self", now: 1 + reconnectTimeout, lostSince: noneLost, otherAgents: 800, disconnectedAt: 1},
		"stream ended, later":       {home: "self", now: 2 + reconnectTimeout, lostSince: noneLost, otherAgents: 800, disconnectedAt: 1, want: 1},
		"stream reopened":           {home: "self", now: time.Minute, lostSince: noneLost, otherAgents: 800, disconnectedAt: 1, reconnected: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Self: "self"})
			table.PutRemote(0, row("a", 1, 1), tc.home)
			// 800 agents make the heartbeat interval 20 s.
			for i := range tc.otherAgents {
				table.PutLocal(0, row(fmt.Sprint("other agent ", i), 1, 1))
			}
			table.Disconnect(tc.disconnectedAt, "a")
			if tc.reconnected {
				table.PutLocal(tc.disconnectedAt, row("a", 1, 1))
			}
			lost := table.Expire(tc.now, tc.lostSince)
			assert.Equal(t, len(lost), tc.want)
			got, _ := table.Get("a")
			assert.Equal(t, got.Usable(), tc.want == 0)
		})
	}
}

// TestSinceReturnsChangedRows guards against an exchange that sends rows of other
// homes, repeats unchanged rows, or omits a lost agent.
func TestSinceReturnsChangedRows(t *testing.T) {
	table := New(Config{Self: "self"})
	table.PutLocal(0, row("a", 1, 1))
	table.PutLocal(0, row("b", 1, 1))
	table.PutRemote(0, row("c", 1, 1), "other")
	rows, next := table.Since(0)
	assert.Equal(t, len(rows), 2)
	rows, _ = table.Since(next)
	assert.Equal(t, len(rows), 0)
	table.PutLocal(0, row("b", 1, 2))
	table.MarkLost(0, "a")
	rows, _ = table.Since(next)
	assert.Equal(t, len(rows), 2)
	assert.Assert(t, rows[1].Lost)
}

// TestMove guards against an agent whose row switches back to its previous home
// when a late message from that home arrives.
func TestMove(t *testing.T) {
	table := New(Config{Self: "self"})
	table.PutLocal(0, row("a", 1, 1))
	assert.Assert(t, table.PutRemote(0, row("a", 1, 2), "other"))
	late := row("a", 1, 1)
	late.Lost = true
	assert.Assert(t, !table.PutRemote(0, late, "former"))
	got, _ := table.Get("a")
	assert.Equal(t, got.Home, "other")
	assert.Assert(t, got.Usable())
	assert.Equal(t, table.Homed(), 0)
}

// TestInterval guards against a home that receives more heartbeats a second than
// maxHeartbeatRate when all agents of a region choose it.
func TestInterval(t *testing.T) {
	table := New(Config{Self: "self"})
	for i := range 400 {
		table.PutLocal(0, row(string(rune('a'+i)), 1, 1))
	}
	assert.Equal(t, table.Interval(), 10*time.Second)
}

// TestOverloaded guards against a home that redirects agents although it has no
// more than its share, or because a network partition hides the other entries.
func TestOverloaded(t *testing.T) {
	tests := map[string]struct {
		own, others, entries int
		want                 bool
	}{
		"small fleet":      {maxHeartbeatRate, 0, 3, false},
		"150% of the mean": {150, 150, 3, false},
		"more than 150%":   {151, 149, 3, true},
		"entry lost":       {151, 149, 2, false},
		"only entry":       {500, 0, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Self: "self"})
			for i := range tc.own {
				table.PutLocal(0, row(fmt.Sprint("own-", i), 1, 1))
			}
			for i := range tc.others {
				table.PutRemote(0, row(fmt.Sprint("other-", i), 1, 1), "other")
			}
			assert.Equal(t, table.Overloaded(tc.entries), tc.want)
		})
	}
}

// TestRank guards against two entries that compute the same rank.
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

// TestMajority guards against an entry that counts peers that have left, or that
// claims a majority while it is partitioned from the others.
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
