package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/route"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// connectTimeout limits the wait for a connection before anything is sent.
	connectTimeout = 300 * time.Millisecond
	// answerGrace is added to the timeout of a call, so that the agent's report of
	// the timeout arrives before the call itself times out.
	answerGrace = 250 * time.Millisecond
	// resolveTimeout limits one Resolve call. It bounds both the agent's wait for
	// the outcome and the time for the reply after that.
	resolveTimeout  = time.Second
	resolveInterval = 50 * time.Millisecond
	// maxResolveTries limits the Resolve calls for an idempotent request, which can
	// be sent again instead.
	maxResolveTries = 2
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome inner.OutcomeCode
	refusal inner.Refusal
	reply   *inner.ServeReply
	reason  string
}

func (v attemptResult) notRun() bool { return v.outcome == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN }

// serve sends a request, and sends it again until it is answered or must not be
// retried.
func (s *Server) serve(ctx context.Context, r Request, deadline time.Duration) Result {
	w := &waiter{kind: r.Kind.Name, bytes: len(r.Body), granted: make(chan grant, 1)}
	target, refused := s.acquire(ctx, r, w, deadline)
	if refused != nil {
		return *refused
	}
	began := s.now()
	defer func() { s.done(r, s.now()-began) }()
	var tried []string
	retries := 0
	for number := 1; ; number++ {
		v := s.attempt(r, target, number, deadline)
		res := requestResult(v, target)
		if res.Outcome == chestnutpond.OutcomeAnswered {
			return res
		}
		if v.notRun() && v.refusal != inner.Refusal_REFUSAL_DEADLINE {
			// Another entry took the slot, or the agent is draining. The request
			// keeps its place in the queue until its deadline.
			target, refused = s.requeue(ctx, r, w)
			if refused != nil {
				return *refused
			}
			began = s.now()
			continue
		}
		retries++
		tried = append(tried, target)
		delay, again := s.retry(r, v, retries, deadline)
		if !again {
			return res
		}
		time.Sleep(delay)
		next, ok := s.acquireForRetry(r, tried, deadline)
		if !ok {
			return res
		}
		target = next
	}
}

func (s *Server) retry(r Request, v attemptResult, number int, deadline time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Retry(s.now(), route.Attempt{
		Number: number, Kind: r.Kind.Name, Idempotent: r.Kind.Idempotent,
		ProvenNotRun: v.notRun(), Deadline: deadline,
	})
}

// attempt sends the request once and reports the result to the router.
func (s *Server) attempt(r Request, target string, number int, deadline time.Duration) attemptResult {
	began := s.now()
	v := s.sendOnce(r, target, number, deadline)
	busy := -1
	size := 0
	if v.reply != nil {
		busy = int(v.reply.GetBusy())
		size = len(v.reply.GetBody())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.End(s.now(), target, r.Kind.Name, routeResult(v), s.now()-began, size, busy)
	s.dispatch()
	return v
}

func (s *Server) sendOnce(r Request, target string, number int, deadline time.Duration) attemptResult {
	row, ok := s.cfg.Members.Row(target)
	if !ok || !row.Usable() {
		return refusedAttempt(inner.Refusal_REFUSAL_DRAINING, "agent is gone")
	}
	call := &inner.ServeRequest{
		Attempt: fmt.Sprintf("%s/%d/%s/%d", s.cfg.Origin.Process, s.cfg.Origin.Incarnation, r.ID, number),
		Request: r.ID, Account: r.Account, Kind: r.Kind.Name, Body: r.Body, Digest: xxhash.Sum64(r.Body),
		Agent: target, Incarnation: row.Member.GetIncarnation(),
	}
	address := row.Member.GetAddress()
	if err := s.awaitConnection(address, deadline); err != nil {
		return refusedAttempt(inner.Refusal_REFUSAL_UPSTREAM_DOWN, err.Error())
	}
	// A process that was paused since its last read may not know of an evacuation.
	s.cfg.Tail.AwaitRead(deadline - s.now())
	left := deadline - s.now()
	if left <= 0 {
		return refusedAttempt(inner.Refusal_REFUSAL_DEADLINE, "deadline passed before the request was sent")
	}
	if s.evacuated(target) {
		// The evacuation became known after the target had been selected.
		return refusedAttempt(inner.Refusal_REFUSAL_DRAINING, "zone is evacuated")
	}
	call.Timeout = durationpb.New(left)
	if row.Member.GetRegion() != s.cfg.Region {
		s.metrics.crossRegionBytes.Inc(int64(proto.Size(call)))
	}
	reply, err := s.call(address, call, left)
	if err == nil && isIntact(call, reply) {
		return attemptResult{outcome: reply.GetOutcome(), refusal: reply.GetRefusal(), reply: reply, reason: reply.GetReason()}
	}
	return s.resolve(r, call, target, row.Member.GetIncarnation(), deadline)
}

// evacuated reports whether the zone of a target is under evacuation.
func (s *Server) evacuated(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Evacuated(target)
}

func (s *Server) awaitConnection(address string, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(connectTimeout, deadline-s.now()))
	defer cancel()
	return s.cfg.Dialer.Ready(ctx, address)
}

func (s *Server) call(address string, call *inner.ServeRequest, left time.Duration) (*inner.ServeReply, error) {
	conn, done, err := s.cfg.Dialer.Get(address)
	if err != nil {
		return nil, err
	}
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), left+answerGrace)
	defer cancel()
	return inner.NewAgentClient(conn).Serve(ctx, call)
}

// isIntact reports whether a reply belongs to the call and is not corrupted.
func isIntact(call *inner.ServeRequest, reply *inner.ServeReply) bool {
	if reply.GetAttempt() != call.GetAttempt() || reply.GetRequest() != call.GetRequest() {
		return false
	}
	if reply.GetOutcome() != inner.OutcomeCode_OUTCOME_CODE_ANSWERED {
		return reply.GetOutcome() != inner.OutcomeCode_OUTCOME_CODE_UNSPECIFIED
	}
	return reply.GetDigest() == xxhash.Sum64(reply.GetBody())
}

// resolve asks the agent for the outcome of an attempt whose reply was lost, and
// has the agent fence the attempt if it has not started.
func (s *Server) resolve(
	r Request, call *inner.ServeRequest, target string, incarnation int64, deadline time.Duration,
) attemptResult {
	for try := 1; ; try++ {
		row, ok := s.cfg.Members.Row(target)
		if !ok || row.Member.GetIncarnation() != incarnation {
			return attemptResult{outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, reason: "agent was restarted"}
		}
		reply, err := s.resolveOnce(row.Member.GetAddress(), call, deadline)
		if err == nil && isIntact(call, reply) && reply.GetOutcome() != inner.OutcomeCode_OUTCOME_CODE_RUNNING {
			return attemptResult{outcome: reply.GetOutcome(), refusal: reply.GetRefusal(), reply: reply, reason: reply.GetReason()}
		}
		expired := s.now() > deadline+answerGrace
		if expired || (err != nil && r.Kind.Idempotent && try >= maxResolveTries) {
			return attemptResult{outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, reason: "the agent does not tell the outcome"}
		}
		time.Sleep(resolveInterval)
	}
}

func (s *Server) resolveOnce(address string, call *inner.ServeRequest, deadline time.Duration) (*inner.ServeReply, error) {
	conn, done, err := s.cfg.Dialer.Get(address)
	if err != nil {
		return nil, err
	}
	defer done()
	wait := max(0, min(resolveTimeout, deadline-s.now()))
	ctx, cancel := context.WithTimeout(context.Background(), wait+resolveTimeout)
	defer cancel()
	reply, err := inner.NewAgentClient(conn).Resolve(ctx, &inner.ResolveRequest{
		Attempt: call.GetAttempt(), Fence: true, Wait: durationpb.New(wait), Incarnation: call.GetIncarnation(),
	})
	if ctx.Err() != nil {
		s.cfg.Dialer.Replace(address, conn)
	}
	if err == nil && reply.GetRequest() == "" {
		// An agent that never received the attempt cannot fill in its request.
		reply.Request = call.GetRequest()
	}
	return reply, err
}

func refusedAttempt(why inner.Refusal, reason string) attemptResult {
	return attemptResult{outcome: inner.OutcomeCode_OUTCOME_CODE_NOT_RUN, refusal: why, reason: reason}
}

func routeResult(v attemptResult) route.Result {
	switch {
	case v.outcome == inner.OutcomeCode_OUTCOME_CODE_ANSWERED && v.reply.GetStatus() < 500:
		return route.ResultAnswered
	case v.outcome == inner.OutcomeCode_OUTCOME_CODE_ANSWERED:
		return route.ResultFailed
	case v.refusal == inner.Refusal_REFUSAL_DEADLINE:
		return route.ResultAbandoned
	case v.notRun():
		return route.ResultRefused
	}
	return route.ResultLost
}

func requestResult(v attemptResult, target string) Result {
	res := Result{Detail: v.reason, Upstream: target}
	switch v.outcome {
	case inner.OutcomeCode_OUTCOME_CODE_ANSWERED:
		res.Outcome = chestnutpond.OutcomeAnswered
		res.Answer = chestnutpond.Answer{
			Status: int(v.reply.GetStatus()), ContentType: v.reply.GetContentType(), Body: v.reply.GetBody(),
		}
	case inner.OutcomeCode_OUTCOME_CODE_NOT_RUN:
		res.Outcome = chestnutpond.OutcomeNotRun
		res.Reason = chestnutpond.ReasonNoUpstream
		res.RetryAfter = time.Second
		if v.refusal == inner.Refusal_REFUSAL_DEADLINE {
			res.Reason = chestnutpond.ReasonDeadline
		}
	default:
		res.Outcome = chestnutpond.OutcomeUnknown
		res.Reason = chestnutpond.ReasonConnectionLost
	}
	return res
}
