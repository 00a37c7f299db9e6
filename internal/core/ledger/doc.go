// Package ledger folds the records of the deployment's log stream into the
// state that all entries agree on: the documents, the terms of the regions,
// the jobs, and the intents of non-idempotent requests.
//
// The fold is deterministic. Two processes that applied the same records hold
// the same state, whatever the time and the order of their other work. A record
// whose precondition does not hold at its offset is void: it changes nothing,
// and its author learns so by reading it back. A record that repeats an earlier
// one is void for the same reason, so an append whose answer was lost can be
// repeated.
//
// The log service forgets old records. A Snapshot holds the whole state, is cut
// into records, and lets a new process start without the forgotten ones.
package ledger
