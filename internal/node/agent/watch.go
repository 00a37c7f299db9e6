package agent

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// watchdog ends a stream that is silent.
type watchdog struct {
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	// answer is when the next answer is due at the latest.
	answer time.Time
	// stream is nil until the first answer, and for an entry that does not ping.
	stream stream
	// quiet is how long nothing at all may come on the stream's connection.
	quiet time.Duration
}

// newWatchdog returns a watchdog that waits that long for the first answer.
func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{cancel: cancel, answer: time.Now().Add(limit)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

// answered allows that long for the next answer, and quiet without any sign of
// the entry; zero quiet is no limit.
func (w *watchdog) answered(limit time.Duration, s stream, quiet time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer, w.quiet = time.Now().Add(limit), quiet
	if quiet > 0 {
		w.stream = s
	}
	w.timer.Reset(time.Until(w.due()))
}

// due returns when the stream is silent for too long. The caller holds mu.
func (w *watchdog) due() time.Time {
	if w.stream == nil {
		return w.answer
	}
	if quiet := w.stream.Heard().Add(w.quiet); quiet.Before(w.answer) {
		return quiet
	}
	return w.answer
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := time.Until(w.due()); left > 0 {
		w.timer.Reset(left)
		return
	}
	w.cancel()
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// attach makes a stream, on which the first answer came, that of the home.
func (n *announcer) attach(s stream, reply *inner.AnnounceReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stream, n.keepalive = s, reply.GetKeepalive().AsDuration()
}

// detach keeps the time of the newest sign of a stream that ends.
func (n *announcer) detach() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard, n.stream = n.newest(), nil
}

// newest returns the time of the newest sign of the home that the agent has, or
// had last. The caller holds mu.
func (n *announcer) newest() time.Time {
	newest := n.heard
	if n.stream != nil && n.stream.Heard().After(newest) {
		newest = n.stream.Heard()
	}
	if n.answered.After(newest) {
		return n.answered
	}
	return newest
}

// isolated reports whether no entry has answered for too long. The home entry
// calls the agent lost after silentIntervals without a heartbeat, or some time
// after the stream ended; the agent has a limit for each. Pings answer for the
// second only: an entry whose pings come may have missed the heartbeats.
func (n *announcer) isolated(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.keepalive > 0 && now.Sub(n.newest()) >= gangs.IsolationLimit {
		return true
	}
	return now.Sub(n.answered) >= max(gangs.IsolationLimit, n.silence()+isolationSlack)
}
