// Package tail implements a reader and writer of the log stream. It applies the
// records in order to a ledger.State, and appends records such that the caller
// never gets a wrong result because a reply was lost or the log service was down.
//
// A process starts from the first retained record, from the newest complete
// snapshot in the stream, or, while the log service is down, from the state of
// another entry. A state is replaced only by one with a higher offset.
package tail
