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
	// claimStagger is the claim delay per entry that ranks before this one, so
	// that claims of several entries rarely conflict.
	claimStagger = 500 * time.Millisecond
	// handoverDelay is how long an entry in the region must have been live before
	// an entry of another region hands the term over.
	handoverDelay = 10 * time.Second
	// holderGrace is how long a new entry waits to hear from a holder that is not
	// among its peers before it treats the term as vacant.
	holderGrace    = 3 * time.Second
	manageInterval = 100 * time.Millisecond
	claimTimeout   = 3 * time.Second
)

// Dialer provides connections to agents.
type Dialer interface {
	// Get returns a connection for one call and a function to call when done.
	Get(address string) (grpc.ClientConnInterface, func(), error)
}

// Members is the view of the agents and entries that make up the fleet.
type Members interface {
	// Now returns the monotonic time that is the time base of the rows.
	Now() time.Duration
	// Rows returns all rows, by agent name.
	Rows() []fleet.Row
	// Row returns the row of an agent.
	Row(name string) (fleet.Row, bool)
	// Peers returns the other entries.
	Peers() []fleet.Peer
	// Rank returns this entry's position in the claim order of a region.
	Rank(region string) int
}

// Config configures a Manager.
type Config struct {
	Origin ledger.Origin
	// Region is the region of this entry.
	Region  string
	Seed    uint64
	Tail    *tail.Tail
	Members Members
	Dialer  Dialer
	// Events records events and links each one of a job to its cause.
	Events  *events.CauseChain
	Logger  *slog.Logger
	Metrics *stats.Registry
}

// Manager claims and releases terms, and runs a scheduler for each held one.
type Manager struct {
	cfg   Config
	start time.Time

	// mu guards the fields below. Lock order: mu, then a regionScheduler's mu.
	mu         sync.Mutex
	schedulers map[string]*regionScheduler
	document   chestnutpond.Document
	// vacantSince is when each region's term was first seen without a live holder.
	vacantSince map[string]time.Duration
	// localPeerSince is when an entry in the region was first able to take over a
	// term held here.
	localPeerSince map[string]time.Duration
	draining       bool

	wakeCh chan struct{}
}

// New returns a manager that holds no term.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:            cfg,
		start:          time.Now(),
		schedulers:     make(map[string]*regionScheduler),
		vacantSince:    make(map[string]time.Duration),
		localPeerSince: make(map[string]time.Duration),
		wakeCh:         make(chan struct{}, 1),
	}
}

func (m *Manager) now() time.Duration { return time.Since(m.start) }

// Run manages the terms until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.stopAll()
			return nil
		case <-ticker.C:
		case <-m.wakeCh:
		}
		if m.cfg.Tail.Loaded() {
			m.manage(ctx)
		}
	}
}

// SetDocument applies a new document to all schedulers.
func (m *Manager) SetDocument(doc chestnutpond.Document) {
	m.mu.Lock()
	m.document = doc
	regions := m.runningSchedulers()
	m.mu.Unlock()
	for _, r := range regions {
		r.setDocument(doc)
	}
}

// AgentChanged applies the newest row of an agent.
func (m *Manager) AgentChanged(row fleet.Row) {
	if r := m.scheduler(row.Member.GetRegion()); r != nil {
		r.agentChanged(row)
	}
}

// AgentRemoved removes an agent.
func (m *Manager) AgentRemoved(name string) {
	m.mu.Lock()
	regions := m.runningSchedulers()
	m.mu.Unlock()
	for _, r := range regions {
		r.agentForgotten(name)
	}
}

// LogChanged applies a change of the state folded from the log.
func (m *Manager) LogChanged(c ledger.Change) {
	if c.Kind == ledger.ChangeTerm {
		m.wake()
		return
	}
	if c.Kind == ledger.ChangeEvacuation {
		m.evacuationsChanged()
		return
	}
	if r := m.scheduler(c.Region); r != nil {
		r.logChanged(c)
	}
}

// LogReplaced restarts the schedulers after the whole state was replaced.
func (m *Manager) LogReplaced() {
	m.stopAll()
	m.wake()
}

// Scheduling reports whether this entry schedules a region.
func (m *Manager) Scheduling(region string) bool { return m.scheduler(region) != nil }

// Drain stops scheduling and releases the terms, so that other entries can claim
// them without first detecting the loss of this entry.
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
		m.cfg.Logger.Warn("sched: failed to append the release of a term", "region", t.Region, "error", err)
	}
}

func (m *Manager) wake() {
	select {
	case m.wakeCh <- struct{}{}:
	default:
	}
}

func (m *Manager) scheduler(name string) *regionScheduler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.schedulers[name]
}

// runningSchedulers returns the running schedulers. The caller holds mu.
func (m *Manager) runningSchedulers() []*regionScheduler {
	regions := make([]*regionScheduler, 0, len(m.schedulers))
	for _, r := range m.schedulers {
		regions = append(regions, r)
	}
	return regions
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	regions := m.runningSchedulers()
	m.schedulers = make(map[string]*regionScheduler)
	m.mu.Unlock()
	for _, r := range regions {
		r.stop()
	}
}

// regionNames returns the region of this entry and those that have another entry,
// a guarantee or a term.
func (m *Manager) regionNames() map[string]bool {
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
	for name := range m.regionNames() {
		var t ledger.Term
		m.cfg.Tail.View(func(st *ledger.State) { t = st.Term(name) })
		if t.Held(m.cfg.Origin) {
			m.keepTerm(ctx, t)
			continue
		}
		m.stopScheduling(t)
		m.claimIfVacant(ctx, t)
	}
}

// keepTerm ensures that a held term has a running scheduler, or releases the term
// when an entry in the region can take it over.
func (m *Manager) keepTerm(ctx context.Context, t ledger.Term) {
	if m.shouldHandOver(t.Region) {
		m.stopScheduling(ledger.Term{Region: t.Region})
		m.release(ctx, t)
		return
	}
	if r := m.scheduler(t.Region); r != nil && r.term != t.Number {
		// The term was lost and claimed again between two rounds of manage.
		m.stopScheduling(ledger.Term{Region: t.Region})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, running := m.schedulers[t.Region]; running || m.draining {
		return
	}
	r := newRegionScheduler(m, t, m.document)
	m.schedulers[t.Region] = r
	r.termEvent = m.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventTerm, Detail: t.Region})
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
		delete(m.localPeerSince, region)
		return false
	}
	since, ok := m.localPeerSince[region]
	if !ok {
		m.localPeerSince[region] = m.now()
		return false
	}
	return m.now()-since > handoverDelay
}

// stopScheduling stops the scheduler of the term's region, if one runs.
func (m *Manager) stopScheduling(t ledger.Term) {
	m.mu.Lock()
	r, ok := m.schedulers[t.Region]
	delete(m.schedulers, t.Region)
	m.mu.Unlock()
	if !ok {
		return
	}
	r.stop()
	m.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventTermEnded, Detail: t.Region})
	m.cfg.Logger.Info("sched: no longer scheduling region", "region", t.Region)
}

// claimIfVacant claims a term that has no live holder, after a delay by rank.
func (m *Manager) claimIfVacant(ctx context.Context, t ledger.Term) {
	vacant := m.isVacant(t)
	m.mu.Lock()
	since, seen := m.vacantSince[t.Region]
	if !vacant || m.draining {
		delete(m.vacantSince, t.Region)
		m.mu.Unlock()
		return
	}
	if !seen {
		since = m.now()
		m.vacantSince[t.Region] = since
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
	// The holder is unknown. It may be live and not heard from yet.
	return m.now() > holderGrace
}

func (m *Manager) claim(ctx context.Context, t ledger.Term) {
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := m.cfg.Tail.Append(cctx, ledger.ClaimTerm{Region: t.Region, Number: t.Number + 1})
	if err != nil {
		m.cfg.Logger.Warn("sched: failed to append the claim of a term", "region", t.Region, "error", err)
	}
}
