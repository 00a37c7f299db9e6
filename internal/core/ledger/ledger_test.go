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

// authored is a body and its author.
type authored struct {
	by   Origin
	body Body
}

// fold applies bodies to a new state and returns it with the last change.
func fold(t testing.TB, list ...authored) (*State, Change) {
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

func accept(id string) authored {
	return authored{entryA, AcceptJob{Spec: chestnutpond.JobSpec{ID: chestnutpond.JobID(id), Account: "ventas", Region: "pampa"}}}
}

func claim(by Origin, number int64) authored {
	return authored{by, ClaimTerm{Region: "pampa", Number: number}}
}

func start(by Origin, term, attempt int64) authored {
	return authored{by, StartJob{Job: "j", Attempt: attempt, Region: "pampa", Term: term}}
}

// TestStartIsVoid guards against two processes starting the same job, against a
// start by a holder whose term is over, and against a start after a cancel.
func TestStartIsVoid(t *testing.T) {
	stop := authored{entryA, StopJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, Checkpoint: "c"}}
	stop2 := authored{entryA, StopJob{Job: "j", Attempt: 2, Region: "pampa", Term: 1}}
	end := authored{entryA, EndJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, State: chestnutpond.JobCompleted}}
	tests := map[string]struct {
		records []authored
		valid   bool
	}{
		"first attempt":            {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1)}, true},
		"unknown job":              {[]authored{claim(entryA, 1), start(entryA, 1, 1)}, false},
		"no term":                  {[]authored{accept("j"), start(entryA, 1, 1)}, false},
		"term of another":          {[]authored{accept("j"), claim(entryB, 1), start(entryA, 1, 1)}, false},
		"term is over":             {[]authored{accept("j"), claim(entryA, 1), claim(entryB, 2), start(entryA, 1, 1)}, false},
		"same process, new start":  {[]authored{accept("j"), claim(entryA, 1), start(Origin{"entry-a", 2}, 1, 1)}, false},
		"attempt already started":  {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1), start(entryA, 1, 1)}, false},
		"second while first runs":  {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1), start(entryA, 1, 2)}, false},
		"second after first stop":  {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1), stop, start(entryA, 1, 2)}, true},
		"number left out":          {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 2)}, true},
		"below a left-out number":  {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 2), stop2, start(entryA, 1, 1)}, false},
		"after cancel":             {[]authored{accept("j"), claim(entryA, 1), {entryB, CancelJob{Job: "j"}}, start(entryA, 1, 1)}, false},
		"after the end":            {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1), end, start(entryA, 1, 2)}, false},
		"accepted again after end": {[]authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1), end, accept("j"), start(entryA, 1, 1)}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, change := fold(t, tc.records...)
			assert.Equal(t, change.Kind == ChangeStarted, tc.valid)
		})
	}
}

// TestPublish guards against a lost update between two operators, and against a
// repeated append that turns an accepted publication into a lost one.
func TestPublish(t *testing.T) {
	offer := func(id, service string, base int64) authored {
		return authored{entryA, Publish{ID: id, Service: service, Base: base, Document: []byte(id)}}
	}
	tests := map[string]struct {
		records  []authored
		id       string
		accepted bool
		version  int64
		document string
	}{
		"first":            {[]authored{offer("a", "s", 0)}, "a", true, 1, "a"},
		"race lost":        {[]authored{offer("a", "s", 0), offer("b", "s", 0)}, "b", false, 1, "a"},
		"race won":         {[]authored{offer("a", "s", 0), offer("b", "s", 0)}, "a", true, 1, "a"},
		"next":             {[]authored{offer("a", "s", 0), offer("b", "s", 1)}, "b", true, 2, "b"},
		"repeated append":  {[]authored{offer("a", "s", 0), offer("b", "s", 1), offer("a", "s", 0)}, "a", true, 1, "b"},
		"from the future":  {[]authored{offer("a", "s", 0), offer("b", "s", 5)}, "b", false, 1, "a"},
		"another service":  {[]authored{offer("a", "s", 0), offer("b", "other", 0)}, "b", false, 0, "a"},
		"loser tries anew": {[]authored{offer("a", "s", 0), offer("b", "s", 0), offer("c", "s", 1)}, "c", true, 2, "c"},
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

// TestIntent guards against two entries owning the same key at once.
func TestIntent(t *testing.T) {
	intend := func(by Origin, id string) authored {
		return authored{by, Intents{Intents: []IntentID{{Key: "k", ID: id}}}}
	}
	closed := func(by Origin, id string, notRun bool) authored {
		return authored{by, CloseIntents{Closed: []ClosedIntent{{Key: "k", ID: id, NotRun: notRun}}}}
	}
	tests := map[string]struct {
		records []authored
		owner   string
	}{
		"first wins":              {[]authored{intend(entryA, "a"), intend(entryB, "b")}, "a"},
		"free after not run":      {[]authored{intend(entryA, "a"), closed(entryA, "a", true), intend(entryB, "b")}, "b"},
		"taken after an answer":   {[]authored{intend(entryA, "a"), closed(entryA, "a", false), intend(entryB, "b")}, "a"},
		"closed by another":       {[]authored{intend(entryA, "a"), closed(entryB, "a", true), intend(entryB, "b")}, "a"},
		"closed under another id": {[]authored{intend(entryA, "a"), closed(entryA, "x", true), intend(entryB, "b")}, "a"},
		"late close of first use": {[]authored{
			intend(entryA, "a"), closed(entryA, "a", true), intend(entryB, "b"), closed(entryA, "a", true),
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

// TestBadRecords guards against a reader that stops at garbage, or goes on past
// a record that it cannot understand.
func TestBadRecords(t *testing.T) {
	tests := map[string]struct {
		data string
		late bool
	}{
		"truncated":     {`{"version":1,"kind":"job_acc`, false},
		"empty":         {``, false},
		"unknown kind":  {`{"version":1,"kind":"other","body":{}}`, false},
		"wrong type":    {`{"version":1,"kind":"term","body":{"number":"x"}}`, false},
		"later release": {`{"version":2,"kind":"term","body":{}}`, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			_, err := s.Apply(chestnutpond.Record{Data: []byte(tc.data)})
			var late *VersionError
			var format *FormatError
			assert.Equal(t, errors.As(err, &late), tc.late)
			assert.Equal(t, errors.As(err, &format), !tc.late)
			want := int64(1)
			if tc.late {
				want = 0
			}
			assert.Equal(t, s.Next(), want)
		})
	}
}

// drawBody draws a record over few names, so that records meet each other.
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
	}).Draw(t, "body")
}

// TestSnapshotEqualsFold guards against a snapshot that leaves something out: a
// process that starts from one must go on exactly like one that folded all.
// It also checks that versions, terms, attempts and ends never go back, and that
// the counts by state are those of the jobs.
func TestSnapshotEqualsFold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole := New()
		var restored *State
		cut := rapid.IntRange(0, 60).Draw(rt, "cut")
		var version, term int64
		ended := make(map[chestnutpond.JobID]chestnutpond.JobState)
		for i := range 60 {
			if i == cut {
				restored = snapshotOf(rt, whole)
			}
			by := rapid.SampledFrom([]Origin{entryA, entryB}).Draw(rt, "by")
			data, err := Encode(by, drawBody(rt))
			assert.NilError(rt, err)
			rec := chestnutpond.Record{Offset: int64(i), Data: data}
			change, err := whole.Apply(rec)
			assert.NilError(rt, err)
			if restored != nil {
				again, err := restored.Apply(rec)
				assert.NilError(rt, err)
				assert.Equal(rt, again, change)
				checkCounts(rt, restored)
			}
			checkCounts(rt, whole)
			config, _ := whole.Current()
			assert.Assert(rt, config.Version >= version && whole.Term("pampa").Number >= term)
			version, term = config.Version, whole.Term("pampa").Number
			for _, j := range whole.Jobs(func(j Job) bool { return j.State.Final() }) {
				was, seen := ended[j.Spec.ID]
				assert.Assert(rt, !seen || was == j.State)
				ended[j.Spec.ID] = j.State
			}
		}
		if restored != nil {
			assert.DeepEqual(rt, must(restored.Snapshot()), must(whole.Snapshot()))
		}
	})
}

func checkCounts(t *rapid.T, s *State) {
	again := New()
	for _, j := range s.Jobs(func(Job) bool { return true }) {
		again.count(&j, 1)
	}
	assert.DeepEqual(t, s.running, again.running)
	assert.Assert(t, maps.Equal(s.waiting, again.waiting))
}

func snapshotOf(t *rapid.T, s *State) *State {
	snapshots := NewAssembler()
	data := must(s.Snapshot())
	for _, part := range Parts("id", s.Next(), data) {
		rec, err := Encode(entryA, part)
		assert.NilError(t, err)
		snapshots.Add(chestnutpond.Record{Data: rec})
	}
	best, next, ok := snapshots.Best()
	assert.Assert(t, ok && next == s.Next())
	restored, err := Restore(best)
	assert.NilError(t, err)
	return restored
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// TestSnapshotParts guards against a snapshot pieced together from two, or used
// while a part is missing.
func TestSnapshotParts(t *testing.T) {
	data := make([]byte, 2*snapshotPartSize+1)
	parts := Parts("id", 7, data)
	assert.Equal(t, len(parts), 3)
	snapshots := NewAssembler()
	add := func(p SnapshotPart) {
		rec, err := Encode(entryA, p)
		assert.NilError(t, err)
		snapshots.Add(chestnutpond.Record{Data: rec})
	}
	add(parts[2])
	add(parts[0])
	add(SnapshotPart{ID: "other", Part: 1, Parts: 3, Next: 7, Data: []byte("x")})
	_, _, ok := snapshots.Best()
	assert.Assert(t, !ok)
	add(parts[1])
	best, next, ok := snapshots.Best()
	assert.Assert(t, ok)
	assert.Equal(t, next, int64(7))
	assert.Equal(t, len(best), len(data))
}

// FuzzApply guards against a panic or a stuck fold on any record.
func FuzzApply(f *testing.F) {
	for _, body := range []Body{Publish{ID: "a"}, StartJob{Job: "j"}, SnapshotPart{Parts: 1}, Intents{}} {
		data, err := Encode(entryA, body)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		_, err := s.Apply(chestnutpond.Record{Data: data})
		var late *VersionError
		if !errors.As(err, &late) {
			assert.Equal(t, s.Next(), int64(1))
		}
		NewAssembler().Add(chestnutpond.Record{Data: data})
	})
}

// TestCapture guards against an image that moves on with its state, since it is
// packed while other records are folded.
func TestCapture(t *testing.T) {
	list := []authored{accept("j"), claim(entryA, 1), start(entryA, 1, 1)}
	s, _ := fold(t, list...)
	before := must(s.Snapshot())
	img := s.Capture()
	end := authored{entryA, EndJob{Job: "j", Attempt: 1, Region: "pampa", Term: 1, State: chestnutpond.JobCompleted}}
	for _, a := range []authored{end, accept("k"), claim(entryB, 2)} {
		data, err := Encode(a.by, a.body)
		assert.NilError(t, err)
		_, err = s.Apply(chestnutpond.Record{Offset: s.Next(), Data: data})
		assert.NilError(t, err)
	}
	assert.Equal(t, img.Next(), int64(len(list)))
	assert.DeepEqual(t, must(img.Pack()), before)
	assert.Assert(t, string(must(s.Snapshot())) != string(before))
}

// BenchmarkSnapshot measures the size of a state with many jobs.
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
