package plan

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Batch is a set of changes to store.
type Batch struct {
	// Records must be stored before BatchStored is called.
	Records []chestnutpond.KeyedRecord

	number int64
	// applied has the newest ended run that was applied from each worker.
	applied []appliedEnd
}

type appliedEnd struct {
	worker   *worker
	life     chestnutpond.WorkerIncarnation
	sequence int64
}

// Empty reports whether there is nothing to store and nothing to acknowledge.
func (b *Batch) Empty() bool { return len(b.Records) == 0 && len(b.applied) == 0 }

// WithoutEnds returns a batch that acknowledges no ended runs. The next one does.
func (b Batch) WithoutEnds() Batch {
	b.applied = nil
	return b
}

// WithRecords returns a batch that stores further records.
func (b Batch) WithRecords(records []chestnutpond.KeyedRecord) Batch {
	b.Records = slices.Concat(b.Records, records)
	return b
}

// maxBatchBytes limits the size of the records of a batch; the store accepts 2 MiB
// per call.
const maxBatchBytes = 1 << 20

// TakeBatch returns the records of what changed since the last call, as many as fit in
// one append.
func (p *Planner) TakeBatch(wall time.Time) (Batch, error) {
	p.lastBatch++
	b := Batch{number: p.lastBatch}
	size := 0
	complete := true
	for _, j := range p.active {
		if !j.dirty {
			continue
		}
		if size > maxBatchBytes {
			complete = false
			break
		}
		if j.phase.Final() && j.ended.IsZero() {
			j.ended = wall
		}
		records, all, err := p.records(j, maxBatchBytes-size)
		if err != nil {
			return Batch{}, err
		}
		for _, r := range records {
			size += r.Size()
		}
		b.Records = append(b.Records, records...)
		j.dirty = !all
		complete = complete && all
	}
	if complete {
		for _, w := range p.sortedWorkers {
			if w.appliedSeq > w.storedSeq {
				b.applied = append(b.applied, appliedEnd{w, w.life, w.appliedSeq})
			}
		}
	}
	b.Records = append(b.Records, p.purge(wall)...)
	return b, nil
}

// records returns the records of what changed of a job, about as many as fit in the given
// size; the second result is false if they are not all.
func (p *Planner) records(j *job, size int) ([]chestnutpond.KeyedRecord, bool, error) {
	state, err := graph.StateRecord(j.graph.ID, p.encode(j))
	if err != nil {
		return nil, false, err
	}
	records := []chestnutpond.KeyedRecord{state}
	if j.split {
		return p.addParts(j, records, size-state.Size())
	}
	for _, r := range j.runs() {
		p.markRecorded(r)
	}
	return records, true, nil
}

// markRecorded records that the current batch has the record of a run.
func (p *Planner) markRecorded(r *run) {
	if r.phase == runDecided {
		r.batch = p.lastBatch
	}
}

// BatchStored records that a batch is in the store. The starts in it then appear in
// Orders, and its ended runs are acknowledged.
func (p *Planner) BatchStored(b Batch) {
	for _, end := range b.applied {
		if end.worker.life == end.life && end.worker.storedSeq < end.sequence {
			end.worker.storedSeq = end.sequence
			end.worker.version++
		}
	}
	for _, w := range p.sortedWorkers {
		for _, r := range w.runs {
			if r.phase == runDecided && r.batch > 0 && r.batch <= b.number {
				r.phase = runOrdered
				w.version++
			}
		}
	}
}

// SetApart ends a job whose record the store rejects, in a record that holds none of its
// tasks. The job's runs are stopped.
func (p *Planner) SetApart(now time.Duration, id chestnutpond.JobID) {
	j := p.jobs[id]
	if j == nil || j.apart {
		return
	}
	j.apart, j.dirty = true, true
	if !j.phase.Final() {
		p.finish(now, j, chestnutpond.JobFailed, "its state exceeds what the store accepts")
	}
	p.checkSettled(now, j)
}

// maxPurged limits the jobs that a batch removes.
const maxPurged = 1000

// purge removes settled jobs whose retention time is over, and returns the records
// that delete them.
func (p *Planner) purge(wall time.Time) []chestnutpond.KeyedRecord {
	var old []chestnutpond.JobID
	for id, j := range p.jobs {
		if j.settled && !j.dirty && !j.ended.IsZero() && wall.Sub(j.ended) >= p.cfg.Retention+purgeMargin {
			old = append(old, id)
		}
	}
	slices.Sort(old)
	old = old[:min(len(old), maxPurged)]
	var records []chestnutpond.KeyedRecord
	for _, id := range old {
		records = append(records, graph.Tombstones(id)...)
		j := p.jobs[id]
		p.note(Note{Kind: NoteRemoved, Job: id, Queue: j.graph.Queue.Name, State: j.phase, Took: wall.Sub(j.ended), Source: j.source})
		delete(p.jobs, id)
	}
	return records
}

// encode returns the record of a job's state.
func (p *Planner) encode(j *job) *inner.StateRecord {
	s := &inner.StateRecord{Epoch: p.cfg.Epoch, Phase: string(j.phase), Reason: j.reason, Settled: j.settled}
	if !j.started && j.phase == chestnutpond.JobRunning {
		s.Phase = string(chestnutpond.JobStarting)
	}
	if !j.ended.IsZero() {
		s.EndedMs = j.ended.UnixMilli()
	}
	if j.settled || j.apart {
		return s
	}
	lives := p.newLifeIndex()
	for _, o := range j.occurrences {
		row := &inner.OccurrenceRow{Number: int32(o.number), Done: o.done}
		if !o.done {
			for _, st := range o.steps {
				step := &inner.StepRow{Done: st.done, Failures: int32(st.failures)}
				if !st.done && !j.split {
					step.Tasks = lives.encodeTasks(st.tasks)
				}
				row.Steps = append(row.Steps, step)
			}
		}
		s.Occurrences = append(s.Occurrences, row)
	}
	s.Lives = lives.rows
	return s
}

// lifeIndex numbers the incarnations of workers that a record names, from 1.
type lifeIndex struct {
	planner *Planner
	numbers map[chestnutpond.WorkerIncarnation]int32
	rows    []*inner.LifeRow
}

func (p *Planner) newLifeIndex() *lifeIndex {
	return &lifeIndex{planner: p, numbers: map[chestnutpond.WorkerIncarnation]int32{}}
}

func (x *lifeIndex) number(l chestnutpond.WorkerIncarnation) int32 {
	if n, ok := x.numbers[l]; ok {
		return n
	}
	x.rows = append(x.rows, &inner.LifeRow{Id: l.ID, Born: l.StartedMs, Agent: x.planner.worker(l.ID).agent})
	x.numbers[l] = int32(len(x.rows))
	return x.numbers[l]
}

// encodeTasks returns the rows of tasks.
func (x *lifeIndex) encodeTasks(tasks []*task) []*inner.TaskRow {
	rows := make([]*inner.TaskRow, 0, len(tasks))
	for _, t := range tasks {
		row := &inner.TaskRow{
			State: int32(t.phase), Run: t.lastRun, Failures: int32(t.failures), Checkpoint: t.checkpoint,
		}
		if t.current != nil {
			row.Worker = x.number(t.current.life)
			row.Run, row.StartCheckpoint = t.current.number, t.current.checkpoint
		} else if t.phase == taskWaiting && !t.heldUntil.IsZero() {
			row.HeldUntilMs = t.heldUntil.UnixMilli()
		}
		rows = append(rows, row)
	}
	return rows
}

// Load adds a job from the stored table. It does nothing if the planner has the job already.
func (p *Planner) Load(from *graph.Job) {
	g := from.Graph
	if p.jobs[g.ID] != nil {
		return
	}
	j := newJob(g)
	j.source = from.Source()
	p.jobs[g.ID] = j
	if s := from.State; s != nil {
		p.loadState(j, s, from.Parts)
	}
	if from.Cancelled && !j.phase.Final() {
		p.finish(p.cfg.ClaimedAt, j, chestnutpond.JobCancelled, "cancelled by its caller")
	}
	p.checkSettled(p.cfg.ClaimedAt, j)
	if !j.settled || j.dirty {
		p.activate(j)
	}
}

func (p *Planner) loadState(j *job, s *inner.StateRecord, parts map[graph.PartRef]graph.Part) {
	j.phase, j.reason, j.settled = chestnutpond.JobState(s.GetPhase()), s.GetReason(), s.GetSettled()
	switch j.phase {
	case chestnutpond.JobStarting:
		j.phase = chestnutpond.JobRunning
	case chestnutpond.JobRunning:
		j.started = true
	}
	if s.GetEndedMs() > 0 {
		j.ended = time.UnixMilli(s.GetEndedMs())
	}
	j.loadParts(parts)
	if j.settled {
		// Parts that are left are removed.
		j.dirty = len(j.parts) > 0
		return
	}
	for _, row := range s.GetOccurrences() {
		o := j.newOccurrence(int(row.GetNumber()))
		o.done = row.GetDone()
		for i, stepRow := range row.GetSteps() {
			if i < len(o.steps) {
				p.loadStep(o.steps[i], stepRow, s.GetLives())
				p.loadStepParts(o.steps[i], parts)
			}
		}
		if o.done {
			for _, st := range o.steps {
				st.markDone()
			}
		}
		j.occurrences = append(j.occurrences, o)
	}
}

// markDone marks a step and its tasks as done.
func (s *step) markDone() {
	s.done, s.open = true, true
	for _, t := range s.tasks {
		t.phase = taskDone
	}
}

func (p *Planner) loadStep(st *step, row *inner.StepRow, lives []*inner.LifeRow) {
	st.failures = int(row.GetFailures())
	if row.GetDone() {
		st.markDone()
		return
	}
	j := st.occurrence.job
	j.wholeState = j.wholeState || j.split && len(row.GetTasks()) > 0
	p.loadTasks(st.tasks, row.GetTasks(), lives)
}

// loadTasks loads the states of tasks from their rows.
func (p *Planner) loadTasks(tasks []*task, rows []*inner.TaskRow, lives []*inner.LifeRow) {
	for i, row := range rows {
		if i >= len(tasks) {
			return
		}
		t := tasks[i]
		t.lastRun, t.failures, t.checkpoint = row.GetRun(), int(row.GetFailures()), row.GetCheckpoint()
		t.phase = taskPhase(row.GetState())
		p.loadHold(t, row.GetHeldUntilMs())
		if n := int(row.GetWorker()); n > 0 && n <= len(lives) {
			p.loadRun(t, lives[n-1], row.GetStartCheckpoint())
		}
	}
}

// loadHold loads until when a task may not run again. No hold is longer than an unanswered start
// call may be carried out, whatever the wall clocks say.
func (p *Planner) loadHold(t *task, heldUntilMs int64) {
	if heldUntilMs == 0 {
		return
	}
	t.heldUntil = time.UnixMilli(heldUntilMs)
	if left := min(t.heldUntil.Sub(p.wall), maxOrderDelay); left > 0 {
		t.notBefore = p.decidedAt + left
	}
}

// loadRun adopts a run that a former leader may have ordered.
func (p *Planner) loadRun(t *task, l *inner.LifeRow, checkpoint string) {
	w := p.worker(l.GetId())
	if w.agent == "" {
		w.agent = l.GetAgent()
	}
	r := &run{
		task: t, number: t.lastRun, worker: w, life: chestnutpond.WorkerIncarnation{ID: l.GetId(), StartedMs: l.GetBorn()},
		phase: runOrdered, sent: true, need: t.step.def.Reserved(), checkpoint: checkpoint,
		assigned: p.cfg.ClaimedAt,
		// A former leader may have throttled it.
		paced: t.step.def.Filler,
	}
	t.current, t.phase = r, taskAssigned
	if t.step.occurrence.job.phase.Final() {
		r.stopping, r.stoppingSince = true, p.cfg.ClaimedAt
	}
	w.add(r)
}
