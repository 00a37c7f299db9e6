package guard_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards against a panic that goes on past its guard, or that leaves no trace.
func TestRun(t *testing.T) {
	var nothing []int
	for name, c := range map[string]struct {
		run  func()
		want bool
	}{
		"returns":     {func() {}, true},
		"panics":      {func() { panic("odd record") }, false},
		"index":       {func() { _ = nothing[len(nothing)] }, false},
		"nil":         {func() { panic(any(nil)) }, false},
		"not a panic": {func() { defer func() { _ = recover() }(); panic("handled inside") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			registry := stats.New()
			g := guard.New(guard.Config{Log: slog.New(slog.NewTextHandler(&out, nil)), Metrics: registry})
			assert.Equal(t, g.Run(c.run, "key", "j1"), c.want)
			assert.Equal(t, out.Len() == 0, c.want, out.String())
			assert.Equal(t, strings.Contains(out.String(), "key=j1"), !c.want)
			var text bytes.Buffer
			assert.NilError(t, registry.WriteText(&text))
			assert.Equal(t, strings.Contains(text.String(), "panics_total 1"), !c.want, text.String())
		})
	}
}

// panicking is a server of which every call panics.
type panicking struct{ inner.UnimplementedLeadServer }

func (panicking) Probe(context.Context, *inner.ProbeRequest) (*inner.ProbeReply, error) {
	panic("odd request")
}

func (panicking) Attach(grpc.BidiStreamingServer[inner.WorkerReport, inner.WorkerOrders]) error {
	panic("odd report")
}

// Guards against one call that ends the process with all others.
func TestServerOptions(t *testing.T) {
	g := guard.New(guard.Config{Log: slog.New(slog.DiscardHandler), Metrics: stats.New()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(g.ServerOptions()...)
	inner.RegisterLeadServer(server, panicking{})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		assert.NilError(t, <-done)
	})
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	client := inner.NewLeadClient(conn)
	for range 2 {
		_, err = client.Probe(t.Context(), &inner.ProbeRequest{})
		assert.Equal(t, status.Code(err), codes.Unknown)
		stream, err := client.Attach(t.Context())
		assert.NilError(t, err)
		_, err = stream.Recv()
		assert.Equal(t, status.Code(err), codes.Unknown)
	}
}
