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
	// leaderTimeout is how long the leader may append no record, while the topic
	// can be read, before another entry claims: two missed heartbeats plus the
	// latency of a slow store.
	leaderTimeout = 1500 * time.Millisecond
	// heartbeatTimeout is the age of the leader's newest record after which a
	// heartbeat is missing: one interval plus the latency of the store.
	heartbeatTimeout = heartbeatInterval + 150*time.Millisecond
	// unansweredTimeout is how long the leader may leave probes without an answer,
	// while it also misses a heartbeat, before another entry claims: one probe and the
	// start of the next.
	unansweredTimeout = 700 * time.Millisecond
	// claimStagger is the additional delay of each lower-ranked entry, so that one
	// claim is stored and read before the next one is made.
	claimStagger = 200 * time.Millisecond
	// fewAgentsTimeout is how long far fewer agents may report to the leader than
	// to another entry. All agents report to a new leader within a second.
	fewAgentsTimeout = 2 * time.Second
	// settleLimit bounds the time after a claim in which agents are still expected to
	// report to the new leader for the first time.
	settleLimit = time.Second
	// claimTimeout bounds the calls of one claim.
	claimTimeout = 3 * time.Second
	// indirectPenalty is the additional delay of an entry that reaches the store
	// only through relays.
	indirectPenalty = 600 * time.Millisecond
)

// suspicion is the evidence of an entry that the current leader has failed.
type suspicion struct {
	// restarted means that the leader's process has exited: another start of it
	// answered a probe.
	restarted bool
	// refusedSince is when the leader's host began to refuse connections, or when
	// restarted was set; otherwise 0.
	refusedSince time.Duration
	// unansweredSince is when the first of the latest probes that got no answer was
	// sent; otherwise 0.
	unansweredSince time.Duration
	// offset is the offset of the newest leader record, offsetSeen when this entry
	// first saw it.
	offset     int64
	offsetSeen time.Duration
	// fewAgentsSince is the time since which far fewer agents report to the leader
	// than to this entry, or 0.
	fewAgentsSince time.Duration
}

const (
	// reasonLeaderSilent is the reason of a claim after the leader stopped appending
	// records.
	reasonLeaderSilent = "leader is silent"
	// reasonLeaderHangs is the reason of a claim after the leader stopped appending
	// records and answering probes.
	reasonLeaderHangs = "leader answers no probes"
)

// claimIfVacant claims leadership if there is no working leader.
func (m *Manager) claimIfVacant(ctx context.Context) {
	status := m.feed.Status()
	if !status.Loaded {
		return
	}
	now := m.cfg.Now()
	m.mu.Lock()
	leader := m.table.Leader()
	s := &m.suspicion
	if leader.Offset != s.offset || s.offsetSeen == 0 {
		s.offset, s.offsetSeen = leader.Offset, now
	}
	m.compareAgents(leader, now)
	why, since := m.vacancyReason(leader, status.Since, now)
	stopping := m.stopping || m.document.Version == 0
	m.mu.Unlock()
	if stopping || why == "" || now-since < m.claimDelay() {
		return
	}
	if now-status.Fresh > leaderTimeout {
		return
	}
	m.claim(ctx, why)
}

// vacancyReason returns why there is no working leader and since when that is
// known, or the empty string if there is one.
func (m *Manager) vacancyReason(leader graph.Leader, readable, now time.Duration) (string, time.Duration) {
	s := m.suspicion
	switch {
	case leader.GetEpoch() == 0:
		return "nobody has led", readable
	case leader.GetReleased():
		return "leader has released its term", s.offsetSeen
	case leader.GetEntry().GetName() == m.cfg.Self.GetName() && leader.GetBoot() != m.cfg.Boot:
		return "leader is a former start of this process", s.offsetSeen
	case s.restarted:
		return "leader's process has ended", s.refusedSince
	case s.refusedSince > 0 && now-s.offsetSeen >= heartbeatTimeout:
		// A leader that only this entry cannot reach still appends records.
		return "leader's host refuses connections", max(s.refusedSince, s.offsetSeen+heartbeatTimeout)
	}
	if s.fewAgentsSince > 0 && now-s.fewAgentsSince >= fewAgentsTimeout {
		return "leader hears few agents", s.fewAgentsSince + fewAgentsTimeout
	}
	silent := max(s.offsetSeen, readable)
	if hung := max(s.unansweredSince+unansweredTimeout, silent+heartbeatTimeout); s.unansweredSince > 0 && now >= hung {
		return reasonLeaderHangs, hung
	}
	if now-silent >= leaderTimeout {
		return reasonLeaderSilent, silent + leaderTimeout
	}
	return "", 0
}

// compareAgents records whether fewer than half as many agents report to the leader
// as to this entry. Such a leader may be partitioned from the agents while it still
// reaches the store.
func (m *Manager) compareAgents(leader graph.Leader, now time.Duration) {
	s := &m.suspicion
	switch {
	case 2*leader.GetAgents() >= m.reportingAgents():
		s.fewAgentsSince = 0
	case s.fewAgentsSince == 0:
		s.fewAgentsSince = now
	}
}

// claimDelay returns how long this entry waits for higher-ranked entries to claim
// first.
func (m *Manager) claimDelay() time.Duration {
	epoch := m.currentEpoch()
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

func (m *Manager) currentEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Leader().GetEpoch()
}

// rankHash orders entries differently in each epoch, so that an entry that cannot
// lead is not first every time.
func rankHash(epoch int64, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(epoch), byte(epoch >> 8), byte(epoch >> 16)})
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// claim tries to become the leader by a conditional append of a leader record.
func (m *Manager) claim(ctx context.Context, why string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	before := m.currentEpoch()
	nonce, sequence := newNonce()
	for ctx.Err() == nil {
		if err := m.feed.CatchUp(ctx); err != nil {
			m.cfg.Log.Warn("claim abandoned: cannot read the work topic to its end", "error", err)
			return
		}
		m.mu.Lock()
		leader, end := m.table.Leader(), m.table.Next()
		leaderAlive := leader.Offset != m.suspicion.offset && (why == reasonLeaderSilent || why == reasonLeaderHangs)
		m.mu.Unlock()
		if leaderAlive {
			m.cfg.Log.Info("claim abandoned: the leader has appended a record meanwhile", "epoch", before)
			return
		}
		if leader.GetEpoch() != before || leader.GetNonce() == nonce {
			// Another entry claimed first, or an earlier attempt of this claim was
			// stored.
			if leader.GetNonce() == nonce {
				m.beginFound(leader, claimStored{sent: m.feed.Status().Fresh, nonce: nonce, sequence: sequence, why: why})
			}
			return
		}
		claimed := &inner.LeaderRecord{Epoch: before + 1, Entry: m.cfg.Self, Boot: m.cfg.Boot, Nonce: nonce}
		record, err := graph.LeaderRecord(claimed)
		if err != nil {
			m.cfg.Log.Error("cannot encode the claim record", "error", err)
			return
		}
		sent := m.cfg.Now()
		offset, err := m.cfg.Store.Append(ctx, chestnutpond.TopicWork, chestnutpond.KeyedAppend{
			Records: []chestnutpond.KeyedRecord{record}, CheckEnd: true, ExpectedEnd: end,
			Producer: &chestnutpond.Producer{Name: producerName, Epoch: before + 1, Sequence: sequence},
		})
		if err == nil && offset == end {
			m.beginAppended(leader, claimed, claimStored{offset: offset, sent: sent, nonce: nonce, sequence: sequence, why: why})
			return
		}
		if !m.shouldRetryClaim(ctx, err) {
			return
		}
	}
}

// shouldRetryClaim reports whether to retry a failed claim, after a delay if so.
func (m *Manager) shouldRetryClaim(ctx context.Context, err error) bool {
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
	case <-time.After(appendRetryDelay):
		return true
	}
}

// claimStored describes a claim that the store has confirmed.
type claimStored struct {
	offset int64
	// sent is when the call that confirmed the claim was sent. Leases are granted by this
	// time and not by that of the answer, because another entry may claim in between.
	sent     time.Duration
	nonce    string
	sequence int64
	why      string
}

// beginAppended begins the term of a claim that was stored right after the last
// record that this entry has read.
func (m *Manager) beginAppended(former graph.Leader, claimed *inner.LeaderRecord, c claimStored) {
	record, err := graph.LeaderRecord(claimed)
	if err != nil {
		return
	}
	record.Offset = c.offset
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	earlierGrants, grants := m.formerGrants(former)
	if _, err := m.table.Apply(record); err != nil {
		m.cfg.Log.Error("cannot apply the claim record of this entry", "error", err)
		return
	}
	if m.table.Leader().GetEpoch() != claimed.GetEpoch() {
		return
	}
	m.startTerm(claimed.GetEpoch(), c, earlierGrants, grants)
}

// beginFound begins the term of a claim that was found among the records read.
// Other records may follow it; all of them have been applied to the table.
func (m *Manager) beginFound(found graph.Leader, c claimStored) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || m.term != nil {
		return
	}
	m.startTerm(found.GetEpoch(), c, grantWindow, grantWindow)
}

// formerGrants returns how much longer the leaders before the previous one, and all
// former leaders, may grant leases.
func (m *Manager) formerGrants(former graph.Leader) (time.Duration, time.Duration) {
	earlierGrants := time.Duration(former.GetFormerMs()) * time.Millisecond
	own := grantWindow
	if former.GetEpoch() == 0 || former.GetReleased() || m.suspicion.restarted ||
		former.GetEntry().GetName() == m.cfg.Self.GetName() {
		own = 0
	}
	return earlierGrants, max(earlierGrants, own)
}

// startTerm creates the planner from the table and begins the term. The lock is
// held.
func (m *Manager) startTerm(epoch int64, c claimStored, earlierGrants, grants time.Duration) {
	now := m.cfg.Now()
	planner := plan.New(plan.Config{
		Epoch: epoch, Lease: m.cfg.Lease, FormerGrantPeriod: grants, ClaimedAt: now, Wall: m.cfg.WallClock(), Retention: m.cfg.Retention,
		RemoteSlowdown: m.cfg.RemoteSlowdown, RestoreTime: m.cfg.RestoreTime, SettleLimit: settleLimit,
		Policy: m.cfg.Policy,
	})
	m.loadLearned(planner)
	planner.SetDocument(m.document)
	planner.SetEvacuations(now, m.evacuations)
	var jobs []*graph.Job
	m.table.Jobs(func(j *graph.Job) { jobs = append(jobs, j) })
	slices.SortFunc(jobs, func(a, b *graph.Job) int {
		return a.Graph.Accepted.Compare(b.Graph.Accepted)
	})
	for _, j := range jobs {
		m.cfg.Guard.Run(func() { planner.Load(j) }, "job", j.ID)
	}
	m.term = &term{
		epoch: epoch, nonce: c.nonce, planner: planner, sequence: c.sequence, confirmedAt: c.sent,
		formerGrantsEnd: now + grants, earlierGrantsEnd: now + earlierGrants, lastHeartbeat: now, learnedAt: now, appendToken: make(chan struct{}, 1),
		forecast: newForecast(),
	}
	m.term.returnAppendToken()
	m.suspicion = suspicion{}
	m.meters.termStarted(c.why)
	m.cfg.Log.Info("term begins", "epoch", epoch, "reason", c.why, "jobs", len(jobs), "active", planner.Active(),
		"read_to", m.table.Next(), "former_grants", grants)
	m.wakeStreams()
	m.wakeUp()
}

// newNonce returns the nonce of a claim and the first sequence number of its epoch.
// The sequence number is random, so that the store does not take one entry's claim
// for a retry of another's.
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
