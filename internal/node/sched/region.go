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
	// idleWake is how often the core decides although nothing changed.
	idleWake = time.Second
	minWake  = 5 * time.Millisecond
)

// region schedules the jobs of one region during one term.
type region struct {
	m    *Manager
	name string
	term int64

	ctx    context.Context
	cancel context.CancelFunc
	// ended is closed when run returned.
	ended chan struct{}
	kick  chan struct{}
	// claimed is the event of the term; it led to what becomes of the attempts
	// that another entry started.
	claimed chestnutpond.EventID

	// mu guards the fields below. The tail's and the members' locks may be
	// taken under it.
	mu   sync.Mutex
	core *place.Core
	// attempts are those in progress, one for each job.
	attempts map[chestnutpond.JobID]*attempt
	// strays are tasks that were told to stop, with the time of the last call.
	strays map[chestnutpond.TaskID]time.Duration
	notes  *notes
	// claims is when accelerators were claimed for the jobs that do not run yet.
	claims  map[chestnutpond.JobID]time.Duration
	meters  *meters
	running sync.WaitGroup
}

func newRegion(m *Manager, t ledger.Term, doc chestnutpond.Document) *region {
	ctx, cancel := context.WithCancel(context.Background())
	r := &region{
		m: m, name: t.Region, term: t.Number, ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), kick: make(chan struct{}, 1),
		core:     place.New(place.Config{Region: t.Region, Seed: m.cfg.Seed}),
		attempts: make(map[chestnutpond.JobID]*attempt),
		strays:   make(map[chestnutpond.TaskID]time.Duration),
		notes:    newNotes(),
		claims:   make(map[chestnutpond.JobID]time.Duration),
		meters:   newMeters(m.cfg.Metrics, t.Region),
	}
	r.load(doc)
	return r
}

// load fills the core from the document, the members and the fold.
func (r *region) load(doc chestnutpond.Document) {
	now := r.m.now()
	r.core.SetDocument(now, doc)
	for _, row := range r.m.cfg.Members.Rows() {
		if row.Member.GetRegion() == r.name && !row.Lost {
			r.core.PutWorker(now, workerOf(row.Member))
		}
	}
	var jobs []ledger.Job
	r.m.cfg.Tail.View(func(st *ledger.State) {
		jobs = st.Jobs(func(j ledger.Job) bool { return j.Spec.Region == r.name && !j.State.Final() })
	})
	for _, j := range jobs {
		r.loadJob(now, j)
	}
}

func (r *region) loadJob(now time.Duration, j ledger.Job) {
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

// run decides until the term is over.
func (r *region) run(parent context.Context) {
	defer close(r.ended)
	defer r.cancel()
	r.startAdopted()
	for {
		r.decide()
		r.report()
		timer := time.NewTimer(r.nextWake())
		select {
		case <-parent.Done():
		case <-r.ctx.Done():
		case <-r.kick:
		case <-timer.C:
		}
		timer.Stop()
		if parent.Err() != nil || r.ctx.Err() != nil {
			return
		}
	}
}

func (r *region) startAdopted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		r.running.Add(1)
		go a.run(r.ctx)
	}
}

// stop ends the scheduler and waits until its attempts let go of their jobs.
func (r *region) stop() {
	r.cancel()
	<-r.ended
	r.running.Wait()
	r.meters.clear()
}

func (r *region) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *region) nextWake() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.core.NextWake(r.m.now())
	if !ok {
		return idleWake
	}
	return min(idleWake, max(minWake, at-r.m.now()))
}

// decide asks the core and carries out what it says. Without the log no attempt
// can be started, so the core is not asked.
func (r *region) decide() {
	if !r.m.cfg.Tail.Available() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.core.Decide(r.m.now()) {
		r.carryOut(action)
	}
}

func (r *region) carryOut(action place.Action) {
	switch action.Kind {
	case place.ActionStart:
		r.startJob(action)
	case place.ActionPreempt:
		r.preempt(action)
	case place.ActionGiveUp:
		g := &giveUp{region: r, job: action.Job, attempt: action.Attempt, reason: action.Reason}
		r.running.Add(1)
		go g.run(r.ctx)
	}
}

func (r *region) startJob(action place.Action) {
	var job ledger.Job
	var known bool
	r.m.cfg.Tail.View(func(st *ledger.State) { job, known = st.Job(action.Job) })
	if !known || job.State.Final() {
		r.core.Remove(r.m.now(), action.Job)
		return
	}
	a := newAttempt(r, job.Spec, action.Attempt, action.Placements, action.Guaranteed)
	a.checkpoint = job.Checkpoint
	r.attempts[action.Job] = a
	r.event(chestnutpond.EventPlaced, a, action.Reason)
	if action.Guaranteed {
		r.noteClaim(action.Job)
	} else {
		r.event(chestnutpond.EventBorrowed, a, "")
	}
	r.running.Add(1)
	go a.run(r.ctx)
}

func (r *region) preempt(action place.Action) {
	a, ok := r.attempts[action.Job]
	if !ok {
		return
	}
	r.meters.preemptions.Inc(1)
	r.noteClaim(action.For)
	detail := action.Reason
	if action.For != "" {
		detail += " for " + string(action.For)
	}
	// The event comes first, because the attempt names it as the cause of its
	// stop as soon as it is woken.
	r.m.cfg.Events.Add(chestnutpond.Event{
		Kind: chestnutpond.EventReclaimed, Job: a.spec.ID, Attempt: a.number, Account: a.spec.Account,
		Detail: detail, Cause: r.m.cfg.Events.Last(action.For),
	})
	a.preempted = action.Reason
	a.notice()
}

func (r *region) event(kind chestnutpond.EventKind, a *attempt, detail string) {
	e := chestnutpond.Event{Kind: kind, Job: a.spec.ID, Attempt: a.number, Account: a.spec.Account, Detail: detail}
	if a.adopted && r.m.cfg.Events.Last(a.spec.ID) == "" {
		e.Cause = r.claimed
	}
	r.m.cfg.Events.Add(e)
}

func (r *region) setDocument(doc chestnutpond.Document) {
	r.mu.Lock()
	r.core.SetDocument(r.m.now(), doc)
	r.mu.Unlock()
	r.wake()
}

func (r *region) agentChanged(row fleet.Row) {
	now := r.m.now()
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
		if row.Member.GetDraining() && a.preempted == "" {
			a.preempted = "worker is leaving"
		}
		a.notice()
	}
	r.stopStrays(now, row)
	r.mu.Unlock()
	r.wake()
}

func (r *region) agentGone(name string) {
	r.mu.Lock()
	r.core.RemoveWorker(r.m.now(), name)
	r.mu.Unlock()
}

func (r *region) logChanged(c ledger.Change) {
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
			delete(r.claims, c.Job)
			r.core.Remove(r.m.now(), c.Job)
		}
	}
	if active {
		a.notice()
	}
	r.wake()
}

// submit makes an accepted job wait. The news of a job that load took from the
// fold may come after it; submitting that job again would start an attempt
// twice. The caller holds mu.
func (r *region) submit(id chestnutpond.JobID) {
	if _, known := r.core.Waiting(id); known {
		return
	}
	var job ledger.Job
	var ok bool
	r.m.cfg.Tail.View(func(st *ledger.State) { job, ok = st.Job(id) })
	if ok && job.State == chestnutpond.JobQueued {
		r.core.Submit(r.m.now(), job.Spec, job.Attempt)
	}
}

// finish tells the core how an attempt ended.
func (r *region) finish(a *attempt, end ending) {
	r.mu.Lock()
	now := r.m.now()
	id := a.spec.ID
	delete(r.attempts, id)
	switch end.kind {
	case endStartFailed:
		r.core.StartFailed(now, id, a.number, end.failure)
	case endTaskFailed:
		r.core.TaskFailed(now, id, a.number, end.failure)
	case endStopped:
		r.core.Stopped(now, id, a.number)
	case endFinal:
		delete(r.claims, id)
		r.core.Remove(now, id)
	}
	r.noteEjected(a, end.failure)
	r.mu.Unlock()
	r.wake()
}

func workerOf(m *inner.Member) place.Worker {
	return place.Worker{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), Rack: m.GetRack(),
		Accelerators: int(m.GetAccelerators()), Draining: m.GetDraining(),
	}
}
