package sched

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	// claimStagger is how long an entry waits for each entry that ranks before
	// it, so that one claim usually meets no other.
	claimStagger = 500 * time.Millisecond
	// handoverAfter is how long an entry inside the region must have been there
	// before an entry outside gives it the term.
	handoverAfter = 10 * time.Second
	// holderGrace is how long a holder that was never heard of may stay silent.
	holderGrace  = 3 * time.Second
	manageEvery  = 100 * time.Millisecond
	claimTimeout = 3 * time.Second
)

// Dialer gives connections to agents.
type Dialer interface {
	// Get returns a connection for one call and the function that ends the call.
	Get(address string) (grpc.ClientConnInterface, func(), error)
}

// Members tells which agents and entries are there.
type Members interface {
	// Now returns the monotonic time that rows count in.
	Now() time.Duration
	// Rows returns all rows, by agent name.
	Rows() []fleet.Row
	// Row returns the row of an agent.
	Row(name string) (fleet.Row, bool)
	// Peers returns the other entries.
	Peers() []fleet.Peer
	// Rank returns this entry's place in the order of claims for a region.
	Rank(region string) int
}

// Config makes a Manager.
type Config struct {
	Origin ledger.Origin
	// Region is the one that this entry is in.
	Region  string
	Seed    uint64
	Tail    *tail.Tail
	Members Members
	Dialer  Dialer
	// Events also links the events of each job.
	Events  *events.Trail
	Logger  *slog.Logger
	Metrics *stats.Registry
}

// Manager holds the terms of this entry.
type Manager struct {
	cfg   Config
	start time.Time

	// mu guards the fields below. A region's mu is taken after it, never before.
	mu       sync.Mutex
	regions  map[string]*region
	document chestnutpond.Document
	// vacant is since when a region's term is seen without a live holder.
	vacant map[string]time.Duration
	// better is since when an entry inside a region could take its term over.
	better   map[string]time.Duration
	draining bool

	kick chan struct{}
}

// New returns a manager that holds no term.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:     cfg,
		start:   time.Now(),
		regions: make(map[string]*region),
		vacant:  make(map[string]time.Duration),
		better:  make(map[string]time.Duration),
		kick:    make(chan struct{}, 1),
	}
}

func (m *Manager) now() time.Duration { return time.Since(m.start) }

// Run manages the terms until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(manageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.stopAll()
			return nil
		case <-ticker.C:
		case <-m.kick:
		}
		if m.cfg.Tail.Loaded() {
			m.manage(ctx)
		}
	}
}

// SetDocument puts a document in force.
func (m *Manager) SetDocument(doc chestnutpond.Document) {
	m.mu.Lock()
	m.document = doc
	regions := m.list()
	m.mu.Unlock()
	for _, r := range regions {
		r.setDocument(doc)
	}
}

// AgentChanged takes in the newest row of an agent.
func (m *Manager) AgentChanged(row fleet.Row) {
	if r := m.region(row.Member.GetRegion()); r != nil {
		r.agentChanged(row)
	}
}

// AgentForgotten removes an agent.
func (m *Manager) AgentForgotten(name string) {
	m.mu.Lock()
	regions := m.list()
	m.mu.Unlock()
	for _, r := range regions {
		r.agentGone(name)
	}
}

// LogChanged takes in a change of the fold.
func (m *Manager) LogChanged(c ledger.Change) {
	if c.Kind == ledger.ChangeTerm {
		m.wake()
		return
	}
	if r := m.region(c.Region); r != nil {
		r.logChanged(c)
	}
}

// LogReplaced starts the regions anew after the whole state was replaced.
func (m *Manager) LogReplaced() {
	m.stopAll()
	m.wake()
}

// Scheduling reports whether this entry schedules a region.
func (m *Manager) Scheduling(region string) bool { return m.region(region) != nil }

// Drain stops scheduling and gives up the terms, so that others need not wait
// for this entry to be lost.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.stopAll()
	var held []ledger.Term
	m.cfg.Tail.View(func(st *ledger.State) {
		for _, t := range st.Terms() {
			if t.Held(m.cfg.Origin) {
				held = append(held, t)
			}
		}
	})
	for _, t := range held {
		m.release(ctx, t)
	}
}

func (m *Manager) release(ctx context.Context, t ledger.Term) {
	rctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := m.cfg.Tail.Append(rctx, ledger.ReleaseTerm{Region: t.Region, Number: t.Number})
	if err != nil {
		m.cfg.Logger.Warn("sched: term not released", "region", t.Region, "error", err)
	}
}

func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

func (m *Manager) region(name string) *region {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.regions[name]
}

// list returns the running regions. The caller holds mu.
func (m *Manager) list() []*region {
	regions := make([]*region, 0, len(m.regions))
	for _, r := range m.regions {
		regions = append(regions, r)
	}
	return regions
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	regions := m.list()
	m.regions = make(map[string]*region)
	m.mu.Unlock()
	for _, r := range regions {
		r.stop()
	}
}

// names returns the regions that have agents, entries, guarantees or a term.
func (m *Manager) names() map[string]bool {
	names := map[string]bool{m.cfg.Region: true}
	for _, p := range m.cfg.Members.Peers() {
		names[p.Region] = true
	}
	m.cfg.Tail.View(func(st *ledger.State) {
		for _, t := range st.Terms() {
			names[t.Region] = true
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.document.Accounts {
		for _, g := range a.Guarantees {
			names[g.Region] = true
		}
	}
	return names
}

func (m *Manager) manage(ctx context.Context) {
	for name := range m.names() {
		var t ledger.Term
		m.cfg.Tail.View(func(st *ledger.State) { t = st.Term(name) })
		if t.Held(m.cfg.Origin) {
			m.hold(ctx, t)
			continue
		}
		m.letGo(t)
		m.consider(ctx, t)
	}
}

// hold keeps the scheduler of a held term running, and hands the term over to
// an entry inside the region.
func (m *Manager) hold(ctx context.Context, t ledger.Term) {
	if m.shouldHandOver(t.Region) {
		m.letGo(ledger.Term{Region: t.Region})
		m.release(ctx, t)
		return
	}
	if r := m.region(t.Region); r != nil && r.term != t.Number {
		// The term was lost and won again between two looks at the log.
		m.letGo(ledger.Term{Region: t.Region})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, running := m.regions[t.Region]; running || m.draining {
		return
	}
	r := newRegion(m, t, m.document)
	m.regions[t.Region] = r
	r.claimed = m.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventTerm, Detail: t.Region})
	m.cfg.Logger.Info("sched: scheduling region", "region", t.Region, "term", t.Number)
	go r.run(ctx)
}

func (m *Manager) shouldHandOver(region string) bool {
	inside := false
	for _, p := range m.cfg.Members.Peers() {
		inside = inside || (!p.Lost && p.Region == region)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if region == m.cfg.Region || !inside {
		delete(m.better, region)
		return false
	}
	since, ok := m.better[region]
	if !ok {
		m.better[region] = m.now()
		return false
	}
	return m.now()-since > handoverAfter
}

// letGo stops the scheduler of a region whose term is not held.
func (m *Manager) letGo(t ledger.Term) {
	m.mu.Lock()
	r, ok := m.regions[t.Region]
	delete(m.regions, t.Region)
	m.mu.Unlock()
	if !ok {
		return
	}
	r.stop()
	m.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventTermOver, Detail: t.Region})
	m.cfg.Logger.Info("sched: no longer scheduling region", "region", t.Region)
}

// consider claims a term that has no live holder.
func (m *Manager) consider(ctx context.Context, t ledger.Term) {
	vacant := m.isVacant(t)
	m.mu.Lock()
	since, seen := m.vacant[t.Region]
	if !vacant || m.draining {
		delete(m.vacant, t.Region)
		m.mu.Unlock()
		return
	}
	if !seen {
		since = m.now()
		m.vacant[t.Region] = since
	}
	m.mu.Unlock()
	wait := time.Duration(m.cfg.Members.Rank(t.Region)) * claimStagger
	if m.now()-since < wait || !m.cfg.Tail.Available() {
		return
	}
	m.claim(ctx, t)
}

func (m *Manager) isVacant(t ledger.Term) bool {
	if t.Number == 0 || t.Released || t.Holder.Process == m.cfg.Origin.Process {
		return true
	}
	for _, p := range m.cfg.Members.Peers() {
		if p.Name == t.Holder.Process {
			return p.Lost || p.Incarnation != t.Holder.Incarnation
		}
	}
	// The holder was never heard of; it may be about to answer.
	return m.now() > holderGrace
}

func (m *Manager) claim(ctx context.Context, t ledger.Term) {
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := m.cfg.Tail.Append(cctx, ledger.ClaimTerm{Region: t.Region, Number: t.Number + 1})
	if err != nil {
		m.cfg.Logger.Warn("sched: term not claimed", "region", t.Region, "error", err)
	}
}
