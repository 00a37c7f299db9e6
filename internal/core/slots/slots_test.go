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

func newSmallTable() *Table {
	t := New(Config{
		Slots: 2, Kinds: []string{"k"}, MaxReplies: 3, MaxReplyBytes: 10, MaxTombstones: 6, TombstoneAge: time.Minute, MaxRefusals: 2,
	})
	t.SetUpstreamUp(true)
	return t
}

func newRequest(id string) *inner.ServeRequest {
	return &inner.ServeRequest{
		Attempt: id, Request: "r", Kind: "k", Digest: xxhash.Sum64(nil), Timeout: durationpb.New(time.Second),
	}
}

func runAttempt(t *testing.T, table *Table, id, body string, now time.Time) {
	t.Helper()
	a, fresh := table.Begin(newRequest(id), now)
	assert.Assert(t, fresh, a.reply)
	reply := &inner.ServeReply{Outcome: inner.OutcomeCode_OUTCOME_CODE_ANSWERED, Body: []byte(body)}
	table.Finish(a, reply, now)
}

// Guards against an attempt that runs a second time after its reply was dropped,
// because of the bound on replies or on their bytes.
func TestDroppedAttemptsDoNotRunAgain(t *testing.T) {
	for name, body := range map[string]string{"count": "", "bytes": "123456"} {
		t.Run(name, func(t *testing.T) {
			table := newSmallTable()
			for i := range 4 {
				runAttempt(t, table, fmt.Sprint(i), body, start)
			}
			a, fresh := table.Begin(newRequest("0"), start)
			assert.Assert(t, !fresh)
			assert.Equal(t, a.Reply().GetOutcome(), inner.OutcomeCode_OUTCOME_CODE_UNKNOWN)
			// A fence does not change the outcome, because the attempt has run.
			a = table.Resolve("0", true, start)
			assert.Equal(t, a.Reply().GetOutcome(), inner.OutcomeCode_OUTCOME_CODE_UNKNOWN)
			a = table.Resolve("3", false, start)
			assert.Equal(t, string(a.Reply().GetBody()), body)
		})
	}
}

// Guards against a full table that drops young tombstones: it must refuse new
// attempts and new fences until the tombstones are old enough.
func TestFullTombstoneTable(t *testing.T) {
	table := newSmallTable()
	for i := range 6 {
		a := table.Resolve(fmt.Sprint("f", i), true, start)
		assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
	}
	a, fresh := table.Begin(newRequest("new"), start)
	assert.Assert(t, !fresh)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_NO_SLOT)
	a = table.Resolve("f6", true, start)
	assert.Equal(t, a.Reply().GetOutcome(), inner.OutcomeCode_OUTCOME_CODE_UNKNOWN)
	a, _ = table.Begin(newRequest("f0"), start)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
	later := start.Add(time.Minute)
	a = table.Resolve("f6", true, later)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
}

// Guards invariant 4: a refused attempt never runs, even after the cause of the
// refusal is gone.
func TestRefusalIsFinal(t *testing.T) {
	table := newSmallTable()
	table.SetUpstreamUp(false)
	_, fresh := table.Begin(newRequest("a"), start)
	assert.Assert(t, !fresh)
	table.SetUpstreamUp(true)
	a, fresh := table.Begin(newRequest("a"), start)
	assert.Assert(t, !fresh)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_UPSTREAM_DOWN)
}

// Guards against a fenced attempt that runs after its refusal was dropped: the
// fence must outlive the reply and the recorded refusal.
func TestFenceOutlivesRefusal(t *testing.T) {
	table := newSmallTable()
	a, _ := table.Begin(newRequest("a"), start)
	table.Finish(a, NotRun(inner.Refusal_REFUSAL_UPSTREAM_DOWN, "down"), start)
	table.Resolve("a", true, start)
	for i := range 3 {
		runAttempt(t, table, fmt.Sprint(i), "", start)
	}
	table.Drain()
	for i := range 3 {
		table.Begin(newRequest(fmt.Sprint("x", i)), start)
	}
	a, fresh := table.Begin(newRequest("a"), start)
	assert.Assert(t, !fresh)
	assert.Equal(t, a.Reply().GetRefusal(), inner.Refusal_REFUSAL_FENCED)
}
