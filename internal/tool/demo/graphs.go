package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
	"github.com/chestnutpond/chestnutpond/internal/node/rest"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/test/world"
)

const (
	// graphWork is how long each task of the demo's graph works.
	graphWork = 800 * time.Millisecond
	// graphTasks and gangTasks are the numbers of tasks of its two steps.
	graphTasks = 12
	gangTasks  = 4
	// headerTimeout bounds the reading of the headers of a call.
	headerTimeout = 5 * time.Second
)

// graph matches lots one by one, and then all of them by a gang of four.
const graph = `kind: lot_match
payload: zip lengths
steps:
  - {count: 12, cpu_millis: 8000, memory_mib: 4096, accelerators: 1, estimate: 800ms}
  - {count: 4, cpu_millis: 8000, accelerators: 2, gang: true, after: [0], estimate: 800ms}
`

// playGraphs runs a graph of tasks on the processes of the users' platform, whose
// leader is killed meanwhile. The platform is a stand-in in memory.
func (d *deployment) playGraphs(ctx context.Context) error {
	d.title("A graph of tasks, and the end of its leader")
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	document, err := svcdoc.Parse("demo", []byte(d.documentText()))
	if err != nil {
		return Error.Wrap(err)
	}
	w := world.New(ctx, world.Config{
		Entries: 3, Workers: 4, Racks: 2, Service: document.Service, Document: document.WithVersion(1),
		Capacity: chestnutpond.Resources{CPU: 64_000, Memory: 256_000, Accelerators: accelerators},
		Model:    taskModel,
	})
	if err := d.until(ctx, "an entry leads", func() bool { return w.Leader() != nil && w.Entries[0].Ready() }); err != nil {
		return err
	}
	leader := w.Leader()
	d.say("%s leads; it places tasks on 4 workers", leader.Name)
	// Calls go to an entry that stays.
	at := w.Entries[0]
	if at == leader {
		at = w.Entries[1]
	}
	calls, err := serveEntry(ctx, at)
	if err != nil {
		return err
	}
	id, err := calls.send(ctx, stockToken, "lots-1", []byte(graph))
	if err != nil {
		return err
	}
	shown := func() jobAnswer {
		job, err := calls.job(ctx, stockToken, id)
		if err != nil {
			return jobAnswer{State: err.Error()}
		}
		return job
	}
	if err := d.until(ctx, "the graph runs", func() bool { return shown().State == "running" }); err != nil {
		return err
	}
	d.say("graph %s, handed in at %s, runs: %s", id, at.Name, shown().Waiting)
	leader.Kill()
	d.say("%s is killed", leader.Name)
	if err := d.until(ctx, "another entry leads", func() bool { return w.Leader() != nil }); err != nil {
		return err
	}
	d.say("%s leads", w.Leader().Name)
	if err := d.until(ctx, "the graph is done", func() bool { return shown().State == "completed" }); err != nil {
		return err
	}
	starts := 0
	for i := range graphTasks {
		starts += w.Fleet.Starts(chestnutpond.TaskRef{Job: chestnutpond.JobID(id), Index: i})
	}
	d.say("graph %s is completed; the %d tasks of its first step were started %d times", id, graphTasks, starts)
	if v := w.Fleet.Violations(); len(v) > 0 {
		return Error.New("a promise is broken: %s", fmt.Sprint(v))
	}
	return nil
}

// taskModel returns how a task of the graph behaves.
func taskModel(ref chestnutpond.TaskRef) stand.TaskModel {
	m := stand.TaskModel{Work: graphWork}
	if ref.Step == 1 {
		m.Gang = gangTasks
	}
	return m
}

// serveEntry serves the product's own interface of an entry until the context ends.
func serveEntry(ctx context.Context, e *world.Entry) (*caller, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	node := e.Node()
	s := &entryServer{server: &http.Server{
		Handler:           rest.New(rest.Config{Name: e.Name, Intake: node.Intake(), Inspector: node.Inspector(), Forecaster: node.Forecaster()}),
		ReadHeaderTimeout: headerTimeout,
	}}
	go s.run(listener)
	context.AfterFunc(ctx, func() { _ = s.server.Close() })
	return newCaller("http://" + listener.Addr().String()), nil
}

// entryServer serves an entry's interface.
type entryServer struct {
	server *http.Server
}

func (s *entryServer) run(l net.Listener) {
	// The error says that the server was closed.
	_ = s.server.Serve(l)
}
