// Package rest serves the product's own HTTP interface for graphs of tasks.
//
// It has the paths of the interface for gangs of accelerators, so the same command
// line works with either: jobs are submitted, shown and cancelled under /v1/jobs,
// and /v1/status shows the deployment. A job is the YAML text that jobdoc reads; the
// short form, a JSON object with a number of accelerators, stands for one gang. The
// id of a job follows from its account and its identity, so a repeated submission
// names the same job.
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
	// storeLimit bounds the wait for the store when a job is accepted, cancelled or
	// looked for.
	storeLimit = 5 * time.Second
	// idDigits is the number of hexadecimal digits of a job's id; the users' platform
	// has as many.
	idDigits = 16
)

// Config configures a handler.
type Config struct {
	// Name is that of the entry.
	Name string
	// Intake and Inspector are the entry's.
	Intake    chestnutpond.Intake
	Inspector chestnutpond.Inspector
}

// server answers the calls.
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
	r.GET("/v1/jobs", s.as(s.getJobs))
	r.GET("/v1/jobs/:id", s.as(s.getJob))
	r.DELETE("/v1/jobs/:id", s.as(s.deleteJob))
	r.GET("/v1/status", s.as(s.getStatus))
	return r
}

// handler answers a call of an account.
type handler func(c echo.Context, account string) error

// as has a handler called with the account of the call's token.
func (s *server) as(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		account, v := s.cfg.Inspector.Identify(bearer(c))
		if v.Outcome != chestnutpond.OutcomeAnswered {
			return answer(c, v, "")
		}
		return next(c, account)
	}
}

func bearer(c echo.Context) string {
	token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	return token
}

// accepted is the answer to an accepted or cancelled job.
type accepted struct {
	Outcome chestnutpond.Outcome  `json:"outcome"`
	ID      chestnutpond.JobID    `json:"id"`
	State   chestnutpond.JobState `json:"state,omitempty"`
}

func (s *server) postJob(c echo.Context) error {
	job, err := readJob(c)
	if err != nil {
		return err.answer(c)
	}
	target, v := s.cfg.Intake.Route(chestnutpond.IntakeCall{Kind: job.Kind, Token: bearer(c)})
	if v.Outcome != chestnutpond.OutcomeAnswered {
		return answer(c, v, "")
	}
	job.Graph.ID = jobID(target, c.Request().Header.Get(reply.HeaderKey))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), storeLimit)
	defer cancel()
	v = s.cfg.Intake.Submit(ctx, target, job.Graph)
	if v.Outcome != chestnutpond.OutcomeAccepted {
		return answer(c, v, job.Graph.ID)
	}
	c.Response().Header().Set(reply.HeaderOutcome, string(v.Outcome))
	return c.JSON(http.StatusAccepted, accepted{Outcome: v.Outcome, ID: job.Graph.ID})
}

// jobID derives the id from the account's key. Without a key it is random.
func jobID(target chestnutpond.IntakeTarget, key string) chestnutpond.JobID {
	if key == "" {
		key = rand.Text()
	}
	sum := sha256.Sum256([]byte(target.Queue.Terms.Service + "\x00" + target.Account + "\x00" + key))
	return chestnutpond.JobID(hex.EncodeToString(sum[:])[:idDigits])
}

// target returns what names the jobs of an account on any queue.
func target(account string) chestnutpond.IntakeTarget {
	return chestnutpond.IntakeTarget{Account: account}
}

func (s *server) deleteJob(c echo.Context, account string) error {
	id := chestnutpond.JobID(c.Param("id"))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), storeLimit)
	defer cancel()
	v := s.cfg.Intake.Cancel(ctx, target(account), id)
	if v.Outcome != chestnutpond.OutcomeCancelled {
		return answer(c, v, id)
	}
	state, _ := s.cfg.Intake.State(ctx, target(account), id)
	c.Response().Header().Set(reply.HeaderOutcome, string(v.Outcome))
	return c.JSON(http.StatusOK, accepted{Outcome: v.Outcome, ID: id, State: state})
}

// statuses are the HTTP statuses of rejections; others are answered as bad requests.
var statuses = map[chestnutpond.Reason]int{
	chestnutpond.ReasonUnknownKind: http.StatusNotFound,
	chestnutpond.ReasonUnknownJob:  http.StatusNotFound,
}

// answer answers with a verdict that is none of the good ones.
func answer(c echo.Context, v chestnutpond.Verdict, id chestnutpond.JobID) error {
	switch {
	case v.Reason == chestnutpond.ReasonUnauthorized:
		return reply.Unauthorized(c)
	case v.Outcome == chestnutpond.OutcomeNotRun:
		return reply.NotRun(c, v.Reason, "", v.RetryAfter)
	case v.Outcome == chestnutpond.OutcomeRejected:
		status, ok := statuses[v.Reason]
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
