// Package home chooses the entry that an agent announces itself to.
//
// An agent knows entries by their addresses only: those of its settings, and
// those that its home entry told it. It prefers the entry that answered last,
// and otherwise follows rendezvous order, so that the agents spread evenly over
// the entries and only the agents of a lost entry move. An entry that failed
// goes behind all that failed less often since any entry answered.
//
// The package has no clock and no goroutine; it is not safe for concurrent use.
package home

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxLearned bounds the addresses that replies add to those of the settings.
const MaxLearned = 64

// List orders the known entries.
type List struct {
	name  string
	seeds []string
	// learned are the addresses of the newest reply that named any, without the
	// seeds; at most MaxLearned.
	learned []string
	// last is the entry that answered last; empty if none did.
	last string
	// failures counts the failures of the known entries since one answered.
	failures map[string]int
}

// New returns the list of an agent of that name. The seeds are always kept.
func New(name string, seeds []string) *List {
	l := &List{name: name, failures: map[string]int{}}
	for _, s := range seeds {
		if s != "" && !slices.Contains(l.seeds, s) {
			l.seeds = append(l.seeds, s)
		}
	}
	return l
}

// Learn replaces the learned addresses. Empty replies change nothing. Beyond
// MaxLearned the first in rendezvous order are kept.
func (l *List) Learn(entries []string) {
	if len(entries) == 0 {
		return
	}
	learned := make([]string, 0, len(entries))
	for _, e := range entries {
		if e != "" && !slices.Contains(l.seeds, e) {
			learned = append(learned, e)
		}
	}
	slices.SortFunc(learned, l.byHash)
	learned = slices.Compact(learned)
	l.learned = learned[:min(len(learned), MaxLearned)]
	for e := range l.failures {
		if !slices.Contains(l.seeds, e) && !slices.Contains(l.learned, e) {
			delete(l.failures, e)
		}
	}
}

// Next returns the entry to try now, or false when none is known.
func (l *List) Next() (string, bool) {
	all := slices.Concat(l.seeds, l.learned)
	if len(all) == 0 {
		return "", false
	}
	return slices.MinFunc(all, func(a, b string) int {
		if c := l.failures[a] - l.failures[b]; c != 0 {
			return c
		}
		if a == l.last || b == l.last {
			return boolRank(b == l.last) - boolRank(a == l.last)
		}
		return l.byHash(a, b)
	}), true
}

// Good records that an entry answered. Earlier failures of all entries are
// forgotten: they may be long ago, and would lead back to this entry when it
// fails next.
func (l *List) Good(entry string) {
	l.last = entry
	clear(l.failures)
}

// Failed records that an entry did not answer, or that its stream broke.
func (l *List) Failed(entry string) { l.failures[entry]++ }

// Len returns the number of known entries.
func (l *List) Len() int { return len(l.seeds) + len(l.learned) }

// byHash sorts by descending rendezvous weight; the address breaks ties.
func (l *List) byHash(a, b string) int {
	wa, wb := l.weight(a), l.weight(b)
	switch {
	case wa > wb:
		return -1
	case wa < wb:
		return 1
	}
	return strings.Compare(a, b)
}

// weight separates the two names by a byte that neither contains.
func (l *List) weight(entry string) uint64 {
	return xxhash.Sum64String(l.name + "\x00" + entry)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
