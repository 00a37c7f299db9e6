package launch

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond/internal/conf/config"
	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
	"github.com/chestnutpond/chestnutpond/internal/node/agent"
	"github.com/chestnutpond/chestnutpond/internal/node/entry"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/plat/logsvc"
	"github.com/chestnutpond/chestnutpond/internal/plat/task"
	"github.com/chestnutpond/chestnutpond/internal/plat/upsvc"
	"github.com/chestnutpond/chestnutpond/internal/tool/demo"
)

// Error is the class of this package's errors.
var Error = errs.Class("launch")

const (
	headerTimeout = 10 * time.Second
	closeLimit    = time.Second
	// memoryTarget is what the Go runtime may hold before it collects garbage
	// more often, in bytes. The text of the program and the rest of the 128 MB of
	// a node come on top. Without it an entry that starts from a snapshot of the
	// largest state takes 203 MB, of which 52 MB are in use.
	memoryTarget = 104 << 20
)

// Commands returns the subcommands entry, agent and demo.
func Commands() []*cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true}
	return []*cli.Command{
		{
			Name: "entry", Usage: "run the process on an entry host",
			Flags:  []cli.Flag{settings},
			Action: func(ctx context.Context, c *cli.Command) error { return runEntry(ctx, c.String("settings")) },
		},
		{
			Name: "agent", Usage: "run the process beside an upstream",
			Flags:  []cli.Flag{settings},
			Action: func(ctx context.Context, c *cli.Command) error { return runAgent(ctx, c.String("settings")) },
		},
		{
			Name: "demo", Usage: "run a whole deployment in this process and show what it does",
			Action: func(ctx context.Context, _ *cli.Command) error { return demo.Run(ctx, os.Stdout) },
		},
	}
}

// process is what every process has.
type process struct {
	incarnation int64
	logs        *slogs.Log
	events      *events.Ring
	metrics     *stats.Registry
}

func newProcess(ctx context.Context, name string, level slog.Level, entries []string, creds *tls.Config) process {
	// An operator's GOMEMLIMIT takes precedence.
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(memoryTarget)
	}
	incarnation := nextIncarnation(ctx, name, entries, creds)
	return process{
		incarnation: incarnation,
		logs:        slogs.New(slogs.Config{Out: os.Stderr, Format: slogs.FormatText, Level: level}),
		events:      events.New(events.Config{Process: name, Incarnation: incarnation}),
		metrics:     stats.New(),
	}
}

// untilSignal returns a context that ends with the first SIGTERM or SIGINT.
// Afterwards the signals have their usual effect again.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

func runEntry(ctx context.Context, path string) error {
	settings, err := config.LoadEntry(path)
	if err != nil {
		return err
	}
	p := newProcess(ctx, settings.Name, settings.LogLevel, settings.Entries, settings.TLS.Client)
	defer p.logs.Flush()
	log := logsvc.New(logsvc.Config{Address: settings.Log.Address, Stream: settings.Log.Stream})
	var operators []entry.Operator
	for _, o := range settings.Operators {
		operators = append(operators, entry.Operator{Name: o.Name, TokenSHA256: o.TokenSHA256})
	}
	e, err := entry.New(entry.Config{
		Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Incarnation: p.incarnation,
		Listen: settings.Listen, InnerListen: settings.InnerListen, Advertise: settings.InnerAdvertise,
		Entries: settings.Entries, Log: log, Operators: operators, ParseDocument: new(svcdoc.Reader).Parse,
		Events: p.events, Metrics: p.metrics, Logs: p.logs,
		ServerTLS: settings.TLS.Server, ClientTLS: settings.TLS.Client,
	})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	return e.Run(ctx)
}

func runAgent(ctx context.Context, path string) error {
	settings, err := config.LoadAgent(path)
	if err != nil {
		return err
	}
	p := newProcess(ctx, settings.Name, settings.LogLevel, settings.Entries, settings.TLS.Client)
	defer p.logs.Flush()
	worker := task.New(task.Config{Address: settings.Worker})
	upstream := upsvc.New(upsvc.Config{
		Address: settings.Upstream.Address, Connections: settings.Upstream.Connections,
	})
	a, err := agent.New(agent.Config{
		Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Rack: settings.Rack,
		Incarnation: p.incarnation, InnerListen: settings.InnerListen, Advertise: settings.InnerAdvertise,
		Entries:      settings.Entries,
		Accelerators: settings.Accelerators, Slots: settings.Upstream.Slots,
		Connections: settings.Upstream.Connections, Kinds: settings.Upstream.Kinds,
		Worker: worker, Upstream: upstream, Events: p.events, Metrics: p.metrics,
		Log: p.logs.Logger("agent"), ServerTLS: settings.TLS.Server, ClientTLS: settings.TLS.Client,
	})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	return runWithStatus(ctx, a, settings.StatusListen, p.metrics)
}

// runWithStatus runs the agent and its HTTP server for health and metrics.
func runWithStatus(ctx context.Context, a *agent.Agent, listen string, metrics *stats.Registry) error {
	metrics.GaugeFunc("config_version", "Version of the document in force.", a.ConfigVersion)
	server := &http.Server{Addr: listen, Handler: statusRoutes(a, metrics), ReadHeaderTimeout: headerTimeout}
	work, stop := context.WithCancel(ctx)
	defer stop()
	var actors run.Group
	actors.Add(func() error { return a.Run(work) }, func(error) { stop() })
	actors.Add(func() error {
		err := server.ListenAndServe()
		if err == http.ErrServerClosed {
			return nil
		}
		return Error.Wrap(err)
	}, func(error) {
		cctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		defer cancel()
		_ = server.Shutdown(cctx)
	})
	return actors.Run()
}
