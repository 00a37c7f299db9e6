package stand

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

type startBody struct {
	Accelerators []int             `json:"accelerators"`
	Payload      []byte            `json:"payload"`
	Checkpoint   string            `json:"checkpoint"`
	Lease        Duration          `json:"lease"`
	Env          map[string]string `json:"env"`
}

type leaseBody struct {
	Lease Duration `json:"lease"`
}

type throttleBody struct {
	Share float64 `json:"share"`
}

type checkpointAnswer struct {
	Checkpoint string `json:"checkpoint"`
}

type tasksAnswer struct {
	Tasks []statusAnswer `json:"tasks"`
}

type statusAnswer struct {
	ID     chestnutpond.TaskID    `json:"id"`
	State  chestnutpond.TaskPhase `json:"state"`
	Result string                 `json:"result"`
	Reason string                 `json:"reason"`
}

type usageAnswer struct {
	Usage []Usage `json:"usage"`
}

// RunsAnswer is the answer of GET /control/runs.
type RunsAnswer struct {
	Runs []Run `json:"runs"`
}

// Handler returns the worker API.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /tasks/{id}", w.serveStart)
	mux.HandleFunc("POST /tasks/{id}/lease", w.serveRenew)
	mux.HandleFunc("POST /tasks/{id}/checkpoint", w.serveCheckpoint)
	mux.HandleFunc("POST /tasks/{id}/throttle", w.serveThrottle)
	mux.HandleFunc("DELETE /tasks/{id}", w.serveStop)
	mux.HandleFunc("GET /tasks", w.serveTasks)
	mux.HandleFunc("GET /usage", w.serveUsage)
	mux.HandleFunc("POST /control", w.serveControl)
	mux.HandleFunc("GET /control/runs", w.serveRuns)
	return mux
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var body startBody
	if err := readJSON(r, &body); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	members, _ := strconv.Atoi(body.Env["CHESTNUTPOND_MEMBERS"])
	err := w.Start(r.Context(), chestnutpond.TaskSpec{
		ID: taskID(r), Kind: body.Env["CHESTNUTPOND_KIND"], Accelerators: body.Accelerators, Payload: body.Payload,
		Checkpoint: body.Checkpoint, Lease: time.Duration(body.Lease), Members: members,
	})
	finishCall(rw, err)
}

func (w *Worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := readJSON(r, &body); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	finishCall(rw, w.Renew(r.Context(), taskID(r), time.Duration(body.Lease)))
}

func (w *Worker) serveCheckpoint(rw http.ResponseWriter, r *http.Request) {
	name, err := w.Checkpoint(r.Context(), taskID(r))
	if err != nil {
		finishCall(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, checkpointAnswer{Checkpoint: name})
}

func (w *Worker) serveThrottle(rw http.ResponseWriter, r *http.Request) {
	var body throttleBody
	if err := readJSON(r, &body); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	finishCall(rw, w.Throttle(r.Context(), taskID(r), body.Share))
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	finishCall(rw, w.Stop(r.Context(), taskID(r)))
}

func (w *Worker) serveTasks(rw http.ResponseWriter, r *http.Request) {
	list, err := w.Tasks(r.Context())
	if err != nil {
		finishCall(rw, err)
		return
	}
	answer := tasksAnswer{Tasks: []statusAnswer{}}
	for _, s := range list {
		answer.Tasks = append(answer.Tasks, statusAnswer{ID: s.ID, State: s.Phase, Result: s.Result, Reason: s.Reason})
	}
	writeJSON(rw, http.StatusOK, answer)
}

func (w *Worker) serveUsage(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, usageAnswer{Usage: w.Usage()})
}

func (w *Worker) serveControl(rw http.ResponseWriter, r *http.Request) {
	faults := w.Faults()
	if err := readJSON(r, &faults); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	w.SetFaults(faults)
	writeJSON(rw, http.StatusOK, faults)
}

func (w *Worker) serveRuns(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, RunsAnswer{Runs: w.Runs()})
}

func taskID(r *http.Request) chestnutpond.TaskID { return chestnutpond.TaskID(r.PathValue("id")) }

func finishCall(rw http.ResponseWriter, err error) {
	var gone *chestnutpond.TaskGoneError
	switch {
	case err == nil:
		writeJSON(rw, http.StatusOK, struct{}{})
	case errors.As(err, &gone):
		writeError(rw, http.StatusNotFound, err)
	case errors.Is(err, errDown):
		writeError(rw, http.StatusServiceUnavailable, err)
	default:
		writeError(rw, http.StatusBadRequest, err)
	}
}
