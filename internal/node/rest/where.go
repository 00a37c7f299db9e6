package rest

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

const (
	// queryCause asks for the cause for which a job waits. Callers that poll for the end of a
	// job leave it out, because each answer costs the leader an evaluation.
	queryCause = "cause"
	// causeTimeout bounds the time that the cause may take; the state is shown without it.
	causeTimeout = 500 * time.Millisecond
)

// whereView says where a job would be placed now.
type whereView struct {
	Outcome chestnutpond.Outcome        `json:"outcome"`
	State   chestnutpond.PlacementState `json:"state"`
	Kind    string                      `json:"kind"`
	Account string                      `json:"account"`
	// Guaranteed means that the account's guarantee covers the job.
	Guaranteed bool        `json:"guaranteed"`
	Leader     string      `json:"leader"`
	Term       int64       `json:"term"`
	Steps      []whereStep `json:"steps"`
}

type whereStep struct {
	Step    int                         `json:"step"`
	State   chestnutpond.PlacementState `json:"state"`
	Tasks   int                         `json:"tasks"`
	Placed  int                         `json:"placed"`
	Causes  []chestnutpond.WaitCause    `json:"causes,omitempty"`
	Workers []whereWorker               `json:"workers,omitempty"`
	// Preempts counts the runs that would be stopped.
	Preempts        []wherePreempted `json:"preempts,omitempty"`
	LostCoreSeconds float64          `json:"lost_core_seconds,omitempty"`
	// StartsInMs is missing if no start is expected within the leader's horizon.
	StartsInMs *int64 `json:"starts_in_ms,omitempty"`
	// DurationMs is the expected duration of a task; missing if it is not known.
	DurationMs int64 `json:"duration_ms,omitempty"`
	// Learned is missing unless durations are learned.
	Learned           *whereLearned   `json:"learned,omitempty"`
	WorkersConsidered int             `json:"workers_considered"`
	WorkersFitting    int             `json:"workers_fitting"`
	WorkersExcluded   []whereExcluded `json:"workers_excluded,omitempty"`
}

type whereWorker struct {
	Worker string `json:"worker"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
	Tasks  int    `json:"tasks"`
}

type wherePreempted struct {
	Priority int `json:"priority"`
	Runs     int `json:"runs"`
}

type whereLearned struct {
	MedianMs int64   `json:"median_ms"`
	P90Ms    int64   `json:"p90_ms"`
	Samples  float64 `json:"samples"`
}

type whereExcluded struct {
	Reason  chestnutpond.WaitCause `json:"reason"`
	Workers int                    `json:"workers"`
}

// postWhere evaluates a job as postJob reads it, and stores nothing.
func (s *server) postWhere(c echo.Context) error {
	job, rejected := readJob(c)
	if rejected != nil {
		return rejected.write(c)
	}
	target, v := s.cfg.Intake.Route(chestnutpond.RouteRequest{Kind: job.Kind, Token: bearerToken(c)})
	if v.Outcome != chestnutpond.OutcomeAnswered {
		return writeVerdict(c, v, "")
	}
	// The random id is that of no job.
	job.Graph.ID = jobID(target, "")
	f, v := s.cfg.Forecaster.Where(c.Request().Context(), target, job.Graph)
	switch v.Outcome {
	case chestnutpond.OutcomeAnswered:
	case chestnutpond.OutcomeNotRun:
		return reply.NotRun(c, v.Reason, v.Detail, v.RetryAfter)
	default:
		return writeVerdict(c, v, "")
	}
	view := whereView{
		Outcome: v.Outcome, State: f.State(), Kind: job.Kind, Account: target.Account, Guaranteed: f.Guaranteed,
		Leader: f.Leader, Term: f.Epoch, Steps: []whereStep{},
	}
	for i := range f.Steps {
		view.Steps = append(view.Steps, newWhereStep(&f.Steps[i]))
	}
	c.Response().Header().Set(reply.HeaderOutcome, string(v.Outcome))
	return c.JSON(http.StatusOK, view)
}

func newWhereStep(s *chestnutpond.StepForecast) whereStep {
	v := whereStep{
		Step: s.Step, State: s.State, Tasks: s.Tasks, Placed: s.Placed, Causes: s.Causes, LostCoreSeconds: s.LostWork,
		DurationMs: s.Duration.Milliseconds(), WorkersConsidered: s.Considered, WorkersFitting: s.Fitting,
	}
	if s.StartKnown {
		ms := s.StartsIn.Milliseconds()
		v.StartsInMs = &ms
	}
	if s.Learned.Median > 0 {
		v.Learned = &whereLearned{
			MedianMs: s.Learned.Median.Milliseconds(), P90Ms: s.Learned.P90.Milliseconds(), Samples: s.Learned.Samples,
		}
	}
	for _, w := range s.Workers {
		v.Workers = append(v.Workers, whereWorker(w))
	}
	for _, p := range s.Preempted {
		v.Preempts = append(v.Preempts, wherePreempted(p))
	}
	for _, e := range s.Excluded {
		v.WorkersExcluded = append(v.WorkersExcluded, whereExcluded(e))
	}
	return v
}

// withCause adds to the view of a job with waiting tasks what they wait for, if the call asks
// for it and the leader says so.
func (s *server) withCause(c echo.Context, account string, g chestnutpond.GraphView, v jobView) jobView {
	if c.QueryParam(queryCause) != "true" || g.State.Final() || g.Running+g.Done == g.Tasks && g.Tasks > 0 {
		return v
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), causeTimeout)
	defer cancel()
	f, result := s.cfg.Forecaster.WhereJob(ctx, accountTarget(account), g.ID)
	if result.Outcome == chestnutpond.OutcomeAnswered {
		v.Waiting += waitLine(f)
	}
	return v
}

// waitLine describes why the first step that is not placed waits.
func waitLine(f chestnutpond.PlacementForecast) string {
	for _, s := range f.Steps {
		if len(s.Causes) == 0 {
			continue
		}
		switch s.State {
		case chestnutpond.PlacementNow:
		case chestnutpond.PlacementNever:
			return fmt.Sprintf("; step %d can never run on the known workers: %s", s.Step, s.Causes[0])
		case chestnutpond.PlacementWaits:
			if s.StartKnown {
				return fmt.Sprintf("; step %d waits for %s, expected to start in %s", s.Step, s.Causes[0], s.StartsIn.Round(time.Millisecond))
			}
			return fmt.Sprintf("; step %d waits for %s", s.Step, s.Causes[0])
		}
	}
	return ""
}
