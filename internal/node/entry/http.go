package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	headerOutcome     = "Chestnutpond-Outcome"
	headerRequest     = "Chestnutpond-Request-Id"
	headerUpstream    = "Chestnutpond-Upstream"
	headerCallTimeout = "Chestnutpond-Timeout"
	headerCaller      = "Chestnutpond-Caller"
	headerVersion     = "Chestnutpond-Version"
	headerKey         = "Idempotency-Key"

	// maxKey and maxCaller bound names that callers give, in bytes.
	maxKey    = 256
	maxCaller = 128
	// maxJSON bounds a JSON body beyond the payload that it carries, in bytes.
	maxJSON = 16 << 10
	// maxDocument bounds a service document, in bytes.
	maxDocument = 1 << 20
)

// failure is the body of every answer that is not the caller's own.
type failure struct {
	Outcome chestnutpond.Outcome `json:"outcome"`
	Reason  chestnutpond.Reason  `json:"reason,omitempty"`
	Detail  string               `json:"detail,omitempty"`
	ID      string               `json:"id,omitempty"`
	Version int64                `json:"version,omitempty"`
}

// caller is who sent an HTTP request.
type caller struct {
	// account is empty for an operator.
	account  chestnutpond.Account
	operator string
}

func (e *Entry) routes() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HidePort = true
	r.HTTPErrorHandler = failRoute
	r.Use(e.countRefusals)
	r.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", e.getReady)
	r.GET("/metrics", echo.WrapHandler(e.cfg.Metrics))
	r.POST("/v1/requests/:kind", e.asAccount(e.postRequest))
	r.POST("/v1/jobs", e.asAccount(e.postJob))
	r.GET("/v1/jobs", e.asAny(e.getJobs))
	r.GET("/v1/jobs/:id", e.asAny(e.getJob))
	r.DELETE("/v1/jobs/:id", e.asAny(e.deleteJob))
	r.GET("/v1/status", e.asAny(e.getStatus))
	r.PUT("/v1/document", e.asOperator(e.putDocument))
	r.GET("/v1/document", e.asOperator(e.getDocument))
	r.GET("/v1/publications/:id", e.asOperator(e.getPublication))
	r.GET("/v1/events", e.asOperator(e.getEvents))
	return r
}

// failureKey is where fail leaves what it answered, for countRefusals.
const failureKey = "failure"

// countRefusals counts the answers that are not what the caller asked for.
func (e *Entry) countRefusals(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err != nil {
			// Answered here, so that an unknown path is counted too.
			c.Error(err)
		}
		if f, ok := c.Get(failureKey).(failure); ok {
			e.cfg.Metrics.Counter("refusals_total", "Answers that are not what the caller asked for, by outcome and reason.",
				stats.Label{Name: "outcome", Value: string(f.Outcome)},
				stats.Label{Name: "reason", Value: string(f.Reason)}).Inc(1)
		}
		return nil
	}
}

// failRoute answers what no handler answered: an unknown path or method.
func failRoute(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var unrouted *echo.HTTPError
	if errors.As(err, &unrouted) && unrouted.Code < http.StatusInternalServerError {
		_ = reject(c, unrouted.Code, chestnutpond.ReasonNoRoute,
			c.Request().Method+" "+c.Request().URL.Path+" is not part of the interface")
		return
	}
	_ = fail(c, http.StatusInternalServerError, failure{Outcome: chestnutpond.OutcomeUnknown})
}

func (e *Entry) getReady(c echo.Context) error {
	if !e.Ready() {
		return c.String(http.StatusServiceUnavailable, e.notReady())
	}
	return c.String(http.StatusOK, "ok\n")
}

func (e *Entry) notReady() string {
	switch {
	case e.stopping.Load():
		return "draining\n"
	case e.tail.Err() != nil:
		return e.tail.Err().Error() + "\n"
	case !e.tail.Loaded():
		return "no state: neither the log service nor another entry answered yet\n"
	}
	return "no document was published yet\n"
}

type handler func(c echo.Context, who caller) error

func (e *Entry) asAccount(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.identify(c)
		if !ok {
			return e.unidentified(c)
		}
		if who.operator != "" {
			return reject(c, http.StatusForbidden, chestnutpond.ReasonUnauthorized, "an operator has no client account")
		}
		return next(c, who)
	}
}

func (e *Entry) asOperator(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.identify(c)
		if !ok {
			return unauthorized(c)
		}
		if who.operator == "" {
			return reject(c, http.StatusForbidden, chestnutpond.ReasonUnauthorized, "only operators may do this")
		}
		return next(c, who)
	}
}

func (e *Entry) asAny(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.identify(c)
		if !ok {
			return e.unidentified(c)
		}
		return next(c, who)
	}
}

// identify finds the account or operator of the bearer token. Only digests are
// compared, so the time that it takes tells nothing about a token.
func (e *Entry) identify(c echo.Context) (caller, bool) {
	token, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !found || token == "" {
		return caller{}, false
	}
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, o := range e.cfg.Operators {
		if o.TokenSHA256 == digest {
			return caller{operator: o.Name}, true
		}
	}
	doc, _ := e.current()
	for _, a := range doc.Accounts {
		if a.TokenSHA256 == digest {
			return caller{account: a}, true
		}
	}
	return caller{}, false
}

// unidentified answers a call whose token belongs to nobody. Before the first
// document this entry knows no account, so it cannot tell a wrong token from a
// right one.
func (e *Entry) unidentified(c echo.Context) error {
	if e.ConfigVersion() == 0 && c.Request().Header.Get(echo.HeaderAuthorization) != "" {
		return failNotRun(c, chestnutpond.ReasonNoConfig, "this entry has no document yet", time.Second)
	}
	return unauthorized(c)
}

func unauthorized(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
	return reject(c, http.StatusUnauthorized, chestnutpond.ReasonUnauthorized, "the bearer token is missing or unknown")
}

func reject(c echo.Context, status int, reason chestnutpond.Reason, detail string) error {
	return fail(c, status, failure{Outcome: chestnutpond.OutcomeRejected, Reason: reason, Detail: detail})
}

func fail(c echo.Context, status int, f failure) error {
	c.Set(failureKey, f)
	c.Response().Header().Set(headerOutcome, string(f.Outcome))
	return c.JSON(status, f)
}

// failNotRun answers that the work did not run and will not run.
func failNotRun(c echo.Context, reason chestnutpond.Reason, detail string, retryAfter time.Duration) error {
	seconds := int(max(retryAfter, time.Second) / time.Second)
	c.Response().Header().Set(echo.HeaderRetryAfter, itoa(int64(seconds)))
	status := http.StatusServiceUnavailable
	switch reason {
	case chestnutpond.ReasonQueueFull, chestnutpond.ReasonCallerLimit, chestnutpond.ReasonJobLimit:
		status = http.StatusTooManyRequests
	}
	return fail(c, status, failure{Outcome: chestnutpond.OutcomeNotRun, Reason: reason, Detail: detail})
}

var errTooLarge = Error.New("body is too large")

// readBody reads at most limit bytes.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errTooLarge
	}
	return body, err
}

func rejectBody(c echo.Context, err error, limit int64) error {
	if errors.Is(err, errTooLarge) {
		return reject(c, http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge,
			"the body may have at most "+itoa(limit)+" bytes")
	}
	return reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody, "the body could not be read: "+err.Error())
}
