package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// maxOutstandingStarts and maxOutstandingBytes limit the starts of a worker that are
	// handed out before it lists them, which each message to its agent repeats.
	maxOutstandingStarts = 256
	maxOutstandingBytes  = 1 << 20
	// startRowBytes is about the size of a start without its payload.
	startRowBytes = 100
)

// orderBytes returns about the size of an order to start a task of the job.
func orderBytes(j *job) int { return startRowBytes + len(j.graph.Payload) }

// startBudget is what is left of these limits.
type startBudget struct {
	runs, bytes int
}

func (b *startBudget) left() bool { return b.runs > 0 && b.bytes > 0 }

func (b *startBudget) take(r *run) {
	b.runs--
	b.bytes -= orderBytes(r.job())
}

// Orders is the desired state of a worker. It is complete: whatever it no longer
// contains is no longer wanted.
type Orders struct {
	Life chestnutpond.WorkerIncarnation
	// Fence is the fencing token of all the orders.
	Fence int64
	// Acknowledged is the sequence number up to which ended runs are stored.
	Acknowledged int64
	Starts       []StartRun
	Stops        []RunRef
	Paces        []PaceRun
}

// RunRef identifies a run.
type RunRef struct {
	Task chestnutpond.TaskRef
	Run  int64
}

// StartRun is an order to start a run.
type StartRun struct {
	RunRef

	Payload    string
	Checkpoint string
	// Ticket is the advice service's permission to run, empty if none is required.
	Ticket string
	// FirstBoot identifies the process of the agent to which the order was handed out first.
	// It is empty if a former leader may have handed it out.
	FirstBoot string
}

// OrdersVersion returns a number that changes whenever the worker's orders may have
// changed.
func (p *Planner) OrdersVersion(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.version
	}
	return 0
}

// Orders returns the orders for a worker; false if it has not reported to this
// planner.
func (p *Planner) Orders(_ time.Duration, id string) (Orders, bool) {
	w := p.workers[id]
	if w == nil || !w.reported {
		return Orders{}, false
	}
	if p.mayStart(w) {
		w.handOutStarts()
	}
	o := Orders{Life: w.life, Fence: p.fence(w), Acknowledged: w.storedSeq, Paces: w.paces()}
	for _, r := range w.sortedRuns() {
		if r.life != w.life {
			continue
		}
		switch {
		case r.stopping && r.mayExist():
			o.Stops = append(o.Stops, RunRef{r.task.ref, r.number})
		case r.phase == runOrdered && r.sent && p.mayStart(w):
			o.Starts = append(o.Starts, StartRun{
				RunRef: RunRef{r.task.ref, r.number}, Payload: r.job().graph.Payload, Checkpoint: r.checkpoint,
				Ticket: r.ticket, FirstBoot: r.firstBoot,
			})
		}
	}
	orphans := make([]runKey, 0, len(w.orphans))
	for key := range w.orphans {
		orphans = append(orphans, key)
	}
	slices.SortFunc(orphans, compareRunKeys)
	for _, key := range orphans {
		o.Stops = append(o.Stops, RunRef{key.task, key.run})
	}
	return o, true
}

// handOutStarts marks the starts that are handed out now: those for which the worker has
// capacity, within the budget. If there are more, jobs take turns, so that one of many tasks
// holds up no other.
func (w *worker) handOutStarts() {
	budget := startBudget{runs: maxOutstandingStarts, bytes: maxOutstandingBytes}
	free := w.info.Capacity
	outstanding := map[*job]int{}
	var waiting []*run
	for _, r := range w.sortedRuns() {
		switch {
		case r.mayExist():
			free = free.Minus(r.need)
			if r.phase == runOrdered {
				budget.take(r)
				outstanding[r.job()]++
			}
		case r.phase == runOrdered && r.life == w.life:
			waiting = append(waiting, r)
		}
	}
	if len(waiting) > budget.runs {
		turns := map[*run]int{}
		for _, r := range waiting {
			turns[r] = outstanding[r.job()]
			outstanding[r.job()]++
		}
		slices.SortStableFunc(waiting, func(a, b *run) int { return cmp.Compare(turns[a], turns[b]) })
	}
	for _, r := range waiting {
		if budget.left() && free.Covers(r.need) {
			r.sent, r.firstBoot = true, w.boot
			free = free.Minus(r.need)
			budget.take(r)
		}
	}
}

// mayExist reports whether the run may exist on its worker: its start order was
// handed out, by this or a former leader, or the worker has listed it.
func (r *run) mayExist() bool { return r.sent || r.phase == runSeen }
