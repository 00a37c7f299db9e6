// Package aged holds a bounded map that never forgets an entry too early.
//
// An agent must remember for a while which attempts it has run or fenced. An
// ordinary cache drops the oldest entry when it is full, so that a flood makes
// it forget a promise that was just given. This map drops an entry only when
// the entry is older than a minimum age. When it is full of younger entries it
// refuses the new one, and the caller refuses the promise that depends on it.
//
// The map takes the time as an argument and is not safe for concurrent use.
package aged

import (
	"container/list"
	"time"
)

// Config bounds a Map.
type Config struct {
	// Limit is the largest number of entries.
	Limit int
	// MinAge is the age below which an entry is never dropped.
	MinAge time.Duration
}

// Map maps strings to values of type V.
type Map[V any] struct {
	cfg Config
	// items and order hold the same entries; order is sorted by time of the
	// last Put, oldest first.
	items map[string]*list.Element
	order *list.List
}

type item[V any] struct {
	key   string
	value V
	at    time.Time
}

// New returns an empty map.
func New[V any](cfg Config) *Map[V] {
	return &Map[V]{cfg: cfg, items: map[string]*list.Element{}, order: list.New()}
}

// Len returns the number of entries.
func (m *Map[V]) Len() int { return len(m.items) }

// Get returns the value of key. It does not change the entry's age.
func (m *Map[V]) Get(key string) (V, bool) {
	if e, ok := m.items[key]; ok {
		return e.Value.(*item[V]).value, true
	}
	var zero V
	return zero, false
}

// Room reports whether n more entries fit, after dropping entries that are old
// enough. It drops no more entries than needed.
func (m *Map[V]) Room(n int, now time.Time) bool {
	for len(m.items)+n > m.cfg.Limit {
		oldest := m.order.Front()
		if oldest == nil || now.Sub(oldest.Value.(*item[V]).at) < m.cfg.MinAge {
			return false
		}
		m.order.Remove(oldest)
		delete(m.items, oldest.Value.(*item[V]).key)
	}
	return true
}

// Put sets the value of key and starts its age anew. It returns false, and
// changes nothing, when the map is full of entries below the minimum age.
func (m *Map[V]) Put(key string, value V, now time.Time) bool {
	if e, ok := m.items[key]; ok {
		it := e.Value.(*item[V])
		it.value, it.at = value, now
		m.order.MoveToBack(e)
		return true
	}
	if !m.Room(1, now) {
		return false
	}
	m.items[key] = m.order.PushBack(&item[V]{key: key, value: value, at: now})
	return true
}
