// Package logsvc implements an HTTP client of the platform's log service. A
// Client accesses one stream and implements chestnutpond.Log.
//
// The package distinguishes two kinds of append failure. A refused append is not
// and will not be in the stream. An append with an unknown outcome may be in the
// stream or may still be written to it. Only statuses 400, 404, 413, 429 and 503
// and a request that never got a connection count as refused. Any other failure,
// from a connection reset to a malformed response, leaves the outcome unknown.
//
// A read returns exactly the consecutive records from the requested offset; a
// response with other offsets is an error, never a shorter batch.
package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/plat/webio"
)

// Class is the error class of this package.
var Class = errs.Class("log service")

const (
	defaultTimeout     = 5 * time.Second
	defaultMaxResponse = 16 << 20
	maxConnections     = 8
)

// Config configures a Client.
type Config struct {
	// Address of the log service, host:port or an http URL.
	Address string
	// Stream is the name of the stream.
	Stream string
	// Timeout limits a call in addition to its context; for a read, its wait is
	// added to the timeout. Zero means 5 s.
	Timeout time.Duration
	// MaxAnswer is the maximum size of a response body in bytes. Zero means
	// 16 MiB.
	MaxAnswer int64
}

// Client accesses one stream of the log service. It is safe for concurrent use.
type Client struct {
	client  *webio.Client
	path    string
	timeout time.Duration
}

var _ chestnutpond.Log = (*Client)(nil)

type appendAnswer struct {
	Offset *int64 `json:"offset"`
}

type readAnswer struct {
	Records []recordAnswer `json:"records"`
	First   *int64         `json:"first"`
	Next    *int64         `json:"next"`
}

type recordAnswer struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type trimmedAnswer struct {
	First *int64 `json:"first"`
}

// New returns a client. It does not open a connection.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultMaxResponse
	}
	return &Client{
		client:  webio.New(webio.Config{Address: c.Address, Connections: maxConnections, MaxAnswer: c.MaxAnswer}),
		path:    "/streams/" + url.PathEscape(c.Stream) + "/records",
		timeout: c.Timeout,
	}
}

// Append implements chestnutpond.Log. Every error is a *chestnutpond.AppendError.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.client.Do(ctx, webio.Request{
		Method: http.MethodPost,
		Path:   c.path,
		Header: map[string]string{"Content-Type": "application/octet-stream"},
		Body:   data,
	})
	if err != nil {
		var requestErr *webio.Error
		sent := !errors.As(err, &requestErr) || !requestErr.NotSent
		return 0, &chestnutpond.AppendError{Ambiguous: sent, Err: Class.Wrap(err)}
	}
	if resp.Status != http.StatusOK {
		return 0, appendError(resp.Status)
	}
	var body appendAnswer
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return 0, &chestnutpond.AppendError{Ambiguous: true, Err: Class.Wrap(err)}
	}
	if body.Offset == nil || *body.Offset < 0 {
		return 0, &chestnutpond.AppendError{Ambiguous: true, Err: Class.New("answer without an offset")}
	}
	return *body.Offset, nil
}

// Read implements chestnutpond.Log.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (chestnutpond.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	resp, err := c.client.Do(ctx, webio.Request{
		Method: http.MethodGet,
		Path:   fmt.Sprintf("%s?from=%d&limit=%d&wait=%s", c.path, from, limit, wait),
	})
	if err != nil {
		return chestnutpond.Batch{}, Class.Wrap(err)
	}
	switch resp.Status {
	case http.StatusOK:
		return decodeBatch(resp.Body, from, limit)
	case http.StatusGone:
		return chestnutpond.Batch{}, trimmedError(resp.Body, from)
	}
	return chestnutpond.Batch{}, Class.New("read from offset %d: status %d", from, resp.Status)
}

// Close closes idle connections.
func (c *Client) Close() { c.client.Close() }

func appendError(status int) *chestnutpond.AppendError {
	failure := &chestnutpond.AppendError{Err: Class.New("append: status %d", status)}
	switch status {
	case http.StatusTooManyRequests:
		failure.Limited = true
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
	default:
		failure.Ambiguous = true
	}
	return failure
}

func trimmedError(body []byte, from int64) error {
	var resp trimmedAnswer
	if err := json.Unmarshal(body, &resp); err != nil {
		return Class.Wrap(err)
	}
	if resp.First == nil || *resp.First <= from {
		return Class.New("read from offset %d: refused as trimmed without a higher first offset", from)
	}
	return &chestnutpond.TrimmedError{From: from, First: *resp.First}
}

func decodeBatch(body []byte, from int64, limit int) (chestnutpond.Batch, error) {
	var resp readAnswer
	if err := json.Unmarshal(body, &resp); err != nil {
		return chestnutpond.Batch{}, Class.Wrap(err)
	}
	if resp.First == nil || resp.Next == nil || *resp.First < 0 || *resp.First > *resp.Next {
		return chestnutpond.Batch{}, Class.New("read from offset %d: bad first or next", from)
	}
	count := int64(len(resp.Records))
	if len(resp.Records) > limit || (count > 0 && from+count > *resp.Next) {
		return chestnutpond.Batch{}, Class.New("read from offset %d: %d records do not fit", from, count)
	}
	batch := chestnutpond.Batch{First: *resp.First, Next: *resp.Next}
	for i, r := range resp.Records {
		if r.Offset != from+int64(i) {
			return chestnutpond.Batch{}, Class.New("read from offset %d: offset %d at place %d", from, r.Offset, i)
		}
		batch.Records = append(batch.Records, chestnutpond.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}
