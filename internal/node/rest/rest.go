// Package rest implements the project's own HTTP interface for graphs of tasks.
//
// It uses the same paths as the interface for gangs of accelerators, so that one command
// line client works with both: jobs are submitted, shown and cancelled under /v1/jobs,
// and /v1/status shows the deployment. POST /v1/where takes a job as a submission does and
// says where it would be placed. A job is a YAML document as parsed by jobdoc, or
// in short form a JSON object that describes one gang. The id of a job is derived from
// its service, account and idempotency key, so that a repeated submission identifies
// the same job.
package rest

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

const (
	// storeTimeout bounds the store calls of a submission or cancellation.
	storeTimeout = 5 * time.Second
	// jobIDDigits is the length of a job id in hexadecimal digits, the same as on the
	// users' platform.
	jobIDDigits = 16
)

// Config configures the handler.
type Config struct {
	// Name is the name of the entry.
	Name string
	// Intake and Inspector handle the calls in the entry.
	Intake    chestnutpond.GraphService
	Inspector chestnutpond.Inspector
	// Forecaster evaluates jobs that are not submitted.
	Forecaster chestnutpond.PlacementForecaster
}

// server implements the HTTP handlers.
type server struct {
	cfg Config
}

// New returns the handler of the interface.
func New(c Config) http.Handler {
	s := &server{cfg: c}
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	r.HTTPErrorHandler = reply.NoRoute
	r.POST("/v1/jobs", s.postJob)
	r.GET("/v1/jobs", s.authenticated(s.getJobs))
	r.GET("/v1/jobs/:id", s.authenticated(s.getJob))
	r.DELETE("/v1/jobs/:id", s.authenticated(s.deleteJob))
	r.POST("/v1/where", s.postWhere)
	r.GET("/v1/status", s.authenticated(s.getStatus))
	return r
}

// handler handles a call of an authenticated account.
type handler func(c echo.Context, account string) error

// authenticated returns a handler that calls next with the account of the call's bearer
// token.
func (s *server) authenticated(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		account, v := s.cfg.Inspector.Identify(bearerToken(c))
		if v.Outcome != chestnutpond.OutcomeAnswered {
			return writeVerdict(c, v, "")
		}
		return next(c, account)
	}
}

func bearerToken(c echo.Context) string {
	token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	return token
}

// jobResponse is the response to an accepted submission or cancellation.
type jobResponse struct {
	Outcome chestnutpond.Outcome  `json:"outcome"`
	ID      chestnutpond.JobID    `json:"id"`
	State   chestnutpond.JobState `json:"state,omitempty"`
}

func (s *server) postJob(c echo.Context) error {
	job, err := readJob(c)
	if err != nil {
		return err.write(c)
	}
	target, v := s.cfg.Intake.Route(chestnutpond.RouteRequest{Kind: job.Kind, Token: bearerToken(c)})
	if v.Outcome != chestnutpond.OutcomeAnswered {
		return writeVerdict(c, v, "")
	}
	job.Graph.ID = jobID(target, c.Request().Header.Get(reply.HeaderKey))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), storeTimeout)
	defer cancel()
	v = s.cfg.Intake.Submit(ctx, target, job.Graph)
	if v.Outcome != chestnutpond.OutcomeAccepted {
		return writeVerdict(c, v, job.Graph.ID)
	}
	c.Response().Header().Set(reply.HeaderOutcome, string(v.Outcome))
	return c.JSON(http.StatusAccepted, jobResponse{Outcome: v.Outcome, ID: job.Graph.ID})
}

// jobID derives the job id from the service, the account and the idempotency key. Without
// a key the id is random.
func jobID(target chestnutpond.RouteTarget, key string) chestnutpond.JobID {
	if key == "" {
		key = rand.Text()
	}
	sum := sha256.Sum256([]byte(target.Queue.Terms.Service + "\x00" + target.Account + "\x00" + key))
	return chestnutpond.JobID(hex.EncodeToString(sum[:])[:jobIDDigits])
}

// accountTarget returns a target that matches the account's jobs in any queue.
func accountTarget(account string) chestnutpond.RouteTarget {
	return chestnutpond.RouteTarget{Account: account}
}

func (s *server) deleteJob(c echo.Context, account string) error {
	id := chestnutpond.JobID(c.Param("id"))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), storeTimeout)
	defer cancel()
	v := s.cfg.Intake.Cancel(ctx, accountTarget(account), id)
	if v.Outcome != chestnutpond.OutcomeCancelled {
		return writeVerdict(c, v, id)
	}
	state, _ := s.cfg.Intake.State(ctx, accountTarget(account), id)
	c.Response().Header().Set(reply.HeaderOutcome, string(v.Outcome))
	return c.JSON(http.StatusOK, jobResponse{Outcome: v.Outcome, ID: id, State: state})
}

// rejectionStatuses maps reasons to HTTP statuses. Other rejections are bad requests.
var rejectionStatuses = map[chestnutpond.Reason]int{
	chestnutpond.ReasonUnknownKind:  http.StatusNotFound,
	chestnutpond.ReasonUnknownJob:   http.StatusNotFound,
	chestnutpond.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	chestnutpond.ReasonIDInUse:      http.StatusConflict,
}

// writeVerdict writes the response for a result other than success.
func writeVerdict(c echo.Context, v chestnutpond.CallResult, id chestnutpond.JobID) error {
	switch {
	case v.Reason == chestnutpond.ReasonUnauthorized:
		return reply.Unauthorized(c)
	case v.Outcome == chestnutpond.OutcomeNotRun:
		return reply.NotRun(c, v.Reason, "", v.RetryAfter)
	case v.Outcome == chestnutpond.OutcomeRejected:
		status, ok := rejectionStatuses[v.Reason]
		if !ok {
			status = http.StatusBadRequest
		}
		return reply.Reject(c, status, v.Reason, "")
	}
	return reply.Fail(c, http.StatusGatewayTimeout, reply.Failure{
		Outcome: chestnutpond.OutcomeUnknown, Reason: v.Reason,
		Detail: "ask for the job by its id, or send the same call again with the same key", ID: string(id),
	})
}
