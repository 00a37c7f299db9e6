// Command standins plays the cases of the review: it starts the project's processes as a
// small deployment on loopback addresses, with stand-ins of the platform's store, of workers
// and of clients in this process, and judges a rule of the users' pages by what these have
// seen.
//
// It runs in the root of the project after the build of the deploy file, and exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it
// leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// mostTime bounds a case.
const mostTime = 110 * time.Second

var cases = map[string]func(s *stage, trouble bool) ([]string, error){
	"ends-in-outage":  endsInOutage,
	"late-leave":      lateLeave,
	"odd-ping":        oddPing,
	"large-jobs-wait": largeJobsWait,
	"fails-once":      failsOnce,

	"cancel-in-doubt":   cancelInDoubt,
	"grey-then-lasting": greyThenLasting,
	"huge-job":          hugeJob,
	"spread-step":       spreadStep,
	"reborn-kind":       rebornKind,
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newStage(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
		case <-time.After(mostTime):
			fmt.Fprintln(os.Stderr, "the case took too long")
		}
		s.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v, addresses %s*", name, trouble, s.net)
	breaks, err := run(s, trouble)
	if err != nil {
		rec.line("verdict: could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range breaks {
		rec.line("broken: %s", b)
	}
	rec.line("verdict: %d breaks", len(breaks))
	fmt.Printf("%s: %d breaks\n", name, len(breaks))
	if len(breaks) > 0 {
		fmt.Println("first:", breaks[0])
		return 1
	}
	return 0
}
