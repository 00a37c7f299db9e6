// Package slots implements an agent's table of request attempts. The table
// records which attempts run, which have finished, and which were refused or
// fenced and must never run.
//
// An attempt is one delivery of a request to an agent. The table starts an
// attempt at most once, gives it one of the worker's request slots, and keeps
// its reply so that a caller can fetch it after its connection broke. A refusal
// proves that the attempt did not run and will not run: the table records
// refused and fenced attempts and refuses them again.
//
// All tables are bounded. The oldest replies are dropped first. A dropped
// attempt leaves a tombstone (see Config.MaxTombstones), so that a repeat gets the
// outcome "unknown" and does not run again. A tombstone is kept for at least
// TombstoneAge. That is long enough, because no message arrives later: the agent's
// server closes a connection that is idle for 15 s, so a message that is
// delayed for longer is never delivered, and an entry sends an attempt on one
// connection and never again after the request's timeout of at most 25 s. When
// the table is full of younger tombstones, new attempts are refused for lack of
// a slot, and new fences are not granted.
package slots

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutpond/chestnutpond/internal/core/agemap"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The default bounds of a Table.
const (
	// DefaultMaxReplies is the number of finished attempts whose replies are kept.
	DefaultMaxReplies = 4096
	// DefaultMaxReplyBytes bounds the total size of the bodies of kept replies. It is
	// a quarter of the 128 MB that the control plane may use on a node.
	DefaultMaxReplyBytes = 32 << 20
	// DefaultMaxTombstones bounds the tombstones of attempts that ran or were fenced.
	// With DefaultTombstoneAge it allows about 1,090 requests a second at one agent.
	DefaultMaxTombstones = 65536
	// DefaultTombstoneAge is the least age at which a tombstone may be dropped. It is
	// four times the 15 s after which the agent's server closes an idle
	// connection, and more than twice the longest request timeout.
	DefaultTombstoneAge = time.Minute
	// DefaultMaxRefusals is the number of refusals that are kept. The oldest are
	// dropped first at any age, so that a burst of refusals cannot block new
	// attempts.
	DefaultMaxRefusals = 16384
)

// Config configures a Table. A bound of zero means its default.
type Config struct {
	// Slots is the number of attempts that may run at the same time.
	Slots int
	// Kinds are the kinds of requests that the upstream serves.
	Kinds         []string
	MaxReplies    int
	MaxReplyBytes int64
	MaxTombstones int
	TombstoneAge  time.Duration
	MaxRefusals   int
	// Notify is called after a change of the busy count, of the upstream's state
	// or of draining, without a lock held. It must not block. It may be nil.
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
	// finishedBytes is the total body length of the replies of finished attempts.
	finishedBytes int64
	// busy is the number of running attempts, at most cfg.Slots.
	busy       int
	upstreamUp bool
	draining   bool
	// tombstones maps the id of an attempt whose reply is not kept to whether it
	// was fenced (true) or ran (false).
	tombstones *agemap.Map[bool]
	refused    *agemap.Map[inner.Refusal]
}

// New returns an empty table whose upstream is not up.
func New(cfg Config) *Table {
	if cfg.MaxReplies == 0 {
		cfg.MaxReplies = DefaultMaxReplies
	}
	if cfg.MaxReplyBytes == 0 {
		cfg.MaxReplyBytes = DefaultMaxReplyBytes
	}
	if cfg.MaxTombstones == 0 {
		cfg.MaxTombstones = DefaultMaxTombstones
	}
	if cfg.TombstoneAge == 0 {
		cfg.TombstoneAge = DefaultTombstoneAge
	}
	if cfg.MaxRefusals == 0 {
		cfg.MaxRefusals = DefaultMaxRefusals
	}
	if cfg.Notify == nil {
		cfg.Notify = func() {}
	}
	return &Table{
		cfg:        cfg,
		attempts:   map[string]*Attempt{},
		finished:   list.New(),
		tombstones: agemap.New[bool](agemap.Config{Limit: cfg.MaxTombstones, MinAge: cfg.TombstoneAge}),
		refused:    agemap.New[inner.Refusal](agemap.Config{Limit: cfg.MaxRefusals}),
	}
}

// Begin admits or refuses an attempt, or returns the one that already has this
// id. If fresh is true, the caller must run the attempt and call Finish.
// Otherwise the attempt was admitted before, or it was refused and is done.
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
	if fenced, ok := t.tombstones.Get(id); ok {
		return t.fromTombstone(id, req.GetRequest(), fenced), false
	}
	refusal, reason := t.checkAdmission(req, now)
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

// checkAdmission returns why the attempt must be refused, or
// REFUSAL_UNSPECIFIED if it can start.
func (t *Table) checkAdmission(req *inner.ServeRequest, now time.Time) (inner.Refusal, string) {
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
	case !t.upstreamUp:
		return inner.Refusal_REFUSAL_UPSTREAM_DOWN, "the upstream is down"
	case t.busy >= t.cfg.Slots:
		return inner.Refusal_REFUSAL_NO_SLOT, "all slots are in use"
	case !t.tombstones.MakeRoom(len(t.attempts)+1, now):
		return inner.Refusal_REFUSAL_NO_SLOT, "the table of spent attempts is full"
	}
	return inner.Refusal_REFUSAL_UNSPECIFIED, ""
}

// Finish sets the reply of a running attempt and frees its slot. It fills in
// the reply's ids, digest and busy count.
func (t *Table) Finish(a *Attempt, reply *inner.ServeReply, now time.Time) {
	t.mu.Lock()
	t.busy--
	t.complete(a, reply)
	t.finished.PushBack(a)
	t.finishedBytes += int64(len(reply.GetBody()))
	for t.finished.Len() > t.cfg.MaxReplies || t.finishedBytes > t.cfg.MaxReplyBytes {
		t.evictOldest(now)
	}
	t.mu.Unlock()
	t.cfg.Notify()
}

// evictOldest drops the oldest finished attempt and records its refusal or its
// tombstone. There is room for the tombstone, because Begin counts one for each
// attempt in the table.
func (t *Table) evictOldest(now time.Time) {
	oldest := t.finished.Front()
	a := t.finished.Remove(oldest).(*Attempt)
	t.finishedBytes -= int64(len(a.reply.GetBody()))
	delete(t.attempts, a.ID)
	if a.reply.GetOutcome() == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN {
		t.refused.Put(a.ID, a.reply.GetRefusal(), now)
		return
	}
	t.tombstones.Put(a.ID, false, now)
}

// Resolve returns the attempt with the given id. For an attempt that is not in
// the table it returns one that is done. If fence is set, an attempt that never
// ran is fenced; otherwise the outcome of an unrecorded attempt is unknown.
func (t *Table) Resolve(id string, fence bool, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.attempts[id]; ok {
		if fence && a.reply.GetOutcome() == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN {
			// The fence must still hold after the reply is dropped.
			t.tombstones.Put(id, true, now)
		}
		return a
	}
	if fenced, ok := t.tombstones.Get(id); ok {
		return t.fromTombstone(id, "", fenced)
	}
	if fence {
		// Even a refused attempt needs a tombstone, because refusals may be
		// dropped early.
		if !t.tombstones.MakeRoom(len(t.attempts)+1, now) {
			return t.unknown(id, "", "no room to remember a fence")
		}
		t.tombstones.Put(id, true, now)
		return t.fromTombstone(id, "", true)
	}
	if refusal, ok := t.refused.Get(id); ok {
		return t.notRun(id, "", refusal, "this attempt was refused")
	}
	return t.unknown(id, "", "this attempt is not known")
}

// SetUpstreamUp records whether the upstream accepts requests. It reports whether that
// changed.
func (t *Table) SetUpstreamUp(up bool) bool {
	t.mu.Lock()
	changed := t.upstreamUp != up
	t.upstreamUp = up
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
	return changed
}

// Drain makes the table refuse all new attempts.
func (t *Table) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.cfg.Notify()
}

// Status is a snapshot of a table's state.
type Status struct {
	Busy     int
	Up       bool
	Draining bool
}

// Status returns a snapshot of the table's state.
func (t *Table) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{Busy: t.busy, Up: t.upstreamUp, Draining: t.draining}
}
