// Command standins runs fake services of the platform for tests in one process:
// a log service, and workers with one upstream each.
//
// It prints one line for each service, such as "worker 0 http://127.0.0.1:9100",
// once that service accepts connections, and exits on SIGTERM or SIGINT. Worker i
// listens on the base port plus 2i, its upstream on the port after that; with
// base port 0 the system chooses every port. Faults are injected by POST /control
// on each address.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// maxWorkers limits the number of listeners that one process opens.
const maxWorkers = 200

// headerTimeout is the time after which a connection without a complete request
// header is closed.
const headerTimeout = 10 * time.Second

func main() {
	command := &cli.Command{
		Name:   "standins",
		Usage:  "run fake services of the platform on loopback",
		Flags:  flags(),
		Action: serve,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen-log", Value: "127.0.0.1:0", Usage: "address of the log service"},
		&cli.StringFlag{Name: "stream", Value: "chestnutpond", Usage: "stream of the log service"},
		&cli.IntFlag{Name: "retain", Usage: "records that the log retains; 0 means 100,000"},
		&cli.FloatFlag{Name: "append-rate", Usage: "appends per second that the log accepts; 0 means 500"},
		&cli.StringFlag{Name: "host", Value: "127.0.0.1", Usage: "host of the workers and upstreams"},
		&cli.IntFlag{Name: "workers", Value: 1, Usage: "number of workers, each with an upstream"},
		&cli.IntFlag{Name: "base-port", Usage: "port of the first worker; 0 lets the system choose every port"},
		&cli.DurationFlag{Name: "checkpoint-time", Usage: "duration of a checkpoint"},
		&cli.DurationFlag{Name: "usage-lag", Value: 5 * time.Second, Usage: "age of usage reports"},
	}
}

func serve(_ context.Context, c *cli.Command) error {
	workers := c.Int("workers")
	if workers < 0 || workers > maxWorkers {
		return fmt.Errorf("workers: %d is not within 0 to %d", workers, maxWorkers)
	}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, os.Interrupt))
	log := stand.NewLog(c.String("stream"))
	log.SetFaults(stand.LogFaults{Retain: c.Int("retain"), AppendRate: c.Float("append-rate")})
	if err := addServer(&group, "log", c.String("listen-log"), log.Handler()); err != nil {
		return err
	}
	for i := range workers {
		worker := stand.NewWorker(strconv.Itoa(i))
		worker.SetFaults(stand.WorkerFaults{
			CheckpointTime: stand.Duration(c.Duration("checkpoint-time")),
			UsageLag:       stand.Duration(c.Duration("usage-lag")),
		})
		if err := addServer(&group, fmt.Sprintf("worker %d", i), address(c, 2*i), worker.Handler()); err != nil {
			return err
		}
		upstream := stand.NewUpstream()
		if err := addServer(&group, fmt.Sprintf("upstream %d", i), address(c, 2*i+1), upstream.Handler()); err != nil {
			return err
		}
	}
	err := group.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// address returns the address of the port at the given offset from the base port.
func address(c *cli.Command, offset int) string {
	port := c.Int("base-port")
	if port != 0 {
		port += offset
	}
	return net.JoinHostPort(c.String("host"), strconv.Itoa(port))
}

// addServer registers a server in group. It listens before it returns, so that the
// printed address accepts connections.
func addServer(group *run.Group, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { _ = server.Close() },
	)
	fmt.Printf("%s http://%s\n", name, listener.Addr())
	return nil
}
