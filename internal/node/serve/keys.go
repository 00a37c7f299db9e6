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
	// maxStoredKeys and maxStoredBytes bound the results stored for repeated
	// requests.
	maxStoredKeys  = 4096
	maxStoredBytes = 16 << 20
	// lookupGrace is added to the wait of a lookup at another entry to get the
	// timeout of the call.
	lookupGrace = time.Second
)

// keyTable deduplicates non-idempotent requests by their idempotency key, so that
// each key runs at most once across all entries.
type keyTable struct {
	server *Server
	writer *intentWriter
	// stopped is closed when run returns.
	stopped chan struct{}

	// mu guards the fields below; it is taken after no other lock, and only the
	// tail's lock is taken under it.
	mu    sync.Mutex
	calls map[string]*keyedCall
	// order lists the keys of calls, oldest first.
	order []string
	bytes int
}

// keyedCall is a request with an idempotency key that this entry handles or has
// handled. Repeated requests with the key share its result.
type keyedCall struct {
	key string
	// id is the request ID; each call has its own.
	id string
	// prior is the ID of this entry's earlier call with the key, which did not
	// run; its intent may still be open. It is empty if there was none.
	prior string
	// done is closed when result is set.
	done   chan struct{}
	result Result
}

func newKeyTable(s *Server) *keyTable {
	k := &keyTable{server: s, calls: make(map[string]*keyedCall), stopped: make(chan struct{})}
	k.writer = newIntentWriter(s.cfg.Tail)
	return k
}

func (k *keyTable) run(ctx context.Context) {
	defer close(k.stopped)
	k.writer.run(ctx)
}

// wait blocks until run has returned.
func (k *keyTable) wait() { <-k.stopped }

// do serves a request that has a key.
func (k *keyTable) do(ctx context.Context, r Request, deadline time.Duration) Result {
	key := r.Account + "/" + r.Key
	c, isNew := k.claim(key, r)
	if !isNew {
		return k.join(ctx, c, deadline)
	}
	res := k.serveOnce(ctx, c, r.WithID(c.id), deadline)
	k.finish(c, res)
	return res
}

// claim returns this entry's call for the key, and reports whether it is new.
func (k *keyTable) claim(key string, r Request) (*keyedCall, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old, ok := k.calls[key]
	if ok && !old.retryable() {
		return old, false
	}
	c := &keyedCall{key: key, id: r.ID, done: make(chan struct{})}
	if ok {
		c.prior = old.id
	} else {
		k.order = append(k.order, key)
	}
	k.calls[key] = c
	k.evict()
	return c, true
}

// retryable reports whether the call ended with the outcome "not run", so that the
// key can be used again.
func (c *keyedCall) retryable() bool {
	select {
	case <-c.done:
		return c.result.Outcome == chestnutpond.OutcomeNotRun
	default:
		return false
	}
}

// evict removes the oldest calls while a bound is exceeded, up to the first
// unfinished one. The caller holds mu.
func (k *keyTable) evict() {
	for len(k.order) > maxStoredKeys || k.bytes > maxStoredBytes {
		oldest := k.calls[k.order[0]]
		select {
		case <-oldest.done:
		default:
			return
		}
		k.bytes -= len(oldest.result.Answer.Body)
		delete(k.calls, oldest.key)
		k.order = k.order[1:]
	}
}

func (k *keyTable) finish(c *keyedCall, res Result) {
	k.mu.Lock()
	c.result = res
	k.bytes += len(res.Answer.Body)
	close(c.done)
	k.mu.Unlock()
}

// join waits for the result of a call in progress at this entry.
func (k *keyTable) join(ctx context.Context, c *keyedCall, deadline time.Duration) Result {
	timer := time.NewTimer(max(0, deadline-k.server.now()))
	defer timer.Stop()
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
	case <-timer.C:
	}
	return Result{Outcome: chestnutpond.OutcomeDuplicate, Reason: chestnutpond.ReasonInProgress}
}

// serveOnce writes an intent to the log, and serves the request if no other entry's
// intent for the key precedes it.
func (k *keyTable) serveOnce(ctx context.Context, c *keyedCall, r Request, deadline time.Duration) Result {
	if !k.awaitPrior(ctx, c, deadline) {
		return *notRun(chestnutpond.ReasonLogUnavailable)
	}
	in, taken := k.intent(c.key)
	if taken {
		return k.askOwner(ctx, in, deadline)
	}
	if refused := k.writeIntent(ctx, c, deadline); refused != nil {
		return *refused
	}
	in, taken = k.intent(c.key)
	if !taken || !k.ownsIntent(in, c) {
		return k.askOwner(ctx, in, deadline)
	}
	res := k.server.serve(ctx, r, deadline)
	k.writer.closeIntent(ledger.ClosedIntent{
		Key: c.key, ID: c.id, NotRun: res.Outcome == chestnutpond.OutcomeNotRun,
	})
	return res
}

// awaitPrior waits until the intent of the earlier call is no longer in the log
// state. If a new intent were written before, the record that closes the old one
// could release it too, and another entry could claim the key while this one
// sends.
func (k *keyTable) awaitPrior(ctx context.Context, c *keyedCall, deadline time.Duration) bool {
	if c.prior == "" {
		return true
	}
	wctx, cancel := context.WithTimeout(ctx, max(0, deadline-k.server.now()))
	defer cancel()
	asked := false
	for {
		moved := k.server.cfg.Tail.Changed()
		in, ok := k.intent(c.key)
		if !ok || in.Holder != k.server.cfg.Origin || in.ID != c.prior {
			return true
		}
		if !asked {
			k.writer.closeIntent(ledger.ClosedIntent{Key: c.key, ID: c.prior, NotRun: true})
			asked = true
		}
		select {
		case <-moved:
		case <-wctx.Done():
			return false
		}
	}
}

func (k *keyTable) intent(key string) (in ledger.Intent, ok bool) {
	k.server.cfg.Tail.View(func(st *ledger.State) { in, ok = st.Intent(key) })
	return in, ok
}

func (k *keyTable) ownsIntent(in ledger.Intent, c *keyedCall) bool {
	return in.Holder == k.server.cfg.Origin && in.ID == c.id && !in.Closed
}

// writeIntent appends the intent and waits until it is applied to the log state.
func (k *keyTable) writeIntent(ctx context.Context, c *keyedCall, deadline time.Duration) *Result {
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
	if err := k.writer.appendIntent(wctx, ledger.IntentID{Key: c.key, ID: c.id}); err != nil {
		// Nothing was sent. If the intent reached the log, closing it releases
		// the key to other entries.
		k.writer.closeIntent(ledger.ClosedIntent{Key: c.key, ID: c.id, NotRun: true})
		return notRun(chestnutpond.ReasonLogUnavailable)
	}
	return nil
}

// askOwner asks the entry that owns the intent for the outcome.
func (k *keyTable) askOwner(ctx context.Context, in ledger.Intent, deadline time.Duration) Result {
	ownerGone := Result{Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonOwnerGone}
	if in.Holder == k.server.cfg.Origin {
		return Result{Outcome: chestnutpond.OutcomeDuplicate, Detail: "the answer is no longer kept"}
	}
	peer, ok := k.server.cfg.Members.Peer(in.Holder.Process)
	if !ok || peer.Lost || peer.Incarnation != in.Holder.Incarnation {
		return ownerGone
	}
	conn, done, err := k.server.cfg.Dialer.Get(peer.Address)
	if err != nil {
		return ownerGone
	}
	defer done()
	wait := max(0, deadline-k.server.now())
	lctx, cancel := context.WithTimeout(ctx, wait+lookupGrace)
	defer cancel()
	reply, err := inner.NewEntryClient(conn).LookupIntent(lctx, &inner.LookupIntentRequest{
		Key: in.Key, Incarnation: in.Holder.Incarnation, Wait: durationpb.New(wait),
	})
	if err != nil || !reply.GetKnown() {
		return ownerGone
	}
	return lookupResult(reply.GetReply())
}

func lookupResult(reply *inner.ServeReply) Result {
	switch reply.GetOutcome() {
	case inner.OutcomeCode_OUTCOME_CODE_ANSWERED, inner.OutcomeCode_OUTCOME_CODE_NOT_RUN:
		return requestResult(attemptResult{outcome: reply.GetOutcome(), reply: reply, reason: reply.GetReason()}, "")
	case inner.OutcomeCode_OUTCOME_CODE_RUNNING:
		return Result{Outcome: chestnutpond.OutcomeDuplicate, Reason: chestnutpond.ReasonInProgress}
	}
	return Result{Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonConnectionLost}
}

// LookupIntent returns to another entry the outcome for a key that this entry owns.
func (s *Server) LookupIntent(
	ctx context.Context, req *inner.LookupIntentRequest,
) (*inner.LookupIntentReply, error) {
	if req.GetIncarnation() != s.cfg.Origin.Incarnation {
		return &inner.LookupIntentReply{}, nil
	}
	s.keys.mu.Lock()
	c, ok := s.keys.calls[req.GetKey()]
	s.keys.mu.Unlock()
	if !ok {
		return &inner.LookupIntentReply{}, nil
	}
	res := s.keys.join(ctx, c, s.now()+req.GetWait().AsDuration())
	return &inner.LookupIntentReply{Known: true, Reply: lookupReply(res)}, nil
}

func lookupReply(res Result) *inner.ServeReply {
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
