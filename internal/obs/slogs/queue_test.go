package slogs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingWriter blocks writes until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a process that blocks because its log is not read, and against
// dropped lines that are not reported.
func TestQueueNeverBlocks(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	q := NewQueue(out)
	const extra = 100
	line := []byte("line\n")
	for range QueueLines + extra {
		n, err := q.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	dropped := q.Dropped()
	// The writer goroutine may already have taken one line.
	assert.Assert(t, dropped == extra || dropped == extra-1, "dropped %d", dropped)
	close(out.unblock)
	q.Close(time.Minute)
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.text.String(), "line\n")
	assert.Equal(t, int64(written)+dropped, int64(QueueLines+extra))
	assert.Assert(t, strings.Contains(out.text.String(), `"msg":"log: lines dropped","lines":`))
}

// Guards against unbounded memory when a few lines are huge.
func TestQueueBoundsBytes(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	q := NewQueue(out)
	huge := bytes.Repeat([]byte("x"), QueueBytes/4)
	for range 10 {
		_, err := q.Write(huge)
		assert.NilError(t, err)
	}
	assert.Assert(t, q.Dropped() >= 5, "dropped %d", q.Dropped())
	close(out.unblock)
	q.Close(time.Minute)
}

// Guards against a process that cannot exit because its log is not read.
func TestQueueCloseIsBounded(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	q := NewQueue(out)
	_, err := q.Write([]byte("line\n"))
	assert.NilError(t, err)
	start := time.Now()
	q.Close(10 * time.Millisecond)
	assert.Assert(t, time.Since(start) < 10*time.Second)
	_, err = q.Write([]byte("late\n"))
	assert.NilError(t, err)
	close(out.unblock)
	<-q.done
}
