package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/run"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/front"
	"github.com/chestnutpond/chestnutpond/internal/node/lead"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// registerEvery is how often an entry looks for its address in the store.
	registerEvery = 2 * time.Second
	// registerPause is the pause after a failed try to write it.
	registerPause = 200 * time.Millisecond
	// releaseLimit bounds the giving up of a term by a process that stops.
	releaseLimit = time.Second
	// relayAgents is the number of agents that may relay calls for an entry.
	relayAgents = 3
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	Base

	// ParseDocument reads a record of the operators; false for other records.
	ParseDocument func(key string, value []byte) (chestnutpond.Document, bool, error)
	Wall          func() time.Time
	// Keep is how long an ended job is shown.
	Keep      time.Duration
	FarFactor float64
	Restore   time.Duration
	// Adviser is nil where no queue needs advice.
	Adviser chestnutpond.Adviser
}

// Entry is the process on an entry host.
type Entry struct {
	*process

	log     *slog.Logger
	manager *lead.Manager
	front   *front.Front
	row     *inner.EntryRow
}

// NewEntry wires an entry.
func NewEntry(c EntryConfig) *Entry {
	e := &Entry{
		log: c.Logs.Logger("entry"),
		row: &inner.EntryRow{Name: c.Name, Address: c.Address, Zone: c.Zone, Region: c.Region},
	}
	e.process = newProcess(c.Base, func() []string { return e.manager.Agents(relayAgents) })
	e.manager = lead.New(lead.Config{
		Self: e.row, Boot: e.boot, Store: e.store, Mesh: e.mesh, Roster: e.roster, Direct: e.store.Direct,
		Now: c.Now, Wall: c.Wall, Log: c.Logs.Logger("lead"),
		Lease: c.Lease, Keep: c.Keep, FarFactor: c.FarFactor, Restore: c.Restore, Metrics: e.base.Metrics,
		Adviser: c.Adviser,
	})
	e.front = front.New(front.Config{
		Store: e.store, Answered: e.store.Answered, Lead: e.manager, ParseDocument: c.ParseDocument, Now: c.Now, Wall: c.Wall,
		Log: c.Logs.Logger("front"), Metrics: e.base.Metrics,
	})
	e.watch(chestnutpond.TopicWork, e.manager.Feed())
	e.watch(chestnutpond.TopicDesired, e.front.Feed())
	inner.RegisterLeadServer(e.server, e.manager)
	return e
}

// Intake returns what takes the calls of clients.
func (e *Entry) Intake() chestnutpond.Intake { return front.Metered(e.front, e.base.Metrics) }

// Inspector returns what shows the entry's view of the deployment.
func (e *Entry) Inspector() chestnutpond.Inspector { return e.front }

// Leads reports whether the entry leads.
func (e *Entry) Leads() bool { return e.manager.Leads() }

// Direct reports whether the entry's own way to the store works.
func (e *Entry) Direct() bool { return e.store.Direct() }

// Run runs the entry until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("process starts", "name", e.base.Name, "boot", e.boot, "zone", e.base.Zone, "address", e.base.Address)
	var g run.Group
	addLoop(ctx, &g, e.front.Feed().Run)
	addLoop(ctx, &g, e.manager.Feed().Run)
	addLoop(ctx, &g, e.entries().Run)
	addLoop(ctx, &g, e.manager.Run)
	addLoop(ctx, &g, e.register)
	e.addInner(&g)
	err := g.Run()
	e.log.Info("process ends", "error", err)
	return err
}

// Leave has the entry report itself not ready and give up its term. It serves on
// until the context of Run ends.
func (e *Entry) Leave() {
	e.log.Info("process stops", "name", e.base.Name)
	e.front.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	e.manager.Release(ctx)
}

// register writes the entry's address to the store whenever it is not there.
func (e *Entry) register(ctx context.Context) error {
	record, err := roster.Record(e.row)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		wait := registerEvery
		if e.roster.Address(e.row.GetName()) != e.row.GetAddress() {
			offset, err := e.store.Append(ctx, chestnutpond.TopicEntries, chestnutpond.KeyedAppend{
				Records: []chestnutpond.KeyedRecord{record},
			})
			if err != nil {
				e.log.Warn("address could not be written", "error", err)
				wait = registerPause
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
