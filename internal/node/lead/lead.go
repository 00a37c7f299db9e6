// Package lead implements the election of a leader among the entries, and the
// leader itself, which schedules tasks for the whole deployment.
//
// The leader is the entry whose claim is the newest in the work topic. A claim is
// an append that is conditional on the end of the topic, so two entries cannot both
// succeed, and the claimant has read all records before it. The claim raises the
// producer's epoch, so the store rejects records of former leaders, and workers
// refuse orders with a lower fencing token. Clocks do not decide who leads; they
// only decide when an entry attempts a claim.
//
// A Manager follows the topic, claims and leads. Its one lock guards the table of
// jobs, the planner and the streams of the agents; only the roster's lock is taken
// while it is held.
package lead

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/node/feed"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("lead")

const (
	// heartbeatInterval is how often a leader appends its leader record again.
	heartbeatInterval = 500 * time.Millisecond
	// grantWindow is how long a leader grants leases after the store last confirmed
	// its claim. Outages of the store take up to 5 s on most days, and a run that
	// is killed during one starts again from the beginning.
	grantWindow = 8 * time.Second
	// tickInterval bounds the time between two checks of leases and schedules.
	tickInterval = 50 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	// Self is the row of this entry in the list of entries.
	Self *inner.EntryRow
	// Boot identifies this start of the process.
	Boot   string
	Store  chestnutpond.Store
	Mesh   *mesh.Mesh
	Roster *roster.Roster
	// Direct reports whether the entry's direct connection to the store works.
	Direct    func() bool
	Now       func() time.Duration
	WallClock func() time.Time
	Log       *slog.Logger
	// Lease is the longest lease that workers accept.
	Lease time.Duration
	// Retention is how long an ended job stays visible.
	Retention      time.Duration
	RemoteSlowdown float64
	RestoreTime    time.Duration
	// EvacuationDelay is how long after the request for an evacuation starts in the zone are
	// tolerated; zero means that zones are not evacuated.
	EvacuationDelay time.Duration
	// OperatorsFresh returns a time such that all requests of the operators that were stored
	// before it have been applied. It may be nil if EvacuationDelay is zero.
	OperatorsFresh func() time.Duration
	// Policy switches parts of the planner.
	Policy plan.Policy
	// MaxRecord bounds a record of the store in bytes; zero means no bound.
	MaxRecord int
	// Metrics receives the metrics of the leader.
	Metrics *stats.Registry
	// Adviser is nil if no queue needs advice.
	Adviser chestnutpond.Adviser
	// Guard contains panics.
	Guard *guard.Guard
	// Forecasts makes the leader compute forecasts, and the entry use them.
	Forecasts bool
}

// Manager follows the work topic, and leads while this entry has the newest claim.
// It is safe for concurrent use.
type Manager struct {
	inner.UnimplementedLeadServer

	cfg    Config
	feed   *feed.Feed
	wake   chan struct{}
	meters *meters
	// adviceWanted is signalled when the planner may want advice.
	adviceWanted chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	table    *graph.Table
	document chestnutpond.Document
	// evacuations are the zones that the operators evacuate.
	evacuations chestnutpond.Evacuations
	// term is nil unless this entry leads.
	term *term
	// streams maps each agent to its newest stream.
	streams map[string]*stream
	// stopping means that the process is shutting down and makes no more claims.
	stopping bool
	// cededEpoch is the epoch of a term that has ended, until the store has a
	// record of its end; otherwise 0.
	cededEpoch int64
	// suspicion is the evidence that the current leader has failed.
	suspicion suspicion
	// watches has a channel for each job that a caller waits for. The channel is
	// closed when a record of the job is applied.
	watches map[chestnutpond.JobID]chan struct{}
	// received is the newest forecast of the leader.
	received received
	// evaluations bounds those that this entry makes, forwards those that it asks another
	// entry for.
	evaluations, forwards *budget
}

// New returns a manager that has not read any records.
func New(c Config) *Manager {
	m := &Manager{
		cfg: c, wake: make(chan struct{}, 1), table: graph.New(), streams: map[string]*stream{},
		meters: newMeters(c.Metrics), adviceWanted: make(chan struct{}, 1),
		watches: map[chestnutpond.JobID]chan struct{}{}, evaluations: newBudget(), forwards: newBudget(),
	}
	m.feed = feed.New(feed.Config{
		Store: c.Store, Topic: chestnutpond.TopicWork, Receiver: m, Now: c.Now, Log: c.Log, Guard: c.Guard,
	})
	return m
}

// Feed returns the feed of the work topic.
func (m *Manager) Feed() *feed.Feed { return m.feed }

// Apply applies records of the work topic. It implements feed.Receiver.
func (m *Manager) Apply(records []chestnutpond.KeyedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		before := m.table.Leader().GetEpoch()
		ceded := m.table.Ceded()
		id, err := m.table.Apply(r)
		if err != nil {
			m.cfg.Log.Error("skipping invalid record", "offset", r.Offset, "error", err)
			continue
		}
		if l := m.table.Leader(); l.Offset == r.Offset {
			m.receiveForecast(l)
		}
		if l := m.table.Leader(); l.GetEpoch() != before {
			m.cfg.Log.Info("leader changed", "epoch", l.GetEpoch(), "leader", l.GetEntry().GetName(), "offset", r.Offset)
			m.leaderChanged()
		} else if l.GetReleased() && l.Offset == r.Offset {
			m.wakeUp()
		}
		if m.table.Ceded() > ceded {
			m.formerLeaderCeded()
		}
		if id != "" {
			m.updatePlanner(m.table.Job(id))
			m.notifyWatch(id)
		}
	}
}

// Loaded implements feed.Receiver.
func (m *Manager) Loaded(next int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Advance(next)
}

// Retain implements feed.Receiver.
func (m *Manager) Retain(keys map[string]bool, end int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	removed := m.table.Retain(keys, end)
	for _, id := range removed {
		m.notifyWatch(id)
	}
	if len(removed) > 0 {
		m.cfg.Log.Info("jobs were removed while the log was not read", "jobs", len(removed), "end", end)
	}
}

// updatePlanner passes a changed job to the planner of the current term. A job with a
// state is not new to it: the planner has loaded or written the state, and has removed the
// job if it does not have it.
func (m *Manager) updatePlanner(j *graph.Job) {
	if m.term == nil || j == nil {
		return
	}
	if j.State == nil {
		m.term.planner.Load(j)
		m.term.forecast.predict(j.Graph)
	}
	if j.Cancelled {
		m.term.planner.Cancel(m.cfg.Now(), j.ID)
	}
	m.wakeUp()
}

// leaderChanged ends this entry's term if another entry has claimed.
func (m *Manager) leaderChanged() {
	m.suspicion = suspicion{}
	if m.term != nil && m.table.Leader().GetEpoch() > m.term.epoch {
		m.stepDown("another entry has claimed")
	}
	m.wakeStreams()
	m.wakeUp()
}

// formerLeaderCeded shortens the wait for unreachable runs if the previous leader
// has recorded that it no longer grants leases.
func (m *Manager) formerLeaderCeded() {
	if m.term == nil || m.table.Ceded() < m.term.epoch-1 {
		return
	}
	now := m.cfg.Now()
	m.term.formerGrantsEnd = min(m.term.formerGrantsEnd, max(now, m.term.earlierGrantsEnd))
	m.term.planner.EndFormerGrants(m.term.formerGrantsEnd)
	m.cfg.Log.Info("former leader no longer grants leases", "epoch", m.term.epoch, "former_grants", m.formerGrantsLeft(m.term))
}

// stepDown ends this entry's term.
func (m *Manager) stepDown(why string) {
	if m.term == nil {
		return
	}
	m.cfg.Log.Warn("term is over", "epoch", m.term.epoch, "reason", why)
	m.cededEpoch = m.term.epoch
	m.term = nil
	m.meters.termEnded()
	m.wakeStreams()
}

// SetDocument replaces the configuration document.
func (m *Manager) SetDocument(d chestnutpond.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.document = d
	if m.term != nil {
		m.term.planner.SetDocument(d)
	}
	m.wakeUp()
}

// JobView is the part of a job that callers may see.
type JobView struct {
	Account string
	// Queue is the name of the queue on which the job was accepted.
	Queue string
	State chestnutpond.JobState
	// LongRunning means that the job runs until it is cancelled, or on a schedule.
	LongRunning bool
}

// Job returns a job. The second result is false if the job is unknown.
func (m *Manager) Job(id chestnutpond.JobID) (JobView, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.table.Job(id)
	if j == nil {
		return JobView{}, false
	}
	lasting := j.Graph.Schedule.Repetitions > 0 ||
		slices.ContainsFunc(j.Graph.Steps, func(s chestnutpond.Step) bool { return s.Perpetual })
	return JobView{Account: j.Graph.Account, Queue: j.Graph.Queue.Name, State: j.Phase(), LongRunning: lasting}, true
}

// UnmatchedCancels returns the number of cancellations of jobs that are not known.
func (m *Manager) UnmatchedCancels() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.UnmatchedCancels()
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (m *Manager) Waiting(queue string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	m.table.Jobs(func(j *graph.Job) {
		phase := j.Phase()
		if j.Graph.Queue.Name == queue && (phase == chestnutpond.JobQueued || phase == chestnutpond.JobStarting) {
			count++
		}
	})
	return count
}

// wakeUp makes Run check for changes now.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run claims and leads until the context ends. It does not release the term;
// Release does. The feed has to run concurrently.
func (m *Manager) Run(ctx context.Context) error {
	p := &prober{manager: m}
	go p.loop(ctx)
	if m.cfg.Adviser != nil {
		r := &adviceRequester{manager: m}
		go r.loop(ctx)
	}
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-timer.C:
		}
		if m.currentTerm() != nil {
			m.runRound(ctx)
		} else {
			m.writeCeded(ctx)
			m.claimIfVacant(ctx)
		}
		timer.Reset(tickInterval)
	}
}

func (m *Manager) currentTerm() *term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

// Leads reports whether this entry is the leader.
func (m *Manager) Leads() bool { return m.currentTerm() != nil }

// Release gives up the term, so that another entry can claim at once, and prevents
// this entry from claiming again.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	t := m.term
	m.stepDown("this process is shutting down")
	m.mu.Unlock()
	if t == nil {
		return
	}
	select {
	case <-t.appendToken:
	case <-ctx.Done():
		m.cfg.Log.Warn("cannot release the term: an append is in progress", "epoch", t.epoch)
		return
	}
	defer t.returnAppendToken()
	record, err := graph.LeaderRecord(&inner.LeaderRecord{
		Epoch: t.epoch, Entry: m.cfg.Self, Boot: m.cfg.Boot, Released: true, Nonce: t.nonce,
		FormerMs: m.formerGrantsLeft(t).Milliseconds(),
	})
	if err == nil {
		err = t.append(ctx, m.cfg.Store, []chestnutpond.KeyedRecord{record})
	}
	if err != nil {
		m.cfg.Log.Warn("cannot release the term", "epoch", t.epoch, "error", err)
		return
	}
	m.cfg.Log.Info("term released", "epoch", t.epoch)
}

var _ feed.Receiver = (*Manager)(nil)
