package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// caller speaks to the entry over HTTP, as clients do.
type caller struct {
	base string
	http *http.Client
}

type answer struct {
	outcome  string
	upstream string
}

type jobBody struct {
	Kind         string `json:"kind"`
	Region       string `json:"region"`
	Accelerators int    `json:"accelerators"`
	Adjacency    string `json:"adjacency"`
	Payload      []byte `json:"payload"`
}

type jobAnswer struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Attempt int64  `json:"attempt"`
	Version int64  `json:"version"`
	// Waiting says how far a graph is that has not ended.
	Waiting string `json:"waiting"`
}

type eventAnswer struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	Kind    string    `json:"kind"`
	Job     string    `json:"job"`
	Attempt int64     `json:"attempt"`
	Detail  string    `json:"detail"`
}

func newCaller(base string) *caller {
	return &caller{base: base, http: &http.Client{Timeout: runLimit}}
}

// call sends one request and returns its answer if the status is below 300.
func (c *caller) call(
	ctx context.Context, method, path, token, key string, body []byte,
) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, nil, Error.New("%s %s: %s: %s", method, path, res.Status, data)
	}
	return res.Header, data, nil
}

func (c *caller) publish(ctx context.Context, document string) (int64, error) {
	_, data, err := c.call(ctx, http.MethodPut, "/v1/document?base=0", operatorToken, "", []byte(document))
	if err != nil {
		return 0, err
	}
	res, err := decode(data)
	return res.Version, err
}

func decode(data []byte) (jobAnswer, error) {
	var res jobAnswer
	err := json.Unmarshal(data, &res)
	return res, Error.Wrap(err)
}

func (c *caller) request(ctx context.Context, token, kind, key string) (answer, error) {
	header, _, err := c.call(ctx, http.MethodPost, "/v1/requests/"+kind, token, key, []byte(`{}`))
	if err != nil {
		return answer{}, err
	}
	a := answer{outcome: header.Get("Chestnutpond-Outcome"), upstream: header.Get("Chestnutpond-Upstream")}
	if a.upstream == "" {
		a.upstream = "the entry, from the first"
	}
	return a, nil
}

func (c *caller) submit(
	ctx context.Context, token, kind string, accelerators int, adjacency, runTime, key string,
) (string, error) {
	payload, err := json.Marshal(map[string]string{"run": runTime, "result": "done"})
	if err != nil {
		return "", Error.Wrap(err)
	}
	body, err := json.Marshal(jobBody{
		Kind: kind, Region: region, Accelerators: accelerators, Adjacency: adjacency, Payload: payload,
	})
	if err != nil {
		return "", Error.Wrap(err)
	}
	return c.send(ctx, token, key, body)
}

// send submits a job in the form of its body and returns the job's id.
func (c *caller) send(ctx context.Context, token, key string, body []byte) (string, error) {
	_, data, err := c.call(ctx, http.MethodPost, "/v1/jobs", token, key, body)
	if err != nil {
		return "", err
	}
	res, err := decode(data)
	return res.ID, err
}

func (c *caller) job(ctx context.Context, token, id string) (jobAnswer, error) {
	_, data, err := c.call(ctx, http.MethodGet, "/v1/jobs/"+id, token, "", nil)
	if err != nil {
		return jobAnswer{}, err
	}
	return decode(data)
}

func (c *caller) cancel(ctx context.Context, token, id string) error {
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+id, token, "", nil)
	return err
}

func (c *caller) events(ctx context.Context) ([]eventAnswer, error) {
	_, data, err := c.call(ctx, http.MethodGet, "/v1/events", operatorToken, "", nil)
	if err != nil {
		return nil, err
	}
	var res struct {
		Events []eventAnswer `json:"events"`
	}
	err = json.Unmarshal(data, &res)
	return res.Events, Error.Wrap(err)
}
