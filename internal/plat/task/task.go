// Package task implements an HTTP client of the worker API on an agent's host. A
// Client implements chestnutpond.Worker.
//
// A failed call may have taken effect. All calls are safe to repeat: starting an
// existing task has no effect, and stopping an unknown task succeeds. The kind of
// a task and the size of its gang are passed to it in the environment variables
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

// Class is the error class of this package.
var Class = errs.Class("worker")

const (
	defaultTimeout = 5 * time.Second
	// maxResponse is enough for a list of several thousand tasks.
	maxResponse    = 4 << 20
	maxConnections = 64
)

// Config configures a Client.
type Config struct {
	// Address of the worker API, host:port or an http URL.
	Address string
	// Timeout limits a call in addition to its context. Checkpoint is limited
	// only by its context. Zero means 5 s.
	Timeout time.Duration
}

// Client calls the worker API on an agent's host. It is safe for concurrent use.
type Client struct {
	client  *webio.Client
	timeout time.Duration
}

var _ chestnutpond.Worker = (*Client)(nil)

type startRequest struct {
	Accelerators []int             `json:"accelerators"`
	Payload      []byte            `json:"payload,omitempty"`
	Checkpoint   string            `json:"checkpoint,omitempty"`
	Lease        string            `json:"lease"`
	Env          map[string]string `json:"env"`
}

type leaseRequest struct {
	Lease string `json:"lease"`
}

type throttleRequest struct {
	Share float64 `json:"share"`
}

type checkpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

type tasksResponse struct {
	Tasks []statusResponse `json:"tasks"`
}

type statusResponse struct {
	ID     chestnutpond.TaskID    `json:"id"`
	State  chestnutpond.TaskPhase `json:"state"`
	Result string                 `json:"result"`
	Reason string                 `json:"reason"`
}

// New returns a client. It does not open a connection.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return &Client{
		client:  webio.New(webio.Config{Address: c.Address, Connections: maxConnections, MaxAnswer: maxResponse}),
		timeout: c.Timeout,
	}
}

// Start implements chestnutpond.Worker.
func (c *Client) Start(ctx context.Context, spec chestnutpond.TaskSpec) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodPut, spec.ID, "", startRequest{
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
	_, err := c.call(ctx, http.MethodPost, id, "/lease", leaseRequest{Lease: lease.String()})
	return err
}

// Checkpoint implements chestnutpond.Worker.
func (c *Client) Checkpoint(ctx context.Context, id chestnutpond.TaskID) (string, error) {
	body, err := c.call(ctx, http.MethodPost, id, "/checkpoint", struct{}{})
	if err != nil {
		return "", err
	}
	var resp checkpointResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return "", Class.Wrap(err)
	}
	if resp.Checkpoint == "" {
		return "", Class.New("task %s: answer without a checkpoint", id)
	}
	return resp.Checkpoint, nil
}

// Throttle implements chestnutpond.Worker.
func (c *Client) Throttle(ctx context.Context, id chestnutpond.TaskID, share float64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodPost, id, "/throttle", throttleRequest{Share: share})
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
	resp, err := c.client.Do(ctx, webio.Request{Method: http.MethodGet, Path: "/tasks"})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if resp.Status != http.StatusOK {
		return nil, Class.New("list of tasks: status %d", resp.Status)
	}
	var body tasksResponse
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, Class.Wrap(err)
	}
	if body.Tasks == nil {
		return nil, Class.New("list of tasks: answer without tasks")
	}
	return toTaskStatuses(body.Tasks)
}

// Close closes idle connections.
func (c *Client) Close() { c.client.Close() }

func (c *Client) call(ctx context.Context, method string, id chestnutpond.TaskID, action string, body any) ([]byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, Class.Wrap(err)
		}
	}
	resp, err := c.client.Do(ctx, webio.Request{
		Method: method,
		Path:   "/tasks/" + url.PathEscape(string(id)) + action,
		Header: map[string]string{"Content-Type": "application/json"},
		Body:   data,
	})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	switch resp.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return resp.Body, nil
	case http.StatusNotFound:
		return nil, &chestnutpond.TaskGoneError{ID: id}
	}
	return nil, Class.New("task %s: %s%s: status %d: %.200s", id, method, action, resp.Status, resp.Body)
}

func toTaskStatuses(list []statusResponse) ([]chestnutpond.TaskStatus, error) {
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
