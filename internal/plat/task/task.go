// Package task is the HTTP client of the worker beside an agent and implements
// chestnutpond.Worker.
//
// A call that failed may have taken effect. All calls may be repeated: starting
// a known task changes nothing, and stopping an unknown one succeeds. The kind
// of a task and the size of its gang reach it through its environment, as
// CHESTNUTPOND_KIND and CHESTNUTPOND_MEMBERS.
package task

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/plat/webio"
)

// Class is the class of the errors of this package.
var Class = errs.Class("worker")

const (
	defaultTimeout = 5 * time.Second
	// maxAnswer holds the list of some thousand tasks.
	maxAnswer   = 4 << 20
	connections = 64
)

// Config configures a Client.
type Config struct {
	// Address of the worker API, host:port or an http URL.
	Address string
	// Timeout bounds a call in addition to its context, except for Checkpoint,
	// which its context alone bounds. Zero means 5 s.
	Timeout time.Duration
}

// Client is the worker beside an agent. It is safe for concurrent use.
type Client struct {
	web     *webio.Client
	timeout time.Duration
}

var _ chestnutpond.Worker = (*Client)(nil)

type startBody struct {
	Accelerators []int             `json:"accelerators"`
	Payload      []byte            `json:"payload,omitempty"`
	Checkpoint   string            `json:"checkpoint,omitempty"`
	Lease        string            `json:"lease"`
	Env          map[string]string `json:"env"`
}

type leaseBody struct {
	Lease string `json:"lease"`
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

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return &Client{
		web:     webio.New(webio.Config{Address: c.Address, Connections: connections, MaxAnswer: maxAnswer}),
		timeout: c.Timeout,
	}
}

// Start implements chestnutpond.Worker.
func (c *Client) Start(ctx context.Context, spec chestnutpond.TaskSpec) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodPut, spec.ID, "", startBody{
		Accelerators: spec.Accelerators,
		Payload:      spec.Payload,
		Checkpoint:   spec.Checkpoint,
		Lease:        spec.Lease.String(),
		Env: map[string]string{
			"CHESTNUTPOND_KIND":    spec.Kind,
			"CHESTNUTPOND_MEMBERS": strconv.Itoa(spec.Members),
		},
	})
	return err
}

// Renew implements chestnutpond.Worker.
func (c *Client) Renew(ctx context.Context, id chestnutpond.TaskID, lease time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodPost, id, "/lease", leaseBody{Lease: lease.String()})
	return err
}

// Checkpoint implements chestnutpond.Worker.
func (c *Client) Checkpoint(ctx context.Context, id chestnutpond.TaskID) (string, error) {
	body, err := c.call(ctx, http.MethodPost, id, "/checkpoint", struct{}{})
	if err != nil {
		return "", err
	}
	var answer checkpointAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", Class.Wrap(err)
	}
	if answer.Checkpoint == "" {
		return "", Class.New("task %s: answer without a checkpoint", id)
	}
	return answer.Checkpoint, nil
}

// Throttle implements chestnutpond.Worker.
func (c *Client) Throttle(ctx context.Context, id chestnutpond.TaskID, share float64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodPost, id, "/throttle", throttleBody{Share: share})
	return err
}

// Stop implements chestnutpond.Worker.
func (c *Client) Stop(ctx context.Context, id chestnutpond.TaskID) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodDelete, id, "", nil)
	return err
}

// Tasks implements chestnutpond.Worker.
func (c *Client) Tasks(ctx context.Context) ([]chestnutpond.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := c.web.Do(ctx, webio.Request{Method: http.MethodGet, Path: "/tasks"})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if answer.Status != http.StatusOK {
		return nil, Class.New("list of tasks: status %d", answer.Status)
	}
	var body tasksAnswer
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return nil, Class.Wrap(err)
	}
	if body.Tasks == nil {
		return nil, Class.New("list of tasks: answer without tasks")
	}
	return statuses(body.Tasks)
}

// Close closes the idle connections.
func (c *Client) Close() { c.web.Close() }

func (c *Client) call(ctx context.Context, method string, id chestnutpond.TaskID, verb string, body any) ([]byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, Class.Wrap(err)
		}
	}
	answer, err := c.web.Do(ctx, webio.Request{
		Method: method,
		Path:   "/tasks/" + url.PathEscape(string(id)) + verb,
		Header: map[string]string{"Content-Type": "application/json"},
		Body:   data,
	})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	switch answer.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return answer.Body, nil
	case http.StatusNotFound:
		return nil, &chestnutpond.TaskGoneError{ID: id}
	}
	return nil, Class.New("task %s: %s%s: status %d: %.200s", id, method, verb, answer.Status, answer.Body)
}

func statuses(list []statusAnswer) ([]chestnutpond.TaskStatus, error) {
	out := make([]chestnutpond.TaskStatus, 0, len(list))
	for _, s := range list {
		switch s.State {
		case chestnutpond.TaskRunning, chestnutpond.TaskCompleted, chestnutpond.TaskFailed, chestnutpond.TaskStopped:
		default:
			return nil, Class.New("task %s: unknown state %q", s.ID, s.State)
		}
		out = append(out, chestnutpond.TaskStatus{ID: s.ID, Phase: s.State, Result: s.Result, Reason: s.Reason})
	}
	return out, nil
}
