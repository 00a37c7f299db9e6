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

// poller follows the rows homed at one other entry.
type poller struct {
	group   *Group
	address string
	since   int64
	table   int64
	// name is the entry that answered last; empty if none did.
	name string
	// heard is when it answered, or when the poller was started.
	heard time.Duration
	// known is the digest of the peers that the entry named last.
	known uint64
}

// follow starts a poller for an address that has none.
func (g *Group) follow(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil || g.running.Err() != nil {
		return
	}
	if address == "" || address == g.cfg.Self.Address || len(g.pollers) >= addressLimit {
		return
	}
	if _, running := g.pollers[address]; running {
		return
	}
	p := &poller{group: g, address: address, heard: g.Now()}
	g.pollers[address] = p
	go p.run(g.running)
}

// unfollow ends the poller of an address that is not in the settings and has not
// answered for followFor. It reports whether it did.
func (g *Group) unfollow(p *poller) bool {
	if g.Now()-p.heard < followFor || slices.Contains(g.cfg.Entries, p.address) {
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
		if p.group.unfollow(p) {
			return
		}
		delay := exchangeRetry
		if p.group.Now()-p.heard > retrySoonFor {
			delay = exchangeRetryLate
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// exchange asks once and reports whether the peer answered.
func (p *poller) exchange(ctx context.Context) bool {
	conn, done, err := p.group.cfg.Dialer.Get(p.address)
	if err != nil {
		return false
	}
	defer done()
	// The rows of a lost entry were marked as lost here, which its index does not
	// know. All of them are asked for again.
	if peer, known := p.group.Peer(p.name); known && peer.Lost {
		p.since, p.table = 0, 0
	}
	ectx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ask := p.group.askHabits()
	reply, err := inner.NewEntryClient(conn).Exchange(ectx, &inner.ExchangeRequest{
		From: peerMessage(p.group.cfg.Self), Since: p.since, Table: p.table, Wait: durationpb.New(exchangeWait),
		KnownPeers: p.known, WantHabits: ask,
	})
	if ask {
		p.group.hearHabits(reply.GetHabits())
	}
	if err != nil {
		if ectx.Err() != nil && ctx.Err() == nil {
			p.group.cfg.Dialer.Replace(p.address, conn)
		}
		return false
	}
	p.group.meters.exchangeReceived.Inc(int64(proto.Size(reply)))
	restarted := p.table != reply.GetTable()
	p.since = reply.GetNext()
	p.table = reply.GetTable()
	p.known = reply.GetPeersDigest()
	p.name = reply.GetFrom().GetName()
	p.heard = p.group.Now()
	p.group.learn(reply, restarted)
	return true
}

// learn takes in the answer of another entry. When whole is set, the answer
// lists all rows of that entry.
func (g *Group) learn(reply *inner.ExchangeReply, whole bool) {
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
		if !g.table.Learn(now, m, from.Name) {
			continue
		}
		row, _ := g.table.Get(m.GetName())
		changed = append(changed, row)
	}
	if whole {
		g.table.Orphan(now, from.Name, listed)
	}
	g.mu.Unlock()
	for _, row := range changed {
		g.cfg.Listener.AgentChanged(row)
	}
	for _, peer := range reply.GetPeers() {
		g.follow(peer.GetAddress())
	}
}

// Exchange serves the pollers of other entries. An entry that asks is followed in
// turn, because its address may be in nobody's settings.
func (g *Group) Exchange(ctx context.Context, req *inner.ExchangeRequest) (*inner.ExchangeReply, error) {
	g.follow(req.GetFrom().GetAddress())
	since := req.GetSince()
	if req.GetTable() != g.cfg.Self.Incarnation {
		since = 0
	}
	g.mu.Lock()
	changed := g.changed
	waiting := since >= g.table.Index() && req.GetTable() == g.cfg.Self.Incarnation
	g.mu.Unlock()
	if waiting {
		wait(ctx, changed, req.GetWait().AsDuration())
	}
	reply := g.exchangeReply(since, req.GetKnownPeers())
	if req.GetWantHabits() {
		reply.Habits = g.giveHabits()
	}
	size := int64(proto.Size(reply))
	g.meters.exchangeSent.Inc(size)
	if req.GetFrom().GetRegion() != g.cfg.Self.Region {
		g.meters.farSent.Inc(size)
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
	// Among 11 entries the list is most of the bytes of an idle exchange.
	if reply.PeersDigest != known {
		reply.Peers = peers
	}
	return reply
}

// digest tells lists of peers apart by their addresses; it is never 0.
func digest(peers []*inner.Peer) uint64 {
	d := xxhash.New()
	for _, p := range peers {
		// Writing to a digest never fails.
		_, _ = d.WriteString(p.GetAddress() + " ")
	}
	return d.Sum64() | 1
}

// rowMessage returns the member of a row with its loss.
func rowMessage(row fleet.Row) *inner.Member {
	if row.Member.GetLost() == row.Lost {
		return row.Member
	}
	m := proto.Clone(row.Member).(*inner.Member)
	m.Lost = row.Lost
	return m
}

func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
