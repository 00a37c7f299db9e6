package sched

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// strayStopInterval is the time between two stop calls for the same stray task.
const strayStopInterval = 5 * time.Second

// maxStrayStops bounds the stray tasks whose stop calls are remembered. Beyond it
// all are forgotten; a task that still runs then gets another stop call without
// delay, which is harmless.
const maxStrayStops = 4096

// stopResult is the result of an attempt whose members have all stopped.
type stopResult struct {
	checkpoint string
	// completed means that all members completed before the stop.
	completed bool
	result    string
}

// gangStopper collects the members' replies to the stop calls of an attempt.
type gangStopper struct {
	attempt *attempt

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// stopped holds the members that confirmed their stop.
	stopped map[int]bool
	// firstConfirmed is when the first member confirmed its stop; zero before.
	firstConfirmed time.Time
	replies        map[int]*inner.StopReply
}

// stopGang stops all members and waits until each one is known to have stopped.
// It returns false when the term ends first.
func (a *attempt) stopGang(ctx context.Context, checkpoint time.Duration, reason string) (stopResult, bool) {
	g := &gangStopper{attempt: a, stopped: make(map[int]bool), replies: make(map[int]*inner.StopReply)}
	for ctx.Err() == nil {
		_ = a.callAll(ctx, checkpoint+stopGrace, func(
			ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement,
		) *place.Failure {
			g.stopMember(ctx, agent, p, checkpoint, reason)
			return nil
		})
		if g.allStopped() {
			return g.result(), true
		}
		waitRetry(ctx)
	}
	return stopResult{}, false
}

func (g *gangStopper) stopMember(
	ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement, checkpoint time.Duration, reason string,
) {
	if g.isStopped(p.Member) {
		return
	}
	reply, err := agent.Stop(ctx, g.attempt.stopRequest(p, checkpoint, reason, true))
	if err != nil || !reply.GetStopped() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped[p.Member] = true
	g.replies[p.Member] = reply
	if g.firstConfirmed.IsZero() {
		g.firstConfirmed = time.Now()
	}
}

func (g *gangStopper) isStopped(member int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopped[member]
}

// allStopped reports whether no member can still run. A member that does not
// answer has stopped if its agent was restarted since the start, if another
// member stopped long enough ago, or if its agent has been out of contact with
// all entries for long enough.
func (g *gangStopper) allStopped() bool {
	for _, p := range g.attempt.placements {
		if !g.isStopped(p.Member) && !g.presumedStopped(p) {
			return false
		}
	}
	return true
}

func (g *gangStopper) presumedStopped(p chestnutpond.Placement) bool {
	members := g.attempt.sched.mgr.cfg.Members
	row, ok := members.Row(p.Worker)
	if ok && row.Member.GetIncarnation() > p.Incarnation {
		g.recordFoundTask(row, p)
		return true
	}
	g.mu.Lock()
	confirmed := g.firstConfirmed
	g.mu.Unlock()
	if !confirmed.IsZero() && time.Since(confirmed) > gangStopDelay {
		return true
	}
	return g.attempt.leaseExpired(row, ok)
}

// recordFoundTask stores the result of a task that a new incarnation of the agent
// found on its worker.
func (g *gangStopper) recordFoundTask(row fleet.Row, p chestnutpond.Placement) {
	task, found := g.attempt.taskOf(row, p)
	if !found {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replies[p.Member] = &inner.StopReply{Stopped: true, State: task.GetState(), Result: task.GetResult()}
}

func (g *gangStopper) result() stopResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var res stopResult
	completed := 0
	for member, reply := range g.replies {
		if reply.GetState() == inner.TaskState_TASK_STATE_COMPLETED {
			completed++
		}
		if member == 0 {
			res.checkpoint = reply.GetCheckpoint()
			res.result = reply.GetResult()
		}
	}
	res.completed = completed == len(g.attempt.placements)
	return res
}

// stopStrays stops the stray tasks of a row. The caller holds mu.
func (r *regionScheduler) stopStrays(now time.Duration, row fleet.Row) {
	if row.Lost {
		return
	}
	for _, t := range row.Member.GetTasks() {
		if !r.isStray(t) {
			continue
		}
		s := &stray{sched: r, task: t, row: row}
		id := s.id()
		if last, ok := r.strayStops[id]; ok && now-last < strayStopInterval {
			continue
		}
		if len(r.strayStops) >= maxStrayStops {
			clear(r.strayStops)
		}
		r.strayStops[id] = now
		r.wg.Add(1)
		go s.run(r.ctx)
	}
}

// isStray reports whether a task is still active although its attempt is over
// according to the log. A task of an attempt that the fold has not reached yet is
// not stray.
func (r *regionScheduler) isStray(t *inner.Task) bool {
	switch t.GetState() {
	case inner.TaskState_TASK_STATE_WAITING, inner.TaskState_TASK_STATE_RUNNING:
	default:
		return false
	}
	id := chestnutpond.JobID(t.GetJob())
	if a, active := r.attempts[id]; active && a.number == t.GetAttempt() {
		return false
	}
	var job ledger.Job
	var ok bool
	r.mgr.cfg.Tail.View(func(st *ledger.State) { job, ok = st.Job(id) })
	if !ok {
		return true
	}
	if t.GetAttempt() > job.Attempt {
		return false
	}
	open := job.State == chestnutpond.JobRunning || job.State == chestnutpond.JobStopping
	return t.GetAttempt() < job.Attempt || !open
}

// stray is a task to be stopped because its attempt is over.
type stray struct {
	sched *regionScheduler
	task  *inner.Task
	row   fleet.Row
}

func (s *stray) id() chestnutpond.TaskID {
	return taskID(s.task.GetJob(), s.task.GetAttempt(), s.task.GetMember())
}

func (s *stray) run(ctx context.Context) {
	defer s.sched.wg.Done()
	conn, done, err := s.sched.mgr.cfg.Dialer.Get(s.row.Member.GetAddress())
	if err != nil {
		return
	}
	defer done()
	sctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	_, err = inner.NewAgentClient(conn).Stop(sctx, &inner.StopRequest{
		Region: s.sched.name, Term: s.sched.term, Job: s.task.GetJob(), Attempt: s.task.GetAttempt(),
		Member: s.task.GetMember(), Fence: true, Reason: "the log says that the attempt is over",
	})
	if err != nil {
		s.sched.mgr.cfg.Logger.Warn("sched: failed to stop a stray task", "task", s.id(), "error", err)
	}
}

// unschedulableJob ends a job that can never be placed.
type unschedulableJob struct {
	sched   *regionScheduler
	job     chestnutpond.JobID
	attempt int64
	reason  string
}

func (u *unschedulableJob) run(ctx context.Context) {
	defer u.sched.wg.Done()
	body := ledger.EndJob{
		Job: u.job, Attempt: u.attempt, Region: u.sched.name, Term: u.sched.term,
		State: chestnutpond.JobImpossible, Reason: u.reason,
	}
	for ctx.Err() == nil {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := u.sched.mgr.cfg.Tail.Append(actx, body)
		cancel()
		if err == nil {
			u.sched.mgr.cfg.Events.Add(chestnutpond.Event{
				Kind: chestnutpond.EventEnded, Job: u.job, Attempt: u.attempt,
				Detail: string(chestnutpond.JobImpossible) + " " + u.reason,
			})
			return
		}
		waitRetry(ctx)
	}
}
