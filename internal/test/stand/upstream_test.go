package stand_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/plat/upsvc"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// Guards against an answer that is not whole or belongs to another request, and
// against "not sent" for a call that was executed.
func TestUpstreamContract(t *testing.T) {
	cases := map[string]struct {
		faults stand.UpstreamFaults
		body   string
		// executions is the number that the call must leave behind.
		executions int
		// status of the answer; zero if the call must fail.
		status int
		// leave ends the call's context once it is executed.
		leave bool
	}{
		"echo":                     {body: "price list", executions: 1, status: http.StatusOK},
		"empty body":               {executions: 1, status: http.StatusOK},
		"service time":             {body: `{"work": "20ms"}`, executions: 1, status: http.StatusOK},
		"slow":                     {faults: stand.UpstreamFaults{Slow: stand.Duration(time.Hour)}, executions: 1, leave: true},
		"service time past caller": {body: `{"work": "1h"}`, executions: 1, leave: true},
		"hang":                     {faults: stand.UpstreamFaults{Hang: true}, executions: 1, leave: true},
		"truncated answer":         {faults: stand.UpstreamFaults{Truncate: true}, executions: 1},
		"failure is an answer":     {faults: stand.UpstreamFaults{Fail: true}, executions: 1, status: http.StatusInternalServerError},
		"refuse":                   {faults: stand.UpstreamFaults{Refuse: true}},
	}
	for name, c := range cases {
		run := func(t *testing.T, u chestnutpond.Upstream, s *stand.Upstream) {
			s.SetFaults(c.faults)
			ctx := limited(t)
			if c.leave {
				ctx = cancelOnce(t, func() bool { return len(s.Executions()) > 0 })
			}
			call := chestnutpond.Call{Request: "r1", Kind: "price_list", Body: []byte(c.body), Timeout: patience}
			answer, err := u.Serve(ctx, call)
			assert.Equal(t, s.Executions()["r1"], c.executions)
			var notSent *chestnutpond.NotSentError
			if c.executions > 0 {
				assert.Assert(t, !errors.As(err, &notSent), "%v", err)
			}
			assert.Equal(t, err == nil, c.status != 0, "%v", err)
			assert.Equal(t, answer.Status, c.status)
			if c.status == http.StatusOK {
				assertEcho(t, answer, call)
			}
			assert.Equal(t, u.Ready(limited(t)) == nil, !c.faults.Refuse)
		}
		t.Run(name, func(t *testing.T) {
			bothForms(t, func(t *testing.T) {
				s := stand.NewUpstream()
				run(t, s, s)
			}, func(t *testing.T) {
				s := stand.NewUpstream()
				client := upsvc.New(upsvc.Config{Address: listen(t, s.Handler())})
				defer client.Close()
				run(t, client, s)
			})
		})
	}
}

// Guards against answers that reach the wrong call when connections are reused.
func TestUpstreamClientKeepsAnswersApart(t *testing.T) {
	s := stand.NewUpstream()
	client := upsvc.New(upsvc.Config{Address: listen(t, s.Handler()), Connections: 4})
	defer client.Close()
	var calls sync.WaitGroup
	for i := range 64 {
		calls.Go(func() {
			call := chestnutpond.Call{Request: fmt.Sprint(i), Kind: "k", Body: []byte(strings.Repeat("x", i)), Timeout: patience}
			answer, err := client.Serve(limited(t), call)
			assert.Check(t, err)
			assertEcho(t, answer, call)
		})
	}
	calls.Wait()
	assert.Equal(t, len(s.Executions()), 64)
}

// Guards against an incomplete body that passes for an answer.
func TestUpstreamClientAnswers(t *testing.T) {
	cases := map[string]string{
		"no answer":      "",
		"cut body":       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"cut chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no length":      "HTTP/1.1 200 OK\r\n\r\nabc",
		"over the bound": "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			client := upsvc.New(upsvc.Config{Address: listen(t, rawAnswer(answer)), MaxAnswer: 1000})
			defer client.Close()
			_, err := client.Serve(limited(t), chestnutpond.Call{Request: "r", Kind: "k", Timeout: patience})
			var notSent *chestnutpond.NotSentError
			assert.Assert(t, err != nil && !errors.As(err, &notSent), "%v", err)
		})
	}
}

// Guards against losing the proof that a call never left.
func TestUpstreamClientNotSent(t *testing.T) {
	call := chestnutpond.Call{Request: "r", Kind: "k", Timeout: 50 * time.Millisecond}
	var notSent *chestnutpond.NotSentError
	t.Run("connection refused", func(t *testing.T) {
		_, err := upsvc.New(upsvc.Config{Address: refusedAddress()}).Serve(limited(t), call)
		assert.Assert(t, errors.As(err, &notSent), "%v", err)
	})
	t.Run("every connection busy", func(t *testing.T) {
		s := stand.NewUpstream()
		s.SetFaults(stand.UpstreamFaults{Hang: true})
		client := upsvc.New(upsvc.Config{Address: listen(t, s.Handler()), Connections: 1})
		defer client.Close()
		ctx, cancel := context.WithCancel(t.Context())
		var first sync.WaitGroup
		first.Go(func() {
			_, _ = client.Serve(ctx, chestnutpond.Call{Request: "first", Kind: "k", Timeout: patience})
		})
		until(t, "execution", func() bool { return s.Executions()["first"] == 1 })
		_, err := client.Serve(limited(t), call)
		assert.Assert(t, errors.As(err, &notSent), "%v", err)
		assert.NilError(t, client.Ready(limited(t)))
		cancel()
		first.Wait()
		assert.Equal(t, s.Executions()["r"], 0)
	})
}

func assertEcho(t *testing.T, answer chestnutpond.Answer, call chestnutpond.Call) {
	t.Helper()
	var echo stand.Echo
	assert.Check(t, json.Unmarshal(answer.Body, &echo))
	assert.Check(t, echo == stand.EchoOf(call), "%+v", echo)
}
