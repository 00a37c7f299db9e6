package peers

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
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// peerLostAfter is the time without contact after which an entry is lost.
	peerLostAfter = 3 * time.Second
	// exchangeWait is how long the peer holds an exchange open for a change.
	exchangeWait = time.Second
	// exchangeTimeout bounds one exchange, so that a silent connection is replaced
	// before its peer is declared lost.
	exchangeTimeout    = exchangeWait + time.Second
	exchangeRetryDelay = 300 * time.Millisecond
	// exchangeSlowRetryDelay is the retry delay for an entry that has not answered
	// for fastRetryWindow: most such addresses belong to replaced hosts.
	exchangeSlowRetryDelay = 3 * time.Second
	fastRetryWindow        = 30 * time.Second
	expireInterval         = 200 * time.Millisecond
	// unknownJobGrace is how long an ended task of an unknown job is kept. It is
	// far longer than an entry that reads the log needs to learn of the job.
	unknownJobGrace = time.Minute
	// forgetAfter is how long a lost agent or entry stays in the table.
	forgetAfter = 2 * time.Hour
	// unansweredLimit is how long an address that does not answer is polled, unless
	// it is in the settings. Hosts of entries are replaced at any time, so without
	// this limit the pollers would reach maxPollers.
	unansweredLimit = 10 * time.Minute
	// maxPollers bounds the polled addresses of entries.
	maxPollers = 256
)

// PartitionLimit is how long an entry that neither reads the log nor is in contact
// with a majority of the known entries still answers its agents. The scheduler of
// a region relies on it before it restarts a gang that it cannot reach.
const PartitionLimit = 60 * time.Second

// Dialer provides connections to other processes.
type Dialer interface {
	// Get returns a connection for one call and a function to call when done.
	Get(address string) (grpc.ClientConnInterface, func(), error)
	// Replace closes a connection that Get returned for the address.
	Replace(address string, conn grpc.ClientConnInterface)
}

// Listener is notified of changed rows. Its methods are called without holding a
// lock of the group, and from many goroutines.
type Listener interface {
	// AgentChanged is called with the newest row of an agent.
	AgentChanged(row fleet.Row)
	// AgentRemoved is called when an agent was removed from the table.
	AgentRemoved(name string)
}

// Config configures a Group.
type Config struct {
	// Self describes this entry to the others.
	Self fleet.Peer
	// Entries holds the inner addresses of entries from the settings.
	Entries  []string
	Dialer   Dialer
	Tail     *tail.Tail
	Listener Listener
	// Habits provides and receives the usual load of callers; nil disables the
	// exchange of it.
	Habits  Habits
	Events  chestnutpond.EventSink
	Logger  *slog.Logger
	Metrics *stats.Registry
}

// Group is the membership of one entry.
type Group struct {
	cfg     Config
	start   time.Time
	metrics *groupMetrics

	// mu guards the fields below. No other lock is acquired while it is held.
	mu    sync.Mutex
	table *fleet.Table
	peers *fleet.Peers
	// changed is closed and replaced when a row homed here changes.
	changed chan struct{}
	// pollers holds the running pollers by address.
	pollers map[string]*poller
	// sessions holds the open Announce streams, which are woken when there may be
	// something to send.
	sessions map[*session]struct{}
	// agentSessions holds the newest Announce stream of each agent, by its name.
	agentSessions map[string]*session
	draining      bool
	// habitsPending is set while an exchange requests habits, habitsLearned once a
	// list was accepted. habitsSentAt is when this entry last sent a list.
	habitsPending, habitsLearned bool
	habitsSentAt                 time.Duration
	// partitionedSince is when this entry lost contact with both the log and the
	// majority of the entries; zero while it has either.
	partitionedSince time.Duration
	// runCtx is the context of Run; nil before it.
	runCtx context.Context
}

// New returns a group that contains only this entry.
func New(cfg Config) *Group {
	return &Group{
		cfg:           cfg,
		start:         time.Now(),
		metrics:       newGroupMetrics(cfg.Metrics),
		table:         fleet.New(fleet.Config{Self: cfg.Self.Name}),
		peers:         fleet.NewPeers(fleet.PeersConfig{Self: cfg.Self, LostAfter: peerLostAfter}),
		changed:       make(chan struct{}),
		pollers:       make(map[string]*poller),
		sessions:      make(map[*session]struct{}),
		agentSessions: make(map[string]*session),
	}
}

// Now returns the group's monotonic time.
func (g *Group) Now() time.Duration { return time.Since(g.start) }

// Run polls the other entries and expires silent agents until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	g.mu.Lock()
	g.runCtx = ctx
	g.mu.Unlock()
	for _, address := range g.cfg.Entries {
		g.startPoller(address)
	}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.expire()
		}
	}
}

// Rows returns all rows, by agent name.
func (g *Group) Rows() []fleet.Row {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Rows()
}

// Row returns the row of an agent.
func (g *Group) Row(name string) (fleet.Row, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Get(name)
}

// Homed returns the number of agents whose home is this entry.
func (g *Group) Homed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Homed()
}

// LastIncarnation returns the highest known incarnation of an agent or entry, or 0
// for an unknown name.
func (g *Group) LastIncarnation(name string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var last int64
	if row, ok := g.table.Get(name); ok {
		last = row.Member.GetIncarnation()
	}
	if peer, ok := g.peers.Get(name); ok {
		last = max(last, peer.Incarnation)
	}
	return last
}

// Peers returns the other entries, by name.
func (g *Group) Peers() []fleet.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.All()
}

// Peer returns another entry.
func (g *Group) Peer(name string) (fleet.Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.Get(name)
}

// Rank returns this entry's position in the claim order of a region.
func (g *Group) Rank(region string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.Rank(region)
}

// Drain makes the agents move to another home entry, and announces to the other
// entries that this one is leaving.
func (g *Group) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.wakeSessions()
	g.wakeExchanges()
}

// LogChanged wakes the Announce streams that have something to send: all of them
// after a new document or a replaced state, and those of a job's agents when its
// attempt is over. Other records arrive up to 60 times per second and do not
// concern agents; replying to each would exceed the limit of 4 KB/s per node.
func (g *Group) LogChanged(c ledger.Change) {
	switch c.Kind {
	case ledger.ChangeNone, ledger.ChangeConfig:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wakeSessions()
	case ledger.ChangeStopped, ledger.ChangeEnded:
		g.wakeJobAgents(c.Job)
	}
}

// wakeJobAgents wakes the streams of the agents on which the job's last attempt was
// placed.
func (g *Group) wakeJobAgents(id chestnutpond.JobID) {
	var job ledger.Job
	g.cfg.Tail.View(func(st *ledger.State) { job, _ = st.Job(id) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range job.Placements {
		if s, ok := g.agentSessions[p.Worker]; ok {
			s.wake()
		}
	}
}

// wakeSessions wakes all Announce streams. The caller holds mu.
func (g *Group) wakeSessions() {
	for s := range g.sessions {
		s.wake()
	}
}

// isTrusted reports whether agents may rely on this entry. It may be relied on
// while it reads the log, and so learns which attempts are over, or is in contact
// with a majority of the entries, and for PartitionLimit after both were lost.
func (g *Group) isTrusted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.partitionedSince == 0 || g.Now()-g.partitionedSince < PartitionLimit
}

// updatePartition updates partitionedSince, and wakes the Announce streams while it
// is more than PartitionLimit ago, so that they end. The caller holds mu.
func (g *Group) updatePartition(now time.Duration, readsLog bool) {
	if readsLog || g.peers.Majority() {
		g.partitionedSince = 0
		return
	}
	if g.partitionedSince == 0 {
		g.partitionedSince = now
		return
	}
	if now-g.partitionedSince >= PartitionLimit {
		g.wakeSessions()
	}
}

func (g *Group) expire() {
	now := g.Now()
	readsLog := g.cfg.Tail.Available()
	g.mu.Lock()
	g.updatePartition(now, readsLog)
	lostPeers := g.peers.Expire(now)
	lost := g.table.Expire(now, g.peers.LostSince)
	rows := g.rowsOf(lost)
	forgotten := g.table.Forget(now, forgetAfter)
	g.peers.Forget(now, forgetAfter)
	if len(lost) > 0 {
		g.wakeExchanges()
	}
	g.mu.Unlock()
	for _, name := range lostPeers {
		g.cfg.Logger.Warn("peers: entry lost", "entry", name)
	}
	for _, row := range rows {
		g.reportLost(row.Member.GetName())
		g.cfg.Listener.AgentChanged(row)
	}
	for _, name := range forgotten {
		g.cfg.Listener.AgentRemoved(name)
	}
}

func (g *Group) reportLost(name string) {
	g.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventUpstreamLost, Upstream: name})
	g.cfg.Logger.Warn("peers: agent lost", "agent", name)
}

// rowsOf returns the rows of the named agents. The caller holds mu.
func (g *Group) rowsOf(names []string) []fleet.Row {
	rows := make([]fleet.Row, 0, len(names))
	for _, name := range names {
		if row, ok := g.table.Get(name); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// wakeExchanges wakes the exchanges that are waiting for a change. The caller holds
// mu.
func (g *Group) wakeExchanges() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// entryAddress is the address and location of an entry, as sent to agents.
type entryAddress struct{ address, region, zone string }

// liveEntries returns this entry and the peers that are not lost.
func (g *Group) liveEntries() []entryAddress {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := []entryAddress{{g.cfg.Self.Address, g.cfg.Self.Region, g.cfg.Self.Zone}}
	for _, p := range g.peers.All() {
		if !p.Lost {
			list = append(list, entryAddress{p.Address, p.Region, p.Zone})
		}
	}
	return list
}

func entryMessages(list []entryAddress) []*inner.EntryAddress {
	messages := make([]*inner.EntryAddress, 0, len(list))
	for _, p := range list {
		messages = append(messages, &inner.EntryAddress{Address: p.address, Region: p.region, Zone: p.zone})
	}
	return messages
}

// shouldRehome reports whether an agent should look for another home because this
// entry has too many. Agents of this entry's zone stay, as do all agents while no
// other entry is live.
func (g *Group) shouldRehome(m *inner.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := g.peers.Live()
	return others > 0 && m.GetZone() != g.cfg.Self.Zone && g.table.Overloaded(others+1)
}

func peerMessage(p fleet.Peer) *inner.Peer {
	return &inner.Peer{
		Name: p.Name, Incarnation: p.Incarnation, Address: p.Address, Region: p.Region, Zone: p.Zone,
	}
}

func peerOf(m *inner.Peer) fleet.Peer {
	return fleet.Peer{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(),
		Region: m.GetRegion(), Zone: m.GetZone(),
	}
}
