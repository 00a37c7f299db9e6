package jobsvc

import (
	"context"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// Cancel implements chestnutpond.GraphService. The acceptance of an unknown job may be in
// doubt and be stored later, so its cancellation is stored too before the job is reported
// as unknown.
func (f *Service) Cancel(ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID) chestnutpond.CallResult {
	view, v := f.lookup(ctx, target, id)
	if v.Reason == chestnutpond.ReasonUnknownJob {
		if _, known := f.cfg.Lead.Job(id); !known {
			return f.cancelUnknown(ctx, target, id, v)
		}
		// The job is another account's, or was accepted meanwhile.
		view, v = f.lookup(ctx, target, id)
	}
	if v.Outcome != chestnutpond.OutcomeAnswered {
		return v
	}
	if view.State.Final() {
		return verdict(chestnutpond.OutcomeCancelled, "")
	}
	return f.storeCancellation(ctx, id, graph.Canceller{}, verdict(chestnutpond.OutcomeCancelled, ""))
}

// cancelUnknown cancels a job that may still be accepted, if it is the account's.
func (f *Service) cancelUnknown(
	ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID, unknown chestnutpond.CallResult,
) chestnutpond.CallResult {
	if f.cfg.Lead.UnmatchedCancels() >= maxUnmatchedCancels {
		f.cfg.Log.Warn("cancellation refused: too many of unknown jobs", "job", id, "limit", maxUnmatchedCancels)
		return notRun(chestnutpond.ReasonJobLimit)
	}
	by := graph.Canceller{Account: target.Account}
	if target.Queue.Public {
		by.Queue = target.Queue.Terms.Name
	}
	return f.storeCancellation(ctx, id, by, unknown)
}

// storeCancellation stores the cancellation of a job and returns the given result.
func (f *Service) storeCancellation(
	ctx context.Context, id chestnutpond.JobID, by graph.Canceller, result chestnutpond.CallResult,
) chestnutpond.CallResult {
	record, err := graph.CancelRecord(id, f.cfg.WallClock(), by)
	if err != nil {
		f.cfg.Log.Error("cannot encode the cancellation record", "job", id, "error", err)
		return notRun(chestnutpond.ReasonLogUnavailable)
	}
	fault, err := f.storeRecord(ctx, record)
	switch {
	case err == nil:
		f.cfg.Log.Info("job cancelled", "job", id, "account", by.Account, "outcome", result.Outcome)
		return result
	case fault == chestnutpond.StoreInDoubt:
		f.cfg.Log.Warn("cancellation in doubt", "job", id, "error", err)
		return verdict(chestnutpond.OutcomeUnknown, chestnutpond.ReasonLogUnavailable)
	}
	f.cfg.Log.Warn("cancellation refused", "job", id, "error", err)
	return f.storeAway(id)
}
