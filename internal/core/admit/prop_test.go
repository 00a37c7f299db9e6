package admit

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

var testClasses = []chestnutpond.Class{
	chestnutpond.ClassUrgent, chestnutpond.ClassStandard, chestnutpond.ClassBulk, "other",
}

// TestMain fixes the seed of the property tests to make runs reproducible. The
// flags of rapid override it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// model holds the expected contents of the queue.
type model struct {
	t                *rapid.T
	waiting, running map[string]Item
}

func (m *model) remove(from map[string]Item, it Item) {
	_, ok := from[it.ID]
	assert.Assert(m.t, ok, "%s was returned twice or never added", it.ID)
	delete(from, it.ID)
}

func (m *model) count(match func(it Item) bool) int {
	n := 0
	for _, it := range m.waiting {
		if match(it) {
			n++
		}
	}
	return n
}

func (m *model) offer(q *Queue, now time.Duration, it Item) {
	// Expired requests don't count towards the bounds by account, kind and caller.
	for _, it := range q.Expired(now) {
		m.remove(m.waiting, it)
	}
	account := func(o Item) bool { return o.Account == it.Account }
	kind := func(o Item) bool { return o.Kind == it.Kind && o.Class == it.Class }
	mine := func(o Item) bool { return account(o) && o.Caller == it.Caller }
	before := []int{m.count(account), m.count(kind), m.count(mine), len(m.waiting)}
	v := q.Offer(now, it)
	assert.Equal(m.t, v.Admitted, v.Reason == "")
	assert.Assert(m.t, v.Admitted || len(v.Evicted) == 0)
	for _, d := range v.Evicted {
		m.remove(m.waiting, d)
	}
	if !v.Admitted {
		return
	}
	m.waiting[it.ID] = it
	after := []int{m.count(account), m.count(kind), m.count(mine), len(m.waiting)}
	for i, limit := range []int{20, 12, 5, 24} {
		// Requests that were put back may exceed a bound; Offer never does.
		assert.Assert(m.t, after[i] <= max(limit, before[i]), "bound %d: %d of %d", i, after[i], limit)
	}
}

// Guards against lost requests, requests returned twice, and exceeded bounds, for
// any order of calls.
func TestQueueHoldsEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(Config{Limit: 24, KindLimit: 12, CallerLimit: 3})
		m := &model{t: t, waiting: map[string]Item{}, running: map[string]Item{}}
		now, next := time.Duration(0), 0
		servable := func(kind string) bool { return kind != "z" }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id"))
			switch rapid.SampledFrom([]string{"offer", "offer", "offer", "next", "done", "back", "expired", "remove", "document"}).Draw(t, "step") {
			case "offer":
				next++
				m.offer(q, now, Item{
					ID:      fmt.Sprint(next),
					Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
					Caller:  rapid.SampledFrom([]string{"", "c", "d", "e", "f"}).Draw(t, "caller"),
					Kind:    rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "kind"),
					Class:   rapid.SampledFrom(testClasses[:3]).Draw(t, "class"), Deadline: now + 5*time.Second,
				})
			case "next":
				if it, ok := q.Next(now, servable); ok {
					m.remove(m.waiting, it)
					m.running[it.ID] = it
					assert.Assert(t, it.Kind != "z" && it.Deadline > now)
				}
			case "done":
				q.Done(now, id, time.Duration(rapid.IntRange(0, 3000).Draw(t, "served"))*time.Millisecond)
				delete(m.running, id)
			case "back":
				it, ok := m.running[id]
				assert.Equal(t, q.Requeue(now, id), ok)
				if ok {
					delete(m.running, id)
					m.waiting[id] = it
				}
			case "expired":
				for _, it := range q.Expired(now) {
					m.remove(m.waiting, it)
				}
			case "remove":
				_, ok := m.waiting[id]
				assert.Equal(t, q.Remove(id), ok)
				delete(m.waiting, id)
			case "document":
				d := testDocument()
				d.Accounts = d.Accounts[rapid.IntRange(0, 1).Draw(t, "gone"):]
				q.SetDocument(d)
			}
			assert.Equal(t, q.Len(), len(m.waiting))
			assert.Assert(t, q.callerCount <= 3+len(m.waiting)+len(m.running))
		}
		for _, it := range q.Expired(math.MaxInt64) {
			m.remove(m.waiting, it)
		}
		assert.Equal(t, len(m.waiting), 0)
		assert.Equal(t, q.Len(), 0)
	})
}

// Guards against accounts or callers that get more than their shares while others
// wait, for any classes and service times.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(Config{})
		served := map[string]float64{}
		next, longest := 0, 0.0
		fill := func(account, caller string, class chestnutpond.Class) {
			next++
			q.Offer(0, Item{ID: fmt.Sprint(next), Account: account, Caller: caller, Kind: "x", Class: class})
		}
		class := map[string]chestnutpond.Class{
			"a": rapid.SampledFrom(testClasses).Draw(t, "class of a"), "b": rapid.SampledFrom(testClasses).Draw(t, "class of b"),
		}
		for range 3 {
			fill("a", "a1", class["a"])
			fill("a", "a2", class["a"])
			fill("b", "b1", class["b"])
		}
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			it, ok := q.Next(0, anyKind)
			assert.Assert(t, ok)
			took := time.Duration(rapid.IntRange(50, 2000).Draw(t, "took")) * time.Millisecond
			longest = max(longest, took.Seconds())
			served[it.Account] += took.Seconds()
			served[it.Caller] += took.Seconds()
			q.Done(0, it.ID, took)
			fill(it.Account, it.Caller, it.Class)
			// The weights 3 and 1 are 1.5 and 0.5 relative to their mean. A lead
			// and a credit are in requests of average length, which is at most the
			// longest.
			bound := (8 + 8 + 2) * max(longest, 0.5) * 2
			assert.Assert(t, math.Abs(served["a"]/1.5-served["b"]/0.5) <= bound, "%v", served)
			assert.Assert(t, math.Abs(served["a1"]-served["a2"]) <= bound, "%v", served)
		}
	})
}

// Guards against baseline requests that starve a new account, a new caller or a
// less urgent class. One slot serves one request per second. Account a has used
// all of it for ten minutes when the other requests start to arrive.
func TestNewWorkGetsServed(t *testing.T) {
	for name, c := range map[string]struct {
		it Item
		// callers is the number of callers that send the baseline requests.
		callers int
		// least is the minimum share of the service in the next ten minutes.
		least float64
	}{
		"new account":       {Item{Account: "b", Caller: "n", Kind: "y", Class: chestnutpond.ClassUrgent}, 4, 0.2},
		"new account, bulk": {Item{Account: "b", Caller: "n", Kind: "y", Class: chestnutpond.ClassBulk}, 4, 0.2},
		"new caller":        {Item{Account: "a", Caller: "n", Kind: "x", Class: chestnutpond.ClassUrgent}, 4, 0.01},
		"new caller, bulk":  {Item{Account: "a", Caller: "n", Kind: "y", Class: chestnutpond.ClassBulk}, 4, 0.01},
		// An even part for each of a caller's two workloads is half of the
		// caller's service, which is a quarter of the total with four callers.
		"one caller, less urgent":   {Item{Account: "a", Caller: "0", Kind: "z", Class: chestnutpond.ClassBulk}, 1, 0.4},
		"four callers, less urgent": {Item{Account: "a", Caller: "0", Kind: "z", Class: chestnutpond.ClassBulk}, 4, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue(Config{})
			next, served := 0, 0
			offer := func(now time.Duration, it Item) {
				next++
				it.ID = fmt.Sprint(next)
				q.Offer(now, it)
			}
			for i := range 1200 {
				now := time.Duration(i) * time.Second
				offer(now, Item{Account: "a", Caller: fmt.Sprint(i % c.callers), Kind: "x", Class: chestnutpond.ClassUrgent})
				offer(now, Item{Account: "a", Caller: fmt.Sprint(i % c.callers), Kind: "x", Class: chestnutpond.ClassUrgent})
				if i >= 600 {
					offer(now, c.it)
				}
				it, ok := q.Next(now, anyKind)
				assert.Assert(t, ok)
				q.Done(now, it.ID, time.Second)
				if it.Account == c.it.Account && it.Caller == c.it.Caller && it.Kind == c.it.Kind && it.Class == c.it.Class && i >= 600 {
					served++
				}
			}
			assert.Assert(t, float64(served) >= 600*c.least, "%d of 600", served)
		})
	}
}

// Guards against a new entry that counts a flood in progress as its baseline.
func TestLearnFromPeer(t *testing.T) {
	q, fresh := newTestQueue(Config{}), newTestQueue(Config{})
	for i := range 600 {
		now := time.Duration(i) * time.Second
		q.Offer(now, Item{ID: fmt.Sprint(i), Account: "a", Caller: "c", Kind: "x"})
		it, _ := q.Next(now, anyKind)
		q.Done(now, it.ID, 500*time.Millisecond)
	}
	now := 10 * time.Minute
	list := q.BaselineRates(now, 10)
	assert.Equal(t, len(list), 1)
	assert.Assert(t, math.Abs(list[0].Rate-0.5) < 0.05, "%v", list)
	bad := []BaselineRate{{Account: "?", Kind: "x", Rate: 1}, {Account: "a", Kind: "?", Rate: 1}, {Account: "a", Kind: "x", Rate: math.NaN()}}
	assert.Assert(t, !New(Config{}).ImportBaselines(time.Second, q.BaselineAge(now), list), "learned without a document")
	fresh.Offer(0, Item{ID: "0", Account: "a", Caller: "c", Kind: "x"})
	assert.Assert(t, !fresh.ImportBaselines(time.Second, time.Millisecond, list), "learned from a newer peer")
	assert.Assert(t, fresh.ImportBaselines(time.Second, q.BaselineAge(now), append(list, bad...)))
	got := fresh.BaselineRates(time.Second, 10)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, math.Abs(got[0].Rate-list[0].Rate) < 0.01, "%v", got)
	fresh.Offer(time.Second, Item{ID: "1", Account: "a", Caller: "c", Kind: "x"})
	assert.Assert(t, !fresh.ImportBaselines(time.Second, time.Hour, list), "learned twice")
	assert.Assert(t, math.Abs(fresh.BaselineRates(time.Second, 10)[0].Rate-list[0].Rate) < 0.01)
	assert.Equal(t, len(fresh.BaselineRates(now, 0)), 0)
}

// A full queue must evict from the longest queue, never from a small caller.
func TestOfferWhenFull(t *testing.T) {
	item := func(id, account, caller, kind string) Item {
		return Item{ID: id, Account: account, Caller: caller, Kind: kind, Class: chestnutpond.ClassBulk}
	}
	for name, c := range map[string]struct {
		cfg       Config
		fill      []Item
		it        Item
		reason    chestnutpond.Reason
		displaced string
	}{
		"account unknown":          {it: item("n", "?", "c", "x"), reason: chestnutpond.ReasonNoConfig},
		"kind unknown":             {it: item("n", "a", "c", "?"), reason: chestnutpond.ReasonUnknownKind},
		"id in use":                {fill: []Item{item("n", "a", "c", "x")}, it: item("n", "a", "c", "x"), reason: chestnutpond.ReasonInProgress},
		"caller full":              {cfg: Config{CallerShare: 0.05}, fill: []Item{item("1", "a", "c", "x")}, it: item("n", "a", "c", "y"), reason: chestnutpond.ReasonCallerLimit},
		"caller full, other kind":  {cfg: Config{CallerShare: 0.1}, fill: []Item{item("1", "a", "c", "x"), item("2", "a", "c", "x")}, it: item("n", "a", "c", "y"), displaced: "2"},
		"total full, same caller":  {cfg: Config{Limit: 2}, fill: []Item{item("1", "a", "c", "x"), item("2", "a", "c", "x")}, it: item("n", "a", "c", "x"), reason: chestnutpond.ReasonQueueFull},
		"total full, small caller": {cfg: Config{Limit: 2}, fill: []Item{item("1", "a", "c", "x"), item("2", "a", "c", "x")}, it: item("n", "a", "d", "x"), displaced: "2"},
		"kind full, small account": {cfg: Config{KindLimit: 2}, fill: []Item{item("1", "a", "c", "x"), item("2", "a", "c", "x")}, it: item("n", "b", "d", "x"), displaced: "2"},
		"kind full, even callers":  {cfg: Config{KindLimit: 2}, fill: []Item{item("1", "a", "c", "x"), item("2", "a", "d", "x")}, it: item("n", "b", "d", "x"), reason: chestnutpond.ReasonQueueFull},
		"large backlog per weight": {cfg: Config{Limit: 3}, fill: []Item{item("1", "b", "c", "x"), item("2", "b", "d", "x"), item("3", "b", "e", "x")}, it: item("n", "a", "c", "x"), displaced: "3"},
		"deadline too near":        {it: Item{ID: "n", Account: "a", Kind: "x", Deadline: 10 * time.Millisecond}, reason: chestnutpond.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue(c.cfg)
			for _, it := range c.fill {
				assert.Assert(t, q.Offer(0, it).Admitted)
			}
			v := q.Offer(10*time.Millisecond, c.it)
			assert.Equal(t, v.Reason, c.reason)
			assert.Equal(t, v.Admitted, c.reason == "")
			ids := []string{}
			for _, d := range v.Evicted {
				ids = append(ids, d.ID)
			}
			assert.Assert(t, slices.Equal(ids, []string{c.displaced}) || c.displaced == "" && len(ids) == 0, "%v", ids)
		})
	}
}

// A request whose expected wait exceeds its deadline must be refused on arrival.
func TestOfferRefusesWaitPastDeadline(t *testing.T) {
	q := newTestQueue(Config{})
	now := time.Duration(0)
	for i := range 40 {
		q.Offer(now, Item{ID: fmt.Sprint(i), Account: "a", Caller: "c", Kind: "x", Deadline: now + time.Hour})
		if i%8 == 7 {
			now += time.Second
			it, _ := q.Next(now, anyKind)
			q.Done(now, it.ID, time.Second)
		}
	}
	v := q.Offer(now, Item{ID: "n", Account: "a", Caller: "c", Kind: "x", Deadline: now + 3*time.Second})
	assert.Equal(t, v.Reason, chestnutpond.ReasonDeadline)
	assert.Assert(t, v.RetryAfter >= 4*time.Second, "%v", v.RetryAfter)
}

// Guards against surplus that is admitted behind too many baseline requests and
// then expires in the queue, and against surplus that is refused because of
// waiting requests of a kind with upstreams of its own.
func TestOfferRefusesSurplusBehindBaseline(t *testing.T) {
	for name, c := range map[string]struct {
		waiting  int
		servable string
		reason   chestnutpond.Reason
	}{
		"long queue":       {15, "xy", chestnutpond.ReasonDeadline},
		"short queue":      {3, "xy", ""},
		"long queue apart": {15, "y", ""},
	} {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue(Config{})
			canServe := func(kind string) bool { return strings.Contains(c.servable, kind) }
			for i := range c.waiting + 1 {
				it := Item{ID: fmt.Sprint(i), Account: "a", Caller: fmt.Sprint(i), Kind: "x", Deadline: time.Minute}
				assert.Assert(t, q.Offer(0, it).Admitted)
			}
			// The caller's first request of a kind counts as baseline.
			for _, id := range []string{"free", "n"} {
				v := q.Offer(0, Item{ID: id, Account: "b", Caller: "c", Kind: "y", Deadline: 10 * time.Second})
				want := c.reason
				if id == "free" {
					want = ""
				}
				assert.Equal(t, v.Reason, want)
				_, ok := q.Next(0, canServe)
				assert.Assert(t, ok)
			}
		})
	}
}

// Guards against a request that expires although a slot became free just before
// its deadline, and against serving more requests out of order than the bound.
func TestNextServesBeforeDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		at       time.Duration
		servable string
		want     string
	}{
		"near":            {1, 9300 * time.Millisecond, "xy", "n"},
		"not near":        {1, 9000 * time.Millisecond, "xy", "1"},
		"near, bound":     {0.1, 9300 * time.Millisecond, "xy", "1"},
		"near, no target": {1, 9300 * time.Millisecond, "x", "1"},
		"near, of many":   {1, 9300 * time.Millisecond, "xyz", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue(Config{DeadlineShare: c.share})
			for i := range 5 {
				q.Offer(0, Item{ID: fmt.Sprint(i), Account: "a", Caller: fmt.Sprint(i), Kind: "x", Class: chestnutpond.ClassUrgent})
			}
			q.Offer(0, Item{ID: "n", Account: "b", Caller: "c", Kind: "y", Class: chestnutpond.ClassBulk, Deadline: 10 * time.Second})
			if c.servable == "xyz" {
				q.Offer(0, Item{ID: "m", Account: "b", Caller: "c", Kind: "z"})
			}
			_, _ = q.Next(0, anyKind)
			it, _ := q.Next(c.at, func(kind string) bool { return strings.Contains(c.servable, kind) })
			assert.Equal(t, it.ID, c.want)
		})
	}
}
