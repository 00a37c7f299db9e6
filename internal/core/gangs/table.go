package gangs

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/agemap"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Config holds the properties of the agent that a table belongs to.
type Config struct {
	// Name and Incarnation identify the agent.
	Name        string
	Incarnation int64
	// Region is the agent's region. Requests from the scheduler of another
	// region are refused as stale.
	Region string
	// Accelerators is the number of accelerators of the worker.
	Accelerators int
	// Notify is called, without a lock held, after a change of the tasks. It
	// must not block. It may be nil.
	Notify func()
}

// Table holds the reservations, tasks and gangs of one agent.
type Table struct {
	cfg Config

	mu sync.Mutex
	// term is the highest term of the region's scheduler seen so far.
	term int64
	// No key is in both reservations and tasks. No two reservations or tasks
	// have the same accelerator, except for ended tasks.
	reservations map[Key]*reservation
	tasks        map[Key]*task
	// leaders has an entry for each gang whose member 0 was committed here and is
	// in tasks.
	leaders map[gangKey]*leader
	// fences maps a job to its highest fenced attempt. That attempt and all lower
	// ones may not start here.
	fences   *agemap.Map[int64]
	draining bool
	// clean is true once the worker runs no task of a previous incarnation.
	clean bool
	// workerUp is false while the worker does not answer.
	workerUp bool
}

// reservation holds accelerators for a member that is not committed yet.
type reservation struct {
	term         int64
	accelerators []int32
	expires      time.Time
}

// New returns an empty table. It refuses all reservations until SetClean is
// called.
func New(cfg Config) *Table {
	if cfg.Notify == nil {
		cfg.Notify = func() {}
	}
	return &Table{
		cfg:          cfg,
		reservations: map[Key]*reservation{},
		tasks:        map[Key]*task{},
		leaders:      map[gangKey]*leader{},
		fences:       agemap.New[int64](agemap.Config{Limit: MaxFences, MinAge: FenceAge}),
	}
}

// SetClean records that the worker answers and runs no task of a previous
// incarnation.
func (t *Table) SetClean() {
	t.mu.Lock()
	t.clean, t.workerUp = true, true
	t.mu.Unlock()
	t.cfg.Notify()
}

// Adopt keeps the result of a task that completed under a previous incarnation
// until its end is in the log. It returns false if the task is not a valid
// completed task of this agent, or if there is no room for its result.
func (t *Table) Adopt(status chestnutpond.TaskStatus, now time.Time) bool {
	key, ok := ParseTask(status.ID)
	if !ok || status.Phase != chestnutpond.TaskCompleted || len(status.Result) > MaxResult {
		return false
	}
	t.mu.Lock()
	if _, known := t.tasks[key]; !known && t.countResults() < MaxEnded {
		done := make(chan struct{})
		close(done)
		t.tasks[key] = &task{
			key: key, phase: ended, end: inner.TaskState_TASK_STATE_COMPLETED, result: status.Result,
			endedAt: now, beatsDone: true, commit: &inner.CommitRequest{Job: key.Job, Attempt: key.Attempt, Member: key.Member},
			stepSignal: make(chan struct{}, 1), beatSignal: make(chan struct{}, 1), done: done,
		}
	}
	_, kept := t.tasks[key]
	t.mu.Unlock()
	t.cfg.Notify()
	return kept
}

// Clean reports whether SetClean was called.
func (t *Table) Clean() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clean
}

// SetWorkerUp records whether the worker answers. It reports whether that
// changed.
func (t *Table) SetWorkerUp(up bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.workerUp != up
	t.workerUp = up
	return changed
}

// Drain makes the table refuse new reservations and commits, and drops the
// reservations that were not committed.
func (t *Table) Drain() {
	t.mu.Lock()
	t.draining = true
	clear(t.reservations)
	t.mu.Unlock()
	t.cfg.Notify()
}

// Live returns the keys of the tasks that have not ended.
func (t *Table) Live() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for key, task := range t.tasks {
		if task.phase != ended {
			keys = append(keys, key)
		}
	}
	return keys
}

// Rows returns the reservations and tasks for the agent's member row, sorted by
// job, attempt and member.
func (t *Table) Rows(now time.Time) []*inner.Task {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	rows := make([]*inner.Task, 0, len(t.reservations)+len(t.tasks))
	for key, r := range t.reservations {
		rows = append(rows, key.row(inner.TaskState_TASK_STATE_HELD, r.accelerators))
	}
	for key, task := range t.tasks {
		row := key.row(task.state(), task.accelerators)
		if task.phase == ended {
			// An ended task has no accelerators.
			row.Accelerators = nil
			row.Result = task.result
		}
		if task.phase >= stopping {
			row.Reason = task.reason
		}
		row.Checkpoint = task.checkpoint()
		rows = append(rows, row)
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

func (k Key) row(state inner.TaskState, accelerators []int32) *inner.Task {
	return &inner.Task{
		Job: k.Job, Attempt: k.Attempt, Member: k.Member,
		State: state, Accelerators: slices.Clone(accelerators),
	}
}

func compareRows(a, b *inner.Task) int {
	if c := strings.Compare(a.GetJob(), b.GetJob()); c != 0 {
		return c
	}
	if c := a.GetAttempt() - b.GetAttempt(); c != 0 {
		return int(c)
	}
	return int(a.GetMember() - b.GetMember())
}

// Expire drops expired reservations, so that they leave the agent's member row.
// Other methods do not depend on it: they drop expired reservations themselves.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	before := len(t.reservations)
	t.expire(now)
	changed := len(t.reservations) != before
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
}

// expire drops expired reservations.
func (t *Table) expire(now time.Time) {
	for key, r := range t.reservations {
		if !now.Before(r.expires) {
			delete(t.reservations, key)
		}
	}
}

// fenced reports whether the attempt is fenced, so that it may not start here.
func (t *Table) fenced(job string, attempt int64) bool {
	highest, ok := t.fences.Get(job)
	return ok && attempt <= highest
}

// fence makes sure that the attempt and all lower ones of the job cannot start
// here. It returns false if the table of fences is full.
func (t *Table) fence(job string, attempt int64, now time.Time) bool {
	if highest, ok := t.fences.Get(job); ok {
		attempt = max(attempt, highest)
	}
	if !t.fences.Put(job, attempt, now) {
		return false
	}
	for key := range t.reservations {
		if key.Job == job && key.Attempt <= attempt {
			delete(t.reservations, key)
		}
	}
	return true
}

// Release removes the ended tasks with these ids, because their end is in the
// log. It fences their attempts.
func (t *Table) Release(ids []string, now time.Time) {
	released := make(map[chestnutpond.TaskID]bool, len(ids))
	for _, id := range ids {
		released[chestnutpond.TaskID(id)] = true
	}
	t.mu.Lock()
	changed := false
	for key, task := range t.tasks {
		if task.phase == ended && released[key.Task()] && t.fence(key.Job, key.Attempt, now) {
			t.remove(task)
			changed = true
		}
	}
	t.mu.Unlock()
	if changed {
		t.cfg.Notify()
	}
}

// remove deletes an ended task, and the gang's leader if it was member 0.
func (t *Table) remove(task *task) {
	task.beatsDone = true
	signal(task.beatSignal)
	delete(t.tasks, task.key)
	if task.key.Member == 0 {
		delete(t.leaders, task.key.gang())
	}
}

// trimStopped removes the oldest stopped tasks beyond MaxStopped.
func (t *Table) trimStopped(now time.Time) {
	var stopped []*task
	for _, task := range t.tasks {
		if task.phase == ended && task.end == inner.TaskState_TASK_STATE_STOPPED {
			stopped = append(stopped, task)
		}
	}
	if len(stopped) <= MaxStopped {
		return
	}
	slices.SortFunc(stopped, func(a, b *task) int { return a.endedAt.Compare(b.endedAt) })
	for _, task := range stopped[:len(stopped)-MaxStopped] {
		if t.fence(task.key.Job, task.key.Attempt, now) {
			t.remove(task)
		}
	}
}

// countResults returns the number of tasks that completed or failed and are not
// released yet.
func (t *Table) countResults() int {
	n := 0
	for _, task := range t.tasks {
		if task.phase == ended && task.end != inner.TaskState_TASK_STATE_STOPPED {
			n++
		}
	}
	return n
}
