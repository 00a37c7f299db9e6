package client

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/config"
	"github.com/chestnutpond/chestnutpond/internal/conf/jobdoc"
	"github.com/chestnutpond/chestnutpond/internal/conf/svcdoc"
)

const flagFiles = "files"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check service documents, settings files and jobs",
		ArgsUsage: "FILE...",
		Description: `Tells by its keys whether a file is a service document, the settings of an
entry, the settings of an agent or a graph of tasks, and reports every fault with file, line,
column, what is wrong and what is allowed. Calls no entry.

Exit codes: 0 all files are right; 1 wrong command line; 2 a file is wrong.`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagFiles, Usage: "also read the TLS files that settings name; use it on the host itself"},
		},
		Action: runCheck,
	}
}

// runCheck checks all files, also after a wrong one.
func runCheck(_ context.Context, cmd *cli.Command) error {
	s := &session{cmd: cmd}
	if !cmd.Args().Present() {
		return failf(ExitFailed, "check: no file given")
	}
	wrong := 0
	for _, name := range cmd.Args().Slice() {
		if err := s.checkFile(name); err != nil {
			wrong++
			s.notef("%v\n", err)
		}
	}
	if wrong > 0 {
		return failf(ExitRejected, "check: %d of %d files are wrong", wrong, cmd.Args().Len())
	}
	return nil
}

// checkFile checks one file and prints what it is.
func (s *session) checkFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	form, err := config.DetectFileType(name, data)
	if err != nil {
		return err
	}
	switch form {
	case config.FormEntry:
		return s.checkEntry(name, data)
	case config.FormAgent:
		return s.checkAgent(name, data)
	case config.FormGraph:
		return s.checkGraph(name, data)
	}
	d, err := svcdoc.Parse(name, data)
	if err != nil {
		return err
	}
	s.printf("%s: ok, %s of %s: %d accounts, %d kinds\n", name, form, d.Service, len(d.Accounts), len(d.Kinds))
	s.printGuarantees(d)
	return nil
}

// checkEntry checks the settings of an entry.
func (s *session) checkEntry(name string, data []byte) error {
	e, err := config.ParseEntry(name, data)
	if err == nil && s.cmd.Bool(flagFiles) {
		e, err = config.LoadEntry(name)
	}
	if err == nil {
		s.printf("%s: ok, %s %s in %s, %s\n", name, config.FormEntry, e.Name, e.Region, e.Zone)
	}
	return err
}

// checkAgent checks the settings of an agent.
func (s *session) checkAgent(name string, data []byte) error {
	a, err := config.ParseAgent(name, data)
	if err == nil && s.cmd.Bool(flagFiles) {
		a, err = config.LoadAgent(name)
	}
	if err == nil {
		s.printf("%s: ok, %s %s in %s, %s, %s\n", name, config.FormAgent, a.Name, a.Region, a.Zone, a.Rack)
	}
	return err
}

// checkGraph checks a job that is a graph of tasks.
func (s *session) checkGraph(name string, data []byte) error {
	j, err := jobdoc.Parse(name, data)
	if err != nil {
		return err
	}
	tasks := 0
	for _, step := range j.Graph.Steps {
		tasks += step.Count
	}
	s.printf("%s: ok, %s of kind %s: %d steps, %d tasks\n", name, config.FormGraph, j.Kind, len(j.Graph.Steps), tasks)
	return nil
}

// printGuarantees prints how many accelerators the guarantees of each region
// take, in the order of the document.
func (s *session) printGuarantees(d chestnutpond.Document) {
	sums := map[string]int{}
	var regions []string
	for _, a := range d.Accounts {
		for _, g := range a.Guarantees {
			if _, ok := sums[g.Region]; !ok {
				regions = append(regions, g.Region)
			}
			sums[g.Region] += g.Count * g.Shape.Accelerators
		}
	}
	for _, r := range regions {
		s.printf("  guarantees in %s: %d accelerators\n", r, sums[r])
	}
}
