package check

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// second returns a time of the histories.
func second(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

// history is a good history of a job of a gang of two after a step of two tasks, at most one
// of them on a worker. It ends at second 20.
func history() (GraphJob, []stand.TaskRun) {
	job := GraphJob{
		Graph: chestnutpond.Graph{
			Queue: chestnutpond.QueuePolicy{MaxAttempts: 2},
			Steps: []chestnutpond.Step{{Count: 2, PerWorker: 1, Label: "a"}, {Count: 2, Gang: true, After: []int{0}}},
		},
		Calls: []GraphCall{
			{Method: GraphSubmit, Account: "o", Sent: second(0), Answered: second(0.5), Outcome: chestnutpond.OutcomeAccepted},
			{Method: GraphState, Account: "x", Sent: second(1), Answered: second(1), Outcome: chestnutpond.OutcomeRejected, Reason: chestnutpond.ReasonUnknownJob},
			{Method: GraphState, Account: "o", Sent: second(9), Answered: second(9), Outcome: chestnutpond.OutcomeAnswered, State: chestnutpond.JobCompleted},
		},
	}
	run := func(step, index int, number int64, worker string, from, to float64, ending chestnutpond.RunOutcome) stand.TaskRun {
		life := chestnutpond.WorkerIncarnation{ID: worker, StartedMs: 1}
		return stand.TaskRun{
			Task: chestnutpond.TaskRef{Job: "j", Step: step, Index: index}, Run: number, Worker: life, Ordered: life, Labels: []string{"a"},
			Confirmed: second(-9), Called: second(from), Start: second(from), End: second(to), Ending: ending, Noted: second(to + 0.2),
		}
	}
	const done, failed = chestnutpond.RunDone, chestnutpond.RunFailed
	return job, []stand.TaskRun{
		run(0, 0, 1, "w1", 1, 2, failed), run(0, 1, 1, "w2", 1, 3, done), run(0, 0, 2, "w1", 2, 4, done),
		run(1, 0, 1, "w1", 5, 7, done), run(1, 1, 1, "w1", 5, 7, done),
	}
}

// Guards against a checker that accepts anything, or that rejects what is right.
func TestGraphs(t *testing.T) {
	call := func(method GraphMethod, account string, at float64, outcome chestnutpond.Outcome, reason chestnutpond.Reason) GraphCall {
		return GraphCall{Method: method, Account: account, Sent: second(at), Answered: second(at), Outcome: outcome, Reason: reason}
	}
	const accepted, rejected, cancelled = chestnutpond.OutcomeAccepted, chestnutpond.OutcomeRejected, chestnutpond.OutcomeCancelled
	other := chestnutpond.WorkerIncarnation{ID: "w1", StartedMs: 2}
	for name, c := range map[string]struct {
		change func(j *GraphJob, runs []stand.TaskRun)
		// want is in the problem; empty means that there is none.
		want string
	}{
		"good":                     {func(*GraphJob, []stand.TaskRun) {}, ""},
		"two runs at a time":       {func(_ *GraphJob, r []stand.TaskRun) { r[0].End = second(2.5) }, "while run 1 on w1 runs"},
		"run after a recorded end": {func(_ *GraphJob, r []stand.TaskRun) { r[0].Ending, r[0].Noted = chestnutpond.RunDone, second(2.1) }, "was recorded"},
		"step too early":           {func(_ *GraphJob, r []stand.TaskRun) { r[3].Start = second(3.5) }, "before step 0 was done"},
		"step after a failed one":  {func(_ *GraphJob, r []stand.TaskRun) { r[2].Ending = chestnutpond.RunFailed }, "before step 0 was done"},
		"occurrence too early": {func(j *GraphJob, _ []stand.TaskRun) {
			j.Graph.Schedule = chestnutpond.Schedule{First: second(2), Repetitions: 1}
		}, "it is due at"},
		"step that is not there": {func(j *GraphJob, _ []stand.TaskRun) { j.Graph.Steps = j.Graph.Steps[:1] }, "does not have"},
		"too many failures": {func(j *GraphJob, r []stand.TaskRun) {
			j.Graph.Queue.MaxAttempts = 1
			r[2].Ending = chestnutpond.RunFailed
		}, "is failure 2"},
		"failures of a perpetual task": {func(j *GraphJob, r []stand.TaskRun) {
			j.Graph.Steps[0].Perpetual, j.Graph.Queue.MaxAttempts = true, 0
			r[2].Ending, j.Graph.Steps[1].After, j.Calls = chestnutpond.RunFailed, nil, j.Calls[1:2]
			j.Calls = append(j.Calls, call(GraphSubmit, "o", 1, chestnutpond.OutcomeUnknown, ""))
		}, ""},
		"a failure nobody recorded":  {func(j *GraphJob, r []stand.TaskRun) { j.Graph.Queue.MaxAttempts = 1; r[0].Noted = time.Time{} }, ""},
		"part of a gang":             {func(_ *GraphJob, r []stand.TaskRun) { r[4].Start, r[4].End = second(9), second(13) }, "present alone as run 1"},
		"gang that ends apart":       {func(_ *GraphJob, r []stand.TaskRun) { r[3].End = second(11) }, "present alone as run 1"},
		"gang done as two runs":      {func(_ *GraphJob, r []stand.TaskRun) { r[4].Run = 2 }, "in part as run 2"},
		"label":                      {func(_ *GraphJob, r []stand.TaskRun) { r[1].Labels = []string{"b"} }, "has the labels"},
		"label of a life not known":  {func(_ *GraphJob, r []stand.TaskRun) { r[1].Labels, r[1].Confirmed = nil, time.Time{} }, ""},
		"label of a late order":      {func(_ *GraphJob, r []stand.TaskRun) { r[1].Labels, r[1].Ordered = nil, other }, ""},
		"spread":                     {func(_ *GraphJob, r []stand.TaskRun) { r[1].Worker.ID, r[1].Ordered.ID = "w1", "w1" }, "allowed are 1"},
		"shown as queued at last":    {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[2].State = chestnutpond.JobQueued }, "at last"},
		"never asked":                {func(j *GraphJob, _ []stand.TaskRun) { j.Calls = j.Calls[:1] }, "at last"},
		"completed before the end":   {func(_ *GraphJob, r []stand.TaskRun) { r[1].Ending = chestnutpond.RunStopped; r[1].Start = second(0.9) }, "3 of 4 tasks"},
		"failed too soon":            {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[2].State = chestnutpond.JobFailed }, "shown as failed after 1"},
		"cancelled by nobody":        {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[2].State = chestnutpond.JobCancelled }, "nobody cancelled"},
		"cancelled":                  {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[1] = call(GraphCancel, "o", 5, cancelled, "") }, ""},
		"start after a cancellation": {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[1] = call(GraphCancel, "o", 1.5, cancelled, "") }, "was ordered at"},
		"start after an early cancellation": {func(j *GraphJob, _ []stand.TaskRun) {
			j.Calls[1] = call(GraphCancel, "o", 0, rejected, chestnutpond.ReasonUnknownJob)
		}, "was ordered at"},
		"cancelled by another account": {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[1] = call(GraphCancel, "x", 1, cancelled, "") }, "does not own it"},
		"shown to another account": {func(j *GraphJob, _ []stand.TaskRun) {
			j.Calls[1] = call(GraphState, "x", 1, chestnutpond.OutcomeAnswered, "")
		}, "does not own it"},
		"accepted twice":       {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[1] = call(GraphSubmit, "x", 1, accepted, "") }, "accepted from o"},
		"rejected and started": {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[0].Outcome = rejected }, "only rejected"},
		"in doubt and started": {func(j *GraphJob, _ []stand.TaskRun) { j.Calls[0].Outcome = chestnutpond.OutcomeUnknown }, ""},
		"unknown to its owner": {func(j *GraphJob, _ []stand.TaskRun) {
			j.Calls[1] = call(GraphState, "o", 1, rejected, chestnutpond.ReasonUnknownJob)
		}, "and unknown at"},
		"unknown after its retention": {func(j *GraphJob, _ []stand.TaskRun) {
			j.Calls = append(j.Calls, call(GraphState, "o", 40, rejected, chestnutpond.ReasonUnknownJob))
		}, ""},
		"another end later": {func(j *GraphJob, _ []stand.TaskRun) {
			again := j.Calls[2]
			again.State = chestnutpond.JobFailed
			j.Calls = append(j.Calls, again)
		}, "shown as completed, and as failed"},
	} {
		t.Run(name, func(t *testing.T) {
			job, runs := history()
			c.change(&job, runs)
			err := Graphs(GraphHistory{
				Jobs: map[chestnutpond.JobID]GraphJob{"j": job}, Runs: runs, Over: second(20),
				Bounds: GraphBounds{Retention: 30 * time.Second, Cancel: time.Second / 4, Report: time.Second, Gang: 3 * time.Second},
			})
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, err != nil && strings.Contains(err.Error(), c.want), "%v", err)
		})
	}
}
