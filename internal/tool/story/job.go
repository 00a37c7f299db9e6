package story

import (
	"fmt"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// before is how long before a job's first line the lines about its processes
// belong to its story: a lease and a change of leader.
const before = 8 * time.Second

// runKey names a run.
type runKey struct {
	task string
	run  int64
}

// Job returns the lines about a job, and those about what the processes on its
// way believed meanwhile, in the order in which they were read.
func (l *Log) Job(id chestnutpond.JobID) []Line {
	processes, workers := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Job != id {
			continue
		}
		processes[line.Process] = true
		if w := line.Field("worker"); w != "" {
			workers[w] = true
		}
		if first.IsZero() || line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	var story []Line
	for _, line := range l.Lines {
		near := !line.At.Before(first.Add(-before)) && !line.At.After(last)
		if line.Job == id || near && line.Job == "" && processes[line.Process] && line.concerns(processes, workers) {
			story = append(story, line)
		}
	}
	return story
}

// concerns reports whether a line about no job may matter to one that used these
// processes and workers.
func (l *Line) concerns(processes, workers map[string]bool) bool {
	if w := l.Field("worker"); w != "" {
		return workers[w]
	}
	if a := l.Field("agent"); a != "" {
		return processes[a]
	}
	// A line with a path is about another client's call.
	return l.Field("path") == ""
}

// Events returns lines as events of a time line. A line about a run comes after
// the line of another process that led to it.
func Events(lines []Line) []chestnutpond.Event {
	type step struct {
		runKey
		text string
	}
	ids := map[step]chestnutpond.EventID{}
	for i := range lines {
		if lines[i].Task != "" {
			ids[step{runKey{lines[i].Task, lines[i].Run}, lines[i].Part + ": " + lines[i].Text}] = lines[i].id()
		}
	}
	causes := map[string][]string{
		"agent: run started":                         {"lead: run placed"},
		"agent: run stopped":                         {"lead: run stopped"},
		"agent: start refused":                       {"lead: run placed"},
		"agent: start withheld from draining worker": {"lead: run placed"},
		"lead: run run_end":                          {"agent: run stopped", "agent: start refused", "agent: start withheld from draining worker", "agent: run started"},
	}
	events := make([]chestnutpond.Event, 0, len(lines))
	for i := range lines {
		line := &lines[i]
		e := chestnutpond.Event{
			ID: line.id(), Process: line.Process, Incarnation: line.Boot, Sequence: line.Sequence, At: line.At,
			Kind: chestnutpond.EventKind(line.Level), Detail: line.Detail(),
		}
		for _, text := range causes[line.Part+": "+line.Text] {
			if id, ok := ids[step{runKey{line.Task, line.Run}, text}]; ok && e.Cause == "" {
				e.Cause = id
			}
		}
		events = append(events, e)
	}
	return events
}

func (l *Line) id() chestnutpond.EventID {
	return chestnutpond.EventID(fmt.Sprintf("%s/%d/%d", l.Process, l.Boot, l.Sequence))
}
