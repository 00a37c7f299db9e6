// Package guard contains panics.
//
// A panic in the handling of one message, record or call would end the whole process,
// and every process that reads the same record after it. A Guard runs such handling,
// logs and counts its panics, and lets the caller go on with the next one.
package guard

import (
	"context"
	"log/slog"
	"runtime/debug"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// Config configures a Guard.
type Config struct {
	Log *slog.Logger
	// Metrics receives the number of panics.
	Metrics *stats.Registry
}

// Guard contains panics. It is safe for concurrent use.
type Guard struct {
	log    *slog.Logger
	panics metrics.Counter
}

// New returns a guard.
func New(c Config) *Guard {
	return &Guard{
		log:    c.Log,
		panics: c.Metrics.Counter("panics_total", "Panics that ended the handling of one message, record or call."),
	}
}

// Run calls f and reports whether it returned. If it panics, Run logs the panic with its
// stack and the given attributes.
func (g *Guard) Run(f func(), attributes ...any) (returned bool) {
	defer func() {
		if !returned {
			g.record(recover(), attributes)
		}
	}()
	f()
	return true
}

func (g *Guard) record(cause any, attributes []any) {
	g.panics.Inc(1)
	g.log.Error("panic", append(attributes, "cause", cause, "stack", string(debug.Stack()))...)
}

// ServerOptions returns options of a gRPC server with which a panic fails only its call.
// The outcome of such a call is unknown to its caller.
func (g *Guard) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(g.unary),
		grpc.ChainStreamInterceptor(g.stream),
	}
}

func (g *Guard) unary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	if !g.Run(func() { reply, err = handle(ctx, request) }, "method", info.FullMethod) {
		return nil, status.Error(codes.Unknown, "panic")
	}
	return reply, err
}

func (g *Guard) stream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	if !g.Run(func() { err = handle(server, stream) }, "method", info.FullMethod) {
		return status.Error(codes.Unknown, "panic")
	}
	return err
}
