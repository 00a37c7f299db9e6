package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const defaultRun = time.Second

// WorkerFaults are the switches of a Worker.
type WorkerFaults struct {
	// FailAll fails every task as it starts.
	FailAll bool `json:"fail_all"`
	// Down refuses every call with 503; the leases of the tasks run on.
	Down bool `json:"down"`
	// Delay passes before a call takes effect; a call whose caller has left by
	// then has none.
	Delay Duration `json:"delay"`
	// CheckpointTime is how long a checkpoint takes to write.
	CheckpointTime Duration `json:"checkpoint_time"`
	// UsageLag is the age of the usage reports.
	UsageLag Duration `json:"usage_lag"`
}

// TaskPayload is the payload that states a task's behaviour. An empty payload
// runs for 1 s and completes.
type TaskPayload struct {
	Run    Duration `json:"run"`
	Fail   bool     `json:"fail"`
	Result string   `json:"result"`
}

// Run is one run of a task on a worker.
type Run struct {
	Worker       string              `json:"worker"`
	Task         chestnutpond.TaskID `json:"task"`
	Kind         string              `json:"kind"`
	Members      int                 `json:"members"`
	Accelerators []int               `json:"accelerators"`
	Start        time.Time           `json:"start"`
	// End is the time of the answer while the phase is running.
	End   time.Time              `json:"end"`
	Phase chestnutpond.TaskPhase `json:"phase"`
	// Reason says why the run ended: done, failed, lease or stop.
	Reason string `json:"reason"`
	// Progress is how much of the work was done, over all resumptions.
	Progress Duration `json:"progress"`
}

// Usage is one entry of a usage report.
type Usage struct {
	Task  chestnutpond.TaskID `json:"task"`
	Share float64             `json:"share"`
	// Age is the time since the usage was measured.
	Age Duration `json:"age"`
}

// Worker stands in for a worker. A worker runs any task that it is told to,
// even on accelerators that another task uses: keeping them apart is the
// agent's duty, and Runs shows whether it did.
type Worker struct {
	name string

	mu     sync.Mutex
	faults WorkerFaults
	tasks  map[chestnutpond.TaskID]*workerTask
	// ended holds the runs that are over, in order of their end.
	ended []Run
	// shares holds what Usage needs, in order of time.
	shares []shareChange
}

// workerTask is guarded by its worker's lock.
type workerTask struct {
	worker *Worker
	run    Run
	result string
	fail   bool
	// total is the whole work at share 1.
	total time.Duration
	// progress is the work done up to since.
	progress time.Duration
	since    time.Time
	share    float64
	done     *time.Timer
	lease    *time.Timer
	// leaseEnd decides; a timer that fires early of a renewal is ignored.
	leaseEnd time.Time
}

type shareChange struct {
	at    time.Time
	task  chestnutpond.TaskID
	share float64
}

var _ chestnutpond.Worker = (*Worker)(nil)

var errDown = Class.New("worker down")

// NewWorker returns a worker without tasks.
func NewWorker(name string) *Worker {
	return &Worker{name: name, tasks: map[chestnutpond.TaskID]*workerTask{}}
}

// Faults returns the switches.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the switches.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Start implements chestnutpond.Worker.
func (w *Worker) Start(ctx context.Context, spec chestnutpond.TaskSpec) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	payload, progress, err := behaviour(spec)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.tasks[spec.ID]; known {
		return nil
	}
	now := time.Now()
	t := &workerTask{
		worker: w,
		run: Run{
			Worker: w.name, Task: spec.ID, Kind: spec.Kind, Members: spec.Members,
			Accelerators: slices.Clone(spec.Accelerators), Start: now, Phase: chestnutpond.TaskRunning,
		},
		result: payload.Result, fail: payload.Fail, total: time.Duration(payload.Run),
		progress: progress, since: now, share: 1, leaseEnd: now.Add(spec.Lease),
	}
	w.tasks[spec.ID] = t
	w.shares = append(w.shares, shareChange{at: now, task: spec.ID, share: 1})
	if w.faults.FailAll {
		t.end(chestnutpond.TaskFailed, "failed")
		return nil
	}
	t.lease = time.AfterFunc(spec.Lease, t.lapse)
	t.done = time.AfterFunc(t.total-t.progress, t.finish)
	return nil
}

// Renew implements chestnutpond.Worker.
func (w *Worker) Renew(ctx context.Context, id chestnutpond.TaskID, lease time.Duration) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.running(id)
	if t == nil {
		return &chestnutpond.TaskGoneError{ID: id}
	}
	t.leaseEnd = time.Now().Add(lease)
	t.lease.Reset(lease)
	return nil
}

// Checkpoint implements chestnutpond.Worker. The task runs on; the checkpoint
// holds its progress at the time of the call and can be resumed on any worker.
func (w *Worker) Checkpoint(ctx context.Context, id chestnutpond.TaskID) (string, error) {
	if err := w.enter(ctx); err != nil {
		return "", err
	}
	w.mu.Lock()
	t := w.running(id)
	if t == nil {
		w.mu.Unlock()
		return "", &chestnutpond.TaskGoneError{ID: id}
	}
	t.advance()
	name := fmt.Sprintf("%s@%s", id, t.progress)
	takes := time.Duration(w.faults.CheckpointTime)
	w.mu.Unlock()
	if err := pause(ctx, takes); err != nil {
		return "", Class.Wrap(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running(id) != t {
		return "", &chestnutpond.TaskGoneError{ID: id}
	}
	return name, nil
}

// Throttle implements chestnutpond.Worker. The task's work goes on at the share
// of its speed.
func (w *Worker) Throttle(ctx context.Context, id chestnutpond.TaskID, share float64) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	if !(share >= 0 && share <= 1) {
		return Class.New("share %v is not within 0 to 1", share)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.running(id)
	if t == nil {
		return &chestnutpond.TaskGoneError{ID: id}
	}
	t.advance()
	t.share = share
	w.shares = append(w.shares, shareChange{at: t.since, task: id, share: share})
	if t.done.Stop(); share > 0 {
		t.done.Reset(time.Duration(float64(t.total-t.progress) / share))
	}
	return nil
}

// Stop implements chestnutpond.Worker. The task leaves the list.
func (w *Worker) Stop(ctx context.Context, id chestnutpond.TaskID) error {
	if err := w.enter(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.running(id); t != nil {
		t.end(chestnutpond.TaskStopped, "stop")
	}
	delete(w.tasks, id)
	return nil
}

// Tasks implements chestnutpond.Worker. The list is in order of id.
func (w *Worker) Tasks(ctx context.Context) ([]chestnutpond.TaskStatus, error) {
	if err := w.enter(ctx); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]chestnutpond.TaskStatus, 0, len(w.tasks))
	for id, t := range w.tasks {
		s := chestnutpond.TaskStatus{ID: id, Phase: t.run.Phase, Reason: t.run.Reason}
		if s.Phase == chestnutpond.TaskCompleted {
			s.Result = t.result
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b chestnutpond.TaskStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list, nil
}

// Runs returns every run since the start, ended ones first.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := slices.Clone(w.ended)
	for _, t := range w.tasks {
		if t.run.Phase == chestnutpond.TaskRunning {
			t.advance()
			run := t.run
			run.End, run.Progress = t.since, Duration(t.progress)
			runs = append(runs, run)
		}
	}
	return runs
}

// Usage returns the shares that the tasks had UsageLag ago.
func (w *Worker) Usage() []Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now().Add(-time.Duration(w.faults.UsageLag))
	shares := map[chestnutpond.TaskID]float64{}
	for _, c := range w.shares {
		if !c.at.After(at) {
			shares[c.task] = c.share
		}
	}
	usage := []Usage{}
	for id, share := range shares {
		if share > 0 {
			usage = append(usage, Usage{Task: id, Share: share, Age: w.faults.UsageLag})
		}
	}
	slices.SortFunc(usage, func(a, b Usage) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return usage
}

func (w *Worker) enter(ctx context.Context) error {
	faults := w.Faults()
	if err := pause(ctx, time.Duration(faults.Delay)); err != nil {
		return Class.Wrap(err)
	}
	if w.Faults().Down {
		return errDown
	}
	return nil
}

func (w *Worker) running(id chestnutpond.TaskID) *workerTask {
	if t := w.tasks[id]; t != nil && t.run.Phase == chestnutpond.TaskRunning {
		return t
	}
	return nil
}

// advance brings the progress up to now.
func (t *workerTask) advance() {
	now := time.Now()
	t.progress = min(t.total, t.progress+time.Duration(float64(now.Sub(t.since))*t.share))
	t.since = now
}

func (t *workerTask) lapse() {
	t.worker.mu.Lock()
	defer t.worker.mu.Unlock()
	if t.run.Phase == chestnutpond.TaskRunning && !time.Now().Before(t.leaseEnd) {
		t.end(chestnutpond.TaskStopped, "lease")
	}
}

func (t *workerTask) finish() {
	t.worker.mu.Lock()
	defer t.worker.mu.Unlock()
	if t.run.Phase != chestnutpond.TaskRunning {
		return
	}
	// A throttle may have come between the timer and the lock.
	if t.advance(); t.progress < t.total {
		return
	}
	if t.fail {
		t.end(chestnutpond.TaskFailed, "failed")
		return
	}
	t.end(chestnutpond.TaskCompleted, "done")
}

func (t *workerTask) end(phase chestnutpond.TaskPhase, reason string) {
	if t.lease != nil {
		t.lease.Stop()
		t.done.Stop()
	}
	t.advance()
	t.run.End, t.run.Phase, t.run.Reason, t.run.Progress = t.since, phase, reason, Duration(t.progress)
	t.worker.ended = append(t.worker.ended, t.run)
	t.worker.shares = append(t.worker.shares, shareChange{at: t.since, task: t.run.Task})
}

// behaviour reads the payload and the progress to resume from.
func behaviour(spec chestnutpond.TaskSpec) (TaskPayload, time.Duration, error) {
	payload := TaskPayload{Run: Duration(defaultRun)}
	if len(spec.Payload) > 0 {
		if err := json.Unmarshal(spec.Payload, &payload); err != nil {
			return payload, 0, Class.Wrap(err)
		}
	}
	if spec.Lease <= 0 {
		return payload, 0, Class.New("task %s: no lease", spec.ID)
	}
	if spec.Checkpoint == "" {
		return payload, 0, nil
	}
	at := strings.LastIndexByte(spec.Checkpoint, '@')
	progress, err := time.ParseDuration(spec.Checkpoint[at+1:])
	return payload, progress, Class.Wrap(err)
}
