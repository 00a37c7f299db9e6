package learn

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var writtenAt = time.UnixMilli(5_000_000)

// trained returns a model of the given number of accounts.
func trained(accounts int) *Model {
	m := New(Config{})
	for i := range 4 * accounts {
		m.Observe(classOf(i%accounts, 4), chestnutpond.DurationSample{Duration: seconds(10 + float64(i%7)), At: time.Minute})
	}
	return m
}

// Guards against a successor that predicts otherwise than the leader before it.
func TestRecord(t *testing.T) {
	m := trained(20)
	value, err := m.Encode(time.Minute, writtenAt, 32<<10)
	assert.NilError(t, err)
	// The successor's clock shows another time.
	got, err := Decode(Config{}, value, time.Hour, writtenAt)
	assert.NilError(t, err)
	assert.Equal(t, got.Groups(), m.Groups())
	for i := range 20 {
		a, b := m.Predict(classOf(i, 4)), got.Predict(classOf(i, 4))
		assert.Assert(t, math.Abs(math.Log(float64(a.Median)/float64(b.Median))) < 1e-4, "%v, %v", a, b)
		assert.Assert(t, math.Abs(a.Deviation()-b.Deviation()) < 1e-4, "%v, %v", a, b)
	}
	late, err := Decode(Config{}, value, time.Hour, writtenAt.Add(4*halfLife))
	assert.NilError(t, err)
	assert.Assert(t, late.Predict(classOf(1, 4)).Samples < got.Predict(classOf(1, 4)).Samples)
	again, err := got.Encode(time.Hour, writtenAt, 32<<10)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, value)
}

// Guards against a record above its limit, and against one that keeps the groups that are
// no longer used.
func TestRecordIsBounded(t *testing.T) {
	m := trained(1500)
	value, err := m.Encode(time.Minute, writtenAt, 32<<10)
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= 32<<10 && len(value) > 30<<10, "%d bytes", len(value))
	got, err := Decode(Config{}, value, 0, writtenAt)
	assert.NilError(t, err)
	assert.Assert(t, got.Predict(classOf(1499, 4)).Samples > got.Predict(classOf(3, 4)).Samples)
	for limit := range 300 {
		if value, err := m.Encode(time.Minute, writtenAt, limit); err == nil {
			assert.Assert(t, len(value) <= limit, "%d bytes of %d", len(value), limit)
		}
	}
}

// Guards against a leader that fails or predicts nonsense after a record that is damaged or
// of another version.
func TestMalformedRecord(t *testing.T) {
	one := func(change func(r *inner.LearnedRecord)) []byte {
		r := &inner.LearnedRecord{Version: version, Names: []string{"lots"}, Rows: []*inner.LearnedRow{{
			Level: 1, Duration: &inner.LearnedTally{Weight: 3, Mean: 2}, Errors: &inner.LearnedErrors{Weight: 1},
		}}}
		change(r)
		value, err := proto.Marshal(r)
		assert.NilError(t, err)
		return value
	}
	nan := float32(math.NaN())
	cases := map[string]struct {
		value []byte
		want  string
	}{
		"not protobuf":        {[]byte("\xff\xff"), "proto"},
		"empty":               {nil, "version is 0"},
		"other version":       {one(func(r *inner.LearnedRecord) { r.Version = 2 }), "version is 2"},
		"unknown level":       {one(func(r *inner.LearnedRecord) { r.Rows[0].Level = 4 }), "level is 4"},
		"unknown name":        {one(func(r *inner.LearnedRecord) { r.Rows[0].Queue = 1 }), "name 1 of 1"},
		"weight is too large": {one(func(r *inner.LearnedRecord) { r.Rows[0].Duration.Weight = 1e9 }), "weight"},
		"weight is no number": {one(func(r *inner.LearnedRecord) { r.Rows[0].Errors.Weight = nan }), "weight"},
		"mean is no number":   {one(func(r *inner.LearnedRecord) { r.Rows[0].Duration.Mean = nan }), "mean"},
		"negative variance":   {one(func(r *inner.LearnedRecord) { r.Rows[0].Duration.Inside = -1 }), "variance"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(Config{}, tt.value, 0, writtenAt)
			assert.Assert(t, err != nil && strings.Contains(fmt.Sprint(err), tt.want), "%v", err)
		})
	}
	_, err := Decode(Config{}, one(func(*inner.LearnedRecord) {}), 0, writtenAt)
	assert.NilError(t, err)
}
