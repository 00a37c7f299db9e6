package roster_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const address = "10.1.0.19:7000"

func record(t *testing.T, offset int64, e *inner.EntryRow) chestnutpond.KeyedRecord {
	t.Helper()
	r, err := roster.Record(e)
	assert.NilError(t, err)
	r.Offset = offset
	return r
}

// Guards against a record of another writer that takes the address of an entry away, or
// adds one that cannot be dialled.
func TestOddRecords(t *testing.T) {
	row := func(address string) *inner.EntryRow {
		return &inner.EntryRow{Name: "entry-1", Address: address, Zone: "z"}
	}
	for name, value := range map[string][]byte{
		"not a message":   []byte("\xff\xff\xff\xff"),
		"json":            []byte(`{"address":"10.1.0.1:7000"}`),
		"nested deeply":   []byte(strings.Repeat("[", 20000)),
		"no address":      record(t, 0, row("")).Value,
		"port too large":  record(t, 0, row("10.1.0.1:99999")).Value,
		"port negative":   record(t, 0, row("10.1.0.1:-1")).Value,
		"port a word":     record(t, 0, row("10.1.0.1:http")).Value,
		"no host":         record(t, 0, row(":7000")).Value,
		"huge address":    record(t, 0, row(strings.Repeat("a", 5000)+":7000")).Value,
		"control letters": record(t, 0, row("10.1.0.1\n:7000")).Value,
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New(roster.Config{Seeds: []string{"10.9.9.9:7000"}, Log: slog.New(slog.DiscardHandler)})
			r.Apply([]chestnutpond.KeyedRecord{record(t, 1, row(address))})
			r.Apply([]chestnutpond.KeyedRecord{{Key: "entry-1", Offset: 2, Value: value}})
			assert.DeepEqual(t, r.PeerAddresses("z", "r"), []string{address, "10.9.9.9:7000"})
			assert.Assert(t, !r.Registered("entry-1", address), "the entry must register again")
			r.Apply([]chestnutpond.KeyedRecord{{Key: "stranger", Offset: 3, Value: value}})
			assert.Equal(t, len(r.Entries()), 1)
			r.Apply([]chestnutpond.KeyedRecord{record(t, 4, row(address))})
			assert.Assert(t, r.Registered("entry-1", address))
		})
	}
}

// Guards against rows of another process that replace what the store has, or that cannot
// be dialled.
func TestMerge(t *testing.T) {
	r := roster.New(roster.Config{Log: slog.New(slog.DiscardHandler)})
	r.Apply([]chestnutpond.KeyedRecord{record(t, 1, &inner.EntryRow{Name: "entry-1", Address: address})})
	r.Merge([]*inner.EntryRow{
		{Name: "entry-1", Address: "10.1.0.20:7000"},
		{Name: "entry-2", Address: "10.1.0.21:7000"},
		{Name: "entry-3", Address: "10.1.0.22:70000"},
		{Name: "", Address: "10.1.0.23:7000"},
		{Name: "entry-4"},
	})
	assert.Equal(t, r.Address("entry-1"), address)
	assert.Equal(t, r.Address("entry-2"), "10.1.0.21:7000")
	assert.Equal(t, len(r.Entries()), 2)
}

// Guards against a list of entries that grows with the records of another writer.
func TestTooManyEntries(t *testing.T) {
	r := roster.New(roster.Config{Log: slog.New(slog.DiscardHandler)})
	for i := range 2 * roster.MaxEntries {
		e := &inner.EntryRow{Name: fmt.Sprintf("entry-%d", i), Address: address}
		r.Apply([]chestnutpond.KeyedRecord{record(t, int64(i), e)})
	}
	assert.Equal(t, len(r.Entries()), roster.MaxEntries)
	r.Apply([]chestnutpond.KeyedRecord{{Key: "entry-0", Offset: 1 << 20}})
	assert.Equal(t, len(r.Entries()), roster.MaxEntries-1)
}

// Guards against an entry that left while the records were not read, and that is used again
// by its address.
func TestRetain(t *testing.T) {
	r := roster.New(roster.Config{Log: slog.New(slog.DiscardHandler)})
	other, merged := "10.1.0.20:7000", "10.1.0.21:7000"
	r.Apply([]chestnutpond.KeyedRecord{
		record(t, 1, &inner.EntryRow{Name: "entry-1", Address: address, Zone: "z"}),
		record(t, 5, &inner.EntryRow{Name: "entry-2", Address: other, Zone: "z"}),
	})
	r.Merge([]*inner.EntryRow{{Name: "entry-3", Address: merged, Zone: "z"}})
	before := r.Version()
	r.Retain(map[string]bool{}, 5)
	assert.DeepEqual(t, r.PeerAddresses("z", "r"), []string{other, merged})
	assert.Assert(t, r.Version() != before)
}
