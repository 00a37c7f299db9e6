package serve

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
)

const (
	// batchInterval is the minimum interval between batches of intents. It limits
	// an entry to 20 appends per second to the log for intents, and to as many for
	// their closing records.
	batchInterval = 50 * time.Millisecond
	// appendTimeout limits the append of one batch. The requests of a batch that
	// timed out are not sent.
	appendTimeout = 5 * time.Second
	// finalFlushTimeout limits the flush at the end of the process.
	finalFlushTimeout = time.Second
	// maxPendingClosed is the maximum number of closing records that wait to be
	// appended. Beyond it the oldest are dropped: their keys stay claimed, which is
	// safe.
	maxPendingClosed = 8192
)

// intentWriter appends intents and the records that close them in batches.
type intentWriter struct {
	tail *tail.Tail

	// mu guards the fields below; no other lock is taken under it.
	mu      sync.Mutex
	pending []*pendingIntent
	closed  []ledger.ClosedIntent
	// signal has a buffer of one; an element in it means that there is something
	// to write.
	signal chan struct{}
}

type pendingIntent struct {
	id ledger.IntentID
	// done receives the result of the append; it has a buffer of one.
	done chan error
}

func newIntentWriter(t *tail.Tail) *intentWriter {
	return &intentWriter{tail: t, signal: make(chan struct{}, 1)}
}

// run writes batches until ctx ends, and then flushes what is left.
func (w *intentWriter) run(ctx context.Context) {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flushOnExit(ctx)
			return
		case <-w.signal:
		}
		w.flush(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// appendIntent returns once the intent is applied to the log state. If it returns
// an error, the intent may still be in the log.
func (w *intentWriter) appendIntent(ctx context.Context, id ledger.IntentID) error {
	p := &pendingIntent{id: id, done: make(chan error, 1)}
	w.mu.Lock()
	w.pending = append(w.pending, p)
	w.mu.Unlock()
	w.wake()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeIntent queues a record that closes an intent. It does not wait for the
// append.
func (w *intentWriter) closeIntent(c ledger.ClosedIntent) {
	w.mu.Lock()
	w.closed = append(w.closed, c)
	if len(w.closed) > maxPendingClosed {
		w.closed = w.closed[1:]
	}
	w.mu.Unlock()
	w.wake()
}

func (w *intentWriter) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// flushOnExit writes the remaining records when the process stops. Keys whose
// closing record cannot be appended stay claimed, which is safe.
func (w *intentWriter) flushOnExit(ctx context.Context) {
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	w.flush(lctx)
}

func (w *intentWriter) flush(ctx context.Context) {
	w.mu.Lock()
	pending, closed := w.pending, w.closed
	w.pending, w.closed = nil, nil
	w.mu.Unlock()
	w.writeIntents(ctx, pending)
	w.writeClosed(ctx, closed)
}

func (w *intentWriter) writeIntents(ctx context.Context, pending []*pendingIntent) {
	if len(pending) == 0 {
		return
	}
	var body ledger.Intents
	for _, p := range pending {
		body.Intents = append(body.Intents, p.id)
	}
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := w.tail.Append(actx, body)
	for _, p := range pending {
		p.done <- err
	}
}

// writeClosed appends closing records. If that fails, it keeps them for the next
// batch.
func (w *intentWriter) writeClosed(ctx context.Context, closed []ledger.ClosedIntent) {
	if len(closed) == 0 {
		return
	}
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if w.tail.Append(actx, ledger.CloseIntents{Closed: closed}) == nil {
		return
	}
	w.mu.Lock()
	w.closed = append(closed, w.closed...)
	w.mu.Unlock()
	w.wake()
}
