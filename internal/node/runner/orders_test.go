package runner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var (
	errNotSent = &chestnutpond.NotSentError{Err: syscall.ECONNREFUSED}
	testLife   = chestnutpond.WorkerIncarnation{ID: "worker-1", StartedMs: 7}
	testRun    = runKey{chestnutpond.TaskRef{Job: "00000000000000a1"}, 1}
)

const (
	testLease = 6 * time.Second
	testFence = 4096
)

// scriptedWorker answers each kind of call with an error that can be changed.
type scriptedWorker struct {
	mu                                sync.Mutex
	startErr, stopErr, renewErr       error
	startCalls, stopCalls, renewCalls int
	lastStart                         time.Time
	running                           []chestnutpond.RunStatus
	// lines counts what the agent logs.
	lines   lineCounter
	paceErr error
}

// lineCounter counts log lines.
type lineCounter struct {
	count atomic.Int64
}

func (c *lineCounter) Write(line []byte) (int, error) {
	c.count.Add(1)
	return len(line), nil
}

func (w *scriptedWorker) set(change func(w *scriptedWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

func (w *scriptedWorker) Start(context.Context, chestnutpond.StartOrder) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startCalls++
	w.lastStart = time.Now()
	return 0, w.startErr
}

func (w *scriptedWorker) Stop(context.Context, chestnutpond.StopOrder) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopCalls++
	return 0, w.stopErr
}

func (w *scriptedWorker) Pace(context.Context, chestnutpond.PaceOrder) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 0, w.paceErr
}

func (w *scriptedWorker) Renew(ctx context.Context, o chestnutpond.RenewOrder) (chestnutpond.RunList, error) {
	w.mu.Lock()
	w.renewCalls++
	err, running := w.renewErr, w.running
	w.mu.Unlock()
	if err != nil {
		return chestnutpond.RunList{}, err
	}
	sleep(ctx, o.Wait)
	return chestnutpond.RunList{Clock: time.Hour, StartedMs: testLife.StartedMs, Running: running}, nil
}

// playOrders runs an agent beside a scripted worker in virtual time, with orders of a leader
// that grants leases without a pause.
func playOrders(t *testing.T, test func(t *testing.T, a *Agent, w *scriptedWorker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		began := time.Now()
		w := &scriptedWorker{}
		a := New(Config{
			Runner: w, Now: func() time.Duration { return time.Hour + time.Since(began) }, Lease: testLease,
			Log: slog.New(slog.NewTextHandler(&w.lines, nil)), Metrics: stats.New(),
		})
		a.reported, a.described = true, true
		a.worker = chestnutpond.WorkerInfo{ID: testLife.ID, StartedMs: testLife.StartedMs, State: chestnutpond.WorkerReady}
		a.order(nil, nil)
		go (&leaseRenewer{agent: a}).loop(ctx)
		go (&orderExecutor{agent: a}).loop(ctx)
		go (&granter{agent: a}).loop(ctx)
		defer func() {
			stop()
			synctest.Wait()
		}()
		time.Sleep(time.Second)
		test(t, a, w)
	})
}

// granter grants leases as a leader does.
type granter struct {
	agent *Agent
}

func (g *granter) loop(ctx context.Context) {
	a := g.agent
	for ctx.Err() == nil {
		a.mu.Lock()
		a.grantEnd = a.cfg.Now() + testLease
		a.mu.Unlock()
		sleep(ctx, reportInterval)
	}
}

// order replaces the orders of the leader.
func (a *Agent) order(starts, stops []runKey) {
	message := &inner.WorkerOrders{Worker: testLife.ID, Born: testLife.StartedMs, Epoch: 1, Fence: testFence}
	for _, key := range starts {
		message.Starts = append(message.Starts, &inner.StartRow{Task: key.task.String(), Run: key.run})
	}
	for _, key := range stops {
		message.Stops = append(message.Stops, &inner.StopRow{Task: key.task.String(), Run: key.run})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setOrders(message)
}

// report returns what the agent reports to the leader.
func (a *Agent) report() *inner.WorkerReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	message := &inner.WorkerReport{}
	a.fillReport(message, a.cfg.Now())
	return message
}

// Guards against a run that is never settled because the order to stop it has no outcome on a
// lost worker, and against stop calls that are repeated after their order was withdrawn.
func TestStopOnLostWorker(t *testing.T) {
	playOrders(t, func(t *testing.T, a *Agent, w *scriptedWorker) {
		w.set(func(w *scriptedWorker) { w.stopErr, w.renewErr = errNotSent, errNotSent })
		a.order(nil, []runKey{testRun})
		time.Sleep(testLease / 2)
		assert.Equal(t, len(a.report().GetLapsed()), 0, "the lease is not over")
		time.Sleep(testLease)
		lapsed := a.report().GetLapsed()
		assert.Equal(t, len(lapsed), 1)
		assert.Equal(t, lapsed[0].GetTask(), testRun.task.String())
		a.order(nil, nil)
		time.Sleep(time.Second)
		before := 0
		w.set(func(w *scriptedWorker) { before = w.stopCalls })
		time.Sleep(time.Minute)
		w.set(func(w *scriptedWorker) { assert.Equal(t, w.stopCalls, before) })
		assert.Equal(t, len(a.report().GetLapsed()), 0)
	})
}

// Guards against a run that is never started or stopped because its order had no effect when
// the leader listed it first, and the leader lists it again.
func TestOrderListedAgain(t *testing.T) {
	refused := func(r chestnutpond.Refusal) error { return &chestnutpond.RefusedError{Refusal: r} }
	for name, c := range map[string]struct {
		startErr, stopErr error
		starts, stops     []runKey
		// withdrawn means that the leader does not list the order for a moment.
		withdrawn bool
	}{
		"start not sent, withdrawn":     {startErr: errNotSent, starts: []runKey{testRun}, withdrawn: true},
		"start not answered, withdrawn": {startErr: context.DeadlineExceeded, starts: []runKey{testRun}, withdrawn: true},
		"start refused by the fence":    {startErr: refused(chestnutpond.RefusedFence), starts: []runKey{testRun}},
		"start in doubt, stop withdrawn": {
			startErr: refused(chestnutpond.RefusedCapacity), stopErr: errNotSent, starts: []runKey{testRun}, withdrawn: true,
		},
		"stop withdrawn": {stopErr: errNotSent, stops: []runKey{testRun}, withdrawn: true},
	} {
		t.Run(name, func(t *testing.T) {
			playOrders(t, func(t *testing.T, a *Agent, w *scriptedWorker) {
				w.set(func(w *scriptedWorker) { w.startErr, w.stopErr = c.startErr, c.stopErr })
				if c.starts != nil && c.stopErr != nil {
					a.mu.Lock()
					a.doubts[testRun] = a.cfg.Now()
					a.mu.Unlock()
				}
				a.order(c.starts, c.stops)
				time.Sleep(5 * orderRetryDelay)
				if c.withdrawn {
					a.order(nil, nil)
					time.Sleep(2 * maxOrderRetryDelay)
				}
				starts, stops := 0, 0
				w.set(func(w *scriptedWorker) {
					w.startErr, w.stopErr = nil, nil
					starts, stops = w.startCalls, w.stopCalls
				})
				a.order(c.starts, c.stops)
				time.Sleep(reportInterval)
				w.set(func(w *scriptedWorker) {
					assert.Equal(t, w.startCalls-starts, len(c.starts))
					assert.Equal(t, w.stopCalls-stops, len(c.stops))
				})
			})
		})
	}
}

// Guards against work that is placed on a worker that accepts no connections, against calls and
// log lines in numbers that grow with the orders, and against a late return of the worker.
func TestUnreachableWorker(t *testing.T) {
	const orders, lost = 200, time.Minute
	var starts, stops []runKey
	for i := range orders {
		starts = append(starts, runKey{chestnutpond.TaskRef{Job: "00000000000000a1", Index: i}, 1})
		stops = append(stops, runKey{chestnutpond.TaskRef{Job: "00000000000000a2", Index: i}, 1})
	}
	playOrders(t, func(t *testing.T, a *Agent, w *scriptedWorker) {
		assert.Assert(t, !a.report().GetUnhealthy())
		w.set(func(w *scriptedWorker) { w.startErr, w.stopErr, w.renewErr = errNotSent, errNotSent, errNotSent })
		time.Sleep(2 * holdWait)
		assert.Assert(t, a.report().GetUnhealthy(), "the leader is not told")
		a.order(starts, stops)
		time.Sleep(lost)
		w.set(func(w *scriptedWorker) {
			assert.Equal(t, w.startCalls+w.stopCalls, 0)
			assert.Assert(t, w.renewCalls <= int(lost/maxHoldPause)+10, "%d calls", w.renewCalls)
			lines := w.lines.count.Load()
			assert.Assert(t, lines <= int64(lost/warningInterval)+10, "%d lines", lines)
			w.startErr, w.stopErr, w.renewErr = nil, nil, nil
		})
		time.Sleep(2 * maxHoldPause)
		assert.Assert(t, !a.report().GetUnhealthy())
		a.order(nil, nil)
		time.Sleep(holdWait)
		a.order(starts, stops)
		time.Sleep(holdWait)
		w.set(func(w *scriptedWorker) {
			assert.Equal(t, w.startCalls, orders)
			assert.Equal(t, w.stopCalls, orders)
		})
	})
}

// Guards against a log line for each call that a worker refuses.
func TestRefusingWorkerIsLoggedOnceASecond(t *testing.T) {
	playOrders(t, func(t *testing.T, _ *Agent, w *scriptedWorker) {
		w.set(func(w *scriptedWorker) { w.renewErr = &chestnutpond.RefusedError{Refusal: chestnutpond.RefusedFence} })
		time.Sleep(time.Minute)
		lines := w.lines.count.Load()
		assert.Assert(t, lines > 0 && lines <= int64(time.Minute/warningInterval)+1, "%d lines", lines)
	})
}

// Guards against a worker that has left and counts as lost, which is an alarm.
func TestDepartedWorkerIsNotUnreachable(t *testing.T) {
	for name, leave := range map[string]chestnutpond.WorkerIncarnation{
		"start time stated": testLife,
		"confirmed later":   {ID: testLife.ID},
	} {
		t.Run(name, func(t *testing.T) {
			playOrders(t, func(t *testing.T, a *Agent, w *scriptedWorker) {
				w.set(func(w *scriptedWorker) { w.renewErr = errNotSent })
				time.Sleep(2 * holdWait)
				assert.Assert(t, a.isUnreachable())
				a.HandleLeave(leave)
				time.Sleep(time.Second)
				assert.Assert(t, a.report().GetLeft())
				assert.Assert(t, !a.isUnreachable())
			})
		})
	}
}

// Guards against orders that are repeated late after calls that timed out, and against ones that
// are repeated without a pause.
func TestOrderRetry(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want time.Duration
	}{
		"timed out":          {fmt.Errorf("start: %w", context.DeadlineExceeded), orderRetryDelay},
		"not sent":           {errNotSent, maxOrderRetryDelay},
		"connection is lost": {syscall.ECONNRESET, maxOrderRetryDelay},
	} {
		t.Run(name, func(t *testing.T) {
			r := newOrderRetry()
			assert.Equal(t, r.delayAfter(c.err), orderRetryDelay)
			for range 10 {
				r.delayAfter(c.err)
			}
			assert.Equal(t, r.delayAfter(c.err), c.want)
		})
	}
}

// Guards against a start that is reported as refused although the former process of the agent may
// have sent it, and against needless stops of orders that nobody else has had.
func TestRefusalOfAnOrderOfTheFormerProcess(t *testing.T) {
	refused := &chestnutpond.RefusedError{Refusal: chestnutpond.RefusedCapacity}
	for name, c := range map[string]struct {
		firstBoot string
		draining  bool
		running   bool
		startErr  error
		// age is the time since the start of the process.
		age time.Duration
		// starts and stops are the calls, doubts and refusals what is reported.
		starts, stops, doubts, refusals int
	}{
		"own, worker drains":               {firstBoot: "boot-2", draining: true, refusals: 1},
		"own, worker refuses":              {firstBoot: "boot-2", startErr: refused, starts: 1, refusals: 1},
		"former process, worker drains":    {firstBoot: "boot-1", draining: true, stops: 1, doubts: 1, refusals: 1},
		"former process, worker refuses":   {firstBoot: "boot-1", startErr: refused, starts: 1, stops: 1, doubts: 1, refusals: 1},
		"former process, run is listed":    {firstBoot: "boot-1", draining: true, running: true, doubts: 1},
		"former process, worker starts it": {firstBoot: "boot-1", starts: 1, doubts: 1},
		"former process ended long ago":    {firstBoot: "boot-1", draining: true, age: maxOrderDelay, refusals: 1},
		"former leader, worker drains":     {draining: true, stops: 1, refusals: 1},
	} {
		t.Run(name, func(t *testing.T) {
			playOrders(t, func(t *testing.T, a *Agent, w *scriptedWorker) {
				w.set(func(w *scriptedWorker) {
					w.startErr = c.startErr
					if c.running {
						w.running = []chestnutpond.RunStatus{{Task: testRun.task, Run: testRun.run}}
					}
				})
				time.Sleep(max(3*holdWait, c.age))
				a.mu.Lock()
				a.cfg.Boot = "boot-2"
				if c.draining {
					a.worker.State = chestnutpond.WorkerDraining
				}
				a.setOrders(&inner.WorkerOrders{
					Worker: testLife.ID, Born: testLife.StartedMs, Epoch: 1, Fence: testFence,
					Starts: []*inner.StartRow{{Task: testRun.task.String(), Run: testRun.run, FirstBoot: c.firstBoot}},
				})
				a.mu.Unlock()
				time.Sleep(3 * holdWait)
				w.set(func(w *scriptedWorker) {
					assert.Equal(t, w.startCalls, c.starts, "start calls")
					assert.Equal(t, w.stopCalls, c.stops, "stop calls")
				})
				assert.Equal(t, len(a.report().GetDoubts()), c.doubts)
				assert.Equal(t, len(a.report().GetRefused()), c.refusals)
			})
		})
	}
}

// Guards against refused work that is placed elsewhere late, because the lists that show its
// absence wait for the end of another run.
func TestRefusalIsReportedSoon(t *testing.T) {
	playOrders(t, func(t *testing.T, a *Agent, w *scriptedWorker) {
		w.set(func(w *scriptedWorker) {
			w.startErr = &chestnutpond.RefusedError{Refusal: chestnutpond.RefusedCapacity}
		})
		for range 20 {
			a.order([]runKey{testRun}, nil)
			time.Sleep(holdWait + 20*time.Millisecond)
			assert.Equal(t, len(a.report().GetRefused()), 1)
			a.order(nil, nil)
			time.Sleep(90 * time.Millisecond)
		}
	})
}
