package peers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/node/serve"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var (
	priceList = chestnutpond.Kind{Name: "price_list", Class: chestnutpond.ClassUrgent, Idempotent: true}
	desk      = chestnutpond.Document{
		Accounts: []chestnutpond.Account{{Name: "sales", Weight: 1, QueueLimit: 50}}, Kinds: []chestnutpond.Kind{priceList},
	}
)

// upstream is an agent that answers each request after half a second.
type upstream struct{ grpc.ClientConnInterface }

func (u upstream) Row(string) (fleet.Row, bool) {
	return fleet.Row{Member: &inner.Member{
		Name: "u", Incarnation: 1, Region: "pampa", Zone: "a",
		Upstream: &inner.Upstream{Slots: 4, Connections: 8, Kinds: []string{priceList.Name}, Up: true},
	}}, true
}

func (u upstream) Peer(string) (fleet.Peer, bool)                       { return fleet.Peer{}, false }
func (u upstream) Ready(context.Context, string) error                  { return nil }
func (u upstream) Replace(string, grpc.ClientConnInterface)             {}
func (u upstream) Get(string) (grpc.ClientConnInterface, func(), error) { return u, func() {}, nil }
func (u upstream) Invoke(_ context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	time.Sleep(500 * time.Millisecond)
	req := args.(*inner.ServeRequest)
	proto.Merge(reply.(proto.Message), &inner.ServeReply{
		Attempt: req.GetAttempt(), Request: req.GetRequest(), Outcome: inner.OutcomeCode_OUTCOME_CODE_ANSWERED,
		Status: 200, Digest: 0xef46db3751d8e999, // xxhash of nothing
	})
	return nil
}

// server returns the request path of an entry.
func (w *world) server(name string) *serve.Server {
	u := upstream{}
	s := serve.New(serve.Config{
		Region: "pampa", Zone: "a", Dialer: u, Members: u, Events: noEvents{}, Metrics: stats.New(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	row, _ := u.Row("u")
	s.AgentChanged(row)
	w.habits[name] = s
	return s
}

// work has a caller send requests for a time, one after the other.
func work(s *serve.Server, caller string, d time.Duration) {
	for i := range int(d / (500 * time.Millisecond)) {
		s.Do(context.Background(), serve.Request{
			ID: fmt.Sprint(caller, i), Account: "sales", Caller: caller, Kind: priceList, Timeout: 5 * time.Second,
		})
	}
}

// Guards against a new entry that takes a flood for usual work because nobody told
// it what callers usually get. Each case has two incarnations of the new entry.
func TestNewEntryLearnsHabits(t *testing.T) {
	for name, c := range map[string]struct {
		past time.Duration
		// late is when the new entry gets its document.
		late  time.Duration
		fates []fate
		want  float32
	}{
		"learns":              {past: 10 * time.Minute, fates: []fate{delivered}, want: 1},
		"document comes late": {past: 10 * time.Minute, late: 5 * time.Second, fates: []fate{delivered}, want: 1},
		"answers are lost":    {past: 10 * time.Minute, fates: []fate{replyLost, delivered}, want: 1},
		"peer is new":         {past: 20 * time.Second, fates: []fate{delivered}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, n := newWorld(t), 0
				defer w.end()
				w.setJudge(func(string, string) fate { n++; return c.fates[n%len(c.fates)] })
				a := w.server("a")
				a.SetDocument(desk)
				w.start("a", 1, "a")
				work(a, "c", c.past)
				for incarnation := range int64(2) {
					b := w.server("b")
					e := w.start("b", incarnation+1, "a")
					time.Sleep(c.late)
					b.SetDocument(desk)
					time.Sleep(habitsEvery + settle)
					got := append(b.Habits().GetHabits(), &inner.Habit{})[0].GetRate()
					assert.Assert(t, got >= 0.8*c.want && got <= 1.2*c.want, "%v", got)
					e.kill()
				}
			})
		})
	}
}

// Guards against a list that is applied twice, or by an entry with the same past,
// and against one that grows with the names of callers.
func TestHabitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.server("a"), w.server("b")
		a.SetDocument(desk)
		b.SetDocument(desk)
		for i := range 600 {
			work(a, fmt.Sprint(strings.Repeat("x", 124), i), 500*time.Millisecond)
		}
		list := a.Habits()
		assert.Assert(t, len(list.GetHabits()) > 200 && proto.Size(list) <= serve.HabitsBytes, "%d", proto.Size(list))
		assert.Assert(t, !b.LearnHabits(nil) && b.LearnHabits(list))
		once := b.Habits()
		assert.Equal(t, len(once.GetHabits()), len(list.GetHabits()))
		b.LearnHabits(list)
		a.LearnHabits(once)
		assert.Assert(t, proto.Equal(b.Habits(), once), "the list was applied twice")
		assert.Assert(t, proto.Equal(a.Habits(), list), "a list of an equal past was applied")
	})
}
