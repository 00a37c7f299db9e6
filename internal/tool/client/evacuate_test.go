package client

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that is reported as lost or not run while it may be in the log,
// and against exit codes that a script would misread.
func TestEvacuate(t *testing.T) {
	inForce := `{"outcome":"evacuated","zone":"z","evacuated":true,"offset":7,"since":"2026-12-06T08:00:00Z","operator":"op"}`
	tests := map[string]struct {
		args     []string
		answers  []answer
		code     int
		out      string
		note     string
		numCalls int
		line     string
	}{
		"evacuated":        {nil, []answer{{200, inForce}}, 0, "zone z is evacuated since 2026-12-06T08:00:00Z, by op, at offset 7\n", "", 1, "PUT /v1/evacuations?zone=z "},
		"undone":           {[]string{"--undo"}, []answer{{200, `{"outcome":"evacuation_undone","zone":"z"}`}}, 0, "zone z is in use\n", "", 1, "DELETE /v1/evacuations?zone=z "},
		"unknown zone":     {nil, []answer{{422, `{"outcome":"rejected","reason":"unknown_zone","detail":"known zones: a, b"}`}}, ExitRejected, "", "known zones: a, b", 1, "PUT /v1/evacuations?zone=z "},
		"not an operator":  {nil, []answer{{403, `{"outcome":"rejected","reason":"unauthorized","detail":"only operators may do this"}`}}, ExitRejected, "", "only operators", 1, "PUT /v1/evacuations?zone=z "},
		"lost":             {nil, []answer{{409, `{"outcome":"lost","reason":"base_version"}`}}, ExitLost, "", "lost", 1, "PUT /v1/evacuations?zone=z "},
		"store away":       {nil, []answer{{503, notRun}}, ExitNotRun, "", "the log service is down", 1, "PUT /v1/evacuations?zone=z "},
		"unknown, then in": {nil, []answer{{504, unknown}, {200, `{"evacuations":[` + inForce + `]}`}}, 0, "zone z is evacuated since 2026-12-06T08:00:00Z, by op, at offset 7\n", "", 2, "PUT /v1/evacuations?zone=z "},
		"never known":      {nil, []answer{{0, ""}, {200, `{"evacuations":[]}`}}, ExitUnknown, "", "repeat the command", 1 + resolveTries, "PUT /v1/evacuations?zone=z "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, address := start(t, tt.answers...)
			r := execute(t, append(append([]string{"evacuate", "--address", address}, tt.args...), "z")...)
			assert.Equal(t, r.code, tt.code, r.note)
			assert.Equal(t, r.out, tt.out)
			assert.Assert(t, strings.Contains(r.note, tt.note), r.note)
			calls := s.seen()
			assert.Equal(t, len(calls), tt.numCalls)
			assert.Equal(t, calls[0].line, tt.line)
		})
	}
}
