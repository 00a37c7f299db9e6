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
	// prepareTimeout and commitTimeout bound one call. Both add to the start
	// latency of urgent work.
	prepareTimeout = 300 * time.Millisecond
	commitTimeout  = 500 * time.Millisecond
	// stopGrace is the timeout of a stop call beyond its checkpoint time.
	stopGrace = time.Second
)

// memberCall is a call to the agent of one gang member.
type memberCall func(ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement) *place.Failure

// pendingCall is a memberCall in progress for one member, and its failure.
type pendingCall struct {
	attempt   *attempt
	placement chestnutpond.Placement
	call      memberCall
	failure   *place.Failure
	done      *sync.WaitGroup
}

func (c *pendingCall) run(ctx context.Context) {
	defer c.done.Done()
	c.failure = c.attempt.callAgent(ctx, c.placement, c.call)
}

// callAll calls the agents of all members concurrently and returns the first
// failure in member order.
func (a *attempt) callAll(ctx context.Context, timeout time.Duration, call memberCall) *place.Failure {
	ectx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var done sync.WaitGroup
	calls := make([]*pendingCall, 0, len(a.placements))
	for _, p := range a.placements {
		c := &pendingCall{attempt: a, placement: p, call: call, done: &done}
		calls = append(calls, c)
		done.Add(1)
		go c.run(ectx)
	}
	done.Wait()
	for _, c := range calls {
		if c.failure != nil {
			return c.failure
		}
	}
	return nil
}

func (a *attempt) callAgent(ctx context.Context, p chestnutpond.Placement, call memberCall) *place.Failure {
	row, ok := a.sched.mgr.cfg.Members.Row(p.Worker)
	if !ok {
		return &place.Failure{Worker: p.Worker, Reason: "worker is gone"}
	}
	conn, done, err := a.sched.mgr.cfg.Dialer.Get(row.Member.GetAddress())
	if err != nil {
		return &place.Failure{Worker: p.Worker, Reason: err.Error()}
	}
	defer done()
	return call(ctx, inner.NewAgentClient(conn), p)
}

// prepare reserves the accelerators on all members.
func (a *attempt) prepare(ctx context.Context) *place.Failure {
	failure := a.callAll(ctx, prepareTimeout, a.prepareMember)
	if failure == nil {
		a.sched.emit(chestnutpond.EventPrepared, a, "")
	}
	return failure
}

func (a *attempt) prepareMember(ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement) *place.Failure {
	reply, err := agent.Prepare(ctx, &inner.PrepareRequest{
		Region: a.sched.name, Term: a.sched.term, Job: string(a.spec.ID), Attempt: a.number,
		Member: int32(p.Member), Accelerators: acceleratorIndexes(p), HoldTtl: durationpb.New(gangs.ReservationTTL),
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

// commit tells all members to enter the start barrier of the gang.
func (a *attempt) commit(ctx context.Context) *place.Failure {
	gang, cause := a.gangMembers(), a.cause()
	failure := a.callAll(ctx, commitTimeout, func(
		ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement,
	) *place.Failure {
		reply, err := agent.Commit(ctx, &inner.CommitRequest{
			Region: a.sched.name, Term: a.sched.term, Job: string(a.spec.ID), Attempt: a.number,
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
		a.sched.emit(chestnutpond.EventCommitted, a, "")
	}
	return failure
}

func (a *attempt) gangMembers() []*inner.GangMember {
	gang := make([]*inner.GangMember, 0, len(a.placements))
	for _, p := range a.placements {
		row, _ := a.sched.mgr.cfg.Members.Row(p.Worker)
		gang = append(gang, &inner.GangMember{
			Member: int32(p.Member), Agent: p.Worker, Incarnation: p.Incarnation,
			Address: row.Member.GetAddress(), Accelerators: acceleratorIndexes(p),
		})
	}
	return gang
}

// releaseReservations releases the reservations of an attempt that was not
// recorded. Its number is not used again, so it is fenced: a delayed Prepare
// reserves nothing.
func (a *attempt) releaseReservations(ctx context.Context) {
	_ = a.callAll(ctx, prepareTimeout, func(
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
		Region: a.sched.name, Term: a.sched.term, Job: string(a.spec.ID), Attempt: a.number,
		Member: int32(p.Member), Checkpoint: durationpb.New(checkpoint), Reason: reason, Fence: fence,
		Cause: a.cause(),
	}
}

// cause returns the last event of the job, which is the cause of the next one.
func (a *attempt) cause() string { return string(a.sched.mgr.cfg.Events.Last(a.spec.ID)) }

func acceleratorIndexes(p chestnutpond.Placement) []int32 {
	list := make([]int32, 0, len(p.Accelerators))
	for _, i := range p.Accelerators {
		list = append(list, int32(i))
	}
	return list
}
