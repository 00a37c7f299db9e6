// Command standins2 plays the scripted cases of the second review.
//
// It builds a small deployment on loopback addresses: stand-ins of the store and of the
// workers in this process, and the program's own entries and agents as separate processes
// that are started with the commands of the deploy file. It writes what was sent, answered
// and run to a record, and exits with 1 if the rule of the case was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestCase bounds a case, so that it ends its processes within its 120 s.
const longestCase = 110 * time.Second

// play is a case. It returns why the rule was broken, empty if it held.
type play func(s *stage, trouble bool) (broken string, err error)

var plays = map[string]play{
	"lost-worker":    playLostWorker,
	"late-leave":     playLateLeave,
	"pace-refused":   playPaceRefused,
	"same-id":        playSameID,
	"doubt-waits":    playDoubtWaits,
	"drain-in-doubt": playDrainInDoubt,
	"wide-limit":     playWideLimit,
	"doubt-refused":  playDoubtRefused,
	"poison-starves": playPoisonStarves,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// giveUp ends a case that takes too long or is interrupted.
type giveUp struct {
	stage *stage
}

func (g *giveUp) loop() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	why := "it was interrupted"
	select {
	case <-interrupted:
	case <-time.After(longestCase):
		why = "it took too long"
	}
	g.stage.rec.note("case", "could not run: %s", why)
	g.stage.close()
	os.Exit(exitFailed)
}

func run(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case", "%s, disruption %t", name, trouble)
	s, err := newStage(rec)
	if err != nil {
		rec.note("case", "could not run: %v", err)
		return exitFailed
	}
	defer s.close()
	g := &giveUp{stage: s}
	go g.loop()
	broken, err := plays[name](s, trouble)
	switch {
	case err != nil:
		rec.note("case", "could not run: %v", err)
		return exitFailed
	case broken != "":
		rec.note("case", "RULE BROKEN: %s", broken)
		return exitBroken
	}
	rec.note("case", "rule held")
	return exitHeld
}
