package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// statusTimeout bounds the status request to the scheduler of a region.
const statusTimeout = 2 * time.Second

type memberView struct {
	Member       int    `json:"member"`
	Worker       string `json:"worker"`
	Accelerators []int  `json:"accelerators"`
}

type jobView struct {
	ID           chestnutpond.JobID     `json:"id"`
	Account      string                 `json:"account"`
	Caller       string                 `json:"caller,omitempty"`
	Kind         string                 `json:"kind"`
	Class        chestnutpond.Class     `json:"class"`
	Region       string                 `json:"region"`
	State        chestnutpond.JobState  `json:"state"`
	Attempt      int64                  `json:"attempt"`
	Accelerators int                    `json:"accelerators"`
	Adjacency    chestnutpond.Adjacency `json:"adjacency"`
	Members      []memberView           `json:"members"`
	Waiting      string                 `json:"waiting,omitempty"`
	Guaranteed   bool                   `json:"guaranteed"`
	Result       string                 `json:"result,omitempty"`
	Reason       string                 `json:"reason,omitempty"`
}

type accountView struct {
	Account    string `json:"account"`
	Region     string `json:"region"`
	Guaranteed int64  `json:"guaranteed"`
	Used       int64  `json:"used"`
	Borrowed   int64  `json:"borrowed"`
	Waiting    int64  `json:"waiting"`
	Covered    bool   `json:"covered"`
	Debt       string `json:"debt"`
}

type upstreamView struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	State        string `json:"state"`
	Slots        int32  `json:"slots"`
	Busy         int32  `json:"busy"`
	Accelerators int32  `json:"accelerators"`
	Free         int32  `json:"free"`
}

type regionView struct {
	Region    string `json:"region"`
	Scheduler string `json:"scheduler"`
	Term      int64  `json:"term"`
}

type entryView struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

type logView struct {
	Available  bool  `json:"available"`
	NextOffset int64 `json:"next_offset"`
}

type statusView struct {
	Entry         string         `json:"entry"`
	Service       string         `json:"service"`
	ConfigVersion int64          `json:"config_version"`
	Log           logView        `json:"log"`
	Regions       []regionView   `json:"regions"`
	Accounts      []accountView  `json:"accounts"`
	Jobs          []jobView      `json:"jobs"`
	Upstreams     []upstreamView `json:"upstreams"`
	Entries       []entryView    `json:"entries"`
	// Evacuations are the zones under evacuation.
	Evacuations []evacuationView `json:"evacuations"`
}

func (e *Entry) getJobs(c echo.Context, who principal) error {
	jobs := e.visibleJobs(who)
	views := make([]jobView, 0, len(jobs))
	reasons := e.waitReasons(c.Request().Context())
	for _, j := range jobs {
		views = append(views, e.newJobView(j, reasons))
	}
	return c.JSON(http.StatusOK, map[string][]jobView{"jobs": views})
}

func (e *Entry) getJob(c echo.Context, who principal) error {
	job, ok := e.lookupJob(chestnutpond.JobID(c.Param("id")))
	if !ok || !who.canSee(job) {
		return reply.Reject(c, http.StatusNotFound, chestnutpond.ReasonUnknownJob, "no job "+c.Param("id"))
	}
	var reasons map[string]string
	if job.State == chestnutpond.JobQueued {
		reasons = e.waitReasons(c.Request().Context())
	}
	return c.JSON(http.StatusOK, e.newJobView(job, reasons))
}

func (e *Entry) visibleJobs(who principal) (jobs []ledger.Job) {
	e.tail.View(func(st *ledger.State) { jobs = st.Jobs(who.canSee) })
	return jobs
}

func (e *Entry) newJobView(j ledger.Job, reasons map[string]string) jobView {
	v := jobView{
		ID: j.Spec.ID, Account: j.Spec.Account, Caller: j.Spec.Caller, Kind: j.Spec.Kind, Class: j.Spec.Class,
		Region: j.Spec.Region, State: j.State, Attempt: j.Attempt, Accelerators: j.Spec.Shape.Accelerators,
		Adjacency: j.Spec.Shape.Adjacency, Members: []memberView{}, Guaranteed: j.Guaranteed,
		Result: j.Result, Reason: j.Reason,
	}
	if j.State == chestnutpond.JobQueued {
		v.Waiting = reasons[string(j.Spec.ID)]
		return v
	}
	for _, p := range j.Placements {
		v.Members = append(v.Members, memberView{Member: p.Member, Worker: p.Worker, Accelerators: p.Accelerators})
	}
	if j.State == chestnutpond.JobRunning && !e.allTasksStarted(j) {
		v.State = chestnutpond.JobStarting
	}
	return v
}

// allTasksStarted reports whether the agents of all members report the job's
// tasks as running or completed.
func (e *Entry) allTasksStarted(j ledger.Job) bool {
	for _, p := range j.Placements {
		row, ok := e.group.Row(p.Worker)
		if !ok || !taskStarted(row.Member.GetTasks(), j, p.Member) {
			return false
		}
	}
	return true
}

func taskStarted(tasks []*inner.Task, j ledger.Job, member int) bool {
	for _, t := range tasks {
		if t.GetJob() != string(j.Spec.ID) || t.GetAttempt() != j.Attempt || int(t.GetMember()) != member {
			continue
		}
		s := t.GetState()
		return s == inner.TaskState_TASK_STATE_RUNNING || s == inner.TaskState_TASK_STATE_COMPLETED
	}
	return false
}

func (e *Entry) getStatus(c echo.Context, who principal) error {
	doc, _ := e.currentDocument()
	v := statusView{
		Entry: e.cfg.Name, Service: doc.Service, ConfigVersion: doc.Version,
		Accounts: []accountView{}, Jobs: []jobView{}, Upstreams: []upstreamView{},
		Entries: []entryView{{Name: e.cfg.Name, Region: e.cfg.Region, Zone: e.cfg.Zone}},
	}
	terms := e.terms()
	reasons := make(map[string]string)
	for _, t := range terms {
		v.Regions = append(v.Regions, regionView{Region: t.Region, Scheduler: t.Holder.Process, Term: t.Number})
		reply := e.regionStatus(c.Request().Context(), t)
		for id, reason := range reply.GetReasons() {
			reasons[id] = reason
		}
		v.Accounts = append(v.Accounts, newAccountViews(t.Region, reply, who)...)
	}
	jobs := e.visibleJobs(who)
	v.Evacuations = e.newEvacuationViews(who, v.Accounts, jobs)
	for _, j := range jobs {
		v.Jobs = append(v.Jobs, e.newJobView(j, reasons))
	}
	for _, row := range e.group.Rows() {
		v.Upstreams = append(v.Upstreams, newUpstreamView(row))
	}
	for _, p := range e.group.Peers() {
		if !p.Lost {
			v.Entries = append(v.Entries, entryView{Name: p.Name, Region: p.Region, Zone: p.Zone})
		}
	}
	v.Log.Available = e.tail.Available()
	e.tail.View(func(st *ledger.State) { v.Log.NextOffset = st.Next() })
	return c.JSON(http.StatusOK, v)
}

func (e *Entry) terms() (terms []ledger.Term) {
	e.tail.View(func(st *ledger.State) { terms = st.Terms() })
	return terms
}

// waitReasons returns why jobs wait, by job id, as reported by the schedulers.
func (e *Entry) waitReasons(ctx context.Context) map[string]string {
	all := make(map[string]string)
	for _, t := range e.terms() {
		for id, reason := range e.regionStatus(ctx, t).GetReasons() {
			all[id] = reason
		}
	}
	return all
}

// regionStatus queries the scheduler of a region. It returns an empty reply if
// the scheduler cannot be reached.
func (e *Entry) regionStatus(ctx context.Context, t ledger.Term) *inner.RegionStatusReply {
	if t.Held(e.origin) {
		return e.sched.Status(t.Region)
	}
	peer, ok := e.group.Peer(t.Holder.Process)
	if !ok || peer.Lost {
		return &inner.RegionStatusReply{}
	}
	conn, done, err := e.pool.Get(peer.Address)
	if err != nil {
		return &inner.RegionStatusReply{}
	}
	defer done()
	sctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := inner.NewEntryClient(conn).RegionStatus(sctx, &inner.RegionStatusRequest{Region: t.Region})
	if err != nil {
		return &inner.RegionStatusReply{}
	}
	return reply
}

func newAccountViews(region string, reply *inner.RegionStatusReply, who principal) []accountView {
	var views []accountView
	for _, a := range reply.GetAccounts() {
		if who.operator == "" && a.GetAccount() != who.account.Name {
			continue
		}
		views = append(views, accountView{
			Account: a.GetAccount(), Region: region, Guaranteed: a.GetGuaranteed(), Used: a.GetUsed(),
			Borrowed: a.GetBorrowed(), Waiting: a.GetWaiting(), Covered: a.GetCovered(),
			Debt: a.GetDebt().AsDuration().String(),
		})
	}
	return views
}

func newUpstreamView(row fleet.Row) upstreamView {
	m := row.Member
	v := upstreamView{
		Name: m.GetName(), Region: m.GetRegion(), Zone: m.GetZone(), Rack: m.GetRack(), State: "up",
		Slots: m.GetUpstream().GetSlots(), Busy: m.GetUpstream().GetBusy(),
		Accelerators: m.GetAccelerators(), Free: m.GetAccelerators(),
	}
	for _, t := range m.GetTasks() {
		switch t.GetState() {
		case inner.TaskState_TASK_STATE_HELD, inner.TaskState_TASK_STATE_WAITING, inner.TaskState_TASK_STATE_RUNNING:
			v.Free -= int32(len(t.GetAccelerators()))
		}
	}
	switch {
	case row.Lost:
		v.State = "lost"
	case m.GetDraining():
		v.State = "draining"
	case !m.GetUpstream().GetUp():
		v.State = "upstream_down"
	}
	return v
}
