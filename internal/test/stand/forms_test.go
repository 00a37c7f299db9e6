package stand_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// patience bounds each wait of a test; it is reached only by a failure.
const patience = 20 * time.Second

// bothForms runs the case in one process on virtual time, and over HTTP.
func bothForms(t *testing.T, inProcess, overHTTP func(t *testing.T)) {
	t.Helper()
	t.Run("in process", func(t *testing.T) { synctest.Test(t, inProcess) })
	t.Run("http", overHTTP)
}

func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// refusedAddress returns an address on which nothing listens.
func refusedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return server.URL
}

func limited(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// until polls for a condition.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(2 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < patience, "no %s within %s", what, patience)
	}
}

// cancelOnce returns a context that ends when the condition holds.
func cancelOnce(t *testing.T, condition func() bool) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	go func() {
		defer cancel()
		for ctx.Err() == nil && !condition() {
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return ctx
}

// rawAnswer answers every request with these bytes and closes the connection.
func rawAnswer(answer string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString(answer)
		_ = buffer.Flush()
		_ = conn.Close()
	})
}
