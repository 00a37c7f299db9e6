// Package runner implements the agent, the sidecar process of a worker that runs
// tasks of jobs.
//
// An Agent attaches to the leading entry and to a few others, reports the state of
// its worker to the leader, and carries out the leader's orders on the worker. It
// makes no placement decisions. It has two responsibilities: to renew the worker's
// lease, but not beyond the end of the leader's grant, and to track whether an
// unanswered order can still take effect.
//
// An order to start a run is repeated until the worker answers it. If the worker
// refuses it after unanswered calls, the agent stops the run by its number, after
// which the worker never executes it, and only then reports the refusal. An order that
// was handed out to another process of the agent first counts as one with an unanswered
// call, because that process may have made one and ended, until no such call can be carried out
// any more.
//
// The id and the start time of the worker, its chestnutpond.WorkerIncarnation, identify one
// incarnation of the worker.
//
// The agent's one lock guards all its state; only the roster's lock is taken while
// it is held.
package runner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("side")

const (
	// clockDrift is the fraction by which the worker's clock may be slow.
	clockDrift = 0.02
	// leaseMargin is added to the end of a lease before its runs count as lost.
	leaseMargin = 100 * time.Millisecond
	// workerTimeout is how long the worker may leave calls unanswered before its
	// lease is no longer renewed, so that its runs can be placed elsewhere once the
	// lease has expired.
	workerTimeout = 1500 * time.Millisecond
	// maxOrderDelay is how long an unanswered call may still be carried out. The
	// platform specifies 12 s.
	maxOrderDelay = 13 * time.Second
	// reasonLapsed is the reason reported for runs whose lease has expired.
	reasonLapsed = chestnutpond.Refusal("lapsed")
)

// Config configures an Agent.
type Config struct {
	Name string
	// Service is the worker's service; empty means any.
	Service string
	// Boot identifies the process among those of the same name.
	Boot   string
	Zone   string
	Region string
	// Address is where the agent serves the inner protocol.
	Address string
	Runner  chestnutpond.TaskRunner
	Mesh    *mesh.Mesh
	Roster  *roster.Roster
	Now     func() time.Duration
	Log     *slog.Logger
	// Lease is the longest lease that the worker accepts.
	Lease time.Duration
	// Metrics counts orders by their result.
	Metrics *stats.Registry
}

// runKey identifies a run.
type runKey struct {
	task chestnutpond.TaskRef
	run  int64
}

// Agent is the sidecar process of a worker. It is safe for concurrent use.
type Agent struct {
	cfg    Config
	meters *meters
	// began is when the process started. Its former process made no call after that.
	began time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	worker chestnutpond.WorkerInfo
	// reported means that the worker has reported to this process and has confirmed its
	// identity; reportedAt is when the newest report arrived.
	reported   bool
	reportedAt time.Duration
	// described means that this incarnation of the worker has reported; otherwise worker has
	// what the former one reported.
	described bool
	// outdated are the latest reports that were older than the newest one.
	outdated outdated
	// left means that this incarnation of the worker has ended.
	left bool
	// departingSince is when a departure was announced that is not confirmed yet, or 0.
	departingSince time.Duration
	// leaving means that this process is about to stop.
	leaving bool
	orders  orders
	lists   lists
	// grantEnd is the time until which the worker's lease may be renewed.
	grantEnd time.Duration
	// lease bounds the lease of this incarnation of the worker.
	lease *leaseBound
	// epoch and leader are the newest that any entry has reported.
	epoch  int64
	leader *inner.EntryRow
	// starts and stops are the orders being carried out.
	starts map[runKey]*startOrder
	stops  map[runKey]*stopOrder
	// lapsed has the runs whose lease has expired. They are neither started nor stopped any
	// more, and stay here until the orders no longer name them.
	lapsed map[runKey]bool
	// doubts has when a start call of a run last got no answer. It is kept across
	// incarnations of the worker, because a later one may carry out such a call.
	doubts map[runKey]time.Duration
	// ownOrders has the orders to start runs that were handed out to this process first, until
	// no call of a former process can be carried out any more.
	ownOrders map[runKey]bool
	// appliedPaces has the percentage that was last sent to the worker, by run.
	appliedPaces map[runKey]int
	// unreachable means that the last call for the worker's run lists was not sent, so that
	// orders to it would not be either.
	unreachable bool
	// workerReturned is signalled when an unreachable worker has sent a report.
	workerReturned chan struct{}
	// silenceWarning limits the warnings about a worker that does not answer, refusalWarning
	// those about one that refuses to list its runs.
	silenceWarning, refusalWarning rate.Sometimes
	// lifeUnverified means that the last call for the worker's run lists failed, so
	// that the next one may reach another incarnation of the worker.
	lifeUnverified bool
	// holdCalls counts the Renew calls.
	holdCalls int64
	// changed is closed and replaced when there is something to report.
	changed chan struct{}
	// revision is incremented by each change that is reported at once.
	revision int64
	// ordersChanged is signalled when the orders change.
	ordersChanged chan struct{}
	// identifying holds a token while no report is checked against the worker. It is
	// taken before the lock.
	identifying chan struct{}
}

// orders are the newest orders of the leader.
type orders struct {
	epoch        int64
	life         chestnutpond.WorkerIncarnation
	fence        int64
	acknowledged int64
	starts       map[runKey]*inner.StartRow
	stops        map[runKey]bool
	// paces has the percentage at which runs should work.
	paces map[runKey]int
}

// lists are the newest run lists of the worker.
type lists struct {
	// fence is the fencing token under which the lists were read; 0 if there are
	// none.
	fence   int64
	life    chestnutpond.WorkerIncarnation
	running []chestnutpond.RunStatus
	ended   []chestnutpond.RunEnd
	// truncated means that ended leaves out the newest ends.
	truncated bool
	// clock is the worker's clock in the answer, received the local time of
	// receipt.
	clock    time.Duration
	received time.Duration
	// hasClock means that clock and received are set for this incarnation.
	hasClock bool
	// unansweredSince is when the first unanswered call was made, or 0.
	unansweredSince time.Duration
}

// contain reports whether the run is running or has ended.
func (l *lists) contain(key runKey) bool {
	return slices.ContainsFunc(l.running, func(r chestnutpond.RunStatus) bool { return r.Task == key.task && r.Run == key.run }) ||
		slices.ContainsFunc(l.ended, func(e chestnutpond.RunEnd) bool { return e.Task == key.task && e.Run == key.run })
}

// New returns an agent.
func New(c Config) *Agent {
	a := &Agent{
		cfg:    c,
		meters: newMeters(c.Metrics),
		began:  c.Now(),
		lease:  newLeaseBound(c.Now() + c.Lease + leaseMargin),
		starts: map[runKey]*startOrder{}, stops: map[runKey]*stopOrder{}, doubts: map[runKey]time.Duration{},
		ownOrders: map[runKey]bool{},
		lapsed:    map[runKey]bool{}, appliedPaces: map[runKey]int{},
		silenceWarning: rate.Sometimes{Interval: warningInterval}, refusalWarning: rate.Sometimes{Interval: warningInterval},
		changed: make(chan struct{}), ordersChanged: make(chan struct{}, 1), workerReturned: make(chan struct{}, 1), identifying: make(chan struct{}, 1),
	}
	a.identifying <- struct{}{}
	return a
}

var _ chestnutpond.WorkerReports = (*Agent)(nil)

// resetLife discards the state of the worker's former incarnation.
func (a *Agent) resetLife(info chestnutpond.WorkerInfo) {
	a.lists = lists{}
	a.starts, a.stops = map[runKey]*startOrder{}, map[runKey]*stopOrder{}
	a.lapsed, a.appliedPaces = map[runKey]bool{}, map[runKey]int{}
	a.setUnreachable(false)
	a.lease = newLeaseBound(a.cfg.Now() + a.cfg.Lease + leaseMargin)
	if a.orders.life != info.Incarnation() {
		a.orders = orders{epoch: a.orders.epoch}
	}
}

// setUnreachable records whether the worker accepts calls. The leader places nothing on a worker
// that does not. The lock is held.
func (a *Agent) setUnreachable(unreachable bool) {
	if unreachable == a.unreachable {
		return
	}
	a.unreachable = unreachable
	value := int64(0)
	if unreachable {
		value = 1
	}
	a.meters.unreachable.Update(value)
	a.notifyChange()
}

// noteReport makes the next call to an unreachable worker at once, as it has sent a report. The
// lock is held.
func (a *Agent) noteReport() {
	if !a.unreachable {
		return
	}
	select {
	case a.workerReturned <- struct{}{}:
	default:
	}
}

// mayCall reports whether orders to the worker may be sent: it accepts calls, and its lease is
// still renewed. The lock is held.
func (a *Agent) mayCall(now time.Duration) bool { return !a.unreachable && !a.silent(now) }

// notifyChange makes the links report. The lock is held.
func (a *Agent) notifyChange() {
	a.revision++
	close(a.changed)
	a.changed = make(chan struct{})
}

// Leave announces to the leader that the process is about to stop, so that the
// leader places no new runs on the worker.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.notifyChange()
}

// Run carries out orders until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	r := &leaseRenewer{agent: a}
	go r.loop(ctx)
	m := &linkManager{agent: a, links: map[string]*link{}}
	go m.loop(ctx)
	p := &pacer{agent: a, warning: rate.Sometimes{Interval: warningInterval}}
	go p.loop(ctx)
	o := &orderExecutor{agent: a}
	o.loop(ctx)
	return nil
}

// renewalEnd returns the time until which the worker's lease may be renewed; false
// if it may not be renewed. The lock is held.
func (a *Agent) renewalEnd(now time.Duration) (time.Duration, bool) {
	end := min(a.grantEnd, now+a.cfg.Lease)
	return end, end > now
}

// onWorkerClock converts the end of a lease to the worker's clock, so that the
// lease has expired no later than the given time. The lock is held.
func (a *Agent) onWorkerClock(end time.Duration) time.Duration {
	ahead := end - a.lists.received
	return a.lists.clock + time.Duration(float64(ahead)*(1-clockDrift))
}

// leaseOver reports whether the worker does not answer and its lease has expired. The
// lock is held.
func (a *Agent) leaseOver(now time.Duration) bool {
	return a.silent(now) && now > a.lease.expiry()
}

// silent reports whether the worker has not answered for so long that its lease is no longer
// renewed. The lock is held.
func (a *Agent) silent(now time.Duration) bool {
	return a.lists.unansweredSince > 0 && now-a.lists.unansweredSince > workerTimeout
}

// checkLease marks the runs as lapsed if the worker does not answer and its lease
// has expired, those to be stopped included. The lock is held.
func (a *Agent) checkLease(now time.Duration) {
	if !a.leaseOver(now) {
		return
	}
	found := false
	lapse := func(key runKey) {
		if !a.lapsed[key] {
			a.lapsed[key], found = true, true
		}
	}
	for key := range a.orders.starts {
		lapse(key)
	}
	for key := range a.starts {
		lapse(key)
	}
	for key := range a.orders.stops {
		lapse(key)
	}
	for _, r := range a.lists.running {
		lapse(runKey{r.Task, r.Run})
	}
	a.lists.running = nil
	if found {
		a.meters.lapses.Inc(1)
		a.cfg.Log.Warn("worker is silent and its lease is over", "worker", a.worker.ID, "runs", len(a.lapsed))
		a.notifyChange()
	}
}

// finishRenewal records the result of a call that renewed the lease of the given incarnation.
func (a *Agent) finishRenewal(life chestnutpond.WorkerIncarnation, r renewal, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if life == a.worker.Incarnation() {
		a.lease.finish(r, err)
	}
}
