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
	"github.com/chestnutpond/chestnutpond/internal/node/peers"
	"github.com/chestnutpond/chestnutpond/internal/node/pool"
	"github.com/chestnutpond/chestnutpond/internal/node/sched"
	"github.com/chestnutpond/chestnutpond/internal/node/serve"
	"github.com/chestnutpond/chestnutpond/internal/node/tail"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry")

const (
	// lameDuckTime is how long a stopping entry keeps serving after its readiness
	// check starts to fail, so that the load balancer can remove it.
	lameDuckTime = time.Second
	// drainTimeout bounds the wait for open requests. It exceeds the longest
	// request timeout.
	drainTimeout = 30 * time.Second
	// closeTimeout bounds the shutdown of the HTTP server after the drain.
	closeTimeout = 2 * time.Second
	// defaultFleetSettle exceeds the time that all agents of a starting fleet
	// need to register.
	defaultFleetSettle = 5 * time.Second
	// headerTimeout bounds the time to read the header of an HTTP request.
	headerTimeout = 10 * time.Second
	// maxInnerMessage is the maximum size of a gRPC message, in bytes.
	maxInnerMessage = 64 << 20
)

// Operator may publish documents and read the data of all accounts.
type Operator struct {
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the operator's bearer token.
	TokenSHA256 string
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Name   string
	Region string
	Zone   string
	// Incarnation increases with each start of the process.
	Incarnation int64
	// Listen is the HTTP listen address, InnerListen the one for gRPC.
	Listen      string
	InnerListen string
	// Advertise is the gRPC address that other processes dial; empty means the
	// address that InnerListen was bound to.
	Advertise string
	// Entries are the gRPC addresses of known entries.
	Entries   []string
	Log       chestnutpond.Log
	Operators []Operator
	// ParseDocument parses a service document. It is called for each publication
	// and again when the document takes effect.
	ParseDocument func(name string, data []byte) (chestnutpond.Document, error)
	Events        *events.Ring
	Metrics       *stats.Registry
	Logs          *slogs.Log
	// FleetSettle is how long the number of accelerators of a region must be
	// unchanged before a document that guarantees more is rejected; zero means
	// 5 s.
	FleetSettle time.Duration
	// ServerTLS and ClientTLS secure the gRPC connections; nil means plaintext.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Entry is the entry process.
type Entry struct {
	cfg           Config
	log           *slog.Logger
	httpListener  net.Listener
	innerListener net.Listener
	origin        ledger.Origin

	// events links each event of a job to its cause.
	events *events.CauseChain
	pool   *pool.Pool
	tail   *tail.Tail
	group  *peers.Group
	serve  *serve.Server
	sched  *sched.Manager

	stopping atomic.Bool

	// mu guards the fields below; no other lock is acquired while it is held.
	mu       sync.Mutex
	document chestnutpond.Document
	// accelerators is the number of accelerators by agent, acceleratorsChanged
	// the time of the last change by region.
	accelerators        map[string]int32
	acceleratorsChanged map[string]time.Time
	documentText        []byte
}

// New binds the listeners and creates the components. It fails if an address
// cannot be bound.
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
		cfg.FleetSettle = defaultFleetSettle
	}
	e := &Entry{
		accelerators: make(map[string]int32), acceleratorsChanged: make(map[string]time.Time),
		cfg: cfg, log: cfg.Logs.Logger("entry"), httpListener: outer, innerListener: in,
		events: events.NewCauseChain(cfg.Events),
		origin: ledger.Origin{Process: cfg.Name, Incarnation: cfg.Incarnation},
	}
	e.createComponents()
	return e, nil
}

func (e *Entry) createComponents() {
	cfg := e.cfg
	e.pool = pool.New(pool.Config{
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
	e.registerGauges()
}

func (e *Entry) registerGauges() {
	m := e.cfg.Metrics
	m.GaugeFunc("config_version", "Version of the document in force.", func() int64 { return e.ConfigVersion() })
	m.GaugeFunc("log_available", "1 while the log service answers.", func() int64 { return boolGauge(e.tail.Available()) })
	m.GaugeFunc("requests_open", "Requests that are not answered yet.", func() int64 { return int64(e.serve.OpenRequests()) })
	m.GaugeFunc("agents_homed", "Agents whose home is this entry.", func() int64 { return int64(e.group.Homed()) })
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// probe checks that the process behind a connection responds. Entries do not
// implement Ping, but their error response also shows that they are alive.
func probe(ctx context.Context, conn grpc.ClientConnInterface) error {
	_, err := inner.NewAgentClient(conn).Ping(ctx, &inner.PingRequest{})
	if err != nil && ctx.Err() == nil {
		return nil
	}
	return err
}

// Addr returns the address of the HTTP listener.
func (e *Entry) Addr() string { return e.httpListener.Addr().String() }

// InnerAddr returns the address that other processes dial.
func (e *Entry) InnerAddr() string { return e.cfg.Advertise }

// ConfigVersion returns the version of the document in effect.
func (e *Entry) ConfigVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document.Version
}

// Run serves until ctx ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var actors run.Group
	for _, loop := range []func(context.Context) error{
		e.pool.Run, e.tail.Run, e.group.Run, e.serve.Run, e.sched.Run,
	} {
		e.addLoop(servingCtx, stop, &actors, loop)
	}
	snapshots := tail.NewSnapshotWriter(tail.SnapshotConfig{Tail: e.tail, IsWriter: e.writesSnapshots})
	e.addLoop(servingCtx, stop, &actors, snapshots.Run)
	e.addInnerServer(&actors)
	e.addHTTPServer(&actors)
	actors.Add(func() error { return e.drainAfter(ctx, servingCtx) }, func(error) { stop() })
	e.log.Info("entry: started", "listen", e.Addr(), "inner", e.InnerAddr())
	return actors.Run()
}

// addLoop adds an actor that returns when servingCtx is done. A loop that
// returns earlier does not stop the group, with or without an error.
func (e *Entry) addLoop(
	servingCtx context.Context, stop context.CancelFunc, actors *run.Group, loop func(context.Context) error,
) {
	actors.Add(func() error {
		err := loop(servingCtx)
		if err != nil {
			e.log.Error("entry: component stopped", "error", err)
		}
		<-servingCtx.Done()
		return nil
	}, func(error) { stop() })
}

func (e *Entry) addInnerServer(actors *run.Group) {
	contained := guard.New(guard.Config{Log: e.cfg.Logs.Logger("guard"), Metrics: e.cfg.Metrics})
	options := append(conns.ServerOptions(), contained.ServerOptions()...)
	options = append(options,
		grpc.MaxRecvMsgSize(maxInnerMessage), grpc.MaxSendMsgSize(maxInnerMessage),
		// Keepalive pings also close dead Announce streams, which an agent leaves
		// behind each time that it reconnects.
		conns.KeepaliveOption(),
	)
	if e.cfg.ServerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.cfg.ServerTLS)))
	}
	server := grpc.NewServer(options...)
	inner.RegisterEntryServer(server, &innerServer{entry: e})
	actors.Add(func() error { return server.Serve(e.innerListener) }, func(error) { server.Stop() })
}

func (e *Entry) addHTTPServer(actors *run.Group) {
	server := &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout}
	actors.Add(func() error {
		err := server.Serve(e.httpListener)
		if err == http.ErrServerClosed {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

// Ready reports whether the entry can accept requests.
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

// AgentChanged notifies the components of the new state of an agent.
func (e *Entry) AgentChanged(row fleet.Row) {
	e.recordAccelerators(row)
	e.serve.AgentChanged(row)
	e.sched.AgentChanged(row)
}

// recordAccelerators records the number of accelerators of an agent, and the time
// if it changed.
func (e *Entry) recordAccelerators(row fleet.Row) {
	name, count := row.Member.GetName(), row.Member.GetAccelerators()
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, known := e.accelerators[name]; known && old == count {
		return
	}
	e.accelerators[name] = count
	e.acceleratorsChanged[row.Member.GetRegion()] = time.Now()
}

// Habits returns the usual request rates of callers at this entry.
func (e *Entry) Habits() *inner.Habits { return e.serve.Habits() }

// ImportHabits merges the request rates of callers that another entry reported.
func (e *Entry) ImportHabits(list *inner.Habits) bool { return e.serve.ImportHabits(list) }

// AgentRemoved notifies the components that an agent was removed.
func (e *Entry) AgentRemoved(name string) {
	e.mu.Lock()
	delete(e.accelerators, name)
	e.mu.Unlock()
	e.serve.AgentRemoved(name)
	e.sched.AgentRemoved(name)
}

func (e *Entry) logChanged(c ledger.Change) {
	if c.Kind == ledger.ChangeConfig {
		e.applyDocument()
	}
	e.evacuationChanged(c)
	e.recordJobEvent(c)
	e.sched.LogChanged(c)
	e.group.LogChanged(c)
}

// recordJobEvent records that a job was accepted or cancelled through this entry.
// It must run before the scheduler is notified of the change, because the events
// of the scheduler name this one as their cause.
func (e *Entry) recordJobEvent(c ledger.Change) {
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
	// Evacuations come first, because requests are served once there is a document.
	e.applyEvacuations()
	e.applyDocument()
	e.sched.LogReplaced()
	e.group.LogChanged(ledger.Change{})
}

// applyDocument puts the newest document into effect. If this release cannot
// parse it, the previous one stays in effect.
func (e *Entry) applyDocument() {
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
	e.documentText = config.Document
	e.mu.Unlock()
	e.serve.SetDocument(doc)
	e.sched.SetDocument(doc)
	e.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventConfigInForce, Detail: versionText(doc.Version)})
	e.log.Info("entry: configuration in force", "version", doc.Version)
}

func (e *Entry) currentDocument() (chestnutpond.Document, []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document, e.documentText
}
