package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two heartbeats, beatTimeout how long a worker waits
	// for their answer.
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	// stopTime is how long a run takes to stop; the platform allows 400 ms.
	stopTime = 300 * time.Millisecond
	// longestLease is the longest lease that a worker takes, in milliseconds.
	longestLease = 6000
	// tick is the interval in which a worker looks at its runs.
	tick = 5 * time.Millisecond
)

// model is how the tasks of a job behave. Clients hand it in as the job's spec.
type model struct {
	// WorkMs is the time that a task takes; 0 for tasks that run until they are stopped.
	WorkMs int64 `json:"work_ms,omitempty"`
	// GPU is what a task takes of its worker.
	GPU int64 `json:"gpu,omitempty"`
	// LoadMs is the tail latency of a serving task alone on its worker.
	LoadMs int64 `json:"load_ms,omitempty"`
	// DisturbMs is what a filling task at full pace adds to that of the others.
	DisturbMs int64 `json:"disturb_ms,omitempty"`
	// FailMs is the work after which a task fails through its own fault; 0 means never.
	FailMs int64 `json:"fail_ms,omitempty"`
}

// taskRun is a run on a worker.
type taskRun struct {
	model
	task string
	run  int64
	// done is the work done, in milliseconds at full pace.
	done float64
	pace int64
	// stopAt is when a stop takes effect; zero if none was ordered.
	stopAt time.Time
	seen   *interval
}

// workerConfig says what a worker is and where it lies.
type workerConfig struct {
	id, machine, zone, service string
	labels                     []string
	gpus                       int64
	// app is where it takes orders, control the address of its agent for heartbeats.
	app, control string
}

// worker is a stand-in of a worker of the platform.
type worker struct {
	cfg    workerConfig
	rec    *record
	hist   *history
	server *http.Server
	stop   context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	began   time.Time
	fence   int64
	until   int64
	runs    map[string]*taskRun
	highest map[string]int64
	ended   [][]any
	ends    int64
	changed chan struct{}
	state   string
	// leaving is when a draining worker ends at the earliest; silent means that it has said
	// that it leaves, and sends no more heartbeats.
	leaving time.Time
	silent  bool
	seq     int64
	gone    bool
	// refuse is the status of every answer to an order; 0 means that orders are carried out.
	refuse int
	// reset means that every connection with an order is reset.
	reset bool
	// loseStart is the task whose next start is carried out late and not answered; lateBy is
	// how late.
	loseStart string
	lateBy    time.Duration
}

func newWorker(cfg workerConfig, rec *record, hist *history) (*worker, error) {
	w := &worker{
		cfg: cfg, rec: rec, hist: hist, began: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int64{},
		changed: make(chan struct{}), state: "ready",
	}
	listener, err := net.Listen("tcp", cfg.app)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.order(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.order(w.stopRun))
	mux.HandleFunc("POST /v1/hold", w.order(w.hold))
	mux.HandleFunc("POST /v1/pace", w.order(w.pace))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.serve(listener)
	go w.loop(ctx)
	go w.beatLoop(ctx)
	return w, nil
}

func (w *worker) serve(l net.Listener) {
	// Serve ends when the worker does.
	_ = w.server.Serve(l)
}

// end ends the process of the worker, and with it all that runs on it.
func (w *worker) end(how string) {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		w.hist.ended(r.seen, how)
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	w.stop()
	// The connections are reset, and new ones refused.
	_ = w.server.Close()
	w.rec.note(w.cfg.id, "the worker's process has ended: %s", how)
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// call is the body of an order.
type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int64  `json:"percent"`
}

// reply is the answer to an order; a status of 0 means none.
type reply struct {
	status int
	body   map[string]any
}

// order wraps the handling of an order: faults, the intended boot and the fence.
func (w *worker) order(handle func(r *http.Request, c call) reply) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		var c call
		if err != nil || json.Unmarshal(data, &c) != nil {
			answer(out, http.StatusBadRequest, map[string]any{"clock_ms": w.clock()})
			return
		}
		w.mu.Lock()
		refuse, reset := w.refuse, w.reset
		w.mu.Unlock()
		if reset {
			resetConnection(out)
			return
		}
		expect := r.Header.Get("X-Expect-Instance")
		var got reply
		switch {
		case refuse != 0:
			got = reply{status: refuse, body: map[string]any{}}
		case expect != "" && expect != w.cfg.id:
			got = reply{status: http.StatusMisdirectedRequest, body: map[string]any{}}
		default:
			got = handle(r, c)
		}
		if r.URL.Path != "/v1/hold" || got.status >= http.StatusTooManyRequests {
			w.rec.note(w.cfg.id, "%s %s run %d fence %d percent %d -> %d %v", r.URL.Path, c.Task, c.Run, c.Fence, c.Percent, got.status, got.body)
		}
		if got.status == 0 {
			// The caller hears nothing.
			<-r.Context().Done()
			return
		}
		got.body["clock_ms"], got.body["born"] = w.clock(), w.began.UnixMilli()
		answer(out, got.status, got.body)
	}
}

// resetConnection resets the connection of a call instead of answering it.
func resetConnection(out http.ResponseWriter) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With a linger of zero, closing sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func refused(reason string) reply {
	return reply{status: http.StatusConflict, body: map[string]any{"reason": reason}}
}

func carriedOut() reply { return reply{status: http.StatusOK, body: map[string]any{}} }

// admitted checks the fence of an order. The lock is held.
func (w *worker) admitted(c call) bool {
	if c.Fence < w.fence {
		return false
	}
	w.fence = c.Fence
	return true
}

// extend prolongs the lease of everything. The lock is held.
func (w *worker) extend(deadline int64) {
	w.until = max(w.until, min(deadline, w.clock()+longestLease))
}

func (w *worker) start(_ *http.Request, c call) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loseStart != "" && w.loseStart == c.Task {
		w.loseStart = ""
		w.rec.note(w.cfg.id, "the start of %s run %d gets no answer and is carried out in %s", c.Task, c.Run, w.lateBy)
		time.AfterFunc(w.lateBy, func() { w.startLate(c) })
		return reply{}
	}
	return w.startNow(c)
}

func (w *worker) startLate(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	got := w.startNow(c)
	w.rec.note(w.cfg.id, "late start of %s run %d -> %d %v", c.Task, c.Run, got.status, got.body)
}

// startNow carries out a start. The lock is held.
func (w *worker) startNow(c call) reply {
	if !w.admitted(c) {
		return refused("fence")
	}
	if r := w.runs[c.Task]; r != nil && r.run == c.Run {
		w.extend(c.DeadlineMs)
		return carriedOut()
	}
	if c.DeadlineMs <= w.clock() {
		return refused("late")
	}
	w.extend(c.DeadlineMs)
	var m model
	if err := json.Unmarshal([]byte(c.Spec), &m); err != nil {
		return reply{status: http.StatusBadRequest, body: map[string]any{}}
	}
	used := m.GPU
	for _, r := range w.runs {
		used += r.GPU
	}
	switch {
	case c.Run <= w.highest[c.Task]:
		return refused("old")
	case used > w.cfg.gpus || w.runs[c.Task] != nil:
		return refused("room")
	}
	w.runs[c.Task] = &taskRun{model: m, task: c.Task, run: c.Run, pace: 100, seen: w.hist.started(c.Task, c.Run, w.cfg.id)}
	return carriedOut()
}

func (w *worker) stopRun(_ *http.Request, c call) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admitted(c) {
		return refused("fence")
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.run == c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return carriedOut()
}

func (w *worker) pace(_ *http.Request, c call) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admitted(c) {
		return refused("fence")
	}
	r := w.runs[c.Task]
	if r == nil || r.run != c.Run {
		return refused("old")
	}
	r.pace = c.Percent
	return carriedOut()
}

func (w *worker) hold(r *http.Request, c call) reply {
	timeout := time.After(time.Duration(c.WaitMs) * time.Millisecond)
	w.mu.Lock()
	if !w.admitted(c) {
		w.mu.Unlock()
		return refused("fence")
	}
	w.extend(c.DeadlineMs)
	w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int64) <= c.AckCursor })
	for waiting := c.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			waiting = false
		case <-timeout:
			waiting = false
		case <-changed:
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running := [][]any{}
	for _, r := range w.runs {
		percent := int64(100)
		if r.WorkMs > 0 {
			percent = min(99, int64(100*r.done)/r.WorkMs)
		}
		running = append(running, []any{r.task, r.run, "", percent, w.figure(r)})
	}
	return reply{status: http.StatusOK, body: map[string]any{"running": running, "ended": slices.Clone(w.ended)}}
}

// figure returns the fifth entry of a running row: the tail latency of a serving task. The
// lock is held.
func (w *worker) figure(r *taskRun) int64 {
	sum := r.LoadMs
	if sum == 0 {
		return 1000
	}
	for _, other := range w.runs {
		sum += other.DisturbMs * other.pace / 100
	}
	return sum
}

// latency returns the present tail latency of a task, what it would be without those that
// fill, and whether one of these works.
func (w *worker) latency(task string) (latency, alone int64, filled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	if r == nil {
		return 0, 0, false
	}
	for _, other := range w.runs {
		filled = filled || other.DisturbMs > 0 && other.pace > 0
	}
	return w.figure(r), r.LoadMs, filled
}

// loop lets the runs work, and ends those that are done, stopped or without a lease.
func (w *worker) loop(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tick)
		now := time.Now()
		w.mu.Lock()
		for _, r := range w.runs {
			r.done += now.Sub(last).Seconds() * 1000 * float64(r.pace) / 100
			switch {
			case w.clock() > w.until:
				w.endRun(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.endRun(r, "stopped")
			case r.FailMs > 0 && r.done >= float64(r.FailMs):
				w.endRun(r, "failed")
			case r.WorkMs > 0 && r.done >= float64(r.WorkMs):
				w.endRun(r, "done")
			}
		}
		w.mu.Unlock()
		last = now
	}
}

// endRun lists a run as ended. The lock is held.
func (w *worker) endRun(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.run, how, ""})
	w.hist.ended(r.seen, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// fail ends a run through its own fault.
func (w *worker) fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	if r != nil {
		w.endRun(r, "failed")
	}
	return r != nil
}

// setRefuse has every order refused with a status; 0 ends that.
func (w *worker) setRefuse(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse = status
	w.rec.note(w.cfg.id, "orders are answered with %d from now on (0: carried out)", status)
}

// setReset has the connection of every order reset, or ends that.
func (w *worker) setReset(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset = on
	w.rec.note(w.cfg.id, "connections with orders are reset: %t", on)
}

// loseNextStart has the next start of a task carried out late and without an answer.
func (w *worker) loseNextStart(task string, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseStart, w.lateBy = task, by
}

func (w *worker) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if !silent {
			w.beat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// beat sends a heartbeat and reports whether it was confirmed.
func (w *worker) beat(ctx context.Context) bool {
	w.mu.Lock()
	w.seq++
	body := map[string]any{
		"service": w.cfg.service, "address": w.cfg.app, "zone": w.cfg.zone, "version": "v1", "slots": 8,
		"state": w.state, "cold_remaining_ms": 0, "labels": w.cfg.labels, "clock_ms": w.clock(), "seq": w.seq,
		"capacity": map[string]any{"cpu": 128000, "mem_mb": 524288, "gpu": w.cfg.gpus},
		"born":     w.began.UnixMilli(), "machine": w.cfg.machine,
	}
	state := w.state
	if state == "draining" {
		body["remaining_ms"] = max(0, time.Until(w.leaving).Milliseconds())
	}
	w.mu.Unlock()
	status, err := w.tell(ctx, "heartbeat", body)
	if state != "ready" || err != nil || status != http.StatusOK {
		w.rec.note(w.cfg.id, "heartbeat, %s -> %d %v", state, status, err)
	}
	return err == nil && status == http.StatusOK
}

// tell makes a call to the agent.
func (w *worker) tell(ctx context.Context, what string, body any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return post(ctx, fmt.Sprintf("http://%s/v1/instances/%s/%s", w.cfg.control, w.cfg.id, what), body)
}

// leave says that the worker ends now, and reports whether that was confirmed.
func (w *worker) leave(ctx context.Context) bool {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	status, err := w.tell(ctx, "leave", map[string]any{"born": w.began.UnixMilli()})
	w.rec.note(w.cfg.id, "leave -> %d %v", status, err)
	return err == nil && status == http.StatusOK
}

// drain says that the worker will end in the given time, until that is confirmed.
func (w *worker) drain(ctx context.Context, in time.Duration) {
	w.mu.Lock()
	w.state, w.leaving = "draining", time.Now().Add(in)
	w.mu.Unlock()
	for !w.beat(ctx) && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
}
