package story

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Summary is what the log says about one job.
type Summary struct {
	Job            chestnutpond.JobID
	Queue, Account string
	// First is the time of the first line.
	First time.Time
	// Stored is what acceptance took.
	Stored string
	// Waited is the time from acceptance to the first run, Took that to the end.
	Waited, Took string
	// State and Reason are those of the end; the state is empty if the log has none.
	State, Reason string
	// Runs is the number of runs that were placed.
	Runs int
	// Ends counts the runs by how they ended, Stops the orders to stop by why.
	Ends, Stops map[string]int
	// Refusals are what callers were told other than that the job is accepted.
	Refusals []string
}

// Summaries returns what the log says about each job, in order of their first
// lines.
func (l *Log) Summaries() []Summary {
	byID := map[chestnutpond.JobID]*Summary{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Job == "" {
			continue
		}
		s := byID[line.Job]
		if s == nil {
			s = &Summary{Job: line.Job, First: line.At, Ends: map[string]int{}, Stops: map[string]int{}}
			byID[line.Job] = s
		}
		if line.At.Before(s.First) {
			s.First = line.At
		}
		s.take(line)
	}
	all := make([]Summary, 0, len(byID))
	for _, s := range byID {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Summary) int {
		return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Job, b.Job))
	})
	return all
}

// take adds what a line says.
func (s *Summary) take(line *Line) {
	s.Queue = cmp.Or(s.Queue, line.Field("queue"))
	s.Account = cmp.Or(s.Account, line.Field("account"))
	switch line.Part + ": " + line.Text {
	case "front: job accepted":
		s.Stored = line.Field("took")
	case "front: job refused", "front: job in doubt", "front: job not known", "front: call rejected",
		"front: cancellation refused", "front: cancellation in doubt":
		s.Refusals = append(s.Refusals, strings.TrimSpace(line.Text+" "+cmp.Or(line.Field("reason"), line.Field("error"))))
	case "lead: job began":
		s.Waited = line.Field("waited")
	case "lead: job ended":
		s.State, s.Reason, s.Took = line.Field("state"), line.Field("reason"), line.Field("took")
	case "lead: run placed":
		s.Runs++
	case "lead: run run_end":
		s.Ends[line.Field("detail")]++
	case "lead: run stopped":
		s.Stops[line.Field("detail")]++
	}
}

// String returns the summary in one line.
func (s *Summary) String() string {
	parts := []string{fmt.Sprintf("%s  job %s", s.First.UTC().Format("15:04:05.000"), s.Job)}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	add("queue", s.Queue)
	add("account", s.Account)
	add("stored in", s.Stored)
	add("waited", s.Waited)
	if s.Runs > 0 {
		parts = append(parts, fmt.Sprintf("%d runs", s.Runs))
	}
	add("ended", counts(s.Ends))
	add("stopped because", counts(s.Stops))
	if s.State != "" {
		parts = append(parts, fmt.Sprintf("%s after %s (%s)", s.State, s.Took, s.Reason))
	} else if s.Stored != "" {
		parts = append(parts, "no end in the log")
	}
	if n := len(s.Refusals); n > 0 {
		parts = append(parts, fmt.Sprintf("%d refusals, the last: %s", n, s.Refusals[n-1]))
	}
	return strings.Join(parts, "; ")
}

// counts returns numbers by name, in order of the names.
func counts(numbers map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		parts = append(parts, fmt.Sprintf("%d %s", numbers[name], name))
	}
	return strings.Join(parts, ", ")
}
