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

// silentFirstListener accepts its first connection and never reads from it.
type silentFirstListener struct {
	net.Listener

	accepted atomic.Int32
	silent   net.Conn
}

func (l *silentFirstListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.accepted.Add(1) == 1 {
		l.silent = c
		return l.Accept()
	}
	return c, err
}

type unaryLeader struct{ inner.UnimplementedAgentServer }

func (unaryLeader) Beat(context.Context, *inner.BeatRequest) (*inner.BeatReply, error) {
	return &inner.BeatReply{Go: true}, nil
}

// Guards against a connection that stops delivering data permanently while new ones
// work: the heartbeat after an unanswered one uses a new connection, which is
// shared and closed when idle.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &silentFirstListener{Listener: tcp}
	server := grpc.NewServer()
	inner.RegisterAgentServer(server, unaryLeader{})
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
	_ = listener.silent.Close()
	d.Sweep(time.Now())
	assert.Equal(t, len(d.conns), 1)
	d.Sweep(time.Now().Add(IdleLimit))
	assert.Equal(t, len(d.conns), 0)
}

// blackholeListener accepts connections that discard all data sent and received
// once dropping is set.
type blackholeListener struct {
	net.Listener

	dropping atomic.Bool
}

type blackholeConn struct {
	net.Conn

	dropping *atomic.Bool
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &blackholeConn{Conn: c, dropping: &l.dropping}, err
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dropping.Load() {
			return n, err
		}
	}
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silentEntry is an entry that never replies and records when its stream ends.
type silentEntry struct {
	inner.UnimplementedEntryServer

	ended chan time.Time
}

func (e *silentEntry) Announce(s grpc.BidiStreamingServer[inner.AnnounceRequest, inner.AnnounceReply]) error {
	<-s.Context().Done()
	e.ended <- time.Now()
	return nil
}

// Guards against an idle stream on which neither end can distinguish a dead peer
// from an idle one: the entry sends pings without messages, and it ends the stream
// after the connection stops delivering them.
func TestIdleStreamKeepalive(t *testing.T) {
	// margin allows for scheduling delays on a busy test machine.
	const margin = 2 * time.Second
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, entry := &blackholeListener{Listener: tcp}, &silentEntry{ended: make(chan time.Time, 1)}
	server := grpc.NewServer(append(conns.ServerOptions(), conns.KeepaliveOption())...)
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
	listener.dropping.Store(true)
	silent := time.Now()
	select {
	case at := <-entry.ended:
		assert.Assert(t, at.Sub(silent) > conns.PingTimeout, "the entry ended the stream after a pause of only %v", at.Sub(silent))
	case <-time.After(conns.PingEvery + conns.PingTimeout + margin):
		t.Fatal("the entry did not end the silent stream")
	}
	assert.Assert(t, s.Heard().Before(silent.Add(margin)))
}
