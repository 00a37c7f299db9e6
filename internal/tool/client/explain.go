package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/tool/lanes"
	"github.com/chestnutpond/chestnutpond/internal/tool/story"
)

// standardInput is the name of a file that stands for it.
const standardInput = "-"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs what happened to a job",
		ArgsUsage: "FILE...",
		Description: `Reads the log lines of any number of processes and prints those about one job,
with what the processes on its way believed meanwhile, in the order of cause and
of lines within a process; clocks decide only where neither does. Without --job
it prints one line for each job: how long it waited and took, how its runs ended,
and why they were stopped.

A FILE of "-" is the standard input, which is also read if no file is given. Lines
that cannot be read are counted and left out.

Exit codes: 0 done; 1 wrong command line, or a file that cannot be read; 2 no line
about the job.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagJob, Usage: "the job's id"},
			&cli.StringFlag{Name: flagHTML, Usage: "write the lines as one self-contained HTML page to this file instead"},
		},
		Action: runExplain,
	}
}

// runExplain reads the logs and tells the story.
func runExplain(_ context.Context, cmd *cli.Command) error {
	log, err := readLogs(cmd.Args().Slice(), cmd.Root().Reader)
	if err != nil {
		return failf(ExitFailed, "explain: %v", err)
	}
	if log.Unreadable > 0 {
		// A note that cannot be written changes nothing in the answer.
		_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "explain: %d lines could not be read\n", log.Unreadable)
	}
	id := chestnutpond.JobID(cmd.String(flagJob))
	page := cmd.String(flagHTML)
	out := cmd.Root().Writer
	switch {
	case id == "" && page != "":
		return failf(ExitFailed, "explain: --%s needs --%s", flagHTML, flagJob)
	case id == "":
		return writeSummaries(out, log)
	}
	lines := log.Job(id)
	if len(lines) == 0 {
		return failf(ExitRejected, "explain: no line about job %q among %d lines", id, len(log.Lines))
	}
	ordered := lanes.Order(story.Events(lines))
	if page != "" {
		return writeTimeline(page, "chestnutpond explain, job "+string(id), ordered)
	}
	for _, s := range log.Summaries() {
		if s.Job != id {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s\n\n", s.String()); err != nil {
			return failf(ExitFailed, "explain: %v", err)
		}
	}
	return lanes.WriteText(out, ordered)
}

// readLogs reads files, or the standard input if there are none.
func readLogs(files []string, stdin io.Reader) (*story.Log, error) {
	if len(files) == 0 {
		files = []string{standardInput}
	}
	log := story.NewLog()
	for _, name := range files {
		if err := readLog(log, name, stdin); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return log, nil
}

func readLog(log *story.Log, name string, stdin io.Reader) (err error) {
	if name == standardInput {
		return log.Read(stdin, "stdin")
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return log.Read(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}

// writeSummaries writes one line for each job.
func writeSummaries(out io.Writer, log *story.Log) error {
	for _, s := range log.Summaries() {
		if _, err := fmt.Fprintln(out, s.String()); err != nil {
			return failf(ExitFailed, "explain: %v", err)
		}
	}
	return nil
}

// writeTimeline writes events as an HTML page.
func writeTimeline(name, title string, ordered []chestnutpond.Event) error {
	f, err := os.Create(name)
	if err != nil {
		return failf(ExitFailed, "%v", err)
	}
	if err := errors.Join(lanes.WritePage(f, title, ordered), f.Close()); err != nil {
		return failf(ExitFailed, "%v", err)
	}
	return nil
}
