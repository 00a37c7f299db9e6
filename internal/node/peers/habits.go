package peers

import (
	"time"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// habitsRequestWindow is how long after its start an entry requests habits. After
	// that its own history is as good as that of a peer of the same age.
	habitsRequestWindow = time.Minute
	// habitsSendInterval is the minimum time between two lists that this entry sends,
	// so that they stay within 4 KB/s when several entries start at once.
	habitsSendInterval = 12 * time.Second
)

// Habits is the part of the process that tracks the usual load of each caller.
type Habits interface {
	// Habits returns a bounded list, or nil if this entry has none yet.
	Habits() *inner.Habits
	// ImportHabits applies a list and reports whether no more are needed.
	ImportHabits(list *inner.Habits) bool
}

// beginHabitsRequest reports whether an exchange that starts now should request
// habits. Only one exchange at a time does, so that not all other entries send the
// same list.
func (g *Group) beginHabitsRequest() bool {
	if g.cfg.Habits == nil || g.Now() >= habitsRequestWindow {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.habitsPending || g.habitsLearned {
		return false
	}
	g.habitsPending = true
	return true
}

// endHabitsRequest applies the list that an exchange received, nil if there was
// none, and allows the next request.
func (g *Group) endHabitsRequest(list *inner.Habits) {
	learned := list != nil && g.cfg.Habits.ImportHabits(list)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.habitsPending = false
	g.habitsLearned = g.habitsLearned || learned
}

// habitsReply returns the list for an entry that requested it, at most once per
// habitsSendInterval.
func (g *Group) habitsReply() *inner.Habits {
	if g.cfg.Habits == nil {
		return nil
	}
	// Habits is called without holding a lock of the group; setting habitsSentAt
	// before the call prevents a second concurrent one.
	g.mu.Lock()
	last := g.habitsSentAt
	due := last == 0 || g.Now()-last >= habitsSendInterval
	if due {
		g.habitsSentAt = g.Now()
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	list := g.cfg.Habits.Habits()
	if list == nil {
		g.mu.Lock()
		g.habitsSentAt = last
		g.mu.Unlock()
	}
	return list
}
