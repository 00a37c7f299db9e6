// Package inner holds the messages and gRPC services that chestnutpond's own
// processes speak to each other: entry to entry, agent to entry, entry to
// agent, and agent to agent within a gang.
//
// Every message that changes something carries the identity of what it
// changes, a term or an incarnation, and a sequence where order matters. The
// receiver decides by those and never by the order of arrival. Durations count
// from receipt on the receiver's monotonic clock.
//
// The Go code is generated from inner.proto by .ci/generate and committed, so
// that a build needs no generator.
package inner
