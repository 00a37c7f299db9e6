// Package roster maintains the addresses of the entries.
//
// Each entry registers its address in a topic of the platform's store when it starts,
// and all processes read that topic. Seed addresses from the settings and addresses
// learned from other processes are added, so that a process finds entries while it
// cannot read the store.
package roster

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("roster")

// MaxEntries is the maximum number of known entries; further ones are ignored.
const MaxEntries = 1024

// Config configures a Roster.
type Config struct {
	// Self is the name of the process's own entry, which PeerAddresses omits; it is
	// empty in an agent.
	Self  string
	Seeds []string
	Log   *slog.Logger
}

// Roster is the set of known entries. It is safe for concurrent use.
type Roster struct {
	self string
	log  *slog.Logger

	mu    sync.Mutex
	seeds []string
	// entries maps names to entries.
	entries map[string]entry
	// version is incremented with each change.
	version int64
}

// entry is a known entry with the offset of the newest record of its key, or -1 if it was
// received from another process.
type entry struct {
	*inner.EntryRow

	offset int64
	// overwritten means that the newest record of its key is not a valid registration.
	// The row is that of the record before it.
	overwritten bool
}

// New returns a roster of the given seeds.
func New(c Config) *Roster {
	return &Roster{self: c.Self, log: c.Log, seeds: c.Seeds, entries: map[string]entry{}}
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
		r.apply(rec)
	}
}

// apply applies a record. The lock is held.
func (r *Roster) apply(rec chestnutpond.KeyedRecord) {
	current, ok := r.entries[rec.Key]
	if ok && current.offset >= rec.Offset {
		return
	}
	if len(rec.Value) == 0 {
		delete(r.entries, rec.Key)
		r.version++
		return
	}
	e := &inner.EntryRow{}
	err := proto.Unmarshal(rec.Value, e)
	if err == nil && !chestnutpond.ValidAddress(e.GetAddress()) {
		err = Error.New("address is %.80q; want host:port with a port from 1 to 65535", e.GetAddress())
	}
	if err != nil {
		r.log.Warn("skipping invalid record", "offset", rec.Offset, "entry", rec.Key, "error", err)
		if ok {
			current.offset, current.overwritten = rec.Offset, true
			r.entries[rec.Key] = current
		}
		return
	}
	r.put(rec.Key, entry{EntryRow: e, offset: rec.Offset})
}

// put adds or replaces an entry. The lock is held.
func (r *Roster) put(name string, e entry) {
	if _, known := r.entries[name]; !known && len(r.entries) >= MaxEntries {
		r.log.Warn("ignoring entry: too many are known", "entry", name, "limit", MaxEntries)
		return
	}
	r.entries[name] = e
	r.version++
}

// Loaded implements feed.Receiver.
func (r *Roster) Loaded(int64) {}

// Retain implements feed.Receiver. It removes the entries that left while the records were
// not read.
func (r *Roster) Retain(keys map[string]bool, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.entries {
		if e.offset >= 0 && e.offset < end && !keys[name] {
			delete(r.entries, name)
			r.version++
		}
	}
}

// Merge merges entries received from another process. Records of the store take
// precedence.
func (r *Roster) Merge(entries []*inner.EntryRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if e.GetName() == "" || !chestnutpond.ValidAddress(e.GetAddress()) {
			r.log.Warn("skipping invalid entry of another process", "entry", e.GetName(), "address", e.GetAddress())
			continue
		}
		if current, ok := r.entries[e.GetName()]; ok && (current.offset >= 0 || current.GetAddress() == e.GetAddress()) {
			continue
		}
		r.put(e.GetName(), entry{EntryRow: e, offset: -1})
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

// Registered reports whether the newest record of an entry in the store has the address.
func (r *Roster) Registered(name, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[name]
	return ok && e.offset >= 0 && !e.overwritten && e.GetAddress() == address
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
