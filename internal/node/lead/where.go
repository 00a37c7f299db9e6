package lead

import (
	"context"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// whereRate is the number of evaluations per second that a leader makes, and that another
	// entry asks it for.
	whereRate = 5
	// whereShare is the share of its time that a leader spends on evaluations at most. On 60
	// workers an evaluation takes 5 ms of a core, of which the leader has 0.19.
	whereShare = 0.1
	// whereTimeout bounds a call to the leader.
	whereTimeout = 2 * time.Second
	// whereConnection is the use under which the mesh keeps connections for these calls.
	whereConnection = "where"
	// maxWhereAge is how long ago the store may have confirmed the claim of a leader that
	// evaluates. Later it may have been replaced without knowing. It confirms it every 0.5 s.
	maxWhereAge = 2 * time.Second
	// noLeaderRetry is when a call that found no leader may be repeated. Another entry claims
	// within about that time.
	noLeaderRetry = time.Second
)

// budget bounds the rate and the cost of evaluations.
type budget struct {
	limiter *rate.Limiter
	// restsUntil is the end of the pause that keeps the cost within whereShare.
	restsUntil time.Duration
}

func newBudget() *budget { return &budget{limiter: rate.NewLimiter(whereRate, 1)} }

// take takes an evaluation, or returns how long to wait for one.
func (b *budget) take(now time.Duration) time.Duration {
	at := time.Unix(0, int64(now))
	r := b.limiter.ReserveN(at, 1)
	wait := max(r.DelayFrom(at), b.restsUntil-now)
	if wait <= 0 {
		return 0
	}
	r.CancelAt(at)
	return wait
}

// spend records that an evaluation took so long until now.
func (b *budget) spend(now, took time.Duration) {
	b.restsUntil = now + time.Duration(float64(took)*(1-whereShare)/whereShare)
}

// ForecastPlacement returns where a job would be placed if it were accepted now. The leader evaluates
// it: this entry or, over the inner protocol, another one.
func (m *Manager) ForecastPlacement(ctx context.Context, g *chestnutpond.Graph) (chestnutpond.PlacementForecast, chestnutpond.CallResult) {
	m.mu.Lock()
	leads, leader := m.term != nil, m.table.Leader()
	m.mu.Unlock()
	if leads {
		return m.evaluate(0, g)
	}
	if leader.GetEpoch() == 0 || leader.GetReleased() || leader.GetEntry().GetName() == m.cfg.Self.GetName() {
		return chestnutpond.PlacementForecast{}, noLeader("no entry leads at present")
	}
	m.mu.Lock()
	wait := m.forwards.take(m.cfg.Now())
	m.mu.Unlock()
	if wait > 0 {
		return chestnutpond.PlacementForecast{}, overLimit(wait)
	}
	return m.askLeader(ctx, leader, g)
}

// ForecastJob is ForecastPlacement for a job of the table.
func (m *Manager) ForecastJob(ctx context.Context, id chestnutpond.JobID) (chestnutpond.PlacementForecast, chestnutpond.CallResult) {
	m.mu.Lock()
	j := m.table.Job(id)
	m.mu.Unlock()
	if j == nil {
		return chestnutpond.PlacementForecast{}, chestnutpond.CallResult{
			Outcome: chestnutpond.OutcomeRejected, Reason: chestnutpond.ReasonUnknownJob,
		}
	}
	// The graph of a job never changes.
	return m.ForecastPlacement(ctx, j.Graph)
}

// askLeader asks another entry, which leads by the records that this one has read.
func (m *Manager) askLeader(ctx context.Context, leader graph.Leader, g *chestnutpond.Graph) (chestnutpond.PlacementForecast, chestnutpond.CallResult) {
	name, address := leader.GetEntry().GetName(), leader.GetEntry().GetAddress()
	record, err := graph.JobRecord(g)
	if err != nil {
		return chestnutpond.PlacementForecast{}, chestnutpond.CallResult{
			Outcome: chestnutpond.OutcomeRejected, Reason: chestnutpond.ReasonBadBody, Detail: err.Error(),
		}
	}
	conn, err := m.cfg.Mesh.Conn(address, whereConnection)
	if err != nil {
		return chestnutpond.PlacementForecast{}, noLeader(err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	reply, err := inner.NewLeadClient(conn).Where(ctx, &inner.WhereRequest{Epoch: leader.GetEpoch(), Job: record.Value})
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			m.cfg.Mesh.Replace(address, whereConnection, conn)
		}
		m.cfg.Log.Warn("job not evaluated: the leader did not answer", "leader", name, "epoch", leader.GetEpoch(), "error", err)
		if status.Code(err) == codes.Unimplemented {
			return chestnutpond.PlacementForecast{}, noLeader("the leader " + name + " has a release that evaluates no jobs")
		}
		return chestnutpond.PlacementForecast{}, noLeader("the leader " + name + " cannot be reached")
	}
	switch chestnutpond.Reason(reply.GetRefusal()) {
	case "":
		return decodePlacement(reply), chestnutpond.CallResult{Outcome: chestnutpond.OutcomeAnswered}
	case chestnutpond.ReasonEvaluationLimit:
		return chestnutpond.PlacementForecast{}, overLimit(time.Duration(reply.GetRetryAfterMs()) * time.Millisecond)
	}
	return chestnutpond.PlacementForecast{}, noLeader("the entry " + name + " does not lead any more, or cannot reach the store")
}

// Where implements inner.LeadServer.
func (m *Manager) Where(_ context.Context, q *inner.WhereRequest) (*inner.WhereReply, error) {
	g, err := graph.ParseJob(q.GetJob())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	f, v := m.evaluate(q.GetEpoch(), g)
	if v.Outcome != chestnutpond.OutcomeAnswered {
		return &inner.WhereReply{Refusal: string(v.Reason), RetryAfterMs: v.RetryAfter.Milliseconds()}, nil
	}
	return encodePlacement(f), nil
}

// evaluate evaluates a job if this entry leads, in the given epoch or a later one.
func (m *Manager) evaluate(epoch int64, g *chestnutpond.Graph) (chestnutpond.PlacementForecast, chestnutpond.CallResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, began := m.term, m.cfg.Now()
	if t == nil || epoch > t.epoch || began-max(t.confirmedAt, m.feed.Status().Fresh) > maxWhereAge {
		m.countEvaluation(chestnutpond.ReasonNoLeader)
		return chestnutpond.PlacementForecast{}, noLeader("this entry leads, but cannot reach the store")
	}
	if wait := m.evaluations.take(began); wait > 0 {
		m.countEvaluation(chestnutpond.ReasonEvaluationLimit)
		return chestnutpond.PlacementForecast{}, overLimit(wait)
	}
	accepted := *g
	accepted.Accepted = m.cfg.WallClock()
	f := t.planner.Evaluate(began, accepted.Accepted, &accepted)
	f.Leader, f.Epoch = m.cfg.Self.GetName(), t.epoch
	now := m.cfg.Now()
	m.evaluations.spend(now, now-began)
	m.cfg.Metrics.Seconds("lead_evaluate_seconds", "Time of one evaluation of a job that is not submitted.").Observe(now - began)
	m.countEvaluation("")
	m.cfg.Log.Info("job evaluated", "account", g.Account, "queue", g.Queue.Name, "state", f.State(), "took", now-began)
	return f, chestnutpond.CallResult{Outcome: chestnutpond.OutcomeAnswered}
}

func (m *Manager) countEvaluation(refusal chestnutpond.Reason) {
	m.cfg.Metrics.Counter("lead_evaluations_total", "Evaluations of jobs that are not submitted, by the reason of a refusal.",
		stats.Label{Name: "refusal", Value: string(refusal)}).Inc(1)
}

func noLeader(detail string) chestnutpond.CallResult {
	return chestnutpond.CallResult{
		Outcome: chestnutpond.OutcomeNotRun, Reason: chestnutpond.ReasonNoLeader, Detail: detail, RetryAfter: noLeaderRetry,
	}
}

func overLimit(wait time.Duration) chestnutpond.CallResult {
	return chestnutpond.CallResult{
		Outcome: chestnutpond.OutcomeNotRun, Reason: chestnutpond.ReasonEvaluationLimit, RetryAfter: wait,
		Detail: "the leader evaluates at most 5 jobs a second, and spends at most a tenth of its time on it",
	}
}
