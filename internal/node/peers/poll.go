package peers

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// poller polls another entry for changes of the rows that are homed there.
type poller struct {
	group   *Group
	address string
	since   int64
	tableID int64
	// name is the name of the entry that answered last; empty if none has.
	name string
	// answeredAt is the time of the last answer, or of the poller's start.
	answeredAt time.Duration
	// peersDigest is the digest of the last peer list received.
	peersDigest uint64
}

// startPoller starts a poller for an address that has none.
func (g *Group) startPoller(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runCtx == nil || g.runCtx.Err() != nil {
		return
	}
	if address == "" || address == g.cfg.Self.Address || len(g.pollers) >= maxPollers {
		return
	}
	if _, running := g.pollers[address]; running {
		return
	}
	p := &poller{group: g, address: address, answeredAt: g.Now()}
	g.pollers[address] = p
	go p.run(g.runCtx)
}

// stopUnanswered removes the poller of an address that is not in the settings and
// has not answered for unansweredLimit. It reports whether it did.
func (g *Group) stopUnanswered(p *poller) bool {
	if g.Now()-p.answeredAt < unansweredLimit || slices.Contains(g.cfg.Entries, p.address) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pollers, p.address)
	return true
}

func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.exchange(ctx) {
			continue
		}
		if p.group.stopUnanswered(p) {
			return
		}
		delay := exchangeRetryDelay
		if p.group.Now()-p.answeredAt > fastRetryWindow {
			delay = exchangeSlowRetryDelay
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// exchange performs one exchange and reports whether the peer answered.
func (p *poller) exchange(ctx context.Context) bool {
	conn, done, err := p.group.cfg.Dialer.Get(p.address)
	if err != nil {
		return false
	}
	defer done()
	// The rows of a lost entry were marked lost locally, which does not advance the
	// index of that entry, so all of its rows are requested again.
	if peer, known := p.group.Peer(p.name); known && peer.Lost {
		p.since, p.tableID = 0, 0
	}
	ectx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ask := p.group.beginHabitsRequest()
	reply, err := inner.NewEntryClient(conn).Exchange(ectx, &inner.ExchangeRequest{
		From: peerMessage(p.group.cfg.Self), Since: p.since, Table: p.tableID, Wait: durationpb.New(exchangeWait),
		KnownPeers: p.peersDigest, WantHabits: ask,
	})
	if ask {
		p.group.endHabitsRequest(reply.GetHabits())
	}
	if err != nil {
		if ectx.Err() != nil && ctx.Err() == nil {
			p.group.cfg.Dialer.Replace(p.address, conn)
		}
		return false
	}
	p.group.metrics.exchangeReceived.Inc(int64(proto.Size(reply)))
	restarted := p.tableID != reply.GetTable()
	p.since = reply.GetNext()
	p.tableID = reply.GetTable()
	p.peersDigest = reply.GetPeersDigest()
	p.name = reply.GetFrom().GetName()
	p.answeredAt = p.group.Now()
	p.group.applyReply(reply, restarted)
	return true
}

// applyReply applies the reply of another entry. If whole is set, the reply lists
// all rows of that entry.
func (g *Group) applyReply(reply *inner.ExchangeReply, whole bool) {
	now := g.Now()
	from := peerOf(reply.GetFrom())
	var changed []fleet.Row
	g.mu.Lock()
	if reply.GetLeaving() {
		g.peers.Leave(now, from)
	} else {
		g.peers.Heard(now, from)
	}
	listed := make(map[string]bool, len(reply.GetMembers()))
	for _, m := range reply.GetMembers() {
		listed[m.GetName()] = true
		if !g.table.PutRemote(now, m, from.Name) {
			continue
		}
		row, _ := g.table.Get(m.GetName())
		changed = append(changed, row)
	}
	if whole {
		g.table.ClearHome(now, from.Name, listed)
	}
	g.mu.Unlock()
	for _, row := range changed {
		g.cfg.Listener.AgentChanged(row)
	}
	for _, peer := range reply.GetPeers() {
		g.startPoller(peer.GetAddress())
	}
}

// Exchange serves the pollers of other entries. The calling entry is polled in
// turn, because its address may not be in the settings of any other entry.
func (g *Group) Exchange(ctx context.Context, req *inner.ExchangeRequest) (*inner.ExchangeReply, error) {
	g.startPoller(req.GetFrom().GetAddress())
	since := req.GetSince()
	if req.GetTable() != g.cfg.Self.Incarnation {
		since = 0
	}
	g.mu.Lock()
	changed := g.changed
	waiting := since >= g.table.LastIndex() && req.GetTable() == g.cfg.Self.Incarnation
	g.mu.Unlock()
	if waiting {
		waitChange(ctx, changed, req.GetWait().AsDuration())
	}
	reply := g.exchangeReply(since, req.GetKnownPeers())
	if req.GetWantHabits() {
		reply.Habits = g.habitsReply()
	}
	size := int64(proto.Size(reply))
	g.metrics.exchangeSent.Inc(size)
	if req.GetFrom().GetRegion() != g.cfg.Self.Region {
		g.metrics.farSent.Inc(size)
	}
	return reply, nil
}

func (g *Group) exchangeReply(since int64, known uint64) *inner.ExchangeReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	rows, next := g.table.Since(since)
	reply := &inner.ExchangeReply{
		From: peerMessage(g.cfg.Self), Next: next, Table: g.cfg.Self.Incarnation, Leaving: g.draining,
	}
	for _, row := range rows {
		reply.Members = append(reply.Members, rowMessage(row))
	}
	var peers []*inner.Peer
	for _, p := range g.peers.All() {
		if !p.Lost {
			peers = append(peers, peerMessage(p))
		}
	}
	reply.PeersDigest = digest(peers)
	// With 11 entries the peer list is most of the bytes of an idle exchange.
	if reply.PeersDigest != known {
		reply.Peers = peers
	}
	return reply
}

// digest returns a hash of the peers' addresses that is never 0.
func digest(peers []*inner.Peer) uint64 {
	d := xxhash.New()
	for _, p := range peers {
		// Writing to a digest never fails.
		_, _ = d.WriteString(p.GetAddress() + " ")
	}
	return d.Sum64() | 1
}

// rowMessage returns the member of a row with its Lost field set from the row.
func rowMessage(row fleet.Row) *inner.Member {
	if row.Member.GetLost() == row.Lost {
		return row.Member
	}
	m := proto.Clone(row.Member).(*inner.Member)
	m.Lost = row.Lost
	return m
}

func waitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
