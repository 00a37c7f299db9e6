package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// longestLease and stopTimeout are the bounds hold_max_ms and stop_timeout_ms of the
	// settings.
	longestLease = 6 * time.Second
	stopTime     = 50 * time.Millisecond
	// listedEnds is the number of ends that one response lists.
	listedEnds = 500
	// mostHoldWait bounds wait_ms.
	mostHoldWait = 2 * time.Second
)

// amount is what a worker has, or what a work item takes.
type amount struct{ cpu, memory, gpu int64 }

// worker is a stand-in of a worker. It serves the calls of its side machine and runs
// work items for the time that the case gives them.
type worker struct {
	rec  *record
	runs *history
	name string

	mu       sync.Mutex
	id       string
	labels   []string
	capacity amount
	// born and began are the start of this life by the wall clock and the steady clock.
	born  int64
	began time.Time
	// downUntil is when a worker that has crashed answers again.
	downUntil time.Time
	fence     int64
	until     time.Duration
	lapse     *time.Timer
	running   map[string]*run
	highest   map[string]int64
	ends      []end
	ended     int64
	noted     int64
	changed   chan struct{}
}

// run is one run of a work item on a worker.
type run struct {
	*start

	timer *time.Timer
}

type end struct {
	n    int64
	item string
	run  int64
	how  string
	// of is the run in the history.
	of *start
}

func newWorker(rec *record, runs *history, name, id string, labels []string, capacity amount) *worker {
	w := &worker{rec: rec, runs: runs, name: name}
	w.begin(id, labels, capacity)
	return w
}

// begin begins a life: the worker runs nothing and knows nothing of before.
func (w *worker) begin(id string, labels []string, capacity amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		r.timer.Stop()
		w.runs.over(r.start, "crashed")
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
	if w.changed != nil {
		close(w.changed)
	}
	w.id, w.labels, w.capacity = id, labels, capacity
	w.began, w.born = time.Now(), max(time.Now().UnixMilli(), w.born+1)
	w.fence, w.until, w.ended, w.noted, w.ends = 0, 0, 0, 0, nil
	w.running, w.highest, w.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	w.rec.line("worker %s: begins a life as %s, born %d, labels %v", w.name, id, w.born, labels)
}

// crash begins another life that answers after a time.
func (w *worker) crash(down time.Duration, id string, labels []string) {
	w.mu.Lock()
	w.downUntil = time.Now().Add(down)
	capacity := w.capacity
	w.mu.Unlock()
	w.rec.line("worker %s: crashes and is down for %s", w.name, down)
	w.begin(id, labels, capacity)
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.call(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /v1/pace", w.call(func(order) string { return "" }))
	mux.HandleFunc("POST /v1/hold", w.call(nil))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(rw, r)
	})
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.downUntil)
}

// call decodes an order, checks whom it is meant for, and carries it out. A nil
// function is a hold.
func (w *worker) call(do func(order) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			w.mu.Unlock()
			writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": 0})
			return
		}
		if o.Fence < w.fence {
			w.rec.line("worker %s: refuses %s %s run %d: fence %d is below %d", w.name, r.URL.Path, o.Task, o.Run, o.Fence, w.fence)
			w.answer(rw, "fence")
			return
		}
		w.fence = o.Fence
		if do == nil {
			w.hold(rw, r, o)
			return
		}
		w.answer(rw, do(o))
	}
}

// answer responds to a call and releases the lock.
func (w *worker) answer(rw http.ResponseWriter, reason string) {
	body, status := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}, http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	w.mu.Unlock()
	writeJSON(rw, status, body)
}

// extend prolongs the lease. The lock is held.
func (w *worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+longestLease)
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(until-w.clock(), func() { w.expire(until) })
}

func (w *worker) expire(until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.until != until || w.clock() < until {
		return
	}
	if len(w.running) > 0 {
		w.rec.line("worker %s: its lease is over, %d runs are killed", w.name, len(w.running))
	}
	for _, r := range w.running {
		w.finish(r, "lapsed")
	}
	for i := range w.ends {
		w.ends[i].of.lapsed = true
	}
}

func key(item string, run int64) string { return item + "#" + strconv.FormatInt(run, 10) }

// start carries out an order to start a run. The lock is held.
func (w *worker) start(o order) string {
	if w.running[key(o.Task, o.Run)] != nil {
		w.extend(o.DeadlineMs)
		return ""
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	kind := w.runs.kind(o.Task)
	used := kind.need
	for _, r := range w.running {
		used.cpu, used.memory, used.gpu = used.cpu+r.kind.need.cpu, used.memory+r.kind.need.memory, used.gpu+r.kind.need.gpu
	}
	if used.cpu > w.capacity.cpu || used.memory > w.capacity.memory || used.gpu > w.capacity.gpu {
		return "room"
	}
	w.highest[o.Task] = o.Run
	r := &run{start: w.runs.begun(o.Task, o.Run, w.name, w.id, w.born, slices.Clone(w.labels))}
	how := "done"
	if o.Run <= kind.fails {
		how = "failed"
	}
	r.timer = time.AfterFunc(kind.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[key(o.Task, o.Run)] == r && !kind.lasts {
			w.finish(r, how)
		}
	})
	w.running[key(o.Task, o.Run)] = r
	w.wake()
	return ""
}

// stop carries out an order to stop a run. The lock is held.
func (w *worker) stop(o order) string {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.running[key(o.Task, o.Run)]
	w.rec.line("worker %s: told to stop %s run %d, running=%v", w.name, o.Task, o.Run, r != nil)
	if r != nil {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[key(o.Task, o.Run)] == r {
				w.finish(r, "stopped")
			}
		})
	}
	return ""
}

// finish lists a run as ended. The lock is held.
func (w *worker) finish(r *run, how string) {
	r.timer.Stop()
	delete(w.running, key(r.item, r.number))
	w.ended++
	w.ends = append(w.ends, end{w.ended, r.item, r.number, how, r.start})
	w.runs.over(r.start, how)
	w.wake()
}

// wake answers the holds that wait for a change. The lock is held.
func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold carries out a hold, and releases the lock.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.DeadlineMs)
	w.note(o.AckCursor)
	born := w.born
	timer := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, mostHoldWait))
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if w.born != born {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	body := w.lists()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}

// note takes note of ends up to a number. The lock is held.
func (w *worker) note(upTo int64) {
	for len(w.ends) > 0 && w.ends[0].n <= upTo {
		w.runs.note(w.ends[0].of)
		w.ends = w.ends[1:]
	}
}

// lists returns the lists of runs. The lock is held.
func (w *worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if !r.kind.lasts {
			percent = min(99, int(100*time.Since(r.at)/r.kind.work))
		}
		running = append(running, []any{r.item, r.number, "", percent, r.kind.need.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		ended = append(ended, []any{e.n, e.item, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born, "running": running, "ended": ended}
}

// pinger sends the pings of a worker to its side machine.
type pinger struct {
	worker  *worker
	service string
	zone    string
	app     string
	// control is where pings go.
	control string
	seq     int64
	born    int64
	stopped chan struct{}
}

// ping sends one ping and reports whether it was acknowledged.
func (p *pinger) ping(state string) bool {
	w := p.worker
	w.mu.Lock()
	if w.born != p.born {
		p.seq, p.born = 0, w.born
	}
	p.seq++
	body := map[string]any{
		"service": p.service, "address": p.app, "zone": p.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "clock_ms": w.clock().Milliseconds(), "seq": p.seq, "born": w.born, "labels": w.labels,
		"capacity": map[string]any{"cpu": w.capacity.cpu, "mem_mb": w.capacity.memory, "gpu": w.capacity.gpu},
		"machine":  "m-" + w.name,
	}
	id := w.id
	w.mu.Unlock()
	status, _, err := post(p.control, "/v1/instances/"+id+"/heartbeat", body, time.Second)
	w.rec.line("worker %s: ping %d as %s, %s -> %d %v", w.name, p.seq, id, state, status, err)
	return err == nil && status == http.StatusOK
}

// begin begins to send pings, stop ends that.
func (p *pinger) begin() {
	p.stopped = make(chan struct{})
	go p.loop(pingInterval, p.stopped)
}

func (p *pinger) stop() { close(p.stopped) }

// loop pings each interval until it is stopped. A worker that is down sends nothing.
func (p *pinger) loop(interval time.Duration, stopped chan struct{}) {
	for {
		if !p.worker.isDown() {
			p.ping("ready")
		}
		select {
		case <-stopped:
			return
		case <-time.After(interval):
		}
	}
}

// jobOf returns the job of a work item.
func jobOf(item string) string {
	job, _, _ := strings.Cut(item, ".")
	return job
}

// stepOf returns the step of a work item.
func stepOf(item string) string { return item[:strings.LastIndexByte(item, '.')] }
