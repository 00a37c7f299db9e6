package serve

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// keptKeys and keptBytes bound the answers that are kept for repeats.
	keptKeys  = 4096
	keptBytes = 16 << 20
	// lookupGrace is the time for a question to another entry beyond its wait.
	lookupGrace = time.Second
)

// keys makes non-idempotent requests with a caller-given key run at most once
// over all entries.
type keys struct {
	server *Server
	writer *writer
	// ended is closed when run returned.
	ended chan struct{}

	// mu guards the fields below; it is taken after no other lock, and only the
	// tail's lock is taken under it.
	mu   sync.Mutex
	uses map[string]*use
	// order lists the keys of uses, oldest first.
	order []string
	bytes int
}

// use is one use of a key by this entry.
type use struct {
	key string
	// id is the identity of the request; each use has its own.
	id string
	// prior is the id of this entry's earlier use that did not run; its intent
	// may still be open.
	prior string
	// done is closed when result is set.
	done   chan struct{}
	result Result
}

func newKeys(s *Server) *keys {
	k := &keys{server: s, uses: make(map[string]*use), ended: make(chan struct{})}
	k.writer = newWriter(s.cfg.Tail)
	return k
}

func (k *keys) run(ctx context.Context) {
	defer close(k.ended)
	k.writer.loop(ctx)
}

// wait returns when run has returned.
func (k *keys) wait() { <-k.ended }

// do serves a request with a key.
func (k *keys) do(ctx context.Context, r Request, deadline time.Duration) Result {
	key := r.Account + "/" + r.Key
	u, mine := k.claim(key, r)
	if !mine {
		return k.join(ctx, u, deadline)
	}
	res := k.own(ctx, u, r.WithID(u.id), deadline)
	k.finish(u, res)
	return res
}

// claim returns the use of the key by this entry, and whether it is new.
func (k *keys) claim(key string, r Request) (*use, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old, ok := k.uses[key]
	if ok && !old.free() {
		return old, false
	}
	u := &use{key: key, id: r.ID, done: make(chan struct{})}
	if ok {
		u.prior = old.id
	} else {
		k.order = append(k.order, key)
	}
	k.uses[key] = u
	k.evict()
	return u, true
}

// free reports whether the use ended without a run, so that the key can be used
// again.
func (u *use) free() bool {
	select {
	case <-u.done:
		return u.result.Outcome == chestnutpond.OutcomeNotRun
	default:
		return false
	}
}

// evict forgets the oldest finished uses beyond the bounds. The caller holds mu.
func (k *keys) evict() {
	for len(k.order) > keptKeys || k.bytes > keptBytes {
		oldest := k.uses[k.order[0]]
		select {
		case <-oldest.done:
		default:
			return
		}
		k.bytes -= len(oldest.result.Answer.Body)
		delete(k.uses, oldest.key)
		k.order = k.order[1:]
	}
}

func (k *keys) finish(u *use, res Result) {
	k.mu.Lock()
	u.result = res
	k.bytes += len(res.Answer.Body)
	close(u.done)
	k.mu.Unlock()
}

// join waits for the result of a use that is under way at this entry.
func (k *keys) join(ctx context.Context, u *use, deadline time.Duration) Result {
	timer := time.NewTimer(max(0, deadline-k.server.now()))
	defer timer.Stop()
	select {
	case <-u.done:
		return u.result
	case <-ctx.Done():
	case <-timer.C:
	}
	return Result{Outcome: chestnutpond.OutcomeDuplicate, Reason: chestnutpond.ReasonInProgress}
}

// own puts an intent first in the log and then serves the request.
func (k *keys) own(ctx context.Context, u *use, r Request, deadline time.Duration) Result {
	if !k.awaitPrior(ctx, u, deadline) {
		return *notRun(chestnutpond.ReasonLogUnavailable)
	}
	in, taken := k.intent(u.key)
	if taken {
		return k.elsewhere(ctx, in, deadline)
	}
	if refused := k.write(ctx, u, deadline); refused != nil {
		return *refused
	}
	in, taken = k.intent(u.key)
	if !taken || !k.isOurs(in, u) {
		return k.elsewhere(ctx, in, deadline)
	}
	res := k.server.serve(ctx, r, deadline)
	k.writer.close(ledger.ClosedIntent{
		Key: u.key, ID: u.id, NotRun: res.Outcome == chestnutpond.OutcomeNotRun,
	})
	return res
}

// awaitPrior waits until the intent of the earlier use is gone from the fold. A
// new intent before that could be freed by the end of the old one, and the key
// would be open to another entry while this one sends.
func (k *keys) awaitPrior(ctx context.Context, u *use, deadline time.Duration) bool {
	if u.prior == "" {
		return true
	}
	wctx, cancel := context.WithTimeout(ctx, max(0, deadline-k.server.now()))
	defer cancel()
	asked := false
	for {
		moved := k.server.cfg.Tail.Moved()
		in, ok := k.intent(u.key)
		if !ok || in.Holder != k.server.cfg.Origin || in.ID != u.prior {
			return true
		}
		if !asked {
			k.writer.close(ledger.ClosedIntent{Key: u.key, ID: u.prior, NotRun: true})
			asked = true
		}
		select {
		case <-moved:
		case <-wctx.Done():
			return false
		}
	}
}

func (k *keys) intent(key string) (in ledger.Intent, ok bool) {
	k.server.cfg.Tail.View(func(st *ledger.State) { in, ok = st.Intent(key) })
	return in, ok
}

func (k *keys) isOurs(in ledger.Intent, u *use) bool {
	return in.Holder == k.server.cfg.Origin && in.ID == u.id && !in.Closed
}

// write appends the intent and waits until the fold has it.
func (k *keys) write(ctx context.Context, u *use, deadline time.Duration) *Result {
	full := false
	k.server.cfg.Tail.View(func(st *ledger.State) { full = st.IntentsFull() })
	if full {
		return notRun(chestnutpond.ReasonIntentLimit)
	}
	if !k.server.cfg.Tail.Available() {
		return notRun(chestnutpond.ReasonLogUnavailable)
	}
	wctx, cancel := context.WithTimeout(ctx, max(0, deadline-k.server.now()))
	defer cancel()
	if err := k.writer.intend(wctx, ledger.IntentID{Key: u.key, ID: u.id}); err != nil {
		// Nothing was sent. If the intent reached the log, closing it frees the
		// key for other entries.
		k.writer.close(ledger.ClosedIntent{Key: u.key, ID: u.id, NotRun: true})
		return notRun(chestnutpond.ReasonLogUnavailable)
	}
	return nil
}

// elsewhere asks the entry that owns the intent for the outcome.
func (k *keys) elsewhere(ctx context.Context, in ledger.Intent, deadline time.Duration) Result {
	gone := Result{Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonOwnerGone}
	if in.Holder == k.server.cfg.Origin {
		return Result{Outcome: chestnutpond.OutcomeDuplicate, Detail: "the answer is no longer kept"}
	}
	peer, ok := k.server.cfg.Members.Peer(in.Holder.Process)
	if !ok || peer.Lost || peer.Incarnation != in.Holder.Incarnation {
		return gone
	}
	conn, done, err := k.server.cfg.Dialer.Get(peer.Address)
	if err != nil {
		return gone
	}
	defer done()
	wait := max(0, deadline-k.server.now())
	lctx, cancel := context.WithTimeout(ctx, wait+lookupGrace)
	defer cancel()
	reply, err := inner.NewEntryClient(conn).LookupIntent(lctx, &inner.LookupIntentRequest{
		Key: in.Key, Incarnation: in.Holder.Incarnation, Wait: durationpb.New(wait),
	})
	if err != nil || !reply.GetKnown() {
		return gone
	}
	return lookedUp(reply.GetReply())
}

func lookedUp(reply *inner.ServeReply) Result {
	switch reply.GetOutcome() {
	case inner.OutcomeCode_OUTCOME_CODE_ANSWERED, inner.OutcomeCode_OUTCOME_CODE_NOT_RUN:
		return resultOf(verdict{outcome: reply.GetOutcome(), reply: reply, reason: reply.GetReason()}, "")
	case inner.OutcomeCode_OUTCOME_CODE_RUNNING:
		return Result{Outcome: chestnutpond.OutcomeDuplicate, Reason: chestnutpond.ReasonInProgress}
	}
	return Result{Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonConnectionLost}
}

// LookupIntent tells another entry the outcome of a key that this entry owns.
func (s *Server) LookupIntent(
	ctx context.Context, req *inner.LookupIntentRequest,
) (*inner.LookupIntentReply, error) {
	if req.GetIncarnation() != s.cfg.Origin.Incarnation {
		return &inner.LookupIntentReply{}, nil
	}
	s.keys.mu.Lock()
	u, ok := s.keys.uses[req.GetKey()]
	s.keys.mu.Unlock()
	if !ok {
		return &inner.LookupIntentReply{}, nil
	}
	res := s.keys.join(ctx, u, s.now()+req.GetWait().AsDuration())
	return &inner.LookupIntentReply{Known: true, Reply: replyOf(res)}, nil
}

func replyOf(res Result) *inner.ServeReply {
	reply := &inner.ServeReply{Outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, Reason: res.Detail}
	switch res.Outcome {
	case chestnutpond.OutcomeAnswered:
		reply.Outcome = inner.OutcomeCode_OUTCOME_CODE_ANSWERED
		reply.Status = int32(res.Answer.Status)
		reply.ContentType = res.Answer.ContentType
		reply.Body = res.Answer.Body
	case chestnutpond.OutcomeNotRun:
		reply.Outcome = inner.OutcomeCode_OUTCOME_CODE_NOT_RUN
	case chestnutpond.OutcomeDuplicate:
		reply.Outcome = inner.OutcomeCode_OUTCOME_CODE_RUNNING
	}
	return reply
}
