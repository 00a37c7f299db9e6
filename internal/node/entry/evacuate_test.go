package entry

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evacuations returns the evacuations that the status shows.
func (w *testEnv) evacuations(token string) []evacuationView {
	w.t.Helper()
	got := w.send(call{method: "GET", path: "/v1/status", token: token})
	var v statusView
	assert.NilError(w.t, json.Unmarshal([]byte(got.text), &v))
	return v.Evacuations
}

// TestEvacuation guards against requests that are sent to an evacuated zone, a status that
// hides an evacuation, and a repeated request or undo that is refused.
func TestEvacuation(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("w1", "r1")
	request := requestCall("price_list", salesToken, "", map[string]string{headerCallTimeout: "300ms"})
	evacuate := call{method: "PUT", path: "/v1/evacuations?zone=pampa-a", token: operatorToken}
	undo := call{method: "DELETE", path: "/v1/evacuations?zone=pampa-a", token: operatorToken}
	w.waitUntil("an answer", func() bool { return w.send(request).status == http.StatusOK })
	assert.Equal(t, len(w.evacuations(operatorToken)), 0)
	for range 2 {
		got := w.send(evacuate)
		assert.Equal(t, got.status, http.StatusOK, got.text)
		assert.Equal(t, string(got.Outcome), "evacuated")
	}
	w.waitUntil("no request in the zone", func() bool { return w.send(request).Outcome == "not_run" })
	w.waitUntil("a guarantee that does not fit", func() bool {
		views := w.evacuations(operatorToken)
		return len(views) == 1 && len(views[0].Uncovered) == 1 && views[0].Uncovered[0] == "pampa/sales"
	})
	view := w.evacuations(operatorToken)[0]
	assert.Equal(t, view.Zone+" "+view.Operator, "pampa-a op")
	assert.Assert(t, time.Since(view.Since) < time.Minute && view.Offset > 0)
	assert.Equal(t, w.evacuations(stockToken)[0].Operator, "")
	assert.Equal(t, len(w.evacuations(stockToken)[0].Uncovered), 0, "guarantee of another account")
	for range 2 {
		got := w.send(undo)
		assert.Equal(t, got.status, http.StatusOK, got.text)
		assert.Equal(t, string(got.Outcome), "evacuation_undone")
	}
	assert.Equal(t, len(w.evacuations(operatorToken)), 0)
	w.waitUntil("an answer after the undo", func() bool { return w.send(request).status == http.StatusOK })
	w.checkSecrets()
}
