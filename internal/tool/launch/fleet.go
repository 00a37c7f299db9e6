package launch

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/node/fleet"
	"github.com/chestnutpond/chestnutpond/internal/node/rest"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/obs/clock"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/platform"
)

const (
	// notReadyTime is how long a stopping entry serves on after its readiness
	// check began to fail: two checks a second apart, and what was on its way.
	notReadyTime = 2500 * time.Millisecond
	// openCallsLimit bounds the wait for open calls after that. A call takes at
	// most its client's 3 s, and the process has 6 s in all.
	openCallsLimit = 2500 * time.Millisecond
	// longestLease bounds the leases that processes ask for. An agent that was killed
	// is back within 4 s, and work of a host that is lost waits no longer than this.
	longestLease = 6 * time.Second
	// reloadEvery is how often the settings are read without a signal.
	reloadEvery = 5 * time.Second
	// lineLimit is the number of lines of one message in ten seconds: more than
	// a busy day's decisions, and a bound on what a fault can write.
	lineLimit = 5000
	// logLimit bounds the writing of the last lines of a process that ends.
	logLimit = 200 * time.Millisecond
	// metricsPath is where the metrics are served.
	metricsPath = "/metrics"
	// memoryShare is the part of the process's memory that the Go runtime may use
	// before it collects garbage more often.
	memoryShare = 0.7
)

// FleetCommands returns the subcommands of the processes for graphs of tasks.
func FleetCommands() []*cli.Command {
	settings := &cli.StringFlag{
		Name: "settings", Usage: "read the platform's settings from `FILE`", Required: true,
		Sources: cli.EnvVars(platform.SettingsVariable),
	}
	return []*cli.Command{
		{
			Name: "fleet-entry", Usage: "run the process on an entry host of the platform",
			Flags: append([]cli.Flag{settings}, policyFlags()...),
			Action: func(ctx context.Context, c *cli.Command) error {
				return runFleetEntry(ctx, c.String("settings"), policyOf(c), c.Bool(flagAdmission))
			},
		},
		{
			Name: "fleet-agent", Usage: "run the process beside a worker of the platform",
			Flags:  []cli.Flag{settings},
			Action: func(ctx context.Context, c *cli.Command) error { return runFleetAgent(ctx, c.String("settings")) },
		},
	}
}

// onPlatform is what a process on the platform is started with.
type onPlatform struct {
	path     string
	settings platform.Settings
	lines    *slogs.Queue
	logs     *slogs.Log
	metrics  *stats.Registry
	base     fleet.Base
}

func newOnPlatform(path string) (*onPlatform, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryShare))
	}
	listener, err := net.Listen("tcp", s.InternalAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	lines := slogs.NewQueue(os.Stdout)
	logs := slogs.New(slogs.Config{
		Out: lines, Format: slogs.FormatJSON, Level: slog.LevelInfo, Process: s.Name, RepeatLimit: lineLimit,
	})
	registry := stats.New()
	return &onPlatform{path: path, settings: s, lines: lines, logs: logs, metrics: registry, base: fleet.Base{
		Name: s.Name, Zone: s.Zone, Region: s.Region, Address: s.InternalAddress, Entries: s.Entries,
		Direct: platform.NewStore(s.Store), Recheck: platform.NewStore(s.Store), Listener: listener, Now: clock.Now, Logs: logs, Lease: min(s.Lease, longestLease),
		Metrics: registry,
	}}, nil
}

// close writes the last lines of the log.
func (p *onPlatform) close() {
	p.logs.Flush()
	p.lines.Close(logLimit)
}

// addMetrics has the group serve the metrics and, if there is one, another handler
// for all other paths. A port that is taken costs these, not the process.
func (p *onPlatform) addMetrics(g *run.Group, others http.Handler) {
	address := p.settings.Metrics
	mux := http.NewServeMux()
	mux.Handle(metricsPath, p.metrics)
	if others != nil {
		mux.Handle("/", others)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.logs.Logger("metrics").Error("metrics are not served", "address", address, "error", err)
		return
	}
	p.logs.Logger("metrics").Info("metrics are served", "address", address, "path", metricsPath)
	g.Add(func() error { return Error.Wrap(server.Serve(listener)) }, func(error) {
		// The process is about to exit; scrapes under way end with it.
		_ = server.Close()
	})
}

// reload reads the settings again when a signal says that they have changed, and
// every now and then, because they may change without one. Only the addresses of
// entries can change while the process runs.
func (p *onPlatform) reload(ctx context.Context, entries *roster.Roster) error {
	log := p.logs.Logger("settings")
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			asked = true
		case <-time.After(reloadEvery):
		}
		settings, err := platform.LoadSettings(p.path)
		if err != nil {
			log.Error("settings left as they were", "error", err)
			continue
		}
		changed := entries.SetSeeds(settings.Entries)
		if asked || changed {
			log.Info("settings read", "entries", settings.Entries, "changed", changed, "asked", asked)
		}
	}
}

// addLoop has the group run a function until the context ends.
func addLoop(ctx context.Context, g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addServer has the group serve HTTP on an address. A server that is shut down
// stays until the group ends, because its open calls go on.
func addServer(g *run.Group, s *http.Server) {
	ended := make(chan struct{})
	g.Add(func() error {
		err := s.ListenAndServe()
		if errors.Is(err, http.ErrServerClosed) {
			<-ended
			return nil
		}
		return Error.Wrap(err)
	}, func(error) {
		close(ended)
		// The process is about to exit; what is open has had its time.
		_ = s.Close()
	})
}

func runFleetEntry(ctx context.Context, path string, policy plan.Policy, admission bool) error {
	p, err := newOnPlatform(path)
	if err != nil {
		return err
	}
	defer p.close()
	s := p.settings
	c := fleet.EntryConfig{
		Base: p.base, ParseDocument: platform.ParseDesired, Wall: time.Now,
		ParseEvacuation: platform.ParseEvacuation, EvacuationDelay: s.EvacuationDelay,
		MaxRecord: s.MaxRecord, Retention: s.Retention, RemoteSlowdown: s.RemoteSlowdown, RestoreTime: s.RestoreTime,
		Policy: policy, Admission: admission,
	}
	if s.Advice != "" {
		c.Adviser = platform.NewAdviser(s.Advice)
	}
	e := fleet.NewEntry(c)
	ingress := platform.NewIngress(e.Intake(), p.logs.Logger("front"))
	clients := &http.Server{Addr: s.ClientAddress, Handler: ingress.ClientHandler(), ReadHeaderTimeout: headerTimeout}
	var g run.Group
	addLoop(ctx, &g, e.Run)
	addLoop(ctx, &g, func(ctx context.Context) error { return p.reload(ctx, e.Roster()) })
	p.addMetrics(&g, rest.New(rest.Config{Name: s.Name, Intake: e.Intake(), Inspector: e.Inspector(), Forecaster: e.Forecaster()}))
	addServer(&g, clients)
	addServer(&g, &http.Server{Addr: s.ReadyAddress, Handler: ingress.ReadyHandler(), ReadHeaderTimeout: headerTimeout})
	addLoop(ctx, &g, func(ctx context.Context) error { return p.stopEntry(ctx, e, clients) })
	return g.Run()
}

// stopEntry waits for the order to stop and then lets open calls end.
func (p *onPlatform) stopEntry(ctx context.Context, e *fleet.Entry, clients *http.Server) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	<-ctx.Done()
	clients.SetKeepAlivesEnabled(false)
	e.Leave()
	time.Sleep(notReadyTime)
	closing, cancel := context.WithTimeout(context.Background(), openCallsLimit)
	defer cancel()
	if err := clients.Shutdown(closing); err != nil {
		p.logs.Logger("entry").Warn("calls were still open at the end", "error", err)
	}
	return nil
}

func runFleetAgent(ctx context.Context, path string) error {
	p, err := newOnPlatform(path)
	if err != nil {
		return err
	}
	defer p.close()
	s := p.settings
	a := fleet.NewAgent(fleet.AgentConfig{Base: p.base, Runner: platform.NewWorker(s.Worker), Service: s.Service})
	beats := platform.NewHeartbeats(a.Reports(), p.logs.Logger("agent"))
	var g run.Group
	addLoop(ctx, &g, a.Run)
	addLoop(ctx, &g, func(ctx context.Context) error { return p.reload(ctx, a.Roster()) })
	p.addMetrics(&g, nil)
	addServer(&g, &http.Server{Addr: s.HeartbeatAddress, Handler: beats.Handler(), ReadHeaderTimeout: headerTimeout})
	addLoop(ctx, &g, func(ctx context.Context) error {
		ctx, stop := untilSignal(ctx)
		defer stop()
		<-ctx.Done()
		a.Leave()
		return nil
	})
	return g.Run()
}
