// Package serve takes requests from callers to upstreams and brings each caller
// the whole answer to its own request, or an outcome that is true.
//
// The decisions are made by the cores admit and route; this package calls them
// under one lock and moves the bytes. An attempt is sent once. When its answer
// does not come back, the agent is asked on a new connection what became of it,
// and an attempt that has not started is fenced there, which proves "not run".
//
// A non-idempotent request with a caller-given key is sent only after an intent
// for the key is in the log and has come first there.
package serve
