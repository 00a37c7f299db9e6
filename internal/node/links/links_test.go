package links

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// deaf is a listener whose first connection is accepted and never read.
type deaf struct {
	net.Listener

	accepted atomic.Int32
	held     net.Conn
}

func (d *deaf) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err == nil && d.accepted.Add(1) == 1 {
		d.held = c
		return d.Accept()
	}
	return c, err
}

type leader struct{ inner.UnimplementedAgentServer }

func (leader) Beat(context.Context, *inner.BeatRequest) (*inner.BeatReply, error) {
	return &inner.BeatReply{Go: true}, nil
}

// Guards against a connection that is silent for good while new ones work: the
// beat after the one that got no answer goes out on a new connection, which is
// shared and closed when unused.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &deaf{Listener: tcp}
	server := grpc.NewServer()
	inner.RegisterAgentServer(server, leader{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	d := New(nil)
	defer d.Close()
	beat := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := d.Beat(ctx, tcp.Addr().String(), &inner.BeatRequest{})
		return err
	}
	assert.ErrorContains(t, beat(200*time.Millisecond), "DeadlineExceeded")
	for range 3 {
		assert.NilError(t, beat(10*time.Second))
	}
	assert.Equal(t, listener.accepted.Load(), int32(2))
	_ = listener.held.Close()
	d.Sweep(time.Now())
	assert.Equal(t, len(d.conns), 1)
	d.Sweep(time.Now().Add(IdleLimit))
	assert.Equal(t, len(d.conns), 0)
}

// mute is a listener whose connections swallow what is sent and received once on
// is set.
type mute struct {
	net.Listener

	on atomic.Bool
}

type mutedConn struct {
	net.Conn

	on *atomic.Bool
}

func (m *mute) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	return &mutedConn{Conn: c, on: &m.on}, err
}

func (c *mutedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.on.Load() {
			return n, err
		}
	}
}

func (c *mutedConn) Write(p []byte) (int, error) {
	if c.on.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// home is an entry that never answers and notes the end of its stream.
type home struct {
	inner.UnimplementedEntryServer

	ended chan time.Time
}

func (h *home) Announce(s grpc.BidiStreamingServer[inner.AnnounceRequest, inner.AnnounceReply]) error {
	<-s.Context().Done()
	h.ended <- time.Now()
	return nil
}

// Guards against an idle stream on which neither end can tell the other's silence
// from having nothing to say: pings come without a message, and after the
// connection went silent none, and the entry ends the stream.
func TestPings(t *testing.T) {
	// margin covers the scheduling of a busy test machine.
	const margin = 2 * time.Second
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, entry := &mute{Listener: tcp}, &home{ended: make(chan time.Time, 1)}
	server := grpc.NewServer(append(conns.ServerOptions(), conns.Pings())...)
	inner.RegisterEntryServer(server, entry)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	s, err := New(nil).Announce(t.Context(), tcp.Addr().String())
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, s.Send(&inner.AnnounceRequest{}))
	began := time.Now()
	for time.Since(s.Heard()) > conns.PingEvery/2 || s.Heard().Sub(began) < conns.PingEvery/2 {
		assert.Assert(t, time.Since(began) < conns.PingEvery+margin, "no ping")
		time.Sleep(10 * time.Millisecond)
	}
	listener.on.Store(true)
	silent := time.Now()
	select {
	case at := <-entry.ended:
		assert.Assert(t, at.Sub(silent) > conns.PingTimeout, "a pause of %v is no silence", at.Sub(silent))
	case <-time.After(conns.PingEvery + conns.PingTimeout + margin):
		t.Fatal("the entry keeps a silent stream")
	}
	assert.Assert(t, s.Heard().Before(silent.Add(margin)))
}
