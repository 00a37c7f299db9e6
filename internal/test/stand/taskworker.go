package stand

import (
	"context"
	"syscall"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// TaskWorkerConfig configures a TaskWorker.
type TaskWorkerConfig struct {
	Fleet    *TaskFleet
	ID       string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity chestnutpond.Resources
	// Lease is the longest lease that the worker takes.
	Lease time.Duration
	// StopTime is how long a run takes to stop.
	StopTime time.Duration
	// GangTimeout is how long a member waits for the others.
	GangTimeout time.Duration
	// Ticket must come with each start; empty takes any.
	Ticket string
}

// TaskWorker is an in-memory worker.
type TaskWorker struct {
	cfg TaskWorkerConfig
	id  string

	// All fields below are guarded by the fleet's lock.
	life  chestnutpond.WorkerIncarnation
	began time.Time
	// restarted means that this is not the first life.
	restarted bool
	fence     int64
	until     time.Duration
	lapse     *time.Timer
	runs      map[runID]*workerRun
	highest   map[chestnutpond.TaskRef]int64
	ended     []chestnutpond.RunEnd
	ends      int64
	acked     int64
	// lapsedUpTo is the newest end before the lease lapsed last.
	lapsedUpTo int64
	state      chestnutpond.WorkerState
	reports    int64
	changed    chan struct{}
	// mute leaves calls without an answer; late carries them out after that time.
	mute bool
	late time.Duration
	// lastStart is when the worker last started a run.
	lastStart time.Time
	// unhealthy refuses every start.
	unhealthy bool
	failing   bool
	// gone refuses every connection.
	gone bool
	// clockLead is how far the time of day is ahead that the worker starts by.
	clockLead time.Duration
	// confirmed is when the agent first confirmed a report of the present life.
	confirmed time.Time
}

type runID struct {
	ref    chestnutpond.TaskRef
	number int64
}

var _ chestnutpond.TaskRunner = (*TaskWorker)(nil)

// restartTime is how long a worker answers nobody after it began another life.
const restartTime = 200 * time.Millisecond

// NewTaskWorker returns a worker that has just started.
func NewTaskWorker(c TaskWorkerConfig) *TaskWorker {
	w := &TaskWorker{cfg: c, id: c.ID}
	w.Restart()
	return w
}

// Restart begins another life of the worker under the same id: it runs nothing
// and knows nothing.
func (w *TaskWorker) Restart() {
	f := w.cfg.Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range w.runs {
		r.stopTimers()
		f.over(r)
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.restarted = w.runs != nil
	now := time.Now()
	w.life = chestnutpond.WorkerIncarnation{ID: w.id, StartedMs: now.Add(w.clockLead).UnixMilli()}
	w.began, w.fence, w.until = now, 0, 0
	w.runs, w.highest = map[runID]*workerRun{}, map[chestnutpond.TaskRef]int64{}
	w.ended, w.ends, w.acked, w.lapsedUpTo, w.reports = nil, 0, 0, 0, 0
	w.state, w.confirmed = chestnutpond.WorkerReady, time.Time{}
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
	w.mute, w.late, w.gone = false, 0, false
}

// RestartAs begins another life of the worker under another id.
func (w *TaskWorker) RestartAs(id string) {
	w.cfg.Fleet.mu.Lock()
	w.id = id
	w.cfg.Fleet.mu.Unlock()
	w.Restart()
}

// RestartWith begins another life of the worker under the same id with other labels.
func (w *TaskWorker) RestartWith(labels ...string) {
	w.cfg.Fleet.mu.Lock()
	w.cfg.Labels = labels
	w.cfg.Fleet.mu.Unlock()
	w.Restart()
}

// Exit ends the worker's life: its runs are gone, and it refuses connections until it
// starts again.
func (w *TaskWorker) Exit() {
	w.Restart()
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.gone = true
}

// Life returns the incarnation of the worker.
func (w *TaskWorker) Life() chestnutpond.WorkerIncarnation {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	return w.life
}

// SetClockLead sets how far the time of day is ahead by which the next lives start.
func (w *TaskWorker) SetClockLead(d time.Duration) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.clockLead = d
}

// Info returns the worker's next report about itself.
func (w *TaskWorker) Info() chestnutpond.WorkerInfo {
	f := w.cfg.Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.reports++
	return chestnutpond.WorkerInfo{
		ID: w.id, StartedMs: w.life.StartedMs, Service: w.cfg.Service, Zone: w.cfg.Zone, Rack: w.cfg.Rack, Labels: w.cfg.Labels,
		Capacity: w.cfg.Capacity, State: w.state, Sequence: w.reports,
	}
}

// SetState changes what the worker says of itself.
func (w *TaskWorker) SetState(s chestnutpond.WorkerState) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.state = s
}

// SetMute leaves calls without an answer and without effect.
func (w *TaskWorker) SetMute(on bool) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.mute = on
}

// SetLate carries starts out after a time and leaves them without an answer.
func (w *TaskWorker) SetLate(after time.Duration) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.late = after
}

// SetUnhealthy refuses every start.
func (w *TaskWorker) SetUnhealthy(on bool) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.unhealthy = on
}

// SetFailing makes every run fail soon after its start.
func (w *TaskWorker) SetFailing(on bool) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	w.failing = on
}

// Running returns the number of runs.
func (w *TaskWorker) Running() int {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	return len(w.runs)
}

// LastStart returns when the worker last started a run, in any incarnation.
func (w *TaskWorker) LastStart() time.Time {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	return w.lastStart
}

// Fence returns the highest fence that the worker has seen.
func (w *TaskWorker) Fence() int64 {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	return w.fence
}

func (w *TaskWorker) clock() time.Duration { return time.Since(w.began) }

// silent fails while the worker starts, and waits for the end of the context if
// it is mute. The lock is not held.
func (w *TaskWorker) silent(ctx context.Context) error {
	w.cfg.Fleet.mu.Lock()
	mute, gone, starting := w.mute, w.gone, w.restarted && time.Since(w.began) < restartTime
	w.cfg.Fleet.mu.Unlock()
	if gone {
		return &chestnutpond.NotSentError{Err: syscall.ECONNREFUSED}
	}
	if starting {
		return errRestarted
	}
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
