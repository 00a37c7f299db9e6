package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/dials"
	"github.com/chestnutpond/chestnutpond/internal/node/peers"
	"github.com/chestnutpond/chestnutpond/internal/node/sched"
	"github.com/chestnutpond/chestnutpond/internal/node/serve"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry")

const (
	// noticeTime is how long a stopping entry serves on after its readiness
	// check began to fail, so that the balancer can take it out.
	noticeTime = time.Second
	// drainLimit bounds the wait for open requests. It is above the longest
	// timeout of a request.
	drainLimit = 30 * time.Second
	// closeLimit bounds the closing of the listeners after that.
	closeLimit = 2 * time.Second
	// fleetSettle is above the time in which the agents of a fleet that starts
	// announce themselves.
	fleetSettle = 5 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// maxInnerMessage bounds an inner message, in bytes.
	maxInnerMessage = 64 << 20
)

// Operator may publish documents and see everything.
type Operator struct {
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the operator's bearer token.
	TokenSHA256 string
}

// Config makes an Entry.
type Config struct {
	Name   string
	Region string
	Zone   string
	// Incarnation grows with each start of the process.
	Incarnation int64
	// Listen is the address for HTTP, InnerListen the one for gRPC.
	Listen      string
	InnerListen string
	// Advertise is the inner address that others dial; empty means InnerListen
	// as it was bound.
	Advertise string
	// Entries are inner addresses of known entries.
	Entries   []string
	Log       chestnutpond.Log
	Operators []Operator
	// ParseDocument reads a service document. It is called for each publication
	// and again when the document comes into force.
	ParseDocument func(name string, data []byte) (chestnutpond.Document, error)
	Events        *events.Ring
	Metrics       *stats.Registry
	Logs          *slogs.Log
	// FleetSettle is how long the accelerators of a region must be unchanged
	// before a document is refused for guaranteeing more; zero means 5 s.
	FleetSettle time.Duration
	// ServerTLS and ClientTLS secure the inner protocol; nil means plaintext.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Entry is the process.
type Entry struct {
	cfg    Config
	log    *slog.Logger
	outer  net.Listener
	inner  net.Listener
	origin ledger.Origin

	// events links the events of each job.
	events *events.Trail
	pool   *dials.Pool
	tail   *tail.Tail
	group  *peers.Group
	serve  *serve.Server
	sched  *sched.Manager

	stopping atomic.Bool

	// mu guards the fields below; no other lock is taken under it.
	mu       sync.Mutex
	document chestnutpond.Document
	// accelerators holds those of each agent, fleetChanged when the sum of a
	// region changed last.
	accelerators map[string]int32
	fleetChanged map[string]time.Time
	raw          []byte
}

// New binds the listeners and wires the parts. It fails when an address cannot
// be bound.
func New(cfg Config) (*Entry, error) {
	outer, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	in, err := net.Listen("tcp", cfg.InnerListen)
	if err != nil {
		_ = outer.Close()
		return nil, Error.Wrap(err)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = in.Addr().String()
	}
	if cfg.FleetSettle == 0 {
		cfg.FleetSettle = fleetSettle
	}
	e := &Entry{
		accelerators: make(map[string]int32), fleetChanged: make(map[string]time.Time),
		cfg: cfg, log: cfg.Logs.Logger("entry"), outer: outer, inner: in,
		events: events.NewTrail(cfg.Events),
		origin: ledger.Origin{Process: cfg.Name, Incarnation: cfg.Incarnation},
	}
	e.wire()
	return e, nil
}

func (e *Entry) wire() {
	cfg := e.cfg
	e.pool = dials.New(dials.Config{
		TLS: cfg.ClientTLS, Probe: probe, Events: cfg.Events, Metrics: cfg.Metrics,
	})
	e.tail = tail.New(tail.Config{
		Log: cfg.Log, Origin: e.origin, Events: cfg.Events, Logger: cfg.Logs.Logger("tail"), Metrics: cfg.Metrics,
		Sync: e.syncFromPeer, OnChange: e.logChanged, OnReplace: e.logReplaced,
	})
	e.group = peers.New(peers.Config{
		Self: fleet.Peer{
			Name: cfg.Name, Incarnation: cfg.Incarnation, Address: cfg.Advertise, Region: cfg.Region, Zone: cfg.Zone,
		},
		Entries: cfg.Entries, Dialer: e.pool, Tail: e.tail, Listener: e, Habits: e,
		Events: cfg.Events, Logger: cfg.Logs.Logger("peers"), Metrics: cfg.Metrics,
	})
	e.serve = serve.New(serve.Config{
		Origin: e.origin, Region: cfg.Region, Zone: cfg.Zone, Seed: uint64(cfg.Incarnation),
		Tail: e.tail, Dialer: e.pool, Members: e.group, Events: cfg.Events,
		Logger: cfg.Logs.Logger("serve"), Metrics: cfg.Metrics,
	})
	e.sched = sched.New(sched.Config{
		Origin: e.origin, Region: cfg.Region, Seed: uint64(cfg.Incarnation), Tail: e.tail, Members: e.group,
		Dialer: e.pool, Events: e.events, Logger: cfg.Logs.Logger("sched"), Metrics: cfg.Metrics,
	})
	e.gauges()
}

func (e *Entry) gauges() {
	m := e.cfg.Metrics
	m.GaugeFunc("config_version", "Version of the document in force.", func() int64 { return e.ConfigVersion() })
	m.GaugeFunc("log_available", "1 while the log service answers.", func() int64 { return flag(e.tail.Available()) })
	m.GaugeFunc("requests_open", "Requests that are not answered yet.", func() int64 { return int64(e.serve.Open()) })
	m.GaugeFunc("agents_homed", "Agents whose home is this entry.", func() int64 { return int64(e.group.Homed()) })
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// probe asks the process behind a connection for a sign of life. Entries do not
// serve Ping; their refusal is a sign of life too.
func probe(ctx context.Context, conn grpc.ClientConnInterface) error {
	_, err := inner.NewAgentClient(conn).Ping(ctx, &inner.PingRequest{})
	if err != nil && ctx.Err() == nil {
		return nil
	}
	return err
}

// Addr returns the address of the HTTP listener.
func (e *Entry) Addr() string { return e.outer.Addr().String() }

// InnerAddr returns the address that other processes dial.
func (e *Entry) InnerAddr() string { return e.cfg.Advertise }

// ConfigVersion returns the version of the document in force.
func (e *Entry) ConfigVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document.Version
}

// Run serves until ctx ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var actors run.Group
	for _, loop := range []func(context.Context) error{
		e.pool.Run, e.tail.Run, e.group.Run, e.serve.Run, e.sched.Run,
	} {
		e.addLoop(work, stop, &actors, loop)
	}
	snapshots := tail.NewSnapshots(tail.SnapshotConfig{Tail: e.tail, Mine: e.writesSnapshots})
	e.addLoop(work, stop, &actors, snapshots.Run)
	e.addInner(&actors)
	e.addHTTP(&actors)
	actors.Add(func() error { return e.drainAfter(ctx, work) }, func(error) { stop() })
	e.log.Info("entry: started", "listen", e.Addr(), "inner", e.InnerAddr())
	return actors.Run()
}

// addLoop adds an actor that ends with work. A loop that ends earlier without
// an error stays out of the way.
func (e *Entry) addLoop(
	work context.Context, stop context.CancelFunc, actors *run.Group, loop func(context.Context) error,
) {
	actors.Add(func() error {
		err := loop(work)
		if err != nil {
			e.log.Error("entry: part stopped", "error", err)
		}
		<-work.Done()
		return nil
	}, func(error) { stop() })
}

func (e *Entry) addInner(actors *run.Group) {
	options := append(conns.ServerOptions(),
		grpc.MaxRecvMsgSize(maxInnerMessage), grpc.MaxSendMsgSize(maxInnerMessage),
		// The pings also end Announce streams that went silent, one for each time
		// that an agent connected again.
		conns.Pings(),
	)
	if e.cfg.ServerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.cfg.ServerTLS)))
	}
	server := grpc.NewServer(options...)
	inner.RegisterEntryServer(server, &innerServer{entry: e})
	actors.Add(func() error { return server.Serve(e.inner) }, func(error) { server.Stop() })
}

func (e *Entry) addHTTP(actors *run.Group) {
	server := &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout}
	actors.Add(func() error {
		err := server.Serve(e.outer)
		if err == http.ErrServerClosed {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

// Ready reports whether the entry can take work.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.tail.Loaded() && e.ConfigVersion() > 0
}

// writesSnapshots reports whether this entry holds the term of the region whose
// name sorts first.
func (e *Entry) writesSnapshots() bool {
	mine := false
	e.tail.View(func(st *ledger.State) {
		terms := st.Terms()
		mine = len(terms) > 0 && terms[0].Held(e.origin)
	})
	return mine
}

// AgentChanged passes a row on to the parts.
func (e *Entry) AgentChanged(row fleet.Row) {
	e.noteFleet(row)
	e.serve.AgentChanged(row)
	e.sched.AgentChanged(row)
}

// noteFleet notes when the accelerators of a region changed.
func (e *Entry) noteFleet(row fleet.Row) {
	name, count := row.Member.GetName(), row.Member.GetAccelerators()
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, known := e.accelerators[name]; known && old == count {
		return
	}
	e.accelerators[name] = count
	e.fleetChanged[row.Member.GetRegion()] = time.Now()
}

// Habits returns what callers usually get at this entry.
func (e *Entry) Habits() *inner.Habits { return e.serve.Habits() }

// LearnHabits takes over what another entry knows of callers.
func (e *Entry) LearnHabits(list *inner.Habits) bool { return e.serve.LearnHabits(list) }

// AgentForgotten tells the parts that an agent left the table.
func (e *Entry) AgentForgotten(name string) {
	e.mu.Lock()
	delete(e.accelerators, name)
	e.mu.Unlock()
	e.serve.AgentForgotten(name)
	e.sched.AgentForgotten(name)
}

func (e *Entry) logChanged(c ledger.Change) {
	if c.Kind == ledger.ChangeConfig {
		e.adopt()
	}
	e.noteJob(c)
	e.sched.LogChanged(c)
	e.group.LogChanged(c)
}

// noteJob records what callers of this entry did to a job. It comes before the
// scheduler hears of the change, whose events name this one as their cause.
func (e *Entry) noteJob(c ledger.Change) {
	if c.By != e.origin {
		return
	}
	kind := chestnutpond.EventAccepted
	switch {
	case c.Kind == ledger.ChangeAccepted:
	case c.Cancel:
		kind = chestnutpond.EventCancelled
	default:
		return
	}
	job, _ := e.lookupJob(c.Job)
	e.events.Add(chestnutpond.Event{Kind: kind, Job: c.Job, Account: job.Spec.Account})
}

func (e *Entry) logReplaced() {
	e.adopt()
	e.sched.LogReplaced()
	e.group.LogChanged(ledger.Change{})
}

// adopt puts the newest document in force. A document that this release cannot
// read leaves the former one in force.
func (e *Entry) adopt() {
	var config ledger.Config
	var ok bool
	e.tail.View(func(st *ledger.State) { config, ok = st.Current() })
	if !ok || config.Version <= e.ConfigVersion() {
		return
	}
	doc, err := e.cfg.ParseDocument("document", config.Document)
	if err != nil {
		e.log.Error("entry: document not readable", "version", config.Version, "error", err)
		return
	}
	doc = doc.WithVersion(config.Version)
	e.mu.Lock()
	e.document = doc
	e.raw = config.Document
	e.mu.Unlock()
	e.serve.SetDocument(doc)
	e.sched.SetDocument(doc)
	e.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventConfigInForce, Detail: versionText(doc.Version)})
	e.log.Info("entry: configuration in force", "version", doc.Version)
}

func (e *Entry) current() (chestnutpond.Document, []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document, e.raw
}
