// Package fleet assembles the two processes that schedule and run jobs.
//
// An Entry consists of a jobsvc.Service, which handles client calls, a lead.Manager, which
// takes part in the election of the leader, and the parts that both need:
// connections to the store, the list of entries, and the inner protocol. An Agent
// is the sidecar process of a worker. Neither depends on the platform: the store,
// the worker and the documents are passed in through interfaces.
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
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// rosterReadWait is how long a read waits for a new entry address. Only an entry
// that was replaced writes one, and other processes also learn it from agents.
const rosterReadWait = 2 * time.Second

// Base is the configuration that both processes have.
type Base struct {
	Name   string
	Zone   string
	Region string
	// Address is where other processes reach the inner protocol.
	Address string
	// Entries are known addresses of entries; they may be stale.
	Entries []string
	// Direct is the process's direct connection to the store.
	Direct chestnutpond.Store
	// Recheck is a second connection to the store, for checks whether it responds again
	// after an outage; nil means Direct.
	Recheck chestnutpond.Store
	// Listener accepts connections of the inner protocol.
	Listener net.Listener
	// Dial opens connections of the inner protocol; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Now  func() time.Duration
	Logs *slogs.Log
	// Lease is the longest lease that workers accept.
	Lease time.Duration
	// Metrics receives the metrics of the process; if nil, they are kept in a
	// private registry.
	Metrics *stats.Registry
}

// process has the parts that both processes share.
type process struct {
	base   Base
	guard  *guard.Guard
	boot   string
	mesh   *mesh.Mesh
	roster *roster.Roster
	store  *relay.Store
	server *grpc.Server
}

// newProcess creates the parts that both processes share. Peers returns addresses
// of agents that may relay calls to the store; they are tried after the entries.
func newProcess(b Base, peers func() []string) *process {
	if b.Metrics == nil {
		b.Metrics = stats.New()
	}
	g := guard.New(guard.Config{Log: b.Logs.Logger("guard"), Metrics: b.Metrics})
	p := &process{
		base: b, guard: g, boot: newBootID(), mesh: mesh.New(mesh.Config{Dial: b.Dial}),
		roster: roster.New(roster.Config{Self: b.Name, Seeds: b.Entries, Log: b.Logs.Logger("roster")}),
		server: grpc.NewServer(append(conns.ServerOptions(), g.ServerOptions()...)...),
	}
	p.store = relay.New(relay.Config{
		Direct: b.Direct, Recheck: b.Recheck, Mesh: p.mesh, Now: b.Now, Log: b.Logs.Logger("store"), Metrics: b.Metrics,
		Peers: func() []string { return append(p.roster.PeerAddresses(b.Zone, b.Region), peers()...) },
	})
	inner.RegisterRelayServer(p.server, relay.NewServer(b.Direct))
	return p
}

// newBootID returns a random id for a start of the process.
func newBootID() string {
	var b [8]byte
	// Read never fails on Linux.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Roster returns the list of entries.
func (p *process) Roster() *roster.Roster { return p.roster }

// Metrics returns the process's metrics.
func (p *process) Metrics() *stats.Registry { return p.base.Metrics }

// entriesFeed returns the feed of the list of entries.
func (p *process) entriesFeed() *feed.Feed {
	f := feed.New(feed.Config{
		Store: p.store, Topic: chestnutpond.TopicEntries, Receiver: p.roster, Wait: rosterReadWait, Now: p.base.Now,
		Log: p.base.Logs.Logger("roster"), Guard: p.guard,
	})
	p.addAgeGauge(chestnutpond.TopicEntries, f)
	return f
}

// addAgeGauge adds a gauge of the time since a feed was last up to date.
func (p *process) addAgeGauge(topic chestnutpond.Topic, f *feed.Feed) {
	p.base.Metrics.GaugeFunc("store_topic_age_milliseconds",
		"Time since the last read that brought the topic up to date.",
		func() int64 { return (p.base.Now() - f.Status().Fresh).Milliseconds() },
		stats.Label{Name: "topic", Value: string(topic)})
}

// addServer adds the server of the inner protocol to the group.
func (p *process) addServer(g *run.Group) {
	g.Add(func() error { return Error.Wrap(p.server.Serve(p.base.Listener)) }, func(error) {
		p.server.Stop()
		p.mesh.Close()
	})
}

// addLoop adds a function to the group that runs until the context ends.
func addLoop(ctx context.Context, g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}
