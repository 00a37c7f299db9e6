package tail

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
)

const (
	// snapshotRecords and snapshotEvery say when a snapshot is due, whichever
	// comes first. Both keep the newest snapshot inside the log's retention.
	snapshotRecords = 1000
	snapshotEvery   = 10 * time.Minute
	snapshotCheck   = time.Second
	snapshotTimeout = 30 * time.Second
)

// SnapshotConfig makes a Snapshots.
type SnapshotConfig struct {
	Tail *Tail
	// Mine reports whether this process is the one that writes snapshots now.
	Mine func() bool
}

// Snapshots appends a snapshot of the state when one is due, so that the log
// can forget old records.
type Snapshots struct {
	cfg SnapshotConfig
	// written is the offset that the last snapshot covered.
	written int64
	// at is when the last snapshot was written or found not to be needed.
	at time.Time
}

// NewSnapshots returns a writer of snapshots.
func NewSnapshots(cfg SnapshotConfig) *Snapshots {
	return &Snapshots{cfg: cfg, at: time.Now()}
}

// Run writes snapshots until ctx ends.
func (s *Snapshots) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, snapshotCheck)
		if ctx.Err() == nil && s.due() {
			s.write(ctx)
		}
	}
	return nil
}

func (s *Snapshots) due() bool {
	if !s.cfg.Mine() || !s.cfg.Tail.Loaded() {
		return false
	}
	var next int64
	s.cfg.Tail.View(func(st *ledger.State) { next = st.Next() })
	if next-s.written >= snapshotRecords {
		return true
	}
	return next > s.written && time.Since(s.at) >= snapshotEvery
}

// write appends the parts. A part that cannot be appended gives up the whole
// snapshot; the next check starts a new one.
func (s *Snapshots) write(ctx context.Context) {
	data, next, err := s.cfg.Tail.Snapshot()
	if err != nil {
		return
	}
	origin := s.cfg.Tail.cfg.Origin
	id := fmt.Sprintf("%s/%d/%d", origin.Process, origin.Incarnation, next)
	for _, part := range ledger.Parts(id, next, data) {
		wctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		err := s.cfg.Tail.Append(wctx, part)
		cancel()
		if err != nil {
			s.cfg.Tail.cfg.Logger.Warn("tail: snapshot not written", "error", err)
			return
		}
	}
	s.written = next
	s.at = time.Now()
}
