package agent

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// watchdog cancels a stream that has timed out.
type watchdog struct {
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	// replyDue is the deadline of the next reply.
	replyDue time.Time
	// stream is nil until the first reply, and for an entry that does not ping.
	stream stream
	// activityLimit bounds the time without activity on the stream's connection.
	activityLimit time.Duration
}

// newWatchdog returns a watchdog that allows limit until the first reply.
func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{cancel: cancel, replyDue: time.Now().Add(limit)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

// extend allows limit until the next reply and activityLimit without activity on
// the stream. A zero activityLimit means no limit.
func (w *watchdog) extend(limit time.Duration, s stream, activityLimit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replyDue, w.activityLimit = time.Now().Add(limit), activityLimit
	if activityLimit > 0 {
		w.stream = s
	}
	w.timer.Reset(time.Until(w.deadline()))
}

// deadline returns when the stream times out. The caller holds mu.
func (w *watchdog) deadline() time.Time {
	if w.stream == nil {
		return w.replyDue
	}
	if activityDue := w.stream.Heard().Add(w.activityLimit); activityDue.Before(w.replyDue) {
		return activityDue
	}
	return w.replyDue
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := time.Until(w.deadline()); left > 0 {
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

// attach sets the home entry's stream and keepalive after its first reply.
func (n *announcer) attach(s stream, reply *inner.AnnounceReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stream, n.keepalive = s, reply.GetKeepalive().AsDuration()
}

// detach clears the stream and keeps the time of its last activity.
func (n *announcer) detach() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastHeard, n.stream = n.lastActivity(), nil
}

// lastActivity returns the time of the last activity of the current or the
// previous home entry. The caller holds mu.
func (n *announcer) lastActivity() time.Time {
	newest := n.lastHeard
	if n.stream != nil && n.stream.Heard().After(newest) {
		newest = n.stream.Heard()
	}
	if n.lastReply.After(newest) {
		return n.lastReply
	}
	return newest
}

// isolated reports whether no entry has replied for too long. The home entry
// declares the agent lost after replyTimeoutIntervals without a heartbeat, or
// some time after the stream ended; the agent has a limit for each. Pings count
// for the second only: an entry that sends pings may have missed the heartbeats.
func (n *announcer) isolated(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.keepalive > 0 && now.Sub(n.lastActivity()) >= gangs.IsolationTimeout {
		return true
	}
	return now.Sub(n.lastReply) >= max(gangs.IsolationTimeout, n.replyTimeout()+isolationSlack)
}
