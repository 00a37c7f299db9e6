package graph

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards against a part of a job's states that belongs to another job or step, or that
// outlives its tombstone.
func TestParts(t *testing.T) {
	table := New()
	put := func(offset int64, r chestnutpond.KeyedRecord) {
		t.Helper()
		r.Offset = offset
		id, err := table.Apply(r)
		assert.NilError(t, err)
		assert.Equal(t, id, testJobID)
	}
	part := func(run int64) *inner.TasksRecord { return &inner.TasksRecord{Tasks: []*inner.TaskRow{{Run: run}}} }
	for i, r := range jobRecords(t, 0, 1, 2, 3)[:2] {
		put(int64(i), r)
	}
	first, second := PartRef{Occurrence: 9, Step: 1, Part: 0}, PartRef{Occurrence: 9, Step: 1, Part: 7}
	for i, ref := range []PartRef{first, second} {
		r, err := PartRecord(testJobID, ref, part(int64(i+1)))
		assert.NilError(t, err)
		id, ok := JobOf(r.Key)
		assert.Assert(t, ok)
		assert.Equal(t, id, testJobID)
		put(int64(4+i), r)
	}
	j := table.Job(testJobID)
	assert.Equal(t, len(j.Parts), 2)
	assert.Equal(t, j.Parts[second].GetTasks()[0].GetRun(), int64(2))
	put(6, PartTombstone(testJobID, first))
	assert.Equal(t, len(j.Parts), 1)
	table.Retain(map[string]bool{"j" + string(testJobID): true, "s" + string(testJobID): true}, 7)
	assert.Equal(t, len(j.Parts), 0)
	assert.Assert(t, table.Job(testJobID) != nil)
}

// Guards against a part of another writer that is applied under a step that no job has.
func TestMalformedPartKeys(t *testing.T) {
	for name, key := range map[string]string{
		"no cells": "t00000000000000a1", "too few": "t00000000000000a1.0.0", "too many": "t00000000000000a1.0.0.0.0",
		"a word": "t00000000000000a1.0.x.0", "negative": "t00000000000000a1.0.0.-1", "no job": "t.0.0.0",
		"part beyond": "t00000000000000a1.0.0.8", "step beyond": "t00000000000000a1.0.256.0",
		"occurrence beyond": "t00000000000000a1.10000.0.0", "huge": "t00000000000000a1.0.0.99999999999999999999",
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			_, err := table.Apply(chestnutpond.KeyedRecord{Key: key, Value: []byte{0x0a, 0x00}})
			assert.Assert(t, err != nil)
			assert.Equal(t, table.Malformed(), int64(1))
		})
	}
}
