// Package relay provides access to the platform's store over several routes.
//
// The store may refuse some hosts while it serves others. Store sends each call over
// the direct route first. If that fails, or is slower than usual, it sends a hedged
// request through another process, whose Server forwards the call. Every call is safe
// to send twice: reads change nothing, and appends either repeat the content of their
// keys or carry a producer's sequence number.
//
// A route that failed or timed out is tried last until a background probe succeeds, so
// that no call is delayed by testing it.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	// hedgeDelay is how long a call waits for a response before it is hedged over
	// another route. An append takes 4 ms and a route across regions 20 ms; a busy
	// store needs a multiple.
	hedgeDelay = 250 * time.Millisecond
	// readHedgeDelay is the hedge delay of a read that does not wait for records.
	// waitHedgeDelay is that of a read that waits, in addition to the wait. Reads change
	// nothing in the store, so they may be hedged sooner.
	readHedgeDelay = 80 * time.Millisecond
	waitHedgeDelay = 150 * time.Millisecond
	// callTimeout bounds a call beyond the time that a read waits for records. A
	// store that is slowed down 66 times responds in 300 ms.
	callTimeout = 1500 * time.Millisecond
	// probeInitialDelay is the delay from the failure of a route to its first probe. It
	// doubles with each failed probe up to probeMaxDelay, because every probe is a billed
	// call. A recovered route is used again within 3 s: a probe sent before the recovery,
	// the delay, and the next call, which comes within 0.6 s.
	probeInitialDelay = 500 * time.Millisecond
	probeMaxDelay     = time.Second
	// probeTimeout bounds a probe. A store that is slowed down 66 times responds in
	// 300 ms.
	probeTimeout = time.Second
	// latencyDecay is the divisor of the decay of the latency estimate: after this many
	// faster responses a slow one has mostly lost its weight.
	latencyDecay = 4
	// hedgeFactor times the latency estimate is the hedge delay if that is longer:
	// hedging would slow down a store that is slow for all callers even more.
	hedgeFactor = 3
	// maxHedgeDelay bounds the adaptive hedge delay. A route that stopped responding
	// must not delay a document beyond the 2.5 s that operators are promised: a read
	// waits 0.6 s for records, and the other route takes 20 ms.
	maxHedgeDelay = 900 * time.Millisecond
	// maxRoutes bounds the routes that one call tries.
	maxRoutes = 4
)

// Config configures a Store.
type Config struct {
	// Direct is the store client of the process itself.
	Direct chestnutpond.Store
	// Recheck is a client of the same store whose connections no other call uses. Run
	// checks with it whether the store responds again; nil means Direct.
	Recheck chestnutpond.Store
	Mesh    *mesh.Mesh
	// Peers returns the addresses of possible relays in order of preference.
	Peers func() []string
	// Now returns the current time of the process's clock.
	Now func() time.Duration
	Log *slog.Logger
	// Metrics is the registry for the metrics of calls.
	Metrics *stats.Registry
}

// Store is a chestnutpond.Store that uses several routes. It is safe for concurrent
// use.
type Store struct {
	cfg    Config
	meters *meters
	// suspected is signalled when the direct route does not respond.
	suspected chan struct{}

	mu sync.Mutex
	// returned is closed and replaced when the direct route responds again.
	returned chan struct{}
	// failed maps route names to the state of routes that failed and have not responded
	// since.
	failed map[string]*failedRoute
	// lastRead is the position of the most recent read, which probes repeat.
	lastRead position
	// directLost means that the last result of the direct route was a failure.
	directLost bool
	// lastResponse is when the store last responded, latency the current estimate of its
	// response time.
	lastResponse time.Duration
	latency      time.Duration
}

// failedRoute is the probe state of a route that is tried last.
type failedRoute struct {
	// due is when the next probe is sent, wait the current delay between probes.
	due, wait time.Duration
	// probing means that a probe is in progress.
	probing bool
}

// position is an offset in a topic.
type position struct {
	topic chestnutpond.Topic
	from  int64
}

var _ chestnutpond.Store = (*Store)(nil)

// New returns a store that has made no calls.
func New(c Config) *Store {
	if c.Recheck == nil {
		c.Recheck = c.Direct
	}
	return &Store{
		cfg: c, meters: newMeters(c.Metrics), failed: map[string]*failedRoute{},
		suspected: make(chan struct{}, 1), returned: make(chan struct{}),
		lastRead: position{topic: chestnutpond.TopicEntries},
	}
}

// attempt is a call over one route.
type attempt struct {
	route route
	began time.Duration
	ctx   context.Context
	call  func(ctx context.Context, s chestnutpond.Store) error
	done  chan<- attemptResult
}

type attemptResult struct {
	route route
	err   error
	// began is when the attempt was sent. The time spent on earlier attempts says nothing
	// about the latency of the store.
	began time.Duration
}

func (a *attempt) run() {
	a.done <- attemptResult{route: a.route, began: a.began, err: a.call(a.ctx, a.route.store)}
}

// otherFault stands for errors other than *chestnutpond.StoreError, such as a
// trimmed log.
const otherFault = chestnutpond.StoreFault("other")

// faultOf returns the fault of a StoreError, or otherFault.
func faultOf(err error) chestnutpond.StoreFault {
	var failed *chestnutpond.StoreError
	if !errors.As(err, &failed) {
		return otherFault
	}
	return failed.Fault
}

// isRouteFault reports whether err indicates a fault of the route rather than of the
// call.
func isRouteFault(err error) bool {
	switch faultOf(err) {
	case chestnutpond.StoreInDoubt, chestnutpond.StoreUnavailable, chestnutpond.StoreLimited:
		return true
	}
	return false
}

// callWithHedging sends a call over one route after the other until the store responds.
// If all routes fail, it returns an error with the fault StoreInDoubt if there is one,
// because that attempt may have taken effect.
func (s *Store) callWithHedging(ctx context.Context, op operation, wait, delay time.Duration, call func(ctx context.Context, s chestnutpond.Store) error) error {
	began := s.cfg.Now()
	_, latency := s.Health()
	delay = max(delay, min(hedgeFactor*latency, maxHedgeDelay))
	ctx, cancel := context.WithTimeout(ctx, wait+max(callTimeout, 2*delay))
	defer cancel()
	routes := s.routes()
	returned := s.returnSignal()
	// The direct route may be used once more.
	results := make(chan attemptResult, len(routes)+1)
	started, finished := 0, 0
	// pending maps the routes of pending attempts to their start times.
	pending := map[route]time.Duration{}
	start := func() {
		a := &attempt{route: routes[started], began: s.cfg.Now(), ctx: ctx, call: call, done: results}
		pending[a.route] = a.began
		started++
		go a.run()
	}
	start()
	hedge := time.NewTimer(wait + delay)
	defer hedge.Stop()
	var last error
	for {
		select {
		case <-returned:
			returned = nil
			routes = slices.Insert(routes, started, route{name: direct, store: s.cfg.Direct})
			start()
		case <-hedge.C:
			s.suspect()
			if started < len(routes) {
				start()
				hedge.Reset(delay)
			}
		case r := <-results:
			finished++
			delete(pending, r.route)
			s.meters.countAttempt(op, r.route, r.err)
			if !isRouteFault(r.err) {
				s.markRoute(r.route, nil)
				s.markUnanswered(pending, wait+delay)
				s.observeLatency(s.cfg.Now()-r.began, wait > 0)
				if wait == 0 {
					s.meters.observeCall(op, s.cfg.Now()-began)
				}
				return r.err
			}
			if ctx.Err() == nil {
				s.markRoute(r.route, r.err)
			} else if r.route.name == direct {
				s.markRoute(r.route, r.err)
			}
			last = lessCertain(last, r.err)
			if started < len(routes) && ctx.Err() == nil {
				start()
			} else if finished == started {
				return last
			}
		}
	}
}

// lessCertain returns a if its fault is StoreInDoubt, and b otherwise.
func lessCertain(a, b error) error {
	if faultOf(a) == chestnutpond.StoreInDoubt {
		return a
	}
	return b
}

// Append implements chestnutpond.Store.
func (s *Store) Append(ctx context.Context, topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	var first onceInt64
	err := s.callWithHedging(ctx, opAppend, 0, hedgeDelay, func(ctx context.Context, st chestnutpond.Store) error {
		offset, err := st.Append(ctx, topic, a)
		if err == nil {
			first.set(offset)
		}
		return err
	})
	s.meters.sent.Inc(sizeOf(a.Records))
	return first.get(), err
}

// Read implements chestnutpond.Store. If a read that waits for records gets no response
// on the first route, the other routes are read without waiting, because the store may
// serve calls and yet not notify readers of new records.
func (s *Store) Read(ctx context.Context, topic chestnutpond.Topic, from int64, wait time.Duration) (chestnutpond.KeyedBatch, error) {
	s.setLastRead(position{topic, from})
	var got once[chestnutpond.KeyedBatch]
	delay := waitHedgeDelay
	if wait == 0 {
		delay = readHedgeDelay
	}
	var asked atomic.Bool
	err := s.callWithHedging(ctx, opRead, wait, delay, func(ctx context.Context, st chestnutpond.Store) error {
		hedged := wait > 0 && asked.Swap(true)
		wait := wait
		if hedged {
			wait = 0
		}
		batch, err := st.Read(ctx, topic, from, wait)
		if err == nil {
			batch.Polled = hedged
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
	err := s.callWithHedging(ctx, opNewest, 0, hedgeDelay, func(ctx context.Context, st chestnutpond.Store) error {
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

// once holds the first value passed to set.
type once[T any] struct {
	mu    sync.Mutex
	ok    bool
	value T
}

type onceInt64 = once[int64]

func (o *once[T]) set(v T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ok {
		o.ok, o.value = true, v
	}
}

func (o *once[T]) get() T {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.value
}
