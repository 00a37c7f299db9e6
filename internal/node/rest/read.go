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

// gangBody is the short form of a job: a single gang of accelerators. Region and Caller
// exist for compatibility with the interface for gangs and are ignored here: any worker
// may run the job.
type gangBody struct {
	Kind         string                 `json:"kind"`
	Region       string                 `json:"region"`
	Caller       string                 `json:"caller"`
	Accelerators int64                  `json:"accelerators"`
	Adjacency    chestnutpond.Adjacency `json:"adjacency"`
	// Declared is the expected run time, such as 2h0m0s, or empty.
	Declared string `json:"declared"`
	Payload  []byte `json:"payload"`
}

// rejection is the response to an invalid submission.
type rejection struct {
	status int
	reason chestnutpond.Reason
	detail string
}

func (r *rejection) write(c echo.Context) error { return reply.Reject(c, r.status, r.reason, r.detail) }

func malformed(detail string) *rejection {
	return &rejection{http.StatusBadRequest, chestnutpond.ReasonBadBody, detail}
}

// readJob decodes a submission: the short form if the content type is JSON, and a YAML
// job otherwise.
func readJob(c echo.Context) (jobdoc.Job, *rejection) {
	if len(c.Request().Header.Get(reply.HeaderKey)) > reply.MaxKeyBytes {
		return jobdoc.Job{}, malformed(reply.HeaderKey + " may have 256 bytes")
	}
	body, err := reply.ReadBody(c, jobdoc.MaxBytes)
	if err != nil {
		return jobdoc.Job{}, &rejection{http.StatusRequestEntityTooLarge, chestnutpond.ReasonBodyTooLarge, err.Error()}
	}
	mediaType, _, err := mime.ParseMediaType(c.Request().Header.Get(echo.HeaderContentType))
	if err == nil && mediaType == echo.MIMEApplicationJSON {
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

// readGang decodes the short form.
func readGang(body []byte) (jobdoc.Job, *rejection) {
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
		return jobdoc.Job{}, &rejection{
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

// gangStep converts a shape to a step: one task with all accelerators if they must be on
// one worker, and otherwise a gang of tasks with one accelerator each. It returns false
// if the shape is invalid.
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
