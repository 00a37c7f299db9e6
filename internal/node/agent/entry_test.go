package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// fakeEntry replies to announcements and records the messages.
type fakeEntry struct {
	mu sync.Mutex
	// reply is sent in response to each message; nil sends none.
	reply    *inner.AnnounceReply
	received []*inner.AnnounceRequest
	// silentSince is when the entry stopped sending replies and pings; zero while
	// it sends them.
	silentSince time.Time
	// streams are the open streams.
	streams []*memStream
}

type memStream struct {
	entry *fakeEntry
	ctx   context.Context
	stop  context.CancelFunc
	out   chan *inner.AnnounceReply
}

func (w *cluster) addEntry(name string) *fakeEntry {
	e := &fakeEntry{reply: &inner.AnnounceReply{Heartbeat: durationpb.New(time.Second)}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[name] = e
	return e
}

func (e *fakeEntry) open(ctx context.Context) (stream, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &memStream{entry: e, ctx: ctx, stop: stop, out: make(chan *inner.AnnounceReply, 64)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = append(e.streams, s)
	return s, nil
}

func (s *memStream) Send(req *inner.AnnounceRequest) error {
	if s.ctx.Err() != nil {
		return errConnLost
	}
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.entry.received = append(s.entry.received, req)
	if s.entry.reply != nil {
		s.out <- s.entry.reply
	}
	return nil
}

func (s *memStream) Recv() (*inner.AnnounceReply, error) {
	select {
	case r := <-s.out:
		return r, nil
	case <-s.ctx.Done():
		return nil, errConnLost
	}
}

func (s *memStream) Heard() time.Time {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	if s.entry.silentSince.IsZero() {
		return time.Now()
	}
	return s.entry.silentSince
}

func (s *memStream) Close() { s.stop() }

// setReply sets the reply to later messages; nil sends none. A reply other than
// nil ends the silence of goSilent.
func (e *fakeEntry) setReply(reply *inner.AnnounceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply = reply
	if reply != nil {
		e.silentSince = time.Time{}
	}
}

// goSilent stops replies and pings.
func (e *fakeEntry) goSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply, e.silentSince = nil, time.Now()
}

// breakAll ends all streams of the entry.
func (e *fakeEntry) breakAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.stop()
	}
	e.streams = nil
}

func (e *fakeEntry) messages() []*inner.AnnounceRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// lastRow returns the last row that the entry received, nil if none.
func (e *fakeEntry) lastRow() *inner.Member {
	for _, m := range slices.Backward(e.messages()) {
		if m.GetMember() != nil {
			return m.GetMember()
		}
	}
	return nil
}
