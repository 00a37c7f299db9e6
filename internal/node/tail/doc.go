// Package tail follows the log stream: it reads the records in order, folds
// them into a ledger.State, and appends records so that a lost answer or an
// outage never leaves the caller with a wrong belief.
//
// A process starts from the first retained record, from the newest complete
// snapshot in the stream, or, while the log service is down, from the state of
// another entry. A state is only ever replaced by a later one.
package tail
