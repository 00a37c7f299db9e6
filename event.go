package chestnutpond

import "time"

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	EventAccepted      EventKind = "accepted"
	EventPlaced        EventKind = "placed"
	EventWaiting       EventKind = "waiting"
	EventPrepared      EventKind = "prepared"
	EventCommitted     EventKind = "committed"
	EventStarted       EventKind = "started"
	EventBorrowed      EventKind = "borrowed"
	EventReclaimed     EventKind = "reclaimed"
	EventCheckpointed  EventKind = "checkpointed"
	EventStopped       EventKind = "stopped"
	EventEnded         EventKind = "ended"
	EventCancelled     EventKind = "cancelled"
	EventLeaseLapsed   EventKind = "lease_lapsed"
	EventJoined        EventKind = "upstream_joined"
	EventLeaving       EventKind = "upstream_leaving"
	EventUpstreamLost  EventKind = "upstream_lost"
	EventEjected       EventKind = "ejected"
	EventConfigInForce EventKind = "config_in_force"
	EventLogLost       EventKind = "log_lost"
	EventLogRecovered  EventKind = "log_back"
	EventTerm          EventKind = "term_claimed"
	EventTermEnded     EventKind = "term_over"
	EventServed        EventKind = "served"
	EventRefused       EventKind = "refused"
	EventConnReplaced  EventKind = "connection_replaced"
	EventDraining      EventKind = "draining"
)

// EventID identifies an event across all processes: <process>/<incarnation>/<sequence>.
type EventID string

// Event is one entry of the timeline.
type Event struct {
	// ID is assigned by the sink that records the event.
	ID          EventID
	Process     string
	Incarnation int64
	// Sequence increases without gaps within one incarnation of a process.
	Sequence int64
	// At is informational; events are ordered by Sequence and Cause.
	At       time.Time
	Kind     EventKind
	Job      JobID
	Attempt  int64
	Request  string
	Upstream string
	Account  string
	Detail   string
	// Cause is the event that caused this one; empty if there is none.
	Cause EventID
}

// EventSink records events. Add never blocks.
type EventSink interface {
	// Add sets ID, Process, Incarnation, Sequence and At, and returns the ID.
	Add(e Event) EventID
}
