package chestnutpond

// Outcome is the outcome of a call as reported to the caller. The set of values
// is closed.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the upstream's complete answer is returned.
	OutcomeAnswered Outcome = "answered"
	// OutcomeAccepted means that the job is in the log.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected means that the input is invalid; nothing ran.
	OutcomeRejected Outcome = "rejected"
	// OutcomeNotRun means that the work did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDuplicate means that the idempotency key was used before.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeCancelled means that the job will not start or restart.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomePublished means that the document is in the log.
	OutcomePublished Outcome = "published"
	// OutcomeLost means that another publication, or another request for the same zone,
	// was accepted first.
	OutcomeLost Outcome = "lost"
	// OutcomeEvacuated means that no new work starts in the zone.
	OutcomeEvacuated Outcome = "evacuated"
	// OutcomeEvacuationUndone means that the zone is in use.
	OutcomeEvacuationUndone Outcome = "evacuation_undone"
)

// Reason is the machine-readable reason of an outcome.
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
	// ReasonIDInUse means that the id belongs to a job of another account.
	ReasonIDInUse     Reason = "id_in_use"
	ReasonJobLimit    Reason = "job_limit"
	ReasonIntentLimit Reason = "intent_limit"
	ReasonBase        Reason = "base_version"
	ReasonUnknownZone Reason = "unknown_zone"
	ReasonZoneLimit   Reason = "zone_limit"
	// ReasonNoCapacity means that the job could not end in time.
	ReasonNoCapacity Reason = "no_capacity"
	// ReasonNoRoute means that the HTTP interface has no such path or method.
	ReasonNoRoute Reason = "no_route"
	// ReasonNoLeader means that no entry leads, or that the leader cannot be reached.
	ReasonNoLeader Reason = "no_leader"
	// ReasonEvaluationLimit means that the leader evaluates no more jobs for the moment.
	ReasonEvaluationLimit Reason = "evaluation_limit"
)
