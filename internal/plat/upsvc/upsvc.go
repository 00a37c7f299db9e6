// Package upsvc implements an HTTP client of the upstream on an agent's host. A
// Client implements chestnutpond.Upstream.
//
// A call is never retried. Only a call that never got a connection is reported as
// not sent; after any other failure it may have been executed. Only complete
// responses are returned: a body shorter than its Content-Length, a body that is
// delimited only by the end of the connection, and a body over the size limit are
// errors. Any status code of the upstream is a valid response.
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

// Class is the error class of this package.
var Class = errs.Class("upstream")

const (
	defaultTimeout     = 25 * time.Second
	defaultConnections = 64
	defaultMaxResponse = 8 << 20
	readyTimeout       = time.Second
)

// Config configures a Client.
type Config struct {
	// Address of the upstream, host:port or an http URL.
	Address string
	// Connections is the maximum number of connections for calls. Zero means 64.
	Connections int
	// MaxAnswer is the maximum size of a response body in bytes. Zero means 8 MiB.
	MaxAnswer int64
}

// Client calls the upstream on an agent's host. It is safe for concurrent use.
type Client struct {
	calls *webio.Client
	// probes has a separate connection, so that Ready works while calls use all
	// connections of their client.
	probes *webio.Client
}

var _ chestnutpond.Upstream = (*Client)(nil)

// New returns a client. It does not open a connection.
func New(c Config) *Client {
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultMaxResponse
	}
	return &Client{
		calls:  webio.New(webio.Config{Address: c.Address, Connections: c.Connections, MaxAnswer: c.MaxAnswer}),
		probes: webio.New(webio.Config{Address: c.Address, Connections: 1}),
	}
}

// Serve implements chestnutpond.Upstream. The default timeout of a call is 25 s,
// the maximum that a document may specify.
func (c *Client) Serve(ctx context.Context, call chestnutpond.Call) (chestnutpond.Answer, error) {
	if call.Timeout <= 0 {
		call.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	resp, err := c.calls.Do(ctx, webio.Request{
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
		var requestErr *webio.Error
		if errors.As(err, &requestErr) && requestErr.NotSent {
			return chestnutpond.Answer{}, &chestnutpond.NotSentError{Err: Class.Wrap(err)}
		}
		return chestnutpond.Answer{}, Class.Wrap(err)
	}
	return chestnutpond.Answer{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}, nil
}

// Ready implements chestnutpond.Upstream. Its timeout is 1 s.
func (c *Client) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	resp, err := c.probes.Do(ctx, webio.Request{Method: http.MethodGet, Path: "/readyz"})
	if err != nil {
		return Class.Wrap(err)
	}
	if resp.Status != http.StatusOK {
		return Class.New("not ready: status %d", resp.Status)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.calls.Close()
	c.probes.Close()
}
