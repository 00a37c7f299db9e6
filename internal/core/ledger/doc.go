// Package ledger implements the replicated state machine that all entries
// share. It folds the records of the deployment's log stream into a state: the
// published documents, the leadership terms of the regions, the jobs, the zones
// under evacuation, and the intents of non-idempotent requests.
//
// The fold is deterministic: processes that applied the same records have equal
// states, independent of clocks and scheduling. A record whose precondition does
// not hold at its offset has no effect; its author finds out by reading the log
// up to that offset. A duplicate of an earlier record has no effect for the same
// reason, so an append with an unknown outcome can be retried.
//
// The log service trims old records. A snapshot holds the whole state, is
// appended to the log in parts, and lets a new process start without the trimmed
// records.
package ledger
