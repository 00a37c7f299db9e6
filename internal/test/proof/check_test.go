package proof

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// gangBound is the longest time that a part of a gang may run without the
// whole: gang_lease 2.5 s, task_lease 2 s and one stop call 0.5 s.
const gangBound = 5 * time.Second

// caller is one request as its caller saw it.
type caller struct {
	// body is the hash of the request body; requests with the same body are
	// repeats of each other.
	body       string
	idempotent bool
	outcome    chestnutpond.Outcome
	// echo is the answer's body, if the outcome is answered.
	echo stand.Echo
	want stand.Echo
}

// publication is one publication as its operator saw it.
type publication struct {
	id      string
	base    int64
	call    time.Duration
	back    time.Duration
	outcome chestnutpond.Outcome
	// version is the own one if published, the winner's if lost.
	version int64
}

// gangKey names one attempt of a job.
type gangKey struct {
	job     string
	attempt int
}

func splitTask(id chestnutpond.TaskID) (gangKey, int, error) {
	parts := strings.Split(string(id), ".")
	if len(parts) < 3 {
		return gangKey{}, 0, fmt.Errorf("task id %q has no attempt and member", id)
	}
	attempt, err1 := strconv.Atoi(parts[len(parts)-2])
	member, err2 := strconv.Atoi(parts[len(parts)-1])
	return gangKey{strings.Join(parts[:len(parts)-2], "."), attempt}, member, errors.Join(err1, err2)
}

// groupRuns groups runs by attempt; nil if a task id is malformed.
func groupRuns(runs []stand.Run) (map[gangKey][]stand.Run, error) {
	groups := map[gangKey][]stand.Run{}
	for _, r := range runs {
		key, _, err := splitTask(r.Task)
		if err != nil {
			return nil, err
		}
		groups[key] = append(groups[key], r)
	}
	return groups, nil
}

// checkGangs reports each attempt in which some members ran for longer than
// gangBound while another one was neither running nor done.
func checkGangs(runs []stand.Run) error {
	groups, err := groupRuns(runs)
	if err != nil {
		return err
	}
	var problems []error
	for key, group := range groups {
		if alone := longestPartial(group); alone > gangBound {
			problems = append(problems, fmt.Errorf("job %s attempt %d: a part of the gang ran alone for %s", key.job, key.attempt, alone))
		}
	}
	return errors.Join(problems...)
}

func longestPartial(group []stand.Run) time.Duration {
	var instants []time.Time
	for _, r := range group {
		instants = append(instants, r.Start, r.End)
	}
	slices.SortFunc(instants, time.Time.Compare)
	var longest, current time.Duration
	for i := 1; i < len(instants); i++ {
		from, to := instants[i-1], instants[i]
		if !to.After(from) {
			continue
		}
		running, present := presence(group, from)
		if running > 0 && present < group[0].Members {
			current += to.Sub(from)
		} else {
			current = 0
		}
		longest = max(longest, current)
	}
	return longest
}

// presence counts the members that run just after the instant, and those that
// run or are done.
func presence(group []stand.Run, at time.Time) (running, present int) {
	members := map[chestnutpond.TaskID]bool{}
	for _, r := range group {
		runs := !r.Start.After(at) && r.End.After(at)
		if runs {
			running++
		}
		if runs || (r.Phase == chestnutpond.TaskCompleted && !r.End.After(at)) {
			members[r.Task] = true
		}
	}
	return running, len(members)
}

// checkOverlap reports attempts of one job that ran at the same time and tasks
// that shared an accelerator.
func checkOverlap(runs []stand.Run) error {
	var problems []error
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if !a.Start.Before(b.End) || !b.Start.Before(a.End) {
				continue
			}
			ka, _, errA := splitTask(a.Task)
			kb, _, errB := splitTask(b.Task)
			problems = append(problems, errA, errB)
			if ka.job == kb.job && (ka.attempt != kb.attempt || a.Task == b.Task) {
				problems = append(problems, fmt.Errorf("%s on worker %s ran beside %s on worker %s", a.Task, a.Worker, b.Task, b.Worker))
			}
			if a.Worker == b.Worker && slices.ContainsFunc(a.Accelerators, func(x int) bool { return slices.Contains(b.Accelerators, x) }) {
				problems = append(problems, fmt.Errorf("%s and %s shared an accelerator of worker %s", a.Task, b.Task, a.Worker))
			}
		}
	}
	return errors.Join(problems...)
}

// checkJobs reports each accepted job that did not complete exactly once, and
// each task of a job that nobody was told of. A run that went to its end while
// another member was lost does not count: the attempt must be whole.
func checkJobs(accepted []chestnutpond.JobID, states map[chestnutpond.JobID]chestnutpond.JobState, runs []stand.Run) error {
	groups, err := groupRuns(runs)
	if err != nil {
		return err
	}
	whole := map[string]int{}
	for key, group := range groups {
		done := map[chestnutpond.TaskID]bool{}
		for _, r := range group {
			if r.Phase == chestnutpond.TaskCompleted {
				done[r.Task] = true
			}
		}
		if len(done) == group[0].Members {
			whole[key.job]++
		}
	}
	var problems []error
	for _, id := range accepted {
		if states[id] != chestnutpond.JobCompleted {
			problems = append(problems, fmt.Errorf("job %s is %q", id, states[id]))
		}
		if whole[string(id)] != 1 {
			problems = append(problems, fmt.Errorf("job %s completed %d times: %s", id, whole[string(id)], describeRuns(id, runs)))
		}
	}
	for key := range groups {
		if !slices.Contains(accepted, chestnutpond.JobID(key.job)) {
			problems = append(problems, fmt.Errorf("job %s ran and was not accepted", key.job))
		}
	}
	return errors.Join(problems...)
}

// checkRequests reports answers to other requests, "not run" requests that ran,
// answers without an execution and second executions of non-idempotent
// requests. Executions count by the hash of the body.
func checkRequests(callers []caller, executions map[string]int) error {
	var problems []error
	mayRun := map[string]bool{}
	for _, c := range callers {
		switch c.outcome {
		case chestnutpond.OutcomeNotRun, chestnutpond.OutcomeRejected:
		case chestnutpond.OutcomeAnswered:
			if c.echo.Length != c.want.Length || c.echo.XXHash64 != c.want.XXHash64 || c.echo.Kind != c.want.Kind ||
				(c.want.Request != "" && c.echo.Request != c.want.Request) {
				problems = append(problems, fmt.Errorf("request %s: got the answer %+v, want %+v", c.body, c.echo, c.want))
			}
			if executions[c.body] == 0 {
				problems = append(problems, fmt.Errorf("request %s: answered and never executed", c.body))
			}
			mayRun[c.body] = true
		default:
			mayRun[c.body] = true
		}
		if !c.idempotent && executions[c.body] > 1 {
			problems = append(problems, fmt.Errorf("request %s: not idempotent and executed %d times", c.body, executions[c.body]))
		}
	}
	for _, c := range callers {
		if !mayRun[c.body] && executions[c.body] > 0 {
			problems = append(problems, fmt.Errorf("request %s: told %s and executed %d times", c.body, c.outcome, executions[c.body]))
		}
	}
	return errors.Join(problems...)
}

// checkVersions reports each process whose version went down. The key is one
// incarnation of a process.
func checkVersions(seen map[string][]int64) error {
	var problems []error
	for process, versions := range seen {
		if !slices.IsSorted(versions) {
			problems = append(problems, fmt.Errorf("process %s: versions went down: %v", process, versions))
		}
	}
	return errors.Join(problems...)
}

// document is the state of the published document: version and the id of the
// publication that made it.
type document struct {
	version int64
	id      string
}

// checkPublications reports a history that no single order of the publications
// explains. final is what every process holds after all of them.
func checkPublications(start int64, history []publication, final document) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{document{version: start}} },
		Step: func(state, input, _ any) []any { return stepDocument(state.(document), input) },
	}
	var operations []porcupine.Operation
	for i, p := range history {
		back := int64(p.back)
		if p.outcome == chestnutpond.OutcomeUnknown {
			// It may take effect at any later time.
			back = math.MaxInt64 - 1
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: p, Call: int64(p.call), Return: back})
	}
	operations = append(operations, porcupine.Operation{
		ClientId: len(history), Input: final, Call: math.MaxInt64, Return: math.MaxInt64,
	})
	if !porcupine.CheckOperations(model.ToModel(), operations) {
		return fmt.Errorf("no order of the publications explains %+v with the end %+v", history, final)
	}
	return nil
}

// stepDocument returns the states after the input, none if it is impossible.
func stepDocument(now document, input any) []any {
	p, isPublication := input.(publication)
	if !isPublication {
		if now == input.(document) {
			return []any{now}
		}
		return nil
	}
	next := document{version: p.base + 1, id: p.id}
	switch {
	case p.outcome == chestnutpond.OutcomePublished && now.version == p.base && p.version == next.version:
		return []any{next}
	case p.outcome == chestnutpond.OutcomeLost && now.version > p.base && p.version > p.base && p.version <= now.version:
		return []any{now}
	case p.outcome == chestnutpond.OutcomeNotRun, p.outcome == chestnutpond.OutcomeRejected:
		return []any{now}
	case p.outcome == chestnutpond.OutcomeUnknown && now.version == p.base:
		return []any{now, next}
	case p.outcome == chestnutpond.OutcomeUnknown:
		return []any{now}
	}
	return nil
}

// describeRuns lists the runs of a job for a person who looks for the cause.
func describeRuns(id chestnutpond.JobID, runs []stand.Run) string {
	var lines []string
	for _, r := range runs {
		if strings.HasPrefix(string(r.Task), string(id)+".") {
			lines = append(lines, fmt.Sprintf("%s on %s from %s to %s %s", r.Task, r.Worker,
				r.Start.Format(time.StampMilli), r.End.Format(time.StampMilli), r.Phase))
		}
	}
	return strings.Join(lines, "; ")
}
