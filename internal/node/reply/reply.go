// Package reply writes the error responses that the project's HTTP interfaces share.
//
// Every such response has a JSON body with an outcome and a reason. The outcome is also
// in a header, so that callers can distinguish "not run" from "unknown" whatever the
// status code.
package reply

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
)

// Error is the error class of this package.
var Error = errs.Class("reply")

// Headers that the interfaces share.
const (
	HeaderOutcome = "Chestnutpond-Outcome"
	HeaderKey     = "Idempotency-Key"
)

// MaxKeyBytes is the maximum length of an idempotency key in bytes.
const MaxKeyBytes = 256

// Failure is the body of an error response.
type Failure struct {
	Outcome chestnutpond.Outcome `json:"outcome"`
	Reason  chestnutpond.Reason  `json:"reason,omitempty"`
	Detail  string               `json:"detail,omitempty"`
	ID      string               `json:"id,omitempty"`
	Version int64                `json:"version,omitempty"`
}

// failureKey is the echo context key under which Fail stores the failure.
const failureKey = "failure"

// Failed returns the failure that Fail wrote for a call, if any.
func Failed(c echo.Context) (Failure, bool) {
	f, ok := c.Get(failureKey).(Failure)
	return f, ok
}

// Fail writes an error response.
func Fail(c echo.Context, status int, f Failure) error {
	c.Set(failureKey, f)
	c.Response().Header().Set(HeaderOutcome, string(f.Outcome))
	return c.JSON(status, f)
}

// Reject responds that the request is invalid.
func Reject(c echo.Context, status int, reason chestnutpond.Reason, detail string) error {
	return Fail(c, status, Failure{Outcome: chestnutpond.OutcomeRejected, Reason: reason, Detail: detail})
}

// NotRun responds that the work did not run and will not run.
func NotRun(c echo.Context, reason chestnutpond.Reason, detail string, retryAfter time.Duration) error {
	seconds := int(max(retryAfter, time.Second) / time.Second)
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	status := http.StatusServiceUnavailable
	switch reason {
	case chestnutpond.ReasonQueueFull, chestnutpond.ReasonCallerLimit, chestnutpond.ReasonJobLimit,
		chestnutpond.ReasonEvaluationLimit:
		status = http.StatusTooManyRequests
	}
	return Fail(c, status, Failure{Outcome: chestnutpond.OutcomeNotRun, Reason: reason, Detail: detail})
}

// Unauthorized responds to a call whose bearer token is missing or unknown.
func Unauthorized(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
	return Reject(c, http.StatusUnauthorized, chestnutpond.ReasonUnauthorized, "the bearer token is missing or unknown")
}

// NoRoute is the HTTP error handler for calls that no handler responded to, such as an
// unknown path or method.
func NoRoute(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError {
		_ = Reject(c, httpErr.Code, chestnutpond.ReasonNoRoute,
			c.Request().Method+" "+c.Request().URL.Path+" is not part of the interface")
		return
	}
	_ = Fail(c, http.StatusInternalServerError, Failure{Outcome: chestnutpond.OutcomeUnknown})
}

// ErrTooLarge is returned for a body above its size limit.
var ErrTooLarge = Error.New("body is too large")

// ReadBody reads the request body. It returns ErrTooLarge above limit bytes.
func ReadBody(c echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, ErrTooLarge
	}
	return body, err
}

// RejectBody writes the response for an error of ReadBody.
func RejectBody(c echo.Context, err error, limit int64) error {
	if errors.Is(err, ErrTooLarge) {
		return Reject(c, http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge,
			"the body may have at most "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return Reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody, "the body could not be read: "+err.Error())
}
