package client

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
)

// placement is the answer to the question where a job would be placed.
type placement struct {
	State      chestnutpond.PlacementState `json:"state"`
	Kind       string                      `json:"kind"`
	Account    string                      `json:"account"`
	Guaranteed bool                        `json:"guaranteed"`
	Leader     string                      `json:"leader"`
	Term       int64                       `json:"term"`
	Steps      []stepPlacement             `json:"steps"`
}

type stepPlacement struct {
	Step    int                         `json:"step"`
	State   chestnutpond.PlacementState `json:"state"`
	Tasks   int                         `json:"tasks"`
	Placed  int                         `json:"placed"`
	Causes  []string                    `json:"causes"`
	Workers []struct {
		Worker string `json:"worker"`
		Zone   string `json:"zone"`
		Rack   string `json:"rack"`
		Tasks  int    `json:"tasks"`
	} `json:"workers"`
	Preempts []struct {
		Priority int `json:"priority"`
		Runs     int `json:"runs"`
	} `json:"preempts"`
	LostCoreSeconds float64 `json:"lost_core_seconds"`
	StartsInMs      *int64  `json:"starts_in_ms"`
	DurationMs      int64   `json:"duration_ms"`
	Learned         *struct {
		MedianMs int64   `json:"median_ms"`
		P90Ms    int64   `json:"p90_ms"`
		Samples  float64 `json:"samples"`
	} `json:"learned"`
	WorkersConsidered int `json:"workers_considered"`
	WorkersFitting    int `json:"workers_fitting"`
	WorkersExcluded   []struct {
		Reason  string `json:"reason"`
		Workers int    `json:"workers"`
	} `json:"workers_excluded"`
}

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "say where a graph of tasks would be placed now, without submitting it",
		Description: `Asks the leader where the first steps of a graph would go if it were submitted
now, which runs it would stop, or what it would wait for. Nothing is stored and
nothing reserved: what happens until the job is submitted may change the answer.

Exit codes: 0 all tasks of the first steps would be placed now; 1 wrong command
line or no entry reached; 2 rejected; 5 no leader can answer or too many such
calls, may be repeated later; 6 at least one task would wait; 7 a step can never
run on the workers that are known.`,
		Flags: commonFlags(
			&cli.StringFlag{Name: flagGraph, Usage: "file with a graph of tasks, which names its kind; - is the standard input"},
		),
		Action: runWhere,
	}
}

// runWhere asks for the placement of a job and prints it.
func runWhere(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	if !cmd.IsSet(flagGraph) || cmd.Args().Present() {
		return failf(ExitFailed, "where: --%s is needed, and nothing else", flagGraph)
	}
	body, err := readGraph(cmd)
	if err != nil {
		return err
	}
	var p placement
	question := call{
		method: http.MethodPost, path: "/v1/where", body: body, repeatable: true, header: http.Header{"Content-Type": {formGraph}},
	}
	if err := s.ask(ctx, question, &p); err != nil {
		return err
	}
	if !s.json() {
		s.printPlacement(p)
	}
	switch p.State {
	case chestnutpond.PlacementNow:
		return nil
	case chestnutpond.PlacementWaits:
		return failf(ExitWaits, "where: the job would wait")
	case chestnutpond.PlacementNever:
		return failf(ExitNever, "where: the job can never run on the workers that are known")
	}
	return failf(ExitFailed, "where: the entry answered state %q, which this program does not know", p.State)
}

// printPlacement prints some lines for each step.
func (s *session) printPlacement(p placement) {
	guarantee := "not covered by a guarantee"
	if p.Guaranteed {
		guarantee = "covered by the guarantee"
	}
	s.printf("%s: kind %s, account %s, %s; evaluated by %s in term %d\n",
		p.State, p.Kind, or(p.Account, "-"), guarantee, p.Leader, p.Term)
	for i := range p.Steps {
		s.printStepPlacement(&p.Steps[i])
	}
}

func (s *session) printStepPlacement(p *stepPlacement) {
	s.printf("\nstep %d: %s, %d of %d tasks placed now%s\n", p.Step, p.State, p.Placed, p.Tasks, p.why())
	if len(p.Preempts) > 0 {
		parts := make([]string, len(p.Preempts))
		for i, v := range p.Preempts {
			parts[i] = fmt.Sprintf("%d runs of priority %d", v.Runs, v.Priority)
		}
		s.printf("  would stop %s; %.1f core-seconds of work would be lost\n", strings.Join(parts, ", "), p.LostCoreSeconds)
	}
	if p.DurationMs > 0 {
		spread := "from the estimate and the queue"
		if l := p.Learned; l != nil && l.Samples > 0 {
			spread = fmt.Sprintf("learned: median %s, 90th percentile %s, from %.1f runs", milliseconds(l.MedianMs), milliseconds(l.P90Ms), l.Samples)
		}
		s.printf("  a task is expected to take %s; %s\n", milliseconds(p.DurationMs), spread)
	}
	excluded := make([]string, len(p.WorkersExcluded))
	for i, e := range p.WorkersExcluded {
		excluded[i] = fmt.Sprintf("%d %s", e.Workers, e.Reason)
	}
	s.printf("  %d workers considered, %d with room for a task; excluded: %s\n",
		p.WorkersConsidered, p.WorkersFitting, cmp.Or(strings.Join(excluded, ", "), "none"))
	s.table("WORKER\tZONE\tRACK\tTASKS", len(p.Workers), func(i int) string {
		w := p.Workers[i]
		return row(w.Worker, w.Zone, w.Rack, fmt.Sprint(w.Tasks))
	})
}

// why says what the step waits for and until when.
func (p *stepPlacement) why() string {
	causes := strings.Join(p.Causes, ", ")
	switch p.State {
	case chestnutpond.PlacementNow:
	case chestnutpond.PlacementNever:
		return "; because of " + causes
	case chestnutpond.PlacementWaits:
		if p.StartsInMs != nil {
			return "; the others wait for " + causes + ", expected to start in " + milliseconds(*p.StartsInMs)
		}
		return "; the others wait for " + causes + ", no start is expected yet"
	}
	return ""
}

// milliseconds returns a duration in words.
func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
