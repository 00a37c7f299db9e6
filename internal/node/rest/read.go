package rest

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/jobdoc"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
)

// gangBody is the short form of a job, one gang of accelerators. Its region and
// caller are those of the interface for gangs and select nothing here: any worker
// may take the job.
type gangBody struct {
	Kind         string                 `json:"kind"`
	Region       string                 `json:"region"`
	Caller       string                 `json:"caller"`
	Accelerators int64                  `json:"accelerators"`
	Adjacency    chestnutpond.Adjacency `json:"adjacency"`
	// Declared is a duration such as 2h0m0s, empty if not stated.
	Declared string `json:"declared"`
	Payload  []byte `json:"payload"`
}

// badJob is a submission that is rejected.
type badJob struct {
	status int
	reason chestnutpond.Reason
	detail string
}

func (b *badJob) answer(c echo.Context) error { return reply.Reject(c, b.status, b.reason, b.detail) }

func malformed(detail string) *badJob {
	return &badJob{http.StatusBadRequest, chestnutpond.ReasonBadBody, detail}
}

// readJob reads a submission in either form.
func readJob(c echo.Context) (jobdoc.Job, *badJob) {
	if len(c.Request().Header.Get(reply.HeaderKey)) > reply.MaxKey {
		return jobdoc.Job{}, malformed(reply.HeaderKey + " may have 256 bytes")
	}
	body, err := reply.ReadBody(c, jobdoc.MaxBytes)
	if err != nil {
		return jobdoc.Job{}, &badJob{http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge, err.Error()}
	}
	form, _, err := mime.ParseMediaType(c.Request().Header.Get(echo.HeaderContentType))
	if err == nil && form == echo.MIMEApplicationJSON {
		return readGang(body)
	}
	job, err := jobdoc.Parse("job", body)
	if err != nil {
		return jobdoc.Job{}, malformed(err.Error())
	}
	if err := job.Graph.Check(); err != nil {
		return jobdoc.Job{}, malformed(err.Error())
	}
	return job, nil
}

// readGang reads the short form.
func readGang(body []byte) (jobdoc.Job, *badJob) {
	var g gangBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&g); err != nil {
		return jobdoc.Job{}, malformed("malformed JSON: " + err.Error())
	}
	if len(g.Payload) > jobdoc.MaxPayload {
		return jobdoc.Job{}, malformed("the payload is too large")
	}
	shape := chestnutpond.Shape{Accelerators: int(g.Accelerators), Adjacency: g.Adjacency}
	step, ok := gangStep(shape)
	if !ok {
		return jobdoc.Job{}, &badJob{
			http.StatusUnprocessableEntity, chestnutpond.ReasonBadShape,
			"accelerators must be above zero, and adjacency worker, rack or zone",
		}
	}
	if g.Declared != "" {
		declared, err := time.ParseDuration(g.Declared)
		if err != nil || declared < 0 {
			return jobdoc.Job{}, malformed("declared: want a duration such as 2h30m")
		}
		step.Estimate = declared
	}
	return jobdoc.Job{Kind: g.Kind, Graph: chestnutpond.Graph{Payload: string(g.Payload), Steps: []chestnutpond.Step{step}}}, nil
}

// gangStep returns the step that stands for a shape: one task on one worker, or a
// gang of tasks with one accelerator each.
func gangStep(shape chestnutpond.Shape) (chestnutpond.Step, bool) {
	if shape.Accelerators <= 0 || shape.Accelerators > chestnutpond.MaxTasks || !shape.Adjacency.Valid() {
		return chestnutpond.Step{}, false
	}
	if shape.Adjacency == chestnutpond.AdjacencyWorker {
		return chestnutpond.Step{Count: 1, Need: chestnutpond.Resources{Accelerators: int64(shape.Accelerators)}}, true
	}
	return chestnutpond.Step{
		Count: shape.Accelerators, Need: chestnutpond.Resources{Accelerators: 1}, Gang: true,
		SameRack: shape.Adjacency == chestnutpond.AdjacencyRack,
	}, true
}
