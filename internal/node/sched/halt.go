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
	h := &gangStopper{attempt: a, stopped: make(map[int]bool), replies: make(map[int]*inner.StopReply)}
	for ctx.Err() == nil {
		_ = a.callAll(ctx, checkpoint+stopGrace, func(
			ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement,
		) *place.Failure {
			h.stopMember(ctx, agent, p, checkpoint, reason)
			return nil
		})
		if h.allStopped() {
			return h.result(), true
		}
		waitRetry(ctx)
	}
	return stopResult{}, false
}

func (h *gangStopper) stopMember(
	ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement, checkpoint time.Duration, reason string,
) {
	if h.isStopped(p.Member) {
		return
	}
	reply, err := agent.Stop(ctx, h.attempt.stopRequest(p, checkpoint, reason, true))
	if err != nil || !reply.GetStopped() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped[p.Member] = true
	h.replies[p.Member] = reply
	if h.firstConfirmed.IsZero() {
		h.firstConfirmed = time.Now()
	}
}

func (h *gangStopper) isStopped(member int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped[member]
}

// allStopped reports whether no member can still run. A member that does not
// answer has stopped if its agent was restarted since the start, if another
// member stopped long enough ago, or if its agent has been out of contact with
// all entries for long enough.
func (h *gangStopper) allStopped() bool {
	for _, p := range h.attempt.placements {
		if !h.isStopped(p.Member) && !h.presumedStopped(p) {
			return false
		}
	}
	return true
}

func (h *gangStopper) presumedStopped(p chestnutpond.Placement) bool {
	members := h.attempt.sched.mgr.cfg.Members
	row, ok := members.Row(p.Worker)
	if ok && row.Member.GetIncarnation() > p.Incarnation {
		h.recordFoundTask(row, p)
		return true
	}
	h.mu.Lock()
	confirmed := h.firstConfirmed
	h.mu.Unlock()
	if !confirmed.IsZero() && time.Since(confirmed) > gangStopDelay {
		return true
	}
	return h.attempt.leaseExpired(row, ok)
}

// recordFoundTask stores the result of a task that a new incarnation of the agent
// found on its worker.
func (h *gangStopper) recordFoundTask(row fleet.Row, p chestnutpond.Placement) {
	task, found := h.attempt.taskOf(row, p)
	if !found {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replies[p.Member] = &inner.StopReply{Stopped: true, State: task.GetState(), Result: task.GetResult()}
}

func (h *gangStopper) result() stopResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var res stopResult
	completed := 0
	for member, reply := range h.replies {
		if reply.GetState() == inner.TaskState_TASK_STATE_COMPLETED {
			completed++
		}
		if member == 0 {
			res.checkpoint = reply.GetCheckpoint()
			res.result = reply.GetResult()
		}
	}
	res.completed = completed == len(h.attempt.placements)
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
		if last, told := r.strayStops[id]; told && now-last < strayStopInterval {
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

func (g *unschedulableJob) run(ctx context.Context) {
	defer g.sched.wg.Done()
	body := ledger.EndJob{
		Job: g.job, Attempt: g.attempt, Region: g.sched.name, Term: g.sched.term,
		State: chestnutpond.JobImpossible, Reason: g.reason,
	}
	for ctx.Err() == nil {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := g.sched.mgr.cfg.Tail.Append(actx, body)
		cancel()
		if err == nil {
			g.sched.mgr.cfg.Events.Add(chestnutpond.Event{
				Kind: chestnutpond.EventEnded, Job: g.job, Attempt: g.attempt,
				Detail: string(chestnutpond.JobImpossible) + " " + g.reason,
			})
			return
		}
		waitRetry(ctx)
	}
}
