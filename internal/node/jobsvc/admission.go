package jobsvc

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/agemap"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	// maxForecastAge is the age from which on a forecast is not used. The leader sends one
	// every 0.5 s.
	maxForecastAge = 2 * time.Second
	// maxAdmissionRetry bounds the delay after which a caller is told to return.
	maxAdmissionRetry = 30 * time.Second
	// returnPeriod is how long after that delay a rejected job is still expected.
	returnPeriod = 10 * time.Second
	// maxRejections limits the rejected jobs that are remembered. A job that is not is
	// judged like a new one when it returns.
	maxRejections = 8192
	// doubtPeriod is how long an append without an answer may still be carried out; the
	// platform takes up to 12 s.
	doubtPeriod = 15 * time.Second
	// maxDoubts limits the jobs whose append is in doubt that are remembered. Nothing is
	// rejected while there are more.
	maxDoubts = 4096
)

// admission decides which jobs are rejected because they could not end in time. It is safe
// for concurrent use.
type admission struct {
	// mu guards the fields below; no other lock is taken while it is held.
	mu sync.Mutex
	// rejections has the first rejection of each job.
	rejections *agemap.Map[rejection]
	// sending counts the calls that are storing a job.
	sending map[chestnutpond.JobID]int
	// doubts has the jobs whose record may still reach the store.
	doubts *agemap.Map[struct{}]
	// pausedUntil is the time before which nothing is rejected, because doubts was full.
	pausedUntil time.Duration
}

// rejection is the first rejection of a job.
type rejection struct {
	at time.Duration
	// excess is how long after that the job could have been accepted, by the forecast.
	excess time.Duration
}

func newAdmission() *admission {
	return &admission{
		rejections: agemap.New[rejection](agemap.Config{Limit: maxRejections, MinAge: maxAdmissionRetry + returnPeriod}),
		sending:    map[chestnutpond.JobID]int{},
		doubts:     agemap.New[struct{}](agemap.Config{Limit: maxDoubts, MinAge: doubtPeriod}),
	}
}

// clockTime returns a time for the maps, which only compare times.
func clockTime(now time.Duration) time.Time { return time.Time{}.Add(now) }

// begin records that a call stores the job. It does nothing if a is nil.
func (a *admission) begin(id chestnutpond.JobID) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending[id]++
}

// end records the end of a call that begin recorded. InDoubt means that the job may still be
// stored.
func (a *admission) end(now time.Duration, id chestnutpond.JobID, inDoubt bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending[id]--; a.sending[id] == 0 {
		delete(a.sending, id)
	}
	if inDoubt && !a.doubts.Put(string(id), struct{}{}, clockTime(now)) {
		a.pausedUntil = now + doubtPeriod
	}
}

// mayBeStored reports whether a record of the job may be in the store, or may still reach
// it, through this entry.
func (a *admission) mayBeStored(now time.Duration, id chestnutpond.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, doubted := a.doubts.Get(string(id))
	return doubted || a.sending[id] > 0 || now < a.pausedUntil
}

// returned reports whether the job was rejected and the time has come at which it would have
// been accepted by the forecast then. What was accepted since does not count against it.
func (a *admission) returned(now time.Duration, id chestnutpond.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.rejections.Get(string(id))
	return ok && now >= r.at+r.excess && now < r.at+maxAdmissionRetry+returnPeriod
}

// reject records the rejection of a job and returns the time after which it may return.
func (a *admission) reject(now time.Duration, id chestnutpond.JobID, excess time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	excess = min(excess, maxAdmissionRetry)
	if r, ok := a.rejections.Get(string(id)); ok && now < r.at+r.excess {
		excess = r.at + r.excess - now
	} else {
		a.rejections.Put(string(id), rejection{at: now, excess: excess}, clockTime(now))
	}
	return spreadRetry(id, excess)
}

// spreadRetry returns whole seconds from the given time to half as long again, and at least
// from 1 s to 2 s, by the job's id.
func spreadRetry(id chestnutpond.JobID, after time.Duration) time.Duration {
	base := max(1, wholeSeconds(after))
	return min(maxAdmissionRetry, time.Duration(base+fcast.Spread(id, 1+(base+1)/2))*time.Second)
}

// wholeSeconds returns the time in seconds, rounded up.
func wholeSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// admit reports whether the job may be stored. If not, it returns the result of the call.
func (f *Service) admit(ctx context.Context, target chestnutpond.RouteTarget, g *chestnutpond.Graph) (chestnutpond.CallResult, bool) {
	if f.admission == nil || runsLong(g) {
		return chestnutpond.CallResult{}, true
	}
	if _, _, hopeless := f.judge(g); !hopeless {
		return chestnutpond.CallResult{}, true
	}
	// Another entry may have stored the job a moment ago. Only after a read to the end of the
	// store is the rejection true.
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := f.cfg.Lead.Feed().CatchUp(ctx); err != nil {
		return chestnutpond.CallResult{}, true
	}
	if v, known := f.repeated(target, g.ID); known {
		return v, false
	}
	j, age, hopeless := f.judge(g)
	if !hopeless {
		return chestnutpond.CallResult{}, true
	}
	if spared := f.sparedBy(g); spared != "" {
		f.countAdmission("front_spared_total", "Jobs accepted although they could not end in time, by queue and cause.", g, spared)
		return chestnutpond.CallResult{}, true
	}
	v := verdict(chestnutpond.OutcomeNotRun, chestnutpond.ReasonNoCapacity)
	v.RetryAfter = f.admission.reject(f.cfg.Now(), g.ID, j.Excess)
	f.countAdmission("front_rejections_total", rejectionsHelp, g, "forecast")
	f.cfg.Log.Info("job rejected: it could not end in time", "job", g.ID, "account", g.Account, "queue", g.Queue.Name,
		"priority", g.Queue.Priority, "delay", j.Delay, "end", j.End, "limit", j.Limit, "excess", j.Excess,
		"forecast_age", age, "retry_after", v.RetryAfter)
	return v, false
}

const rejectionsHelp = "Jobs rejected before they were stored, by queue and cause."

func (f *Service) countAdmission(name, help string, g *chestnutpond.Graph, cause string) {
	f.cfg.Metrics.Counter(name, help, stats.Label{Name: "queue", Value: g.Queue.Name}, stats.Label{Name: "cause", Value: cause}).Inc(1)
}

// forecastAge returns the age of the newest forecast in milliseconds, or -1.
func (f *Service) forecastAge() int64 {
	_, age, ok := f.cfg.Lead.Forecast()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// judge compares the newest forecast with the job. A job is not hopeless without a forecast
// that is new enough.
func (f *Service) judge(g *chestnutpond.Graph) (fcast.Judgement, time.Duration, bool) {
	digest, age, ok := f.cfg.Lead.Forecast()
	if !ok || age >= maxForecastAge {
		return fcast.Judgement{}, age, false
	}
	j := digest.Judge(g, age)
	return j, age, j.Hopeless
}

// sparedBy returns why a job that could not end in time is accepted, or an empty string.
func (f *Service) sparedBy(g *chestnutpond.Graph) string {
	now := f.cfg.Now()
	status := f.cfg.Lead.Feed().Status()
	switch {
	case f.admission.mayBeStored(now, g.ID):
		return "in_doubt"
	case status.Disconnected || now-status.Since < doubtPeriod:
		// The append of another entry may have got no answer meanwhile.
		return "recent_outage"
	case f.guaranteed(g):
		return "guaranteed"
	case f.admission.returned(now, g.ID):
		return "returned"
	}
	return ""
}

// guaranteed reports whether the job is urgent and its account's urgent work including it is
// within the account's guarantee, by the leader's forecast or by the entry's own records.
func (f *Service) guaranteed(g *chestnutpond.Graph) bool {
	if g.Queue.Priority != 0 || g.Account == "" {
		return false
	}
	f.mu.Lock()
	account, _ := f.document.Account(g.Account)
	f.mu.Unlock()
	if account.Accelerators <= 0 {
		return false
	}
	digest, _, _ := f.cfg.Lead.Forecast()
	use := min(digest.UrgentUse(g.Account), f.cfg.Lead.UrgentDemand(g.Account))
	return use+fcast.UrgentDemand(g) <= account.Accelerators
}

// runsLong reports whether the job runs until it is cancelled, or on a schedule.
func runsLong(g *chestnutpond.Graph) bool {
	return g.Schedule.Repetitions > 0 || slices.ContainsFunc(g.Steps, func(s chestnutpond.Step) bool { return s.Perpetual })
}
