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
