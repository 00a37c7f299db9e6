package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// holdMax is the longest lease that a worker takes.
const holdMax = 6 * time.Second

// stopTime is how long a worker takes to stop a run.
const stopTime = 150 * time.Millisecond

// beatInterval is the time between two pings of a worker.
const beatInterval = 1500 * time.Millisecond

// runLog has all runs of a case on all workers.
type runLog struct {
	mu   sync.Mutex
	rec  *record
	runs []*run
}

// run is one run of a work item on a worker.
type run struct {
	task   string
	number int64
	worker string
	life   int64
	from   time.Time
	// to is when it ended, how in which way; zero while it is at work.
	to  time.Time
	how string
	// late means that the worker left the order unanswered and carried it out late.
	late bool

	spec string
	// work is how long it takes.
	work time.Duration
}

func (r *run) String() string {
	return fmt.Sprintf("%s run %d on %s (born %d)", r.task, r.number, r.worker, r.life)
}

// overlaps returns the pairs of runs of one work item that were at work at the same time.
func (l *runLog) overlaps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	now := time.Now()
	end := func(r *run) time.Time {
		if r.to.IsZero() {
			return now
		}
		return r.to
	}
	for i, a := range l.runs {
		for _, b := range l.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := a.from, end(a)
			if b.from.After(from) {
				from = b.from
			}
			if end(b).Before(to) {
				to = end(b)
			}
			if both := to.Sub(from); both > 0 {
				found = append(found, fmt.Sprintf("%s and run %d on %s (born %d) were at work at the same time for %d ms", a, b.number, b.worker, b.life, both.Milliseconds()))
			}
		}
	}
	return found
}

// of returns the runs of a job in the order of their starts.
func (l *runLog) of(job string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []run
	for _, r := range l.runs {
		if len(r.task) > len(job) && r.task[:len(job)] == job {
			all = append(all, *r)
		}
	}
	return all
}

// worker is one worker beside an agent, through all its lives.
type worker struct {
	name    string
	app     string
	control string
	zone    string
	rack    string
	log     *runLog
	rec     *record
	// duration is how long a run takes.
	duration time.Duration
	// lateStart decides for each start call whether it is left unanswered and carried out after
	// a time; zero means that it is carried out at once. It may be nil.
	lateStart func(task string, run int64) time.Duration
	// workOf returns how long a run takes; nil means duration.
	workOf func(r *run) time.Duration
	// checkpoint returns the newest checkpoint of a run; nil means that runs have none.
	checkpoint func(r *run) string
	// ticketValid reports whether a start has a valid ticket; nil means that none is needed.
	ticketValid func(worker, ticket string) bool
	// refuses makes the worker answer 503 to all calls and do nothing for them.
	refuses atomic.Bool

	mu      sync.Mutex
	born    int64
	began   time.Time
	seq     int64
	state   string
	fence   int64
	until   time.Duration
	lease   *time.Timer
	runs    map[string]*run
	highest map[string]int64
	ended   [][]any
	ends    int64
	changed chan struct{}
	server  *http.Server
	// acked is when the agent last acknowledged a ping, and with which state.
	acked      time.Time
	ackedState string
	stopBeats  context.CancelFunc
	up         bool
}

// start begins a life of the worker.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.app)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.born, w.began, w.seq, w.state = time.Now().UnixMilli(), time.Now(), 0, "ready"
	w.fence, w.until, w.ends, w.ended = 0, 0, 0, nil
	w.runs, w.highest, w.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	w.acked, w.ackedState, w.stopBeats, w.up = time.Time{}, "", cancel, true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handleStart)
	mux.HandleFunc("POST /v1/run-stop", w.handleStop)
	mux.HandleFunc("POST /v1/hold", w.handleHold)
	mux.HandleFunc("POST /v1/pace", w.handlePace)
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.beat(ctx)
	w.rec.add("worker %s starts, born %d", w.name, w.born)
	return nil
}

// end ends the life of the worker with everything that runs on it.
func (w *worker) end(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.stopBeats()
	_ = w.server.Close()
	if w.lease != nil {
		w.lease.Stop()
	}
	for _, r := range w.runs {
		w.over(r, "with its worker")
	}
	w.runs = map[string]*run{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.add("worker %s ends: %s", w.name, why)
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// over notes the end of a run. The lock is held.
func (w *worker) over(r *run, how string) {
	w.log.mu.Lock()
	r.to, r.how = time.Now(), how
	w.log.mu.Unlock()
	w.rec.add("%s ended: %s", r, how)
}

// order is the body of all calls to a worker.
type order struct {
	Task           string `json:"task"`
	Run            int64  `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadline_ms"`
	Fence          int64  `json:"fence"`
	LastCheckpoint string `json:"last_checkpoint"`
	Ticket         string `json:"ticket"`
	AckCursor      int64  `json:"ack_cursor"`
	WaitMs         int64  `json:"wait_ms"`
	Percent        int    `json:"percent"`
}

// say answers a call. The lock is held.
func (w *worker) say(out http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}
	for k, v := range more {
		body[k] = v
	}
	answer(out, status, body)
}

// read reads a call and refuses one for another boot. It returns false if it has answered.
func (w *worker) read(out http.ResponseWriter, r *http.Request, o *order) bool {
	if w.refuses.Load() {
		answer(out, http.StatusServiceUnavailable, map[string]any{})
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		answer(out, http.StatusBadRequest, map[string]any{})
		return false
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.name {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.say(out, http.StatusMisdirectedRequest, nil)
		return false
	}
	return true
}

// checkFence takes the fence of an order; false if it is too low. The lock is held.
func (w *worker) checkFence(o *order) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	return true
}

// extend prolongs the lease. The lock is held.
func (w *worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax)
	if until <= w.until {
		return
	}
	w.until = until
	if w.lease != nil {
		w.lease.Stop()
	}
	born := w.born
	w.lease = time.AfterFunc(until-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born || w.until != until {
			return
		}
		for _, key := range w.sortedKeys() {
			w.list(w.runs[key], "lapsed")
		}
	})
}

func (w *worker) sortedKeys() []string {
	var keys []string
	for key := range w.runs {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// list ends a run and lists its end. The lock is held.
func (w *worker) list(r *run, how string) {
	delete(w.runs, runName(r.task, r.number))
	w.ends++
	saved := ""
	if w.checkpoint != nil && how == "stopped" {
		saved = w.checkpoint(r)
	}
	w.ended = append(w.ended, []any{w.ends, r.task, r.number, how, saved})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.over(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func runName(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }

func (w *worker) handleStart(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	if w.lateStart != nil {
		if late := w.lateStart(o.Task, o.Run); late > 0 {
			w.rec.add("worker %s leaves the start of %s run %d unanswered and carries it out %d ms later", w.name, o.Task, o.Run, late.Milliseconds())
			time.AfterFunc(late, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.up {
					status, reason := w.carryOut(&o, true)
					w.rec.add("worker %s carries out the late start of %s run %d: %d %s", w.name, o.Task, o.Run, status, reason)
				}
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status, reason := w.carryOut(&o, false)
	if reason != "" {
		w.rec.add("worker %s refuses the start of %s run %d: %s", w.name, o.Task, o.Run, reason)
		w.say(out, status, map[string]any{"reason": reason})
		return
	}
	w.say(out, status, nil)
}

// carryOut starts a run. The lock is held.
func (w *worker) carryOut(o *order, late bool) (int, string) {
	key := runName(o.Task, o.Run)
	switch {
	case !w.checkFence(o):
		return http.StatusConflict, "fence"
	case w.runs[key] != nil:
		w.extend(o.DeadlineMs)
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task]:
		w.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock():
		return http.StatusConflict, "late"
	}
	w.extend(o.DeadlineMs)
	if w.ticketValid != nil && !w.ticketValid(w.name, o.Ticket) {
		return http.StatusConflict, "ticket"
	}
	one := &run{task: o.Task, number: o.Run, worker: w.name, life: w.born, from: time.Now(), late: late, spec: o.Spec}
	w.runs[key] = one
	w.log.mu.Lock()
	w.log.runs = append(w.log.runs, one)
	w.log.mu.Unlock()
	w.rec.add("%s begins", one)
	one.work = w.duration
	if w.workOf != nil {
		one.work = w.workOf(one)
	}
	time.AfterFunc(one.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[key] == one {
			w.list(one, "done")
		}
	})
	return http.StatusOK, ""
}

func (w *worker) handleStop(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(&o) {
		w.say(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.rec.add("worker %s is told to stop %s run %d", w.name, o.Task, o.Run)
	key := runName(o.Task, o.Run)
	if one := w.runs[key]; one != nil {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[key] == one {
				w.list(one, "stopped")
			}
		})
	}
	w.say(out, http.StatusOK, nil)
}

func (w *worker) handlePace(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(&o) {
		w.say(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.say(out, http.StatusOK, nil)
}

func (w *worker) handleHold(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checkFence(&o) {
		w.say(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int64) <= o.AckCursor })
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	born := w.born
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0 && w.born == born && w.up; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		case <-changed:
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, key := range w.sortedKeys() {
		one := w.runs[key]
		percent := min(99, int(100*time.Since(one.from)/one.work))
		saved := ""
		if w.checkpoint != nil {
			saved = w.checkpoint(one)
		}
		running = append(running, []any{one.task, one.number, saved, percent, 1000})
	}
	ended := [][]any{}
	ended = append(ended, w.ended[:min(len(w.ended), 500)]...)
	w.say(out, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// beat sends the worker's pings.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		wait := beatInterval
		if !w.ping(ctx) {
			wait = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// ping sends one ping and reports whether it was acknowledged.
func (w *worker) ping(ctx context.Context) bool {
	w.mu.Lock()
	w.seq++
	state := w.state
	body := map[string]any{
		"service": serviceName, "address": w.app, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 128000, "mem_mb": 524288, "gpu": 8},
		"labels": []string{"a", w.rack}, "clock_ms": w.clock().Milliseconds(), "seq": w.seq, "born": w.born,
	}
	if state == "draining" {
		body["remaining_ms"] = drainTime.Milliseconds()
	}
	w.mu.Unlock()
	ok := w.tell(ctx, "/v1/instances/"+w.name+"/heartbeat", body)
	if ok {
		w.mu.Lock()
		if w.ackedState != state {
			w.rec.add("ping of worker %s with state %s is acknowledged", w.name, state)
		}
		w.acked, w.ackedState = time.Now(), state
		w.mu.Unlock()
	}
	return ok
}

// tell makes a call to the agent and reports whether it was confirmed within a second.
func (w *worker) tell(ctx context.Context, path string, body map[string]any) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+path, bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// running returns the number of its runs.
func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
