package stand

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// TaskRun is a run of a task as the stand-ins of the workers saw it.
type TaskRun struct {
	Task chestnutpond.TaskRef
	Run  int64
	// Worker is the incarnation that executed the order, Ordered the one that received it. They
	// differ if the order was executed late.
	Worker, Ordered chestnutpond.WorkerIncarnation
	Rack            string
	Labels          []string
	// Confirmed is when the agent first confirmed a report of the incarnation; zero if it did
	// not before the run started.
	Confirmed time.Time
	// Called is when the order was received, Start when it was executed.
	Called, Start time.Time
	// End is zero while the run goes on. Ending is empty if the worker's life ended first.
	End    time.Time
	Ending chestnutpond.RunOutcome
	// Noted is when the worker was told that the end is recorded; zero if it never was.
	Noted time.Time
}

// startCall says when a start was ordered, and which life received the order.
type startCall struct {
	at   time.Time
	life chestnutpond.WorkerIncarnation
}

// Runs returns all runs in the order of their starts.
func (f *TaskFleet) Runs() []TaskRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]TaskRun, 0, len(f.runs))
	for _, r := range f.runs {
		c := *r
		c.Labels = slices.Clone(r.Labels)
		all = append(all, c)
	}
	return all
}

// record adds a run to the history. The fleet's lock is held.
func (f *TaskFleet) record(r *workerRun, c startCall) {
	w := r.worker
	r.record = &TaskRun{
		Task: r.ref, Run: r.number, Worker: w.life, Ordered: c.life, Rack: w.cfg.Rack, Labels: w.cfg.Labels,
		Confirmed: w.confirmed, Called: c.at, Start: time.Now(),
	}
	f.runs = append(f.runs, r.record)
	f.byRun[runID{r.ref, r.number}] = r.record
}

// ConfirmReport notes that the agent has confirmed a report of the present life.
func (w *TaskWorker) ConfirmReport(life chestnutpond.WorkerIncarnation) {
	w.cfg.Fleet.mu.Lock()
	defer w.cfg.Fleet.mu.Unlock()
	if w.confirmed.IsZero() && w.life == life {
		w.confirmed = time.Now()
	}
}
