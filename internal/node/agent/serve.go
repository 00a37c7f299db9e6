package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/slots"
	"github.com/chestnutpond/chestnutpond/internal/node/links"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// service implements the gRPC handlers.
type service struct {
	inner.UnimplementedAgentServer

	agent *Agent
}

// Serve runs one request, or waits for an attempt that is already running. If
// the caller's connection breaks, the attempt continues and Resolve returns its
// reply.
func (s *service) Serve(ctx context.Context, req *inner.ServeRequest) (*inner.ServeReply, error) {
	if ctx.Err() != nil {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if !s.agent.isRecipient(req.GetAgent(), req.GetIncarnation()) {
		reply := slots.NotRun(inner.Refusal_REFUSAL_STALE, "another incarnation of the agent is meant")
		reply.Attempt, reply.Request = req.GetAttempt(), req.GetRequest()
		return reply, nil
	}
	attempt, fresh := s.agent.slots.Begin(req, time.Now())
	if fresh {
		s.agent.enqueue(attempt)
	}
	select {
	case <-attempt.Done():
		reply := attempt.Reply()
		s.agent.countReply(req, reply, fresh)
		return reply, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// isRecipient reports whether a message is addressed to this process and not to
// a previous one at its address. A message without an incarnation is accepted by
// any process.
func (a *Agent) isRecipient(name string, incarnation int64) bool {
	if incarnation == 0 {
		return true
	}
	return incarnation == a.cfg.Incarnation && (name == "" || name == a.cfg.Name)
}

// countReply counts a refusal or an answer and records it as an event. Refusals
// for lack of a slot are not recorded, because a flood of them would evict all
// other events from the ring; neither are answers to repeated attempts.
func (a *Agent) countReply(req *inner.ServeRequest, reply *inner.ServeReply, fresh bool) {
	e := chestnutpond.Event{Request: req.GetRequest(), Account: req.GetAccount()}
	if reply.GetOutcome() == inner.OutcomeCode_OUTCOME_CODE_NOT_RUN {
		a.meters.refused.Inc(1)
		e.Kind, e.Detail = chestnutpond.EventRefused, reply.GetReason()
		fresh = reply.GetRefusal() != inner.Refusal_REFUSAL_NO_SLOT
	} else {
		a.meters.served.Inc(1)
		e.Kind, e.Detail = chestnutpond.EventServed, reply.GetOutcome().String()
	}
	if fresh {
		a.record(e)
	}
}

// serveAttempt runs an admitted attempt on the upstream.
func (a *Agent) serveAttempt(attempt *slots.Attempt) {
	now := time.Now()
	remaining := attempt.Deadline.Sub(now)
	if remaining <= 0 {
		reply := slots.NotRun(inner.Refusal_REFUSAL_DEADLINE, "the timeout passed before the start")
		a.slots.Finish(attempt, reply, now)
		return
	}
	ctx, cancel := context.WithDeadline(a.workCtx, attempt.Deadline)
	defer cancel()
	answer, err := a.cfg.Upstream.Serve(ctx, chestnutpond.Call{
		Request: attempt.Request, Kind: attempt.Kind, Body: attempt.Body, Timeout: remaining,
	})
	end := time.Now()
	a.meters.serveTime.Observe(end.Sub(now))
	a.slots.Finish(attempt, a.replyTo(answer, err), end)
}

// replyTo converts the upstream's answer into a reply.
func (a *Agent) replyTo(answer chestnutpond.Answer, err error) *inner.ServeReply {
	var notSent *chestnutpond.NotSentError
	switch {
	case errors.As(err, &notSent):
		// The upstream may be down; request an immediate check.
		select {
		case a.probeNow <- struct{}{}:
		default:
		}
		return slots.NotRun(inner.Refusal_REFUSAL_UPSTREAM_DOWN, err.Error())
	case err != nil:
		return slots.Unknown(err.Error())
	}
	return &inner.ServeReply{
		Outcome:     inner.OutcomeCode_OUTCOME_CODE_ANSWERED,
		Status:      int32(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
}

// Resolve returns the outcome of an attempt. It waits up to req.Wait for a
// running attempt.
func (s *service) Resolve(ctx context.Context, req *inner.ResolveRequest) (*inner.ServeReply, error) {
	if !s.agent.isRecipient("", req.GetIncarnation()) {
		reply := slots.Unknown("the incarnation that the attempt was sent to is gone")
		reply.Attempt = req.GetAttempt()
		return reply, nil
	}
	attempt := s.agent.slots.Resolve(req.GetAttempt(), req.GetFence(), time.Now())
	switch waitUntil(ctx, time.Now().Add(req.GetWait().AsDuration()), attempt.Done()) {
	case signalled:
		return attempt.Reply(), nil
	case ctxDone:
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return s.agent.slots.Running(attempt), nil
}

// Ping answers a probe of the connection it arrived on.
func (s *service) Ping(context.Context, *inner.PingRequest) (*inner.PingReply, error) {
	return &inner.PingReply{Incarnation: s.agent.cfg.Incarnation}, nil
}

// Events returns recorded events, or none if the sink does not store events.
func (s *service) Events(_ context.Context, req *inner.EventsRequest) (*inner.EventsReply, error) {
	source, ok := s.agent.cfg.Events.(EventSource)
	if !ok {
		return &inner.EventsReply{}, nil
	}
	return source.Reply(req), nil
}

// Prepare reserves accelerators.
func (s *service) Prepare(_ context.Context, req *inner.PrepareRequest) (*inner.PrepareReply, error) {
	v := s.agent.gangs.Prepare(req, time.Now())
	if v.OK {
		s.agent.record(chestnutpond.Event{
			Kind: chestnutpond.EventPrepared, Job: chestnutpond.JobID(req.GetJob()), Attempt: req.GetAttempt(),
			Cause: chestnutpond.EventID(req.GetCause()),
		})
	}
	return &inner.PrepareReply{Held: v.OK, Refusal: v.Refusal, Reason: v.Reason}, nil
}

// Commit converts a reservation into a task that waits at the gang's barrier.
func (s *service) Commit(_ context.Context, req *inner.CommitRequest) (*inner.CommitReply, error) {
	v := s.agent.commit(req, time.Now())
	return &inner.CommitReply{Committed: v.OK, Refusal: v.Refusal, Reason: v.Reason}, nil
}

// Beats answers the heartbeats of one gang member until its stream ends.
func (s *service) Beats(stream grpc.BidiStreamingServer[inner.BeatsRequest, inner.BeatsReply]) error {
	var first *inner.BeatRequest
	for {
		req, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		beat := links.ExpandBeat(req, first)
		if beat == nil {
			return status.Error(codes.InvalidArgument, "the first message must have the beat whole")
		}
		first = beat
		if err := stream.Send(links.CompactReply(s.agent.gangs.HandleBeat(beat, time.Now()))); err != nil {
			return err
		}
	}
}

// Beat answers a heartbeat of a member of a gang that this agent leads.
func (s *service) Beat(_ context.Context, req *inner.BeatRequest) (*inner.BeatReply, error) {
	return s.agent.gangs.HandleBeat(req, time.Now()), nil
}

// Stop stops a task and waits until it has stopped or ctx is cancelled.
func (s *service) Stop(ctx context.Context, req *inner.StopRequest) (*inner.StopReply, error) {
	s.agent.events.Follow(chestnutpond.JobID(req.GetJob()), chestnutpond.EventID(req.GetCause()))
	stop := s.agent.gangs.Stop(req, time.Now())
	if stop.Done == nil {
		return stop.Reply, nil
	}
	select {
	case <-stop.Done:
	case <-ctx.Done():
		return nil, status.Error(codes.DeadlineExceeded, "the task has not stopped yet")
	}
	return s.agent.stopReply(req, stop.Fenced), nil
}
