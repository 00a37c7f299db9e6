package chestnutpond

import (
	"context"
	"fmt"
	"time"
)

// Topic is the name of a keyed log in the platform's store.
type Topic string

// The topics.
const (
	// TopicWork holds jobs and the leader's claim.
	TopicWork Topic = "work"
	// TopicEntries holds the addresses of entries.
	TopicEntries Topic = "entries"
	// TopicDesired holds the desired configuration that operators write.
	TopicDesired Topic = "desired"
	// TopicStatus holds the status that operators read.
	TopicStatus Topic = "status"
)

// KeyedRecord is a record of a topic. It replaces earlier records of its key.
type KeyedRecord struct {
	// Offset is assigned by the store.
	Offset int64
	Key    string
	// Value is empty in a tombstone, which removes the key.
	Value []byte
}

// Producer lets the store detect duplicate appends and fence former producers of
// the same name.
type Producer struct {
	Name string
	// Epoch is the fencing token: it must not be lower than one that the topic has
	// seen.
	Epoch int64
	// Sequence is one more than that of the last append of the epoch.
	Sequence int64
}

// Size returns the size of the record in the store in bytes.
func (r *KeyedRecord) Size() int { return keyLengthSize + len(r.Key) + len(r.Value) }

// keyLengthSize is the size in bytes of the length of a key in the store.
const keyLengthSize = 1

// KeyedAppend is an atomic append of records.
type KeyedAppend struct {
	// Records have no offsets; the store assigns them.
	Records []KeyedRecord
	// CheckEnd makes the append conditional on the end of the topic being ExpectedEnd.
	CheckEnd    bool
	ExpectedEnd int64
	// Producer is nil for an append without fencing and duplicate detection.
	Producer *Producer
}

// KeyedBatch is the answer to a read.
type KeyedBatch struct {
	// Records start at the requested offset.
	Records []KeyedRecord
	// First is the lowest retained offset, End the offset of the next append.
	First, End int64
	// Polled means that a long-polling read got no answer, and that the records
	// come from a read that does not wait.
	Polled bool
}

// KeyedPage is one page of the newest records of all keys.
type KeyedPage struct {
	Records []KeyedRecord
	// More means that there is another page, which starts after the last key.
	More bool
	// End is the offset of the next append at the time of the page.
	End int64
}

// Store is the platform's store of keyed logs.
type Store interface {
	// Append returns the offset of the first record. A failure is a *StoreError.
	Append(ctx context.Context, topic Topic, a KeyedAppend) (int64, error)
	// Read returns records starting at offset from. It waits up to wait for the
	// first one. A *TrimmedError means that from is below the first retained offset.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (KeyedBatch, error)
	// Newest returns a page of the newest record of each key that follows after.
	Newest(ctx context.Context, topic Topic, after string) (KeyedPage, error)
}

// StoreFault is the kind of failure of a call to the store.
type StoreFault string

// The kinds of failures.
const (
	// StoreInDoubt means that the call may have taken effect, or may still.
	StoreInDoubt StoreFault = "in_doubt"
	// StoreUnavailable means that the call had no effect, because the store does not
	// accept calls now.
	StoreUnavailable StoreFault = "unavailable"
	// StoreLimited means that the call had no effect, because of the store's rate
	// limit.
	StoreLimited StoreFault = "limited"
	// StoreFenced means that the append has a lower epoch than another producer.
	StoreFenced StoreFault = "fenced"
	// StoreSequence means that the append's sequence does not follow the producer's
	// last one.
	StoreSequence StoreFault = "sequence"
	// StoreEndMismatch means that the condition of the append does not hold: the topic
	// ends at another offset.
	StoreEndMismatch StoreFault = "moved"
	// StoreFull means that the store has no space for the append.
	StoreFull StoreFault = "full"
	// StoreRejected means that the call is invalid.
	StoreRejected StoreFault = "rejected"
)

// StoreError is a failed call to the store.
type StoreError struct {
	Fault StoreFault
	// End is the end of the topic if Fault is StoreEndMismatch.
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
