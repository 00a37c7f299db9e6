// Package plan schedules the tasks of all jobs of a deployment on its workers.
//
// A Planner is the scheduling state of the leading entry. It receives jobs,
// cancellations and worker reports, and decides which runs to start and to stop. It
// is deterministic: the time is an argument, and no decision depends on the
// iteration order of a map.
//
// A decision takes effect in two steps. TakeBatch returns the records of what changed.
// Only after the caller has stored them and called BatchStored do their starts appear in
// Orders and are their ended runs acknowledged. A successor that loads the records
// therefore has every run that may exist.
//
// A task is started again only once its former run is settled: the worker listed
// its end, refused it with no call in doubt, or confirmed that it will never run;
// another incarnation of the worker answered; or the lease under which it ran has expired
// by the planner's clock.
//
// Times are durations on a clock that counts suspended time. The wall clock decides
// only when the occurrences of a scheduled job are due, how old a job is, and how
// long an ended job is retained.
package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/learn"
)

// Config configures a Planner.
type Config struct {
	// Epoch is the leader's epoch, from its claim.
	Epoch int64
	// Lease is the longest time for which an agent renews leases without an answer
	// from the leader.
	Lease time.Duration
	// FormerGrantPeriod is how long the previous leader may have continued to grant
	// leases after the claim; zero if it is known to have stopped.
	FormerGrantPeriod time.Duration
	// ClaimedAt is the time of the claim, and Wall the same time by the wall clock.
	ClaimedAt time.Duration
	Wall      time.Time
	// SettleLimit bounds the time after the claim in which workers are still expected to
	// report for the first time; zero means that none are.
	SettleLimit time.Duration
	// Retention is how long an ended job is retained.
	Retention time.Duration
	// RemoteSlowdown is the factor by which a task takes longer away from its data or
	// its gang.
	RemoteSlowdown float64
	// RestoreTime is the time needed to start a run from a checkpoint.
	RestoreTime time.Duration
	// Policy switches parts of the planner.
	Policy Policy
}

// Policy switches the parts of the planner that a deployment may leave off. The zero value
// has all of them off.
type Policy struct {
	// LearnDurations means that durations are predicted by package learn and by what the
	// runs of a step show, not by the statistics of its queue alone.
	LearnDurations bool
	// PreemptEarly means that an urgent unit preempts at once if that costs little, and does
	// not wait for capacity until its slack is used up.
	PreemptEarly bool
	// Headroom keeps whole workers free for urgent work, as many as the recent urgent
	// arrivals need beyond what runs.
	Headroom bool
	// TotalCost compares whole plans of preemption over all workers by what they cost,
	// instead of choosing runs worker by worker.
	TotalCost bool
	// SlowBackoff avoids a worker for longer each time that it is found slow again.
	SlowBackoff bool
}

const (
	// clockDrift is the fraction by which a worker's clock may run slow.
	clockDrift = 0.02
	// leaseMargin is added to the end of a lease before its runs are considered
	// ended. It covers the rounding of times to milliseconds and late timers.
	leaseMargin = 100 * time.Millisecond
	// purgeMargin is how much longer than Config.Retention an ended job is retained, so
	// that it is not removed too early on a host whose clock is behind.
	purgeMargin = 30 * time.Second
	// livesPerEpoch is the number of incarnations of a worker that the fencing tokens of
	// one epoch can distinguish.
	livesPerEpoch = 1 << 12
)

// Planner assigns tasks to workers. It is not safe for concurrent use.
type Planner struct {
	cfg      Config
	document chestnutpond.Document
	// accounts has the accounts of the document by name.
	accounts map[string]*account
	jobs     map[chestnutpond.JobID]*job
	// active has the jobs that may still have runs or changes to store, in order of
	// acceptance.
	active []*job
	// evacuations are the zones that get no new runs.
	evacuations chestnutpond.Evacuations
	// startsHeld means that no orders to start runs are handed out.
	startsHeld bool
	workers    map[string]*worker
	// sortedWorkers has the workers in order of id.
	sortedWorkers []*worker
	// lastBatch is the number of the last batch.
	lastBatch int64
	// stats has the statistics of the queues by name.
	stats map[string]*queueStats
	// model predicts durations; nil unless Config.LearnDurations is set. learnedMore means
	// that it has had a sample since the last call of TakeLearned.
	model       *learn.Model
	learnedMore bool
	// predictions caches expected durations in the current round. It is cleared
	// when the statistics change.
	predictions map[*step]time.Duration
	// medianRates caches the rates of progress that runs are compared with, in the current
	// inspection.
	medianRates map[stepOnWorker]float64
	// reserved has the capacity reserved for waiting units in the current round.
	// reservations counts the units that reserveEarliest has reserved it for.
	reserved     map[*worker][]reservation
	reservations int
	// capacities caches the capacity of each service in the current round.
	capacities map[string]chestnutpond.Resources
	// lastJoined is when a worker last reported for the first time, and settled means
	// that the workers that were there at the claim have reported.
	lastJoined time.Duration
	settled    bool
	// lastInspection is when the progress of all runs was last inspected.
	lastInspection time.Duration
	// wall is the wall-clock time of the last call of Decide, decidedAt the same time by the
	// planner's clock. Before the first call they are the time of the claim.
	wall      time.Time
	decidedAt time.Duration
	// urgent has the need of recent urgent arrivals by service, headroom the workers kept
	// free for them in the current round.
	urgent   map[string]urgentDemand
	headroom map[string]map[*worker]bool
	// inquiries counts the inquiries that were made.
	inquiries int
	// notes are the notes since the last call of Notes.
	notes []Note
	// trial observes the decisions about one job; nil unless the planner is a copy that
	// Evaluate has made.
	trial *trial
}

// account is a client account and the number of accelerators guaranteed to its most
// urgent jobs.
type account struct {
	name      string
	guarantee int64
}

// New returns a planner without jobs or workers.
func New(c Config) *Planner {
	var model *learn.Model
	if c.Policy.LearnDurations {
		model = learn.New(learn.Config{})
	}
	return &Planner{
		cfg:   c,
		model: model,
		wall:  c.Wall, decidedAt: c.ClaimedAt,
		accounts: map[string]*account{},
		jobs:     map[chestnutpond.JobID]*job{},
		workers:  map[string]*worker{},
		stats:    map[string]*queueStats{},

		predictions: map[*step]time.Duration{}, medianRates: map[stepOnWorker]float64{},

		reserved:   map[*worker][]reservation{},
		capacities: map[string]chestnutpond.Resources{},

		urgent: map[string]urgentDemand{}, headroom: map[string]map[*worker]bool{},
	}
}

// SetDocument replaces the document published by the operators.
func (p *Planner) SetDocument(d chestnutpond.Document) {
	p.document = d
	p.accounts = map[string]*account{}
	for _, a := range d.Accounts {
		p.accounts[a.Name] = &account{name: a.Name, guarantee: a.Accelerators}
	}
}

// Accept adds a job. It does nothing if the planner has the job already.
func (p *Planner) Accept(g *chestnutpond.Graph) {
	if p.jobs[g.ID] != nil {
		return
	}
	j := newJob(g)
	p.jobs[g.ID] = j
	p.activate(j)
}

// Active returns the number of jobs that may still have runs or changes to store.
func (p *Planner) Active() int { return len(p.active) }

// Cancel cancels a job. It reports whether the planner had the job and it was not
// final.
func (p *Planner) Cancel(now time.Duration, id chestnutpond.JobID) bool {
	j := p.jobs[id]
	if j == nil || j.phase.Final() {
		return false
	}
	p.finish(now, j, chestnutpond.JobCancelled, "cancelled by its caller")
	return true
}

// activate inserts the job into the active jobs, in order of acceptance.
func (p *Planner) activate(j *job) {
	i, found := slices.BinarySearchFunc(p.active, j, compareJobs)
	if !found {
		p.active = slices.Insert(p.active, i, j)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(a.graph.Accepted.Compare(b.graph.Accepted), cmp.Compare(a.graph.ID, b.graph.ID))
}

// finish sets the job's final phase and stops its remaining runs.
func (p *Planner) finish(now time.Duration, j *job, phase chestnutpond.JobState, reason string) {
	j.phase, j.reason, j.dirty = phase, reason, true
	for _, r := range j.runs() {
		p.stop(now, r, "job is "+string(phase))
	}
	p.note(Note{
		Kind: NoteEnded, Job: j.graph.ID, Detail: reason, Queue: j.graph.Queue.Name, State: phase,
		Took: p.wall.Sub(j.graph.Accepted),
	})
}

// NoteKind is the kind of a note.
type NoteKind string

// The kinds of notes.
const (
	NotePlaced  NoteKind = "placed"
	NoteStopped NoteKind = "stopped"
	NoteRunEnd  NoteKind = "run_end"
	NoteStarted NoteKind = "begun"
	NoteEnded   NoteKind = "ended"
	NoteWorker  NoteKind = "worker"
	// NoteRemoved is a job whose retention is over.
	NoteRemoved NoteKind = "removed"
	// NotePredicted is a run that has ended and whose duration had been learned before.
	NotePredicted NoteKind = "predicted"
)

// Note is a decision or an observed change, for logs and metrics.
type Note struct {
	Kind   NoteKind
	Job    chestnutpond.JobID
	Task   chestnutpond.TaskRef
	Run    int64
	Worker string
	Detail string
	// Source is set for a placed or a removed job: the record from which this planner
	// had the job first.
	Source graph.Source
	// Queue, State and Took are set for a job that started or ended. Took is the
	// time since its acceptance. For a predicted run, Took is its duration.
	Queue string
	State chestnutpond.JobState
	Took  time.Duration
	// Prediction is set for a predicted run.
	Prediction chestnutpond.Prediction
}

// maxNotes limits the notes between two calls of Notes; further ones are dropped.
const maxNotes = 4096

func (p *Planner) note(n Note) {
	if len(p.notes) < maxNotes {
		p.notes = append(p.notes, n)
	}
}

// Notes returns the notes since the last call.
func (p *Planner) Notes() []Note {
	n := p.notes
	p.notes = nil
	return n
}

// Counts has the numbers of jobs and workers by state.
type Counts struct {
	// Running jobs have had a run that a worker listed; Waiting jobs have not.
	Waiting, Running int
	// Queues counts the waiting jobs by queue and client account.
	Queues map[QueueAccount]int
	// Usable workers may be given work, Ejected ones are excluded for their faults,
	// and Unavailable ones do not report, are draining, or have left.
	Usable, Ejected, Unavailable int
}

// QueueAccount identifies the jobs of a client account in a queue.
type QueueAccount struct {
	Queue, Account string
}

// Counts returns the current numbers.
func (p *Planner) Counts(now time.Duration) Counts {
	c := Counts{Queues: map[QueueAccount]int{}}
	for _, j := range p.active {
		switch {
		case j.phase.Final():
		case j.started:
			c.Running++
		default:
			c.Waiting++
			c.Queues[QueueAccount{j.graph.Queue.Name, j.graph.Account}]++
		}
	}
	for _, w := range p.sortedWorkers {
		switch {
		case !w.usable():
			c.Unavailable++
		case now < w.health.ejectedUntil:
			c.Ejected++
		default:
			c.Usable++
		}
	}
	return c
}
