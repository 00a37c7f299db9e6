// Package jobdoc parses and validates jobs that are graphs of tasks.
//
// A job is a YAML document with the kind of work, the payload passed to each task,
// and steps of identical tasks. Parse reports every problem with file, line,
// column, what is wrong and what is allowed. The check command and the entry that
// accepts the job apply the same rules. Whether a task fits any worker is not
// checked until it is placed.
package jobdoc

import (
	"fmt"
	"strconv"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

const (
	// MaxBytes is the maximum size of a job document.
	MaxBytes = 256 << 10
	// MaxPayload is the maximum size of the payload in bytes, which is also the
	// limit of the users' workers.
	MaxPayload = 4000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 256
	// MaxOccurrences is the maximum number of times that the steps run.
	MaxOccurrences = 10_000
	// MaxDuration is the maximum of every duration in a job.
	MaxDuration = 30 * 24 * time.Hour
	// maxResource is the maximum of each resource of one task, and of per_worker
	// and max_unavailable.
	maxResource = 1 << 30
	// maxLabelBytes is the maximum length of the names of labels, racks and images.
	maxLabelBytes = 128
)

// Job is a job as submitted by a caller.
type Job struct {
	// Kind is the name of the kind of work.
	Kind string
	// Graph has no ID and no queue terms yet.
	Graph chestnutpond.Graph
}

var (
	payloadSyntax = fields.Syntax{
		Allowed: fmt.Sprintf("a text of at most %d bytes", MaxPayload),
		Valid:   func(s string) bool { return len(s) <= MaxPayload },
	}
	labelSyntax = fields.Syntax{
		Allowed: fmt.Sprintf("a text of 1 to %d bytes", maxLabelBytes),
		Valid:   func(s string) bool { return s != "" && len(s) <= maxLabelBytes },
	}
	timeSyntax = fields.Syntax{
		Allowed: "a time such as 2026-12-04T09:00:00Z",
		Valid: func(s string) bool {
			_, err := time.Parse(time.RFC3339, s)
			return err == nil
		},
	}
)

// Parse parses a job. The name is the file name in errors, which are of type
// fields.Problems.
func Parse(name string, data []byte) (Job, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return Job{}, err
	}
	j := Job{Kind: m.Text("kind", fields.Name)}
	j.Graph.Payload = m.TextOr("payload", "", payloadSyntax)
	j.Graph.Schedule = readSchedule(m)
	for i, s := range m.Maps("steps", fields.Range{Min: 1, Max: MaxSteps}) {
		j.Graph.Steps = append(j.Graph.Steps, readStep(s, i))
	}
	m.ReportUnknownKeys()
	if err := m.Err(); err != nil {
		return Job{}, err
	}
	return j, nil
}

// readSchedule reads the schedule. Without one, the steps run once, immediately.
func readSchedule(m *fields.Map) chestnutpond.Schedule {
	s, ok := m.MapOr("schedule")
	if !ok {
		return chestnutpond.Schedule{}
	}
	schedule := chestnutpond.Schedule{
		Every:       s.DurationOr("every", 0, fields.Span{Max: MaxDuration}),
		Repetitions: int(s.IntOr("repetitions", 1, fields.Range{Min: 1, Max: MaxOccurrences})),
	}
	// An invalid time has already been reported by s.Text.
	schedule.First, _ = time.Parse(time.RFC3339, s.Text("first", timeSyntax))
	s.ReportUnknownKeys()
	return schedule
}

// readStep reads the step at index.
func readStep(m *fields.Map, index int) chestnutpond.Step {
	resourceRange := fields.Range{Max: maxResource}
	durationRange := fields.Span{Max: MaxDuration}
	s := chestnutpond.Step{
		Count: int(m.IntOr("count", 1, fields.Range{Min: 1, Max: chestnutpond.MaxTasks})),
		Need: chestnutpond.Resources{
			CPU:          chestnutpond.MilliCPU(m.IntOr("cpu_millis", 0, resourceRange)),
			Memory:       chestnutpond.MiB(m.IntOr("memory_mib", 0, resourceRange)),
			Accelerators: m.IntOr("accelerators", 0, resourceRange),
		},
		Estimate:       m.DurationOr("estimate", 0, durationRange),
		After:          readAfter(m, index),
		Gang:           m.BoolOr("gang", false),
		SameRack:       m.BoolOr("same_rack", false),
		Label:          m.TextOr("label", "", labelSyntax),
		DataRack:       m.TextOr("data_rack", "", labelSyntax),
		PerWorker:      int(m.IntOr("per_worker", 0, resourceRange)),
		Checkpointable: m.BoolOr("checkpointable", false),
		Speculative:    m.BoolOr("speculative", false),
		Perpetual:      m.BoolOr("perpetual", false),
		Image:          m.TextOr("image", "", labelSyntax),
		TailLatency:    m.DurationOr("tail_latency", 0, durationRange),
		Filler:         m.BoolOr("filler", false),
		MaxUnavailable: int(m.IntOr("max_unavailable", 0, resourceRange)),
	}
	m.ReportUnknownKeys()
	return s
}

// readAfter reads the indexes of the steps that must end before the step at index
// starts.
func readAfter(m *fields.Map, index int) []int {
	earlierStep := fields.Syntax{
		Allowed: "the numbers of earlier steps, counted from 0",
		Valid: func(s string) bool {
			n, err := strconv.Atoi(s)
			return err == nil && n >= 0 && n < index
		},
	}
	var steps []int
	for _, s := range m.Texts("after", fields.Range{Max: MaxSteps}, earlierStep) {
		// earlierStep.Valid has already parsed s.
		n, _ := strconv.Atoi(s)
		steps = append(steps, n)
	}
	return steps
}
