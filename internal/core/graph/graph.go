// Package graph folds the records of TopicWork into a table of jobs, and
// implements the encoding of these records.
//
// A record replaces the earlier ones of its key, so the table keeps only the
// newest record of each key by offset. The result is the same however the records
// are split between pages of newest records and reads of the log. A job has three
// keys: the accepted graph, the cancellation, and the state that the leader
// writes. The leader's claim, the confirmation that a former leader has ceded and what
// a leader has learned of durations have keys of their own.
//
// The package does not read any clock.
package graph

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Job is a job as recorded in the log.
type Job struct {
	ID chestnutpond.JobID
	// Graph is nil until the acceptance is applied; records of the other keys may
	// be applied first.
	Graph *chestnutpond.Graph
	// Cancelled means that the job, or a job whose acceptance may still be stored, was
	// cancelled by its account.
	Cancelled bool
	// State is nil until a state written by the leader is applied.
	State *inner.StateRecord
	// Parts has the states of the tasks that the state leaves out. It is nil unless the
	// job has many tasks.
	Parts map[PartRef]Part

	// cancel is the newest cancellation, nil if there is none.
	cancel *inner.CancelRecord

	// The offsets of the newest record of each key, -1 if there is none.
	jobOffset, cancelOffset, stateOffset int64
}

// Source identifies the record that a job's state comes from.
type Source struct {
	Offset int64
	// Epoch is that of the leader who wrote the state, 0 for an acceptance.
	Epoch int64
}

// Source returns the record that the job's state comes from.
func (j *Job) Source() Source {
	if j.State != nil {
		return Source{Offset: j.stateOffset, Epoch: j.State.GetEpoch()}
	}
	return Source{Offset: j.jobOffset}
}

// Phase returns the state of the job that is reported to callers.
func (j *Job) Phase() chestnutpond.JobState {
	if j.State != nil {
		phase := chestnutpond.JobState(j.State.GetPhase())
		if phase.Final() {
			return phase
		}
		if j.Cancelled {
			return chestnutpond.JobCancelled
		}
		return phase
	}
	if j.Cancelled {
		return chestnutpond.JobCancelled
	}
	return chestnutpond.JobQueued
}

// Leader is the newest claim of the leadership.
type Leader struct {
	*inner.LeaderRecord

	Offset int64
}

// Table holds the jobs and the leadership claim. It is not safe for concurrent
// use.
type Table struct {
	jobs   map[chestnutpond.JobID]*Job
	leader Leader
	// ceded is the highest epoch whose leader has confirmed that it grants no more
	// leases.
	ceded int64
	// learned is the newest record of what a leader has learned, nil if there is none.
	learned       []byte
	learnedOffset int64
	// next is the offset of the next record to read.
	next int64
	// unmatched is the number of jobs of which only a cancellation has been applied.
	unmatched int
	// malformed is the number of records that could not be decoded.
	malformed int64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		jobs: map[chestnutpond.JobID]*Job{}, leader: Leader{LeaderRecord: &inner.LeaderRecord{}, Offset: -1},
		learnedOffset: -1,
	}
}

// Job returns a job, or nil if its acceptance has not been applied.
func (t *Table) Job(id chestnutpond.JobID) *Job {
	j := t.jobs[id]
	if j == nil || j.Graph == nil {
		return nil
	}
	return j
}

// Jobs calls f for each job whose acceptance has been applied, in unspecified
// order.
func (t *Table) Jobs(f func(j *Job)) {
	for _, j := range t.jobs {
		if j.Graph != nil {
			f(j)
		}
	}
}

// Leader returns the newest claim. Its epoch is 0 if there is none.
func (t *Table) Leader() Leader { return t.leader }

// Ceded returns the highest epoch whose leader has confirmed that it grants no
// more leases.
func (t *Table) Ceded() int64 { return t.ceded }

// Learned returns the newest record of what a leader has learned of durations, nil if there
// is none. Its content has not been checked.
func (t *Table) Learned() []byte { return t.learned }

// Next returns the offset of the next record to read.
func (t *Table) Next() int64 { return t.next }

// Malformed returns the number of records that could not be decoded.
func (t *Table) Malformed() int64 { return t.malformed }

// Advance marks all records below next as applied.
func (t *Table) Advance(next int64) { t.next = max(t.next, next) }

// Apply applies a record and returns the ID of the job that it changed, or the
// empty ID. A record that is not newer than the newest one of its key has no
// effect, nor has one before Next, which was applied already: its job may have been
// removed since.
func (t *Table) Apply(r chestnutpond.KeyedRecord) (chestnutpond.JobID, error) {
	if r.Offset < t.next {
		return "", nil
	}
	switch r.Key {
	case leaderKey:
		return "", t.applyLeader(r)
	case cededKey:
		return "", t.applyCeded(r)
	case learnedKey:
		return "", t.applyLearned(r)
	}
	id, ok := JobOf(r.Key)
	if !ok {
		t.malformed++
		return "", Error.New("record at offset %d: key %q is not a prefix followed by a job ID", r.Offset, r.Key)
	}
	j := t.jobs[id]
	if j == nil {
		j = &Job{ID: id, jobOffset: -1, cancelOffset: -1, stateOffset: -1}
	}
	alone := j.cancelledAlone()
	changed, err := j.apply(r)
	j.updateCancelled()
	if err != nil {
		t.malformed++
		return "", Error.New("record at offset %d, key %q: %v", r.Offset, r.Key, err)
	}
	if !changed {
		return "", nil
	}
	t.jobs[id] = j
	t.countCancelled(alone, j)
	if j.empty() {
		delete(t.jobs, id)
	}
	return id, nil
}

// empty reports whether no record of the job is left.
func (j *Job) empty() bool {
	return j.Graph == nil && j.cancel == nil && j.State == nil && len(j.Parts) == 0
}

// updateCancelled sets Cancelled.
func (j *Job) updateCancelled() {
	j.Cancelled = j.cancel != nil && (j.Graph == nil || cancels(j.cancel, j.Graph))
}

// cancels reports whether a cancellation is for the job.
func cancels(c *inner.CancelRecord, g *chestnutpond.Graph) bool {
	known := c.GetAccount() == "" && c.GetQueue() == ""
	return known || c.GetAccount() != "" && c.GetAccount() == g.Account || c.GetQueue() != "" && c.GetQueue() == g.Queue.Name
}

// cancelledAlone reports whether the cancellation is the only record of the job.
func (j *Job) cancelledAlone() bool {
	return j.cancel != nil && j.Graph == nil && j.State == nil && len(j.Parts) == 0
}

// countCancelled updates the number of cancellations without a job after a change of a job.
func (t *Table) countCancelled(before bool, j *Job) {
	switch after := j.cancelledAlone(); {
	case after && !before:
		t.unmatched++
	case before && !after:
		t.unmatched--
	}
}

// UnmatchedCancels returns the number of cancellations of jobs whose acceptance has not been
// applied.
func (t *Table) UnmatchedCancels() int { return t.unmatched }

// ExpiredCancels returns the tombstones of such cancellations that are older than the given
// time, in order, at most limit of them.
func (t *Table) ExpiredCancels(before time.Time, limit int) []chestnutpond.KeyedRecord {
	var ids []chestnutpond.JobID
	for id, j := range t.jobs {
		if j.cancelledAlone() && j.cancel.GetCancelledMs() < before.UnixMilli() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var records []chestnutpond.KeyedRecord
	for _, id := range ids[:min(len(ids), limit)] {
		records = append(records, chestnutpond.KeyedRecord{Key: cancelPrefix + string(id)})
	}
	return records
}

func (j *Job) apply(r chestnutpond.KeyedRecord) (bool, error) {
	switch prefix := r.Key[:1]; {
	case prefix == jobPrefix && r.Offset > j.jobOffset:
		if len(r.Value) == 0 {
			j.Graph, j.jobOffset = nil, r.Offset
			return true, nil
		}
		g, err := decodeJob(r.Value)
		if err != nil {
			return false, err
		}
		if j.Graph == nil {
			// A repeated acceptance differs only in its time; keep the first.
			j.Graph = g
		}
		j.jobOffset = r.Offset
		return true, nil
	case prefix == cancelPrefix && r.Offset > j.cancelOffset:
		var c *inner.CancelRecord
		if len(r.Value) > 0 {
			c = &inner.CancelRecord{}
			if err := proto.Unmarshal(r.Value, c); err != nil {
				return false, err
			}
		}
		j.cancel, j.cancelOffset = c, r.Offset
		return true, nil
	case prefix == statePrefix && r.Offset > j.stateOffset:
		if len(r.Value) == 0 {
			j.State, j.stateOffset = nil, r.Offset
			return true, nil
		}
		s := &inner.StateRecord{}
		if err := proto.Unmarshal(r.Value, s); err != nil {
			return false, err
		}
		j.State, j.stateOffset = s, r.Offset
		return true, nil
	case prefix == partPrefix:
		return j.applyPart(r)
	case strings.Contains(jobPrefix+cancelPrefix+statePrefix, prefix):
		return false, nil
	}
	return false, Error.New("unknown key prefix; want that of a job, cancel, state or tasks record")
}

// Retain removes what the records before the offset end have put into the table and what
// is under none of the given keys: such records were removed while the table was not told.
// It returns the jobs that it changed.
func (t *Table) Retain(keys map[string]bool, end int64) []chestnutpond.JobID {
	var changed []chestnutpond.JobID
	if t.learnedOffset < end && !keys[learnedKey] {
		t.learned = nil
	}
	for id, j := range t.jobs {
		alone := j.cancelledAlone()
		removed := j.retainParts(keys, end)
		if j.Graph != nil && gone(keys, jobPrefix, id, j.jobOffset, end) {
			j.Graph, removed = nil, true
		}
		if j.cancel != nil && gone(keys, cancelPrefix, id, j.cancelOffset, end) {
			j.cancel, removed = nil, true
		}
		if j.State != nil && gone(keys, statePrefix, id, j.stateOffset, end) {
			j.State, removed = nil, true
		}
		if !removed {
			continue
		}
		changed = append(changed, id)
		j.updateCancelled()
		t.countCancelled(alone, j)
		if j.empty() {
			delete(t.jobs, id)
		}
	}
	return changed
}

// gone reports whether a job's record before the offset end is under none of the keys.
func gone(keys map[string]bool, prefix string, id chestnutpond.JobID, offset, end int64) bool {
	return offset >= 0 && offset < end && !keys[prefix+string(id)]
}

func (t *Table) applyCeded(r chestnutpond.KeyedRecord) error {
	c := &inner.CededRecord{}
	if err := proto.Unmarshal(r.Value, c); err != nil {
		t.malformed++
		return Error.New("record at offset %d: decode CededRecord: %v", r.Offset, err)
	}
	if err := checkEpoch(c.GetEpoch()); err != nil {
		t.malformed++
		return Error.New("record at offset %d: %v", r.Offset, err)
	}
	t.ceded = max(t.ceded, c.GetEpoch())
	return nil
}

// applyLearned keeps the newest record; one that is too large counts as none.
func (t *Table) applyLearned(r chestnutpond.KeyedRecord) error {
	if r.Offset <= t.learnedOffset {
		return nil
	}
	t.learned, t.learnedOffset = nil, r.Offset
	if r.Size() > MaxLearned {
		t.malformed++
		return Error.New("record at offset %d, key %q: %d bytes; allowed are %d", r.Offset, r.Key, r.Size(), MaxLearned)
	}
	if len(r.Value) > 0 {
		t.learned = r.Value
	}
	return nil
}

func (t *Table) applyLeader(r chestnutpond.KeyedRecord) error {
	if r.Offset <= t.leader.Offset {
		return nil
	}
	l := &inner.LeaderRecord{}
	if err := proto.Unmarshal(r.Value, l); err != nil {
		t.malformed++
		return Error.New("record at offset %d: decode LeaderRecord: %v", r.Offset, err)
	}
	if err := checkEpoch(l.GetEpoch()); err != nil {
		t.malformed++
		return Error.New("record at offset %d: %v", r.Offset, err)
	}
	t.leader = Leader{LeaderRecord: l, Offset: r.Offset}
	return nil
}

// maxEpoch bounds the epochs of leaders. Fencing tokens are multiples of them.
const maxEpoch = 1 << 40

func checkEpoch(epoch int64) error {
	if epoch < 1 || epoch > maxEpoch {
		return Error.New("epoch is %d; allowed are 1 to %d", epoch, int64(maxEpoch))
	}
	return nil
}
