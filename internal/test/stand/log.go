package stand

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutpond/chestnutpond"
)

const (
	defaultAppendRate = 500
	defaultRetain     = 100_000
	// maxBatch bounds the data of one read in bytes; a single larger record is
	// still returned.
	maxBatch = 4 << 20
)

// LogFaults are the switches of a Log.
type LogFaults struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// Delay passes before a call takes effect. A delayed append takes effect
	// even if its caller has left.
	Delay Duration `json:"delay"`
	// AnswerDelay passes between the effect of an append and its answer.
	AnswerDelay Duration `json:"answer_delay"`
	// LoseAnswers is the number of coming appends that take effect and are
	// never answered; negative means all.
	LoseAnswers int `json:"lose_answers"`
	// AppendRate is the number of appends a second; zero means 500.
	AppendRate float64 `json:"append_rate"`
	// Retain is the number of records kept; zero means 100,000.
	Retain int `json:"retain"`
}

// Log stands in for one stream of the log service.
type Log struct {
	stream string

	mu sync.Mutex
	// records have consecutive offsets.
	records []chestnutpond.Record
	// next is the offset of the next append.
	next    int64
	faults  LogFaults
	limiter *rate.Limiter
	// changed is closed and replaced when records or faults change.
	changed chan struct{}
}

var _ chestnutpond.Log = (*Log)(nil)

// NewLog returns an empty stream of that name.
func NewLog(stream string) *Log {
	return &Log{
		stream:  stream,
		limiter: rate.NewLimiter(defaultAppendRate, defaultAppendRate),
		changed: make(chan struct{}),
	}
}

// Faults returns the switches.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the switches. They apply to calls that wait, too.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	perSecond := f.AppendRate
	if perSecond == 0 {
		perSecond = defaultAppendRate
	}
	if l.limiter.Limit() != rate.Limit(perSecond) {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	l.trim()
	l.notify()
}

// Records returns the retained records.
func (l *Log) Records() []chestnutpond.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

// Append implements chestnutpond.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, &chestnutpond.AppendError{Err: err}
	}
	faults, err := l.admit()
	if err != nil {
		return 0, err
	}
	p := &pendingAppend{log: l, data: slices.Clone(data), done: make(chan struct{})}
	if faults.Delay > 0 {
		time.AfterFunc(time.Duration(faults.Delay), p.apply)
	} else {
		p.apply()
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return 0, &chestnutpond.AppendError{Ambiguous: true, Err: ctx.Err()}
	}
	if p.err != nil {
		return 0, p.err
	}
	if p.lost {
		return 0, &chestnutpond.AppendError{Ambiguous: true, Err: errLost}
	}
	if err := pause(ctx, time.Duration(faults.AnswerDelay)); err != nil {
		return 0, &chestnutpond.AppendError{Ambiguous: true, Err: err}
	}
	return p.offset, nil
}

// Read implements chestnutpond.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (chestnutpond.Batch, error) {
	if err := pause(ctx, time.Duration(l.Faults().Delay)); err != nil {
		return chestnutpond.Batch{}, Class.Wrap(err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait <= 0; ; {
		batch, changed, err := l.batch(from, limit)
		if err != nil || len(batch.Records) > 0 || expired {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return chestnutpond.Batch{}, Class.Wrap(ctx.Err())
		}
	}
}

var (
	errLost    = Class.New("answer lost")
	errOutage  = Class.New("log service down")
	errLimited = Class.New("append rate exceeded")
)

// pendingAppend is an append whose delay may outlast its caller.
type pendingAppend struct {
	log  *Log
	data []byte
	// done is closed after the fields below are set.
	done   chan struct{}
	offset int64
	lost   bool
	err    error
}

func (p *pendingAppend) apply() {
	defer close(p.done)
	l := p.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		p.err = &chestnutpond.AppendError{Err: errOutage}
		return
	}
	p.offset = l.next
	l.records = append(l.records, chestnutpond.Record{Offset: l.next, Data: p.data})
	l.next++
	if l.faults.LoseAnswers != 0 {
		p.lost = true
		l.faults.LoseAnswers = max(-1, l.faults.LoseAnswers-1)
	}
	l.trim()
	l.notify()
}

func (l *Log) admit() (LogFaults, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return l.faults, &chestnutpond.AppendError{Err: errOutage}
	}
	if !l.limiter.Allow() {
		return l.faults, &chestnutpond.AppendError{Limited: true, Err: errLimited}
	}
	return l.faults, nil
}

// batch returns what is there and the channel that tells of a change.
func (l *Log) batch(from int64, limit int) (chestnutpond.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return chestnutpond.Batch{}, nil, errOutage
	}
	first := l.next - int64(len(l.records))
	if from < first {
		return chestnutpond.Batch{}, nil, &chestnutpond.TrimmedError{From: from, First: first}
	}
	batch := chestnutpond.Batch{First: first, Next: l.next}
	size := 0
	for i := from - first; i < int64(len(l.records)) && len(batch.Records) < limit; i++ {
		size += len(l.records[i].Data)
		if size > maxBatch && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, l.records[i])
	}
	return batch, l.changed, nil
}

func (l *Log) trim() {
	retain := l.faults.Retain
	if retain == 0 {
		retain = defaultRetain
	}
	if over := len(l.records) - retain; over > 0 {
		l.records = l.records[over:]
	}
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
