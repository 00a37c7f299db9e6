package jobsvc_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/node/jobsvc"
	"github.com/chestnutpond/chestnutpond/internal/node/lead"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

var (
	need   = chestnutpond.Resources{CPU: 7500, Memory: 16000, Accelerators: 8}
	urgent = chestnutpond.QueuePolicy{Name: "urgent", Priority: 0, Stretch: 1.5, TargetLatency: 400 * time.Millisecond}
)

// front is a Service on a store of its own, whose leader is the test.
type front struct {
	t       *testing.T
	service *jobsvc.Service
	store   *stand.KeyedStore
	way     *stand.StoreCaller
	ctx     context.Context
}

// serveAlone runs a test with a Service in virtual time, 20 s after the start.
func serveAlone(t *testing.T, test func(f *front)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer stop()
		f := &front{t: t, store: stand.NewKeyedStore(), ctx: ctx}
		f.way = &stand.StoreCaller{Store: f.store}
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		log, registry := slog.New(slog.DiscardHandler), stats.New()
		g := guard.New(guard.Config{Log: log, Metrics: registry})
		manager := lead.New(lead.Config{
			Self: &inner.EntryRow{Name: "e"}, Store: f.way, Now: now, WallClock: time.Now, Log: log, Metrics: registry, Guard: g,
			Forecasts: true,
		})
		f.service = jobsvc.New(jobsvc.Config{
			Store: f.way, StoreLatency: func() (time.Duration, time.Duration) { return 0, 0 }, Lead: manager, Now: now, WallClock: time.Now,
			Log: log, Metrics: registry, Guard: g, Admission: true,
			ParseDocument: func(string, []byte) (chestnutpond.Document, bool, error) {
				return chestnutpond.Document{Version: 1, Accounts: []chestnutpond.Account{{Name: "ventas", Accelerators: 40}}}, true, nil
			},
		})
		f.append(chestnutpond.TopicDesired, chestnutpond.KeyedRecord{Key: "document", Value: []byte("1")})
		go manager.Feed().Run(ctx)
		go f.service.Feed().Run(ctx)
		time.Sleep(20 * time.Second)
		test(f)
	})
}

func (f *front) append(topic chestnutpond.Topic, r chestnutpond.KeyedRecord) {
	_, err := (&stand.StoreCaller{Store: f.store}).Append(f.ctx, topic, chestnutpond.KeyedAppend{Records: []chestnutpond.KeyedRecord{r}})
	assert.NilError(f.t, err)
}

// publish sends a forecast by which urgent jobs start after the given delay.
func (f *front) publish(delay time.Duration, age time.Duration, accounts ...fcast.AccountUse) {
	d := fcast.Digest{Computed: time.Now().Add(-age), Accounts: accounts, Queues: []fcast.Queue{{Name: "urgent", Classes: []fcast.Class{
		{Shape: fcast.Shape{Need: need, Width: 5}, First: delay, Last: delay, LateLast: delay},
	}}}}
	record, err := graph.LeaderRecord(&inner.LeaderRecord{Epoch: 1, Nonce: "n", Forecast: d.Encode()})
	assert.NilError(f.t, err)
	f.append(chestnutpond.TopicWork, record)
	time.Sleep(50 * time.Millisecond)
}

// job returns an urgent job of 2 s, which has value if it ends within 10.2 s.
func job(id int) chestnutpond.Graph {
	return chestnutpond.Graph{
		ID: chestnutpond.JobID(fmt.Sprintf("%016x", id)), Steps: []chestnutpond.Step{{Count: 5, Need: need, Estimate: 2 * time.Second}},
	}
}

func (f *front) submit(account string, g chestnutpond.Graph) chestnutpond.CallResult {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	return f.service.Submit(ctx, chestnutpond.RouteTarget{Account: account, Queue: chestnutpond.Queue{Terms: urgent}}, g)
}

// stored reports whether the store has a record of the job.
func (f *front) stored(g chestnutpond.Graph) bool {
	for _, r := range f.store.Records(chestnutpond.TopicWork) {
		if id, ok := graph.JobOf(r.Key); ok && id == g.ID {
			return true
		}
	}
	return false
}

// TestAdmission guards against the rejection of jobs that have to be accepted, and against
// the acceptance, or the storage, of those that the forecast says are hopeless.
func TestAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		delay, age time.Duration
		account    string
		use        []fcast.AccountUse
		change     func(g *chestnutpond.Graph)
		before     func(f *front)
		rejected   bool
	}{
		"hopeless":                 {delay: 12 * time.Second, rejected: true},
		"late but of value":        {delay: 8 * time.Second},
		"stale forecast":           {delay: 30 * time.Second, age: 2 * time.Second},
		"guaranteed":               {delay: 30 * time.Second, account: "ventas"},
		"beyond the guarantee":     {delay: 30 * time.Second, account: "ventas", use: []fcast.AccountUse{{Account: "ventas", Accelerators: 40}}, before: holdGuarantee, rejected: true},
		"guarantee free in store":  {delay: 30 * time.Second, account: "ventas", use: []fcast.AccountUse{{Account: "ventas", Accelerators: 40}}},
		"smaller than the classes": {delay: 30 * time.Second, change: func(g *chestnutpond.Graph) { g.Steps[0].Count = 4 }},
		"scheduled": {delay: 30 * time.Second, change: func(g *chestnutpond.Graph) {
			g.Schedule = chestnutpond.Schedule{First: time.Now(), Repetitions: 2, Every: time.Second}
		}},
		"perpetual":            {delay: 30 * time.Second, change: func(g *chestnutpond.Graph) { g.Steps[0].Perpetual = true }},
		"long by the estimate": {delay: 12 * time.Second, change: func(g *chestnutpond.Graph) { g.Steps[0].Estimate = 10 * time.Second }},
		"stored by another entry": {delay: 30 * time.Second, before: func(f *front) {
			g := job(1)
			g.Queue, g.Accepted = urgent, time.Now()
			record, err := graph.JobRecord(&g)
			assert.NilError(f.t, err)
			f.append(chestnutpond.TopicWork, record)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			serveAlone(t, func(f *front) {
				g := job(1)
				if c.change != nil {
					c.change(&g)
				}
				f.publish(c.delay, c.age, c.use...)
				if c.before != nil {
					c.before(f)
				}
				v := f.submit(c.account, g)
				if !c.rejected {
					assert.Equal(t, v.Outcome, chestnutpond.OutcomeAccepted, "%+v", v)
					return
				}
				assert.Equal(t, v.Outcome, chestnutpond.OutcomeNotRun, "%+v", v)
				assert.Equal(t, v.Reason, chestnutpond.ReasonNoCapacity)
				assert.Assert(t, v.RetryAfter >= time.Second && v.RetryAfter%time.Second == 0, "%s", v.RetryAfter)
				assert.Assert(t, !f.stored(g))
			})
		})
	}
}

// holdGuarantee has the account's guarantee in use by a job in the store.
func holdGuarantee(f *front) {
	g := job(99)
	g.Account, g.Queue, g.Accepted = "ventas", urgent, time.Now()
	record, err := graph.JobRecord(&g)
	assert.NilError(f.t, err)
	f.append(chestnutpond.TopicWork, record)
	time.Sleep(50 * time.Millisecond)
}

// TestReturnAfterRejection guards against a caller that follows its Retry-After and is
// rejected again because of jobs that came after it, and against callers that are all told to
// return at once.
func TestReturnAfterRejection(t *testing.T) {
	serveAlone(t, func(f *front) {
		seen := map[time.Duration]bool{}
		f.publish(12*time.Second, 0)
		for id := range 20 {
			v := f.submit("", job(id))
			assert.Equal(t, v.Outcome, chestnutpond.OutcomeNotRun)
			seen[v.RetryAfter] = true
		}
		assert.Assert(t, len(seen) > 1, "%v", seen)
		early := f.submit("", job(1))
		assert.Equal(t, early.Outcome, chestnutpond.OutcomeNotRun)
		time.Sleep(early.RetryAfter)
		// The wait has not become shorter: others arrived since.
		f.publish(12*time.Second, 0)
		assert.Equal(t, f.submit("", job(1)).Outcome, chestnutpond.OutcomeAccepted)
		assert.Equal(t, f.submit("", job(100)).Outcome, chestnutpond.OutcomeNotRun)
		time.Sleep(time.Minute)
		f.publish(12*time.Second, 0)
		assert.Equal(t, f.submit("", job(2)).Outcome, chestnutpond.OutcomeNotRun, "a job that returns much later is judged anew")
	})
}

// TestNoRejectionAfterDoubt guards against "not run" for a job whose record may still reach
// the store.
func TestNoRejectionAfterDoubt(t *testing.T) {
	serveAlone(t, func(f *front) {
		f.way.LoseNext(1000, 4*time.Second)
		v := f.submit("", job(1))
		assert.Equal(t, v.Outcome, chestnutpond.OutcomeUnknown)
		f.way.LoseNext(0, 0)
		f.publish(30*time.Second, 0)
		assert.Equal(t, f.submit("", job(1)).Outcome, chestnutpond.OutcomeAccepted)
	})
}

// TestRetryAfterOutage guards against callers that are sent back into an outage that is
// likely to last, or all at the same moment, and against a delay after which nothing is left
// of the 3 s for which they try.
func TestRetryAfterOutage(t *testing.T) {
	serveAlone(t, func(f *front) {
		delays := func() map[time.Duration]int {
			all := map[time.Duration]int{}
			for id := range 30 {
				v := f.submit("", job(id))
				assert.Equal(t, v.Reason, chestnutpond.ReasonLogUnavailable)
				all[v.RetryAfter]++
			}
			return all
		}
		f.store.SetDown(chestnutpond.StoreUnavailable)
		assert.DeepEqual(t, delays(), map[time.Duration]int{time.Second: 30})
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, len(delays()), 2)
		time.Sleep(30 * time.Second)
		late := delays()
		assert.Equal(t, len(late), 2)
		assert.Assert(t, late[time.Second] > 0 && late[2*time.Second] > 0, "%v", late)
	})
}
