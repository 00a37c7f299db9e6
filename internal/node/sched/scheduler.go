package sched

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// maxWakeInterval bounds the time between two decisions when nothing changes.
	maxWakeInterval = time.Second
	minWakeInterval = 5 * time.Millisecond
	// fleetSettleTime is how long a new scheduler preempts no jobs, so that the agents
	// that reconnect after their entry was lost can announce themselves first. It adds
	// to the time of a takeover, of which starts have 4.7 s in all.
	fleetSettleTime = 300 * time.Millisecond
)

// regionScheduler schedules the jobs of one region for one term.
type regionScheduler struct {
	mgr  *Manager
	name string
	term int64

	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when run returns.
	done   chan struct{}
	wakeCh chan struct{}
	// termEvent is the event that began the term. It is the cause of the first
	// events of attempts that another entry started.
	termEvent chestnutpond.EventID

	// mu guards the fields below. The locks of the tail and the members may be
	// acquired while it is held.
	mu   sync.Mutex
	core *place.Core
	// attempts holds the attempts in progress, at most one per job.
	attempts map[chestnutpond.JobID]*attempt
	// strayStops holds the time of the last stop call for each stray task.
	strayStops map[chestnutpond.TaskID]time.Duration
	reported   *reportState
	// claimedAt is when accelerators were first claimed for each job not running yet.
	claimedAt map[chestnutpond.JobID]time.Duration
	metrics   *regionMetrics
	wg        sync.WaitGroup
}

func newRegionScheduler(m *Manager, t ledger.Term, doc chestnutpond.Document) *regionScheduler {
	ctx, cancel := context.WithCancel(context.Background())
	r := &regionScheduler{
		mgr: m, name: t.Region, term: t.Number, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), wakeCh: make(chan struct{}, 1),
		core:       place.New(place.Config{Region: t.Region, Seed: m.cfg.Seed}),
		attempts:   make(map[chestnutpond.JobID]*attempt),
		strayStops: make(map[chestnutpond.TaskID]time.Duration),
		reported:   newReportState(),
		claimedAt:  make(map[chestnutpond.JobID]time.Duration),
		metrics:    newRegionMetrics(m.cfg.Metrics, t.Region),
	}
	r.load(doc)
	return r
}

// load initializes the core from the document, the member rows and the state
// folded from the log.
func (r *regionScheduler) load(doc chestnutpond.Document) {
	now := r.mgr.now()
	r.core.HoldPreemption(now, now+fleetSettleTime)
	r.loadEvacuations()
	r.core.SetDocument(now, doc)
	for _, row := range r.mgr.cfg.Members.Rows() {
		if row.Member.GetRegion() == r.name && !row.Lost {
			r.core.PutWorker(now, workerOf(row.Member))
		}
	}
	var jobs []ledger.Job
	r.mgr.cfg.Tail.View(func(st *ledger.State) {
		jobs = st.Jobs(func(j ledger.Job) bool { return j.Spec.Region == r.name && !j.State.Final() })
	})
	for _, j := range jobs {
		r.loadJob(now, j)
	}
}

func (r *regionScheduler) loadJob(now time.Duration, j ledger.Job) {
	if j.State == chestnutpond.JobQueued {
		r.core.Submit(now, j.Spec, j.Attempt)
		return
	}
	stopping := j.State == chestnutpond.JobStopping
	r.core.Restore(now, j.Spec, j.Attempt, j.Placements, j.Guaranteed, stopping)
	a := newAttempt(r, j.Spec, j.Attempt, j.Placements, j.Guaranteed)
	a.adopted = true
	a.cancelled = stopping
	a.checkpoint = j.Checkpoint
	r.attempts[j.Spec.ID] = a
}

// run makes scheduling decisions until the term is over.
func (r *regionScheduler) run(parent context.Context) {
	defer close(r.done)
	defer r.cancel()
	r.startAdopted()
	for {
		r.decide()
		r.report()
		timer := time.NewTimer(r.nextWake())
		select {
		case <-parent.Done():
		case <-r.ctx.Done():
		case <-r.wakeCh:
		case <-timer.C:
		}
		timer.Stop()
		if parent.Err() != nil || r.ctx.Err() != nil {
			return
		}
	}
}

func (r *regionScheduler) startAdopted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		r.wg.Add(1)
		go a.run(r.ctx)
	}
}

// stop stops the scheduler and waits until the goroutines of its attempts return.
func (r *regionScheduler) stop() {
	r.cancel()
	<-r.done
	r.wg.Wait()
	r.metrics.clear()
}

func (r *regionScheduler) wake() {
	select {
	case r.wakeCh <- struct{}{}:
	default:
	}
}

func (r *regionScheduler) nextWake() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.core.NextWake(r.mgr.now())
	if !ok {
		return maxWakeInterval
	}
	return min(maxWakeInterval, max(minWakeInterval, at-r.mgr.now()))
}

// decide executes the core's decisions. It does nothing while the log is
// unavailable, because no attempt can be started then.
func (r *regionScheduler) decide() {
	if !r.mgr.cfg.Tail.Available() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.core.Decide(r.mgr.now()) {
		r.applyAction(action)
	}
}

func (r *regionScheduler) applyAction(action place.Action) {
	switch action.Kind {
	case place.ActionStart:
		r.startJob(action)
	case place.ActionPreempt:
		r.preempt(action)
	case place.ActionGiveUp:
		g := &unschedulableJob{sched: r, job: action.Job, attempt: action.Attempt, reason: action.Reason}
		r.wg.Add(1)
		go g.run(r.ctx)
	}
}

func (r *regionScheduler) startJob(action place.Action) {
	var job ledger.Job
	var known bool
	r.mgr.cfg.Tail.View(func(st *ledger.State) { job, known = st.Job(action.Job) })
	if !known || job.State.Final() {
		r.core.Remove(r.mgr.now(), action.Job)
		return
	}
	a := newAttempt(r, job.Spec, action.Attempt, action.Placements, action.Guaranteed)
	a.checkpoint = job.Checkpoint
	a.zones = r.zonesOf(action)
	r.attempts[action.Job] = a
	r.emit(chestnutpond.EventPlaced, a, action.Reason)
	if action.Guaranteed {
		r.recordClaim(action.Job)
	} else {
		r.emit(chestnutpond.EventBorrowed, a, "")
	}
	r.wg.Add(1)
	go a.run(r.ctx)
}

func (r *regionScheduler) preempt(action place.Action) {
	a, ok := r.attempts[action.Job]
	if !ok {
		return
	}
	r.metrics.preemptions.Inc(1)
	r.recordClaim(action.For)
	detail := action.Reason
	if action.For != "" {
		detail += " for " + string(action.For)
	}
	// The event is added before the attempt is woken, because the attempt uses it
	// as the cause of its stop.
	r.mgr.cfg.Events.Add(chestnutpond.Event{
		Kind: chestnutpond.EventReclaimed, Job: a.spec.ID, Attempt: a.number, Account: a.spec.Account,
		Detail: detail, Cause: r.mgr.cfg.Events.Last(action.For),
	})
	a.preemptReason = action.Reason
	a.wake()
}

func (r *regionScheduler) emit(kind chestnutpond.EventKind, a *attempt, detail string) {
	e := chestnutpond.Event{Kind: kind, Job: a.spec.ID, Attempt: a.number, Account: a.spec.Account, Detail: detail}
	if a.adopted && r.mgr.cfg.Events.Last(a.spec.ID) == "" {
		e.Cause = r.termEvent
	}
	r.mgr.cfg.Events.Add(e)
}

func (r *regionScheduler) setDocument(doc chestnutpond.Document) {
	r.mu.Lock()
	r.core.SetDocument(r.mgr.now(), doc)
	r.mu.Unlock()
	r.wake()
}

func (r *regionScheduler) agentChanged(row fleet.Row) {
	now := r.mgr.now()
	r.mu.Lock()
	name := row.Member.GetName()
	if row.Lost {
		r.core.RemoveWorker(now, name)
	} else {
		r.core.PutWorker(now, workerOf(row.Member))
	}
	for _, a := range r.attempts {
		if !a.uses(name) {
			continue
		}
		if row.Member.GetDraining() && a.preemptReason == "" {
			a.preemptReason = "worker is leaving"
		}
		a.wake()
	}
	r.stopStrays(now, row)
	r.mu.Unlock()
	r.wake()
}

func (r *regionScheduler) agentForgotten(name string) {
	r.mu.Lock()
	r.core.RemoveWorker(r.mgr.now(), name)
	r.mu.Unlock()
}

func (r *regionScheduler) logChanged(c ledger.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, active := r.attempts[c.Job]
	switch c.Kind {
	case ledger.ChangeAccepted:
		if !active {
			r.submit(c.Job)
		}
	case ledger.ChangeCancelling:
		if active {
			a.cancelled = true
		}
	case ledger.ChangeEnded:
		if !active {
			delete(r.claimedAt, c.Job)
			r.core.Remove(r.mgr.now(), c.Job)
		}
	}
	if active {
		a.wake()
	}
	r.wake()
}

// submit queues an accepted job. The change may arrive after load has already
// read the job from the folded state; submitting the job again would start an
// attempt twice. The caller holds mu.
func (r *regionScheduler) submit(id chestnutpond.JobID) {
	if _, known := r.core.WaitReason(id); known {
		return
	}
	var job ledger.Job
	var ok bool
	r.mgr.cfg.Tail.View(func(st *ledger.State) { job, ok = st.Job(id) })
	if ok && job.State == chestnutpond.JobQueued {
		r.core.Submit(r.mgr.now(), job.Spec, job.Attempt)
	}
}

// finishAttempt reports the outcome of an attempt to the core.
func (r *regionScheduler) finishAttempt(a *attempt, out outcome) {
	r.mu.Lock()
	now := r.mgr.now()
	id := a.spec.ID
	delete(r.attempts, id)
	switch out.kind {
	case outcomeStartFailed:
		r.core.StartFailed(now, id, a.number, out.failure)
	case outcomeTaskFailed:
		r.core.TaskFailed(now, id, a.number, out.failure)
	case outcomeRequeued:
		r.core.Stopped(now, id, a.number)
	case outcomeFinal:
		delete(r.claimedAt, id)
		r.core.Remove(now, id)
	}
	r.recordEjections(a, out.failure)
	r.mu.Unlock()
	r.wake()
}

func workerOf(m *inner.Member) place.Worker {
	return place.Worker{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), Rack: m.GetRack(),
		Accelerators: int(m.GetAccelerators()), Draining: m.GetDraining(),
	}
}
