package tail

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
)

const (
	// A snapshot is due after snapshotRecords records or snapshotInterval,
	// whichever comes first. Both keep the newest snapshot within the log's
	// retention.
	snapshotRecords       = 1000
	snapshotInterval      = 10 * time.Minute
	snapshotCheckInterval = time.Second
	snapshotTimeout       = 30 * time.Second
)

// SnapshotConfig configures a SnapshotWriter.
type SnapshotConfig struct {
	Tail *Tail
	// IsWriter reports whether this process currently writes the snapshots.
	IsWriter func() bool
}

// SnapshotWriter periodically appends a snapshot of the state, so that the log can
// trim old records.
type SnapshotWriter struct {
	cfg SnapshotConfig
	// coveredOffset is the next offset of the state in the last snapshot.
	coveredOffset int64
	// lastSnapshot is when the last snapshot was written; before the first one it
	// is when this SnapshotWriter was created.
	lastSnapshot time.Time
}

// NewSnapshotWriter returns a SnapshotWriter that has written none yet.
func NewSnapshotWriter(cfg SnapshotConfig) *SnapshotWriter {
	return &SnapshotWriter{cfg: cfg, lastSnapshot: time.Now()}
}

// Run writes snapshots until ctx ends.
func (s *SnapshotWriter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, snapshotCheckInterval)
		if ctx.Err() == nil && s.due() {
			s.write(ctx)
		}
	}
	return nil
}

func (s *SnapshotWriter) due() bool {
	if !s.cfg.IsWriter() || !s.cfg.Tail.Loaded() {
		return false
	}
	var next int64
	s.cfg.Tail.View(func(st *ledger.State) { next = st.Next() })
	if next-s.coveredOffset >= snapshotRecords {
		return true
	}
	return next > s.coveredOffset && time.Since(s.lastSnapshot) >= snapshotInterval
}

// write appends the parts of a snapshot. If an append fails, it abandons the
// snapshot; the next check starts a new one.
func (s *SnapshotWriter) write(ctx context.Context) {
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
			s.cfg.Tail.cfg.Logger.Warn("tail: appending a snapshot part failed; snapshot abandoned", "error", err)
			return
		}
	}
	s.coveredOffset = next
	s.lastSnapshot = time.Now()
}
