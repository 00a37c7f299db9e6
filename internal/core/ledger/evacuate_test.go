package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func evacuate(base int64, undo bool, operator string) recordBy {
	return recordBy{entryA, Evacuate{Zone: "z", Undo: undo, Base: base, Operator: operator}}
}

// TestEvacuate guards against a delayed or repeated record that reverts a later request,
// and against a request whose author or offset is replaced by one that changed nothing.
func TestEvacuate(t *testing.T) {
	request, undo := evacuate(0, false, "a"), evacuate(1, true, "b")
	tests := map[string]struct {
		records  []recordBy
		inForce  bool
		operator string
		offset   int64
	}{
		"request":                        {[]recordBy{request}, true, "a", 0},
		"undo":                           {[]recordBy{request, undo}, false, "b", 1},
		"repeated append":                {[]recordBy{request, request}, true, "a", 0},
		"request that changes nothing":   {[]recordBy{request, evacuate(1, false, "c")}, true, "a", 0},
		"undo of nothing":                {[]recordBy{evacuate(0, true, "c"), request}, true, "a", 1},
		"delayed copy after the undo":    {[]recordBy{request, undo, request}, false, "b", 1},
		"undo by a reader that is late":  {[]recordBy{request, evacuate(0, true, "c")}, true, "a", 0},
		"race of two undos":              {[]recordBy{request, undo, evacuate(1, true, "c")}, false, "b", 1},
		"request again":                  {[]recordBy{request, undo, evacuate(2, false, "c"), undo}, true, "c", 2},
		"zone without a name is ignored": {[]recordBy{request, {entryA, Evacuate{}}}, true, "a", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := fold(t, tc.records...)
			restored, err := Restore(must(s.Snapshot()))
			assert.NilError(t, err)
			for _, st := range []*State{s, restored} {
				e := st.Evacuation("z")
				assert.Equal(t, e.InForce, tc.inForce)
				assert.Equal(t, st.EvacuatedZones().Contains("z"), tc.inForce)
				assert.Equal(t, e.Operator, tc.operator)
				assert.Equal(t, e.Offset, tc.offset)
			}
		})
	}
}

// TestStartInEvacuatedZone guards against a start that is recorded after the request,
// by a scheduler that has not read it.
func TestStartInEvacuatedZone(t *testing.T) {
	startIn := func(zones ...string) recordBy {
		return recordBy{entryA, StartJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, Zones: zones}}
	}
	tests := map[string]struct {
		records []recordBy
		valid   bool
	}{
		"evacuated zone":      {[]recordBy{evacuate(0, false, "a"), startIn("y", "z")}, false},
		"other zone":          {[]recordBy{evacuate(0, false, "a"), startIn("y")}, true},
		"after the undo":      {[]recordBy{evacuate(0, false, "a"), evacuate(1, true, "a"), startIn("z")}, true},
		"of an older release": {[]recordBy{startIn()}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, change := fold(t, append([]recordBy{accept("j"), claim(entryA, 1)}, tc.records...)...)
			assert.Equal(t, change.Kind == ChangeStarted, tc.valid)
		})
	}
}

// TestEvacuationLimit guards against a state that grows with the names in requests.
func TestEvacuationLimit(t *testing.T) {
	var records []recordBy
	for i := range evacuationLimit + 1 {
		records = append(records, recordBy{entryA, Evacuate{Zone: fmt.Sprint("z", i)}})
	}
	s, change := fold(t, records...)
	assert.Equal(t, change.Kind, ChangeNone)
	assert.Equal(t, len(s.Evacuations()), evacuationLimit)
	assert.Assert(t, s.EvacuationsFull("other") && !s.EvacuationsFull("z0"))
}
