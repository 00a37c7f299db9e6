// Package lead makes one entry at a time the leader, which places tasks for the
// whole deployment.
//
// A leader is the entry whose claim is the newest in the topic work. A claim is
// an append that is conditional on the end of the topic, so two entries cannot
// both succeed, and the claimant has read all that was stored before it. The
// claim raises the producer's epoch, so the store refuses records of former
// leaders, and workers refuse orders with a lower fence. No clock decides who
// leads; clocks only decide when it is worth trying.
//
// A Manager is the part of an entry that follows the topic, claims, and leads.
// Its one lock guards the table of jobs, the planner and the agents' streams; no
// other lock is taken under it but the roster's.
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
	"github.com/chestnutpond/chestnutpond/internal/node/feed"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("lead")

const (
	// beatEvery is how often a leader repeats its claim's record.
	beatEvery = 500 * time.Millisecond
	// grantLimit is how long a leader grants leases after the store last
	// confirmed its claim. Outages of the store take up to 5 s on most days, and
	// a work that is killed in one starts again from the beginning.
	grantLimit = 8 * time.Second
	// tickEvery bounds the time between two looks at leases and schedules.
	tickEvery = 50 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	// Self is the entry's own row.
	Self *inner.EntryRow
	// Boot names this start of the process.
	Boot   string
	Store  chestnutpond.Store
	Mesh   *mesh.Mesh
	Roster *roster.Roster
	// Direct reports whether the entry's own way to the store works.
	Direct func() bool
	Now    func() time.Duration
	Wall   func() time.Time
	Log    *slog.Logger
	// Lease is the longest lease that workers take.
	Lease time.Duration
	// Keep is how long an ended job is shown.
	Keep      time.Duration
	FarFactor float64
	Restore   time.Duration
	// Metrics counts what the leader decides.
	Metrics *stats.Registry
	// Adviser is nil where no queue needs advice.
	Adviser chestnutpond.Adviser
}

// Manager follows the topic work and leads when it is this entry's turn. It is
// safe for concurrent use.
type Manager struct {
	inner.UnimplementedLeadServer

	cfg    Config
	feed   *feed.Feed
	wake   chan struct{}
	meters *meters
	// inquire is signalled when the planner may want advice.
	inquire chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	table    *graph.Table
	document chestnutpond.Document
	// term is nil unless this entry leads.
	term *term
	// streams has the newest stream of each agent.
	streams map[string]*stream
	// stopping means that the process is about to end and claims no more.
	stopping bool
	// ceding is the epoch of a term that ended because of a newer claim, until the
	// store has a record of that; otherwise 0.
	ceding int64
	// suspicion is what speaks against the current leader.
	suspicion suspicion
	// watches has a channel for each job that a caller waits for. It is closed when
	// a record of the job is applied.
	watches map[chestnutpond.JobID]chan struct{}
}

// New returns a manager that has read nothing.
func New(c Config) *Manager {
	m := &Manager{
		cfg: c, wake: make(chan struct{}, 1), table: graph.New(), streams: map[string]*stream{},
		meters: newMeters(c.Metrics), inquire: make(chan struct{}, 1),
		watches: map[chestnutpond.JobID]chan struct{}{},
	}
	m.feed = feed.New(feed.Config{
		Store: c.Store, Topic: chestnutpond.TopicWork, Receiver: m, Now: c.Now, Log: c.Log,
	})
	return m
}

// Feed returns the feed of the topic work.
func (m *Manager) Feed() *feed.Feed { return m.feed }

// Apply takes records of the topic work. It implements feed.Receiver.
func (m *Manager) Apply(records []chestnutpond.KeyedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		before := m.table.Leader().GetEpoch()
		ceded := m.table.Ceded()
		id, err := m.table.Apply(r)
		if err != nil {
			m.cfg.Log.Error("record left out", "offset", r.Offset, "error", err)
			continue
		}
		if l := m.table.Leader(); l.GetEpoch() != before {
			m.cfg.Log.Info("leader changed", "epoch", l.GetEpoch(), "leader", l.GetEntry().GetName(), "offset", r.Offset)
			m.leaderChanged()
		} else if l.GetReleased() && l.Offset == r.Offset {
			m.wakeUp()
		}
		if m.table.Ceded() > ceded {
			m.formerCeded()
		}
		if id != "" {
			m.offer(m.table.Job(id))
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

// offer hands a changed job to the planner of the current term.
func (m *Manager) offer(j *graph.Job) {
	if m.term == nil || j == nil {
		return
	}
	m.term.planner.Accept(j.Graph)
	if j.Cancelled {
		m.term.planner.Cancel(m.cfg.Now(), j.ID)
	}
	m.wakeUp()
}

// leaderChanged ends the own term if another entry has claimed.
func (m *Manager) leaderChanged() {
	m.suspicion = suspicion{}
	if m.term != nil && m.table.Leader().GetEpoch() > m.term.epoch {
		m.stepDown("another entry has claimed")
	}
	m.notifyStreams()
	m.wakeUp()
}

// formerCeded shortens the wait for runs that nobody can reach, if the leader
// before this one has said that it grants no more.
func (m *Manager) formerCeded() {
	if m.term == nil || m.table.Ceded() < m.term.epoch-1 {
		return
	}
	now := m.cfg.Now()
	m.term.formerUntil = min(m.term.formerUntil, max(now, m.term.chainUntil))
	m.term.planner.FormerStopped(m.term.formerUntil)
	m.cfg.Log.Info("former leader has ceded", "epoch", m.term.epoch, "former_grants", m.formerLeft(m.term))
}

// stepDown ends the own term.
func (m *Manager) stepDown(why string) {
	if m.term == nil {
		return
	}
	m.cfg.Log.Warn("term is over", "epoch", m.term.epoch, "reason", why)
	m.ceding = m.term.epoch
	m.term = nil
	m.meters.termEnded()
	m.notifyStreams()
}

// SetDocument replaces the operators' document.
func (m *Manager) SetDocument(d chestnutpond.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.document = d
	if m.term != nil {
		m.term.planner.SetDocument(d)
	}
	m.wakeUp()
}

// JobView is what a caller may know of a job.
type JobView struct {
	Account string
	State   chestnutpond.JobState
	// Lasting jobs run until they are cancelled, or at set times.
	Lasting bool
}

// Job returns a job. The second result is false if it is not known.
func (m *Manager) Job(id chestnutpond.JobID) (JobView, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.table.Job(id)
	if j == nil {
		return JobView{}, false
	}
	lasting := j.Graph.Schedule.Repetitions > 0 ||
		slices.ContainsFunc(j.Graph.Steps, func(s chestnutpond.Step) bool { return s.Perpetual })
	return JobView{Account: j.Graph.Account, State: j.Phase(), Lasting: lasting}, true
}

// maxWatches bounds the jobs that callers wait for at a time.
const maxWatches = 1024

// Watch returns a channel that is closed when a record of the job is applied. It is
// nil, and never ready, while too many jobs are watched. Unwatch ends the watch.
func (m *Manager) Watch(id chestnutpond.JobID) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watches[id] == nil {
		if len(m.watches) >= maxWatches {
			return nil
		}
		m.watches[id] = make(chan struct{})
	}
	return m.watches[id]
}

// Unwatch ends the watches of a job. Callers that still wait for it look again.
func (m *Manager) Unwatch(id chestnutpond.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifyWatch(id)
}

// notifyWatch wakes those who wait for a job. The lock is held.
func (m *Manager) notifyWatch(id chestnutpond.JobID) {
	if watch := m.watches[id]; watch != nil {
		close(watch)
		delete(m.watches, id)
	}
}

// Waiting returns the number of a queue's jobs of which no task has started.
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

// wakeUp has the loop look at what changed.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run claims and leads until the context ends, and then gives up the term. The
// feed has to run beside it.
func (m *Manager) Run(ctx context.Context) error {
	p := &prober{manager: m}
	go p.loop(ctx)
	if m.cfg.Adviser != nil {
		q := &inquirer{manager: m}
		go q.loop(ctx)
	}
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-timer.C:
		}
		if m.leading() != nil {
			m.advance(ctx)
		} else {
			m.cede(ctx)
			m.consider(ctx)
		}
		timer.Reset(tickEvery)
	}
}

// cede tells the successor that this entry grants no more leases.
func (m *Manager) cede(ctx context.Context) {
	m.mu.Lock()
	epoch := m.ceding
	m.mu.Unlock()
	if epoch == 0 {
		return
	}
	record, err := graph.CededRecord(epoch)
	if err == nil {
		_, err = m.cfg.Store.Append(ctx, chestnutpond.TopicWork, chestnutpond.KeyedAppend{
			Records: []chestnutpond.KeyedRecord{record},
		})
	}
	if err != nil {
		m.cfg.Log.Warn("end of the term could not be written", "epoch", epoch, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ceding == epoch {
		m.ceding = 0
	}
}

func (m *Manager) leading() *term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

// Leads reports whether this entry leads.
func (m *Manager) Leads() bool { return m.leading() != nil }

// Release gives up the term, so that another entry can claim at once, and keeps
// this one from claiming again.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	t := m.term
	m.stepDown("this process is about to stop")
	m.mu.Unlock()
	if t == nil {
		return
	}
	select {
	case <-t.turn:
	case <-ctx.Done():
		m.cfg.Log.Warn("term could not be released: an append is under way", "epoch", t.epoch)
		return
	}
	defer t.endTurn()
	record, err := graph.LeaderRecord(&inner.LeaderRecord{
		Epoch: t.epoch, Entry: m.cfg.Self, Boot: m.cfg.Boot, Released: true, Nonce: t.nonce,
		FormerMs: m.formerLeft(t).Milliseconds(),
	})
	if err == nil {
		err = t.append(ctx, m.cfg.Store, []chestnutpond.KeyedRecord{record})
	}
	if err != nil {
		m.cfg.Log.Warn("term could not be released", "epoch", t.epoch, "error", err)
		return
	}
	m.cfg.Log.Info("term released", "epoch", t.epoch)
}

var _ feed.Receiver = (*Manager)(nil)
