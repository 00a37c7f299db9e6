package stand

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// KeyedStore is an in-memory store of keyed topics. It keeps the newest record
// of each key for ever and a bounded log. Faults are set per caller with Caller.
type KeyedStore struct {
	// Delay is the time that a call takes.
	Delay time.Duration
	// MaxRecord and MaxCall bound a record and the records of a call in bytes; larger ones
	// are rejected. Zero means no bound.
	MaxRecord, MaxCall int

	mu     sync.Mutex
	topics map[chestnutpond.Topic]*keyedTopic
	// appended is closed and replaced with each append.
	appended chan struct{}
	// down makes every call of everybody fail.
	down chestnutpond.StoreFault
	// unreadable is the topic whose reads fail; empty means none.
	unreadable chestnutpond.Topic
	// deaf leaves reads that wait without an answer.
	deaf bool
}

type keyedTopic struct {
	// records begin at offset first.
	records   []chestnutpond.KeyedRecord
	first     int64
	newest    map[string]chestnutpond.KeyedRecord
	producers map[string]*producerState
}

type producerState struct {
	epoch, sequence int64
	started         bool
	// answers has the offsets of the newest appends by sequence.
	answers map[int64]int64
}

// NewKeyedStore returns an empty store.
func NewKeyedStore() *KeyedStore {
	return &KeyedStore{topics: map[chestnutpond.Topic]*keyedTopic{}, appended: make(chan struct{})}
}

// SetDown makes every call fail with the fault; the empty fault ends that.
func (s *KeyedStore) SetDown(f chestnutpond.StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = f
}

// SetDeaf leaves reads that wait for records without an answer, as if watches had
// been lost; all other calls are served.
func (s *KeyedStore) SetDeaf(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = on
}

// Trim drops the log of a topic; the newest record of each key stays.
func (s *KeyedStore) Trim(topic chestnutpond.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first += int64(len(t.records))
	t.records = nil
}

// Records returns the newest record of each key.
func (s *KeyedStore) Records(topic chestnutpond.Topic) map[string]chestnutpond.KeyedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]chestnutpond.KeyedRecord{}
	for key, r := range s.topic(topic).newest {
		all[key] = r
	}
	return all
}

func (s *KeyedStore) topic(name chestnutpond.Topic) *keyedTopic {
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{newest: map[string]chestnutpond.KeyedRecord{}, producers: map[string]*producerState{}}
		s.topics[name] = t
	}
	return t
}

func (t *keyedTopic) end() int64 { return t.first + int64(len(t.records)) }

// SetDelay changes the time that a call takes while calls are made.
func (s *KeyedStore) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Delay = d
}

func (s *KeyedStore) pause(ctx context.Context) error {
	s.mu.Lock()
	delay := s.Delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: ctx.Err()}
		case <-time.After(delay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != "" {
		return &chestnutpond.StoreError{Fault: s.down}
	}
	return nil
}

// Append implements chestnutpond.Store.
func (s *KeyedStore) Append(ctx context.Context, topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	if err := s.pause(ctx); err != nil {
		return 0, err
	}
	return s.appendNow(topic, a)
}

func (s *KeyedStore) appendNow(topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkSize(a.Records); err != nil {
		return 0, err
	}
	t := s.topic(topic)
	if p := a.Producer; p != nil {
		if offset, known, err := t.admit(p); known || err != nil {
			return offset, err
		}
	}
	if a.CheckEnd && a.ExpectedEnd != t.end() {
		return 0, &chestnutpond.StoreError{Fault: chestnutpond.StoreEndMismatch, End: t.end()}
	}
	first := t.end()
	for _, r := range a.Records {
		r.Offset = t.end()
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = r
		}
	}
	if p := a.Producer; p != nil {
		t.accepted(p, first)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first, nil
}

// checkSize rejects records that are too large.
func (s *KeyedStore) checkSize(records []chestnutpond.KeyedRecord) error {
	sum := 0
	for _, r := range records {
		size := 1 + len(r.Key) + len(r.Value)
		sum += size
		if s.MaxRecord > 0 && size > s.MaxRecord || s.MaxCall > 0 && sum > s.MaxCall {
			return &chestnutpond.StoreError{Fault: chestnutpond.StoreRejected, Err: Class.New("record %q: %d of %d bytes", r.Key, size, sum)}
		}
	}
	return nil
}

// admit checks a producer's append; known means that it is a repeat.
func (t *keyedTopic) admit(p *chestnutpond.Producer) (int64, bool, error) {
	state := t.producers[p.Name]
	if state == nil {
		return 0, false, nil
	}
	switch {
	case p.Epoch < state.epoch:
		return 0, false, &chestnutpond.StoreError{Fault: chestnutpond.StoreFenced}
	case p.Epoch > state.epoch:
		return 0, false, nil
	}
	if offset, ok := state.answers[p.Sequence]; ok {
		return offset, true, nil
	}
	if state.started && p.Sequence != state.sequence+1 {
		return 0, false, &chestnutpond.StoreError{Fault: chestnutpond.StoreSequence}
	}
	return 0, false, nil
}

// repeatsKept is the number of a producer's appends whose answers are kept.
const repeatsKept = 5

func (t *keyedTopic) accepted(p *chestnutpond.Producer, first int64) {
	state := t.producers[p.Name]
	if state == nil || p.Epoch > state.epoch {
		state = &producerState{epoch: p.Epoch, answers: map[int64]int64{}}
		t.producers[p.Name] = state
	}
	state.sequence, state.started = p.Sequence, true
	state.answers[p.Sequence] = first
	delete(state.answers, p.Sequence-repeatsKept)
}

// Read implements chestnutpond.Store.
func (s *KeyedStore) Read(ctx context.Context, topic chestnutpond.Topic, from int64, wait time.Duration) (chestnutpond.KeyedBatch, error) {
	if err := s.pause(ctx); err != nil {
		return chestnutpond.KeyedBatch{}, err
	}
	if err := s.readable(topic); err != nil {
		return chestnutpond.KeyedBatch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(topic)
		if from < t.first {
			s.mu.Unlock()
			return chestnutpond.KeyedBatch{}, &chestnutpond.TrimmedError{From: from, First: t.first}
		}
		batch := chestnutpond.KeyedBatch{First: t.first, End: t.end()}
		if from < t.end() {
			batch.Records = append(batch.Records, t.records[from-t.first:]...)
		}
		appended, deaf := s.appended, s.deaf && wait > 0
		s.mu.Unlock()
		if deaf {
			<-ctx.Done()
			return chestnutpond.KeyedBatch{}, &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: ctx.Err()}
		}
		if len(batch.Records) > 0 || wait == 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return chestnutpond.KeyedBatch{}, &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: ctx.Err()}
		case <-timer.C:
			return batch, nil
		case <-appended:
		}
	}
}

// Newest implements chestnutpond.Store. It returns everything on one page.
func (s *KeyedStore) Newest(ctx context.Context, topic chestnutpond.Topic, after string) (chestnutpond.KeyedPage, error) {
	if err := s.pause(ctx); err != nil {
		return chestnutpond.KeyedPage{}, err
	}
	if err := s.readable(topic); err != nil {
		return chestnutpond.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	page := chestnutpond.KeyedPage{End: t.end()}
	for _, key := range sortedKeys(t.newest) {
		if key > after {
			page.Records = append(page.Records, t.newest[key])
		}
	}
	return page, nil
}

// StoreCaller is one process's way to a KeyedStore, with faults of its own.
type StoreCaller struct {
	Store *KeyedStore

	mu sync.Mutex
	// fault fails every call at once; silent leaves every call without an answer.
	fault  chestnutpond.StoreFault
	silent bool
	// stale is the number of idle connections that have gone silent for good. Each call
	// takes one of them, as long as there are any.
	stale int
	// late carries the next appends out after that time and never answers them.
	late  time.Duration
	lateN int
}

var _ chestnutpond.Store = (*StoreCaller)(nil)

// SetFault makes every call fail at once; the empty fault ends that.
func (c *StoreCaller) SetFault(f chestnutpond.StoreFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// SetSilent leaves calls without an answer.
func (c *StoreCaller) SetSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
}

// SetStale leaves the next n calls without an answer, unless CloseIdleConnections is
// called before.
func (c *StoreCaller) SetStale(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = n
}

// CloseIdleConnections makes the next call open a connection.
func (c *StoreCaller) CloseIdleConnections() { c.SetStale(0) }

// LoseNext carries out the next n appends after a time, without an answer.
func (c *StoreCaller) LoseNext(n int, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateN, c.late = n, after
}

func (c *StoreCaller) pass(ctx context.Context) error {
	c.mu.Lock()
	fault, silent := c.fault, c.silent
	if !silent && c.stale > 0 {
		c.stale--
		silent = true
	}
	c.mu.Unlock()
	return fail(ctx, fault, silent)
}

// fail returns the error of a call on a way with the given faults, or nil.
func fail(ctx context.Context, fault chestnutpond.StoreFault, silent bool) error {
	if silent {
		<-ctx.Done()
		return &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: ctx.Err()}
	}
	if fault != "" {
		return &chestnutpond.StoreError{Fault: fault}
	}
	return nil
}

// Append implements chestnutpond.Store.
func (c *StoreCaller) Append(ctx context.Context, topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	if err := c.pass(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	lose := c.lateN > 0
	after := c.late
	if lose {
		c.lateN--
	}
	c.mu.Unlock()
	if lose {
		time.AfterFunc(after, func() {
			// Nobody is there to hear of a failure.
			_, _ = c.Store.appendNow(topic, a)
		})
		<-ctx.Done()
		return 0, &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt, Err: ctx.Err()}
	}
	return c.Store.Append(ctx, topic, a)
}

// Read implements chestnutpond.Store.
func (c *StoreCaller) Read(ctx context.Context, topic chestnutpond.Topic, from int64, wait time.Duration) (chestnutpond.KeyedBatch, error) {
	if err := c.pass(ctx); err != nil {
		return chestnutpond.KeyedBatch{}, err
	}
	return c.Store.Read(ctx, topic, from, wait)
}

// Newest implements chestnutpond.Store.
func (c *StoreCaller) Newest(ctx context.Context, topic chestnutpond.Topic, after string) (chestnutpond.KeyedPage, error) {
	if err := c.pass(ctx); err != nil {
		return chestnutpond.KeyedPage{}, err
	}
	return c.Store.Newest(ctx, topic, after)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
