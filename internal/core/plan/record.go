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
		r, err := graph.StateRecord(j.graph.ID, p.encode(j))
		if err != nil {
			return Batch{}, err
		}
		b.Records = append(b.Records, r)
		size += len(r.Value)
		j.dirty, j.batch = false, p.lastBatch
		for _, r := range j.runs() {
			if r.phase == runDecided {
				r.batch = p.lastBatch
			}
		}
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
	lives := map[chestnutpond.WorkerIncarnation]int32{}
	index := func(l chestnutpond.WorkerIncarnation) int32 {
		if i, ok := lives[l]; ok {
			return i
		}
		s.Lives = append(s.Lives, &inner.LifeRow{Id: l.ID, Born: l.StartedMs, Agent: p.worker(l.ID).agent})
		lives[l] = int32(len(s.Lives))
		return lives[l]
	}
	for _, o := range j.occurrences {
		row := &inner.OccurrenceRow{Number: int32(o.number), Done: o.done}
		if !o.done {
			for _, st := range o.steps {
				row.Steps = append(row.Steps, encodeStep(st, index))
			}
		}
		s.Occurrences = append(s.Occurrences, row)
	}
	return s
}

func encodeStep(st *step, index func(chestnutpond.WorkerIncarnation) int32) *inner.StepRow {
	row := &inner.StepRow{Done: st.done, Failures: int32(st.failures)}
	if st.done {
		return row
	}
	for _, t := range st.tasks {
		tr := &inner.TaskRow{
			State: int32(t.phase), Run: t.lastRun, Failures: int32(t.failures), Checkpoint: t.checkpoint,
		}
		if t.current != nil {
			tr.Worker = index(t.current.life)
			tr.Run, tr.StartCheckpoint = t.current.number, t.current.checkpoint
		}
		row.Tasks = append(row.Tasks, tr)
	}
	return row
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
		p.loadState(j, s)
	}
	if from.Cancelled && !j.phase.Final() {
		p.finish(p.cfg.ClaimedAt, j, chestnutpond.JobCancelled, "cancelled by its caller")
	}
	p.checkSettled(p.cfg.ClaimedAt, j)
	if !j.settled || j.dirty {
		p.activate(j)
	}
}

func (p *Planner) loadState(j *job, s *inner.StateRecord) {
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
	if j.settled {
		return
	}
	for _, row := range s.GetOccurrences() {
		o := j.newOccurrence(int(row.GetNumber()))
		o.done = row.GetDone()
		for i, stepRow := range row.GetSteps() {
			if i < len(o.steps) {
				p.loadStep(o.steps[i], stepRow, s.GetLives())
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
	for i, tr := range row.GetTasks() {
		if i >= len(st.tasks) {
			return
		}
		t := st.tasks[i]
		t.lastRun, t.failures, t.checkpoint = tr.GetRun(), int(tr.GetFailures()), tr.GetCheckpoint()
		t.phase = taskPhase(tr.GetState())
		if n := int(tr.GetWorker()); n > 0 && n <= len(lives) {
			p.loadRun(t, lives[n-1], tr.GetStartCheckpoint())
		}
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
