package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a metric on the operations page that no longer exists or is
// never incremented.
func TestMetricsOfAnEntry(t *testing.T) {
	w := newTestEnv(t)
	w.publishFirstDocument()
	w.addAgent("worker-1", "rack-1")
	w.send(requestCall("price_list", salesToken, "x", nil))
	w.send(requestCall("none", salesToken, "x", nil))
	w.send(call{method: "GET", path: "/v1/nothing"})
	borrower := w.send(jobCall(stockToken, "b", fullWorkerJob))
	w.waitUntil("a running job", func() bool { return w.job(stockToken, borrower.ID).State == chestnutpond.JobRunning })
	claim := w.send(jobCall(salesToken, "c", fullWorkerJob))
	w.waitUntil("a running claim", func() bool { return w.job(salesToken, claim.ID).State == chestnutpond.JobRunning })
	var text string
	hasLine := func(line string) bool { return strings.Contains(text, "chestnutpond_"+line+"\n") }
	isCounted := func(name string) bool {
		_, rest, found := strings.Cut(text, "\nchestnutpond_"+name+" ")
		return found && !strings.HasPrefix(rest, "0\n")
	}
	w.waitUntil("the gauges of the region", func() bool {
		text = w.send(call{method: "GET", path: "/metrics"}).text
		return hasLine(`jobs_waiting{account="stock",region="pampa"} 1`) && hasLine(`jobs_running{region="pampa"} 1`)
	})
	for _, line := range []string{
		`requests_total{outcome="answered"} 1`,
		`request_seconds_count{class="urgent"} 1`,
		`refusals_total{outcome="rejected",reason="unknown_kind"} 1`,
		`refusals_total{outcome="rejected",reason="no_route"} 1`,
		`guarantee_uncovered{account="sales",region="pampa"} 0`,
		`preemptions_total{region="pampa"} 1`,
		`claim_start_seconds_count{region="pampa"} 1`,
		`work_lost_accelerator_seconds_total{region="pampa"} 0`,
		`workers_ejected{region="pampa"} 0`,
		`far_bytes_total{part="request"} 0`,
		`far_bytes_total{part="exchange"} 0`,
		`exchange_bytes_total{direction="sent"} 0`,
		`exchange_bytes_total{direction="received"} 0`,
		`agents_homed 1`,
	} {
		assert.Assert(t, hasLine(line), "%s in\n%s", line, text)
	}
	for _, name := range []string{
		"heartbeats_total", `log_appends_total{result="ok"}`, "log_append_seconds_count",
		`guarantee_debt_seconds{account="sales",region="pampa"}`,
	} {
		assert.Assert(t, isCounted(name), "%s in\n%s", name, text)
	}
}
