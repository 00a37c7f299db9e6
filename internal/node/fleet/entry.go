package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/run"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/node/jobsvc"
	"github.com/chestnutpond/chestnutpond/internal/node/lead"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// registerInterval is how often an entry checks that the store has its address.
	registerInterval = 2 * time.Second
	// registerRetryDelay is the delay after a failed attempt to write the address.
	registerRetryDelay = 200 * time.Millisecond
	// releaseTimeout bounds the release of the term by a stopping process.
	releaseTimeout = time.Second
	// maxRelayAgents is the number of agents that may relay calls to the store for
	// an entry.
	maxRelayAgents = 3
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	Base

	// ParseDocument parses a record of the operators; the second result is false
	// for records of other kinds.
	ParseDocument func(key string, value []byte) (chestnutpond.Document, bool, error)
	// ParseEvacuation returns the zone of a request for an evacuation by its key; nil if zones
	// are not evacuated.
	ParseEvacuation func(key string) (string, bool)
	// EvacuationDelay is how long after the request for an evacuation starts in the zone are
	// tolerated; zero means that zones are not evacuated.
	EvacuationDelay time.Duration
	Wall            func() time.Time
	// MaxRecord bounds a record of the store in bytes; zero means no bound.
	MaxRecord int
	// Retention is how long an ended job stays visible.
	Retention      time.Duration
	RemoteSlowdown float64
	RestoreTime    time.Duration
	// Policy switches parts of the planner.
	Policy plan.Policy
	// Adviser is nil if no queue needs advice.
	Adviser chestnutpond.Adviser
	// Admission makes the leader compute forecasts of when work starts, and the entry reject
	// jobs that could not end in time. It has to be the same on all entries.
	Admission bool
}

// Entry is the process on an entry host. It handles client calls and takes part in
// the election of the leader.
type Entry struct {
	*process

	log     *slog.Logger
	manager *lead.Manager
	front   *jobsvc.Service
	row     *inner.EntryRow
}

// NewEntry returns an entry that is ready to run.
func NewEntry(c EntryConfig) *Entry {
	e := &Entry{
		log: c.Logs.Logger("entry"),
		row: &inner.EntryRow{Name: c.Name, Address: c.Address, Zone: c.Zone, Region: c.Region},
	}
	e.process = newProcess(c.Base, func() []string { return e.manager.Agents(maxRelayAgents) })
	e.manager = lead.New(lead.Config{
		Self: e.row, Boot: e.boot, Store: e.store, Mesh: e.mesh, Roster: e.roster, Direct: e.store.DirectAvailable,
		Now: c.Now, WallClock: c.Wall, Log: c.Logs.Logger("lead"),
		Lease: c.Lease, Retention: c.Retention, RemoteSlowdown: c.RemoteSlowdown, RestoreTime: c.RestoreTime, Metrics: e.base.Metrics,
		Adviser: c.Adviser, Guard: e.guard, EvacuationDelay: c.EvacuationDelay,
		OperatorsFresh: func() time.Duration { return e.front.Feed().Status().Fresh },
		Policy:         c.Policy, MaxRecord: c.MaxRecord,
		Forecasts: c.Admission,
	})
	e.front = jobsvc.New(jobsvc.Config{
		Store: e.store, StoreLatency: e.store.Health, Lead: e.manager, ParseDocument: c.ParseDocument, ParseEvacuation: c.ParseEvacuation, Now: c.Now, WallClock: c.Wall,
		Log: c.Logs.Logger("front"), Metrics: e.base.Metrics, Guard: e.guard, MaxRecord: c.MaxRecord,
		Admission: c.Admission,
	})
	e.addAgeGauge(chestnutpond.TopicWork, e.manager.Feed())
	e.addAgeGauge(chestnutpond.TopicDesired, e.front.Feed())
	inner.RegisterLeadServer(e.server, e.manager)
	return e
}

// Intake returns the handler of client calls.
func (e *Entry) Intake() chestnutpond.GraphService {
	return jobsvc.WithMetrics(e.front, e.base.Metrics)
}

// Inspector returns the read-only view that the entry has of the deployment.
func (e *Entry) Inspector() chestnutpond.Inspector { return e.front }

// Forecaster returns the evaluation of jobs that are not submitted.
func (e *Entry) Forecaster() chestnutpond.PlacementForecaster { return e.front }

// Leads reports whether the entry is the leader.
func (e *Entry) Leads() bool { return e.manager.Leads() }

// Direct reports whether the entry's direct connection to the store works.
func (e *Entry) Direct() bool { return e.store.DirectAvailable() }

// Run runs the entry until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("process starts", "name", e.base.Name, "boot", e.boot, "zone", e.base.Zone, "address", e.base.Address)
	var g run.Group
	addLoop(ctx, &g, e.store.Run)
	addLoop(ctx, &g, e.front.Feed().Run)
	addLoop(ctx, &g, e.manager.Feed().Run)
	addLoop(ctx, &g, e.entriesFeed().Run)
	addLoop(ctx, &g, e.manager.Run)
	addLoop(ctx, &g, e.register)
	e.addServer(&g)
	err := g.Run()
	e.log.Info("process ends", "error", err)
	return err
}

// Leave makes the entry report itself as not ready and releases its term. The entry
// continues to serve until the context of Run ends.
func (e *Entry) Leave() {
	e.log.Info("process stops", "name", e.base.Name)
	e.front.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	e.manager.Release(ctx)
}

// register writes the entry's address to the store whenever the list of entries
// lacks it.
func (e *Entry) register(ctx context.Context) error {
	record, err := roster.Record(e.row)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		wait := registerInterval
		if !e.roster.Registered(e.row.GetName(), e.row.GetAddress()) {
			offset, err := e.store.Append(ctx, chestnutpond.TopicEntries, chestnutpond.KeyedAppend{
				Records: []chestnutpond.KeyedRecord{record},
			})
			if err != nil {
				e.log.Warn("cannot store the address of the entry", "error", err)
				wait = registerRetryDelay
			} else {
				record.Offset = offset
				e.roster.Apply([]chestnutpond.KeyedRecord{record})
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}
