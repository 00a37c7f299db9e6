// Command standins3 runs the cases of the third review: stand-ins of the platform, of workers and
// of clients around the system's own processes, on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds a case.
const limit = 110 * time.Second

// caseFunc plays a case and returns what broke the rule.
type caseFunc func(rec *record, trouble bool) ([]string, error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(play(rec, cases[os.Args[1]], os.Getenv("TROUBLE") != "0"))
}

// running is the deployment of the case, so that it ends with the case however that ends.
var running *cluster

func play(rec *record, f caseFunc, trouble bool) int {
	rec.add("disruption: %v", trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := f(rec, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case s := <-signals:
		r.err = fmt.Errorf("%w: %s", errNotRun, s)
	case <-time.After(limit):
		r.err = fmt.Errorf("%w: it took too long", errNotRun)
	}
	if running != nil {
		running.stop()
	}
	switch {
	case r.err != nil:
		rec.add("not run: %v", r.err)
		fmt.Println("not run:", r.err)
		if !errors.Is(r.err, errNotRun) {
			fmt.Fprintln(os.Stderr, r.err)
		}
		return 2
	case len(r.broken) > 0:
		for _, b := range r.broken {
			rec.add("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}

// deploy starts the deployment of the case.
func deploy(rec *record, o options) (*cluster, error) {
	c, err := newCluster(rec, o)
	running = c
	if err != nil && !errors.Is(err, errNotRun) {
		err = fmt.Errorf("%w: %v", errNotRun, err)
	}
	return c, err
}
