package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// coalesceDelay batches changes that occur close together into one row.
	coalesceDelay = 50 * time.Millisecond
	// busyInterval is the minimum time between rows that differ only in the busy
	// count. The count is a routing hint, and the agent refuses requests beyond
	// its slots; sending each change would exceed the budget of 4 KB/s per node.
	busyInterval = time.Second
)

// rowNotifier notifies the sender that the row may have changed.
type rowNotifier struct {
	// c buffers one signal.
	c chan struct{}
}

func newRowNotifier() *rowNotifier { return &rowNotifier{c: make(chan struct{}, 1)} }

// notify signals that the row may have changed. It never blocks.
func (n *rowNotifier) notify() {
	select {
	case n.c <- struct{}{}:
	default:
	}
}

// sender sends rows and heartbeats on one Announce stream.
type sender struct {
	announcer *announcer
	stream    stream
	// lastSent is the time of the last message, lastRowSent that of the last row.
	lastSent, lastRowSent time.Time
	// compareAt is when to compare the row next; zero means not before the next
	// notification.
	compareAt time.Time
}

// run sends until ctx is cancelled or a send fails.
func (s *sender) run(ctx context.Context) error {
	row, _ := s.announcer.nextRow(false)
	if err := s.send(row); err != nil {
		return err
	}
	changed := s.announcer.agent.rowChanged
	for {
		at := s.lastSent.Add(s.announcer.heartbeat())
		if !s.compareAt.IsZero() && s.compareAt.Before(at) {
			at = s.compareAt
		}
		switch waitUntil(ctx, at, changed.c) {
		case ctxDone:
			return nil
		case signalled:
			if soon := time.Now().Add(coalesceDelay); s.compareAt.IsZero() || soon.Before(s.compareAt) {
				s.compareAt = soon
			}
		}
		if err := s.sendDue(); err != nil {
			return err
		}
	}
}

// sendDue sends a changed row or a heartbeat if one is due.
func (s *sender) sendDue() error {
	now := time.Now()
	if !s.compareAt.IsZero() && !now.Before(s.compareAt) {
		s.compareAt = time.Time{}
		deferBusy := now.Sub(s.lastRowSent) < busyInterval
		row, c := s.announcer.nextRow(deferBusy)
		switch {
		case c == changeBusy && deferBusy:
			s.compareAt = s.lastRowSent.Add(busyInterval)
		case c != changeNone:
			return s.send(row)
		}
	}
	if now.Sub(s.lastSent) >= s.announcer.heartbeat() {
		return s.send(nil)
	}
	return nil
}

// send sends a row, or a heartbeat if row is nil.
func (s *sender) send(row *inner.Member) error {
	req := &inner.AnnounceRequest{Member: row, ConfigVersion: s.announcer.configVersion()}
	s.lastSent = time.Now()
	if row != nil {
		s.lastRowSent = s.lastSent
	}
	s.announcer.agent.meters.announced.Inc(int64(proto.Size(req)))
	return s.stream.Send(req)
}
