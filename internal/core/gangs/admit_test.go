package gangs

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var start = time.Unix(1000, 0)

// fixture is a table of an agent with 4 accelerators and a clean worker, and the
// test's clock.
type fixture struct {
	*Table
	t   *testing.T
	now time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{Table: New(Config{Name: "a0", Incarnation: 3, Region: "amd", Accelerators: 4}), t: t, now: start}
	f.SetClean()
	return f
}

func prepareReq(job string, attempt int64, member int32, accelerators ...int32) *inner.PrepareRequest {
	return &inner.PrepareRequest{
		Region: "amd", Term: 5, Job: job, Attempt: attempt, Member: member,
		Accelerators: accelerators, HoldTtl: durationpb.New(ReservationTTL), Incarnation: 3,
	}
}

func commitReq(job string, attempt int64, accelerators ...int32) *inner.CommitRequest {
	return &inner.CommitRequest{
		Region: "amd", Term: 5, Job: job, Attempt: attempt, Member: 0,
		Gang: []*inner.GangMember{
			{Member: 0, Agent: "a0", Incarnation: 3, Address: "a0:1", Accelerators: accelerators},
			{Member: 1, Agent: "a1", Incarnation: 9, Address: "a1:1", Accelerators: []int32{0}},
		},
	}
}

func (f *fixture) reserve(job string, attempt int64, accelerators ...int32) {
	f.t.Helper()
	v := f.Prepare(prepareReq(job, attempt, 0, accelerators...), f.now)
	assert.Assert(f.t, v.OK, v.Reason)
}

func (f *fixture) commit(job string, attempt int64, accelerators ...int32) Key {
	f.t.Helper()
	f.reserve(job, attempt, accelerators...)
	v, fresh := f.Commit(commitReq(job, attempt, accelerators...), f.now)
	assert.Assert(f.t, v.OK && fresh, v.Reason)
	return Key{Job: job, Attempt: attempt}
}

func (f *fixture) stop(job string, attempt, term int64, fence bool) Stopping {
	return f.Stop(&inner.StopRequest{Region: "amd", Term: term, Job: job, Attempt: attempt, Fence: fence}, f.now)
}

// Guards against an accelerator that is reserved twice, and against requests of
// a scheduler whose term is over.
func TestPrepare(t *testing.T) {
	const (
		stale  = inner.Refusal_REFUSAL_STALE
		fenced = inner.Refusal_REFUSAL_FENCED
		none   = inner.Refusal_REFUSAL_NO_ACCELERATOR
	)
	cases := map[string]struct {
		before func(f *fixture)
		change func(req *inner.PrepareRequest)
		want   inner.Refusal
	}{
		"free":                      {},
		"repeat":                    {before: func(f *fixture) { f.reserve("j", 1, 0, 1) }},
		"old term":                  {before: func(f *fixture) { f.stop("x", 1, 6, false) }, want: stale},
		"other region":              {change: func(r *inner.PrepareRequest) { r.Region = "srt" }, want: stale},
		"other incarnation":         {change: func(r *inner.PrepareRequest) { r.Incarnation = 2 }, want: stale},
		"draining":                  {before: func(f *fixture) { f.Drain() }, want: inner.Refusal_REFUSAL_DRAINING},
		"fenced":                    {before: func(f *fixture) { f.stop("j", 1, 5, true) }, want: fenced},
		"fenced by a newer attempt": {before: func(f *fixture) { f.stop("j", 2, 5, true) }, want: fenced},
		"fence of an older attempt": {before: func(f *fixture) { f.stop("j", 0, 5, true) }},
		"no such accelerator":       {change: func(r *inner.PrepareRequest) { r.Accelerators = []int32{0, 4} }, want: none},
		"negative accelerator":      {change: func(r *inner.PrepareRequest) { r.Accelerators = []int32{-1} }, want: none},
		"listed twice":              {change: func(r *inner.PrepareRequest) { r.Accelerators = []int32{0, 0} }, want: none},
		"none requested":            {change: func(r *inner.PrepareRequest) { r.Accelerators = nil }, want: none},
		"reserved":                  {before: func(f *fixture) { f.reserve("x", 1, 1) }, want: none},
		"committed":                 {before: func(f *fixture) { f.commit("x", 1, 1) }, want: none},
		"reservation expired":       {before: func(f *fixture) { f.reserve("x", 1, 1); f.now = f.now.Add(ReservationTTL) }},
		"reservation about to expire": {
			before: func(f *fixture) { f.reserve("x", 1, 1); f.now = f.now.Add(ReservationTTL - 1) }, want: none,
		},
		"reservation of an old term": {
			before: func(f *fixture) { f.reserve("x", 1, 1); f.stop("y", 1, 6, false) },
			change: func(r *inner.PrepareRequest) { r.Term = 6 },
		},
		"attempt number reused":  {before: func(f *fixture) { f.Prepare(prepareReq("j", 1, 1, 1), f.now) }},
		"newer attempt reserved": {before: func(f *fixture) { f.reserve("j", 2, 3) }, want: stale},
		"already committed":      {before: func(f *fixture) { f.commit("j", 1, 0, 1) }, want: stale},
		"older attempt runs":     {before: func(f *fixture) { f.commit("j", 0, 3) }, want: none},
		"older attempt ended": {before: func(f *fixture) {
			f.commit("j", 0, 0)
			f.stop("j", 0, 5, false)
		}},
		"released": {
			before: func(f *fixture) {
				f.commit("j", 1, 0)
				f.stop("j", 1, 5, false)
				f.Release([]string{"j.1.0"}, f.now)
			},
			want: fenced,
		},
		"worker does not answer": {before: func(f *fixture) { f.SetWorkerUp(false) }, want: none},
		"worker not clean":       {before: func(f *fixture) { f.Table = New(f.cfg); f.SetWorkerUp(true) }, want: none},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if c.before != nil {
				c.before(f)
			}
			req := prepareReq("j", 1, 0, 0, 1)
			if c.change != nil {
				c.change(req)
			}
			v := f.Prepare(req, f.now)
			assert.Equal(t, v.Refusal, c.want, v.Reason)
			assert.Equal(t, v.OK, c.want == 0)
		})
	}
}

// Guards against a task that is committed without an unexpired reservation.
func TestCommit(t *testing.T) {
	const stale = inner.Refusal_REFUSAL_STALE
	reserved := func(f *fixture) { f.reserve("j", 1, 0, 1) }
	cases := map[string]struct {
		before func(f *fixture)
		change func(req *inner.CommitRequest)
		want   inner.Refusal
	}{
		"reserved":                {before: reserved},
		"repeat":                  {before: func(f *fixture) { f.commit("j", 1, 0, 1); f.now = f.now.Add(time.Hour) }},
		"not reserved":            {want: stale},
		"expired":                 {before: func(f *fixture) { reserved(f); f.now = f.now.Add(ReservationTTL) }, want: stale},
		"dropped by a stop":       {before: func(f *fixture) { reserved(f); f.stop("j", 1, 5, false) }, want: stale},
		"fenced":                  {before: func(f *fixture) { reserved(f); f.stop("j", 1, 5, true) }, want: inner.Refusal_REFUSAL_FENCED},
		"old term":                {before: func(f *fixture) { reserved(f); f.stop("x", 1, 6, false) }, want: stale},
		"reserved in an old term": {before: reserved, change: func(r *inner.CommitRequest) { r.Term = 6 }, want: stale},
		"draining":                {before: func(f *fixture) { reserved(f); f.Drain() }, want: inner.Refusal_REFUSAL_DRAINING},
		"other accelerators":      {before: func(f *fixture) { f.reserve("j", 1, 2) }, want: stale},
		"other agent":             {before: reserved, change: func(r *inner.CommitRequest) { r.Gang[0].Agent = "a7" }, want: stale},
		"empty gang":              {before: reserved, change: func(r *inner.CommitRequest) { r.Gang = nil }, want: stale},
		"members not numbered":    {before: reserved, change: func(r *inner.CommitRequest) { r.Gang[1].Member = 7 }, want: stale},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if c.before != nil {
				c.before(f)
			}
			req := commitReq("j", 1, 0, 1)
			if c.change != nil {
				c.change(req)
			}
			v, fresh := f.Commit(req, f.now)
			assert.Equal(t, v.Refusal, c.want, v.Reason)
			assert.Equal(t, fresh, c.want == 0 && name != "repeat")
		})
	}
}

// Guards against a final state that differs from what the worker reports, and
// against a task that ends because of a list from before its start.
func TestReport(t *testing.T) {
	cases := map[string]struct {
		list       []chestnutpond.TaskStatus
		asked      time.Duration
		maxRuntime time.Duration
		want       inner.TaskState
		drop       int
	}{
		"running": {list: []chestnutpond.TaskStatus{{ID: "j.1.0", Phase: "running"}}, want: inner.TaskState_TASK_STATE_RUNNING},
		// A completed task stays on the worker until it is released.
		"completed":       {list: []chestnutpond.TaskStatus{{ID: "j.1.0", Phase: "completed"}}, want: inner.TaskState_TASK_STATE_COMPLETED},
		"failed":          {list: []chestnutpond.TaskStatus{{ID: "j.1.0", Phase: "failed"}}, want: inner.TaskState_TASK_STATE_FAILED, drop: 1},
		"stopped":         {list: []chestnutpond.TaskStatus{{ID: "j.1.0", Phase: "stopped"}}, want: inner.TaskState_TASK_STATE_STOPPED, drop: 1},
		"missing":         {asked: 1, want: inner.TaskState_TASK_STATE_STOPPED},
		"old list":        {asked: -1, want: inner.TaskState_TASK_STATE_RUNNING},
		"result too long": {list: []chestnutpond.TaskStatus{{ID: "j.1.0", Phase: "completed", Result: strings.Repeat("x", MaxResult+1)}}, want: inner.TaskState_TASK_STATE_FAILED, drop: 1},
		"unknown task": {
			list: []chestnutpond.TaskStatus{{ID: "j.1.0", Phase: "running"}, {ID: "x.1.0", Phase: "running"}},
			want: inner.TaskState_TASK_STATE_RUNNING, drop: 1,
		},
		"over its maximum run time": {asked: -1, maxRuntime: time.Second, want: inner.TaskState_TASK_STATE_FAILED},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.reserve("j", 1, 0)
			req := commitReq("j", 1, 0)
			req.MaxRuntime = durationpb.New(c.maxRuntime)
			f.Commit(req, f.now)
			key := Key{Job: "j", Attempt: 1}
			f.ApplyReply(key, f.now, &inner.BeatReply{Go: true}, f.now)
			assert.Equal(t, f.Next(key, f.now).Action, Start)
			f.Started(key, nil, f.now)
			drop := f.ApplyTaskList(c.list, f.now.Add(c.asked), f.now)
			assert.Equal(t, len(drop), c.drop)
			f.now = f.now.Add(time.Second)
			if f.Next(key, f.now).Action == Stop {
				// The beat reports the end of the member before the worker has
				// confirmed the stop.
				b, _ := f.Beat(key, f.now)
				assert.Equal(t, b.Request.GetState(), c.want)
				f.Stopped(key, nil, f.now)
			}
			assert.Equal(t, f.Rows(f.now)[0].GetState(), c.want)
		})
	}
}

// Guards against an agent that was paused and then starts or renews a task whose
// lease expired during the pause.
func TestPause(t *testing.T) {
	cases := map[string]struct {
		started bool
		pause   time.Duration
		want    Action
	}{
		"before the start":         {pause: GangLease, want: Ended},
		"briefly before the start": {pause: GangLease - 1, want: Start},
		"running":                  {started: true, pause: time.Minute, want: Stop},
		"briefly while running":    {started: true, pause: TaskLease - 1, want: Renew},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			key := f.commit("j", 1, 0)
			f.ApplyReply(key, f.now, &inner.BeatReply{Go: true}, f.now)
			if c.started {
				assert.Equal(t, f.Next(key, f.now).Action, Start)
				f.Started(key, nil, f.now)
			}
			f.now = f.now.Add(c.pause)
			assert.Equal(t, f.Next(key, f.now).Action, c.want)
		})
	}
}
