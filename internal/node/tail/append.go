package tail

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// Append adds a record and waits until the state has folded it. The caller then
// looks at the state, because the record may be void.
//
// Tries go on until ctx ends. An *AppendError then says whether the record may
// be in the stream all the same. Appending the same body again is harmless.
func (t *Tail) Append(ctx context.Context, body ledger.Body) error {
	data, err := ledger.Encode(t.cfg.Origin, body)
	if err != nil {
		return err
	}
	offset, err := t.appendData(ctx, data)
	if err != nil {
		return err
	}
	return t.await(ctx, offset)
}

// Await waits until the state has folded the offset.
func (t *Tail) await(ctx context.Context, offset int64) error {
	for {
		t.mu.RLock()
		next, moved, broken := t.state.Next(), t.moved, t.broken
		t.mu.RUnlock()
		if next > offset {
			return nil
		}
		if broken != nil {
			return &chestnutpond.AppendError{Ambiguous: true, Err: broken}
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return &chestnutpond.AppendError{Ambiguous: true, Err: ctx.Err()}
		}
	}
}

func (t *Tail) appendData(ctx context.Context, data []byte) (int64, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryFirst
	delay.MaxInterval = retryMax
	ambiguous := false
	for {
		offset, err := t.tryAppend(ctx, data)
		if err == nil {
			return offset, nil
		}
		var failed *chestnutpond.AppendError
		if !errors.As(err, &failed) || failed.Ambiguous {
			ambiguous = true
		}
		pause(ctx, delay.NextBackOff())
		if ctx.Err() != nil {
			return 0, &chestnutpond.AppendError{Ambiguous: ambiguous, Err: err}
		}
	}
}

func (t *Tail) tryAppend(ctx context.Context, data []byte) (int64, error) {
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	began := time.Now()
	offset, err := t.cfg.Log.Append(actx, data)
	t.noteAppend(time.Since(began), err)
	return offset, err
}

// noteAppend counts one try. Only the time of a good one is measured, because
// that of the others is mostly a limit of this process.
func (t *Tail) noteAppend(took time.Duration, err error) {
	result := "ok"
	var failed *chestnutpond.AppendError
	switch {
	case err == nil:
		t.cfg.Metrics.Seconds("log_append_seconds", "Time of an append that was answered.").Observe(took)
	case errors.As(err, &failed) && failed.Limited:
		result = "limited"
	case errors.As(err, &failed) && !failed.Ambiguous:
		result = "refused"
	default:
		result = "ambiguous"
	}
	l := stats.Label{Name: "result", Value: result}
	t.cfg.Metrics.Counter("log_appends_total", "Tries to append a record, by result.", l).Inc(1)
}

// Moved returns a channel that is closed when the state moves next.
func (t *Tail) Moved() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.moved
}
