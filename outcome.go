package chestnutpond

// Outcome is what a caller is told. The list is closed.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered comes with the whole answer of the upstream.
	OutcomeAnswered Outcome = "answered"
	// OutcomeAccepted means that the job is in the log.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected means wrong input; nothing ran.
	OutcomeRejected Outcome = "rejected"
	// OutcomeNotRun means that the work did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDuplicate means that the identity was used before.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeCancelled means that the job will not start any more.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomePublished means that the document is in the log.
	OutcomePublished Outcome = "published"
	// OutcomeLost means that another publication came first.
	OutcomeLost Outcome = "lost"
)

// Reason says why an outcome is what it is, for programs.
type Reason string

// The reasons.
const (
	ReasonQueueFull      Reason = "queue_full"
	ReasonCallerLimit    Reason = "caller_limit"
	ReasonNoUpstream     Reason = "no_upstream"
	ReasonDeadline       Reason = "deadline"
	ReasonLogUnavailable Reason = "log_unavailable"
	ReasonDraining       Reason = "draining"
	ReasonNoConfig       Reason = "no_configuration"
	ReasonConnectionLost Reason = "connection_lost"
	ReasonOwnerGone      Reason = "owner_gone"
	ReasonInProgress     Reason = "in_progress"
	ReasonUnknownKind    Reason = "unknown_kind"
	ReasonUnknownJob     Reason = "unknown_job"
	ReasonBadShape       Reason = "bad_shape"
	ReasonBadBody        Reason = "bad_body"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonBadDocument    Reason = "bad_document"
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonJobLimit       Reason = "job_limit"
	ReasonIntentLimit    Reason = "intent_limit"
	ReasonBase           Reason = "base_version"
	// ReasonNoRoute means that the HTTP interface has no such path or method.
	ReasonNoRoute Reason = "no_route"
)
