// Package fleet assembles the two processes that place and run graphs of tasks.
//
// An Entry is a front, the part that leads when it is the entry's turn, and what
// both need: ways to the store, the list of entries, and the inner protocol. An
// Agent is what runs beside a worker. Neither knows the platform: the store, the
// worker and the documents come in through interfaces.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/feed"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/node/relay"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// rosterWait is how long a read waits for the address of an entry. Only a
// replaced entry writes one, and others learn of it from agents, too.
const rosterWait = 2 * time.Second

// Base is what both processes have.
type Base struct {
	Name   string
	Zone   string
	Region string
	// Address is where others reach the inner protocol.
	Address string
	// Entries are addresses of entries; they may be stale.
	Entries []string
	// Direct is the process's own way to the store.
	Direct chestnutpond.Store
	// Listener is where the inner protocol is served.
	Listener net.Listener
	// Dial opens connections of the inner protocol; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Now  func() time.Duration
	Logs *slogs.Log
	// Lease is the longest lease that workers take.
	Lease time.Duration
	// Metrics has the process's metrics; nil keeps them to the process.
	Metrics *stats.Registry
}

// process is what both processes are made of.
type process struct {
	base   Base
	boot   string
	mesh   *mesh.Mesh
	roster *roster.Roster
	store  *relay.Store
	server *grpc.Server
}

// newProcess wires the parts that both processes have. Peers returns addresses
// of agents that may relay calls to the store, after the entries.
func newProcess(b Base, peers func() []string) *process {
	if b.Metrics == nil {
		b.Metrics = stats.New()
	}
	p := &process{
		base: b, boot: newBoot(), mesh: mesh.New(mesh.Config{Dial: b.Dial}), roster: roster.New(b.Name, b.Entries),
		server: grpc.NewServer(conns.ServerOptions()...),
	}
	p.store = relay.New(relay.Config{
		Direct: b.Direct, Mesh: p.mesh, Now: b.Now, Log: b.Logs.Logger("store"), Metrics: b.Metrics,
		Peers: func() []string { return append(p.roster.Others(b.Zone, b.Region), peers()...) },
	})
	inner.RegisterRelayServer(p.server, relay.NewServer(b.Direct))
	return p
}

// newBoot names a start of a process.
func newBoot() string {
	var b [8]byte
	// Read never fails on Linux.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Roster returns the list of entries.
func (p *process) Roster() *roster.Roster { return p.roster }

// Metrics returns the process's metrics.
func (p *process) Metrics() *stats.Registry { return p.base.Metrics }

// entries returns the feed of the list of entries.
func (p *process) entries() *feed.Feed {
	f := feed.New(feed.Config{
		Store: p.store, Topic: chestnutpond.TopicEntries, Receiver: p.roster, Wait: rosterWait, Now: p.base.Now,
		Log: p.base.Logs.Logger("roster"),
	})
	p.watch(chestnutpond.TopicEntries, f)
	return f
}

// watch exposes how old what a feed has read is.
func (p *process) watch(topic chestnutpond.Topic, f *feed.Feed) {
	p.base.Metrics.GaugeFunc("store_topic_age_milliseconds",
		"Time since the last read that brought the topic up to date.",
		func() int64 { return (p.base.Now() - f.Status().Fresh).Milliseconds() },
		stats.Label{Name: "topic", Value: string(topic)})
}

// addInner has the group serve the inner protocol.
func (p *process) addInner(g *run.Group) {
	g.Add(func() error { return Error.Wrap(p.server.Serve(p.base.Listener)) }, func(error) {
		p.server.Stop()
		p.mesh.Close()
	})
}

// addLoop has the group run a method until the context ends.
func addLoop(ctx context.Context, g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}
