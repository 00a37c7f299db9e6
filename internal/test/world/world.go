// Package world runs whole deployments of entries and agents in one process, for
// tests: the processes are the real ones, the network, the store and the workers
// are stand-ins in memory. Inside a testing/synctest bubble it runs in virtual
// time.
//
// Processes can be killed and started again, cut off from each other or from the
// store, and workers can be made to misbehave. The stand-ins of the workers keep
// the history that the promises are checked against.
package world

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/node/fleet"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const (
	// Lease is the longest lease of the workers.
	Lease = 6 * time.Second
	// StopTime is how long a run takes to stop.
	StopTime = 200 * time.Millisecond
	// beatEvery is how often workers report.
	beatEvery = 1500 * time.Millisecond
	service   = "cotizador"
	// maxRecord and maxCall are the store's bounds of a record and a call in bytes.
	maxRecord = 256 << 10
	maxCall   = 2 << 20
)

// Config configures a World.
type Config struct {
	Entries int
	Workers int
	// Racks is the number of racks that the workers are spread over.
	Racks int
	// Zones is the number of zones that the workers are spread over, at least 1.
	Zones int
	// EvacuationDelay is how long starts in a zone are tolerated after the request for its
	// evacuation.
	EvacuationDelay time.Duration
	// Service is that of the workers; empty means a default.
	Service  string
	Capacity chestnutpond.Resources
	Model    func(ref chestnutpond.TaskRef) stand.TaskModel
	Document chestnutpond.Document
	// Adviser is nil where no queue needs advice. Each worker takes only starts with
	// its own name as their ticket where there is one.
	Adviser chestnutpond.Adviser
	// Out receives the logs; nil drops them.
	Out io.Writer
	// MaxRecord bounds a record of the store in bytes; zero means that of the platform.
	MaxRecord int
	// Policy switches parts of the leaders' planners.
	Policy plan.Policy
	// Admission makes entries reject jobs that could not end in time.
	Admission bool
	// Wall is the entries' time of day; nil means that of the machine.
	Wall func() time.Time
}

// World is a deployment.
type World struct {
	cfg     Config
	Store   *stand.KeyedStore
	Fleet   *stand.TaskFleet
	net     *network
	ctx     context.Context
	Entries []*Entry
	Agents  []*Agent
	began   time.Time
}

// Entry is an entry of a world.
type Entry struct {
	world *World
	Name  string
	// Way is the entry's way to the store.
	Way *stand.StoreCaller

	mu   sync.Mutex
	node *fleet.Entry
	stop context.CancelFunc
	done chan struct{}
}

// Agent is an agent of a world, with its worker.
type Agent struct {
	world  *World
	Name   string
	Worker *stand.TaskWorker
	Way    *stand.StoreCaller

	mu   sync.Mutex
	node *fleet.Agent
	stop context.CancelFunc
	done chan struct{}
	// quiet holds the worker's reports back.
	quiet bool
}

// New starts a deployment. It ends with the context.
func New(ctx context.Context, c Config) *World {
	if c.Out == nil {
		c.Out = io.Discard
	}
	if c.Wall == nil {
		c.Wall = time.Now
	}
	if c.MaxRecord == 0 {
		c.MaxRecord = maxRecord
	}
	if c.Racks == 0 {
		c.Racks = 1
	}
	c.Zones = max(1, c.Zones)
	if c.Service == "" {
		c.Service = service
	}
	w := &World{
		cfg: c, Store: stand.NewKeyedStore(), Fleet: stand.NewTaskFleet(c.Model), net: newNetwork(), ctx: ctx,
		began: time.Now(),
	}
	w.Store.Delay = 5 * time.Millisecond
	w.Store.MaxRecord, w.Store.MaxCall = c.MaxRecord, maxCall
	w.Publish(c.Document)
	for i := range c.Entries {
		e := &Entry{world: w, Name: fmt.Sprintf("entry-%d", i+1), Way: &stand.StoreCaller{Store: w.Store}}
		w.Entries = append(w.Entries, e)
	}
	for i := range c.Workers {
		a := &Agent{world: w, Name: fmt.Sprintf("agent-%d", i+1), Way: &stand.StoreCaller{Store: w.Store}}
		ticket := ""
		if c.Adviser != nil {
			ticket = fmt.Sprintf("worker-%d", i+1)
		}
		a.Worker = stand.NewTaskWorker(stand.TaskWorkerConfig{
			Ticket: ticket,
			Fleet:  w.Fleet, ID: fmt.Sprintf("worker-%d", i+1), Service: c.Service, Zone: fmt.Sprintf("zone-%d", i%c.Zones+1),
			Rack: fmt.Sprintf("rack-%d", i%c.Racks+1), Labels: []string{"a", fmt.Sprintf("rack-%d", i%c.Racks+1)},
			Capacity: c.Capacity, Lease: Lease, StopTime: StopTime, GangTimeout: 3 * time.Second,
		})
		w.Agents = append(w.Agents, a)
	}
	for _, e := range w.Entries {
		e.Start()
	}
	for _, a := range w.Agents {
		a.Start()
		go a.loop(ctx)
	}
	return w
}

func (w *World) base(name string, way *stand.StoreCaller, listener net.Listener) fleet.Base {
	seeds := []string{}
	for i := range w.cfg.Entries {
		seeds = append(seeds, addressOf(fmt.Sprintf("entry-%d", i+1)))
	}
	return fleet.Base{
		Name: name, Zone: "zone-1", Region: "region-1", Address: addressOf(name), Entries: seeds, Direct: way, Recheck: stand.FreshCaller{StoreCaller: way},
		Listener: listener, Dial: w.net.dialer(name), Now: func() time.Duration { return time.Since(w.began) },
		Logs:  slogs.New(slogs.Config{Out: w.cfg.Out, RepeatLimit: 1 << 30}),
		Lease: Lease,
	}
}

// Start starts the entry's process.
func (e *Entry) Start() {
	w := e.world
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, stop := context.WithCancel(w.ctx)
	node := fleet.NewEntry(fleet.EntryConfig{
		Base: w.base(e.Name, e.Way, w.net.listen(e.Name)), ParseDocument: w.parse, Wall: w.cfg.Wall,
		ParseEvacuation: func(key string) (string, bool) { return strings.CutPrefix(key, evacuationPrefix) },
		EvacuationDelay: w.cfg.EvacuationDelay,
		MaxRecord:       w.cfg.MaxRecord, Retention: 2 * time.Minute, RemoteSlowdown: 3, RestoreTime: 100 * time.Millisecond, Adviser: w.cfg.Adviser,
		Policy:    w.cfg.Policy,
		Admission: w.cfg.Admission,
	})
	done := make(chan struct{})
	e.node, e.stop, e.done = node, stop, done
	r := &process{run: node.Run, done: done}
	go r.loop(ctx)
}

// process runs a node until its context ends.
type process struct {
	run  func(ctx context.Context) error
	done chan struct{}
}

func (p *process) loop(ctx context.Context) {
	defer close(p.done)
	// The error is that of the context.
	_ = p.run(ctx)
}

// Kill ends the process at once; others see their connections closed.
func (e *Entry) Kill() {
	e.mu.Lock()
	e.node = nil
	stop, done := e.stop, e.done
	// A goroutine that waits for the lock would keep virtual time from passing.
	e.mu.Unlock()
	stop()
	e.world.net.reset(e.Name)
	<-done
}

// Node returns the process.
func (e *Entry) Node() *fleet.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node
}

// CutOff holds up everything between the entry and all other processes.
func (e *Entry) CutOff() { e.world.cutOff(e.Name) }

// Heal ends all cuts of the entry.
func (e *Entry) Heal() { e.world.net.heal(e.Name) }

func (w *World) cutOff(host string) {
	for _, e := range w.Entries {
		if e.Name != host {
			w.net.cut(host, e.Name)
		}
	}
	for _, a := range w.Agents {
		if a.Name != host {
			w.net.cut(host, a.Name)
		}
	}
}

// Start starts the agent's process.
func (a *Agent) Start() {
	w := a.world
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, stop := context.WithCancel(w.ctx)
	node := fleet.NewAgent(fleet.AgentConfig{
		Base: w.base(a.Name, a.Way, w.net.listen(a.Name)), Runner: a.Worker, Service: w.cfg.Service,
	})
	done := make(chan struct{})
	a.node, a.stop, a.done = node, stop, done
	r := &process{run: node.Run, done: done}
	go r.loop(ctx)
}

// Kill ends the agent's process; the worker goes on.
func (a *Agent) Kill() {
	a.mu.Lock()
	a.node = nil
	stop, done := a.stop, a.done
	a.mu.Unlock()
	stop()
	a.world.net.reset(a.Name)
	<-done
}

// CutOff holds up everything between the agent and the entries.
func (a *Agent) CutOff() { a.world.cutOff(a.Name) }

// Heal ends all cuts of the agent.
func (a *Agent) Heal() { a.world.net.heal(a.Name) }

// loop sends the worker's reports to the agent.
func (a *Agent) loop(ctx context.Context) {
	for {
		a.Report()
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatEvery):
		}
	}
}

// Report sends one report of the worker to the agent.
func (a *Agent) Report() bool {
	a.mu.Lock()
	node, quiet := a.node, a.quiet
	a.mu.Unlock()
	if node == nil || quiet {
		return false
	}
	info := a.Worker.Info()
	confirmed := node.Reports().HandleReport(a.world.ctx, info)
	if confirmed {
		a.Worker.ConfirmReport(info.Incarnation())
	}
	return confirmed
}

// ReportOf sends a report of another writer to the agent.
func (a *Agent) ReportOf(info chestnutpond.WorkerInfo) bool {
	return a.Node().Reports().HandleReport(a.world.ctx, info)
}

// LeaveOf sends a leave to the agent; a zero start time is one that is not stated.
func (a *Agent) LeaveOf(life chestnutpond.WorkerIncarnation) { a.Node().Reports().HandleLeave(life) }

// Node returns the process.
func (a *Agent) Node() *fleet.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node
}

// SetQuiet holds the worker's reports back.
func (a *Agent) SetQuiet(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quiet = on
}

// Leader returns the entry that leads, or nil.
func (w *World) Leader() *Entry {
	for _, e := range w.Entries {
		if n := e.Node(); n != nil && n.Leads() {
			return e
		}
	}
	return nil
}

// Ready reports whether the entry's process runs and takes calls.
func (e *Entry) Ready() bool {
	n := e.Node()
	return n != nil && n.Intake().Ready()
}

// Submit hands a job in at an entry, on the document's first queue.
func (e *Entry) Submit(id string, g chestnutpond.Graph) chestnutpond.CallResult {
	ctx, cancel := context.WithTimeout(e.world.ctx, 3*time.Second)
	defer cancel()
	g.ID = chestnutpond.JobID(id)
	return e.Node().Intake().Submit(ctx, e.target(), g)
}

// Cancel cancels a job at an entry.
func (e *Entry) Cancel(id string) chestnutpond.CallResult {
	ctx, cancel := context.WithTimeout(e.world.ctx, 3*time.Second)
	defer cancel()
	return e.Node().Intake().Cancel(ctx, e.target(), chestnutpond.JobID(id))
}

// State returns what an entry shows of a job.
func (e *Entry) State(id string) (chestnutpond.JobState, chestnutpond.CallResult) {
	ctx, cancel := context.WithTimeout(e.world.ctx, 3*time.Second)
	defer cancel()
	return e.Node().Intake().State(ctx, e.target(), chestnutpond.JobID(id))
}

func (e *Entry) target() chestnutpond.RouteTarget {
	queue := *e.world.cfg.Document.Kinds[0].Queue
	return chestnutpond.RouteTarget{Queue: queue, Account: e.world.cfg.Document.Accounts[0].Name}
}

// Until waits until the condition holds, at most for the limit, and reports
// whether it does.
func (w *World) Until(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if holds() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return holds()
}

// Ended waits until every entry shows the state of a job.
func (w *World) Ended(limit time.Duration, id string, want chestnutpond.JobState) bool {
	return w.Until(limit, func() bool {
		for _, e := range w.Entries {
			if !e.Ready() {
				continue
			}
			if state, _ := e.State(id); state != want {
				return false
			}
		}
		return true
	})
}
