package rest

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

type jobView struct {
	ID           chestnutpond.JobID     `json:"id"`
	Account      string                 `json:"account"`
	Kind         string                 `json:"kind"`
	State        chestnutpond.JobState  `json:"state"`
	Accelerators int64                  `json:"accelerators"`
	Adjacency    chestnutpond.Adjacency `json:"adjacency"`
	// Waiting describes the progress of an unfinished job's tasks.
	Waiting string `json:"waiting,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

type accountView struct {
	Account    string `json:"account"`
	Guaranteed int64  `json:"guaranteed"`
	Waiting    int    `json:"waiting"`
}

type entryView struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

type regionView struct {
	Region    string `json:"region"`
	Scheduler string `json:"scheduler"`
	Term      int64  `json:"term"`
}

type logView struct {
	Available  bool  `json:"available"`
	NextOffset int64 `json:"next_offset"`
}

// evacuationView is a zone under evacuation.
type evacuationView struct {
	Zone   string `json:"zone"`
	Offset int64  `json:"offset"`
	// Jobs is the number of runs that may exist there; only the leader reports it.
	Jobs *int `json:"jobs,omitempty"`
}

type statusView struct {
	Entry         string        `json:"entry"`
	Service       string        `json:"service"`
	ConfigVersion int64         `json:"config_version"`
	Log           logView       `json:"log"`
	Regions       []regionView  `json:"regions"`
	Accounts      []accountView `json:"accounts"`
	Jobs          []jobView     `json:"jobs"`
	Entries       []entryView   `json:"entries"`
	// Evacuations are the zones under evacuation.
	Evacuations []evacuationView `json:"evacuations"`
}

// allRegions is the region shown for the leader, which schedules for all regions.
const allRegions = "all"

func newJobView(g chestnutpond.GraphView) jobView {
	v := jobView{
		ID: g.ID, Account: g.Account, Kind: g.Kind, State: g.State, Accelerators: g.Accelerators,
		Adjacency: chestnutpond.AdjacencyZone, Reason: g.Reason,
	}
	if !g.State.Final() {
		v.Waiting = fmt.Sprintf("%d tasks: %d placed, %d done", g.Tasks, g.Running, g.Done)
	}
	return v
}

func (s *server) getJobs(c echo.Context, account string) error {
	views := []jobView{}
	for _, g := range s.cfg.Inspector.Jobs(account) {
		views = append(views, newJobView(g))
	}
	return c.JSON(http.StatusOK, map[string][]jobView{"jobs": views})
}

func (s *server) getJob(c echo.Context, account string) error {
	id := chestnutpond.JobID(c.Param("id"))
	// State looks the job up in the store if this entry has not read it yet.
	if _, v := s.cfg.Intake.State(c.Request().Context(), accountTarget(account), id); v.Outcome != chestnutpond.OutcomeAnswered {
		return writeVerdict(c, v, id)
	}
	for _, g := range s.cfg.Inspector.Jobs(account) {
		if g.ID == id {
			return c.JSON(http.StatusOK, s.withCause(c, account, g, newJobView(g)))
		}
	}
	return reply.Reject(c, http.StatusNotFound, chestnutpond.ReasonUnknownJob, "no job "+string(id))
}

func (s *server) getStatus(c echo.Context, account string) error {
	fleet := s.cfg.Inspector.Overview()
	status := statusView{
		Entry: s.cfg.Name, Service: fleet.Service, ConfigVersion: fleet.Version,
		Log:     logView{Available: fleet.Available, NextOffset: fleet.Next},
		Regions: []regionView{{Region: allRegions, Scheduler: fleet.Leader, Term: fleet.Epoch}},
		Jobs:    []jobView{}, Evacuations: []evacuationView{},
	}
	waiting := 0
	for _, g := range s.cfg.Inspector.Jobs(account) {
		if g.State == chestnutpond.JobQueued || g.State == chestnutpond.JobStarting {
			waiting++
		}
		status.Jobs = append(status.Jobs, newJobView(g))
	}
	status.Accounts = []accountView{{Account: account, Guaranteed: fleet.Guarantees[account], Waiting: waiting}}
	for _, e := range fleet.Entries {
		status.Entries = append(status.Entries, entryView{Name: e.Name, Region: e.Region, Zone: e.Zone})
	}
	for _, e := range fleet.Evacuations {
		v := evacuationView{Zone: e.Zone, Offset: e.Offset}
		if e.RunsKnown {
			v.Jobs = &e.Runs
		}
		status.Evacuations = append(status.Evacuations, v)
	}
	return c.JSON(http.StatusOK, status)
}
