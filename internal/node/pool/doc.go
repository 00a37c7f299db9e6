// Package pool implements a pool of gRPC connections to other processes.
//
// A connection can stop delivering data permanently while new ones to the same
// address work, for example when a middlebox between the two ends has dropped its
// connection state. The pool therefore probes each connection that has outstanding
// calls, on that connection itself, and closes it if the probe times out. The
// outstanding calls then fail at once, and their callers ask for the outcome on a
// new connection. A probe timeout is attributed to the connection and never
// counted as a failure of the remote process.
package pool
