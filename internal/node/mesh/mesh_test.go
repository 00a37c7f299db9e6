package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// blockingRelay is a relay server whose reads block until release is closed.
type blockingRelay struct {
	inner.UnimplementedRelayServer

	began, release chan struct{}
}

func (w *blockingRelay) Read(ctx context.Context, _ *inner.RelayReadRequest) (*inner.RelayReadReply, error) {
	w.began <- struct{}{}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.release:
		return &inner.RelayReadReply{End: 7}, nil
	}
}

func (w *blockingRelay) Newest(context.Context, *inner.RelayNewestRequest) (*inner.RelayNewestReply, error) {
	return &inner.RelayNewestReply{}, nil
}

func serve(t *testing.T) (*blockingRelay, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &blockingRelay{began: make(chan struct{}), release: make(chan struct{})}
	server := grpc.NewServer()
	inner.RegisterRelayServer(server, w)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return w, listener.Addr().String()
}

// TestReplaceLeavesOpenCalls guards against failing a call because another call with a
// shorter timeout timed out on the same connection.
func TestReplaceLeavesOpenCalls(t *testing.T) {
	w, address := serve(t)
	m := New(Config{})
	t.Cleanup(m.Close)
	conn, err := m.Conn(address, "relay")
	assert.NilError(t, err)
	type result struct {
		reply *inner.RelayReadReply
		err   error
	}
	results := make(chan result, 1)
	go func() {
		reply, err := inner.NewRelayClient(conn).Read(t.Context(), &inner.RelayReadRequest{})
		results <- result{reply, err}
	}()
	<-w.began
	m.Replace(address, "relay", conn)
	fresh, err := m.Conn(address, "relay")
	assert.NilError(t, err)
	assert.Assert(t, fresh != conn)
	_, err = inner.NewRelayClient(fresh).Newest(t.Context(), &inner.RelayNewestRequest{})
	assert.NilError(t, err)
	close(w.release)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.reply.GetEnd(), int64(7))
}

// TestCloseClosesReplacedConnections guards against a connection leak.
func TestCloseClosesReplacedConnections(t *testing.T) {
	w, address := serve(t)
	m := New(Config{})
	conn, err := m.Conn(address, "relay")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := inner.NewRelayClient(conn).Read(t.Context(), &inner.RelayReadRequest{})
		ended <- err
	}()
	<-w.began
	m.Replace(address, "relay", conn)
	m.Close()
	select {
	case err := <-ended:
		assert.Equal(t, status.Code(err), codes.Canceled)
	case <-time.After(10 * time.Second):
		t.Fatal("the call was still pending 10 s after Close")
	}
	_, err = m.Conn(address, "relay")
	assert.ErrorContains(t, err, "closed")
}
