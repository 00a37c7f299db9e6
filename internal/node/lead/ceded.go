package lead

import (
	"context"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// writeCeded stores a record that tells the successor that this entry no longer
// grants leases.
func (m *Manager) writeCeded(ctx context.Context) {
	m.mu.Lock()
	epoch := m.cededEpoch
	m.mu.Unlock()
	if epoch == 0 {
		return
	}
	record, err := graph.CededRecord(epoch)
	if err == nil {
		_, err = m.cfg.Store.Append(ctx, chestnutpond.TopicWork, chestnutpond.KeyedAppend{
			Records: []chestnutpond.KeyedRecord{record},
		})
	}
	if err != nil {
		m.cfg.Log.Warn("cannot store the end of the term", "epoch", epoch, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cededEpoch == epoch {
		m.cededEpoch = 0
	}
}
