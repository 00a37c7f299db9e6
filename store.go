package chestnutpond

import (
	"context"
	"fmt"
	"time"
)

// Topic is a keyed log of the platform's store.
type Topic string

// The topics.
const (
	// TopicWork holds jobs and the leader's claim.
	TopicWork Topic = "work"
	// TopicEntries holds the addresses of entries.
	TopicEntries Topic = "entries"
	// TopicDesired is written by the operators.
	TopicDesired Topic = "desired"
	// TopicStatus is read by the operators.
	TopicStatus Topic = "status"
)

// KeyedRecord is a record of a topic. It replaces the earlier ones of its key.
type KeyedRecord struct {
	// Offset is assigned by the store.
	Offset int64
	Key    string
	// Value is empty if the key was removed.
	Value []byte
}

// Producer lets the store recognize repeated appends and shuts out former
// producers of the same name.
type Producer struct {
	Name string
	// Epoch must not be lower than one that the topic has seen.
	Epoch int64
	// Sequence is one above that of the last append of the epoch.
	Sequence int64
}

// KeyedAppend is an append of records, all or none.
type KeyedAppend struct {
	// Records have no offsets.
	Records []KeyedRecord
	// OnlyAt makes the append conditional on the topic ending at At.
	OnlyAt bool
	At     int64
	// Producer is nil for an append that anybody may make.
	Producer *Producer
}

// KeyedBatch is the answer to a read.
type KeyedBatch struct {
	// Records begin at the offset asked for.
	Records []KeyedRecord
	// First is the lowest offset still kept, End the one of the next append.
	First, End int64
	// Unwatched means that a read that waits had no answer, and these records came
	// by one that does not wait.
	Unwatched bool
}

// KeyedPage is a part of the newest records of each key.
type KeyedPage struct {
	Records []KeyedRecord
	// More means that the next page begins after the last key.
	More bool
	// End is the offset of the next append when the page was made.
	End int64
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record. A failure is a *StoreError.
	Append(ctx context.Context, topic Topic, a KeyedAppend) (int64, error)
	// Read returns records from the offset on and waits for the first one. A
	// *TrimmedError means that the offset is below the first one kept.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key after the given one.
	Newest(ctx context.Context, topic Topic, after string) (KeyedPage, error)
}

// StoreFault says what is known about a failed call to the store.
type StoreFault string

// The faults.
const (
	// StoreInDoubt calls may have taken effect, or may still.
	StoreInDoubt StoreFault = "in_doubt"
	// StoreUnavailable calls have had no effect; the store takes none now.
	StoreUnavailable StoreFault = "unavailable"
	// StoreLimited calls have had no effect; there were too many.
	StoreLimited StoreFault = "limited"
	// StoreFenced appends have a lower epoch than another producer's.
	StoreFenced StoreFault = "fenced"
	// StoreSequence appends do not follow the producer's last one.
	StoreSequence StoreFault = "sequence"
	// StoreMoved appends were conditional on an end that was another one.
	StoreMoved StoreFault = "moved"
	// StoreFull appends found no space.
	StoreFull StoreFault = "full"
	// StoreRejected calls are wrong in themselves.
	StoreRejected StoreFault = "rejected"
)

// StoreError is a failed call to the store.
type StoreError struct {
	Fault StoreFault
	// End is the end of the topic if Fault is StoreMoved.
	End int64
	Err error
}

// Error implements error.
func (e *StoreError) Error() string {
	if e.Err == nil {
		return "store: " + string(e.Fault)
	}
	return fmt.Sprintf("store: %s: %v", e.Fault, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }
