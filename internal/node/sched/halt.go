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

// strayPause is the time between two calls to stop the same stray task.
const strayPause = 5 * time.Second

// strayLimit bounds the remembered stray tasks. Beyond it all are forgotten, and
// a task that still runs is told to stop again at once, which is harmless.
const strayLimit = 4096

// halted is what is known once nothing of an attempt runs any more.
type halted struct {
	checkpoint string
	// completed means that all members had completed before the stop.
	completed bool
	result    string
}

// halter collects the members' answers to a stop.
type halter struct {
	attempt *attempt

	// mu guards the fields below; no other lock is taken under it.
	mu sync.Mutex
	// sure holds the members that are surely stopped.
	sure map[int]bool
	// confirmed is when the first member confirmed; zero before.
	confirmed time.Time
	done      map[int]*inner.StopReply
}

// halt stops all members and waits until each one is surely stopped. It returns
// false when the term ends first.
func (a *attempt) halt(ctx context.Context, checkpoint time.Duration, reason string) (halted, bool) {
	h := &halter{attempt: a, sure: make(map[int]bool), done: make(map[int]*inner.StopReply)}
	for ctx.Err() == nil {
		_ = a.each(ctx, checkpoint+stopGrace, func(
			ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement,
		) *place.Failure {
			h.stopOne(ctx, agent, p, checkpoint, reason)
			return nil
		})
		if h.allSure() {
			return h.result(), true
		}
		pause(ctx)
	}
	return halted{}, false
}

func (h *halter) stopOne(
	ctx context.Context, agent inner.AgentClient, p chestnutpond.Placement, checkpoint time.Duration, reason string,
) {
	if h.isSure(p.Member) {
		return
	}
	reply, err := agent.Stop(ctx, h.attempt.stopRequest(p, checkpoint, reason, true))
	if err != nil || !reply.GetStopped() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sure[p.Member] = true
	h.done[p.Member] = reply
	if h.confirmed.IsZero() {
		h.confirmed = time.Now()
	}
}

func (h *halter) isSure(member int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sure[member]
}

// allSure reports whether no member can run. A member that does not answer has
// stopped when its agent was restarted since, when another member was stopped
// long enough ago, or when its agent was without any entry for long enough.
func (h *halter) allSure() bool {
	for _, p := range h.attempt.placements {
		if !h.isSure(p.Member) && !h.presumed(p) {
			return false
		}
	}
	return true
}

func (h *halter) presumed(p chestnutpond.Placement) bool {
	members := h.attempt.region.m.cfg.Members
	row, ok := members.Row(p.Worker)
	if ok && row.Member.GetIncarnation() > p.Incarnation {
		h.noteFound(row, p)
		return true
	}
	h.mu.Lock()
	confirmed := h.confirmed
	h.mu.Unlock()
	if !confirmed.IsZero() && time.Since(confirmed) > gangGone {
		return true
	}
	return h.attempt.isGone(row, ok)
}

// noteFound keeps the result that a new incarnation of the agent found.
func (h *halter) noteFound(row fleet.Row, p chestnutpond.Placement) {
	task, found := h.attempt.taskOf(row, p)
	if !found {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done[p.Member] = &inner.StopReply{Stopped: true, State: task.GetState(), Result: task.GetResult()}
}

func (h *halter) result() halted {
	h.mu.Lock()
	defer h.mu.Unlock()
	var res halted
	completed := 0
	for member, reply := range h.done {
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

// stopStrays stops tasks of a row that the log says are over. The caller holds
// the region's mu.
func (r *region) stopStrays(now time.Duration, row fleet.Row) {
	if row.Lost {
		return
	}
	for _, t := range row.Member.GetTasks() {
		if !r.isStray(t) {
			continue
		}
		s := &stray{region: r, task: t, row: row}
		id := s.id()
		if last, told := r.strays[id]; told && now-last < strayPause {
			continue
		}
		if len(r.strays) >= strayLimit {
			clear(r.strays)
		}
		r.strays[id] = now
		r.running.Add(1)
		go s.run(r.ctx)
	}
}

// isStray reports whether a task still runs although the log says that its
// attempt is over. A task of an attempt beyond the fold is not.
func (r *region) isStray(t *inner.Task) bool {
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
	r.m.cfg.Tail.View(func(st *ledger.State) { job, ok = st.Job(id) })
	if !ok {
		return true
	}
	if t.GetAttempt() > job.Attempt {
		return false
	}
	open := job.State == chestnutpond.JobRunning || job.State == chestnutpond.JobStopping
	return t.GetAttempt() < job.Attempt || !open
}

// stray stops one task that should not run.
type stray struct {
	region *region
	task   *inner.Task
	row    fleet.Row
}

func (s *stray) id() chestnutpond.TaskID {
	return taskID(s.task.GetJob(), s.task.GetAttempt(), s.task.GetMember())
}

func (s *stray) run(ctx context.Context) {
	defer s.region.running.Done()
	conn, done, err := s.region.m.cfg.Dialer.Get(s.row.Member.GetAddress())
	if err != nil {
		return
	}
	defer done()
	sctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	_, err = inner.NewAgentClient(conn).Stop(sctx, &inner.StopRequest{
		Region: s.region.name, Term: s.region.term, Job: s.task.GetJob(), Attempt: s.task.GetAttempt(),
		Member: s.task.GetMember(), Fence: true, Reason: "the log says that the attempt is over",
	})
	if err != nil {
		s.region.m.cfg.Logger.Warn("sched: stray task not stopped", "task", s.id(), "error", err)
	}
}

// giveUp records that a job can never run.
type giveUp struct {
	region  *region
	job     chestnutpond.JobID
	attempt int64
	reason  string
}

func (g *giveUp) run(ctx context.Context) {
	defer g.region.running.Done()
	body := ledger.EndJob{
		Job: g.job, Attempt: g.attempt, Region: g.region.name, Term: g.region.term,
		State: chestnutpond.JobImpossible, Reason: g.reason,
	}
	for ctx.Err() == nil {
		actx, cancel := context.WithTimeout(ctx, recordStep)
		err := g.region.m.cfg.Tail.Append(actx, body)
		cancel()
		if err == nil {
			g.region.m.cfg.Events.Add(chestnutpond.Event{
				Kind: chestnutpond.EventEnded, Job: g.job, Attempt: g.attempt,
				Detail: string(chestnutpond.JobImpossible) + " " + g.reason,
			})
			return
		}
		pause(ctx)
	}
}
