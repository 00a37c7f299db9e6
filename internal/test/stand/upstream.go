package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutpond/chestnutpond"
)

// UpstreamFaults are the switches of an Upstream.
type UpstreamFaults struct {
	// Slow is added to every service time.
	Slow Duration `json:"slow"`
	// Hang executes calls and answers none until it is switched off.
	Hang bool `json:"hang"`
	// Truncate executes calls and cuts the answers off.
	Truncate bool `json:"truncate"`
	// Fail executes calls and answers with status 500.
	Fail bool `json:"fail"`
	// Refuse executes nothing and is not ready. In one process a call ends as
	// not sent; over HTTP its connection breaks, which a caller cannot tell
	// from a break after the execution.
	Refuse bool `json:"refuse"`
}

// CallPayload is the request body that states a service time. A body of another
// form is served at once.
type CallPayload struct {
	Work Duration `json:"work"`
}

// Echo is the body of an answer.
type Echo struct {
	Request string `json:"request"`
	Kind    string `json:"kind"`
	// Length is the length of the request body in bytes.
	Length int `json:"length"`
	// XXHash64 is the hash of the request body in 16 hex digits.
	XXHash64 string `json:"xxhash64"`
}

// ExecutionsAnswer is the answer of GET /control/executions.
type ExecutionsAnswer struct {
	// Executions counts by request identity.
	Executions map[string]int `json:"executions"`
	// Bodies counts by the hash of the request body, as in Echo. A test that
	// sends distinct bodies finds its requests without knowing their identities.
	Bodies map[string]int `json:"bodies"`
}

// Upstream stands in for an upstream.
type Upstream struct {
	mu         sync.Mutex
	faults     UpstreamFaults
	executions map[string]int
	// bodies counts by the hash of the request body.
	bodies map[string]int
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

var _ chestnutpond.Upstream = (*Upstream)(nil)

var (
	errRefused   = Class.New("call refused")
	errTruncated = Class.New("answer truncated")
)

// NewUpstream returns an upstream that serves.
func NewUpstream() *Upstream {
	return &Upstream{executions: map[string]int{}, bodies: map[string]int{}, changed: make(chan struct{})}
}

// EchoOf returns the answer that belongs to a call.
func EchoOf(call chestnutpond.Call) Echo {
	return Echo{
		Request:  call.Request,
		Kind:     call.Kind,
		Length:   len(call.Body),
		XXHash64: fmt.Sprintf("%016x", xxhash.Sum64(call.Body)),
	}
}

// Faults returns the switches.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// SetFaults replaces the switches. Calls that hang go on when Hang is off.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	close(u.changed)
	u.changed = make(chan struct{})
}

// Executions returns the executions by request identity.
func (u *Upstream) Executions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executions)
}

// Bodies returns the executions by the hash of the request body.
func (u *Upstream) Bodies() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.bodies)
}

// Serve implements chestnutpond.Upstream.
func (u *Upstream) Serve(ctx context.Context, call chestnutpond.Call) (chestnutpond.Answer, error) {
	if err := ctx.Err(); err != nil {
		return chestnutpond.Answer{}, &chestnutpond.NotSentError{Err: err}
	}
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	faults := u.Faults()
	if faults.Refuse {
		return chestnutpond.Answer{}, &chestnutpond.NotSentError{Err: errRefused}
	}
	u.count(call)
	var payload CallPayload
	if err := json.Unmarshal(call.Body, &payload); err != nil {
		payload = CallPayload{}
	}
	if err := pause(ctx, time.Duration(payload.Work+faults.Slow)); err != nil {
		return chestnutpond.Answer{}, Class.Wrap(err)
	}
	if err := u.hang(ctx); err != nil {
		return chestnutpond.Answer{}, Class.Wrap(err)
	}
	if faults.Truncate {
		return chestnutpond.Answer{}, errTruncated
	}
	if faults.Fail {
		return answerJSON(http.StatusInternalServerError, errorAnswer{Error: "failed on demand"})
	}
	return answerJSON(http.StatusOK, EchoOf(call))
}

// Ready implements chestnutpond.Upstream.
func (u *Upstream) Ready(ctx context.Context) error {
	if u.Faults().Refuse {
		return errRefused
	}
	return Class.Wrap(ctx.Err())
}

// Handler returns the upstream's HTTP interface.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /serve/{kind}", u.serveCall)
	mux.HandleFunc("GET /readyz", u.serveReady)
	mux.HandleFunc("POST /control", u.serveControl)
	mux.HandleFunc("GET /control/executions", u.serveExecutions)
	return mux
}

func (u *Upstream) count(call chestnutpond.Call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executions[call.Request]++
	u.bodies[EchoOf(call).XXHash64]++
}

func (u *Upstream) hang(ctx context.Context) error {
	for {
		u.mu.Lock()
		hangs, changed := u.faults.Hang, u.changed
		u.mu.Unlock()
		if !hangs {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	timeout, err := time.ParseDuration(r.Header.Get("Timeout"))
	if err != nil || r.Header.Get("Request-Id") == "" {
		writeError(w, http.StatusBadRequest, Class.New("Request-Id and Timeout are required"))
		return
	}
	call := chestnutpond.Call{
		Request: r.Header.Get("Request-Id"), Kind: r.PathValue("kind"), Body: body, Timeout: timeout,
	}
	answer, err := u.Serve(r.Context(), call)
	if errors.Is(err, errTruncated) {
		answer, _ = answerJSON(http.StatusOK, EchoOf(call))
		w.Header().Set("Content-Length", fmt.Sprint(len(answer.Body)))
		_, _ = w.Write(answer.Body[:len(answer.Body)/2])
		_ = http.NewResponseController(w).Flush()
		cutOff()
	}
	if err != nil {
		cutOff()
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (u *Upstream) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := u.Ready(r.Context()); err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (u *Upstream) serveControl(w http.ResponseWriter, r *http.Request) {
	faults := u.Faults()
	if err := readJSON(r, &faults); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	u.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (u *Upstream) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, ExecutionsAnswer{Executions: u.Executions(), Bodies: u.Bodies()})
}

func answerJSON(status int, body any) (chestnutpond.Answer, error) {
	data, err := json.Marshal(body)
	return chestnutpond.Answer{Status: status, ContentType: "application/json", Body: data}, Class.Wrap(err)
}
