package peers

import (
	"time"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// habitsFor is how long after its start an entry asks for habits. Later its own
	// past is as good as what a peer of the same age knows.
	habitsFor = time.Minute
	// habitsEvery is the least time between two lists that this entry gives away,
	// so that they stay within 4 KB/s although several entries start at once.
	habitsEvery = 12 * time.Second
)

// Habits is the part of the process that knows what callers usually get.
type Habits interface {
	// Habits returns a bounded list, or nil if this entry does not know it.
	Habits() *inner.Habits
	// LearnHabits takes a list over and reports whether no more are needed.
	LearnHabits(list *inner.Habits) bool
}

// askHabits reports whether an exchange that starts now is to ask for habits. One
// exchange at a time asks, so that not all other entries send the same list.
func (g *Group) askHabits() bool {
	if g.cfg.Habits == nil || g.Now() >= habitsFor {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.habitsAsked || g.habitsLearned {
		return false
	}
	g.habitsAsked = true
	return true
}

// hearHabits ends an exchange that asked; the list is nil if none came.
func (g *Group) hearHabits(list *inner.Habits) {
	learned := list != nil && g.cfg.Habits.LearnHabits(list)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.habitsAsked = false
	g.habitsLearned = g.habitsLearned || learned
}

// giveHabits returns the list for an entry that asked for it, at most once in
// habitsEvery.
func (g *Group) giveHabits() *inner.Habits {
	if g.cfg.Habits == nil {
		return nil
	}
	// Calls of Habits hold no lock of the group, but two at once are never due.
	g.mu.Lock()
	last := g.habitsGiven
	due := last == 0 || g.Now()-last >= habitsEvery
	if due {
		g.habitsGiven = g.Now()
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	list := g.cfg.Habits.Habits()
	if list == nil {
		g.mu.Lock()
		g.habitsGiven = last
		g.mu.Unlock()
	}
	return list
}
