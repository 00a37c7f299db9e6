package plan

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Report applies an agent's report about its worker. The reports of an agent come in
// order, and it reports only incarnations that the worker has confirmed, so a start time
// before that of the former incarnation means that the worker's time of day was set back.
func (p *Planner) Report(now time.Duration, rep Report) {
	w := p.worker(rep.Info.ID)
	if w.reported && rep.Agent != w.agent && rep.Info.StartedMs < w.life.StartedMs {
		return
	}
	p.updateLife(now, w, rep)
	if rep.Info.State == chestnutpond.WorkerDraining &&
		(w.info.State != rep.Info.State || w.info.Remaining != rep.Info.Remaining) {
		w.exitsAt = now + rep.Info.Remaining
		// Inspect its runs in the next round.
		p.lastInspection = 0
	}
	w.info, w.agent = rep.Info, rep.Agent
	if w.boot != rep.Boot {
		w.boot, w.bootAt = rep.Boot, now
	}
	w.lastReport, w.leaseExpired = now, false
	w.silent, w.unhealthy = rep.Silent, rep.Unhealthy
	for _, d := range rep.UnansweredStarts {
		if r := w.runs[runKey{d.Task, d.Run}]; r != nil {
			r.inDoubtAt = now - d.Age
		}
	}
	for _, lapsed := range rep.Lapsed {
		if r := w.runs[runKey{lapsed.Task, lapsed.Run}]; r != nil {
			p.settle(now, r, chestnutpond.RunLeaseExpired, "")
		}
	}
	if rep.LeaseOver {
		p.settleLeaseOver(now, w)
	}
	if rep.Listed && rep.Fence >= p.fence(w) {
		p.settleReplaced(now, w)
		if !w.listed {
			w.listed = true
			w.version++
			p.recordJoined(now)
		}
		p.reconcile(now, w, rep)
	}
	p.updateEvacuated(now, w)
	if rep.LeaseOver && w.evacuated {
		// No orders name the starts in an evacuated zone, and the worker may never list them.
		// Its agent reports ordered stops as lapsed.
		p.stopUnseen(now, w)
	}
	if rep.Left {
		p.workerLeft(now, w)
	}
}

// updateLife records a worker's first report and the start of another incarnation.
func (p *Planner) updateLife(_ time.Duration, w *worker, rep Report) {
	life := rep.Info.Incarnation()
	switch {
	case !w.reported:
		w.reported, w.life = true, life
		w.version++
		p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: "worker reports"})
	case w.life != life:
		w.life, w.listed = life, false
		w.lives++
		w.appliedSeq, w.storedSeq = 0, 0
		w.orphans = map[runKey]bool{}
		w.health = health{}
		w.version++
		p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: "worker started again"})
	}
	if w.left && !rep.Left {
		w.left = false
		w.version++
		p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: "worker has returned"})
	}
	if w.reported && w.info.State != rep.Info.State && w.info.State != "" {
		p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: "worker is " + string(rep.Info.State)})
	}
}

// settleReplaced settles the runs of former workers of the same agent: the lists of
// w prove that they have ended.
func (p *Planner) settleReplaced(now time.Duration, w *worker) {
	for _, other := range p.sortedWorkers {
		if other != w && other.agent == w.agent {
			p.workerLeft(now, other)
		}
	}
}

// settleLeaseOver settles the runs of a silent worker whose lease has expired: those that it has
// listed and those of its former incarnations. The agent knows of no other ones but those in its
// orders, and reports these as lapsed.
func (p *Planner) settleLeaseOver(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		seen := r.phase == runSeen && r.life == w.life
		former := r.phase != runDecided && r.life != w.life
		if seen || former {
			p.settle(now, r, chestnutpond.RunLeaseExpired, "")
		}
	}
}

// workerLeft settles all runs of a worker whose incarnation has ended.
func (p *Planner) workerLeft(now time.Duration, w *worker) {
	if w.left {
		return
	}
	w.left = true
	p.lapseRuns(now, w, "worker has left")
}

// lapseRuns settles the runs of a worker as expired.
func (p *Planner) lapseRuns(now time.Duration, w *worker, reason string) {
	if len(w.runs) > 0 {
		p.note(Note{Kind: NoteWorker, Worker: w.id, Detail: reason})
	}
	for _, r := range w.sortedRuns() {
		if r.phase != runDecided || r.life == w.life {
			p.settle(now, r, chestnutpond.RunLeaseExpired, "")
		}
	}
}

// ExpireLeases settles the runs of workers whose last lease has expired.
func (p *Planner) ExpireLeases(now time.Duration) {
	for _, w := range p.sortedWorkers {
		if now <= w.leaseEnd || w.leaseExpired {
			continue
		}
		w.leaseExpired = true
		p.lapseRuns(now, w, "no report, and its last lease has expired")
	}
}

// reconcile compares the worker's lists with the runs that may exist on it and
// settles those that no longer can.
func (p *Planner) reconcile(now time.Duration, w *worker, rep Report) {
	w.clock = rep.Clock
	running := map[runKey]bool{}
	for _, row := range rep.Running {
		running[runKey{row.Task, row.Run}] = true
	}
	for _, r := range w.sortedRuns() {
		if r.life != w.life && running[runKey{r.task.ref, r.number}] {
			// The start order was delayed and reached this incarnation of the worker.
			r.life = w.life
		}
	}
	for _, row := range rep.Running {
		p.observe(now, w, runKey{row.Task, row.Run}, row)
	}
	for key := range w.orphans {
		if !running[key] {
			delete(w.orphans, key)
			w.version++
		}
	}
	for _, e := range rep.Ended {
		if e.Sequence <= w.appliedSeq {
			continue
		}
		w.appliedSeq = e.Sequence
		if r := w.runs[runKey{e.Task, e.Run}]; r != nil {
			p.settle(now, r, e.Ending, e.Checkpoint)
		} else if e.Ending == chestnutpond.RunDone {
			p.completeLate(now, w, e)
		}
	}
	for _, r := range w.sortedRuns() {
		if r.life != w.life {
			p.settle(now, r, chestnutpond.RunLeaseExpired, "")
		}
	}
	for _, refusal := range slices.Concat(rep.Refused, rep.Stopped) {
		key := runKey{refusal.Task, refusal.Run}
		if r := w.runs[key]; r != nil && !running[key] {
			p.handleRefusal(now, r, refusal.Refusal)
		}
	}
	for _, r := range w.sortedRuns() {
		r.listed = running[runKey{r.task.ref, r.number}]
		p.checkMissing(now, r, rep.EndsTruncated)
	}
}

// missingLimit is how long a seen run may be absent from its worker's lists before
// it is stopped.
const missingLimit = 500 * time.Millisecond

// checkMissing stops a run that its worker no longer lists and whose end it has not
// listed. Workers keep ended runs until they are acknowledged, so this happens only
// through a fault of the worker, unless the list of ends is truncated: the end follows
// once those before it have been acknowledged.
func (p *Planner) checkMissing(now time.Duration, r *run, truncated bool) {
	switch {
	case r.phase != runSeen || r.listed || truncated:
		r.missingSince = 0
	case r.missingSince == 0:
		r.missingSince = now
	case now-r.missingSince >= missingLimit:
		p.stop(now, r, "worker lists it no more")
	}
}

// observe applies one row of the worker's list of running runs.
func (p *Planner) observe(now time.Duration, w *worker, key runKey, row chestnutpond.RunStatus) {
	r := w.runs[key]
	if r == nil {
		if !w.orphans[key] {
			w.orphans[key] = true
			w.version++
			p.note(Note{Kind: NoteStopped, Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.id, Detail: "run is not wanted"})
		}
		return
	}
	if r.phase != runSeen {
		r.phase, r.seen, r.progressAt = runSeen, now, now
		r.basePercent, r.percent = row.Percent, row.Percent
		r.seenClock, r.progressClock = w.clock, w.clock
		w.version++
		if j := r.job(); !j.started {
			j.started, j.dirty = true, true
			p.note(Note{
				Kind: NoteStarted, Job: j.graph.ID, Queue: j.graph.Queue.Name, Took: p.wall.Sub(j.graph.Accepted),
			})
		}
	}
	r.load = row.Load
	r.recordProgress(now, row.Percent)
	if row.Checkpoint != "" && row.Checkpoint != r.task.checkpoint && !r.superseded {
		r.task.checkpoint, r.task.checkpointAt = row.Checkpoint, now
	}
}

func (r *run) job() *job { return r.task.step.occurrence.job }

// handleRefusal settles a run that the worker is not running and will not start.
func (p *Planner) handleRefusal(now time.Duration, r *run, refusal chestnutpond.Refusal) {
	w := r.worker
	if refusal == chestnutpond.RefusedTicket {
		// The ticket has expired, which is no fault of the worker.
		delete(r.task.step.advice.workers, w.id)
	} else {
		w.health.recordRefusal(now, refusal)
	}
	p.settle(now, r, chestnutpond.RunStopped, "")
}
