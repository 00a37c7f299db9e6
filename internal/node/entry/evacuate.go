package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

// evacuationReply is the JSON form of the last request for a zone, and the reply to a
// request.
type evacuationReply struct {
	Outcome   chestnutpond.Outcome `json:"outcome,omitempty"`
	Zone      string               `json:"zone"`
	Evacuated bool                 `json:"evacuated"`
	Offset    int64                `json:"offset"`
	Since     time.Time            `json:"since"`
	Operator  string               `json:"operator"`
}

func newEvacuationReply(e ledger.Evacuation) evacuationReply {
	return evacuationReply{Zone: e.Zone, Evacuated: e.InForce, Offset: e.Offset, Since: e.At, Operator: e.Operator}
}

func (e *Entry) putEvacuation(c echo.Context, who principal) error {
	return e.requestEvacuation(c, who, false)
}

func (e *Entry) deleteEvacuation(c echo.Context, who principal) error {
	return e.requestEvacuation(c, who, true)
}

// getEvacuations returns the last request for each zone, revoked ones included.
func (e *Entry) getEvacuations(c echo.Context, _ principal) error {
	list := []evacuationReply{}
	for _, ev := range e.evacuations() {
		list = append(list, newEvacuationReply(ev))
	}
	return c.JSON(http.StatusOK, map[string][]evacuationReply{"evacuations": list})
}

// requestEvacuation appends a request for a zone. It appends even if the state of this
// entry is as requested, because newer records may say otherwise.
func (e *Entry) requestEvacuation(c echo.Context, who principal, undo bool) error {
	if !e.tail.Loaded() || !e.tail.Available() {
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, "the log service does not answer", time.Second)
	}
	zone := c.QueryParam("zone")
	if known := e.knownZones(); !slices.Contains(known, zone) {
		return reply.Reject(c, http.StatusUnprocessableEntity, chestnutpond.ReasonUnknownZone,
			"no zone "+zone+"; known zones: "+strings.Join(known, ", "))
	}
	var before ledger.Evacuation
	var full bool
	e.tail.View(func(st *ledger.State) { before, full = st.Evacuation(zone), st.EvacuationsFull(zone) })
	if full {
		return reply.Reject(c, http.StatusUnprocessableEntity, chestnutpond.ReasonZoneLimit,
			"requests for too many different zones are kept")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), acceptTimeout)
	defer cancel()
	err := e.tail.Append(ctx, ledger.Evacuate{
		Zone: zone, Undo: undo, Base: before.Version, Operator: who.operator, At: time.Now().UTC().Truncate(time.Second),
	})
	if err != nil {
		e.log.Warn("entry: evacuation not confirmed", "zone", zone, "undo", undo, "operator", who.operator, "error", err)
	}
	return e.answerEvacuation(c, before, undo, err)
}

// answerEvacuation responds to a request. err is the result of its append, before the
// zone's last request before it.
func (e *Entry) answerEvacuation(c echo.Context, before ledger.Evacuation, undo bool, err error) error {
	var now ledger.Evacuation
	e.tail.View(func(st *ledger.State) { now = st.Evacuation(before.Zone) })
	asRequested := now.InForce == !undo
	switch {
	case asRequested && (err == nil || now.Version != before.Version):
		res := newEvacuationReply(now)
		res.Outcome = chestnutpond.OutcomeEvacuated
		if undo {
			res.Outcome = chestnutpond.OutcomeEvacuationUndone
		}
		c.Response().Header().Set(reply.HeaderOutcome, string(res.Outcome))
		return c.JSON(http.StatusOK, res)
	case err == nil:
		return reply.Fail(c, http.StatusConflict, reply.Failure{
			Outcome: chestnutpond.OutcomeLost, Reason: chestnutpond.ReasonBase,
			Detail: "a request of " + now.Operator + " for the zone came first, at offset " + itoa(now.Offset),
		})
	case notAppended(err):
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, err.Error(), time.Second)
	}
	return reply.Fail(c, http.StatusGatewayTimeout, reply.Failure{
		Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonLogUnavailable,
		Detail: "repeat the request until it is confirmed", ID: before.Zone,
	})
}

// evacuations returns the last request for each zone.
func (e *Entry) evacuations() (list []ledger.Evacuation) {
	e.tail.View(func(st *ledger.State) { list = st.Evacuations() })
	return list
}

// knownZones returns the zones of the agents and entries that this entry knows, and those
// for which there was a request, in order.
func (e *Entry) knownZones() []string {
	zones := []string{e.cfg.Zone}
	for _, row := range e.group.Rows() {
		zones = append(zones, row.Member.GetZone())
	}
	for _, p := range e.group.Peers() {
		zones = append(zones, p.Zone)
	}
	for _, ev := range e.evacuations() {
		zones = append(zones, ev.Zone)
	}
	slices.Sort(zones)
	zones = slices.DeleteFunc(zones, func(zone string) bool { return zone == "" })
	return slices.Compact(zones)
}

// applyEvacuations puts the evacuations of the folded state into effect for requests, and
// sets the gauge of each zone. The schedulers read the state themselves.
func (e *Entry) applyEvacuations() {
	var zones chestnutpond.Evacuations
	e.tail.View(func(st *ledger.State) { zones = st.EvacuatedZones() })
	e.serve.SetEvacuations(zones)
	for _, ev := range e.evacuations() {
		e.cfg.Metrics.Gauge("zone_evacuated", "1 while operators evacuate the zone.",
			stats.Label{Name: "zone", Value: ev.Zone}).Update(boolGauge(ev.InForce))
	}
}

// evacuationChanged applies a change of a zone's evacuation and logs who requested it. It
// ignores other changes.
func (e *Entry) evacuationChanged(change ledger.Change) {
	if change.Kind != ledger.ChangeEvacuation {
		return
	}
	e.applyEvacuations()
	var ev ledger.Evacuation
	e.tail.View(func(st *ledger.State) { ev = st.Evacuation(change.Zone) })
	e.log.Info("entry: evacuation changed", "zone", ev.Zone, "evacuated", ev.InForce,
		"operator", ev.Operator, "offset", ev.Offset, "through", change.By.Process)
}

// evacuationView is a zone under evacuation as the status shows it.
type evacuationView struct {
	Zone   string    `json:"zone"`
	Since  time.Time `json:"since"`
	Offset int64     `json:"offset"`
	// Operator is only shown to operators.
	Operator string `json:"operator,omitempty"`
	// Jobs is the number of jobs, among those that the reader may see, with a member in
	// the zone; Requests is the number of busy request slots there.
	Jobs     int   `json:"jobs"`
	Requests int32 `json:"requests"`
	// Uncovered lists the accounts whose guarantees do not fit in a region that has
	// workers in the zone, as REGION/ACCOUNT.
	Uncovered []string `json:"uncovered"`
}

// newEvacuationViews returns the zones under evacuation. Accounts and jobs are those that
// the reader may see.
func (e *Entry) newEvacuationViews(who principal, accounts []accountView, jobs []ledger.Job) []evacuationView {
	views := []evacuationView{}
	for _, ev := range e.evacuations() {
		if !ev.InForce {
			continue
		}
		v := evacuationView{Zone: ev.Zone, Since: ev.At, Offset: ev.Offset, Uncovered: []string{}}
		if who.operator != "" {
			v.Operator = ev.Operator
		}
		workers, regions := make(map[string]bool), make(map[string]bool)
		for _, row := range e.group.Rows() {
			if row.Member.GetZone() != ev.Zone {
				continue
			}
			workers[row.Member.GetName()], regions[row.Member.GetRegion()] = true, true
			if !row.Lost {
				v.Requests += row.Member.GetUpstream().GetBusy()
			}
		}
		v.Jobs = jobsOn(workers, jobs)
		for _, a := range accounts {
			if regions[a.Region] && !a.Covered {
				v.Uncovered = append(v.Uncovered, a.Region+"/"+a.Account)
			}
		}
		views = append(views, v)
	}
	return views
}

// jobsOn returns the number of jobs that run or stop with a member on one of the workers.
func jobsOn(workers map[string]bool, jobs []ledger.Job) int {
	n := 0
	for _, j := range jobs {
		if j.State != chestnutpond.JobRunning && j.State != chestnutpond.JobStopping {
			continue
		}
		if slices.ContainsFunc(j.Placements, func(p chestnutpond.Placement) bool { return workers[p.Worker] }) {
			n++
		}
	}
	return n
}
