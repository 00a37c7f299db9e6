// Package webio makes one HTTP exchange with a service of the platform and
// returns either the whole answer or an error that says whether any byte of the
// request can have left this process.
//
// An answer is whole only if its end is marked by a length or by chunks; one
// that ends with the connection is an error, because a cut cannot be told from
// the end. Redirects are not followed and proxies of the environment are
// ignored. A POST is never repeated by the transport once a byte of it was
// written.
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

// Class is the class of the errors of this package.
var Class = errs.Class("webio")

const (
	// dialTimeout bounds the set-up of a connection; between regions it takes
	// about 20 ms.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that no call used.
	idleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is host:port or an http URL without a path.
	Address string
	// Connections bounds the open connections; further calls wait for one.
	// Zero means 16.
	Connections int
	// MaxAnswer bounds the body of an answer in bytes. Zero means 1 MiB.
	MaxAnswer int64
}

// Client talks to one service.
type Client struct {
	base      string
	maxAnswer int64
	http      *http.Client
}

// Request is one request.
type Request struct {
	Method string
	// Path begins with a slash, is escaped and may carry a query.
	Path   string
	Header map[string]string
	Body   []byte
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error is a failed exchange.
type Error struct {
	// NotSent means that the request never got a connection, so that no byte of
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Connections == 0 {
		c.Connections = 16
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = 1 << 20
	}
	base := strings.TrimSuffix(c.Address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{
		base:      base,
		maxAnswer: c.MaxAnswer,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxConnsPerHost:     c.Connections,
				MaxIdleConnsPerHost: c.Connections,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do makes one exchange. A failure is an *Error. The context bounds the whole
// exchange; a call that it ends closes its connection.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	answer, err := c.exchange(ctx, r)
	if err != nil {
		return Answer{}, &Error{NotSent: !connected.Load(), Err: Class.Wrap(err)}
	}
	return answer, nil
}

// Close closes the idle connections.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return Answer{}, err
	}
	if int64(len(body)) > c.maxAnswer {
		return Answer{}, errs.New("answer to %s %s exceeds %d bytes", r.Method, r.Path, c.maxAnswer)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
