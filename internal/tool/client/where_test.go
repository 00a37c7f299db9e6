package client

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against exit codes that a script would misread, a question that is sent as a
// submission, and a refusal that is shown as an answer.
func TestWhere(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("kind: lots\nsteps:\n  - {count: 3, accelerators: 1}\n"), 0o600))
	now := `{"state":"placed_now","kind":"lots","account":"a","guaranteed":true,"leader":"e1","term":4,"steps":[{"step":0,"state":"placed_now",
		"tasks":3,"placed":3,"workers":[{"worker":"w1","zone":"z","rack":"r1","tasks":3}],"preempts":[{"priority":2,"runs":4}],"lost_core_seconds":1.5,
		"duration_ms":2000,"learned":{"median_ms":1900,"p90_ms":2500,"samples":8},"workers_considered":3,"workers_fitting":1,
		"workers_excluded":[{"reason":"ejected","workers":2}]}]}`
	waits := `{"state":"waits","steps":[{"step":0,"state":"waits","tasks":3,"placed":1,"causes":["accelerators"],"starts_in_ms":1500}]}`
	never := `{"state":"never","steps":[{"step":0,"state":"never","tasks":3,"causes":["label"]}]}`
	graph := []string{"--graph", file}
	cases := map[string]struct {
		args   []string
		answer answer
		code   int
		text   string
	}{
		"now":            {graph, answer{200, now}, 0, "would stop 4 runs of priority 2; 1.5 core-seconds of work would be lost"},
		"worker":         {graph, answer{200, now}, 0, "w1      z     r1    3"},
		"learned":        {graph, answer{200, now}, 0, "2s; learned: median 1.9s, 90th percentile 2.5s, from 8.0 runs"},
		"counts":         {graph, answer{200, now}, 0, "3 workers considered, 1 with room for a task; excluded: 2 ejected"},
		"json":           {append(graph, "--output", "json"), answer{200, now}, 0, `"lost_core_seconds": 1.5`},
		"waits":          {graph, answer{200, waits}, ExitWaits, "1 of 3 tasks placed now; the others wait for accelerators, expected to start in 1.5s"},
		"never":          {graph, answer{200, never}, ExitNever, "because of label"},
		"no leader":      {graph, answer{503, `{"outcome":"not_run","reason":"no_leader","detail":"the leader e1 cannot be reached"}`}, ExitNotRun, "the leader e1 cannot be reached"},
		"too many":       {graph, answer{429, `{"outcome":"not_run","reason":"evaluation_limit"}`}, ExitNotRun, "evaluation_limit"},
		"rejected":       {graph, answer{404, `{"outcome":"rejected","reason":"unknown_kind"}`}, ExitRejected, "unknown_kind"},
		"no answer":      {graph, answer{0, ""}, ExitFailed, "where: "},
		"other state":    {graph, answer{200, `{"state":"later"}`}, ExitFailed, `"later"`},
		"no file":        {nil, answer{200, now}, ExitFailed, "--graph is needed"},
		"file not there": {[]string{"--graph", file + "x"}, answer{200, now}, ExitFailed, "where: open"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			s, address := start(t, tt.answer)
			r := execute(t, append([]string{"where", "--address", address}, tt.args...)...)
			assert.Equal(t, r.code, tt.code, r.note)
			assert.Assert(t, strings.Contains(r.out+r.note, tt.text), r.out+r.note)
			for _, c := range s.seen() {
				assert.Assert(t, strings.HasPrefix(c.line, "POST /v1/where "), c.line)
			}
		})
	}
}
