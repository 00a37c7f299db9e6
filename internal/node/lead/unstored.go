package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// unstoredDelay is how long the leader's append may be pending before the leader
	// shares the completions that it could not store. An append takes about 20 ms.
	unstoredDelay = 250 * time.Millisecond
	// maxUnstored bounds the completions that an entry keeps; further ones are shown
	// once they are stored.
	maxUnstored = 4096
)

// unstored returns the jobs that have completed in the term of this entry while the store
// does not take its records. The lock is held.
func (m *Manager) unstored() []chestnutpond.JobID {
	t := m.term
	if t == nil || t.appendingSince == 0 || m.cfg.Now()-t.appendingSince < unstoredDelay || !m.mayGrant(t) {
		return nil
	}
	all := t.planner.Unstored()
	return all[:min(len(all), maxUnstored)]
}

// recordUnstored keeps completions that the leader of an epoch could not store yet. They are
// shown to callers at once. If this entry becomes the next leader, it takes them over, so
// that the jobs are not run again even if the workers that listed their ends are gone.
func (m *Manager) recordUnstored(epoch int64, jobs []chestnutpond.JobID) {
	if m.table.Leader().GetEpoch() != epoch {
		return
	}
	for _, id := range jobs {
		j := m.table.Job(id)
		if j == nil || j.Phase().Final() || m.completed[id] || len(m.completed) >= maxUnstored {
			continue
		}
		m.completed[id] = true
		m.cfg.Log.Info("job completed, not stored yet", "job", id, "epoch", epoch)
		m.notifyWatch(id)
	}
}

// forgetUnstored drops the completions of a former leader. Its successor decides from the
// store and the workers.
func (m *Manager) forgetUnstored() {
	if m.table.Leader().GetEntry().GetName() != m.cfg.Self.GetName() {
		clear(m.completed)
	}
}

// adoptUnstored completes the jobs in the planner of a new term whose completion the former
// leader could not store.
func (m *Manager) adoptUnstored(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.completed)) {
		m.term.planner.Complete(now, id)
	}
}
