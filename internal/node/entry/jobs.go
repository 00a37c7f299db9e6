package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

// acceptTimeout bounds the append to the log that accepts or cancels a job or
// publishes a document.
const acceptTimeout = 5 * time.Second

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	Kind         string                 `json:"kind"`
	Region       string                 `json:"region"`
	Accelerators int                    `json:"accelerators"`
	Adjacency    chestnutpond.Adjacency `json:"adjacency"`
	Declared     string                 `json:"declared"`
	Payload      []byte                 `json:"payload"`
	Caller       string                 `json:"caller"`
}

func (r jobRequest) shape() chestnutpond.Shape {
	return chestnutpond.Shape{Accelerators: r.Accelerators, Adjacency: r.Adjacency}
}

// jobReply is the JSON reply for an accepted or cancelled job.
type jobReply struct {
	Outcome chestnutpond.Outcome  `json:"outcome"`
	ID      chestnutpond.JobID    `json:"id"`
	State   chestnutpond.JobState `json:"state,omitempty"`
}

func (e *Entry) postJob(c echo.Context, who principal) error {
	doc, _ := e.currentDocument()
	req, bad := readJobRequest(c, doc)
	if bad != nil {
		return bad.answer(c)
	}
	id := jobID(doc.Service, who.account.Name, c.Request().Header.Get(reply.HeaderKey))
	// A repeated submission is answered before validation, because the document
	// and the workers may have changed since the job was accepted.
	if old, ok := e.lookupJob(id); ok {
		return answerExistingJob(c, old, req)
	}
	spec, bad := e.validateJob(req, id, who)
	if bad != nil {
		return bad.answer(c)
	}
	if e.stopping.Load() {
		return reply.NotRun(c, chestnutpond.ReasonDraining, "the entry is stopping", time.Second)
	}
	waiting := 0
	e.tail.View(func(st *ledger.State) { waiting = st.Queued(spec.Account, spec.Region) })
	if waiting >= who.account.JobLimit {
		return reply.NotRun(c, chestnutpond.ReasonJobLimit, "the account has "+itoa(int64(waiting))+" waiting jobs", time.Second)
	}
	if !e.tail.Loaded() || !e.tail.Available() {
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, "the log service does not answer", time.Second)
	}
	return e.acceptJob(c, spec, req)
}

func (e *Entry) acceptJob(c echo.Context, spec chestnutpond.JobSpec, req jobRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), acceptTimeout)
	defer cancel()
	err := e.tail.Append(ctx, ledger.AcceptJob{Spec: spec})
	if job, ok := e.lookupJob(spec.ID); ok {
		return answerExistingJob(c, job, req)
	}
	if notAppended(err) {
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, err.Error(), time.Second)
	}
	return reply.Fail(c, http.StatusGatewayTimeout, reply.Failure{
		Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonLogUnavailable,
		Detail: "ask for the job by its id, or submit it again with the same key", ID: string(spec.ID),
	})
}

// notAppended reports whether err means that the record is certainly not in the log.
func notAppended(err error) bool {
	var failed *chestnutpond.AppendError
	return errors.As(err, &failed) && !failed.Ambiguous
}

// answerExistingJob responds to a submission whose job is in the log. It rejects a
// key that was used for a different job.
func answerExistingJob(c echo.Context, old ledger.Job, req jobRequest) error {
	if old.Spec.Kind != req.Kind || old.Spec.Shape != req.shape() {
		return reply.Reject(c, http.StatusUnprocessableEntity, chestnutpond.ReasonBadBody,
			"the key was used for another job: "+string(old.Spec.ID))
	}
	c.Response().Header().Set(reply.HeaderOutcome, string(chestnutpond.OutcomeAccepted))
	return c.JSON(http.StatusAccepted, jobReply{
		Outcome: chestnutpond.OutcomeAccepted, ID: old.Spec.ID, State: old.State,
	})
}

// rejection is the error response to an invalid job.
type rejection struct {
	status int
	reason chestnutpond.Reason
	detail string
}

func (b *rejection) answer(c echo.Context) error {
	return reply.Reject(c, b.status, b.reason, b.detail)
}

// validateJob validates a request against the document and the workers, and
// returns the job's specification.
func (e *Entry) validateJob(
	req jobRequest, id chestnutpond.JobID, who principal,
) (chestnutpond.JobSpec, *rejection) {
	doc, _ := e.currentDocument()
	kind, ok := doc.Kind(req.Kind)
	if !ok || kind.Work != chestnutpond.WorkJob {
		return chestnutpond.JobSpec{}, &rejection{
			http.StatusNotFound, chestnutpond.ReasonUnknownKind, "kind " + req.Kind + " is not a job kind of the service",
		}
	}
	if int64(len(req.Payload)) > kind.MaxBody {
		return chestnutpond.JobSpec{}, &rejection{
			http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge,
			"the payload may have at most " + itoa(kind.MaxBody) + " bytes",
		}
	}
	declared, bad := parseDeclared(req.Declared)
	if bad != nil {
		return chestnutpond.JobSpec{}, bad
	}
	region := e.jobRegion(req, who.account)
	shape := req.shape()
	if bad := e.checkShape(shape, region); bad != nil {
		return chestnutpond.JobSpec{}, bad
	}
	return chestnutpond.JobSpec{
		ID: id, Service: doc.Service,
		Account: who.account.Name, Caller: req.Caller, Kind: kind.Name, Class: kind.Class, Region: region,
		Shape: shape, Declared: declared, Checkpoint: kind.Checkpoint, MaxAttempts: kind.MaxAttempts,
		MaxRuntime: kind.MaxRuntime, Payload: req.Payload,
	}, nil
}

func readJobRequest(c echo.Context, doc chestnutpond.Document) (jobRequest, *rejection) {
	limit := int64(maxJSON)
	for _, k := range doc.Kinds {
		// Base64 encoding makes a payload a third larger.
		limit = max(limit, k.MaxBody*4/3+maxJSON)
	}
	body, err := reply.ReadBody(c, limit)
	if errors.Is(err, reply.ErrTooLarge) {
		return jobRequest{}, &rejection{
			http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge,
			"the body may have at most " + itoa(limit) + " bytes",
		}
	}
	if err != nil {
		return jobRequest{}, &rejection{http.StatusBadRequest, chestnutpond.ReasonBadBody, err.Error()}
	}
	req, err := parseJobRequest(body)
	if err != nil {
		return jobRequest{}, &rejection{http.StatusBadRequest, chestnutpond.ReasonBadBody, err.Error()}
	}
	if len(c.Request().Header.Get(reply.HeaderKey)) > reply.MaxKeyBytes || len(req.Caller) > maxCaller {
		return jobRequest{}, &rejection{
			http.StatusBadRequest, chestnutpond.ReasonBadBody, reply.HeaderKey + " may have 256 bytes and caller 128 bytes",
		}
	}
	return req, nil
}

// parseJobRequest parses exactly one JSON object. Its errors contain the
// zero-based byte offset.
func parseJobRequest(body []byte) (jobRequest, error) {
	var req jobRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return jobRequest{}, Error.New("malformed JSON near byte %d: %v", errorOffset(err, decoder, len(body)), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return jobRequest{}, Error.New("malformed JSON near byte %d: want one object", decoder.InputOffset())
	}
	return req, nil
}

func errorOffset(err error, decoder *json.Decoder, size int) int64 {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return max(0, syntax.Offset-1)
	case errors.As(err, &kind):
		return kind.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		return int64(size)
	}
	return decoder.InputOffset()
}

func parseDeclared(text string) (time.Duration, *rejection) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, &rejection{http.StatusBadRequest, chestnutpond.ReasonBadBody, "declared: want a duration such as 2h30m"}
	}
	return d, nil
}

// jobRegion returns the requested region, else the region of the account's first
// guarantee, else the region of this entry.
func (e *Entry) jobRegion(req jobRequest, account chestnutpond.Account) string {
	if req.Region != "" {
		return req.Region
	}
	for _, g := range account.Guarantees {
		return g.Region
	}
	return e.cfg.Region
}

// checkShape rejects a shape that would not fit in the region even if all its
// workers were idle. Lost workers count, because they may return.
func (e *Entry) checkShape(shape chestnutpond.Shape, region string) *rejection {
	if shape.Accelerators <= 0 {
		return &rejection{http.StatusUnprocessableEntity, chestnutpond.ReasonBadShape, "accelerators must be above zero"}
	}
	if !shape.Adjacency.Valid() {
		return &rejection{
			http.StatusUnprocessableEntity, chestnutpond.ReasonBadShape, "adjacency must be worker, rack or zone",
		}
	}
	largest := 0
	totals := make(map[string]int)
	for _, row := range e.group.Rows() {
		m := row.Member
		if m.GetRegion() != region {
			continue
		}
		domain := m.GetZone()
		switch shape.Adjacency {
		case chestnutpond.AdjacencyWorker:
			domain = m.GetName()
		case chestnutpond.AdjacencyRack:
			domain += "/" + m.GetRack()
		}
		totals[domain] += int(m.GetAccelerators())
		largest = max(largest, totals[domain])
	}
	if largest == 0 {
		return &rejection{http.StatusUnprocessableEntity, chestnutpond.ReasonBadShape, "region " + region + " has no workers"}
	}
	if shape.Accelerators > largest {
		return &rejection{
			http.StatusUnprocessableEntity, chestnutpond.ReasonBadShape,
			"no " + string(shape.Adjacency) + " of region " + region + " has more than " + itoa(int64(largest)) + " accelerators",
		}
	}
	return nil
}

// jobID derives the id from the account and its idempotency key, so that a
// repeated submission through any entry has the same id. Without a key the id is
// random.
func jobID(service, account, key string) chestnutpond.JobID {
	if key == "" {
		key = rand.Text()
	}
	sum := sha256.Sum256([]byte(service + "\x00" + account + "\x00" + key))
	return chestnutpond.JobID(hex.EncodeToString(sum[:10]))
}

func (e *Entry) lookupJob(id chestnutpond.JobID) (job ledger.Job, ok bool) {
	e.tail.View(func(st *ledger.State) { job, ok = st.Job(id) })
	return job, ok
}

func (e *Entry) deleteJob(c echo.Context, who principal) error {
	id := chestnutpond.JobID(c.Param("id"))
	if job, ok := e.lookupJob(id); !ok || !who.canSee(job) {
		return reply.Reject(c, http.StatusNotFound, chestnutpond.ReasonUnknownJob, "no job "+string(id))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), acceptTimeout)
	defer cancel()
	err := e.tail.Append(ctx, ledger.CancelJob{Job: id})
	job, _ := e.lookupJob(id)
	switch {
	case job.State == chestnutpond.JobCancelled || job.State == chestnutpond.JobStopping:
		c.Response().Header().Set(reply.HeaderOutcome, string(chestnutpond.OutcomeCancelled))
		return c.JSON(http.StatusOK, jobReply{Outcome: chestnutpond.OutcomeCancelled, ID: id, State: job.State})
	case job.State.Final():
		return reply.Reject(c, http.StatusConflict, chestnutpond.ReasonUnknownJob, "the job has ended: "+string(job.State))
	case err == nil:
		return reply.Reject(c, http.StatusConflict, chestnutpond.ReasonUnknownJob, "the job is "+string(job.State))
	case notAppended(err):
		return reply.NotRun(c, chestnutpond.ReasonLogUnavailable, err.Error(), time.Second)
	}
	return reply.Fail(c, http.StatusGatewayTimeout, reply.Failure{
		Outcome: chestnutpond.OutcomeUnknown, Reason: chestnutpond.ReasonLogUnavailable,
		Detail: "cancel again until it is confirmed", ID: string(id),
	})
}

// canSee reports whether w may read and cancel the job.
func (w principal) canSee(job ledger.Job) bool {
	return w.operator != "" || job.Spec.Account == w.account.Name
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
