package sched

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// prepareTimeout and commitTimeout bound one call; both are parts of the
	// time in which urgent work starts.
	prepareTimeout = 300 * time.Millisecond
	commitTimeout  = 500 * time.Millisecond
	// stopGrace is added to the checkpoint time of a stop call.
	stopGrace = time.Second
)

// memberCall is one call to the agent of one member.
type memberCall func(ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement) *place.Failure

// caller runs one memberCall for one member.
type caller struct {
	attempt   *attempt
	placement chestnutpond.Placement
	call      memberCall
	failure   *place.Failure
	done      *sync.WaitGroup
}

func (c *caller) run(ctx context.Context) {
	defer c.done.Done()
	c.failure = c.attempt.callAgent(ctx, c.placement, c.call)
}

// each calls all members' agents side by side and returns the first failure in
// the order of the members.
func (a *attempt) each(ctx context.Context, timeout time.Duration, call memberCall) *place.Failure {
	ectx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var done sync.WaitGroup
	callers := make([]*caller, 0, len(a.placements))
	for _, p := range a.placements {
		c := &caller{attempt: a, placement: p, call: call, done: &done}
		callers = append(callers, c)
		done.Add(1)
		go c.run(ectx)
	}
	done.Wait()
	for _, c := range callers {
		if c.failure != nil {
			return c.failure
		}
	}
	return nil
}

func (a *attempt) callAgent(ctx context.Context, p chestnutpond.Placement, call memberCall) *place.Failure {
	row, ok := a.region.m.cfg.Members.Row(p.Worker)
	if !ok {
		return &place.Failure{Worker: p.Worker, Reason: "worker is gone"}
	}
	conn, done, err := a.region.m.cfg.Dialer.Get(row.Member.GetAddress())
	if err != nil {
		return &place.Failure{Worker: p.Worker, Reason: err.Error()}
	}
	defer done()
	return call(ctx, inner.NewAgentClient(conn), p)
}

// prepare reserves the accelerators on all members.
func (a *attempt) prepare(ctx context.Context) *place.Failure {
	failure := a.each(ctx, prepareTimeout, a.prepareOne)
	if failure == nil {
		a.region.event(chestnutpond.EventPrepared, a, "")
	}
	return failure
}

func (a *attempt) prepareOne(ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement) *place.Failure {
	reply, err := agent.Prepare(ctx, &inner.PrepareRequest{
		Region: a.region.name, Term: a.region.term, Job: string(a.spec.ID), Attempt: a.number,
		Member: int32(p.Member), Accelerators: indexes(p), HoldTtl: durationpb.New(gangs.HoldTTL),
		Incarnation: p.Incarnation, Cause: a.cause(),
	})
	if err != nil {
		return &place.Failure{Worker: p.Worker, Reason: err.Error()}
	}
	if !reply.GetHeld() {
		return &place.Failure{Worker: p.Worker, Reason: "refused: " + reply.GetReason()}
	}
	return nil
}

// commit tells all members to join the gang's barrier.
func (a *attempt) commit(ctx context.Context) *place.Failure {
	gang, cause := a.gang(), a.cause()
	failure := a.each(ctx, commitTimeout, func(
		ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement,
	) *place.Failure {
		reply, err := agent.Commit(ctx, &inner.CommitRequest{
			Region: a.region.name, Term: a.region.term, Job: string(a.spec.ID), Attempt: a.number,
			Member: int32(p.Member), Gang: gang, Payload: a.spec.Payload, Checkpoint: a.checkpoint,
			Kind: a.spec.Kind, MaxRuntime: durationpb.New(a.spec.MaxRuntime),
			Cause: cause,
		})
		if err != nil {
			return &place.Failure{Worker: p.Worker, Reason: err.Error()}
		}
		if !reply.GetCommitted() {
			return &place.Failure{Worker: p.Worker, Reason: "refused: " + reply.GetReason()}
		}
		return nil
	})
	if failure == nil {
		a.region.event(chestnutpond.EventCommitted, a, "")
	}
	return failure
}

func (a *attempt) gang() []*inner.GangMember {
	gang := make([]*inner.GangMember, 0, len(a.placements))
	for _, p := range a.placements {
		row, _ := a.region.m.cfg.Members.Row(p.Worker)
		gang = append(gang, &inner.GangMember{
			Member: int32(p.Member), Agent: p.Worker, Incarnation: p.Incarnation,
			Address: row.Member.GetAddress(), Accelerators: indexes(p),
		})
	}
	return gang
}

// dropHolds gives up the reservations of an attempt that was not recorded. Its
// number is not used again, so it is fenced: a late Prepare reserves nothing.
func (a *attempt) dropHolds(ctx context.Context) {
	_ = a.each(ctx, prepareTimeout, func(
		ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement,
	) *place.Failure {
		_, err := agent.Stop(ctx, a.stopRequest(p, 0, "not started", true))
		if err != nil {
			return &place.Failure{Worker: p.Worker, Reason: err.Error()}
		}
		return nil
	})
}

func (a *attempt) stopRequest(
	p chestnutpond.Placement, checkpoint time.Duration, reason string, fence bool,
) *inner.StopRequest {
	return &inner.StopRequest{
		Region: a.region.name, Term: a.region.term, Job: string(a.spec.ID), Attempt: a.number,
		Member: int32(p.Member), Checkpoint: durationpb.New(checkpoint), Reason: reason, Fence: fence,
		Cause: a.cause(),
	}
}

// cause returns the event that led to what the attempt does now.
func (a *attempt) cause() string { return string(a.region.m.cfg.Events.Last(a.spec.ID)) }

func indexes(p chestnutpond.Placement) []int32 {
	list := make([]int32, 0, len(p.Accelerators))
	for _, i := range p.Accelerators {
		list = append(list, int32(i))
	}
	return list
}
