// Package webio implements HTTP requests to services of the platform. A request
// returns either the complete response or an error that reports whether any byte
// of the request can have left this process.
//
// A response must have a Content-Length or chunked encoding. A response that is
// delimited by the end of the connection is an error, because truncation cannot be
// detected. Redirects are not followed, and proxy settings of the environment are
// ignored. The transport never retries a POST once a byte of it was written.
package webio

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("webio")

const (
	// dialTimeout limits connection setup, which takes about 20 ms between
	// regions.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is host:port or an http URL without a path.
	Address string
	// Connections is the maximum number of open connections; further requests
	// wait for a free one. Zero means 16.
	Connections int
	// DialTimeout limits connection setup. Zero means 2 s.
	DialTimeout time.Duration
	// MaxAnswer is the maximum size of a response body in bytes. Zero means 1 MiB.
	MaxAnswer int64
}

// Client sends requests to one service.
type Client struct {
	base        string
	maxResponse int64
	http        *http.Client
}

// Request is an HTTP request.
type Request struct {
	Method string
	// Path is the escaped path, starting with a slash, and an optional query.
	Path   string
	Header map[string]string
	Body   []byte
}

// Answer is a complete HTTP response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error is the error of a failed request.
type Error struct {
	// NotSent reports that the request never got a connection, so that no byte of
	// it can have reached the service.
	NotSent bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.NotSent {
		return fmt.Sprintf("not sent: %v", e.Err)
	}
	return fmt.Sprintf("exchange failed: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// New returns a client. It does not open a connection.
func New(c Config) *Client {
	if c.Connections == 0 {
		c.Connections = 16
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = 1 << 20
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = dialTimeout
	}
	base := strings.TrimSuffix(c.Address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{
		base:        base,
		maxResponse: c.MaxAnswer,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: c.DialTimeout}).DialContext,
				MaxConnsPerHost:     c.Connections,
				MaxIdleConnsPerHost: c.Connections,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do sends a request and reads the complete response. Every error is an *Error.
// The context covers the whole exchange; if it ends first, the connection is
// closed.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	resp, err := c.exchange(ctx, r)
	if err != nil {
		return Answer{}, &Error{NotSent: !gotConn.Load(), Err: Class.Wrap(err)}
	}
	return resp, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) exchange(ctx context.Context, r Request) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, err
	}
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Answer{}, errs.New("answer to %s %s has no length", r.Method, r.Path)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponse+1))
	if err != nil {
		return Answer{}, err
	}
	if int64(len(body)) > c.maxResponse {
		return Answer{}, errs.New("answer to %s %s exceeds %d bytes", r.Method, r.Path, c.maxResponse)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
