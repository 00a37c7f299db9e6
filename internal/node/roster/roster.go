// Package roster maintains the addresses of the entries.
//
// Each entry registers its address in a topic of the platform's store when it starts,
// and all processes read that topic. Seed addresses from the settings and addresses
// learned from other processes are added, so that a process finds entries while it
// cannot read the store.
package roster

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Roster is the set of known entries. It is safe for concurrent use.
type Roster struct {
	self string

	mu    sync.Mutex
	seeds []string
	// entries maps names to entries.
	entries map[string]entry
	// version is incremented with each change.
	version int64
}

type entry struct {
	*inner.EntryRow

	offset int64
}

// New returns a roster with the given seeds. Self is the name of the process's own
// entry, which PeerAddresses omits; it is empty in an agent.
func New(self string, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, entries: map[string]entry{}}
}

// Record encodes the store record that registers an entry.
func Record(e *inner.EntryRow) (chestnutpond.KeyedRecord, error) {
	value, err := proto.Marshal(e)
	return chestnutpond.KeyedRecord{Key: e.GetName(), Value: value}, err
}

// Apply implements feed.Receiver.
func (r *Roster) Apply(records []chestnutpond.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		current, ok := r.entries[rec.Key]
		if ok && current.offset >= rec.Offset {
			continue
		}
		e := &inner.EntryRow{}
		if len(rec.Value) == 0 || proto.Unmarshal(rec.Value, e) != nil || e.GetAddress() == "" {
			// The entry was removed, or the record is not a valid registration.
			delete(r.entries, rec.Key)
			r.version++
			continue
		}
		r.entries[rec.Key] = entry{e, rec.Offset}
		r.version++
	}
}

// Loaded implements feed.Receiver.
func (r *Roster) Loaded(int64) {}

// Merge merges entries received from another process. Records of the store take
// precedence.
func (r *Roster) Merge(entries []*inner.EntryRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if current, ok := r.entries[e.GetName()]; ok && (current.offset >= 0 || current.GetAddress() == e.GetAddress()) {
			continue
		}
		r.entries[e.GetName()] = entry{e, -1}
		r.version++
	}
}

// SetSeeds replaces the seed addresses and reports whether they changed.
func (r *Roster) SetSeeds(seeds []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(r.seeds, seeds) {
		return false
	}
	r.seeds = seeds
	return true
}

// Version returns a number that grows with each change of the known entries.
func (r *Roster) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Entries returns all known entries, sorted by name.
func (r *Roster) Entries() []*inner.EntryRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*inner.EntryRow, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.EntryRow)
	}
	slices.SortFunc(all, func(a, b *inner.EntryRow) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return all
}

// Address returns the address of an entry, or the empty string if it is unknown.
func (r *Roster) Address(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[name].GetAddress()
}

// PeerAddresses returns the addresses of the other entries: those in the zone first, then
// those in the region, then all others, then seeds that match no known entry.
func (r *Roster) PeerAddresses(zone, region string) []string {
	var addresses []string
	entries := r.Entries()
	slices.SortStableFunc(entries, func(a, b *inner.EntryRow) int {
		return cmp.Compare(distance(a, zone, region), distance(b, zone, region))
	})
	own := ""
	for _, e := range entries {
		if e.GetName() == r.self {
			own = e.GetAddress()
			continue
		}
		addresses = append(addresses, e.GetAddress())
	}
	r.mu.Lock()
	seeds := r.seeds
	r.mu.Unlock()
	for _, s := range seeds {
		if s != own && !slices.Contains(addresses, s) {
			addresses = append(addresses, s)
		}
	}
	return addresses
}

func distance(e *inner.EntryRow, zone, region string) int {
	switch {
	case e.GetZone() == zone:
		return 0
	case e.GetRegion() == region:
		return 1
	}
	return 2
}
