// Package serve implements the request path of an entry: it forwards requests of
// callers to upstreams and returns the complete answer to that request, or an
// outcome that never claims more than is certain.
//
// Packages admit and route make the decisions; this package calls them under one
// lock and does the I/O. An attempt is sent once. If its reply is lost, the agent
// is asked for the outcome on a new connection. The agent fences an attempt that
// has not started, which proves the outcome "not run".
//
// A non-idempotent request with an idempotency key is sent only once the log holds
// an intent for the key and that intent is the first one for it.
package serve
