package slogs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// QueueLines is the maximum number of lines that wait to be written: several
	// times what the busiest process logged per second on the busiest measured
	// day.
	QueueLines = 4096
	// QueueBytes is the maximum total size of the waiting lines.
	QueueBytes = 1 << 20
)

// Queue is an asynchronous writer that never blocks its caller. Lines are
// buffered in memory until the destination accepts them. When the buffer is full,
// further lines are dropped, and a line reports their number once writing
// continues.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	waiting atomic.Int64
	dropped atomic.Int64
	done    chan struct{}

	// mu prevents Write from sending on a closed channel.
	mu     sync.RWMutex
	closed bool
}

// NewQueue returns a queue that writes to out until it is closed.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, QueueLines), done: make(chan struct{})}
	go q.writeLoop()
	return q
}

// Write implements io.Writer. It queues or drops the line and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	size := int64(len(line))
	if q.closed || q.waiting.Add(size) > QueueBytes {
		q.drop(size)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop(size)
	}
	return len(line), nil
}

func (q *Queue) drop(size int64) {
	if !q.closed {
		q.waiting.Add(-size)
	}
	q.dropped.Add(1)
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// writeLoop writes queued lines until the queue is closed.
func (q *Queue) writeLoop() {
	defer close(q.done)
	for line := range q.lines {
		// A write error is ignored, because there is nowhere else to report it.
		_, _ = q.out.Write(line)
		q.waiting.Add(-int64(len(line)))
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.out, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log: lines dropped\",\"lines\":%d}\n",
				time.Now().UTC().Format(time.RFC3339Nano), n)
		}
	}
}

// Close rejects further lines and waits at most limit for queued lines to be
// written.
func (q *Queue) Close(limit time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}
