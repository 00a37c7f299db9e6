package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

func testDocument() chestnutpond.Document {
	return chestnutpond.Document{
		Accounts: []chestnutpond.Account{
			{Name: "a", Weight: 3, QueueLimit: 20},
			{Name: "b", Weight: 1, QueueLimit: 20},
		},
		Kinds: []chestnutpond.Kind{{Name: "x"}, {Name: "y"}, {Name: "z"}},
	}
}

func newTestQueue(cfg Config) *Queue {
	q := New(cfg)
	q.SetDocument(testDocument())
	return q
}

func anyKind(string) bool { return true }

// A kind without a free slot at the head of the queue must not block another kind.
func TestNextSkipsBlockedKind(t *testing.T) {
	q := newTestQueue(Config{})
	assert.Assert(t, q.Offer(0, Item{ID: "1", Account: "a", Kind: "x", Class: chestnutpond.ClassUrgent}).Admitted)
	assert.Assert(t, q.Offer(0, Item{ID: "2", Account: "a", Kind: "y", Class: chestnutpond.ClassBulk}).Admitted)
	it, ok := q.Next(0, func(kind string) bool { return kind == "y" })
	assert.Assert(t, ok)
	assert.Equal(t, it.ID, "2")
	_, ok = q.Next(0, func(kind string) bool { return kind == "y" })
	assert.Assert(t, !ok)
	assert.Equal(t, q.Len(), 1)
}

// A request that every upstream refused must be neither lost nor lose its
// position.
func TestPutBackKeepsPosition(t *testing.T) {
	q := newTestQueue(Config{})
	for _, id := range []string{"1", "2"} {
		assert.Assert(t, q.Offer(0, Item{ID: id, Account: "a", Caller: "c", Kind: "x", Deadline: time.Minute}).Admitted)
	}
	it, _ := q.Next(0, anyKind)
	assert.Equal(t, it.ID, "1")
	assert.Assert(t, q.Requeue(0, "1"))
	it, _ = q.Next(0, anyKind)
	assert.Equal(t, it.ID, "1")
	q.Done(0, "1", time.Second)
	assert.Assert(t, !q.Requeue(0, "1"))
	assert.DeepEqual(t, len(q.Expired(time.Minute)), 1)
	assert.Equal(t, q.Len(), 0)
}
