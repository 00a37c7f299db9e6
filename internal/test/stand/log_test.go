package stand_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/plat/logsvc"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const stream = "main"

// Guards against a client or stand-in that reports a refused append as unknown,
// an unknown one as refused, or a read with a gap as complete.
func TestLogContract(t *testing.T) {
	cases := map[string]func(t *testing.T, log chestnutpond.Log, s *stand.Log){
		"records come back in order": func(t *testing.T, log chestnutpond.Log, _ *stand.Log) {
			appendAll(t, log, "a", "b", "c")
			batch, err := log.Read(limited(t), 1, 10, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, batch, chestnutpond.Batch{
				Records: []chestnutpond.Record{{Offset: 1, Data: []byte("b")}, {Offset: 2, Data: []byte("c")}},
				Next:    3,
			})
		},
		"limit bounds a batch": func(t *testing.T, log chestnutpond.Log, _ *stand.Log) {
			appendAll(t, log, "a", "b", "c")
			batch, err := log.Read(limited(t), 0, 2, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(batch.Records), 2)
		},
		"empty read after the wait": func(t *testing.T, log chestnutpond.Log, _ *stand.Log) {
			batch, err := log.Read(limited(t), 0, 10, 20*time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, len(batch.Records), 0)
		},
		"read waits for a record": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			time.AfterFunc(20*time.Millisecond, func() { _, _ = s.Append(context.Background(), []byte("late")) })
			batch, err := log.Read(limited(t), 0, 10, patience/2)
			assert.NilError(t, err)
			assert.Equal(t, string(batch.Records[0].Data), "late")
		},
		"trimmed": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			s.SetFaults(stand.LogFaults{Retain: 2})
			appendAll(t, log, "a", "b", "c")
			_, err := log.Read(limited(t), 0, 10, 0)
			var trimmed *chestnutpond.TrimmedError
			assert.Assert(t, errors.As(err, &trimmed), "%v", err)
			assert.Equal(t, *trimmed, chestnutpond.TrimmedError{From: 0, First: 1})
		},
		"outage": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			s.SetFaults(stand.LogFaults{Outage: true})
			_, err := log.Append(limited(t), []byte("a"))
			assertAppendError(t, err, false, false)
			_, err = log.Read(limited(t), 0, 10, 0)
			assert.Assert(t, err != nil)
			assert.Equal(t, len(s.Records()), 0)
		},
		"outage ends a read that waits": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			time.AfterFunc(20*time.Millisecond, func() { s.SetFaults(stand.LogFaults{Outage: true}) })
			_, err := log.Read(limited(t), 0, 10, patience/2)
			assert.Assert(t, err != nil)
		},
		"append rate": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			s.SetFaults(stand.LogFaults{AppendRate: 0.001})
			appendAll(t, log, "a")
			_, err := log.Append(limited(t), []byte("b"))
			assertAppendError(t, err, false, true)
			assert.Equal(t, len(s.Records()), 1)
		},
		"lost answer": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			s.SetFaults(stand.LogFaults{LoseAnswers: 1})
			_, err := log.Append(limited(t), []byte("a"))
			assertAppendError(t, err, true, false)
			appendAll(t, log, "b")
			assert.Equal(t, len(s.Records()), 2)
		},
		"answer after the deadline": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			s.SetFaults(stand.LogFaults{AnswerDelay: stand.Duration(time.Hour)})
			_, err := log.Append(cancelOnce(t, func() bool { return len(s.Records()) == 1 }), []byte("a"))
			assertAppendError(t, err, true, false)
		},
		"delayed append takes effect after its caller left": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			s.SetFaults(stand.LogFaults{Delay: stand.Duration(1500 * time.Millisecond)})
			ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
			defer cancel()
			_, err := log.Append(ctx, []byte("a"))
			assertAppendError(t, err, true, false)
			until(t, "record", func() bool { return len(s.Records()) == 1 })
		},
		"ended context before the append": func(t *testing.T, log chestnutpond.Log, s *stand.Log) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := log.Append(ctx, []byte("a"))
			assertAppendError(t, err, false, false)
			assert.Equal(t, len(s.Records()), 0)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			bothForms(t, func(t *testing.T) {
				s := stand.NewLog(stream)
				run(t, s, s)
			}, func(t *testing.T) {
				s := stand.NewLog(stream)
				client := logsvc.New(logsvc.Config{Address: listen(t, s.Handler()), Stream: stream})
				defer client.Close()
				run(t, client, s)
			})
		})
	}
}

// Guards against taking a damaged answer for a good one, and against calling an
// append refused that may have happened.
func TestLogClientAnswers(t *testing.T) {
	whole := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	cases := map[string]struct {
		answer string
		// refused says that an append with this answer is known not to be there.
		refused bool
	}{
		"no answer":          {answer: ""},
		"cut header":         {answer: "HTTP/1.1 200"},
		"cut body":           {answer: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"offset\": 1}"},
		"cut chunk":          {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"offset\": 1}\r\n"},
		"no length":          {answer: "HTTP/1.1 200 OK\r\n\r\n{\"offset\": 1}"},
		"not JSON":           {answer: whole("200 OK", "offset 1")},
		"empty object":       {answer: whole("200 OK", "{}")},
		"negative offsets":   {answer: whole("200 OK", `{"offset": -1, "records": [], "first": -1, "next": -1}`)},
		"over the bound":     {answer: whole("200 OK", `{"offset": 1}`+strings.Repeat(" ", 2000))},
		"gap":                {answer: whole("200 OK", `{"records": [{"offset": 1}], "first": 0, "next": 2}`)},
		"beyond next":        {answer: whole("200 OK", `{"records": [{"offset": 0}], "first": 0, "next": 0}`)},
		"trimmed, no first":  {answer: whole("410 Gone", `{}`)},
		"server error":       {answer: whole("500 Internal Server Error", `{}`)},
		"redirect":           {answer: "HTTP/1.1 307 Temporary Redirect\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"},
		"unavailable":        {answer: whole("503 Service Unavailable", "down"), refused: true},
		"rate":               {answer: whole("429 Too Many Requests", ""), refused: true},
		"record is too long": {answer: whole("413 Request Entity Too Large", ""), refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := logsvc.New(logsvc.Config{Address: listen(t, rawAnswer(c.answer)), Stream: stream, MaxAnswer: 1000})
			defer client.Close()
			_, err := client.Append(limited(t), []byte("a"))
			assertAppendError(t, err, !c.refused, name == "rate")
			_, err = client.Read(limited(t), 0, 10, 0)
			var trimmed *chestnutpond.TrimmedError
			assert.Assert(t, err != nil && !errors.As(err, &trimmed), "%v", err)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		_, err := logsvc.New(logsvc.Config{Address: refusedAddress(), Stream: stream}).Append(limited(t), []byte("a"))
		assertAppendError(t, err, false, false)
	})
}

func appendAll(t *testing.T, log chestnutpond.Log, data ...string) {
	t.Helper()
	for _, d := range data {
		_, err := log.Append(limited(t), []byte(d))
		assert.NilError(t, err)
	}
}

func assertAppendError(t *testing.T, err error, ambiguous, rateLimited bool) {
	t.Helper()
	var failed *chestnutpond.AppendError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Ambiguous, ambiguous, "%v", err)
	assert.Equal(t, failed.Limited, rateLimited, "%v", err)
}
