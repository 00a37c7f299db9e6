package graph

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const testJobID = chestnutpond.JobID("00000000000000a1")

func testGraph() *chestnutpond.Graph {
	return &chestnutpond.Graph{
		ID: testJobID, Account: "ventas", Payload: "x", Accepted: time.UnixMilli(5000),
		Steps: []chestnutpond.Step{
			{
				Count: 2, Need: chestnutpond.Resources{CPU: 500, Memory: 256, Accelerators: 1}, Estimate: time.Second,
				Gang: true, SameRack: true, Label: "a", DataRack: "r1", PerWorker: 1, Checkpointable: true, Image: "i",
			},
			{
				Count: 1, After: []int{0}, Speculative: true, Perpetual: true, TailLatency: 50 * time.Millisecond,
				Filler: true, MaxUnavailable: 3,
			},
		},
		Schedule: chestnutpond.Schedule{First: time.UnixMilli(9000), Every: time.Second, Repetitions: 4},
		Queue: chestnutpond.QueuePolicy{
			Name: "lots", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 1.5, TargetLatency: 400 * time.Millisecond,
			Advice: &chestnutpond.AdvicePolicy{
				Base: 5 * time.Millisecond, PerWorker: 300 * time.Microsecond, Valid: 3 * time.Second,
			},
		},
	}
}

// TestJobRecord guards against a field that JobRecord omits: the next leader has
// only the record.
func TestJobRecord(t *testing.T) {
	r, err := JobRecord(testGraph())
	assert.NilError(t, err)
	table := New()
	changed, err := table.Apply(r)
	assert.NilError(t, err)
	assert.Equal(t, changed, testJobID)
	assert.DeepEqual(t, table.Job(testJobID).Graph, testGraph())
}

// TestLearnedRecord guards against a record of what has been learned that is taken for that
// of a job, and against one that is kept although it is old, too large or removed.
func TestLearnedRecord(t *testing.T) {
	_, ofJob := JobOf(LearnedRecord(nil).Key)
	assert.Assert(t, !ofJob)
	record := func(value string, offset int64) chestnutpond.KeyedRecord {
		r := LearnedRecord([]byte(value))
		r.Offset = offset
		return r
	}
	cases := map[string]struct {
		records []chestnutpond.KeyedRecord
		want    string
		fails   bool
	}{
		"one":                {records: []chestnutpond.KeyedRecord{record("a", 1)}, want: "a"},
		"a newer one":        {records: []chestnutpond.KeyedRecord{record("a", 1), record("b", 2)}, want: "b"},
		"an older one":       {records: []chestnutpond.KeyedRecord{record("b", 2), record("a", 1)}, want: "b"},
		"a tombstone":        {records: []chestnutpond.KeyedRecord{record("a", 1), record("", 2)}},
		"one too large":      {records: []chestnutpond.KeyedRecord{record("a", 1), record(strings.Repeat("a", MaxLearned), 2)}, fails: true},
		"as large as it may": {records: []chestnutpond.KeyedRecord{record(strings.Repeat("a", MaxLearned-8), 2)}, want: strings.Repeat("a", MaxLearned-8)},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			var err error
			for _, r := range tt.records {
				_, err = table.Apply(r)
			}
			assert.Equal(t, err != nil, tt.fails)
			assert.Equal(t, string(table.Learned()), tt.want)
			table.Retain(map[string]bool{learnedKey: true}, 3)
			assert.Equal(t, string(table.Learned()), tt.want)
			table.Retain(nil, 3)
			assert.Equal(t, string(table.Learned()), "")
		})
	}
}

// jobRecords returns the acceptance, a running state, the cancellation and a
// completed state of a job, with the given offsets.
func jobRecords(t interface{ Fatal(args ...any) }, offsets ...int64) []chestnutpond.KeyedRecord {
	job, err := JobRecord(testGraph())
	if err != nil {
		t.Fatal(err)
	}
	cancel, err := CancelRecord(testJobID, time.UnixMilli(6000), Canceller{})
	if err != nil {
		t.Fatal(err)
	}
	running, err := StateRecord(testJobID, &inner.StateRecord{Epoch: 1, Phase: string(chestnutpond.JobRunning)})
	if err != nil {
		t.Fatal(err)
	}
	completed, err := StateRecord(testJobID, &inner.StateRecord{Epoch: 1, Phase: string(chestnutpond.JobCompleted), Settled: true})
	if err != nil {
		t.Fatal(err)
	}
	all := []chestnutpond.KeyedRecord{job, running, cancel, completed}
	for i := range all {
		all[i].Offset = offsets[i]
	}
	return all
}

// TestPhase covers the state that callers see after each sequence of records.
func TestPhase(t *testing.T) {
	all := jobRecords(t, 0, 1, 2, 3)
	for name, c := range map[string]struct {
		apply []int
		want  chestnutpond.JobState
	}{
		"accepted":                          {[]int{0}, chestnutpond.JobQueued},
		"running":                           {[]int{0, 1}, chestnutpond.JobRunning},
		"cancelled while it runs":           {[]int{0, 1, 2}, chestnutpond.JobCancelled},
		"cancelled before it runs":          {[]int{0, 2}, chestnutpond.JobCancelled},
		"completed despite cancellation":    {[]int{0, 1, 2, 3}, chestnutpond.JobCompleted},
		"cancellation read first":           {[]int{2, 0}, chestnutpond.JobCancelled},
		"older state after a newer one":     {[]int{0, 3, 1}, chestnutpond.JobCompleted},
		"acceptance repeated after the end": {[]int{0, 3, 0}, chestnutpond.JobCompleted},
		"duplicates in another order":       {[]int{3, 1, 0, 0, 3, 1}, chestnutpond.JobCompleted},
		"state read before the acceptance":  {[]int{1, 0}, chestnutpond.JobRunning},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			for _, i := range c.apply {
				_, err := table.Apply(all[i])
				assert.NilError(t, err)
			}
			assert.Equal(t, table.Job(testJobID).Phase(), c.want)
		})
	}
}

// TestApplyInAnyOrder guards against a table that depends on how records are
// split between pages of newest records and reads of the log, or on duplicates.
func TestApplyInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := jobRecords(rt, 0, 1, 2, 3)
		leader, err := LeaderRecord(&inner.LeaderRecord{Epoch: 2, Nonce: "n"})
		if err != nil {
			rt.Fatal(err)
		}
		leader.Offset = 4
		older, err := LeaderRecord(&inner.LeaderRecord{Epoch: 1})
		if err != nil {
			rt.Fatal(err)
		}
		older.Offset = 2
		all = append(all, leader, older)
		repeats := rapid.SliceOfN(rapid.SampledFrom(all), 0, 6).Draw(rt, "repeats")
		table := New()
		for _, r := range append(rapid.Permutation(all).Draw(rt, "order"), repeats...) {
			if _, err := table.Apply(r); err != nil {
				rt.Fatal(err)
			}
		}
		if got := table.Job(testJobID).Phase(); got != chestnutpond.JobCompleted {
			rt.Fatalf("phase is %s", got)
		}
		if got := table.Leader().GetEpoch(); got != 2 {
			rt.Fatalf("epoch is %d", got)
		}
	})
}

// TestForgetRecords guards against a removed job that stays in the table.
func TestForgetRecords(t *testing.T) {
	table := New()
	for _, r := range append(jobRecords(t, 0, 1, 2, 3), Tombstones(testJobID)...) {
		if len(r.Value) == 0 {
			r.Offset = 9
		}
		_, err := table.Apply(r)
		assert.NilError(t, err)
	}
	assert.Assert(t, table.Job(testJobID) == nil)
	count := 0
	table.Jobs(func(*Job) { count++ })
	assert.Equal(t, count, 0)
}

// TestMalformedRecords guards against a malformed record that is not counted, or
// that keeps later records from being applied.
func TestMalformedRecords(t *testing.T) {
	for name, r := range map[string]chestnutpond.KeyedRecord{
		"no key":               {Offset: 7},
		"unknown key":          {Offset: 7, Key: "x1", Value: []byte{1}},
		"job not decodable":    {Offset: 7, Key: "j" + string(testJobID), Value: []byte{0xff, 0xff}},
		"job without steps":    {Offset: 7, Key: "j" + string(testJobID), Value: []byte{}},
		"state not decodable":  {Offset: 7, Key: "s" + string(testJobID), Value: []byte{0xff}},
		"leader not decodable": {Offset: 7, Key: "leader", Value: []byte{0xff}},
		"ceded not decodable":  {Offset: 7, Key: "ceded", Value: []byte{0xff}},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			if name == "job without steps" {
				r.Value = append(r.Value, 0x0a, 0x01, 'x')
			}
			_, err := table.Apply(r)
			assert.Assert(t, err != nil)
			assert.Equal(t, table.Malformed(), int64(1))
			_, err = table.Apply(jobRecords(t, 8, 9, 10, 11)[0])
			assert.NilError(t, err)
			assert.Assert(t, table.Job(testJobID) != nil)
		})
	}
}

// FuzzApply guards against records of other writers on which Apply panics.
func FuzzApply(f *testing.F) {
	for _, r := range jobRecords(f, 0, 1, 2, 3) {
		f.Add(r.Key, r.Value)
	}
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		table := New()
		// Errors are expected; only a panic fails the test.
		_, _ = table.Apply(chestnutpond.KeyedRecord{Offset: 1, Key: key, Value: value})
	})
}

// TestRemovedJobStaysRemoved guards against a removed job that is in the table again because
// its records are applied once more, by a read that was slower than another.
func TestRemovedJobStaysRemoved(t *testing.T) {
	table := New()
	records := jobRecords(t, 0, 1, 2, 3)
	apply := func(records []chestnutpond.KeyedRecord) {
		for _, r := range records {
			_, err := table.Apply(r)
			assert.NilError(t, err)
		}
	}
	apply(records)
	table.Advance(4)
	tombstones := Tombstones(testJobID)
	for i := range tombstones {
		tombstones[i].Offset = int64(4 + i)
	}
	apply(tombstones)
	table.Advance(7)
	apply(records)
	count := 0
	table.Jobs(func(*Job) { count++ })
	assert.Equal(t, count, 0)
}

// TestNoReaderHasAcceptanceAlone guards against a job that looks newly accepted between two
// of its tombstones.
func TestNoReaderHasAcceptanceAlone(t *testing.T) {
	table := New()
	for _, r := range jobRecords(t, 0, 1, 2, 3) {
		_, err := table.Apply(r)
		assert.NilError(t, err)
	}
	for i, r := range Tombstones(testJobID) {
		r.Offset = int64(9 + i)
		_, err := table.Apply(r)
		assert.NilError(t, err)
		assert.Assert(t, table.Job(testJobID) == nil, "after tombstone %d", i)
	}
}

// TestRetain guards against a job that stays in the table, or is taken from it, when the
// newest records are loaded once more.
func TestRetain(t *testing.T) {
	for name, c := range map[string]struct {
		// keys are the prefixes of the job's keys that are left in the store.
		keys string
		end  int64
		// known, cancelled and stated are what is left in the table.
		known, cancelled, stated bool
	}{
		"all are left":          {"jcs", 9, true, true, true},
		"job removed":           {"", 9, false, false, false},
		"records after the end": {"", 0, true, true, true},
		"cancellation removed":  {"js", 9, true, false, true},
		"only state is newer":   {"", 3, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			for _, r := range jobRecords(t, 0, 1, 2, 3) {
				_, err := table.Apply(r)
				assert.NilError(t, err)
			}
			keys := map[string]bool{}
			for _, prefix := range c.keys {
				keys[string(prefix)+string(testJobID)] = true
			}
			table.Retain(keys, c.end)
			assert.Equal(t, table.Job(testJobID) != nil, c.known)
			j := table.jobs[testJobID]
			assert.Equal(t, j != nil && j.Cancelled, c.cancelled)
			assert.Equal(t, j != nil && j.State != nil, c.stated)
		})
	}
}
