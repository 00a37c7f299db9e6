package tail

import (
	"context"
	"errors"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
)

// errNoState is returned when neither the log nor another entry has a state.
var errNoState = ledger.Error.New("the log is trimmed and holds no complete snapshot, and no other entry returned a state")

// load restores the state when it is empty or its offset is older than the
// retained records. The state includes all records that the log held at that time,
// because a snapshot may be older than the withdrawal of a key or the evacuation of a
// zone.
func (t *Tail) load(ctx context.Context) error {
	state, err := t.loadFromLog(ctx)
	var versionErr *ledger.VersionError
	if errors.As(err, &versionErr) {
		return err
	}
	source := "log"
	if err != nil {
		t.cfg.Logger.Warn("tail: cannot load the state from the log; asking another entry", "error", err)
		source = "another entry"
		state, err = t.loadFromPeer(ctx)
	}
	if err != nil {
		return err
	}
	t.cfg.Logger.Info("tail: state loaded", "source", source, "next", state.Next())
	t.replaceState(state)
	return nil
}

// replaceState installs a loaded state. It discards a state that is no newer than
// the current one, so that no value reverts.
func (t *Tail) replaceState(state *ledger.State) {
	t.mu.Lock()
	newer := !t.loaded || state.Next() > t.state.Next()
	if newer {
		t.state = state
		t.loaded = true
		t.notifyWaiters()
	}
	t.mu.Unlock()
	if newer && t.cfg.OnReplace != nil {
		t.cfg.OnReplace()
	}
}

func (t *Tail) loadFromLog(ctx context.Context) (*ledger.State, error) {
	state := ledger.New()
	first, err := t.firstOffset(ctx)
	if err != nil {
		return nil, err
	}
	if first == 0 {
		return state, t.catchUp(ctx, state)
	}
	snapshots, err := t.scanSnapshots(ctx, first)
	if err != nil {
		return nil, err
	}
	data, next, ok := snapshots.Newest()
	if !ok || next < first {
		return nil, errNoState
	}
	state, err = ledger.Restore(data)
	if err != nil {
		return nil, err
	}
	return state, t.catchUp(ctx, state)
}

// catchUp applies the records that follow the state, up to the end that the log has at
// the first read.
func (t *Tail) catchUp(ctx context.Context, state *ledger.State) error {
	end := int64(-1)
	for end < 0 || state.Next() < end {
		batch, sent, err := t.read(ctx, state.Next(), 0)
		if err != nil {
			return err
		}
		t.setLastRead(sent)
		if end < 0 {
			end = batch.Next
		}
		for _, rec := range batch.Records {
			_, err := state.Apply(rec)
			var versionErr *ledger.VersionError
			if errors.As(err, &versionErr) {
				return err
			}
			if err != nil {
				t.cfg.Logger.Error("tail: record skipped", "offset", rec.Offset, "error", err)
			}
		}
		if len(batch.Records) == 0 {
			return nil
		}
	}
	return nil
}

// firstOffset returns the lowest retained offset.
func (t *Tail) firstOffset(ctx context.Context) (int64, error) {
	_, sent, err := t.read(ctx, 0, 0)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		t.setLastRead(sent)
		return trimmed.First, nil
	}
	if err == nil {
		t.setLastRead(sent)
	}
	return 0, err
}

// scanSnapshots collects the snapshots in the retained records.
func (t *Tail) scanSnapshots(ctx context.Context, from int64) (*ledger.Assembler, error) {
	snapshots := ledger.NewAssembler()
	for {
		batch, sent, err := t.read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		t.setLastRead(sent)
		for _, rec := range batch.Records {
			snapshots.Add(rec)
			from = rec.Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return snapshots, nil
		}
	}
}

// loadFromPeer returns the state of another entry and the records that follow it. While
// the log does not answer, the state is returned as it is, because the other entry also
// serves from it. A state that lacks records which the log has trimmed is not returned.
func (t *Tail) loadFromPeer(ctx context.Context) (*ledger.State, error) {
	if t.cfg.Sync == nil {
		return nil, errNoState
	}
	data, err := t.cfg.Sync(ctx)
	if err != nil {
		return nil, err
	}
	state, err := ledger.Restore(data)
	if err != nil {
		return nil, err
	}
	err = t.catchUp(ctx, state)
	var trimmed *chestnutpond.TrimmedError
	var versionErr *ledger.VersionError
	if errors.As(err, &trimmed) || errors.As(err, &versionErr) {
		return nil, err
	}
	return state, nil
}
