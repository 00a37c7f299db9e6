package tail

import (
	"context"
	"errors"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
)

// errNoStart means that neither the log nor another entry gave a state.
var errNoStart = ledger.Error.New("the log dropped old records, holds no complete snapshot, and no entry gave a state")

// load brings the state from nothing, or from behind the retained records, to
// an offset from which the log can be followed.
func (t *Tail) load(ctx context.Context) error {
	state, err := t.loadFromLog(ctx)
	if err != nil {
		t.cfg.Logger.Warn("tail: no state from the log", "error", err)
		state, err = t.loadFromPeer(ctx)
	}
	if err != nil {
		return err
	}
	t.replace(state)
	return nil
}

// replace puts a loaded state in force. A state that is behind the current one
// is left out, so that nothing goes back.
func (t *Tail) replace(state *ledger.State) {
	t.mu.Lock()
	forward := !t.loaded || state.Next() > t.state.Next()
	if forward {
		t.state = state
		t.loaded = true
		t.wake()
	}
	t.mu.Unlock()
	if forward && t.cfg.OnReplace != nil {
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
		return state, nil
	}
	snapshots, err := t.scan(ctx, first)
	if err != nil {
		return nil, err
	}
	data, next, ok := snapshots.Best()
	if !ok || next < first {
		return nil, errNoStart
	}
	return ledger.Restore(data)
}

// firstOffset returns the lowest retained offset.
func (t *Tail) firstOffset(ctx context.Context) (int64, error) {
	_, sent, err := t.read(ctx, 0, 0)
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		t.noteRead(sent)
		return trimmed.First, nil
	}
	if err == nil {
		t.noteRead(sent)
	}
	return 0, err
}

// scan reads all retained records for snapshots.
func (t *Tail) scan(ctx context.Context, from int64) (*ledger.Assembler, error) {
	snapshots := ledger.NewAssembler()
	for {
		batch, sent, err := t.read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		t.noteRead(sent)
		for _, rec := range batch.Records {
			snapshots.Add(rec)
			from = rec.Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return snapshots, nil
		}
	}
}

func (t *Tail) loadFromPeer(ctx context.Context) (*ledger.State, error) {
	if t.cfg.Sync == nil {
		return nil, errNoStart
	}
	data, err := t.cfg.Sync(ctx)
	if err != nil {
		return nil, err
	}
	return ledger.Restore(data)
}
