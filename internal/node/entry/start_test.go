package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// TestWithdrawnKeyAtStart guards against an entry that starts on a slow log and accepts a
// key that an early record gives and a later one has withdrawn.
func TestWithdrawnKeyAtStart(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	// More records than one read returns.
	for n := range 600 {
		assert.NilError(t, w.entry.tail.Append(t.Context(), ledger.Evacuate{Zone: "none", Base: int64(n + 1)}))
	}
	got := w.publish(1, strings.ReplaceAll(testDocument, tokenDigest(salesToken), tokenDigest("secret-renewed")))
	assert.Equal(t, got.status, http.StatusOK, got.text)
	w.log.SetFaults(stand.LogFaults{Delay: stand.Duration(100 * time.Millisecond)})
	other := newTestEnvOn(t, "entry-2", w.log)
	status := func(token string) int { return other.send(call{method: "GET", path: "/v1/jobs", token: token}).status }
	other.waitUntil("the new key in force", func() bool {
		withdrawn := status(salesToken)
		assert.Assert(t, withdrawn != http.StatusOK, "the withdrawn key is accepted")
		return status("secret-renewed") == http.StatusOK
	})
	assert.Equal(t, fmt.Sprint(status(salesToken)), "401")
}
