package graph

import (
	"strings"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the class of this package's errors.
var Error = errs.Class("graph")

// Keys of TopicWork. A prefix is followed by the ID of the job.
const (
	jobPrefix    = "j"
	cancelPrefix = "c"
	statePrefix  = "s"
	partPrefix   = "t"
	leaderKey    = "leader"
	cededKey     = "ceded"
	learnedKey   = "learned"
)

// JobRecord returns the record that accepts a job.
func JobRecord(g *chestnutpond.Graph) (chestnutpond.KeyedRecord, error) {
	r := &inner.JobRecord{
		Id: string(g.ID), Account: g.Account, Payload: g.Payload,
		Terms: encodeTerms(&g.Queue), AcceptedMs: g.Accepted.UnixMilli(),
		Repetitions: int32(g.Schedule.Repetitions),
	}
	if g.Schedule.Repetitions > 0 {
		r.FirstMs = g.Schedule.First.UnixMilli()
		r.EveryMs = g.Schedule.Every.Milliseconds()
	}
	for i := range g.Steps {
		r.Steps = append(r.Steps, encodeStep(&g.Steps[i]))
	}
	return newRecord(jobPrefix+string(g.ID), r)
}

// Canceller says which job a cancellation is for that may be stored before the job's
// acceptance: that of the account, or on the queue, if these are not empty. The zero value is
// for a job that is known.
type Canceller struct {
	Account, Queue string
}

// CancelRecord returns the record that cancels a job at the given time.
func CancelRecord(id chestnutpond.JobID, at time.Time, by Canceller) (chestnutpond.KeyedRecord, error) {
	return newRecord(cancelPrefix+string(id), &inner.CancelRecord{
		CancelledMs: at.UnixMilli(), Account: by.Account, Queue: by.Queue,
	})
}

// StateRecord returns the record of a job's state, which only the leader writes.
func StateRecord(id chestnutpond.JobID, s *inner.StateRecord) (chestnutpond.KeyedRecord, error) {
	return newRecord(statePrefix+string(id), s)
}

// Tombstones returns the tombstones that remove a job. That of the acceptance is the
// first, so that no reader has the acceptance without the cancellation or the state.
func Tombstones(id chestnutpond.JobID) []chestnutpond.KeyedRecord {
	return []chestnutpond.KeyedRecord{
		{Key: jobPrefix + string(id)}, {Key: cancelPrefix + string(id)}, {Key: statePrefix + string(id)},
	}
}

// JobOf returns the ID of the job that a record of the key belongs to; false if it belongs
// to none.
func JobOf(key string) (chestnutpond.JobID, bool) {
	if len(key) < 2 || key == leaderKey || key == cededKey || key == learnedKey {
		return "", false
	}
	id := key[1:]
	if key[:1] == partPrefix {
		id, _, _ = strings.Cut(id, ".")
	}
	return chestnutpond.JobID(id), id != ""
}

// LeaderRecord returns the record by which an entry claims the leadership.
func LeaderRecord(l *inner.LeaderRecord) (chestnutpond.KeyedRecord, error) {
	return newRecord(leaderKey, l)
}

// CededRecord returns the record by which the leader of an epoch confirms that it
// has read a newer claim and grants no more leases.
func CededRecord(epoch int64) (chestnutpond.KeyedRecord, error) {
	return newRecord(cededKey, &inner.CededRecord{Epoch: epoch})
}

// MaxLearned bounds the record of what a leader has learned, in bytes with its key.
const MaxLearned = 32 << 10

// LearnedRecord returns the record of what a leader has learned of durations.
func LearnedRecord(value []byte) chestnutpond.KeyedRecord {
	return chestnutpond.KeyedRecord{Key: learnedKey, Value: value}
}

// IsLearned reports whether a key is that of the record of what a leader has learned.
func IsLearned(key string) bool { return key == learnedKey }

func newRecord(key string, m proto.Message) (chestnutpond.KeyedRecord, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return chestnutpond.KeyedRecord{}, Error.Wrap(err)
	}
	return chestnutpond.KeyedRecord{Key: key, Value: value}, nil
}

func encodeTerms(q *chestnutpond.QueuePolicy) *inner.TermsRecord {
	r := &inner.TermsRecord{
		Name: q.Name, Service: q.Service, Priority: int32(q.Priority), MaxAttempts: int32(q.MaxAttempts),
		Stretch: q.Stretch, TargetLatencyMs: q.TargetLatency.Milliseconds(),
	}
	if q.Advice != nil {
		r.Advised = true
		r.AdviceBaseMs = q.Advice.Base.Milliseconds()
		r.AdvicePerWorkerUs = q.Advice.PerWorker.Microseconds()
		r.AdviceValidMs = q.Advice.Valid.Milliseconds()
	}
	return r
}

func decodeTerms(r *inner.TermsRecord) chestnutpond.QueuePolicy {
	q := chestnutpond.QueuePolicy{
		Name: r.GetName(), Service: r.GetService(), Priority: int(r.GetPriority()),
		MaxAttempts: int(r.GetMaxAttempts()), Stretch: r.GetStretch(),
		TargetLatency: time.Duration(r.GetTargetLatencyMs()) * time.Millisecond,
	}
	if r.GetAdvised() {
		q.Advice = &chestnutpond.AdvicePolicy{
			Base:      time.Duration(r.GetAdviceBaseMs()) * time.Millisecond,
			PerWorker: time.Duration(r.GetAdvicePerWorkerUs()) * time.Microsecond,
			Valid:     time.Duration(r.GetAdviceValidMs()) * time.Millisecond,
		}
	}
	return q
}

// EncodeVector returns the protobuf form of resources.
func EncodeVector(r chestnutpond.Resources) *inner.Vector {
	return &inner.Vector{MilliCpu: int64(r.CPU), MemoryMib: int64(r.Memory), Accelerators: r.Accelerators}
}

// DecodeVector returns the resources that a message holds.
func DecodeVector(v *inner.Vector) chestnutpond.Resources {
	return chestnutpond.Resources{
		CPU: chestnutpond.MilliCPU(v.GetMilliCpu()), Memory: chestnutpond.MiB(v.GetMemoryMib()),
		Accelerators: v.GetAccelerators(),
	}
}

func encodeStep(s *chestnutpond.Step) *inner.StepRecord {
	r := &inner.StepRecord{
		Count: int32(s.Count), Need: EncodeVector(s.Need), EstimateMs: s.Estimate.Milliseconds(),
		Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack, PerWorker: int32(s.PerWorker),
		Checkpointable: s.Checkpointable, Speculative: s.Speculative, Perpetual: s.Perpetual, Image: s.Image,
		TailLatencyMs: s.TailLatency.Milliseconds(), Filler: s.Filler, MaxUnavailable: int32(s.MaxUnavailable),
	}
	for _, a := range s.After {
		r.After = append(r.After, int32(a))
	}
	return r
}

func decodeStep(r *inner.StepRecord) chestnutpond.Step {
	s := chestnutpond.Step{
		Count: int(r.GetCount()), Need: DecodeVector(r.GetNeed()),
		Estimate: time.Duration(r.GetEstimateMs()) * time.Millisecond,
		Gang:     r.GetGang(), SameRack: r.GetSameRack(), Label: r.GetLabel(), DataRack: r.GetDataRack(),
		PerWorker: int(r.GetPerWorker()), Checkpointable: r.GetCheckpointable(), Speculative: r.GetSpeculative(),
		Perpetual: r.GetPerpetual(), Image: r.GetImage(),
		TailLatency: time.Duration(r.GetTailLatencyMs()) * time.Millisecond,
		Filler:      r.GetFiller(), MaxUnavailable: int(r.GetMaxUnavailable()),
	}
	for _, a := range r.GetAfter() {
		s.After = append(s.After, int(a))
	}
	return s
}

// decodeJob decodes and checks the value of a JobRecord.
func decodeJob(value []byte) (*chestnutpond.Graph, error) {
	var r inner.JobRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return nil, Error.Wrap(err)
	}
	g := &chestnutpond.Graph{
		ID: chestnutpond.JobID(r.GetId()), Account: r.GetAccount(), Payload: r.GetPayload(),
		Queue: decodeTerms(r.GetTerms()), Accepted: time.UnixMilli(r.GetAcceptedMs()),
	}
	if r.GetRepetitions() > 0 {
		g.Schedule = chestnutpond.Schedule{
			First:       time.UnixMilli(r.GetFirstMs()),
			Every:       time.Duration(r.GetEveryMs()) * time.Millisecond,
			Repetitions: int(r.GetRepetitions()),
		}
	}
	for _, s := range r.GetSteps() {
		g.Steps = append(g.Steps, decodeStep(s))
	}
	if err := g.Check(); err != nil {
		return nil, Error.Wrap(err)
	}
	return g, nil
}
