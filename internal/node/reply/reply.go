// Package reply writes the answers of the product's HTTP interfaces that are not the
// caller's own result.
//
// Every such answer has a JSON body with an outcome and a reason, and the outcome in
// a header as well, so that a caller can tell "not run" from "unknown" whatever the
// status is.
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

// Error is the class of this package's errors.
var Error = errs.Class("reply")

// The headers that the interfaces share.
const (
	HeaderOutcome = "Chestnutpond-Outcome"
	HeaderKey     = "Idempotency-Key"
)

// MaxKey bounds the identity that a caller gives to its call, in bytes.
const MaxKey = 256

// Failure is the body of every answer that is not the caller's own.
type Failure struct {
	Outcome chestnutpond.Outcome `json:"outcome"`
	Reason  chestnutpond.Reason  `json:"reason,omitempty"`
	Detail  string               `json:"detail,omitempty"`
	ID      string               `json:"id,omitempty"`
	Version int64                `json:"version,omitempty"`
}

// failureKey is where Fail leaves what it answered.
const failureKey = "failure"

// Failed returns what Fail answered to a call, if it did.
func Failed(c echo.Context) (Failure, bool) {
	f, ok := c.Get(failureKey).(Failure)
	return f, ok
}

// Fail answers with a failure.
func Fail(c echo.Context, status int, f Failure) error {
	c.Set(failureKey, f)
	c.Response().Header().Set(HeaderOutcome, string(f.Outcome))
	return c.JSON(status, f)
}

// Reject answers that the input is wrong.
func Reject(c echo.Context, status int, reason chestnutpond.Reason, detail string) error {
	return Fail(c, status, Failure{Outcome: chestnutpond.OutcomeRejected, Reason: reason, Detail: detail})
}

// NotRun answers that the work did not run and will not run.
func NotRun(c echo.Context, reason chestnutpond.Reason, detail string, retryAfter time.Duration) error {
	seconds := int(max(retryAfter, time.Second) / time.Second)
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	status := http.StatusServiceUnavailable
	switch reason {
	case chestnutpond.ReasonQueueFull, chestnutpond.ReasonCallerLimit, chestnutpond.ReasonJobLimit:
		status = http.StatusTooManyRequests
	}
	return Fail(c, status, Failure{Outcome: chestnutpond.OutcomeNotRun, Reason: reason, Detail: detail})
}

// Unauthorized answers a call whose token is missing or unknown.
func Unauthorized(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
	return Reject(c, http.StatusUnauthorized, chestnutpond.ReasonUnauthorized, "the bearer token is missing or unknown")
}

// NoRoute answers what no handler answered: an unknown path or method.
func NoRoute(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var unrouted *echo.HTTPError
	if errors.As(err, &unrouted) && unrouted.Code < http.StatusInternalServerError {
		_ = Reject(c, unrouted.Code, chestnutpond.ReasonNoRoute,
			c.Request().Method+" "+c.Request().URL.Path+" is not part of the interface")
		return
	}
	_ = Fail(c, http.StatusInternalServerError, Failure{Outcome: chestnutpond.OutcomeUnknown})
}

// ErrTooLarge is the error of a body beyond its limit.
var ErrTooLarge = Error.New("body is too large")

// ReadBody reads at most limit bytes.
func ReadBody(c echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, ErrTooLarge
	}
	return body, err
}

// RejectBody answers a body that ReadBody did not return.
func RejectBody(c echo.Context, err error, limit int64) error {
	if errors.Is(err, ErrTooLarge) {
		return Reject(c, http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge,
			"the body may have at most "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return Reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody, "the body could not be read: "+err.Error())
}
