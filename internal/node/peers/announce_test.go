package peers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

type noopListener struct{}

func (noopListener) AgentChanged(fleet.Row) {}
func (noopListener) AgentRemoved(string)    {}

// fakeStream is the entry's side of an Announce stream.
type fakeStream struct {
	grpc.ServerStream

	ctx      context.Context
	requests chan *inner.AnnounceRequest
	replies  chan *inner.AnnounceReply
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Recv() (*inner.AnnounceRequest, error) {
	select {
	case req := <-s.requests:
		return req, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

func (s *fakeStream) Send(reply *inner.AnnounceReply) error {
	s.replies <- reply
	return nil
}

// next returns the next reply.
func (s *fakeStream) next(t *testing.T) *inner.AnnounceReply {
	t.Helper()
	select {
	case reply := <-s.replies:
		return reply
	case <-time.After(time.Minute):
		t.Fatal("no reply")
		return nil
	}
}

// TestAnnounceReplies guards against a reply to every agent for every log record,
// and against sending the document to all agents: they all need only its version,
// and the end of an attempt concerns only the agents that ran it.
func TestAnnounceReplies(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var g *Group
	ring := events.New(events.Config{Process: "entry-1", Incarnation: 1})
	origin := ledger.Origin{Process: "entry-1", Incarnation: 1}
	records := tail.New(tail.Config{
		Log: stand.NewLog("s"), Origin: origin, Events: ring, Logger: slog.New(slog.DiscardHandler), Metrics: stats.New(),
		Sync:      func(context.Context) ([]byte, error) { return nil, io.EOF },
		OnChange:  func(c ledger.Change) { g.LogChanged(c) },
		OnReplace: func() {},
	})
	g = New(Config{
		Self: fleet.Peer{Name: "entry-1", Incarnation: 1, Address: "127.0.0.1:1"}, Tail: records,
		Listener: noopListener{}, Events: ring, Logger: slog.New(slog.DiscardHandler), Metrics: stats.New(),
	})
	go func() { _ = records.Run(ctx) }()
	apply := func(body ledger.Body) {
		t.Helper()
		actx, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		assert.NilError(t, records.Append(actx, body))
	}
	streams := map[string]*fakeStream{}
	for _, name := range []string{"a", "b"} {
		s := &fakeStream{ctx: ctx, requests: make(chan *inner.AnnounceRequest), replies: make(chan *inner.AnnounceReply, 100)}
		streams[name] = s
		go func() { _ = g.Announce(s) }()
		s.requests <- &inner.AnnounceRequest{Member: &inner.Member{Name: name, Incarnation: 1, Sequence: 1, Tasks: []*inner.Task{
			{Job: "j", Attempt: 1, State: inner.TaskState_TASK_STATE_COMPLETED},
		}}}
		s.next(t)
	}
	apply(ledger.ClaimTerm{Region: "r", Number: 1})
	apply(ledger.AcceptJob{Spec: chestnutpond.JobSpec{ID: "j", Region: "r"}})
	apply(ledger.StartJob{Job: "j", Attempt: 1, Region: "r", Term: 1, Placements: []chestnutpond.Placement{{Worker: "a"}}})
	for _, key := range []string{"k1", "k2", "k3"} {
		apply(ledger.Intents{Intents: []ledger.IntentID{{Key: key, ID: "1"}}})
	}
	apply(ledger.EndJob{Job: "j", Attempt: 1, Region: "r", Term: 1, State: chestnutpond.JobCompleted})
	assert.DeepEqual(t, streams["a"].next(t).GetRelease(), []string{"j.1.0"})
	for base := range int64(2) {
		apply(ledger.Publish{ID: fmt.Sprint(base), Service: "s", Base: base, Document: bytes.Repeat([]byte("d"), 1000)})
		for name, s := range streams {
			reply := s.next(t)
			assert.Equal(t, reply.GetConfigVersion(), base+1, "stream of %s", name)
			assert.Assert(t, proto.Size(reply) < 10, reply)
		}
	}
}

// TestPeersAreSentOnce guards against idle exchanges that repeat the peer list, and
// against a list that is not sent again after its reply was lost.
func TestPeersAreSentOnce(t *testing.T) {
	g := New(Config{Self: fleet.Peer{Name: "entry-1", Incarnation: 1}, Metrics: stats.New()})
	addPeer := func(name string) {
		g.peers.Heard(g.Now(), fleet.Peer{Name: name, Incarnation: 1, Address: name})
	}
	addPeer("entry-2")
	ask := func(known uint64) *inner.ExchangeReply {
		reply, err := g.Exchange(t.Context(), &inner.ExchangeRequest{KnownPeers: known})
		assert.NilError(t, err)
		return reply
	}
	first := ask(0)
	assert.Equal(t, len(first.GetPeers()), 1)
	assert.Equal(t, len(ask(0).GetPeers()), 1, "the first answer was lost")
	assert.Equal(t, len(ask(first.GetPeersDigest()).GetPeers()), 0)
	addPeer("entry-3")
	assert.Equal(t, len(ask(first.GetPeersDigest()).GetPeers()), 2)
}

// TestRehoming guards against replies that lack the location of entries, and against
// a full entry that keeps an agent of another zone or sends one of its own away.
func TestRehoming(t *testing.T) {
	g := New(Config{
		Self: fleet.Peer{Name: "entry-1", Address: "e1", Region: "pampa", Zone: "a"}, Metrics: stats.New(),
		Tail: tail.New(tail.Config{Metrics: stats.New()}), Listener: noopListener{}, Events: events.New(events.Config{}),
	})
	g.peers.Heard(g.Now(), fleet.Peer{Name: "entry-2", Address: "e2", Region: "cuyo", Zone: "c"})
	announce := func(name, zone string) *inner.AnnounceReply {
		s := &session{group: g}
		assert.Assert(t, s.handle(&inner.AnnounceRequest{Member: &inner.Member{Name: name, Zone: zone, Incarnation: 1}}))
		return s.reply()
	}
	for i := range 40 {
		assert.Assert(t, !announce(fmt.Sprint("agent-", i), "b").GetFull())
	}
	assert.Assert(t, !announce("at-home", "a").GetFull())
	reply := announce("one-too-many", "b")
	assert.Assert(t, reply.GetFull())
	assert.Equal(t, len(reply.GetEntries()), 2)
	other := reply.GetEntries()[1]
	assert.Equal(t, other.GetAddress()+other.GetRegion()+other.GetZone(), "e2cuyoc")
	g.peers.Expire(time.Minute)
	assert.Assert(t, !announce("without-another", "b").GetFull())
}
