package runner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// identifyTimeout bounds the identification of a worker. The worker expects an
	// answer to its report within a second.
	identifyTimeout = 800 * time.Millisecond
	// identifyRetryDelay is the delay before an unanswered identification is repeated.
	identifyRetryDelay = 50 * time.Millisecond
	// departureLimit is how long a worker may answer calls after a departure that may
	// be that of a former incarnation before the departure is disregarded.
	departureLimit = 2 * time.Second
	// maxReportRate and reportBurst bound by how much the sequence of a worker's reports
	// may increase: per second, and in addition to that.
	maxReportRate = 100
	reportBurst   = 100
	// outdatedReports is how many reports in a row, over at least outdatedPeriod, may be
	// older than the newest one before that one is taken for another sender's. Reports
	// that were held up arrive together.
	outdatedReports = 3
	outdatedPeriod  = 3 * time.Second
)

// outdated are the reports in a row that were older than the newest one and in ascending
// order.
type outdated struct {
	count    int
	sequence int64
	since    time.Duration
}

// add adds a report, and reports whether the newest one is contradicted.
func (o *outdated) add(now time.Duration, sequence int64) bool {
	if o.count == 0 || sequence <= o.sequence {
		*o = outdated{since: now}
	}
	o.count++
	o.sequence = sequence
	return o.count >= outdatedReports && now-o.since >= outdatedPeriod
}

// identity is the answer to whether the worker beside the agent is a given incarnation.
type identity int

const (
	// identityUnknown means that the worker did not answer.
	identityUnknown identity = iota
	identityConfirmed
	identityRefuted
)

// HandleReport implements chestnutpond.WorkerReports. A report changes the identity of
// the agent's worker only if the worker confirms it: anybody may send a report, and a
// report of a former incarnation may arrive late.
func (a *Agent) HandleReport(ctx context.Context, info chestnutpond.WorkerInfo) bool {
	if a.cfg.Service != "" && info.Service != a.cfg.Service {
		a.cfg.Log.Warn("report refused: another service", "worker", info.ID, "service", info.Service, "want", a.cfg.Service)
		return false
	}
	if a.updateWorker(info) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	select {
	case <-a.identifying:
		defer func() { a.identifying <- struct{}{} }()
	case <-ctx.Done():
		a.cfg.Log.Warn("report refused: another report is being checked", "worker", info.ID)
		return false
	}
	if a.updateWorker(info) {
		return true
	}
	switch a.identify(ctx, info) {
	case identityConfirmed:
		a.replaceWorker(info)
		return true
	case identityRefuted:
		a.cfg.Log.Warn("report refused: it is not of the worker beside this agent", "worker", info.ID, "born", info.StartedMs)
		return false
	}
	a.cfg.Log.Warn("report refused: the worker does not confirm it", "worker", info.ID, "born", info.StartedMs)
	return false
}

// updateWorker applies a report of the current incarnation of the worker. It returns
// false if the report names another one.
func (a *Agent) updateWorker(info chestnutpond.WorkerInfo) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous := a.worker
	if !a.reported || info.Incarnation() != previous.Incarnation() {
		return false
	}
	now := a.cfg.Now()
	if info.Sequence <= previous.Sequence {
		if !a.outdated.add(now, info.Sequence) {
			return true
		}
		a.cfg.Log.Warn("newest report disregarded: later ones contradict its sequence", "worker", info.ID,
			"sequence", info.Sequence, "disregarded", previous.Sequence)
	}
	ahead := info.Sequence - previous.Sequence
	if limit := reportBurst + int64(maxReportRate*(now-a.reportedAt).Seconds()); ahead > limit {
		a.cfg.Log.Warn("report ignored: its sequence is too far ahead", "worker", info.ID, "sequence", info.Sequence,
			"previous", previous.Sequence, "limit", limit)
		return true
	}
	returned := a.left && info.State == chestnutpond.WorkerReady
	if returned {
		a.cfg.Log.Warn("worker has left and reports again", "worker", info.ID)
		a.left = false
	}
	if previous.State != info.State {
		a.cfg.Log.Info("worker changed its state", "worker", info.ID, "state", info.State, "remaining", info.Remaining)
	}
	a.worker, a.reportedAt, a.outdated = info, now, outdated{}
	a.noteReport()
	if returned || !a.described || previous.State != info.State {
		a.notifyChange()
	}
	a.described = true
	return true
}

// replaceWorker makes another incarnation the agent's worker.
func (a *Agent) replaceWorker(info chestnutpond.WorkerInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Log.Info("worker registered", "worker", info.ID, "born", info.StartedMs, "service", info.Service, "zone", info.Zone,
		"rack", info.Rack, "labels", info.Labels, "cpu", info.Capacity.CPU, "memory", info.Capacity.Memory,
		"accelerators", info.Capacity.Accelerators, "state", info.State)
	a.noteReport()
	a.resetLife(info)
	a.worker, a.reported, a.reportedAt, a.outdated = info, true, a.cfg.Now(), outdated{}
	a.left, a.departingSince, a.described = false, 0, true
	a.notifyChange()
}

// identify asks the worker whether it is the incarnation that the report names, until it
// answers or the context ends.
func (a *Agent) identify(ctx context.Context, info chestnutpond.WorkerInfo) identity {
	for {
		if answer := a.askIdentity(ctx, info); answer != identityUnknown {
			return answer
		}
		select {
		case <-ctx.Done():
			return identityUnknown
		case <-time.After(identifyRetryDelay):
		}
	}
}

// askIdentity makes one call that renews no lease and acknowledges nothing. Only the
// named incarnation of the worker answers it.
func (a *Agent) askIdentity(ctx context.Context, info chestnutpond.WorkerInfo) identity {
	order := chestnutpond.RenewOrder{Worker: info.ID}
	a.mu.Lock()
	current := a.worker
	if a.orders.life.ID == info.ID {
		// The fence of a worker with another id would shut out the leader, which begins
		// with a lower one.
		order.Fence = a.orders.fence
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lists, err := a.cfg.Runner.Renew(ctx, order)
	var refused *chestnutpond.RefusedError
	switch {
	case err == nil && (lists.StartedMs == 0 || lists.StartedMs == info.StartedMs):
		return identityConfirmed
	case err == nil:
		return identityRefuted
	case errors.As(err, &refused) && refused.Refusal == chestnutpond.RefusedIncarnation:
		return identityRefuted
	case errors.As(err, &refused) && refused.Refusal == chestnutpond.RefusedFence:
		// The id is right, and the start time is unknown until the lists are read.
		if current.ID == info.ID && info.StartedMs < current.StartedMs {
			return identityRefuted
		}
		return identityConfirmed
	}
	a.cfg.Log.Debug("worker does not identify itself", "worker", info.ID, "error", err)
	return identityUnknown
}

// HandleLeave implements chestnutpond.WorkerReports. A departure without a start time may
// be a late one of a former incarnation with the same id, so it counts only once the
// worker refuses connections.
func (a *Agent) HandleLeave(life chestnutpond.WorkerIncarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.worker.Incarnation()
	switch {
	case !a.reported || life.ID != current.ID, life.StartedMs != 0 && life.StartedMs != current.StartedMs:
		a.cfg.Log.Warn("departure ignored: it is not of the worker beside this agent", "worker", life.ID, "born", life.StartedMs)
	case life.StartedMs == current.StartedMs:
		a.recordLeft()
	case !a.left && a.departingSince == 0:
		a.cfg.Log.Info("worker announces its departure", "worker", life.ID)
		a.departingSince = a.cfg.Now()
		a.notifyChange()
	}
}

// recordLeft records that the worker has ended. The lock is held.
func (a *Agent) recordLeft() {
	a.cfg.Log.Info("worker has left", "worker", a.worker.ID, "born", a.worker.StartedMs)
	a.left, a.departingSince = true, 0
	a.setUnreachable(false)
	a.notifyChange()
}

// checkDeparture compares an announced departure with the result of a call to the worker.
// The lock is held.
func (a *Agent) checkDeparture(err error) {
	switch {
	case a.departingSince == 0:
	case errors.Is(err, syscall.ECONNREFUSED):
		a.recordLeft()
	case err == nil && a.cfg.Now()-a.departingSince >= departureLimit:
		a.cfg.Log.Warn("departure disregarded: the worker still answers", "worker", a.worker.ID)
		a.departingSince = 0
		a.notifyChange()
	}
}
