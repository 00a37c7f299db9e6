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
	// peerLost is the silence after which an entry counts as lost.
	peerLost = 3 * time.Second
	// exchangeWait is how long an exchange waits for a change.
	exchangeWait = time.Second
	// exchangeTimeout bounds one exchange, so that a silent connection is left
	// before its peer counts as lost.
	exchangeTimeout = exchangeWait + time.Second
	exchangeRetry   = 300 * time.Millisecond
	// exchangeRetryLate is the pause once an entry has not answered for
	// retrySoonFor: most such addresses belong to hosts that were replaced.
	exchangeRetryLate = 3 * time.Second
	retrySoonFor      = 30 * time.Second
	expireEvery       = 200 * time.Millisecond
	// unknownGrace is how long an ended task of an unknown job is kept. It is far
	// above the time in which an entry that reads the log learns of the job.
	unknownGrace = time.Minute
	// forgetAfter is how long a lost agent or entry stays in the table.
	forgetAfter = 2 * time.Hour
	// followFor is how long the address of an entry is tried without an answer,
	// unless it is in the settings. Hosts of entries are replaced at any time, so
	// without it the known addresses would reach addressLimit.
	followFor = 10 * time.Minute
	// addressLimit bounds the known addresses of entries.
	addressLimit = 256
)

// VouchLimit is how long an entry that reads no log and hears no majority of the
// known entries still answers its agents. The scheduler of a region counts on it
// before it restarts a gang that it cannot reach.
const VouchLimit = 60 * time.Second

// Dialer gives connections to other processes.
type Dialer interface {
	// Get returns a connection for one call and the function that ends the call.
	Get(address string) (grpc.ClientConnInterface, func(), error)
	// Replace closes a connection that Get returned for the address.
	Replace(address string, conn grpc.ClientConnInterface)
}

// Listener hears about changed rows. Calls hold no lock of the group and come
// from many goroutines.
type Listener interface {
	// AgentChanged is called with the newest row of an agent.
	AgentChanged(row fleet.Row)
	// AgentForgotten is called when an agent left the table.
	AgentForgotten(name string)
}

// Config makes a Group.
type Config struct {
	// Self is this entry as the others see it.
	Self fleet.Peer
	// Entries are inner addresses of entries known from the settings.
	Entries  []string
	Dialer   Dialer
	Tail     *tail.Tail
	Listener Listener
	// Habits gives and takes what callers usually get; nil exchanges none.
	Habits  Habits
	Events  chestnutpond.EventSink
	Logger  *slog.Logger
	Metrics *stats.Registry
}

// Group is the membership of one entry.
type Group struct {
	cfg    Config
	start  time.Time
	meters *meters

	// mu guards the fields below. No other lock is taken under it.
	mu    sync.Mutex
	table *fleet.Table
	peers *fleet.Peers
	// changed is closed and replaced when a row homed here changes.
	changed chan struct{}
	// pollers are the running exchanges, by address.
	pollers map[string]*poller
	// notices are the channels of the Announce streams, signalled when the
	// stream has something to send.
	notices map[*session]struct{}
	// streams are the newest Announce streams by the agent's name.
	streams  map[string]*session
	draining bool
	// habitsAsked is set while an exchange asks for habits, habitsLearned once a
	// list was taken over. habitsGiven is when this entry gave one away last.
	habitsAsked, habitsLearned bool
	habitsGiven                time.Duration
	// cutSince is since when this entry is cut off; zero while it is not.
	cutSince time.Duration
	// running is the context of Run; nil before it.
	running context.Context
}

// New returns a group that knows only itself.
func New(cfg Config) *Group {
	return &Group{
		cfg:     cfg,
		start:   time.Now(),
		meters:  newMeters(cfg.Metrics),
		table:   fleet.New(fleet.Config{Self: cfg.Self.Name}),
		peers:   fleet.NewPeers(fleet.PeersConfig{Self: cfg.Self, LostAfter: peerLost}),
		changed: make(chan struct{}),
		pollers: make(map[string]*poller),
		notices: make(map[*session]struct{}),
		streams: make(map[string]*session),
	}
}

// Now returns the group's monotonic time.
func (g *Group) Now() time.Duration { return time.Since(g.start) }

// Run polls the other entries and expires silent agents until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	g.mu.Lock()
	g.running = ctx
	g.mu.Unlock()
	for _, address := range g.cfg.Entries {
		g.follow(address)
	}
	ticker := time.NewTicker(expireEvery)
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

// LastIncarnation returns the highest known incarnation of an agent or entry, 0
// if the name is not known.
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

// Rank returns this entry's place in the order of claims for a region.
func (g *Group) Rank(region string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.Rank(region)
}

// Drain makes the agents look for another home, and tells the other entries that
// this one leaves.
func (g *Group) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.noticeAll()
	g.bump()
}

// LogChanged wakes the Announce streams that have something to send: all after
// a new document or a replaced state, and those of a job's agents after its
// attempt was over. Other records come up to 60 times a second and tell agents
// nothing; an answer to each would exceed the 4 KB/s of a node.
func (g *Group) LogChanged(c ledger.Change) {
	switch c.Kind {
	case ledger.ChangeNone, ledger.ChangeConfig:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.noticeAll()
	case ledger.ChangeStopped, ledger.ChangeEnded:
		g.noticeJob(c.Job)
	}
}

// noticeJob wakes the streams of the agents that the job's last attempt was
// placed on.
func (g *Group) noticeJob(id chestnutpond.JobID) {
	var job ledger.Job
	g.cfg.Tail.View(func(st *ledger.State) { job, _ = st.Job(id) })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range job.Placements {
		if s, ok := g.streams[p.Worker]; ok {
			s.notice()
		}
	}
}

// noticeAll wakes the Announce streams. The caller holds mu.
func (g *Group) noticeAll() {
	for s := range g.notices {
		s.notice()
	}
}

// vouches reports whether agents may rely on this entry: it reads the log and so
// learns which attempts are over, or it is in touch with most of the entries.
func (g *Group) vouches() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutSince == 0 || g.Now()-g.cutSince < VouchLimit
}

// noteCut tells the group whether the log is read. The caller holds mu.
func (g *Group) noteCut(now time.Duration, readsLog bool) {
	if readsLog || g.peers.Majority() {
		g.cutSince = 0
		return
	}
	if g.cutSince == 0 {
		g.cutSince = now
		return
	}
	if now-g.cutSince >= VouchLimit {
		g.noticeAll()
	}
}

func (g *Group) expire() {
	now := g.Now()
	readsLog := g.cfg.Tail.Available()
	g.mu.Lock()
	g.noteCut(now, readsLog)
	lostPeers := g.peers.Expire(now)
	lost := g.table.Expire(now, g.peers.LostSince)
	rows := g.rowsOf(lost)
	forgotten := g.table.Forget(now, forgetAfter)
	g.peers.Forget(now, forgetAfter)
	if len(lost) > 0 {
		g.bump()
	}
	g.mu.Unlock()
	for _, name := range lostPeers {
		g.cfg.Logger.Warn("peers: entry lost", "entry", name)
	}
	for _, row := range rows {
		g.noteLost(row.Member.GetName())
		g.cfg.Listener.AgentChanged(row)
	}
	for _, name := range forgotten {
		g.cfg.Listener.AgentForgotten(name)
	}
}

func (g *Group) noteLost(name string) {
	g.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventLostUpstream, Upstream: name})
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

// bump wakes the exchanges that wait for a change. The caller holds mu.
func (g *Group) bump() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// place is an entry as an agent hears of it.
type place struct{ address, region, zone string }

// places returns this entry and those that it hears.
func (g *Group) places() []place {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := []place{{g.cfg.Self.Address, g.cfg.Self.Region, g.cfg.Self.Zone}}
	for _, p := range g.peers.All() {
		if !p.Lost {
			list = append(list, place{p.Address, p.Region, p.Zone})
		}
	}
	return list
}

func placeMessages(list []place) []*inner.EntryAddress {
	messages := make([]*inner.EntryAddress, 0, len(list))
	for _, p := range list {
		messages = append(messages, &inner.EntryAddress{Address: p.address, Region: p.region, Zone: p.zone})
	}
	return messages
}

// full reports whether an agent should look for another home. An agent of this
// entry's zone, and one that no other entry could take, should not.
func (g *Group) full(m *inner.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := g.peers.Live()
	return others > 0 && m.GetZone() != g.cfg.Self.Zone && g.table.Crowded(others+1)
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
