// Package slots holds an agent's table of attempts: which requests it runs,
// which it ran, which it refused, and which it promised never to run.
//
// An attempt is one sending of one request to one agent. The table starts an
// attempt at most once, gives it one of the worker's request slots, and keeps
// its reply so that a caller whose connection broke can fetch it. A refusal
// proves that the attempt did not run and will not run: the table remembers a
// refused or fenced attempt and refuses its repeat.
//
// All tables are bounded. Replies are dropped oldest first; the id of a dropped
// attempt stays in the spent table, so that a repeat is answered "unknown" and
// does not run again. The spent table forgets no entry younger than SpentAge.
// That is safe because a message cannot arrive later than that: the agent's
// server closes a connection that is silent for 15 s, so a message delayed
// longer is never delivered, and an entry sends an attempt on one connection
// and never again after the request's timeout of at most 25 s. When the spent
// table is full of younger entries, a new attempt is refused for lack of a
// slot, and a fence is not promised.
package slots

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutpond/chestnutpond/internal/core/aged"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The default bounds of a table.
const (
	// DefaultKeep is the number of finished attempts whose replies are kept.
	DefaultKeep = 4096
	// DefaultKeepBytes bounds the bodies of kept replies. It is a quarter of
	// the 128 MB that a node may spend for control.
	DefaultKeepBytes = 32 << 20
	// DefaultSpent bounds the ids of attempts that ran or were fenced. With
	// DefaultSpentAge it allows about 1,090 requests a second at one agent.
	DefaultSpent = 65536
	// DefaultSpentAge is four times the 15 s after which the agent's server
	// closes a silent connection, and more than twice the longest timeout.
	DefaultSpentAge = time.Minute
	// DefaultRefused is the number of refusals that are remembered. The oldest
	// are dropped first, so that a flood of refusals cannot block new work.
	DefaultRefused = 16384
)

// Config holds the bounds and the fixed properties of a table. A zero bound
// takes its default.
type Config struct {
	// Slots is the number of attempts that run at the same time.
	Slots int
	// Kinds are the kinds of requests that the upstream serves.
	Kinds     []string
	Keep      int
	KeepBytes int64
	Spent     int
	SpentAge  time.Duration
	Refused   int
	// Notify is called, without a lock held, after a change of the busy count
	// or of the upstream's state. It must not block. It may be nil.
	Notify func()
}

// Table is an agent's table of attempts. Its methods may be called from
// several goroutines.
type Table struct {
	cfg Config

	mu sync.Mutex
	// attempts holds the running attempts and the finished ones whose replies
	// are kept. Running attempts are never dropped.
	attempts map[string]*Attempt
	// finished holds ids of finished attempts, oldest first.
	finished *list.List
	// bytes is the sum of the body lengths of the finished attempts' replies.
	bytes int64
	// busy is the number of running attempts, at most cfg.Slots.
	busy     int
	up       bool
	draining bool
	// spent says of an attempt without a kept reply whether it was fenced
	// (true) or ran (false).
	spent   *aged.Map[bool]
	refused *aged.Map[inner.Refusal]
}

// New returns an empty table whose upstream is not up.
func New(cfg Config) *Table {
	if cfg.Keep == 0 {
		cfg.Keep = DefaultKeep
	}
	if cfg.KeepBytes == 0 {
		cfg.KeepBytes = DefaultKeepBytes
	}
	if cfg.Spent == 0 {
		cfg.Spent = DefaultSpent
	}
	if cfg.SpentAge == 0 {
		cfg.SpentAge = DefaultSpentAge
	}
	if cfg.Refused == 0 {
		cfg.Refused = DefaultRefused
	}
	if cfg.Notify == nil {
		cfg.Notify = func() {}
	}
	return &Table{
		cfg:      cfg,
		attempts: map[string]*Attempt{},
		finished: list.New(),
		spent:    aged.New[bool](aged.Config{Limit: cfg.Spent, MinAge: cfg.SpentAge}),
		refused:  aged.New[inner.Refusal](aged.Config{Limit: cfg.Refused}),
	}
}

// Begin admits an attempt, finds a known one, or refuses. When fresh is true
// the caller must run the attempt and call Finish. Otherwise the attempt is
// known, or refused and already done.
func (t *Table) Begin(req *inner.ServeRequest, now time.Time) (a *Attempt, fresh bool) {
	a, fresh = t.begin(req, now)
	if fresh {
		t.cfg.Notify()
	}
	return a, fresh
}

func (t *Table) begin(req *inner.ServeRequest, now time.Time) (*Attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := req.GetAttempt()
	if a, ok := t.attempts[id]; ok {
		return a, false
	}
	if fenced, ok := t.spent.Get(id); ok {
		return t.ended(id, req.GetRequest(), fenced), false
	}
	refusal, reason := t.check(req, now)
	if refusal != inner.Refusal_REFUSAL_UNSPECIFIED {
		t.refused.Put(id, refusal, now)
		return t.notRun(id, req.GetRequest(), refusal, reason), false
	}
	a := &Attempt{
		ID:       id,
		Request:  req.GetRequest(),
		Kind:     req.GetKind(),
		Body:     req.GetBody(),
		Deadline: now.Add(req.GetTimeout().AsDuration()),
		done:     make(chan struct{}),
	}
	t.attempts[id] = a
	t.busy++
	return a, true
}

// check returns why the attempt cannot start, or REFUSAL_UNSPECIFIED.
func (t *Table) check(req *inner.ServeRequest, now time.Time) (inner.Refusal, string) {
	if refusal, ok := t.refused.Get(req.GetAttempt()); ok {
		return refusal, "this attempt was refused before"
	}
	switch {
	case req.GetAttempt() == "":
		return inner.Refusal_REFUSAL_CORRUPT, "the attempt has no id"
	case xxhash.Sum64(req.GetBody()) != req.GetDigest():
		return inner.Refusal_REFUSAL_CORRUPT, "the body does not match its digest"
	case req.GetTimeout().AsDuration() <= 0:
		return inner.Refusal_REFUSAL_DEADLINE, "the timeout has passed"
	case t.draining:
		return inner.Refusal_REFUSAL_DRAINING, "the agent is draining"
	case !slices.Contains(t.cfg.Kinds, req.GetKind()):
		return inner.Refusal_REFUSAL_KIND, "the upstream does not serve this kind"
	case !t.up:
		return inner.Refusal_REFUSAL_UPSTREAM_DOWN, "the upstream is down"
	case t.busy >= t.cfg.Slots:
		return inner.Refusal_REFUSAL_NO_SLOT, "all slots are in use"
	case !t.spent.Room(len(t.attempts)+1, now):
		return inner.Refusal_REFUSAL_NO_SLOT, "the table of spent attempts is full"
	}
	return inner.Refusal_REFUSAL_UNSPECIFIED, ""
}

// Finish sets the reply of a running attempt and frees its slot. It fills in
// the reply's identity, digest and busy count.
func (t *Table) Finish(a *Attempt, reply *inner.ServeReply, now time.Time) {
	t.mu.Lock()
	t.busy--
	t.complete(a, reply)
	t.finished.PushBack(a)
	t.bytes += int64(len(reply.GetBody()))
	for t.finished.Len() > t.cfg.Keep || t.bytes > t.cfg.KeepBytes {
		t.drop(now)
	}
	t.mu.Unlock()
	t.cfg.Notify()
}

// drop moves the oldest finished attempt to the spent table, which has room for
// it because Begin counts the known attempts.
func (t *Table) drop(now time.Time) {
	oldest := t.finished.Front()
	a := t.finished.Remove(oldest).(*Attempt)
	t.bytes -= int64(len(a.reply.GetBody()))
	delete(t.attempts, a.ID)
	if a.reply.GetOutcome() == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN {
		t.refused.Put(a.ID, a.reply.GetRefusal(), now)
		return
	}
	t.spent.Put(a.ID, false, now)
}

// Resolve returns the attempt of that id. An unknown attempt is returned done:
// with fence it is fenced from now on, otherwise the outcome is unknown.
func (t *Table) Resolve(id string, fence bool, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.attempts[id]; ok {
		if fence && a.reply.GetOutcome() == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN {
			// The proof must outlast the kept reply.
			t.spent.Put(id, true, now)
		}
		return a
	}
	if fenced, ok := t.spent.Get(id); ok {
		return t.ended(id, "", fenced)
	}
	if fence {
		// A remembered refusal is not proof for ever, because refusals may be
		// dropped early; the fence makes it so.
		if !t.spent.Room(len(t.attempts)+1, now) {
			return t.unknown(id, "", "no room to remember a fence")
		}
		t.spent.Put(id, true, now)
		return t.ended(id, "", true)
	}
	if refusal, ok := t.refused.Get(id); ok {
		return t.notRun(id, "", refusal, "this attempt was refused")
	}
	return t.unknown(id, "", "this attempt is not known")
}

// SetUp records whether the upstream takes requests and reports a change.
func (t *Table) SetUp(up bool) bool {
	t.mu.Lock()
	changed := t.up != up
	t.up = up
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
	return changed
}

// Drain refuses all new attempts from now on.
func (t *Table) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.cfg.Notify()
}

// Status is a copy of the table's counters.
type Status struct {
	Busy     int
	Up       bool
	Draining bool
}

// Status returns the table's counters.
func (t *Table) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{Busy: t.busy, Up: t.up, Draining: t.draining}
}
