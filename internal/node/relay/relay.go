// Package relay reaches the platform's store by more than one way.
//
// The store may turn some hosts away and serve others. A Store of this package
// makes each call on the process's own way first. If that fails, or leaves the
// call without an answer for longer than usual, it makes the same call through
// another process, whose Server hands it on. Every call may be made twice: reads
// change nothing, and appends either repeat the content of their keys or carry a
// producer's sequence.
//
// A way that failed or fell silent is tried last until a probe beside the calls
// has had an answer, so that no call waits to find out.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	// hedgeDelay is how long a call may go without an answer before it is also
	// made another way. An append takes 4 ms and the way across regions 20 ms; a
	// busy store needs a multiple.
	hedgeDelay = 250 * time.Millisecond
	// readDelay is the same for a read that waits for nothing, and waitDelay for one
	// that waits for records, beyond that wait. Reads change nothing in the store, so
	// they may be made another way sooner.
	readDelay = 80 * time.Millisecond
	waitDelay = 150 * time.Millisecond
	// attemptLimit bounds one attempt beyond the time that a read waits. A store
	// that is slowed down 66 times answers in 300 ms.
	attemptLimit = 1500 * time.Millisecond
	// probeFirst is the time from the failure of a way to its first probe. It doubles
	// with each probe that fails, up to probeMost, because each is a call that is
	// paid for. A way that is sound again is used within 3 s: a probe that began
	// before, the pause, and the next call, which comes within 0.6 s.
	probeFirst = 500 * time.Millisecond
	probeMost  = time.Second
	// probeAnswer bounds a probe. A store that is slowed down 66 times answers in
	// 300 ms.
	probeAnswer = time.Second
	// usualWeight is the number of faster answers after which a slow one is mostly
	// forgotten.
	usualWeight = 4
	// slowFactor times the usual time of an answer is when a call is made another
	// way, if that is more: a store that is slow for all would get slower by it.
	slowFactor = 3
	// maxDelay bounds that time. A way that went silent must not keep a document
	// from being in force within the 2.5 s that operators are promised: a read waits
	// 0.6 s for records, and the other way takes 20 ms.
	maxDelay = 900 * time.Millisecond
	// maxWays bounds the ways that one call is made.
	maxWays = 4
)

// Config configures a Store.
type Config struct {
	// Direct is the process's own way to the store.
	Direct chestnutpond.Store
	Mesh   *mesh.Mesh
	// Peers returns the addresses of processes that may relay, the best first.
	Peers func() []string
	// Now is the clock.
	Now func() time.Duration
	Log *slog.Logger
	// Metrics counts the calls.
	Metrics *stats.Registry
}

// Store is a store with several ways to it. It is safe for concurrent use.
type Store struct {
	cfg    Config
	meters *meters

	mu sync.Mutex
	// bad has the ways that failed and have not answered since.
	bad map[string]*failedWay
	// last is the read that was made last, which probes repeat.
	last position
	// lost means that the process's own way failed last.
	lost bool
	// answered is when the store last answered, usual what an answer takes now.
	answered time.Duration
	usual    time.Duration
}

// failedWay is a way that is tried last.
type failedWay struct {
	// due is when the next probe is made, wait the time from one to the next.
	due, wait time.Duration
	// probing means that a probe is under way.
	probing bool
}

// position is a place in a topic.
type position struct {
	topic chestnutpond.Topic
	from  int64
}

var _ chestnutpond.Store = (*Store)(nil)

// New returns a store.
func New(c Config) *Store {
	return &Store{
		cfg: c, meters: newMeters(c.Metrics), bad: map[string]*failedWay{},
		last: position{topic: chestnutpond.TopicEntries},
	}
}

// attempt is one call made one way.
type attempt struct {
	way   way
	began time.Duration
	ctx   context.Context
	call  func(ctx context.Context, s chestnutpond.Store) error
	done  chan<- attemptResult
}

type attemptResult struct {
	way way
	err error
	// began is when the attempt was made. What others took before it says nothing
	// about the store.
	began time.Duration
}

func (a *attempt) run() {
	a.done <- attemptResult{way: a.way, began: a.began, err: a.call(a.ctx, a.way.store)}
}

// otherFault names failures that are no *chestnutpond.StoreError, such as a log
// that begins later.
const otherFault = chestnutpond.StoreFault("other")

// faultOf returns what is known about a failed call.
func faultOf(err error) chestnutpond.StoreFault {
	var failed *chestnutpond.StoreError
	if !errors.As(err, &failed) {
		return otherFault
	}
	return failed.Fault
}

// broken reports whether a failure says that the way, and not the call, is at
// fault.
func broken(err error) bool {
	switch faultOf(err) {
	case chestnutpond.StoreInDoubt, chestnutpond.StoreUnavailable, chestnutpond.StoreLimited:
		return true
	}
	return false
}

// try makes a call one way after the other until the store answers it. Of the
// failures of all ways it returns one in doubt, if there is any.
func (s *Store) try(ctx context.Context, op operation, wait, delay time.Duration, call func(ctx context.Context, s chestnutpond.Store) error) error {
	began := s.cfg.Now()
	_, usual := s.Answered()
	delay = max(delay, min(slowFactor*usual, maxDelay))
	ctx, cancel := context.WithTimeout(ctx, wait+max(attemptLimit, 2*delay))
	defer cancel()
	ways := s.ways()
	results := make(chan attemptResult, len(ways))
	started, finished := 0, 0
	// open has when the attempts began that have no answer.
	open := map[way]time.Duration{}
	start := func() {
		a := &attempt{way: ways[started], began: s.cfg.Now(), ctx: ctx, call: call, done: results}
		open[a.way] = a.began
		started++
		go a.run()
	}
	start()
	hedge := time.NewTimer(wait + delay)
	defer hedge.Stop()
	var last error
	for {
		select {
		case <-hedge.C:
			if started < len(ways) {
				start()
				hedge.Reset(delay)
			}
		case r := <-results:
			finished++
			delete(open, r.way)
			s.meters.attempted(op, r.way, r.err)
			if !broken(r.err) {
				s.mark(r.way, nil)
				s.markSilent(open, wait+delay)
				s.timed(s.cfg.Now()-r.began, wait > 0)
				if wait == 0 {
					s.meters.took(op, s.cfg.Now()-began)
				}
				return r.err
			}
			if ctx.Err() == nil {
				s.mark(r.way, r.err)
			} else if r.way.name == direct {
				s.mark(r.way, r.err)
			}
			last = worse(last, r.err)
			if started < len(ways) && ctx.Err() == nil {
				start()
			} else if finished == started {
				return last
			}
		}
	}
}

// worse returns the failure of two that leaves more open.
func worse(a, b error) error {
	if faultOf(a) == chestnutpond.StoreInDoubt {
		return a
	}
	return b
}

// Append implements chestnutpond.Store.
func (s *Store) Append(ctx context.Context, topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	var first onceInt64
	err := s.try(ctx, opAppend, 0, hedgeDelay, func(ctx context.Context, st chestnutpond.Store) error {
		offset, err := st.Append(ctx, topic, a)
		if err == nil {
			first.set(offset)
		}
		return err
	})
	s.meters.sent.Inc(sizeOf(a.Records))
	return first.get(), err
}

// Read implements chestnutpond.Store. If the first way leaves a read that waits
// without an answer, the other ones are asked for what is there, because the store
// may serve calls and yet not tell of new records.
func (s *Store) Read(ctx context.Context, topic chestnutpond.Topic, from int64, wait time.Duration) (chestnutpond.KeyedBatch, error) {
	s.noteRead(position{topic, from})
	var got once[chestnutpond.KeyedBatch]
	delay := waitDelay
	if wait == 0 {
		delay = readDelay
	}
	var asked atomic.Bool
	err := s.try(ctx, opRead, wait, delay, func(ctx context.Context, st chestnutpond.Store) error {
		again := wait > 0 && asked.Swap(true)
		wait := wait
		if again {
			wait = 0
		}
		batch, err := st.Read(ctx, topic, from, wait)
		if err == nil {
			batch.Unwatched = again
			got.set(batch)
		}
		return err
	})
	batch := got.get()
	s.meters.received.Inc(sizeOf(batch.Records))
	return batch, err
}

// Newest implements chestnutpond.Store.
func (s *Store) Newest(ctx context.Context, topic chestnutpond.Topic, after string) (chestnutpond.KeyedPage, error) {
	var got once[chestnutpond.KeyedPage]
	err := s.try(ctx, opNewest, 0, hedgeDelay, func(ctx context.Context, st chestnutpond.Store) error {
		page, err := st.Newest(ctx, topic, after)
		if err == nil {
			got.set(page)
		}
		return err
	})
	page := got.get()
	s.meters.received.Inc(sizeOf(page.Records))
	return page, err
}

// once keeps the first value that it is given.
type once[T any] struct {
	mu    sync.Mutex
	is    bool
	value T
}

type onceInt64 = once[int64]

func (o *once[T]) set(v T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.is {
		o.is, o.value = true, v
	}
}

func (o *once[T]) get() T {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.value
}
