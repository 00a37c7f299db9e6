// Package inner defines the messages and gRPC services of the inner protocol,
// which chestnutpond's processes use among themselves: entry to entry, agent to
// entry, entry to agent, and agent to agent within a gang.
//
// Every message that changes state carries the ID of what it changes, a term or
// an incarnation, and a sequence number where order matters. The receiver orders
// and fences messages by these, never by their order of arrival. Durations are
// measured from receipt on the receiver's monotonic clock.
//
// The Go code is generated from inner.proto by .ci/generate and committed, so
// that a build does not need the generator.
package inner
