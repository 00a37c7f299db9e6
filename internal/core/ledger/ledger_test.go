package ledger

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

var (
	entryA = Origin{Process: "entry-a", Incarnation: 1}
	entryB = Origin{Process: "entry-b", Incarnation: 1}
)

// recordBy is the body of a record and its origin.
type recordBy struct {
	by   Origin
	body Body
}

// fold applies the records to a new state and returns the state and the last
// change.
func fold(t testing.TB, list ...recordBy) (*State, Change) {
	s := New()
	var last Change
	for i, a := range list {
		data, err := Encode(a.by, a.body)
		assert.NilError(t, err)
		last, err = s.Apply(chestnutpond.Record{Offset: int64(i), Data: data})
		assert.NilError(t, err)
	}
	return s, last
}

func accept(id string) recordBy {
	return recordBy{entryA, AcceptJob{Spec: chestnutpond.JobSpec{ID: chestnutpond.JobID(id), Account: "ventas", Region: "pampa"}}}
}

func claim(by Origin, number int64) recordBy {
	return recordBy{by, ClaimTerm{Region: "pampa", Number: number}}
}

func start(by Origin, term, attempt int64) recordBy {
	return recordBy{by, StartJob{Job: "j", Attempt: attempt, Region: "pampa", Term: term}}
}

// TestStartPreconditions guards against two processes starting the same job, a
// start by a process whose term has ended, and a start after a cancellation.
func TestStartPreconditions(t *testing.T) {
	stop := recordBy{entryA, StopJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, Checkpoint: "c"}}
	stop2 := recordBy{entryA, StopJob{Job: "j", Attempt: 2, Region: "pampa", Term: 1}}
	end := recordBy{entryA, EndJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, State: chestnutpond.JobCompleted}}
	tests := map[string]struct {
		records []recordBy
		valid   bool
	}{
		"first attempt":                  {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1)}, true},
		"unknown job":                    {[]recordBy{claim(entryA, 1), start(entryA, 1, 1)}, false},
		"no term":                        {[]recordBy{accept("j"), start(entryA, 1, 1)}, false},
		"term of another process":        {[]recordBy{accept("j"), claim(entryB, 1), start(entryA, 1, 1)}, false},
		"term has ended":                 {[]recordBy{accept("j"), claim(entryA, 1), claim(entryB, 2), start(entryA, 1, 1)}, false},
		"same process, next incarnation": {[]recordBy{accept("j"), claim(entryA, 1), start(Origin{"entry-a", 2}, 1, 1)}, false},
		"attempt already started":        {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1), start(entryA, 1, 1)}, false},
		"second while first runs":        {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1), start(entryA, 1, 2)}, false},
		"second after first stop":        {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1), stop, start(entryA, 1, 2)}, true},
		"attempt number skipped":         {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 2)}, true},
		"below a skipped number":         {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 2), stop2, start(entryA, 1, 1)}, false},
		"after cancel":                   {[]recordBy{accept("j"), claim(entryA, 1), {entryB, CancelJob{Job: "j"}}, start(entryA, 1, 1)}, false},
		"after the end":                  {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1), end, start(entryA, 1, 2)}, false},
		"accepted again after end":       {[]recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1), end, accept("j"), start(entryA, 1, 1)}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, change := fold(t, tc.records...)
			assert.Equal(t, change.Kind == ChangeStarted, tc.valid)
		})
	}
}

// TestPublish guards against a lost update when two operators publish at the
// same time, and against a retried append that turns an accepted publication
// into a rejected one.
func TestPublish(t *testing.T) {
	publish := func(id, service string, base int64) recordBy {
		return recordBy{entryA, Publish{ID: id, Service: service, Base: base, Document: []byte(id)}}
	}
	tests := map[string]struct {
		records  []recordBy
		id       string
		accepted bool
		version  int64
		document string
	}{
		"first":             {[]recordBy{publish("a", "s", 0)}, "a", true, 1, "a"},
		"race lost":         {[]recordBy{publish("a", "s", 0), publish("b", "s", 0)}, "b", false, 1, "a"},
		"race won":          {[]recordBy{publish("a", "s", 0), publish("b", "s", 0)}, "a", true, 1, "a"},
		"next":              {[]recordBy{publish("a", "s", 0), publish("b", "s", 1)}, "b", true, 2, "b"},
		"repeated append":   {[]recordBy{publish("a", "s", 0), publish("b", "s", 1), publish("a", "s", 0)}, "a", true, 1, "b"},
		"base is too high":  {[]recordBy{publish("a", "s", 0), publish("b", "s", 5)}, "b", false, 1, "a"},
		"another service":   {[]recordBy{publish("a", "s", 0), publish("b", "other", 0)}, "b", false, 0, "a"},
		"retry on new base": {[]recordBy{publish("a", "s", 0), publish("b", "s", 0), publish("c", "s", 1)}, "c", true, 2, "c"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := fold(t, tc.records...)
			p, ok := s.Publication(tc.id)
			assert.Assert(t, ok)
			assert.Equal(t, p.Accepted, tc.accepted)
			assert.Equal(t, p.Version, tc.version)
			config, _ := s.Current()
			assert.Equal(t, string(config.Document), tc.document)
		})
	}
}

// TestIntent guards against two entries holding the same idempotency key.
func TestIntent(t *testing.T) {
	open := func(by Origin, id string) recordBy {
		return recordBy{by, Intents{Intents: []IntentID{{Key: "k", ID: id}}}}
	}
	closed := func(by Origin, id string, notRun bool) recordBy {
		return recordBy{by, CloseIntents{Closed: []ClosedIntent{{Key: "k", ID: id, NotRun: notRun}}}}
	}
	tests := map[string]struct {
		records []recordBy
		owner   string
	}{
		"first wins":              {[]recordBy{open(entryA, "a"), open(entryB, "b")}, "a"},
		"free after not run":      {[]recordBy{open(entryA, "a"), closed(entryA, "a", true), open(entryB, "b")}, "b"},
		"kept after an answer":    {[]recordBy{open(entryA, "a"), closed(entryA, "a", false), open(entryB, "b")}, "a"},
		"closed by another":       {[]recordBy{open(entryA, "a"), closed(entryB, "a", true), open(entryB, "b")}, "a"},
		"closed under another id": {[]recordBy{open(entryA, "a"), closed(entryA, "x", true), open(entryB, "b")}, "a"},
		"late close of first use": {[]recordBy{
			open(entryA, "a"), closed(entryA, "a", true), open(entryB, "b"), closed(entryA, "a", true),
		}, "b"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := fold(t, tc.records...)
			in, ok := s.Intent("k")
			assert.Assert(t, ok)
			assert.Equal(t, in.ID, tc.owner)
		})
	}
}

// TestUnreadableRecords guards against a reader that stops at a malformed record,
// or continues past a record of a newer release.
func TestUnreadableRecords(t *testing.T) {
	tests := map[string]struct {
		data  string
		newer bool
	}{
		"truncated":                     {`{"version":1,"kind":"job_acc`, false},
		"empty":                         {``, false},
		"unknown kind":                  {`{"version":1,"kind":"other","body":{}}`, false},
		"wrong type":                    {`{"version":1,"kind":"term","body":{"number":"x"}}`, false},
		"later release":                 {`{"version":2,"kind":"term","body":{}}`, true},
		"evacuation of a later release": {`{"version":3,"kind":"evacuate","body":{}}`, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			_, err := s.Apply(chestnutpond.Record{Data: []byte(tc.data)})
			var versionErr *VersionError
			var formatErr *FormatError
			assert.Equal(t, errors.As(err, &versionErr), tc.newer)
			assert.Equal(t, errors.As(err, &formatErr), !tc.newer)
			want := int64(1)
			if tc.newer {
				want = 0
			}
			assert.Equal(t, s.Next(), want)
		})
	}
}

// drawBody draws the body of a record. It uses few names and numbers, so that
// records often refer to the same job, term, publication or key.
func drawBody(t *rapid.T) Body {
	job := chestnutpond.JobID(rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job"))
	n := rapid.Int64Range(0, 4).Draw(t, "n")
	term := rapid.Int64Range(0, 4).Draw(t, "term")
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	state := rapid.SampledFrom([]chestnutpond.JobState{chestnutpond.JobCompleted, chestnutpond.JobFailed}).Draw(t, "state")
	return rapid.SampledFrom([]Body{
		Publish{ID: id, Service: "s", Base: n},
		ClaimTerm{Region: "pampa", Number: n},
		ReleaseTerm{Region: "pampa", Number: n},
		AcceptJob{Spec: chestnutpond.JobSpec{ID: job, Region: "pampa"}},
		StartJob{Job: job, Attempt: n, Region: "pampa", Term: term},
		StopJob{Job: job, Attempt: n, Region: "pampa", Term: term},
		EndJob{Job: job, Attempt: n, Region: "pampa", Term: term, State: state},
		CancelJob{Job: job},
		Intents{Intents: []IntentID{{Key: "k", ID: id}}},
		CloseIntents{Closed: []ClosedIntent{{Key: "k", ID: id, NotRun: n > 2}}},
		Evacuate{Zone: id, Base: n, Operator: id},
		Evacuate{Zone: id, Base: n, Operator: id, Undo: true},
		StartJob{Job: job, Attempt: n, Region: "pampa", Term: term, Zones: []string{id}},
	}).Draw(t, "body")
}

// TestSnapshotEqualsFold guards against a snapshot that omits part of the state:
// a state restored from a snapshot must behave exactly like the one that applied
// all records. It also checks that versions and terms never decrease, that final
// states never change, and that the counts by state match the jobs.
func TestSnapshotEqualsFold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		full := New()
		var restored *State
		cut := rapid.IntRange(0, 60).Draw(rt, "cut")
		var version, term int64
		ended := make(map[chestnutpond.JobID]chestnutpond.JobState)
		for i := range 60 {
			if i == cut {
				restored = restoreFromParts(rt, full)
			}
			by := rapid.SampledFrom([]Origin{entryA, entryB}).Draw(rt, "by")
			data, err := Encode(by, drawBody(rt))
			assert.NilError(rt, err)
			rec := chestnutpond.Record{Offset: int64(i), Data: data}
			change, err := full.Apply(rec)
			assert.NilError(rt, err)
			if restored != nil {
				restoredChange, err := restored.Apply(rec)
				assert.NilError(rt, err)
				assert.Equal(rt, restoredChange, change)
				checkCounts(rt, restored)
			}
			checkCounts(rt, full)
			config, _ := full.Current()
			assert.Assert(rt, config.Version >= version && full.Term("pampa").Number >= term)
			version, term = config.Version, full.Term("pampa").Number
			for _, j := range full.Jobs(func(j Job) bool { return j.State.Final() }) {
				previous, seen := ended[j.Spec.ID]
				assert.Assert(rt, !seen || previous == j.State)
				ended[j.Spec.ID] = j.State
			}
		}
		if restored != nil {
			assert.DeepEqual(rt, must(restored.Snapshot()), must(full.Snapshot()))
		}
	})
}

func checkCounts(t *rapid.T, s *State) {
	recount := New()
	for _, j := range s.Jobs(func(Job) bool { return true }) {
		recount.addCount(&j, 1)
	}
	assert.DeepEqual(t, s.running, recount.running)
	assert.Assert(t, maps.Equal(s.queued, recount.queued))
}

func restoreFromParts(t *rapid.T, s *State) *State {
	assembler := NewAssembler()
	data := must(s.Snapshot())
	for _, part := range Parts("id", s.Next(), data) {
		rec, err := Encode(entryA, part)
		assert.NilError(t, err)
		assembler.Add(chestnutpond.Record{Data: rec})
	}
	newest, next, ok := assembler.Newest()
	assert.Assert(t, ok && next == s.Next())
	restored, err := Restore(newest)
	assert.NilError(t, err)
	return restored
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// TestSnapshotParts guards against a snapshot that mixes parts of two snapshots,
// and against one that is used while a part is missing.
func TestSnapshotParts(t *testing.T) {
	data := make([]byte, 2*snapshotPartSize+1)
	parts := Parts("id", 7, data)
	assert.Equal(t, len(parts), 3)
	assembler := NewAssembler()
	add := func(p SnapshotPart) {
		rec, err := Encode(entryA, p)
		assert.NilError(t, err)
		assembler.Add(chestnutpond.Record{Data: rec})
	}
	add(parts[2])
	add(parts[0])
	add(SnapshotPart{ID: "other", Part: 1, Parts: 3, Next: 7, Data: []byte("x")})
	_, _, ok := assembler.Newest()
	assert.Assert(t, !ok)
	add(parts[1])
	newest, next, ok := assembler.Newest()
	assert.Assert(t, ok)
	assert.Equal(t, next, int64(7))
	assert.Equal(t, len(newest), len(data))
}

// FuzzApply guards against records on which Apply panics or does not advance.
func FuzzApply(f *testing.F) {
	for _, body := range []Body{Publish{ID: "a"}, StartJob{Job: "j"}, SnapshotPart{Parts: 1}, Intents{}} {
		data, err := Encode(entryA, body)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		_, err := s.Apply(chestnutpond.Record{Data: data})
		var versionErr *VersionError
		if !errors.As(err, &versionErr) {
			assert.Equal(t, s.Next(), int64(1))
		}
		NewAssembler().Add(chestnutpond.Record{Data: data})
	})
}

// TestCapture guards against an image that changes when records are applied to
// its state: images are packed while that happens.
func TestCapture(t *testing.T) {
	list := []recordBy{accept("j"), claim(entryA, 1), start(entryA, 1, 1)}
	s, _ := fold(t, list...)
	before := must(s.Snapshot())
	img := s.Capture()
	end := recordBy{entryA, EndJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, State: chestnutpond.JobCompleted}}
	for _, a := range []recordBy{end, accept("k"), claim(entryB, 2)} {
		data, err := Encode(a.by, a.body)
		assert.NilError(t, err)
		_, err = s.Apply(chestnutpond.Record{Offset: s.Next(), Data: data})
		assert.NilError(t, err)
	}
	assert.Equal(t, img.Next(), int64(len(list)))
	assert.DeepEqual(t, must(img.Pack()), before)
	assert.Assert(t, string(must(s.Snapshot())) != string(before))
}

// BenchmarkSnapshot measures the time of a snapshot and its size per job.
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range []int{1000, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := New()
			for i := range count {
				data, err := Encode(entryA, accept(fmt.Sprintf("job-%08d", i)).body)
				assert.NilError(b, err)
				_, err = s.Apply(chestnutpond.Record{Offset: int64(i), Data: data})
				assert.NilError(b, err)
			}
			b.ReportAllocs()
			for b.Loop() {
				b.ReportMetric(float64(len(must(s.Snapshot())))/float64(count), "bytes/job")
			}
		})
	}
}
