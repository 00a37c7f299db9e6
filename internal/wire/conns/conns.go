// Package conns has the options that all connections of the inner protocol
// share.
//
// Their flow-control windows are fixed. By default gRPC sizes windows by a ping
// for nearly every message that comes in. Most messages here are short and far
// apart, and the pings with their answers were 42% of an idle agent's bytes.
package conns

import "google.golang.org/grpc"

// window bounds what a stream, and a connection, may have under way, in bytes.
// At 16 ms there and back between regions it lets 16 MB/s through, more than the
// link takes.
const window = 256 << 10

// ServerOptions returns the options of a server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window)}
}

// DialOptions returns the options of a client.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window)}
}
