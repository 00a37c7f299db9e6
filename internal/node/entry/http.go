package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
)

const (
	headerRequest     = "Chestnutpond-Request-Id"
	headerUpstream    = "Chestnutpond-Upstream"
	headerCallTimeout = "Chestnutpond-Timeout"
	headerCaller      = "Chestnutpond-Caller"
	headerVersion     = "Chestnutpond-Version"

	// maxCaller is the maximum length of a caller name within its account, in bytes.
	maxCaller = 128
	// maxJSON is the maximum size of a JSON body without its payload, in bytes.
	maxJSON = 16 << 10
	// maxPauseWait bounds the wait for the log after a pause of the process, before the keys
	// of accounts are checked. A read that is not answered ends after 4 s.
	maxPauseWait = 5 * time.Second
	// maxDocument is the maximum size of a service document, in bytes.
	maxDocument = 1 << 20
)

// principal is the authenticated sender of an HTTP request.
type principal struct {
	// account is empty for an operator.
	account  chestnutpond.Account
	operator string
}

func (e *Entry) routes() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HidePort = true
	r.HTTPErrorHandler = reply.NoRoute
	r.Use(e.countRefusals)
	r.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", e.getReady)
	r.GET("/metrics", echo.WrapHandler(e.cfg.Metrics))
	r.POST("/v1/requests/:kind", e.requireAccount(e.postRequest))
	r.POST("/v1/jobs", e.requireAccount(e.postJob))
	r.GET("/v1/jobs", e.requireAny(e.getJobs))
	r.GET("/v1/jobs/:id", e.requireAny(e.getJob))
	r.DELETE("/v1/jobs/:id", e.requireAny(e.deleteJob))
	r.GET("/v1/status", e.requireAny(e.getStatus))
	r.PUT("/v1/document", e.requireOperator(e.putDocument))
	r.GET("/v1/document", e.requireOperator(e.getDocument))
	r.GET("/v1/publications/:id", e.requireOperator(e.getPublication))
	r.GET("/v1/evacuations", e.requireOperator(e.getEvacuations))
	r.PUT("/v1/evacuations", e.requireOperator(e.putEvacuation))
	r.DELETE("/v1/evacuations", e.requireOperator(e.deleteEvacuation))
	r.GET("/v1/events", e.requireOperator(e.getEvents))
	return r
}

// countRefusals counts error responses by outcome and reason.
func (e *Entry) countRefusals(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err != nil {
			// Writes the response here, so that unknown paths are counted too.
			c.Error(err)
		}
		if f, ok := reply.Failed(c); ok {
			e.cfg.Metrics.Counter("refusals_total", "Answers that are not what the caller asked for, by outcome and reason.",
				stats.Label{Name: "outcome", Value: string(f.Outcome)},
				stats.Label{Name: "reason", Value: string(f.Reason)}).Inc(1)
		}
		return nil
	}
}

func (e *Entry) getReady(c echo.Context) error {
	if !e.Ready() {
		return c.String(http.StatusServiceUnavailable, e.notReadyReason())
	}
	return c.String(http.StatusOK, "ok\n")
}

func (e *Entry) notReadyReason() string {
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

type handler func(c echo.Context, who principal) error

func (e *Entry) requireAccount(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.authenticate(c)
		if !ok {
			return e.rejectUnauthenticated(c)
		}
		if who.operator != "" {
			return reply.Reject(c, http.StatusForbidden, chestnutpond.ReasonUnauthorized, "an operator has no client account")
		}
		return next(c, who)
	}
}

func (e *Entry) requireOperator(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.authenticate(c)
		if !ok {
			return reply.Unauthorized(c)
		}
		if who.operator == "" {
			return reply.Reject(c, http.StatusForbidden, chestnutpond.ReasonUnauthorized, "only operators may do this")
		}
		return next(c, who)
	}
}

func (e *Entry) requireAny(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.authenticate(c)
		if !ok {
			return e.rejectUnauthenticated(c)
		}
		return next(c, who)
	}
}

// authenticate returns the account or operator of the bearer token. It compares
// only digests, so its timing reveals nothing about a token.
func (e *Entry) authenticate(c echo.Context) (principal, bool) {
	token, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !found || token == "" {
		return principal{}, false
	}
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, o := range e.cfg.Operators {
		if o.TokenSHA256 == digest {
			return principal{operator: o.Name}, true
		}
	}
	e.tail.AwaitRead(maxPauseWait)
	doc, _ := e.currentDocument()
	for _, a := range doc.Accounts {
		if a.TokenSHA256 == digest {
			return principal{account: a}, true
		}
	}
	return principal{}, false
}

// rejectUnauthenticated responds to a request with a missing or unknown token.
// Before the first document this entry has no accounts, so it cannot distinguish
// a valid token from an invalid one.
func (e *Entry) rejectUnauthenticated(c echo.Context) error {
	if e.ConfigVersion() == 0 && c.Request().Header.Get(echo.HeaderAuthorization) != "" {
		return reply.NotRun(c, chestnutpond.ReasonNoConfig, "this entry has no document yet", time.Second)
	}
	return reply.Unauthorized(c)
}
