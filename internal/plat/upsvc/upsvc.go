// Package upsvc is the HTTP client of the upstream beside an agent and
// implements chestnutpond.Upstream.
//
// A call is sent once. Only a call that never got a connection is reported as
// not sent; after any other failure it may have run. An answer is returned only
// if it is whole: a body shorter than its Content-Length, a body without a
// marked end, and a body over the bound are errors. Any status of the upstream
// is an answer.
package upsvc

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/plat/webio"
)

// Class is the class of the errors of this package.
var Class = errs.Class("upstream")

const (
	defaultTimeout     = 25 * time.Second
	defaultConnections = 64
	defaultMaxAnswer   = 8 << 20
	readyTimeout       = time.Second
)

// Config configures a Client.
type Config struct {
	// Address of the upstream, host:port or an http URL.
	Address string
	// Connections bounds the connections of calls. Zero means 64.
	Connections int
	// MaxAnswer bounds an answer in bytes. Zero means 8 MiB.
	MaxAnswer int64
}

// Client is the upstream beside an agent. It is safe for concurrent use.
type Client struct {
	calls *webio.Client
	// probes has a connection of its own, so that Ready answers while calls
	// hold all of theirs.
	probes *webio.Client
}

var _ chestnutpond.Upstream = (*Client)(nil)

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultMaxAnswer
	}
	return &Client{
		calls:  webio.New(webio.Config{Address: c.Address, Connections: c.Connections, MaxAnswer: c.MaxAnswer}),
		probes: webio.New(webio.Config{Address: c.Address, Connections: 1}),
	}
}

// Serve implements chestnutpond.Upstream. A call without a timeout gets 25 s,
// the longest that a document may state.
func (c *Client) Serve(ctx context.Context, call chestnutpond.Call) (chestnutpond.Answer, error) {
	if call.Timeout <= 0 {
		call.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	answer, err := c.calls.Do(ctx, webio.Request{
		Method: http.MethodPost,
		Path:   "/serve/" + url.PathEscape(call.Kind),
		Header: map[string]string{
			"Content-Type": "application/octet-stream",
			"Request-Id":   call.Request,
			"Timeout":      call.Timeout.String(),
		},
		Body: call.Body,
	})
	if err != nil {
		var failed *webio.Error
		if errors.As(err, &failed) && failed.NotSent {
			return chestnutpond.Answer{}, &chestnutpond.NotSentError{Err: Class.Wrap(err)}
		}
		return chestnutpond.Answer{}, Class.Wrap(err)
	}
	return chestnutpond.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// Ready implements chestnutpond.Upstream. It waits at most 1 s.
func (c *Client) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	answer, err := c.probes.Do(ctx, webio.Request{Method: http.MethodGet, Path: "/readyz"})
	if err != nil {
		return Class.Wrap(err)
	}
	if answer.Status != http.StatusOK {
		return Class.New("not ready: status %d", answer.Status)
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.calls.Close()
	c.probes.Close()
}
