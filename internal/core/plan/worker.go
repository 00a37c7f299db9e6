package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// runKey identifies a run on a worker.
type runKey struct {
	task chestnutpond.TaskRef
	run  int64
}

func compareRunKeys(a, b runKey) int {
	return cmp.Or(
		cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.run, b.run),
	)
}

// worker is the planner's state of a worker.
type worker struct {
	id    string
	life  chestnutpond.WorkerIncarnation
	info  chestnutpond.WorkerInfo
	agent string
	// boot identifies the process of the agent that reported last, bootAt is when that first
	// reported. Former processes made no call after that.
	boot   string
	bootAt time.Duration
	// reported means that the worker has reported to this planner.
	reported bool
	// left means that this incarnation of the worker has ended.
	left bool
	// leaseExpired means that its last lease has expired and it has not reported
	// since.
	leaseExpired bool
	// lastReport is when its agent last reported.
	lastReport time.Duration
	// exitsAt is the earliest time at which a draining worker exits.
	exitsAt time.Duration
	// listed means that its agent has sent the worker's lists under the current
	// fence.
	listed bool
	// leaseEnd is when the last lease of its runs ends; granted means that this
	// planner has granted one.
	leaseEnd time.Duration
	granted  bool
	// lives counts the changes of incarnation seen by this planner, for the fence.
	lives int64
	// runs has all unsettled runs that are assigned to the worker.
	runs map[runKey]*run
	// sorted has the runs in order, nil after a change of them. It is never modified.
	sorted []*run
	// orphans are runs that the worker lists but the planner does not have.
	orphans map[runKey]bool
	used    chestnutpond.Resources
	// orderBytes is the size of the orders to start its runs.
	orderBytes int
	// appliedSeq is the sequence number of the newest ended run that was applied,
	// and storedSeq that of the newest one that is stored.
	appliedSeq, storedSeq int64
	// clock is the worker's monotonic clock at its newest lists.
	clock time.Duration
	// silent is how long the worker has not replied to its agent.
	silent    time.Duration
	unhealthy bool
	health    health
	// evacuated means that the worker's zone is being evacuated.
	evacuated    bool
	pacing       pacing
	releaseCache releaseCache
	// version increases with each change of the worker's orders.
	version int64
}

// Report is an agent's report about its worker.
type Report struct {
	Agent string
	// Boot identifies the agent's process.
	Boot string
	Info chestnutpond.WorkerInfo
	// Left means that this incarnation of the worker has ended.
	Left bool
	// Listed means that Running and Ended are the worker's lists under Fence.
	Listed  bool
	Fence   int64
	Running []chestnutpond.RunStatus
	Ended   []chestnutpond.RunEnd
	// EndsTruncated means that Ended leaves out the newest ends, so a run that is in
	// neither list may have ended.
	EndsTruncated bool
	Refused       []RunRefusal
	// Stopped are runs that the worker is not running and will not start.
	Stopped []RunRefusal
	// Lapsed are runs whose lease has expired and that will not be started any
	// more.
	Lapsed []RunRefusal
	// LeaseOver means that every run ever listed, and every one of a former incarnation, has
	// ended because the worker's lease expired.
	LeaseOver bool
	// UnansweredStarts are runs that an unanswered call may still start.
	UnansweredStarts []UnansweredStart
	// Clock is the worker's monotonic clock when it made the lists.
	Clock time.Duration
	// Silent is how long the worker has not replied.
	Silent    time.Duration
	Unhealthy bool
}

// UnansweredStart is a start call that got no answer.
type UnansweredStart struct {
	Task chestnutpond.TaskRef
	Run  int64
	// Age is the time since the call.
	Age time.Duration
}

// RunRefusal is a run that a worker is not running and will not start, and the
// reason.
type RunRefusal struct {
	Task    chestnutpond.TaskRef
	Run     int64
	Refusal chestnutpond.Refusal
}

// worker returns the worker with the given id. It adds one that has not reported
// yet.
func (p *Planner) worker(id string) *worker {
	if w := p.workers[id]; w != nil {
		return w
	}
	w := &worker{id: id, runs: map[runKey]*run{}, orphans: map[runKey]bool{}, pacing: pacing{percent: fullPace}}
	w.leaseEnd = p.cfg.ClaimedAt + p.cfg.FormerGrantPeriod + p.maxLeaseDuration(p.cfg.Lease)
	p.workers[id] = w
	i, _ := slices.BinarySearchFunc(p.sortedWorkers, w, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	p.sortedWorkers = slices.Insert(p.sortedWorkers, i, w)
	return w
}

// maxLeaseDuration returns the longest time that a lease of the given length can
// last by the planner's clock.
func (p *Planner) maxLeaseDuration(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockDrift) + leaseMargin
}

// EndFormerGrants records that no former leader grants leases any more.
func (p *Planner) EndFormerGrants(now time.Duration) {
	if now >= p.cfg.ClaimedAt+p.cfg.FormerGrantPeriod {
		return
	}
	p.cfg.FormerGrantPeriod = now - p.cfg.ClaimedAt
	for _, w := range p.sortedWorkers {
		if !w.reported && !w.granted {
			w.leaseEnd = p.cfg.ClaimedAt + p.cfg.FormerGrantPeriod + p.maxLeaseDuration(p.cfg.Lease)
		}
	}
}

// fence returns the fencing token of orders to the worker's current incarnation.
func (p *Planner) fence(w *worker) int64 { return p.cfg.Epoch*livesPerEpoch + w.lives }

// LeaseGranted records that the worker's agent may renew leases from now on, for at most
// Config.Lease.
func (p *Planner) LeaseGranted(now time.Duration, id string) {
	w := p.worker(id)
	w.granted = true
	w.leaseEnd = max(w.leaseEnd, now+p.maxLeaseDuration(p.cfg.Lease))
}

// usable reports whether the worker may be given new work.
func (w *worker) usable() bool {
	return w.reachable() && !w.evacuated && w.info.State == chestnutpond.WorkerReady
}

// reachable reports whether the worker is expected to execute orders.
func (w *worker) reachable() bool {
	return w.reported && w.listed && !w.left && !w.leaseExpired && !w.unhealthy && w.silent < silentLimit
}

// silentLimit is how long a worker may leave its agent without a reply before it
// gets no new work. A reply within the host takes 1 ms, and the wait for ended runs
// is far shorter than this limit.
const silentLimit = time.Second

const (
	// maxRuns limits the runs of a worker. Each report of its agent lists them all.
	maxRuns = 4096
	// maxRunBytes limits the orders to start them, which the first message of a new leader
	// repeats.
	maxRunBytes = 6 << 20
)

// full reports whether the worker has as many runs as one may have, if some more of the unit
// are added.
func (w *worker) full(u unit, more int) bool {
	return len(w.runs)+more >= maxRuns || w.orderBytes+(more+1)*orderBytes(u.job()) > maxRunBytes
}

// free returns the capacity that is not assigned to runs.
func (w *worker) free() chestnutpond.Resources { return w.info.Capacity.Minus(w.used) }

// add assigns a run to the worker.
func (w *worker) add(r *run) {
	w.runs[runKey{r.task.ref, r.number}], w.sorted = r, nil
	w.used = w.used.Plus(r.need)
	w.orderBytes += orderBytes(r.job())
	w.version++
}

// remove removes a run from the worker.
func (w *worker) remove(r *run) {
	key := runKey{r.task.ref, r.number}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.sorted = nil
	w.used = w.used.Minus(r.need)
	w.orderBytes -= orderBytes(r.job())
	w.version++
}

// sortedRuns returns the worker's runs in order of task and run number. The result must not
// be modified.
func (w *worker) sortedRuns() []*run {
	if w.sorted != nil {
		return w.sorted
	}
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		return compareRunKeys(runKey{a.task.ref, a.number}, runKey{b.task.ref, b.number})
	})
	w.sorted = all
	return all
}
