// Package logsvc is the HTTP client of the platform's log service. A Client is
// one stream of it and implements chestnutpond.Log.
//
// The package keeps two failures of an append strictly apart: the service
// refused it, so that the record is not and will not be in the stream, and the
// outcome is unknown, so that the record may be there or still arrive. Only a
// 429, a 503, a 400, 404 or 413, and a request that never got a connection count
// as refused. Anything else, from a reset to a malformed answer, is unknown.
//
// A read that does not carry exactly the consecutive records from the offset
// asked for is an error and never a shorter batch.
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

// Class is the class of the errors of this package.
var Class = errs.Class("log service")

const (
	defaultTimeout   = 5 * time.Second
	defaultMaxAnswer = 16 << 20
	connections      = 8
)

// Config configures a Client.
type Config struct {
	// Address of the log service, host:port or an http URL.
	Address string
	// Stream is the name of the stream.
	Stream string
	// Timeout bounds a call in addition to its context; a read may take the
	// time of its wait longer. Zero means 5 s.
	Timeout time.Duration
	// MaxAnswer bounds an answer in bytes. Zero means 16 MiB.
	MaxAnswer int64
}

// Client is one stream of the log service. It is safe for concurrent use.
type Client struct {
	web     *webio.Client
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

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultMaxAnswer
	}
	return &Client{
		web:     webio.New(webio.Config{Address: c.Address, Connections: connections, MaxAnswer: c.MaxAnswer}),
		path:    "/streams/" + url.PathEscape(c.Stream) + "/records",
		timeout: c.Timeout,
	}
}

// Append implements chestnutpond.Log. Each failure is an *AppendError.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := c.web.Do(ctx, webio.Request{
		Method: http.MethodPost,
		Path:   c.path,
		Header: map[string]string{"Content-Type": "application/octet-stream"},
		Body:   data,
	})
	if err != nil {
		var failed *webio.Error
		sent := !errors.As(err, &failed) || !failed.NotSent
		return 0, &chestnutpond.AppendError{Ambiguous: sent, Err: Class.Wrap(err)}
	}
	if answer.Status != http.StatusOK {
		return 0, refusal(answer.Status)
	}
	var body appendAnswer
	if err := json.Unmarshal(answer.Body, &body); err != nil {
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
	answer, err := c.web.Do(ctx, webio.Request{
		Method: http.MethodGet,
		Path:   fmt.Sprintf("%s?from=%d&limit=%d&wait=%s", c.path, from, limit, wait),
	})
	if err != nil {
		return chestnutpond.Batch{}, Class.Wrap(err)
	}
	switch answer.Status {
	case http.StatusOK:
		return decodeBatch(answer.Body, from, limit)
	case http.StatusGone:
		return chestnutpond.Batch{}, trimmed(answer.Body, from)
	}
	return chestnutpond.Batch{}, Class.New("read from offset %d: status %d", from, answer.Status)
}

// Close closes the idle connections.
func (c *Client) Close() { c.web.Close() }

func refusal(status int) *chestnutpond.AppendError {
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

func trimmed(body []byte, from int64) error {
	var answer trimmedAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Class.Wrap(err)
	}
	if answer.First == nil || *answer.First <= from {
		return Class.New("read from offset %d: refused as trimmed without a higher first offset", from)
	}
	return &chestnutpond.TrimmedError{From: from, First: *answer.First}
}

func decodeBatch(body []byte, from int64, limit int) (chestnutpond.Batch, error) {
	var answer readAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return chestnutpond.Batch{}, Class.Wrap(err)
	}
	if answer.First == nil || answer.Next == nil || *answer.First < 0 || *answer.First > *answer.Next {
		return chestnutpond.Batch{}, Class.New("read from offset %d: bad first or next", from)
	}
	count := int64(len(answer.Records))
	if len(answer.Records) > limit || (count > 0 && from+count > *answer.Next) {
		return chestnutpond.Batch{}, Class.New("read from offset %d: %d records do not fit", from, count)
	}
	batch := chestnutpond.Batch{First: *answer.First, Next: *answer.Next}
	for i, r := range answer.Records {
		if r.Offset != from+int64(i) {
			return chestnutpond.Batch{}, Class.New("read from offset %d: offset %d at place %d", from, r.Offset, i)
		}
		batch.Records = append(batch.Records, chestnutpond.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}
