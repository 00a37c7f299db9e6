package lead

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

const (
	// learnedInterval is the least time between two records of what has been learned; a
	// takeover loses the runs of so much time.
	learnedInterval = 10 * time.Second
	// learnedOverdue is the age of that record from which on it is appended together with
	// records of jobs, too. Until then it goes with a heartbeat alone, because 32 KB take
	// 26 ms on an entry's link of 10 Mbit/s, for which a start would wait.
	learnedOverdue = 30 * time.Second
)

// loadLearned gives the planner of a new term what earlier leaders have learned. Without a
// valid record it predicts by callers' estimates. The lock is held.
func (m *Manager) loadLearned(p *plan.Planner) {
	value := m.table.Learned()
	if !m.cfg.Policy.LearnDurations || value == nil {
		return
	}
	if err := p.LoadLearned(value, m.cfg.WallClock()); err != nil {
		m.meters.learnedInvalid.Inc(1)
		m.cfg.Log.Warn("learned durations are not used: their record is invalid", "bytes", len(value), "error", err)
		return
	}
	m.cfg.Log.Info("learned durations loaded", "groups", p.LearnedGroups(), "bytes", len(value))
}

// withLearned adds the record of what has been learned to the records of an append if it is
// due. The last argument says that the records have changes of jobs.
func (m *Manager) withLearned(t *term, now time.Duration, records []chestnutpond.KeyedRecord, changes bool) []chestnutpond.KeyedRecord {
	age := now - t.learnedAt
	if !m.cfg.Policy.LearnDurations || t.learnedRejected || age < learnedInterval || changes && age < learnedOverdue {
		return records
	}
	t.learnedAt = now
	limit := graph.MaxLearned
	if m.cfg.MaxRecord > 0 {
		limit = min(limit, m.cfg.MaxRecord)
	}
	empty := graph.LearnedRecord(nil)
	value, err := m.takeLearned(t, now, limit-empty.Size())
	if err != nil {
		m.cfg.Log.Error("cannot encode the learned durations", "error", err)
		return records
	}
	if value == nil {
		return records
	}
	m.meters.learnedBytes.Update(int64(len(value)))
	return append(slices.Clip(records), graph.LearnedRecord(value))
}

func (m *Manager) takeLearned(t *term, now time.Duration, limit int) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.planner.TakeLearned(now, m.cfg.WallClock(), limit)
}

// withoutLearned removes the record of what has been learned from rejected ones. It is not
// written again in this term, because nothing depends on it.
func (m *Manager) withoutLearned(t *term, rejected []chestnutpond.KeyedRecord) []chestnutpond.KeyedRecord {
	return slices.DeleteFunc(rejected, func(r chestnutpond.KeyedRecord) bool {
		if !graph.IsLearned(r.Key) {
			return false
		}
		t.learnedRejected = true
		m.meters.rejected.Inc(1)
		m.cfg.Log.Warn("the store rejects the learned durations, they are not stored in this term", "bytes", r.Size(), "epoch", t.epoch)
		return true
	})
}
