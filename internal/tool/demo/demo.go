package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
	"github.com/chestnutpond/chestnutpond/internal/node/agent"
	"github.com/chestnutpond/chestnutpond/internal/node/entry"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/obs/slogs"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// Error is the class of this package's errors.
var Error = errs.Class("demo")

const (
	// runLimit bounds the whole demo.
	runLimit = 18 * time.Second
	// workers is the number of agents, three to a rack.
	workers       = 6
	workersPerRow = 3
	accelerators  = 8
	slots         = 8
	connections   = 64

	region        = "pampa"
	salesToken    = "demo-sales-token"
	stockToken    = "demo-stock-token"
	operatorToken = "demo-operator-token"
)

// document gives one account a guarantee of two whole workers in a rack.
const document = `schema: 1
service: demo
accounts:
  - name: sales
    token_sha256: %s
    weight: 4
    guarantees:
      - {region: pampa, count: 1, accelerators: 16, adjacency: rack}
  - name: stock
    token_sha256: %s
    weight: 1
kinds:
  - {name: price_list, work: request, class: urgent, idempotent: true, timeout: 2s}
  - {name: place_order, work: request, class: urgent, idempotent: false, timeout: 2s}
  - {name: pricing_run, work: job, class: urgent, checkpoint: 1s}
  - {name: forecast, work: job, class: bulk, checkpoint: 1s}
  - {name: lot_match, work: graph, class: standard, max_attempts: 3, stretch_percent: 300, target_latency: 1s}
`

// deployment is the processes of the demo, in this process.
type deployment struct {
	entry  *entry.Entry
	agents []*agent.Agent
	caller *caller
	out    io.Writer
	// forecasts are the ids of the borrowing jobs.
	forecasts []string

	running sync.WaitGroup
	// errors gets what a process returned; it has room for all.
	errors chan error
}

// Run plays the demo and writes what happens to out. It returns an error when
// anything does not go as it should.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	d, err := newDeployment(out)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(ctx)
	d.start(work)
	err = d.play(ctx)
	stop()
	d.running.Wait()
	close(d.errors)
	for e := range d.errors {
		err = errs.Combine(err, e)
	}
	if err == nil {
		d.say("stopped: all open work was handed over")
		err = d.playGraphs(ctx)
	}
	return err
}

func newDeployment(out io.Writer) (*deployment, error) {
	d := &deployment{out: out, errors: make(chan error, workers+1)}
	logs := slogs.New(slogs.Config{Out: io.Discard, Level: slog.LevelError})
	e, err := entry.New(entry.Config{
		Name: "entry-1", Region: region, Zone: "pampa-a", Incarnation: 1,
		Listen: "127.0.0.1:0", InnerListen: "127.0.0.1:0",
		Log:           stand.NewLog("demo"),
		Operators:     []entry.Operator{{Name: "operator", TokenSHA256: digest(operatorToken)}},
		ParseDocument: new(svcdoc.Reader).Parse,
		Events:        newRing("entry-1"), Metrics: stats.New(), Logs: logs,
	})
	if err != nil {
		return nil, err
	}
	d.entry = e
	d.caller = newCaller("http://" + e.Addr())
	for i := range workers {
		a, err := newAgent(i, e.InnerAddr(), logs)
		if err != nil {
			return nil, err
		}
		d.agents = append(d.agents, a)
	}
	return d, nil
}

func newAgent(i int, entryAddress string, logs *slogs.Log) (*agent.Agent, error) {
	name := fmt.Sprintf("worker-%d", i+1)
	return agent.New(agent.Config{
		Name: name, Region: region, Zone: "pampa-a", Rack: fmt.Sprintf("rack-%d", i/workersPerRow+1),
		Incarnation: 1, InnerListen: "127.0.0.1:0", Entries: []string{entryAddress},
		Accelerators: accelerators, Slots: slots, Connections: connections,
		Kinds:  []string{"price_list", "place_order"},
		Worker: stand.NewWorker(name), Upstream: stand.NewUpstream(),
		Events: newRing(name), Metrics: stats.New(), Log: logs.Logger("agent"),
	})
}

func newRing(process string) *events.Ring {
	return events.New(events.Config{Process: process, Incarnation: 1, RequestShare: 1})
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// actor runs one process of the demo.
type actor struct {
	deployment *deployment
	process    func(context.Context) error
}

func (a *actor) run(ctx context.Context) {
	defer a.deployment.running.Done()
	if err := a.process(ctx); err != nil {
		a.deployment.errors <- err
	}
}

func (d *deployment) start(ctx context.Context) {
	processes := []func(context.Context) error{d.entry.Run}
	for _, a := range d.agents {
		processes = append(processes, a.Run)
	}
	for _, p := range processes {
		d.running.Add(1)
		a := &actor{deployment: d, process: p}
		go a.run(ctx)
	}
}

func (d *deployment) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *deployment) documentText() string {
	return fmt.Sprintf(document, digest(salesToken), digest(stockToken))
}

// title prints a heading of the demo's output.
func (d *deployment) title(text string) {
	d.say("\n%s\n%s", text, strings.Repeat("-", len(text)))
}
