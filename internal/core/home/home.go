// Package home chooses the entry that an agent announces itself to.
//
// An agent knows entries from its settings, by their addresses only, and from
// the answers of its home, with region and zone. It prefers entries of its own
// zone, then of its own region, then those whose place it does not know, then
// those of other regions. Inside each of these groups it follows rendezvous
// order, so that the agents spread evenly and only the agents of a lost entry
// move. An entry that failed goes behind all that failed less often since any
// entry answered; among those the entry that answered last comes first.
//
// An agent whose home is not of its nearest group returns to a nearer entry once
// its home has named that one for long enough without a break. The time differs
// between agents, so that they do not return all at once, and doubles with each
// failure of the nearer entry, so that an entry that comes and goes draws no
// agents. An entry that says that it is full comes behind all others for as long.
//
// The package has no goroutine and takes the time as a duration on the caller's
// monotonic clock; it is not safe for concurrent use.
package home

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLearned bounds the addresses that replies add to those of the settings.
	MaxLearned = 64
	// returnAfter is the least time for which a nearer entry must be named, or a
	// full one is avoided. Up to as much again is added by a hash of the agent.
	returnAfter = 30 * time.Second
	// settle is how long after the first reply an entry counts as there all along.
	settle = 10 * time.Second
	// maxStrikes bounds how often that time is doubled.
	maxStrikes = 4
	// keepUnnamed is how long an entry of the agent's own region is kept after
	// the home stopped naming it: a home beyond a cut names none of them.
	keepUnnamed = 10 * time.Minute
)

// Entry is an entry as a reply names it.
type Entry struct{ Address, Region, Zone string }

// Config makes a List.
type Config struct {
	// Name, Region and Zone are those of the agent.
	Name, Region, Zone string
	// Seeds are the addresses of the settings; they are always kept.
	Seeds []string
}

// List orders the known entries.
type List struct {
	cfg Config
	// known are the entries by address: the seeds, and at most MaxLearned others.
	known map[string]*candidate
	// last is the entry that answered last; empty if none did.
	last string
	// next is the entry that the agent moves to; empty if none.
	next string
	// taught is the time of the first reply that named entries, negative before.
	taught time.Duration
}

// candidate is what an agent knows of one entry.
type candidate struct {
	Entry

	seed bool
	// named means that the newest reply that named entries named this one; since
	// is the time of the first reply of the unbroken row of those that do, and
	// unnamed that of the first that did not.
	named          bool
	since, unnamed time.Duration
	// failures counts the failures since any entry answered.
	failures int
	// strikes counts the failures and refusals since the entry was kept as home
	// for long; blamed is the time of the newest one.
	strikes int
	blamed  time.Duration
	// full means that the entry said so at the time blamed.
	full bool
}

// New returns the list of an agent.
func New(cfg Config) *List {
	l := &List{cfg: cfg, known: map[string]*candidate{}, taught: -1}
	for _, s := range cfg.Seeds {
		if s != "" {
			l.known[s] = &candidate{Entry: Entry{Address: s}, seed: true}
		}
	}
	return l
}

// Learn takes in the entries that a reply names. Without any it changes nothing.
// Beyond MaxLearned the first in order of preference are kept.
func (l *List) Learn(now time.Duration, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	if l.taught < 0 {
		l.taught = now
	}
	before := map[string]bool{}
	for address, c := range l.known {
		before[address] = c.named
		if c.named {
			c.named, c.unnamed = false, now
		}
	}
	for _, e := range entries {
		if e.Address == "" {
			continue
		}
		c := l.known[e.Address]
		if c == nil {
			c = &candidate{}
			l.known[e.Address] = c
		}
		c.Entry, c.named = e, true
		switch {
		case now-l.taught < settle:
			// An entry that the agent hears of at first has not come back from
			// anywhere. A home that has started names the others one by one.
			c.since = now - l.patience(maxStrikes)
		case !before[e.Address]:
			c.since = now
		}
	}
	l.prune(now)
}

// prune drops entries that are neither seeds nor named, but for those of the
// agent's region that were named until lately, and bounds the rest.
func (l *List) prune(now time.Duration) {
	learned := make([]*candidate, 0, len(l.known))
	for address, c := range l.known {
		switch {
		case c.seed:
		case c.named, l.group(c) <= ownRegion && now-c.unnamed < keepUnnamed:
			learned = append(learned, c)
		default:
			delete(l.known, address)
		}
	}
	if len(learned) <= MaxLearned {
		return
	}
	slices.SortFunc(learned, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(rank(!a.named), rank(!b.named)), l.byPlace(now, a, b))
	})
	for _, c := range learned[MaxLearned:] {
		delete(l.known, c.Address)
	}
}

// Next returns the entry to try now, or false when none is known.
func (l *List) Next(now time.Duration) (string, bool) {
	next := l.next
	l.next = ""
	if _, ok := l.known[next]; ok {
		return next, true
	}
	l.prune(now)
	if len(l.known) == 0 {
		return "", false
	}
	return slices.MinFunc(slices.Collect(maps.Values(l.known)), func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(a.failures, b.failures),
			cmp.Compare(rank(a.Address != l.last), rank(b.Address != l.last)),
			l.byPlace(now, a, b),
		)
	}).Address, true
}

// Move reports whether the agent should leave its home, which answers, for a
// better one; the next call of Next returns that one.
func (l *List) Move(now time.Duration) bool {
	home := l.known[l.last]
	if home == nil {
		return false
	}
	best := home
	for _, c := range l.known {
		if c == home || !c.named || c.strikes > 0 && now-c.blamed < l.patience(c.strikes) {
			continue
		}
		// An agent leaves a full home at once, and returns with patience.
		if !l.isFull(now, home) && now-c.since < l.patience(c.strikes) {
			continue
		}
		if l.standing(now, c) < l.standing(now, home) && (best == home || l.byPlace(now, c, best) < 0) {
			best = c
		}
	}
	if best == home {
		return false
	}
	l.next = best.Address
	return true
}

// Good records that an entry answered. Earlier failures of all entries are
// forgotten: they may be long ago, and would lead back to this entry when it
// fails next.
func (l *List) Good(now time.Duration, entry string) {
	l.last = entry
	for _, c := range l.known {
		c.failures = 0
	}
	if c := l.known[entry]; c != nil && now-c.blamed >= 2*l.patience(maxStrikes+1) {
		c.strikes, c.full = 0, false
	}
}

// Failed records that an entry did not answer, or that its stream broke.
func (l *List) Failed(now time.Duration, entry string) {
	if c := l.known[entry]; c != nil {
		c.failures++
		c.strikes, c.blamed, c.full = c.strikes+1, now, false
	}
}

// Full records that an entry answered and has as many agents as it wants.
func (l *List) Full(now time.Duration, entry string) {
	if c := l.known[entry]; c != nil {
		c.strikes, c.blamed, c.full = c.strikes+1, now, true
	}
}

// Len returns the number of known entries.
func (l *List) Len() int { return len(l.known) }

// patience is the time for which an entry must be there before the agent comes
// back to it.
func (l *List) patience(strikes int) time.Duration {
	spread := time.Duration(xxhash.Sum64String(l.cfg.Name) % uint64(returnAfter))
	return (returnAfter + spread) << min(max(strikes-1, 0), maxStrikes)
}

func (l *List) isFull(now time.Duration, c *candidate) bool {
	return c.full && now-c.blamed < l.patience(c.strikes)
}

const (
	ownZone = iota
	ownRegion
	unknownPlace
	otherRegion
	groups
)

// group is the distance of an entry.
func (l *List) group(c *candidate) int {
	switch {
	case c.Region == "":
		return unknownPlace
	case c.Region != l.cfg.Region:
		return otherRegion
	case c.Zone != l.cfg.Zone:
		return ownRegion
	}
	return ownZone
}

// standing is lower for an entry that the agent had rather as its home; entries
// of the same standing are no reason to move.
func (l *List) standing(now time.Duration, c *candidate) int {
	return groups*rank(l.isFull(now, c)) + l.group(c)
}

// byPlace sorts by standing, then those that are named first, then by descending
// rendezvous weight; the address breaks ties.
func (l *List) byPlace(now time.Duration, a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(l.standing(now, a), l.standing(now, b)),
		cmp.Compare(rank(!a.named), rank(!b.named)),
		cmp.Compare(l.weight(b.Address), l.weight(a.Address)),
		cmp.Compare(a.Address, b.Address),
	)
}

// weight separates the two names by a byte that neither contains.
func (l *List) weight(entry string) uint64 {
	return xxhash.Sum64String(l.cfg.Name + "\x00" + entry)
}

func rank(late bool) int {
	if late {
		return 1
	}
	return 0
}
