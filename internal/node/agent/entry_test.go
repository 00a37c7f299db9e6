package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// fakeEntry answers announcements and records the rows.
type fakeEntry struct {
	mu sync.Mutex
	// reply is the answer to each message; nil means none.
	reply *inner.AnnounceReply
	got   []*inner.AnnounceRequest
	// hushed is since when the entry sends not even pings; zero while it does.
	hushed time.Time
	// streams are the open ones.
	streams []*memStream
}

type memStream struct {
	entry *fakeEntry
	ctx   context.Context
	stop  context.CancelFunc
	out   chan *inner.AnnounceReply
}

func (w *world) addEntry(name string) *fakeEntry {
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
		return errCut
	}
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.entry.got = append(s.entry.got, req)
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
		return nil, errCut
	}
}

func (s *memStream) Heard() time.Time {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	if s.entry.hushed.IsZero() {
		return time.Now()
	}
	return s.entry.hushed
}

func (s *memStream) Close() { s.stop() }

// answer sets the reply to each message from now on; nil withholds it.
func (e *fakeEntry) answer(reply *inner.AnnounceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply = reply
	if reply != nil {
		e.hushed = time.Time{}
	}
}

// hush withholds answers and pings.
func (e *fakeEntry) hush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply, e.hushed = nil, time.Now()
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
	return slices.Clone(e.got)
}

// lastRow returns the newest row that the entry got.
func (e *fakeEntry) lastRow() *inner.Member {
	for _, m := range slices.Backward(e.messages()) {
		if m.GetMember() != nil {
			return m.GetMember()
		}
	}
	return nil
}
