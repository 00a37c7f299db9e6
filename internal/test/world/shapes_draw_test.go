package world

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// shapeQueues are the queues of TestShapes, which differ in priority and attempts.
var shapeQueues = []chestnutpond.QueuePolicy{
	{Name: "lots", Priority: 1, MaxAttempts: 3}, {Name: "urgent", Priority: 0, MaxAttempts: 1}, {Name: "bulk", Priority: 2, MaxAttempts: 5},
}

// shapeLabels are labels that some worker has, apart from faults.
var shapeLabels = []string{"", "", "", "a", "rack-1", "rack-2"}

// shape is a drawn job.
type shape struct {
	graph chestnutpond.Graph
	// models has the behaviour of each step.
	models []stand.TaskModel
	// endless means that the job ends only when it is cancelled.
	endless bool
}

// drawShape draws a job. Each of its gangs and limits can be met by the workers that are
// there once all faults are over.
func drawShape(r *rand.Rand, large int) shape {
	s := shape{graph: chestnutpond.Graph{Payload: "x", Queue: shapeQueues[r.IntN(len(shapeQueues))]}}
	if r.IntN(12) == 0 {
		s.graph.Schedule = chestnutpond.Schedule{
			First: time.Now().Add(time.Duration(r.IntN(8000)-2000) * time.Millisecond),
			Every: time.Duration(r.IntN(3000)) * time.Millisecond, Repetitions: 1 + r.IntN(4),
		}
	}
	for i := range 1 + r.IntN(4) {
		step := chestnutpond.Step{Count: 1 + r.IntN(6), Need: oneTask, Estimate: time.Duration(r.IntN(9000)) * time.Millisecond}
		for a := range i {
			if r.IntN(2) == 0 {
				step.After = append(step.After, a)
			}
		}
		model := stand.TaskModel{Work: time.Duration(50+r.IntN(3500)) * time.Millisecond}
		switch draw := r.IntN(20); {
		case draw < 5:
			step.Gang, step.SameRack, step.Count = true, r.IntN(2) == 0, 2+r.IntN(7)
			model.Gang = step.Count
		case draw < 7:
			step.PerWorker = 1 + r.IntN(2)
		case draw == 7:
			step.Count = 30 + r.IntN(200)
			step.Need = chestnutpond.Resources{CPU: chestnutpond.MilliCPU(r.IntN(500)), Memory: 100}
		case draw == 8 && i == 0 && large > 0:
			step.Count = 500 + r.IntN(large)
			step.Need, model.Work = chestnutpond.Resources{CPU: 20, Memory: 20}, time.Duration(50+r.IntN(500))*time.Millisecond
			s.graph.Schedule = chestnutpond.Schedule{}
		case draw == 9 && s.graph.Schedule.Repetitions == 0:
			step.Perpetual, step.MaxUnavailable, step.Count = true, r.IntN(3), 1+r.IntN(3)
			s.endless = true
		case draw == 10:
			model.Fails = true
		case draw < 13:
			step.DataRack, step.Checkpointable = fmt.Sprintf("rack-%d", 1+r.IntN(3)), true
		}
		if step.Label = shapeLabels[r.IntN(len(shapeLabels))]; step.Gang && step.Label == "rack-1" {
			step.SameRack = true
		}
		model.Need, model.Perpetual = step.Need, step.Perpetual
		s.graph.Steps = append(s.graph.Steps, step)
		s.models = append(s.models, model)
	}
	return s
}

// bodyOf returns the body by which a client hands in a job.
func bodyOf(g *chestnutpond.Graph) string {
	steps := make([]map[string]any, len(g.Steps))
	for i, s := range g.Steps {
		steps[i] = map[string]any{
			"count": s.Count, "cpu": s.Need.CPU, "mem_mb": s.Need.Memory, "gpu": s.Need.Accelerators, "estimate_ms": s.Estimate.Milliseconds(),
			"after": s.After, "gang": s.Gang, "same_rack": s.SameRack, "requirements": s.Label, "data_rack": s.DataRack,
			"anti_affinity": s.PerWorker, "checkpointable": s.Checkpointable, "perpetual": s.Perpetual, "may_miss": s.MaxUnavailable,
		}
	}
	body := map[string]any{"spec": g.Payload, "steps": steps}
	if g.Schedule.Repetitions > 0 {
		body["start_at_ms"], body["interval_ms"] = g.Schedule.First.UnixMilli(), g.Schedule.Every.Milliseconds()
		body["repetitions"] = g.Schedule.Repetitions
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// oddCells are values that a sender may put where another one belongs.
var oddCells = []string{
	`null`, `-1`, `1e400`, `9223372036854775808`, `0.5`, `"7"`, `true`, `[]`, `{}`, `""`, `"\ud800"`, "\"\xff\xfe\"",
	`4294967296`, `-9223372036854775808`, `1e18`,
}

// oddText changes a JSON text in one or two places: values of another type or out of range,
// missing and repeated fields, deep nesting, huge strings, invalid UTF-8, and lost ends.
func oddText(r *rand.Rand, text string) string {
	for range 1 + r.IntN(2) {
		at := fieldOf(r, text)
		switch r.IntN(8) {
		case 0, 1, 2:
			if colon := strings.IndexByte(text[at:], ':'); colon >= 0 {
				begin := at + colon + 1
				end := begin + strings.IndexAny(text[begin:]+",", ",}]")
				text = text[:begin] + oddCells[r.IntN(len(oddCells))] + text[end:]
			}
		case 3:
			if comma := strings.IndexByte(text[at:], ','); comma >= 0 {
				text = text[:at] + text[at+comma+1:]
			}
		case 4:
			if comma := strings.IndexByte(text[at:], ','); comma >= 0 {
				text = text[:at] + text[at:at+comma+1] + text[at:]
			}
		case 5:
			text = text[:at] + `"deep":` + strings.Repeat("[", 20000) + "," + text[at:]
		case 6:
			text = text[:at] + `"` + strings.Repeat("k", 1+r.IntN(3000)) + `":"` + strings.Repeat("v", r.IntN(5000)) + "\"," + text[at:]
		case 7:
			text = text[:r.IntN(len(text)+1)] + string([]byte{byte(r.IntN(256))})
		}
	}
	return text
}

// fieldOf returns where a field of a JSON text begins.
func fieldOf(r *rand.Rand, text string) int {
	from := r.IntN(len(text) + 1)
	for i := from; i < len(text)-1; i++ {
		if (text[i] == '{' || text[i] == ',') && text[i+1] == '"' {
			return i + 1
		}
	}
	return min(1, len(text))
}

// oddValue changes the bytes of a record.
func oddValue(r *rand.Rand, value []byte) []byte {
	value = append([]byte(nil), value...)
	switch r.IntN(4) {
	case 0:
		value = value[:r.IntN(len(value)+1)]
	case 1:
		value = append(value, []byte(strings.Repeat("\x0a\x7f", 1+r.IntN(3000)))...)
	case 2:
		value = append(value, value...)
	}
	for range r.IntN(6) {
		if len(value) > 0 {
			value[r.IntN(len(value))] = byte(r.IntN(256))
		}
	}
	return value
}
