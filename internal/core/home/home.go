// Package home implements an agent's choice of its home, the entry that it
// announces itself to.
//
// An agent has the addresses of entries from its settings (seeds), and the
// addresses, regions and zones of entries from the replies of its home. It
// prefers entries of its own zone, then of its own region, then those whose
// location is unknown, then those of other regions. Entries at the same distance
// are in rendezvous hash order, so that the agents spread evenly and only the
// agents of a lost entry move. Entries are tried in order of their failures since
// any entry last answered, fewest first; among equals the entry that answered
// last comes first.
//
// An agent whose home is not at the smallest distance returns to a nearer entry
// once its home has listed that entry without interruption for a return delay.
// The delay differs between agents, so that they do not all return at once. It
// doubles with each failure of the nearer entry, so that a flapping entry
// attracts no agents. An entry that reports that it is full is ordered behind all
// others for the same delay.
//
// The package starts no goroutines and takes the time as a duration on the
// caller's monotonic clock. It is not safe for concurrent use.
package home

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLearned bounds the addresses that are learned from replies.
	MaxLearned = 64
	// minReturnDelay is the shortest time for which a nearer entry must be listed
	// before the agent returns to it, and for which a full entry is avoided. Each
	// agent adds a jitter of up to the same time, a hash of its name.
	minReturnDelay = 30 * time.Second
	// bootstrapPeriod is the time after the first reply in which a newly listed
	// entry needs no return delay.
	bootstrapPeriod = 10 * time.Second
	// maxBackoffDoublings bounds how often the return delay is doubled.
	maxBackoffDoublings = 4
	// unlistedTTL is how long an entry of the agent's own region is kept after
	// the home stopped listing it. During a network partition a home on the other
	// side lists none of them.
	unlistedTTL = 10 * time.Minute
)

// Entry is an entry that a reply lists.
type Entry struct{ Address, Region, Zone string }

// Config configures Candidates.
type Config struct {
	// Name, Region and Zone describe the agent.
	Name, Region, Zone string
	// Seeds are the addresses from the settings. They are always kept.
	Seeds []string
}

// Candidates keeps the entries that an agent may choose as its home.
type Candidates struct {
	cfg Config
	// candidates maps addresses to entries: the seeds and at most MaxLearned
	// others.
	candidates map[string]*candidate
	// lastAnswered is the entry that answered last, or empty if none did.
	lastAnswered string
	// moveTo is the entry that ShouldMove chose, or empty if there is none.
	moveTo string
	// firstLearnedAt is the time of the first reply that listed entries, or
	// negative before that.
	firstLearnedAt time.Duration
}

// candidate is an agent's record of one entry.
type candidate struct {
	Entry

	seed bool
	// listed means that the newest reply that listed any entries listed this one.
	// listedSince is the time of the first of the consecutive replies that listed
	// it, and unlistedSince that of the first reply that no longer did.
	listed                     bool
	listedSince, unlistedSince time.Duration
	// failures counts the failures since any entry last answered.
	failures int
	// backoffCount counts the failures and the reports of being full. It is reset
	// once the entry answers after a long time without one. backoffAt is the time
	// of the newest one.
	backoffCount int
	backoffAt    time.Duration
	// full means that the entry reported at backoffAt that it was full.
	full bool
}

// New returns a list of the seeds.
func New(cfg Config) *Candidates {
	l := &Candidates{cfg: cfg, candidates: map[string]*candidate{}, firstLearnedAt: -1}
	for _, s := range cfg.Seeds {
		if s != "" {
			l.candidates[s] = &candidate{Entry: Entry{Address: s}, seed: true}
		}
	}
	return l
}

// Learn records the entries that a reply lists. An empty reply changes nothing.
// If there are more than MaxLearned entries, the preferred ones are kept.
func (l *Candidates) Learn(now time.Duration, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	if l.firstLearnedAt < 0 {
		l.firstLearnedAt = now
	}
	wasListed := map[string]bool{}
	for address, c := range l.candidates {
		wasListed[address] = c.listed
		if c.listed {
			c.listed, c.unlistedSince = false, now
		}
	}
	for _, e := range entries {
		if e.Address == "" {
			continue
		}
		c := l.candidates[e.Address]
		if c == nil {
			c = &candidate{}
			l.candidates[e.Address] = c
		}
		c.Entry, c.listed = e, true
		switch {
		case now-l.firstLearnedAt < bootstrapPeriod:
			// The first entries that an agent learns of are not returning after
			// a failure, so no delay is needed. The period covers a home that
			// has just started, which lists the other entries one by one.
			c.listedSince = now - l.returnDelay(maxBackoffDoublings)
		case !wasListed[e.Address]:
			c.listedSince = now
		}
	}
	l.prune(now)
}

// prune drops entries that are neither seeds nor listed, except for those of the
// agent's region that were listed within unlistedTTL, and enforces MaxLearned.
func (l *Candidates) prune(now time.Duration) {
	learned := make([]*candidate, 0, len(l.candidates))
	for address, c := range l.candidates {
		switch {
		case c.seed:
		case c.listed, l.distance(c) <= sameRegion && now-c.unlistedSince < unlistedTTL:
			learned = append(learned, c)
		default:
			delete(l.candidates, address)
		}
	}
	if len(learned) <= MaxLearned {
		return
	}
	slices.SortFunc(learned, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(boolToInt(!a.listed), boolToInt(!b.listed)), l.compare(now, a, b))
	})
	for _, c := range learned[MaxLearned:] {
		delete(l.candidates, c.Address)
	}
}

// Next returns the entry to try now, or false if there is none.
func (l *Candidates) Next(now time.Duration) (string, bool) {
	next := l.moveTo
	l.moveTo = ""
	if _, ok := l.candidates[next]; ok {
		return next, true
	}
	l.prune(now)
	if len(l.candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(slices.Collect(maps.Values(l.candidates)), func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(a.failures, b.failures),
			cmp.Compare(boolToInt(a.Address != l.lastAnswered), boolToInt(b.Address != l.lastAnswered)),
			l.compare(now, a, b),
		)
	}).Address, true
}

// ShouldMove reports whether the agent should leave its home, although it answers, for
// a better one. If so, the next call of Next returns the better one.
func (l *Candidates) ShouldMove(now time.Duration) bool {
	home := l.candidates[l.lastAnswered]
	if home == nil {
		return false
	}
	best := home
	for _, c := range l.candidates {
		if c == home || !c.listed || c.backoffCount > 0 && now-c.backoffAt < l.returnDelay(c.backoffCount) {
			continue
		}
		// An agent leaves a full home at once, but returns only after the delay.
		if !l.isFull(now, home) && now-c.listedSince < l.returnDelay(c.backoffCount) {
			continue
		}
		if l.tier(now, c) < l.tier(now, home) && (best == home || l.compare(now, c, best) < 0) {
			best = c
		}
	}
	if best == home {
		return false
	}
	l.moveTo = best.Address
	return true
}

// Answered records that an entry answered. It resets the failures of all entries:
// they may be old, and would make the agent choose this entry again when it
// fails next.
func (l *Candidates) Answered(now time.Duration, entry string) {
	l.lastAnswered = entry
	for _, c := range l.candidates {
		c.failures = 0
	}
	if c := l.candidates[entry]; c != nil && now-c.backoffAt >= 2*l.returnDelay(maxBackoffDoublings+1) {
		c.backoffCount, c.full = 0, false
	}
}

// Failed records that an entry did not answer or that the stream to it broke.
func (l *Candidates) Failed(now time.Duration, entry string) {
	if c := l.candidates[entry]; c != nil {
		c.failures++
		c.backoffCount, c.backoffAt, c.full = c.backoffCount+1, now, false
	}
}

// Full records that an entry answered but reported that it has too many agents.
func (l *Candidates) Full(now time.Duration, entry string) {
	if c := l.candidates[entry]; c != nil {
		c.backoffCount, c.backoffAt, c.full = c.backoffCount+1, now, true
	}
}

// Len returns the number of entries in the list.
func (l *Candidates) Len() int { return len(l.candidates) }

// returnDelay returns the time for which an entry must be listed before the agent
// returns to it.
func (l *Candidates) returnDelay(backoffCount int) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(l.cfg.Name) % uint64(minReturnDelay))
	return (minReturnDelay + jitter) << min(max(backoffCount-1, 0), maxBackoffDoublings)
}

func (l *Candidates) isFull(now time.Duration, c *candidate) bool {
	return c.full && now-c.backoffAt < l.returnDelay(c.backoffCount)
}

// The distances of an entry, nearest first.
const (
	sameZone = iota
	sameRegion
	unknownLocation
	otherRegion
	numDistances
)

// distance returns the distance of an entry from the agent.
func (l *Candidates) distance(c *candidate) int {
	switch {
	case c.Region == "":
		return unknownLocation
	case c.Region != l.cfg.Region:
		return otherRegion
	case c.Zone != l.cfg.Zone:
		return sameRegion
	}
	return sameZone
}

// tier returns the tier of an entry as a home; lower is better. An agent does not
// move between entries of the same tier.
func (l *Candidates) tier(now time.Duration, c *candidate) int {
	return numDistances*boolToInt(l.isFull(now, c)) + l.distance(c)
}

// compare orders entries by tier, listed entries first, then by descending
// rendezvous weight. The address breaks ties.
func (l *Candidates) compare(now time.Duration, a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(l.tier(now, a), l.tier(now, b)),
		cmp.Compare(boolToInt(!a.listed), boolToInt(!b.listed)),
		cmp.Compare(l.rendezvousWeight(b.Address), l.rendezvousWeight(a.Address)),
		cmp.Compare(a.Address, b.Address),
	)
}

// rendezvousWeight returns the weight of an entry for this agent. A byte that
// neither name contains separates the two.
func (l *Candidates) rendezvousWeight(entry string) uint64 {
	return xxhash.Sum64String(l.cfg.Name + "\x00" + entry)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
