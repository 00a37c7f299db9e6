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
	// dialWait bounds the wait for a connection before anything is sent.
	dialWait = 300 * time.Millisecond
	// answerGrace is added to the timeout of a call, so that the agent's own
	// verdict on the timeout comes first.
	answerGrace = 250 * time.Millisecond
	// resolveStep bounds one question for the outcome of an attempt.
	resolveStep  = time.Second
	resolvePause = 50 * time.Millisecond
	// resolveTries bounds the questions for an idempotent request, which can
	// rather be sent again.
	resolveTries = 2
)

// verdict is what became of one attempt.
type verdict struct {
	outcome inner.OutcomeCode
	refusal inner.Refusal
	reply   *inner.ServeReply
	reason  string
}

func (v verdict) notRun() bool { return v.outcome == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN }

// serve sends a request until it is answered, or must not be sent again.
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
		res := resultOf(v, target)
		if res.Outcome == chestnutpond.OutcomeAnswered {
			return res
		}
		if v.notRun() && v.refusal != inner.Refusal_REFUSAL_DEADLINE {
			// Other entries took the slot first, or the agent leaves. The request
			// keeps its place in the queue until its deadline.
			target, refused = s.putBack(ctx, r, w)
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
		next, ok := s.another(r, tried, deadline)
		if !ok {
			return res
		}
		target = next
	}
}

func (s *Server) retry(r Request, v verdict, number int, deadline time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Retry(s.now(), route.Attempt{
		Number: number, Kind: r.Kind.Name, Idempotent: r.Kind.Idempotent,
		ProvenNotRun: v.notRun(), Deadline: deadline,
	})
}

// attempt sends the request once and tells the router how it went.
func (s *Server) attempt(r Request, target string, number int, deadline time.Duration) verdict {
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

func (s *Server) sendOnce(r Request, target string, number int, deadline time.Duration) verdict {
	row, ok := s.cfg.Members.Row(target)
	if !ok || !row.Usable() {
		return refusal(inner.Refusal_REFUSAL_DRAINING, "agent is gone")
	}
	call := &inner.ServeRequest{
		Attempt: fmt.Sprintf("%s/%d/%s/%d", s.cfg.Origin.Process, s.cfg.Origin.Incarnation, r.ID, number),
		Request: r.ID, Account: r.Account, Kind: r.Kind.Name, Body: r.Body, Digest: xxhash.Sum64(r.Body),
		Agent: target, Incarnation: row.Member.GetIncarnation(),
	}
	address := row.Member.GetAddress()
	if err := s.ready(address, deadline); err != nil {
		return refusal(inner.Refusal_REFUSAL_UPSTREAM_DOWN, err.Error())
	}
	left := deadline - s.now()
	if left <= 0 {
		return refusal(inner.Refusal_REFUSAL_DEADLINE, "deadline passed before the request was sent")
	}
	call.Timeout = durationpb.New(left)
	if row.Member.GetRegion() != s.cfg.Region {
		s.meters.farSent.Inc(int64(proto.Size(call)))
	}
	reply, err := s.call(address, call, left)
	if err == nil && whole(call, reply) {
		return verdict{outcome: reply.GetOutcome(), refusal: reply.GetRefusal(), reply: reply, reason: reply.GetReason()}
	}
	return s.resolve(r, call, target, row.Member.GetIncarnation(), deadline)
}

func (s *Server) ready(address string, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(dialWait, deadline-s.now()))
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

// whole reports whether a reply belongs to the call and arrived as it was sent.
func whole(call *inner.ServeRequest, reply *inner.ServeReply) bool {
	if reply.GetAttempt() != call.GetAttempt() || reply.GetRequest() != call.GetRequest() {
		return false
	}
	if reply.GetOutcome() != inner.OutcomeCode_OUTCOME_CODE_ANSWERED {
		return reply.GetOutcome() != inner.OutcomeCode_OUTCOME_CODE_UNSPECIFIED
	}
	return reply.GetDigest() == xxhash.Sum64(reply.GetBody())
}

// resolve asks the agent what became of an attempt whose answer did not come,
// and fences it if it has not started.
func (s *Server) resolve(
	r Request, call *inner.ServeRequest, target string, incarnation int64, deadline time.Duration,
) verdict {
	for try := 1; ; try++ {
		row, ok := s.cfg.Members.Row(target)
		if !ok || row.Member.GetIncarnation() != incarnation {
			return verdict{outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, reason: "agent was restarted"}
		}
		reply, err := s.ask(row.Member.GetAddress(), call, deadline)
		if err == nil && whole(call, reply) && reply.GetOutcome() != inner.OutcomeCode_OUTCOME_CODE_RUNNING {
			return verdict{outcome: reply.GetOutcome(), refusal: reply.GetRefusal(), reply: reply, reason: reply.GetReason()}
		}
		late := s.now() > deadline+answerGrace
		if late || (err != nil && r.Kind.Idempotent && try >= resolveTries) {
			return verdict{outcome: inner.OutcomeCode_OUTCOME_CODE_UNKNOWN, reason: "the agent does not tell the outcome"}
		}
		time.Sleep(resolvePause)
	}
}

func (s *Server) ask(address string, call *inner.ServeRequest, deadline time.Duration) (*inner.ServeReply, error) {
	conn, done, err := s.cfg.Dialer.Get(address)
	if err != nil {
		return nil, err
	}
	defer done()
	wait := max(0, min(resolveStep, deadline-s.now()))
	ctx, cancel := context.WithTimeout(context.Background(), wait+resolveStep)
	defer cancel()
	reply, err := inner.NewAgentClient(conn).Resolve(ctx, &inner.ResolveRequest{
		Attempt: call.GetAttempt(), Fence: true, Wait: durationpb.New(wait), Incarnation: call.GetIncarnation(),
	})
	if ctx.Err() != nil {
		s.cfg.Dialer.Replace(address, conn)
	}
	if err == nil && reply.GetRequest() == "" {
		// An agent that never saw the attempt does not know its request.
		reply.Request = call.GetRequest()
	}
	return reply, err
}

func refusal(why inner.Refusal, reason string) verdict {
	return verdict{outcome: inner.OutcomeCode_OUTCOME_CODE_NOT_RUN, refusal: why, reason: reason}
}

func routeResult(v verdict) route.Result {
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

func resultOf(v verdict, target string) Result {
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
