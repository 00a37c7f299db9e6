package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var start = time.Unix(1000, 0)

func small() *Table {
	t := New(Config{
		Slots: 2, Kinds: []string{"k"}, Keep: 3, KeepBytes: 10, Spent: 6, SpentAge: time.Minute, Refused: 2,
	})
	t.SetUp(true)
	return t
}

func request(id string) *inner.ServeRequest {
	return &inner.ServeRequest{
		Attempt: id, Request: "r", Kind: "k", Digest: xxhash.Sum64(nil), Timeout: durationpb.New(time.Second),
	}
}

func serve(t *testing.T, table *Table, id, body string, now time.Time) {
	t.Helper()
	a, fresh := table.Begin(request(id), now)
	assert.Assert(t, fresh, a.reply)
	reply := &inner.ServeReply{Outcome: inner.OutcomeCode_OUTCOME_CODE_ANSWERED, Body: []byte(body)}
	table.Finish(a, reply, now)
}

// Guards "at most once" beyond the kept replies: an attempt whose reply was
// dropped does not run again, whether the count or the bytes dropped it.
func TestDroppedAttemptsDoNotRunAgain(t *testing.T) {
	for name, body := range map[string]string{"count": "", "bytes": "123456"} {
		t.Run(name, func(t *testing.T) {
			table := small()
			for i := range 4 {
				serve(t, table, fmt.Sprint(i), body, start)
			}
			a, fresh := table.Begin(request("0"), start)
			assert.Assert(t, !fresh)
			assert.Equal(t, a.Reply().GetOutcome(), inner.OutcomeCode_OUTCOME_CODE_UNKNOWN)
			// A fence cannot prove that it did not run either.
			a = table.Resolve("0", true, start)
			assert.Equal(t, a.Reply().GetOutcome(), inner.OutcomeCode_OUTCOME_CODE_UNKNOWN)
			a = table.Resolve("3", false, start)
			assert.Equal(t, string(a.Reply().GetBody()), body)
		})
	}
}

// Guards the bound of the spent table: a full table refuses new work and new
// fences instead of forgetting young ones, and takes them again later.
func TestFullSpentTable(t *testing.T) {
	table := small()
	for i := range 6 {
		a := table.Resolve(fmt.Sprint("f", i), true, start)
		assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
	}
	a, fresh := table.Begin(request("new"), start)
	assert.Assert(t, !fresh)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_NO_SLOT)
	a = table.Resolve("f6", true, start)
	assert.Equal(t, a.Reply().GetOutcome(), inner.OutcomeCode_OUTCOME_CODE_UNKNOWN)
	a, _ = table.Begin(request("f0"), start)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
	later := start.Add(time.Minute)
	a = table.Resolve("f6", true, later)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
}

// Guards invariant 4: a refused attempt stays refused when its cause is over.
func TestRefusalIsFinal(t *testing.T) {
	table := small()
	table.SetUp(false)
	_, fresh := table.Begin(request("a"), start)
	assert.Assert(t, !fresh)
	table.SetUp(true)
	a, fresh := table.Begin(request("a"), start)
	assert.Assert(t, !fresh)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_UPSTREAM_DOWN)
}

// Guards a fence on a refusal: it holds after the reply was dropped and the
// refusal forgotten.
func TestFenceOutlastsRefusal(t *testing.T) {
	table := small()
	a, _ := table.Begin(request("a"), start)
	table.Finish(a, NotRun(inner.Refusal_REFUSAL_UPSTREAM_DOWN, "down"), start)
	table.Resolve("a", true, start)
	for i := range 3 {
		serve(t, table, fmt.Sprint(i), "", start)
	}
	table.Drain()
	for i := range 3 {
		table.Begin(request(fmt.Sprint("x", i)), start)
	}
	a, fresh := table.Begin(request("a"), start)
	assert.Assert(t, !fresh)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
}
