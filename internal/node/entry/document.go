package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

// publicationReply is the JSON reply to a publication.
type publicationReply struct {
	Outcome chestnutpond.Outcome `json:"outcome"`
	Version int64                `json:"version"`
	ID      string               `json:"id,omitempty"`
}

func (e *Entry) putDocument(c echo.Context, _ principal) error {
	base, err := strconv.ParseInt(c.QueryParam("base"), 10, 64)
	if err != nil || base < 0 {
		return reply.Reject(c, http.StatusBadRequest, chestnutpond.ReasonBase, "base must be the version that was edited")
	}
	body, err := reply.ReadBody(c, maxDocument)
	if err != nil {
		return reply.RejectBody(c, err, maxDocument)
	}
	doc, err := e.cfg.ParseDocument("document", body)
	if err != nil {
		return reply.Reject(c, http.StatusUnprocessableEntity, chestnutpond.ReasonBadDocument, err.Error())
	}
	current, _ := e.currentDocument()
	if current.Service != "" && current.Service != doc.Service {
		return reply.Reject(c, http.StatusUnprocessableEntity, chestnutpond.ReasonBadDocument,
			"this deployment runs service "+current.Service)
	}
	if detail := e.checkGuarantees(doc); detail != "" {
		return reply.Reject(c, http.StatusUnprocessableEntity, chestnutpond.ReasonBadDocument, detail)
	}
	id := c.QueryParam("id")
	if id == "" {
		id = rand.Text()
	}
	if len(id) > reply.MaxKeyBytes {
		return reply.Reject(c, http.StatusBadRequest, chestnutpond.ReasonBase, "id may have 256 bytes")
	}
	return e.publish(c, ledger.Publish{ID: id, Service: doc.Service, Base: base, Document: body})
}

// checkGuarantees returns an error text if the document guarantees more
// accelerators in a region than it has, and "" otherwise. It skips regions
// without known workers and regions whose workers are still registering, so that
// the result does not depend on the order of registration. A guarantee that is
// not covered then shows in the status and raises its alarm.
func (e *Entry) checkGuarantees(doc chestnutpond.Document) string {
	available := e.settledAccelerators()
	guaranteed := make(map[string]int)
	for _, a := range doc.Accounts {
		for _, g := range a.Guarantees {
			guaranteed[g.Region] += g.Count * g.Shape.Accelerators
			if available[g.Region] > 0 && guaranteed[g.Region] > available[g.Region] {
				return "region " + g.Region + " has " + itoa(int64(available[g.Region])) +
					" accelerators, fewer than the document guarantees there"
			}
		}
	}
	return ""
}

// settledAccelerators returns the number of accelerators of each region where it
// has not changed for Config.FleetSettle.
func (e *Entry) settledAccelerators() map[string]int {
	accelerators := make(map[string]int)
	for _, row := range e.group.Rows() {
		accelerators[row.Member.GetRegion()] += int(row.Member.GetAccelerators())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for region, at := range e.acceleratorsChanged {
		if time.Since(at) < e.cfg.FleetSettle {
			delete(accelerators, region)
		}
	}
	return accelerators
}

func (e *Entry) publish(c echo.Context, body ledger.Publish) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), acceptTimeout)
	defer cancel()
	if p, ok := e.publication(body.ID); ok {
		return answerPublication(c, p)
	}
	if !e.tail.Loaded() || !e.tail.Available() {
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, "the log service does not answer", time.Second)
	}
	err := e.tail.Append(ctx, body)
	if p, ok := e.publication(body.ID); ok {
		return answerPublication(c, p)
	}
	if notAppended(err) {
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, err.Error(), time.Second)
	}
	e.log.Warn("entry: publication not confirmed", "id", body.ID, "error", err)
	return reply.Fail(c, http.StatusGatewayTimeout, reply.Failure{
		Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonLogUnavailable,
		Detail: "ask for the publication by its id", ID: body.ID,
	})
}

func (e *Entry) publication(id string) (p ledger.Publication, ok bool) {
	e.tail.View(func(st *ledger.State) { p, ok = st.Publication(id) })
	return p, ok
}

func answerPublication(c echo.Context, p ledger.Publication) error {
	res := publicationReply{Outcome: chestnutpond.OutcomePublished, Version: p.Version, ID: p.ID}
	status := http.StatusOK
	if !p.Accepted {
		res.Outcome = chestnutpond.OutcomeLost
		status = http.StatusConflict
	}
	c.Response().Header().Set(reply.HeaderOutcome, string(res.Outcome))
	return c.JSON(status, res)
}

func (e *Entry) getDocument(c echo.Context, _ principal) error {
	doc, raw := e.currentDocument()
	if doc.Version == 0 {
		return reply.Reject(c, http.StatusNotFound, chestnutpond.ReasonNoConfig, "no document was published yet")
	}
	c.Response().Header().Set(headerVersion, itoa(doc.Version))
	return c.Blob(http.StatusOK, "application/yaml", raw)
}

func (e *Entry) getPublication(c echo.Context, _ principal) error {
	p, ok := e.publication(c.Param("id"))
	if !ok {
		return c.JSON(http.StatusOK, publicationReply{Outcome: chestnutpond.OutcomeUnknown, ID: c.Param("id")})
	}
	res := publicationReply{Outcome: chestnutpond.OutcomePublished, Version: p.Version, ID: p.ID}
	if !p.Accepted {
		res.Outcome = chestnutpond.OutcomeLost
	}
	return c.JSON(http.StatusOK, res)
}
