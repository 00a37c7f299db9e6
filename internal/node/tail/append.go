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

// Append appends a record and waits until it is applied to the state. The caller
// must then check the state, because the record may have had no effect.
//
// Append retries until ctx ends. The *AppendError that it then returns says
// whether the record may still be in the stream. Appending the same body again
// is safe.
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

// await waits until the record at offset is applied to the state.
func (t *Tail) await(ctx context.Context, offset int64) error {
	for {
		t.mu.RLock()
		next, moved, applyErr := t.state.Next(), t.moved, t.applyErr
		t.mu.RUnlock()
		if next > offset {
			return nil
		}
		if applyErr != nil {
			return &chestnutpond.AppendError{Ambiguous: true, Err: applyErr}
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
	delay.InitialInterval = initialBackoff
	delay.MaxInterval = maxBackoff
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
	t.countAppend(time.Since(began), err)
	return offset, err
}

// countAppend updates the metrics for one append attempt. It records the duration
// of successful attempts only: a failed one mostly lasts as long as a timeout of
// this process.
func (t *Tail) countAppend(elapsed time.Duration, err error) {
	result := "ok"
	var failed *chestnutpond.AppendError
	switch {
	case err == nil:
		t.cfg.Metrics.Seconds("log_append_seconds", "Time of an append that was answered.").Observe(elapsed)
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

// Changed returns a channel that is closed at the next change of the state.
func (t *Tail) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.moved
}
