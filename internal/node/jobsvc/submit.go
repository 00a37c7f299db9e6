package jobsvc

import (
	"context"
	"fmt"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// tooLarge rejects a job whose record exceeds the limit of the store.
func tooLarge(size, limit int) chestnutpond.CallResult {
	v := verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonBodyTooLarge)
	v.Detail = fmt.Sprintf("the job takes %d bytes in the store; allowed are at most %d", size, limit)
	return v
}

// Submit implements chestnutpond.GraphService.
func (f *Service) Submit(ctx context.Context, target chestnutpond.RouteTarget, g chestnutpond.Graph) chestnutpond.CallResult {
	if v, known := f.repeated(target, g.ID); known {
		return v
	}
	if !f.cfg.Lead.Feed().Status().Loaded {
		f.cfg.Log.Warn("job refused", "job", g.ID, "account", target.Account, "error", "the jobs have not been loaded yet")
		return f.storeAway(g.ID)
	}
	g.Account, g.Queue, g.Accepted = target.Account, target.Queue.Terms, f.cfg.WallClock()
	record, err := graph.JobRecord(&g)
	if err != nil {
		return verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonBadBody)
	}
	if size := record.Size(); f.cfg.MaxRecord > 0 && size > f.cfg.MaxRecord {
		f.cfg.Log.Warn("job rejected: its record is too large", "job", g.ID, "account", g.Account, "bytes", size, "limit", f.cfg.MaxRecord)
		return tooLarge(size, f.cfg.MaxRecord)
	}
	if v, admitted := f.admit(ctx, target, &g); !admitted {
		return v
	}
	return f.storeJob(ctx, target, &g, record)
}

// storeJob stores the record of a new job.
func (f *Service) storeJob(
	ctx context.Context, target chestnutpond.RouteTarget, g *chestnutpond.Graph, record chestnutpond.KeyedRecord,
) chestnutpond.CallResult {
	began := f.cfg.Now()
	fault, err := chestnutpond.StoreUnavailable, f.checkReachable(ctx)
	if err == nil {
		// Another entry may have accepted the id since; a second acceptance would take its place.
		if v, known := f.repeated(target, g.ID); known {
			return v
		}
		f.admission.begin(g.ID)
		fault, err = f.appendRecord(ctx, record)
		f.admission.end(f.cfg.Now(), g.ID, fault == chestnutpond.StoreInDoubt)
	}
	took := f.cfg.Now() - began
	switch {
	case err == nil:
		first := g.Steps[0]
		f.cfg.Log.Info("job accepted", "job", g.ID, "account", g.Account, "queue", g.Queue.Name, "priority", g.Queue.Priority,
			"stretch", g.Queue.Stretch, "target_latency", g.Queue.TargetLatency,
			"steps", len(g.Steps), "tasks", first.Count, "need", first.Need, "gang", first.Gang, "same_rack", first.SameRack,
			"data_rack", first.DataRack, "label", first.Label, "per_worker", first.PerWorker, "checkpointable", first.Checkpointable,
			"estimate", first.Estimate, "occurrences", g.Occurrences(), "took", took)
		return verdict(chestnutpond.OutcomeAccepted, "")
	case fault == chestnutpond.StoreRejected:
		f.cfg.Log.Warn("job rejected by the store", "job", g.ID, "account", g.Account, "bytes", record.Size(), "error", err)
		return verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonBodyTooLarge)
	case fault == chestnutpond.StoreInDoubt:
		f.cfg.Log.Warn("job in doubt", "job", g.ID, "account", g.Account, "took", took, "error", err)
		return verdict(chestnutpond.OutcomeUnknown, chestnutpond.ReasonLogUnavailable)
	}
	v := f.storeAway(g.ID)
	f.countAdmission("front_rejections_total", rejectionsHelp, g, "store")
	f.cfg.Log.Warn("job refused", "job", g.ID, "account", g.Account, "took", took, "retry_after", v.RetryAfter, "error", err)
	return v
}

// repeated returns the answer to the submission of a job that is known already.
func (f *Service) repeated(target chestnutpond.RouteTarget, id chestnutpond.JobID) (chestnutpond.CallResult, bool) {
	view, known := f.cfg.Lead.Job(id)
	if !known {
		return chestnutpond.CallResult{}, false
	}
	if !f.mayAccess(target, view) {
		f.cfg.Log.Warn("job rejected: its id is that of another account's job", "job", id, "account", target.Account)
		return verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonIDInUse), true
	}
	return verdict(chestnutpond.OutcomeAccepted, ""), true
}
