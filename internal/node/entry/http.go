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

	// maxCaller bounds the name of a caller within its account, in bytes.
	maxCaller = 128
	// maxJSON bounds a JSON body beyond the payload that it carries, in bytes.
	maxJSON = 16 << 10
	// maxDocument bounds a service document, in bytes.
	maxDocument = 1 << 20
)

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
	r.HTTPErrorHandler = reply.NoRoute
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

// countRefusals counts the answers that are not what the caller asked for.
func (e *Entry) countRefusals(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err != nil {
			// Answered here, so that an unknown path is counted too.
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
			return reply.Reject(c, http.StatusForbidden, chestnutpond.ReasonUnauthorized, "an operator has no client account")
		}
		return next(c, who)
	}
}

func (e *Entry) asOperator(next handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, ok := e.identify(c)
		if !ok {
			return reply.Unauthorized(c)
		}
		if who.operator == "" {
			return reply.Reject(c, http.StatusForbidden, chestnutpond.ReasonUnauthorized, "only operators may do this")
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
		return reply.NotRun(c, chestnutpond.ReasonNoConfig, "this entry has no document yet", time.Second)
	}
	return reply.Unauthorized(c)
}
