package fleet

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another entry.
type Peer struct {
	Name        string
	Incarnation int64
	Address     string
	Region      string
	Zone        string
	// Heard is when this entry last received a reply from the peer.
	Heard time.Duration
	// Lost means that the peer was silent for LostAfter or has left.
	Lost bool
	// LostAt is when Lost was set.
	LostAt time.Duration
	// Left means that the peer announced its shutdown. Such a peer is lost, and
	// Majority and All leave it out.
	Left bool
}

// PeersConfig configures a Peers.
type PeersConfig struct {
	Self Peer
	// LostAfter is how long a peer may be silent before it counts as lost.
	LostAfter time.Duration
}

// Peers is a table of the other entries.
type Peers struct {
	cfg   PeersConfig
	peers map[string]*Peer
}

// NewPeers returns an empty table.
func NewPeers(cfg PeersConfig) *Peers {
	return &Peers{cfg: cfg, peers: make(map[string]*Peer)}
}

// Heard records a reply from the peer itself. It ignores replies of an older
// incarnation, and of one that has left.
func (p *Peers) Heard(now time.Duration, peer Peer) {
	old, ok := p.peers[peer.Name]
	if peer.Name == p.cfg.Self.Name || (ok && old.Incarnation > peer.Incarnation) {
		return
	}
	if ok && old.Left && old.Incarnation == peer.Incarnation {
		return
	}
	peer.Heard = now
	peer.Lost = false
	p.peers[peer.Name] = &peer
}

// Leave records that a peer announced its shutdown.
func (p *Peers) Leave(now time.Duration, peer Peer) {
	old, ok := p.peers[peer.Name]
	if peer.Name == p.cfg.Self.Name || (ok && (old.Incarnation > peer.Incarnation || old.Left)) {
		return
	}
	peer.Heard = now
	peer.Lost = true
	peer.LostAt = now
	peer.Left = true
	p.peers[peer.Name] = &peer
}

// Expire marks silent peers as lost and returns their names in order.
func (p *Peers) Expire(now time.Duration) []string {
	var lost []string
	for name, peer := range p.peers {
		if !peer.Lost && now-peer.Heard > p.cfg.LostAfter {
			peer.Lost = true
			peer.LostAt = now
			lost = append(lost, name)
		}
	}
	sort.Strings(lost)
	return lost
}

// Forget removes peers that have been lost for longer than keep.
func (p *Peers) Forget(now, keep time.Duration) {
	for name, peer := range p.peers {
		if peer.Lost && now-peer.LostAt > keep {
			delete(p.peers, name)
		}
	}
}

// Majority reports whether this entry and the peers that are not lost are more
// than half of all entries that have not left.
func (p *Peers) Majority() bool {
	heard, lost := 1, 0
	for _, peer := range p.peers {
		if peer.Left {
			continue
		}
		if peer.Lost {
			lost++
		} else {
			heard++
		}
	}
	return heard > lost
}

// Live returns the number of peers that are not lost.
func (p *Peers) Live() int {
	live := 0
	for _, peer := range p.peers {
		if !peer.Lost {
			live++
		}
	}
	return live
}

// LostSince reports whether a peer is lost, and since when. An unknown peer is
// not lost.
func (p *Peers) LostSince(name string) (time.Duration, bool) {
	peer, ok := p.peers[name]
	if !ok || !peer.Lost {
		return 0, false
	}
	return peer.LostAt, true
}

// Get returns the peer with the given name.
func (p *Peers) Get(name string) (Peer, bool) {
	peer, ok := p.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *peer, true
}

// All returns the peers that have not left, sorted by name.
func (p *Peers) All() []Peer {
	all := make([]Peer, 0, len(p.peers))
	for _, peer := range p.peers {
		if !peer.Left {
			all = append(all, *peer)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Rank returns the position, from zero, of this entry in the order in which the
// live entries may claim a new term of the region's scheduler. Entries of the
// region come first; within each group the order is by rendezvous hash.
func (p *Peers) Rank(region string) int {
	self := p.cfg.Self
	rank := 0
	for _, peer := range p.peers {
		if !peer.Lost && outranks(*peer, self, region) {
			rank++
		}
	}
	return rank
}

func outranks(a, b Peer, region string) bool {
	if (a.Region == region) != (b.Region == region) {
		return a.Region == region
	}
	return rendezvousWeight(a.Name, region) > rendezvousWeight(b.Name, region)
}

func rendezvousWeight(name, region string) uint64 {
	return xxhash.Sum64String(name + "\x00" + region)
}
