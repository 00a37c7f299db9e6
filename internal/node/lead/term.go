package lead

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// producerName is the producer of all records that only the leader writes.
const producerName = "leader"

// appendRetryDelay is the delay before a failed append is retried.
const appendRetryDelay = 50 * time.Millisecond

// term is a period in which this entry leads.
type term struct {
	epoch   int64
	nonce   string
	planner *plan.Planner
	// formerGrantsEnd is the time until which former leaders may grant leases.
	formerGrantsEnd time.Duration
	// earlierGrantsEnd is the same for the leaders before the previous one.
	earlierGrantsEnd time.Duration

	// appendToken holds a token while no append is in progress.
	appendToken chan struct{}
	// sequence is the sequence number of the last append of the epoch.
	sequence int64
	// inDoubt has the records of the last append while it is unknown whether they
	// were stored. That append is repeated before another one.
	inDoubt []chestnutpond.KeyedRecord
	// startsHeld means that no starts are handed out. It is guarded by the manager's lock.
	startsHeld bool
	// lastHeartbeat is when the leader record was last appended.
	lastHeartbeat time.Duration
	// learnedAt is when the record of what has been learned was last appended, at first the
	// beginning of the term. It is guarded by the append token, as is learnedRejected, which
	// means that the store rejected it.
	learnedAt       time.Duration
	learnedRejected bool

	// forecast is guarded by the manager's lock, except for its forecaster.
	forecast forecast

	// cancelsCheckedAt is when expired cancellations were last looked for. It is guarded by
	// the manager's lock.
	cancelsCheckedAt time.Duration

	// confirmedAt is when the newest call by which the store confirmed the claim
	// was sent. It is guarded by the manager's lock.
	confirmedAt time.Duration
}

// returnAppendToken allows the next append.
func (t *term) returnAppendToken() { t.appendToken <- struct{}{} }

// append stores records of the term. While the outcome is unknown, it repeats the
// append with the same sequence number, so the records are stored once. It fails
// when the context ends or another entry has claimed.
func (t *term) append(ctx context.Context, store chestnutpond.Store, records []chestnutpond.KeyedRecord) error {
	if t.inDoubt != nil {
		if err := t.appendWithRetry(ctx, store, t.inDoubt); err != nil {
			return err
		}
		t.inDoubt = nil
	}
	t.inDoubt = records
	err := t.appendWithRetry(ctx, store, records)
	if err == nil || isRejected(err) {
		// A rejected append is never carried out.
		t.inDoubt = nil
	}
	return err
}

// appendAccepted is append. If the store rejects the records, it stores those that the
// store accepts by themselves, and returns the others.
func (t *term) appendAccepted(ctx context.Context, store chestnutpond.Store, records []chestnutpond.KeyedRecord) ([]chestnutpond.KeyedRecord, error) {
	err := t.append(ctx, store, records)
	if err == nil || !isRejected(err) {
		return nil, err
	}
	if len(records) == 1 {
		return records, nil
	}
	half := len(records) / 2
	rejected, err := t.appendAccepted(ctx, store, records[:half])
	if err != nil {
		return nil, err
	}
	more, err := t.appendAccepted(ctx, store, records[half:])
	return append(rejected, more...), err
}

// isRejected reports whether the store rejected an append as invalid.
func isRejected(err error) bool {
	var failed *chestnutpond.StoreError
	return errors.As(err, &failed) && failed.Fault == chestnutpond.StoreRejected
}

func (t *term) appendWithRetry(ctx context.Context, store chestnutpond.Store, records []chestnutpond.KeyedRecord) error {
	a := chestnutpond.KeyedAppend{
		Records:  records,
		Producer: &chestnutpond.Producer{Name: producerName, Epoch: t.epoch, Sequence: t.sequence + 1},
	}
	for {
		_, err := store.Append(ctx, chestnutpond.TopicWork, a)
		if err == nil {
			t.sequence++
			return nil
		}
		var failed *chestnutpond.StoreError
		if errors.As(err, &failed) {
			switch failed.Fault {
			case chestnutpond.StoreFenced, chestnutpond.StoreSequence, chestnutpond.StoreRejected:
				return err
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(appendRetryDelay):
		}
	}
}

const (
	// roundPauseFactor times the duration of a round is the pause before the next
	// one, because the processor also has to handle reports and client calls.
	roundPauseFactor = 2
	// maxRoundPause bounds that pause.
	maxRoundPause = 50 * time.Millisecond
)

// failedRoundPause is how long an entry waits after a round that panicked. Another entry
// has claimed by then.
const failedRoundPause = 3 * time.Second

// runRound runs one round of the term. A round that panics ends the term, because its
// planner may be inconsistent; the state of the next one comes from the store.
func (m *Manager) runRound(ctx context.Context) {
	if m.cfg.Guard.Run(func() { m.round(ctx) }) {
		return
	}
	m.mu.Lock()
	m.stepDown("a round failed")
	m.mu.Unlock()
	pause(ctx, failedRoundPause)
}

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// round makes scheduling decisions, stores the changes and sends out the orders.
func (m *Manager) round(ctx context.Context) {
	now, wall := m.cfg.Now(), m.cfg.WallClock()
	t, batch, notes, err := m.decide(now, wall)
	if t == nil {
		return
	}
	took := m.since(now)
	m.meters.decide.Observe(took)
	m.updateForecast(t, now, wall)
	m.signalAdvice()
	m.logNotes(t.epoch, notes)
	if err != nil {
		m.cfg.Log.Error("cannot encode the records of a round", "error", err)
		return
	}
	rejected, err := m.storeRecords(ctx, t, now, batch.Records)
	if err != nil {
		m.loseTerm(ctx, t, err)
		return
	}
	if len(rejected) > 0 {
		m.setApart(t, rejected)
		// The ends that the rejected records hold are not stored.
		batch = batch.WithoutEnds()
	}
	m.batchStored(t, batch)
	pause(ctx, min(roundPauseFactor*took, maxRoundPause))
}

// decide makes the decisions of a round and returns what is to be stored and logged. The
// term is nil if this entry does not lead.
func (m *Manager) decide(now time.Duration, wall time.Time) (*term, plan.Batch, []plan.Note, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.term
	if t == nil {
		return nil, plan.Batch{}, nil, nil
	}
	t.planner.ExpireLeases(now)
	m.holdStarts(t, now)
	t.planner.Decide(now, wall)
	batch, err := t.planner.TakeBatch(wall)
	batch = batch.WithRecords(m.expiredCancels(t, now, wall))
	notes := t.planner.Notes()
	m.measureForecast(t, notes)
	m.meters.setCounts(t.planner.Counts(now))
	m.meters.learnedGroups.Update(int64(t.planner.LearnedGroups()))
	m.meters.agents.Update(int64(m.reportingAgents()))
	m.meters.setEvacuated(t.planner.EvacuatedRuns())
	m.wakeChangedStreams()
	return t, batch, notes, err
}

const (
	// cancelRetention is how long a cancellation waits for the acceptance of its job, in
	// addition to the retention of jobs. The platform carries an append out at most 12 s
	// late.
	cancelRetention = 30 * time.Second
	// cancelCheckInterval is the time between two checks for expired cancellations, each of
	// which looks at all jobs.
	cancelCheckInterval = 5 * time.Second
	// maxExpiredCancels limits the cancellations that a check removes.
	maxExpiredCancels = 1000
)

// expiredCancels returns the tombstones of cancellations whose jobs were never accepted. The
// lock is held.
func (m *Manager) expiredCancels(t *term, now time.Duration, wall time.Time) []chestnutpond.KeyedRecord {
	if m.table.UnmatchedCancels() == 0 || now-t.cancelsCheckedAt < cancelCheckInterval {
		return nil
	}
	t.cancelsCheckedAt = now
	return m.table.ExpiredCancels(wall.Add(-m.cfg.Retention-cancelRetention), maxExpiredCancels)
}

// batchStored has the orders of a stored batch sent out.
func (m *Manager) batchStored(t *term, batch plan.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == t {
		t.planner.BatchStored(batch)
		m.wakeChangedStreams()
	}
}

// setApart has the planner set the jobs apart whose records the store rejected, so that
// they hold up no others.
func (m *Manager) setApart(t *term, rejected []chestnutpond.KeyedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rejected {
		id, _ := graph.JobOf(r.Key)
		m.cfg.Log.Error("record rejected by the store, its job is set apart", "job", id, "key", r.Key, "bytes", r.Size(), "epoch", t.epoch)
		m.meters.rejected.Inc(1)
		if m.term == t {
			t.planner.SetApart(m.cfg.Now(), id)
		}
	}
}

// storeRecords appends the records, and the leader record when a heartbeat is due. It
// returns the records that the store rejects.
func (m *Manager) storeRecords(ctx context.Context, t *term, now time.Duration, records []chestnutpond.KeyedRecord) ([]chestnutpond.KeyedRecord, error) {
	<-t.appendToken
	defer t.returnAppendToken()
	changes := len(records)
	if now-t.lastHeartbeat >= heartbeatInterval {
		heartbeat, err := graph.LeaderRecord(&inner.LeaderRecord{
			Epoch: t.epoch, Entry: m.cfg.Self, Boot: m.cfg.Boot, Nonce: t.nonce, Agents: m.countReportingAgents(),
			FormerMs: m.formerGrantsLeft(t).Milliseconds(), Forecast: m.forecastMessage(t),
		})
		if err != nil {
			return nil, err
		}
		records = append(records, heartbeat)
		t.lastHeartbeat = now
	}
	if len(records) == 0 {
		return nil, nil
	}
	records = m.withLearned(t, now, records, changes > 0)
	began := m.cfg.Now()
	rejected, err := t.appendAccepted(ctx, m.cfg.Store, records)
	if err != nil {
		return nil, err
	}
	m.meters.append.Observe(m.since(began))
	if len(rejected) < len(records) {
		m.confirmClaim(t, now)
	}
	rejected = m.withoutLearned(t, rejected)
	for _, r := range rejected {
		if _, ok := graph.JobOf(r.Key); !ok {
			return nil, Error.New("record %q of %d bytes is rejected", r.Key, r.Size())
		}
	}
	return rejected, nil
}

// confirmClaim records that a call that was sent at the given time confirmed the
// claim.
func (m *Manager) confirmClaim(t *term, sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.confirmedAt = max(t.confirmedAt, sent)
}

// formerGrantsLeft returns how much longer former leaders may grant leases.
func (m *Manager) formerGrantsLeft(t *term) time.Duration {
	return max(0, t.formerGrantsEnd-m.cfg.Now())
}

// loseTerm ends the term after another entry's claim made an append fail.
func (m *Manager) loseTerm(ctx context.Context, t *term, err error) {
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == t {
		m.stepDown("store refuses its records: " + err.Error())
	}
}

// mayGrant reports whether leases may be granted: the store has confirmed the claim
// within grantWindow.
func (m *Manager) mayGrant(t *term) bool {
	confirmed := max(t.confirmedAt, m.feed.Status().Fresh)
	return m.cfg.Now()-confirmed < grantWindow
}

func (m *Manager) countReportingAgents() int32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportingAgents()
}

// logNotes logs and counts the decisions of the planner.
func (m *Manager) logNotes(epoch int64, notes []plan.Note) {
	for _, n := range notes {
		m.meters.countNote(n)
		switch n.Kind {
		case plan.NotePredicted:
			m.cfg.Log.Debug("run compared with its prediction", "job", n.Job, "queue", n.Queue, "took", n.Took,
				"median", n.Prediction.Median, "p90", n.Prediction.P90, "samples", n.Prediction.Samples, "epoch", epoch)
		case plan.NoteStarted:
			m.cfg.Log.Info("job began", "job", n.Job, "queue", n.Queue, "waited", n.Took, "epoch", epoch)
		case plan.NoteEnded:
			m.cfg.Log.Info("job ended", "job", n.Job, "queue", n.Queue, "state", n.State, "reason", n.Detail,
				"took", n.Took, "epoch", epoch)
		case plan.NotePlaced:
			m.cfg.Log.Info("run placed", "job", n.Job, "task", n.Task.String(), "run", n.Run, "worker", n.Worker,
				"record", n.Source.Offset, "record_epoch", n.Source.Epoch, "epoch", epoch)
		case plan.NoteRemoved:
			m.cfg.Log.Info("job removed", "job", n.Job, "queue", n.Queue, "state", n.State, "after", n.Took,
				"record", n.Source.Offset, "record_epoch", n.Source.Epoch, "epoch", epoch)
		case plan.NoteWorker:
			m.cfg.Log.Info("worker changed", "worker", n.Worker, "detail", n.Detail, "epoch", epoch)
		default:
			m.cfg.Log.Info("run "+string(n.Kind), "job", n.Job, "task", n.Task.String(), "run", n.Run,
				"worker", n.Worker, "detail", n.Detail, "epoch", epoch)
		}
	}
}
