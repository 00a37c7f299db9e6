package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

const (
	// recordVersion is the version of the record format that this code writes and the
	// highest that it reads, except for evacuations.
	recordVersion = 1
	// evacuationVersion is the version of records of evacuations, and of snapshots that
	// contain some. Releases that do not know them stop there; if they skipped the
	// record, they would start work in an evacuated zone.
	evacuationVersion = 2
)

// Origin is the process that appended a record.
type Origin struct {
	Process     string `json:"process"`
	Incarnation int64  `json:"incarnation"`
}

// Body is the content of a record.
type Body interface {
	kind() string
}

// Publish proposes a new version of a service's document.
type Publish struct {
	// ID identifies the publication, so that its author can look up the outcome.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Base is the version that the author edited; the publication is rejected if
	// another version is current.
	Base     int64  `json:"base"`
	Document []byte `json:"document"`
}

// ClaimTerm claims the next term of a region for the record's origin.
type ClaimTerm struct {
	Region string `json:"region"`
	Number int64  `json:"number"`
}

// ReleaseTerm releases a term that the record's origin holds.
type ReleaseTerm struct {
	Region string `json:"region"`
	Number int64  `json:"number"`
}

// AcceptJob records the acceptance of a job, which makes the job durable.
type AcceptJob struct {
	Spec chestnutpond.JobSpec `json:"spec"`
}

// StartJob starts an attempt of a job. Attempt is greater than that of the job's
// last attempt. It may skip numbers, because an attempt that is abandoned before
// it is recorded uses up its number.
type StartJob struct {
	Job        chestnutpond.JobID       `json:"job"`
	Attempt    int64                    `json:"attempt"`
	Region     string                   `json:"region"`
	Term       int64                    `json:"term"`
	Guaranteed bool                     `json:"guaranteed"`
	Placements []chestnutpond.Placement `json:"placements"`
	// Zones are the zones of the workers. The record has no effect if one of them is
	// being evacuated.
	Zones []string `json:"zones,omitempty"`
}

// StopJob records that no task of an attempt is running any more. The job is
// queued again, or ends if it was cancelled.
type StopJob struct {
	Job        chestnutpond.JobID `json:"job"`
	Attempt    int64              `json:"attempt"`
	Region     string             `json:"region"`
	Term       int64              `json:"term"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	Reason     string             `json:"reason"`
}

// EndJob moves a job to a final state.
type EndJob struct {
	Job     chestnutpond.JobID    `json:"job"`
	Attempt int64                 `json:"attempt"`
	Region  string                `json:"region"`
	Term    int64                 `json:"term"`
	State   chestnutpond.JobState `json:"state"`
	Result  string                `json:"result,omitempty"`
	Reason  string                `json:"reason,omitempty"`
}

// CancelJob cancels a job. A queued job ends at once and never starts.
type CancelJob struct {
	Job chestnutpond.JobID `json:"job"`
}

// Intents records the intent to send non-idempotent requests. It is appended
// before the requests are sent.
type Intents struct {
	Intents []IntentID `json:"intents"`
}

// IntentID identifies one use of an idempotency key.
type IntentID struct {
	Key string `json:"key"`
	// ID distinguishes repeated uses of the key by one origin.
	ID string `json:"id"`
}

// CloseIntents records the outcomes of intents.
type CloseIntents struct {
	Closed []ClosedIntent `json:"closed"`
}

// ClosedIntent is the outcome of one intent.
type ClosedIntent struct {
	Key string `json:"key"`
	ID  string `json:"id"`
	// NotRun frees the key, because the request was never sent.
	NotRun bool `json:"not_run"`
}

// SnapshotPart is one part of a snapshot.
type SnapshotPart struct {
	ID    string `json:"id"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	// Next is the offset of the first record that the snapshot does not cover.
	Next int64  `json:"next"`
	Data []byte `json:"data"`
}

func (Publish) kind() string      { return "publish" }
func (ClaimTerm) kind() string    { return "term" }
func (ReleaseTerm) kind() string  { return "term_release" }
func (AcceptJob) kind() string    { return "job_accept" }
func (StartJob) kind() string     { return "job_start" }
func (StopJob) kind() string      { return "job_stop" }
func (EndJob) kind() string       { return "job_end" }
func (CancelJob) kind() string    { return "job_cancel" }
func (Intents) kind() string      { return "intent" }
func (CloseIntents) kind() string { return "intent_close" }
func (SnapshotPart) kind() string { return "snapshot" }

// envelope is the encoding of a record in the log stream.
type envelope struct {
	Version int             `json:"version"`
	Kind    string          `json:"kind"`
	By      Origin          `json:"by"`
	Body    json.RawMessage `json:"body"`
}

// versionOf returns the version of records of the kind.
func versionOf(kind string) int {
	if kind == (Evacuate{}).kind() {
		return evacuationVersion
	}
	return recordVersion
}

// VersionError means that a record was written by a newer release. The reader
// must stop, because it cannot know what the record changes.
type VersionError struct {
	Offset  int64
	Version int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("record at offset %d has version %d; this release reads up to version %d",
		e.Offset, e.Version, evacuationVersion)
}

// FormatError means that a record cannot be decoded. All readers skip it, so
// their states stay equal.
type FormatError struct {
	Offset int64
	Err    error
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("record at offset %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Encode returns the data of a record with the given origin and body.
func Encode(by Origin, body Body) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	data, err := json.Marshal(envelope{Version: versionOf(body.kind()), Kind: body.kind(), By: by, Body: raw})
	return data, Error.Wrap(err)
}

// Decode returns the origin and the body of a record. The error is a
// *VersionError or a *FormatError.
func Decode(rec chestnutpond.Record) (Origin, Body, error) {
	var env envelope
	if err := json.Unmarshal(rec.Data, &env); err != nil {
		return Origin{}, nil, &FormatError{Offset: rec.Offset, Err: err}
	}
	if env.Version > versionOf(env.Kind) {
		return Origin{}, nil, &VersionError{Offset: rec.Offset, Version: env.Version}
	}
	body, err := decodeBody(env)
	if err != nil {
		return Origin{}, nil, &FormatError{Offset: rec.Offset, Err: err}
	}
	return env.By, body, nil
}

func decodeBody(env envelope) (Body, error) {
	switch env.Kind {
	case Publish{}.kind():
		return decodeAs[Publish](env.Body)
	case ClaimTerm{}.kind():
		return decodeAs[ClaimTerm](env.Body)
	case ReleaseTerm{}.kind():
		return decodeAs[ReleaseTerm](env.Body)
	case AcceptJob{}.kind():
		return decodeAs[AcceptJob](env.Body)
	case StartJob{}.kind():
		return decodeAs[StartJob](env.Body)
	case StopJob{}.kind():
		return decodeAs[StopJob](env.Body)
	case EndJob{}.kind():
		return decodeAs[EndJob](env.Body)
	case CancelJob{}.kind():
		return decodeAs[CancelJob](env.Body)
	case Intents{}.kind():
		return decodeAs[Intents](env.Body)
	case CloseIntents{}.kind():
		return decodeAs[CloseIntents](env.Body)
	case Evacuate{}.kind():
		return decodeAs[Evacuate](env.Body)
	case SnapshotPart{}.kind():
		return decodeAs[SnapshotPart](env.Body)
	}
	return nil, fmt.Errorf("unknown record kind %q", env.Kind)
}

func decodeAs[T Body](raw json.RawMessage) (Body, error) {
	var body T
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	return body, nil
}
