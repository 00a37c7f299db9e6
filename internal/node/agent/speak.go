package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// coalesce gathers changes that come together into one row.
	coalesce = 50 * time.Millisecond
	// busyEvery is the least time between rows that differ in the busy count
	// only. The count is a hint for routing, and the agent refuses what does not
	// fit; sending each change would exceed the 4 KB/s of a node.
	busyEvery = time.Second
)

// news tells the speaker that the row may have changed.
type news struct {
	// rows has room for one signal.
	rows chan struct{}
}

func newNews() *news { return &news{rows: make(chan struct{}, 1)} }

// signal says that the row may have changed. It never blocks.
func (n *news) signal() {
	select {
	case n.rows <- struct{}{}:
	default:
	}
}

// speaker sends rows and heartbeats on one stream.
type speaker struct {
	announcer *announcer
	stream    stream
	// sent is the time of the newest message, and sentRow of the newest row.
	sent, sentRow time.Time
	// look is when the row is to be compared next; zero means not before news.
	look time.Time
}

// talk sends until the context ends or a message cannot be sent.
func (s *speaker) talk(ctx context.Context) error {
	row, _ := s.announcer.current(false)
	if err := s.send(row); err != nil {
		return err
	}
	news := s.announcer.agent.news
	for {
		at := s.sent.Add(s.announcer.heartbeat())
		if !s.look.IsZero() && s.look.Before(at) {
			at = s.look
		}
		switch wait(ctx, at, news.rows) {
		case ended:
			return nil
		case signalled:
			if soon := time.Now().Add(coalesce); s.look.IsZero() || soon.Before(s.look) {
				s.look = soon
			}
		}
		if err := s.sendDue(); err != nil {
			return err
		}
	}
}

// sendDue sends what is due now.
func (s *speaker) sendDue() error {
	now := time.Now()
	if !s.look.IsZero() && !now.Before(s.look) {
		s.look = time.Time{}
		quiet := now.Sub(s.sentRow) < busyEvery
		row, c := s.announcer.current(quiet)
		switch {
		case c == changeBusy && quiet:
			s.look = s.sentRow.Add(busyEvery)
		case c != changeNone:
			return s.send(row)
		}
	}
	if now.Sub(s.sent) >= s.announcer.heartbeat() {
		return s.send(nil)
	}
	return nil
}

// send sends a row, or a heartbeat when row is nil.
func (s *speaker) send(row *inner.Member) error {
	req := &inner.AnnounceRequest{Member: row, ConfigVersion: s.announcer.configVersion()}
	s.sent = time.Now()
	if row != nil {
		s.sentRow = s.sent
	}
	s.announcer.agent.meters.announced.Inc(int64(proto.Size(req)))
	return s.stream.Send(req)
}
