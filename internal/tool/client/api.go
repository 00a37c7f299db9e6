package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// callTimeout bounds one call; an entry answers within 25 s.
	callTimeout = 30 * time.Second
	// dialTimeout bounds the time that an entry that is down costs.
	dialTimeout = 3 * time.Second
	// maxReply bounds the body of a reply in bytes.
	maxReply = 64 << 20
)

// api calls the HTTP server of entries.
type api struct {
	// addresses are base URLs, at least one; calls start with the first.
	addresses []string
	token     string
	client    *http.Client
}

// newAPI returns an api without open connections.
func newAPI(addresses []string, token string) *api {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	// Each call has a connection of its own, because a kept one may have gone
	// silent between two calls.
	transport.DisableKeepAlives = true
	transport.TLSHandshakeTimeout = dialTimeout
	transport.Proxy = nil
	return &api{
		addresses: addresses,
		token:     token,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// call is one call of the API.
type call struct {
	method string
	// path begins with a slash and is escaped.
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// repeatable means that the call has the same effect if it arrives twice.
	repeatable bool
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// failure is the body of every reply that is an error.
type failure struct {
	Outcome chestnutpond.Outcome `json:"outcome"`
	Reason  string               `json:"reason"`
	Detail  string               `json:"detail"`
}

// failure returns the body of an error. A body of another form gives the outcome
// of the header, or none.
func (r reply) failure() failure {
	var f failure
	if err := json.Unmarshal(r.body, &f); err != nil || f.Outcome == "" {
		f = failure{Outcome: chestnutpond.Outcome(r.header.Get("Chestnutpond-Outcome"))}
	}
	return f
}

// decode reads a JSON body.
func (r reply) decode(what string, into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return failf(ExitFailed, "%s: the answer of the entry is not understood: %v", what, err)
	}
	return nil
}

// notSentError means that no entry got the call.
type notSentError struct {
	err error
}

// Error implements error.
func (e *notSentError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.err }

// do sends a call to the entries in turn until one answers. It goes on to the
// next after a connection that could not be opened, after a proof that nothing
// ran, and after any other failure of a repeatable call. The error is a
// *notSentError if no entry can have received the call.
func (a *api) do(ctx context.Context, c call) (reply, error) {
	var refused *reply
	var failed []error
	sent := false
	for _, address := range a.addresses {
		r, reached, err := a.send(ctx, address, c)
		switch {
		case err == nil && r.notRun():
			refused = &r
		case err == nil:
			return r, nil
		case reached && !c.repeatable:
			return reply{}, err
		default:
			sent = sent || reached
			failed = append(failed, err)
		}
	}
	switch err := errors.Join(failed...); {
	case sent:
		return reply{}, err
	case refused != nil:
		return *refused, nil
	default:
		return reply{}, &notSentError{err}
	}
}

// notRun reports whether the reply proves that nothing ran, while another entry
// may take the call.
func (r reply) notRun() bool {
	return r.status == http.StatusServiceUnavailable && r.failure().Outcome == chestnutpond.OutcomeNotRun
}

// send sends a call to one entry. The second result tells whether the entry may
// have received it.
func (a *api) send(ctx context.Context, address string, c call) (reply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The trace runs in goroutines of the transport.
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	target := strings.TrimSuffix(address, "/") + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	q, err := http.NewRequestWithContext(traced, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return reply{}, false, err
	}
	for name, values := range c.header {
		q.Header[name] = values
	}
	if a.token != "" {
		q.Header.Set("Authorization", "Bearer "+a.token)
	}
	res, err := a.client.Do(q)
	if err != nil {
		return reply{}, connected.Load(), fmt.Errorf("entry %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply+1))
	if err != nil {
		return reply{}, true, fmt.Errorf("entry %s: the answer broke off: %w", address, err)
	}
	if len(body) > maxReply {
		return reply{}, true, fmt.Errorf("entry %s: the answer has more than %d bytes", address, maxReply)
	}
	return reply{status: res.StatusCode, header: res.Header, body: body}, true, nil
}
