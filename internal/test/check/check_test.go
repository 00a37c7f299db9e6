package check

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// ran is a run of a gang of two between two times in seconds.
func ran(task chestnutpond.TaskID, worker string, from, to float64, phase chestnutpond.TaskPhase) stand.Run {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	return stand.Run{
		Worker: worker, Task: task, Members: 2, Accelerators: []int{0, 1}, Start: at(from), End: at(to), Phase: phase,
	}
}

// Guards against checkers that accept anything: each has a good history that it
// must accept and bad ones that it must reject.
func TestCheckers(t *testing.T) {
	const done, stopped = chestnutpond.TaskCompleted, chestnutpond.TaskStopped
	jobs := func(runs ...stand.Run) error {
		return Jobs([]chestnutpond.JobID{"j"}, map[chestnutpond.JobID]chestnutpond.JobState{"j": chestnutpond.JobCompleted}, runs)
	}
	request := func(outcome chestnutpond.Outcome, idempotent bool, executions int) error {
		echo := stand.Echo{Request: "r", Length: 1, XXHash64: "b"}
		c := Caller{Body: "b", Idempotent: idempotent, Outcome: outcome, Echo: echo, Want: echo}
		return Requests([]Caller{c}, map[string]int{"b": executions})
	}
	wrong := func(change func(e *stand.Echo)) error {
		c := Caller{Body: "b", Outcome: chestnutpond.OutcomeAnswered, Want: stand.Echo{Request: "r", Kind: "k", Length: 1, XXHash64: "b"}}
		c.Echo = c.Want
		change(&c.Echo)
		return Requests([]Caller{c}, map[string]int{"b": 1})
	}
	cases := map[string]struct {
		err  error
		want string
	}{
		"gang runs whole": {err: Gangs([]stand.Run{ran("j.1.0", "a", 0, 20, done), ran("j.1.1", "b", 1, 30, done)})},
		"gang loses a member and stops within the bound": {
			err: Gangs([]stand.Run{ran("j.1.0", "a", 0, 20, stopped), ran("j.1.1", "b", 0, 24.9, stopped)}),
		},
		"gang loses a member and runs on": {
			err:  Gangs([]stand.Run{ran("j.1.0", "a", 0, 20, stopped), ran("j.1.1", "b", 0, 25.1, done)}),
			want: "ran alone for 5.1s",
		},
		"member never starts": {err: Gangs([]stand.Run{ran("j.1.0", "a", 0, 6, done)}), want: "ran alone for 6s"},
		"member starts late": {
			err:  Gangs([]stand.Run{ran("j.1.0", "a", 0, 20, done), ran("j.1.1", "b", 5.5, 20, done)}),
			want: "ran alone for 5.5s",
		},
		"failed member does not count as done": {
			err:  Gangs([]stand.Run{ran("j.1.0", "a", 0, 1, chestnutpond.TaskFailed), ran("j.1.1", "b", 0, 9, done)}),
			want: "ran alone for 8s",
		},
		"attempts one after the other": {
			err: Overlap([]stand.Run{ran("j.1.0", "a", 0, 2, stopped), ran("j.2.0", "a", 2, 4, done)}),
		},
		"attempts overlap": {
			err:  Overlap([]stand.Run{ran("j.1.0", "a", 0, 2, stopped), ran("j.2.1", "b", 1.9, 4, done)}),
			want: "ran beside",
		},
		"one member on two workers": {
			err:  Overlap([]stand.Run{ran("j.1.0", "a", 0, 2, done), ran("j.1.0", "b", 1, 2, done)}),
			want: "ran beside",
		},
		"accelerator shared": {
			err:  Overlap([]stand.Run{ran("j.1.0", "a", 0, 2, done), ran("k.1.0", "a", 1, 3, done)}),
			want: "shared an accelerator",
		},
		"job completes after a lost attempt": {
			err: jobs(ran("j.1.0", "a", 0, 1, stopped), ran("j.1.1", "b", 0, 1, done), ran("j.2.0", "a", 9, 11, done), ran("j.2.1", "b", 9, 11, done)),
		},
		"job completes twice": {
			err:  jobs(ran("j.1.0", "a", 0, 1, done), ran("j.1.1", "b", 0, 1, done), ran("j.2.0", "a", 2, 3, done), ran("j.2.1", "b", 2, 3, done)),
			want: "completed 2 times",
		},
		"job reported without a whole run": {err: jobs(ran("j.1.0", "a", 0, 1, done)), want: "completed 0 times"},
		"job ends otherwise":               {err: Jobs([]chestnutpond.JobID{"j"}, nil, nil), want: `job j is ""`},
		"job without acceptance":           {err: jobs(ran("k.1.0", "a", 0, 1, done)), want: "was not accepted"},
		"task id without attempt":          {err: jobs(ran("k", "a", 0, 1, done)), want: "no attempt"},

		"answered once":                      {err: request(chestnutpond.OutcomeAnswered, false, 1)},
		"idempotent request twice":           {err: request(chestnutpond.OutcomeAnswered, true, 2)},
		"unknown and executed":               {err: request(chestnutpond.OutcomeUnknown, false, 1)},
		"not run":                            {err: request(chestnutpond.OutcomeNotRun, false, 0)},
		"not run and executed":               {err: request(chestnutpond.OutcomeNotRun, true, 1), want: "told not_run"},
		"rejected and executed":              {err: request(chestnutpond.OutcomeRejected, true, 1), want: "told rejected"},
		"non-idempotent request twice":       {err: request(chestnutpond.OutcomeUnknown, false, 2), want: "executed 2 times"},
		"answered and not executed":          {err: request(chestnutpond.OutcomeAnswered, true, 0), want: "never executed"},
		"answer of another request":          {err: wrong(func(e *stand.Echo) { e.XXHash64 = "c" }), want: "got the answer"},
		"answer of another length":           {err: wrong(func(e *stand.Echo) { e.Length = 2 }), want: "got the answer"},
		"answer of another kind":             {err: wrong(func(e *stand.Echo) { e.Kind = "l" }), want: "got the answer"},
		"answer of another identity":         {err: wrong(func(e *stand.Echo) { e.Request = "s" }), want: "got the answer"},
		"versions rise":                      {err: Versions(map[string][]int64{"a/1": {0, 1, 1, 3}, "a/2": {0}})},
		"version goes down":                  {err: Versions(map[string][]int64{"a/1": {1, 2, 1}}), want: "went down"},
		"one of two publications wins":       {err: publications(Document{1, "b"}, published("b", 0, 1), lost("a", 0, 1))},
		"unknown took effect":                {err: publications(Document{2, "b"}, unknown("a", 0), published("b", 1, 2))},
		"unknown took no effect":             {err: publications(Document{1, "b"}, unknown("a", 0), published("b", 0, 1))},
		"both publications win":              {err: publications(Document{1, "b"}, published("a", 0, 1), published("b", 0, 1)), want: "no order"},
		"both lose":                          {err: publications(Document{}, lost("a", 0, 1), lost("b", 0, 1)), want: "no order"},
		"loser in force":                     {err: publications(Document{1, "a"}, published("b", 0, 1), lost("a", 0, 1)), want: "no order"},
		"published with a version too high":  {err: publications(Document{2, "a"}, published("a", 0, 2)), want: "no order"},
		"unknown in force over a later base": {err: publications(Document{1, "a"}, unknown("a", 0), published("b", 0, 1)), want: "no order"},
		"rejected and in force": {
			err:  publications(Document{1, "a"}, Publication{ID: "a", Outcome: chestnutpond.OutcomeRejected}),
			want: "no order",
		},
		"not run and in force": {
			err:  publications(Document{1, "a"}, Publication{ID: "a", Outcome: chestnutpond.OutcomeNotRun}),
			want: "no order",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.want == "" {
				assert.NilError(t, c.err)
				return
			}
			assert.ErrorContains(t, c.err, c.want)
		})
	}
}

// Guards against an order that contradicts real time: a Publication that was
// answered before another began cannot come after it.
func TestPublicationsKeepRealTime(t *testing.T) {
	early, late := lost("a", 0, 1), published("b", 0, 1)
	early.Call, early.Back = 1, 2
	late.Call, late.Back = 3, 4
	assert.ErrorContains(t, Publications(0, []Publication{early, late}, Document{1, "b"}), "no order")
}

func publications(final Document, history ...Publication) error {
	return Publications(0, history, final)
}

func published(id string, base, version int64) Publication {
	return Publication{ID: id, Base: base, Back: 1, Outcome: chestnutpond.OutcomePublished, Version: version}
}

func lost(id string, base, version int64) Publication {
	return Publication{ID: id, Base: base, Back: 1, Outcome: chestnutpond.OutcomeLost, Version: version}
}

func unknown(id string, base int64) Publication {
	return Publication{ID: id, Base: base, Back: 1, Outcome: chestnutpond.OutcomeUnknown}
}
