package lead

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// leaderSilent is how long the leader's records may stay out, while the topic
	// can be read, before another entry claims: two missed beats and an answer of
	// a slow store.
	leaderSilent = 1500 * time.Millisecond
	// beatMissed is the time without a record of the leader after which one is
	// missing; the time between two, and an answer of the store.
	beatMissed = beatEvery + 150*time.Millisecond
	// claimStagger is how much longer each further entry waits, so that one claim
	// is stored and read before the next one is made.
	claimStagger = 200 * time.Millisecond
	// deafLimit is how long a leader may hear far fewer agents than another entry.
	// A new leader hears all of them within a second.
	deafLimit = 2 * time.Second
	// claimLimit bounds the calls of one claim.
	claimLimit = 3 * time.Second
	// indirectPenalty is added for an entry that reaches the store only through
	// others.
	indirectPenalty = 600 * time.Millisecond
)

// suspicion is what an entry holds against the current leader.
type suspicion struct {
	// gone means that the leader's process has ended: another start of it
	// answered.
	gone bool
	// refused is since when the leader's host has refused connections, or 0.
	refused time.Duration
	// offset is that of the newest leader record, seen when it came.
	offset int64
	seen   time.Duration
	// deaf is since when the leader hears far fewer agents than this entry, or 0.
	deaf time.Duration
}

// leaderIsSilent is why an entry claims after the leader's records stay out.
const leaderIsSilent = "leader is silent"

// consider claims if nobody leads.
func (m *Manager) consider(ctx context.Context) {
	status := m.feed.Status()
	if !status.Loaded {
		return
	}
	now := m.cfg.Now()
	m.mu.Lock()
	leader := m.table.Leader()
	s := &m.suspicion
	if leader.Offset != s.offset || s.seen == 0 {
		s.offset, s.seen = leader.Offset, now
	}
	m.compareAgents(leader, now)
	why, since := m.vacant(leader, status.Since, now)
	stopping := m.stopping || m.document.Version == 0
	m.mu.Unlock()
	if stopping || why == "" || now-since < m.delay() {
		return
	}
	if now-status.Fresh > leaderSilent {
		return
	}
	m.claim(ctx, why)
}

// vacant returns why nobody leads and since when that is known, or the empty
// string.
func (m *Manager) vacant(leader graph.Leader, readable, now time.Duration) (string, time.Duration) {
	s := m.suspicion
	switch {
	case leader.GetEpoch() == 0:
		return "nobody has led", readable
	case leader.GetReleased():
		return "leader has released its term", s.seen
	case leader.GetEntry().GetName() == m.cfg.Self.GetName() && leader.GetBoot() != m.cfg.Boot:
		return "leader is a former start of this process", s.seen
	case s.gone:
		return "leader's process has ended", s.refused
	case s.refused > 0 && now-s.seen >= beatMissed:
		// A leader that only this entry cannot reach goes on writing.
		return "leader's host refuses connections", max(s.refused, s.seen+beatMissed)
	}
	if s.deaf > 0 && now-s.deaf >= deafLimit {
		return "leader hears few agents", s.deaf + deafLimit
	}
	if silent := max(s.seen, readable); now-silent >= leaderSilent {
		return leaderIsSilent, silent + leaderSilent
	}
	return "", 0
}

// compareAgents notes whether the leader hears less than half of the agents that
// this entry hears: it may be cut off from them while it still reaches the store.
func (m *Manager) compareAgents(leader graph.Leader, now time.Duration) {
	s := &m.suspicion
	switch {
	case 2*leader.GetAgents() >= m.heard():
		s.deaf = 0
	case s.deaf == 0:
		s.deaf = now
	}
}

// delay returns how long this entry leaves the claim to others.
func (m *Manager) delay() time.Duration {
	epoch := m.tableEpoch()
	rank := 0
	own := rankHash(epoch, m.cfg.Self.GetName())
	for _, e := range m.cfg.Roster.Entries() {
		if e.GetName() != m.cfg.Self.GetName() && rankHash(epoch, e.GetName()) < own {
			rank++
		}
	}
	d := time.Duration(min(rank, 4)) * claimStagger
	if !m.cfg.Direct() {
		d += indirectPenalty
	}
	return d
}

func (m *Manager) tableEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Leader().GetEpoch()
}

// rankHash orders entries differently for each epoch, so that one that cannot
// lead does not come first for ever.
func rankHash(epoch int64, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8), byte(epoch >> 16)})
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// claim tries to become the leader.
func (m *Manager) claim(ctx context.Context, why string) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	before := m.tableEpoch()
	nonce, sequence := newNonce()
	for ctx.Err() == nil {
		if err := m.feed.CatchUp(ctx); err != nil {
			m.cfg.Log.Warn("claim given up", "error", err)
			return
		}
		m.mu.Lock()
		leader, end := m.table.Leader(), m.table.Next()
		written := leader.Offset != m.suspicion.offset && why == leaderIsSilent
		m.mu.Unlock()
		if written {
			m.cfg.Log.Info("claim given up: the leader has written meanwhile", "epoch", before)
			return
		}
		if leader.GetEpoch() != before || leader.GetNonce() == nonce {
			// Another entry was faster, or an earlier try of this claim took effect.
			if leader.GetNonce() == nonce {
				m.begin(leader, nonce, sequence, why)
			}
			return
		}
		claimed := &inner.LeaderRecord{Epoch: before + 1, Entry: m.cfg.Self, Boot: m.cfg.Boot, Nonce: nonce}
		record, err := graph.LeaderRecord(claimed)
		if err != nil {
			m.cfg.Log.Error("claim could not be encoded", "error", err)
			return
		}
		offset, err := m.cfg.Store.Append(ctx, chestnutpond.TopicWork, chestnutpond.KeyedAppend{
			Records: []chestnutpond.KeyedRecord{record}, OnlyAt: true, At: end,
			Producer: &chestnutpond.Producer{Name: producerName, Epoch: before + 1, Sequence: sequence},
		})
		if err == nil && offset == end {
			m.beginAt(leader, claimed, offset, nonce, sequence, why)
			return
		}
		if !m.claimAgain(ctx, err) {
			return
		}
	}
}

// claimAgain reports whether a failed claim is worth another try.
func (m *Manager) claimAgain(ctx context.Context, err error) bool {
	var failed *chestnutpond.StoreError
	if errors.As(err, &failed) {
		switch failed.Fault {
		case chestnutpond.StoreFenced, chestnutpond.StoreRejected:
			m.cfg.Log.Info("claim lost", "error", err)
			return false
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(appendPause):
		return true
	}
}

// beginAt begins the term of a claim that was stored at the end of what was
// read.
func (m *Manager) beginAt(former graph.Leader, claimed *inner.LeaderRecord, offset int64, nonce string, sequence int64, why string) {
	record, err := graph.LeaderRecord(claimed)
	if err != nil {
		return
	}
	record.Offset = offset
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	left, grants := m.formerGrants(former)
	if _, err := m.table.Apply(record); err != nil {
		m.cfg.Log.Error("own claim could not be read", "error", err)
		return
	}
	if m.table.Leader().GetEpoch() != claimed.GetEpoch() {
		return
	}
	m.startTerm(claimed.GetEpoch(), nonce, sequence, left, grants, why)
}

// begin begins the term of a claim that was found among the records read. Other
// records may follow it; all of them are in the table.
func (m *Manager) begin(found graph.Leader, nonce string, sequence int64, why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || m.term != nil {
		return
	}
	m.startTerm(found.GetEpoch(), nonce, sequence, grantLimit, grantLimit, why)
}

// formerGrants returns how long the leaders before the last one, and all former
// leaders, may go on granting leases.
func (m *Manager) formerGrants(former graph.Leader) (time.Duration, time.Duration) {
	left := time.Duration(former.GetFormerMs()) * time.Millisecond
	own := grantLimit
	if former.GetEpoch() == 0 || former.GetReleased() || m.suspicion.gone ||
		former.GetEntry().GetName() == m.cfg.Self.GetName() {
		own = 0
	}
	return left, max(left, own)
}

// startTerm builds the planner from the table. The lock is held.
func (m *Manager) startTerm(epoch int64, nonce string, sequence int64, left, grants time.Duration, why string) {
	now := m.cfg.Now()
	planner := plan.New(plan.Config{
		Epoch: epoch, Lease: m.cfg.Lease, FormerGrants: grants, Began: now, Wall: m.cfg.Wall(), Keep: m.cfg.Keep,
		FarFactor: m.cfg.FarFactor, Restore: m.cfg.Restore,
	})
	planner.SetDocument(m.document)
	var jobs []*graph.Job
	m.table.Jobs(func(j *graph.Job) { jobs = append(jobs, j) })
	slices.SortFunc(jobs, func(a, b *graph.Job) int {
		return a.Graph.Accepted.Compare(b.Graph.Accepted)
	})
	for _, j := range jobs {
		planner.Load(j)
	}
	m.term = &term{
		epoch: epoch, nonce: nonce, planner: planner, sequence: sequence, confirmed: now,
		formerUntil: now + grants, chainUntil: now + left, beaten: now, turn: make(chan struct{}, 1),
	}
	m.term.endTurn()
	m.suspicion = suspicion{}
	m.meters.termBegan(why)
	m.cfg.Log.Info("term begins", "epoch", epoch, "reason", why, "jobs", len(jobs), "former_grants", grants)
	m.notifyStreams()
	m.wakeUp()
}

// newNonce returns a name for a claim and the first sequence of its epoch. The
// sequence is drawn so that the store cannot take one entry's claim for a repeat
// of another's.
func newNonce() (string, int64) {
	var b [8]byte
	// Read never fails on Linux.
	_, _ = rand.Read(b[:])
	sequence := int64(0)
	for _, c := range b[:3] {
		sequence = sequence<<8 | int64(c)
	}
	return hex.EncodeToString(b[:]), sequence
}
