// Package jobdoc reads jobs that are graphs of tasks.
//
// A job is YAML: the kind of work, the payload that each task is handed, and steps
// of equal tasks. Parse reports every fault with file, line, column, what is wrong
// and what is allowed. The same checks run in the check command and in the entry
// that accepts the job. Whether a task fits any worker is seen only when it is
// placed.
package jobdoc

import (
	"fmt"
	"strconv"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

const (
	// MaxBytes bounds the text of a job.
	MaxBytes = 256 << 10
	// MaxPayload bounds the payload in bytes; the users' workers take as much.
	MaxPayload = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 256
	// MaxOccurrences bounds how often the steps run.
	MaxOccurrences = 10_000
	// MaxDuration bounds every duration of a job.
	MaxDuration = 30 * 24 * time.Hour
	// maxResource bounds each resource of one task, and each bound of a step.
	maxResource = 1 << 30
	// maxLabel bounds the names of labels, racks and images, in bytes.
	maxLabel = 128
)

// Job is a job as a caller describes it.
type Job struct {
	// Kind is the name of the kind of work.
	Kind string
	// Graph has neither an id nor the terms of its queue.
	Graph chestnutpond.Graph
}

var (
	payload = fields.Syntax{
		Allowed: fmt.Sprintf("a text of at most %d bytes", MaxPayload),
		Valid:   func(s string) bool { return len(s) <= MaxPayload },
	}
	label = fields.Syntax{
		Allowed: fmt.Sprintf("a text of 1 to %d bytes", maxLabel),
		Valid:   func(s string) bool { return s != "" && len(s) <= maxLabel },
	}
	moment = fields.Syntax{
		Allowed: "a time such as 2026-12-04T09:00:00Z",
		Valid: func(s string) bool {
			_, err := time.Parse(time.RFC3339, s)
			return err == nil
		},
	}
)

// Parse reads a job; name stands for it in errors, which are of type
// fields.Problems.
func Parse(name string, data []byte) (Job, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return Job{}, err
	}
	j := Job{Kind: m.Text("kind", fields.Name)}
	j.Graph.Payload = m.TextOr("payload", "", payload)
	j.Graph.Schedule = schedule(m)
	for i, s := range m.Maps("steps", fields.Range{Min: 1, Max: MaxSteps}) {
		j.Graph.Steps = append(j.Graph.Steps, step(s, i))
	}
	m.Done()
	if err := m.Err(); err != nil {
		return Job{}, err
	}
	return j, nil
}

// schedule reads when the steps run; without the key they run once, at once.
func schedule(m *fields.Map) chestnutpond.Schedule {
	s, ok := m.MapOr("schedule")
	if !ok {
		return chestnutpond.Schedule{}
	}
	all := chestnutpond.Schedule{
		Every:       s.DurationOr("every", 0, fields.Span{Max: MaxDuration}),
		Repetitions: int(s.IntOr("repetitions", 1, fields.Range{Min: 1, Max: MaxOccurrences})),
	}
	// A text of another form has been reported.
	all.First, _ = time.Parse(time.RFC3339, s.Text("first", moment))
	s.Done()
	return all
}

// step reads the step of that number.
func step(m *fields.Map, number int) chestnutpond.Step {
	whole := fields.Range{Max: maxResource}
	span := fields.Span{Max: MaxDuration}
	s := chestnutpond.Step{
		Count: int(m.IntOr("count", 1, fields.Range{Min: 1, Max: chestnutpond.MaxTasks})),
		Need: chestnutpond.Resources{
			CPU:          chestnutpond.MilliCPU(m.IntOr("cpu_millis", 0, whole)),
			Memory:       chestnutpond.MiB(m.IntOr("memory_mib", 0, whole)),
			Accelerators: m.IntOr("accelerators", 0, whole),
		},
		Estimate:       m.DurationOr("estimate", 0, span),
		After:          after(m, number),
		Gang:           m.BoolOr("gang", false),
		SameRack:       m.BoolOr("same_rack", false),
		Label:          m.TextOr("label", "", label),
		DataRack:       m.TextOr("data_rack", "", label),
		PerWorker:      int(m.IntOr("per_worker", 0, whole)),
		Checkpointable: m.BoolOr("checkpointable", false),
		Speculative:    m.BoolOr("speculative", false),
		Perpetual:      m.BoolOr("perpetual", false),
		Image:          m.TextOr("image", "", label),
		TailLatency:    m.DurationOr("tail_latency", 0, span),
		Filler:         m.BoolOr("filler", false),
		MaxUnavailable: int(m.IntOr("max_unavailable", 0, whole)),
	}
	m.Done()
	return s
}

// after reads the numbers of the steps that come before the step of that number.
func after(m *fields.Map, number int) []int {
	earlier := fields.Syntax{
		Allowed: "the numbers of earlier steps, counted from 0",
		Valid: func(s string) bool {
			n, err := strconv.Atoi(s)
			return err == nil && n >= 0 && n < number
		},
	}
	var all []int
	for _, s := range m.Texts("after", fields.Range{Max: MaxSteps}, earlier) {
		// Valid has read the same text.
		n, _ := strconv.Atoi(s)
		all = append(all, n)
	}
	return all
}
