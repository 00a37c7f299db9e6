package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/node/serve"
)

func (e *Entry) postRequest(c echo.Context, who principal) error {
	doc, _ := e.currentDocument()
	kind, ok := doc.Kind(c.Param("kind"))
	if !ok || kind.Work != chestnutpond.WorkRequest {
		return reply.Reject(c, http.StatusNotFound, chestnutpond.ReasonUnknownKind,
			"kind "+c.Param("kind")+" is not a request kind of the service")
	}
	body, err := reply.ReadBody(c, kind.MaxBody)
	if err != nil {
		return reply.RejectBody(c, err, kind.MaxBody)
	}
	header := c.Request().Header
	timeout, err := parseTimeout(header.Get(headerCallTimeout), kind.Timeout)
	if err != nil {
		return reply.Reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody, headerCallTimeout+": "+err.Error())
	}
	key, name := header.Get(reply.HeaderKey), header.Get(headerCaller)
	if len(key) > reply.MaxKeyBytes || len(name) > maxCaller {
		return reply.Reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody,
			reply.HeaderKey+" may have 256 bytes and "+headerCaller+" 128 bytes")
	}
	request := serve.Request{
		ID: serve.NewID(), Account: who.account.Name, Caller: name, Kind: kind,
		Key: key, Body: body, Timeout: timeout,
	}
	return writeResult(c, request.ID, e.serve.Do(c.Request().Context(), request))
}

// parseTimeout returns the requested timeout, at most limit, which is the timeout
// of the kind and the default.
func parseTimeout(text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return limit, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	if d <= 0 {
		return 0, Error.New("must be above zero")
	}
	return min(d, limit), nil
}

func writeResult(c echo.Context, id string, res serve.Result) error {
	header := c.Response().Header()
	header.Set(headerRequest, id)
	if res.Upstream != "" {
		header.Set(headerUpstream, res.Upstream)
	}
	switch res.Outcome {
	case chestnutpond.OutcomeAnswered:
		header.Set(reply.HeaderOutcome, string(res.Outcome))
		return c.Blob(res.Answer.Status, res.Answer.ContentType, res.Answer.Body)
	case chestnutpond.OutcomeNotRun:
		return reply.NotRun(c, res.Reason, res.Detail, res.RetryAfter)
	case chestnutpond.OutcomeDuplicate:
		return reply.Fail(c, http.StatusConflict, reply.Failure{Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail})
	}
	return reply.Fail(c, http.StatusGatewayTimeout, reply.Failure{Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail})
}
