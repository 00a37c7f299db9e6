// Package agemap implements a bounded map that never drops an entry below a minimum
// age.
//
// An agent must remember for some time which attempts it has run or fenced. An
// ordinary cache drops the oldest entry when it is full, so a flood of new entries
// could drop one on which a recent reply of the agent depends. This map drops an
// entry only if it is older than the minimum age. If it is full of younger
// entries, it refuses the new one, and the caller must refuse the request that
// depends on it.
//
// Methods take the current time as an argument. A Map is not safe for concurrent
// use.
package agemap

import (
	"container/list"
	"time"
)

// Config bounds a Map.
type Config struct {
	// Limit is the maximum number of entries.
	Limit int
	// MinAge is the age below which an entry is never dropped.
	MinAge time.Duration
}

// Map maps strings to values of type V.
type Map[V any] struct {
	cfg Config
	// items and order hold the same entries. order is sorted by the time of the
	// last Put, oldest first.
	items map[string]*list.Element
	order *list.List
}

type entry[V any] struct {
	key   string
	value V
	putAt time.Time
}

// New returns an empty map.
func New[V any](cfg Config) *Map[V] {
	return &Map[V]{cfg: cfg, items: map[string]*list.Element{}, order: list.New()}
}

// Len returns the number of entries.
func (m *Map[V]) Len() int { return len(m.items) }

// Get returns the value of key. It does not affect the entry's age.
func (m *Map[V]) Get(key string) (V, bool) {
	if e, ok := m.items[key]; ok {
		return e.Value.(*entry[V]).value, true
	}
	var zero V
	return zero, false
}

// MakeRoom reports whether n more entries fit. It drops entries above the minimum age,
// but no more than needed.
func (m *Map[V]) MakeRoom(n int, now time.Time) bool {
	for len(m.items)+n > m.cfg.Limit {
		oldest := m.order.Front()
		if oldest == nil || now.Sub(oldest.Value.(*entry[V]).putAt) < m.cfg.MinAge {
			return false
		}
		m.order.Remove(oldest)
		delete(m.items, oldest.Value.(*entry[V]).key)
	}
	return true
}

// Put sets the value of key and resets the entry's age. If the map is full of
// entries below the minimum age, Put changes nothing and returns false.
func (m *Map[V]) Put(key string, value V, now time.Time) bool {
	if e, ok := m.items[key]; ok {
		it := e.Value.(*entry[V])
		it.value, it.putAt = value, now
		m.order.MoveToBack(e)
		return true
	}
	if !m.MakeRoom(1, now) {
		return false
	}
	m.items[key] = m.order.PushBack(&entry[V]{key: key, value: value, putAt: now})
	return true
}
