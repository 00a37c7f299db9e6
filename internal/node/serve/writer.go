package serve

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
)

const (
	// batchEvery is the least time between two appends of one entry's intents.
	// It bounds the entry's share of the log's append rate at 20 a second each
	// for intents and for their ends.
	batchEvery = 50 * time.Millisecond
	// batchTimeout bounds one append; its requests are not sent after it.
	batchTimeout = 5 * time.Second
	// lastFlush bounds the write at the end of the process.
	lastFlush = time.Second
	// closedLimit bounds the ends that wait for the log. Beyond it the oldest
	// are dropped: their keys stay taken, which is safe.
	closedLimit = 8192
)

// writer appends intents and their ends in batches.
type writer struct {
	tail *tail.Tail

	// mu guards the fields below; no other lock is taken under it.
	mu      sync.Mutex
	pending []*pendingIntent
	closed  []ledger.ClosedIntent
	// signal holds one element while there is something to write.
	signal chan struct{}
}

type pendingIntent struct {
	id ledger.IntentID
	// done gets the outcome of the append; it holds one element.
	done chan error
}

func newWriter(t *tail.Tail) *writer {
	return &writer{tail: t, signal: make(chan struct{}, 1)}
}

// loop writes until ctx ends.
func (w *writer) loop(ctx context.Context) {
	ticker := time.NewTicker(batchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flushLast(ctx)
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

// intend waits until the intent is in the fold. After an error it may be in the
// log all the same.
func (w *writer) intend(ctx context.Context, id ledger.IntentID) error {
	p := &pendingIntent{id: id, done: make(chan error, 1)}
	w.mu.Lock()
	w.pending = append(w.pending, p)
	w.mu.Unlock()
	w.notice()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close records the end of an intent, some time later.
func (w *writer) close(c ledger.ClosedIntent) {
	w.mu.Lock()
	w.closed = append(w.closed, c)
	if len(w.closed) > closedLimit {
		w.closed = w.closed[1:]
	}
	w.mu.Unlock()
	w.notice()
}

func (w *writer) notice() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// flushLast writes what is left when the process stops. What does not get
// through keeps its keys taken, which is safe.
func (w *writer) flushLast(ctx context.Context) {
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlush)
	defer cancel()
	w.flush(lctx)
}

func (w *writer) flush(ctx context.Context) {
	w.mu.Lock()
	pending, closed := w.pending, w.closed
	w.pending, w.closed = nil, nil
	w.mu.Unlock()
	w.writeIntents(ctx, pending)
	w.writeClosed(ctx, closed)
}

func (w *writer) writeIntents(ctx context.Context, pending []*pendingIntent) {
	if len(pending) == 0 {
		return
	}
	var body ledger.Intents
	for _, p := range pending {
		body.Intents = append(body.Intents, p.id)
	}
	actx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	err := w.tail.Append(actx, body)
	for _, p := range pending {
		p.done <- err
	}
}

// writeClosed appends the ends, and keeps them for the next batch if it fails.
func (w *writer) writeClosed(ctx context.Context, closed []ledger.ClosedIntent) {
	if len(closed) == 0 {
		return
	}
	actx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if w.tail.Append(actx, ledger.CloseIntents{Closed: closed}) == nil {
		return
	}
	w.mu.Lock()
	w.closed = append(closed, w.closed...)
	w.mu.Unlock()
	w.notice()
}
