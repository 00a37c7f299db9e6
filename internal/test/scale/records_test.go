package scale

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
)

// recordRate is the bound of section 3.2 of the design page on intents, terms
// and snapshots, in records a second.
const recordRate = 60

// TestRecords guards against messages to every agent for records that do not
// concern it: at the bound on records, idle agents stay within their rate.
func TestRecords(t *testing.T) {
	window := fullWindow
	if !*full {
		window = shortWindow
	}
	c := newCluster(t, layout{entries: entryCount, agents: 20, accelerators: 8, zones: len(places)})
	p := c.window(window, func() {
		writer := churner{events: int(recordRate * window.Seconds()), act: func(i int) error {
			data, err := ledger.Encode(ledger.Origin{Process: "elsewhere", Incarnation: 1}, ledger.Intents{
				Intents: []ledger.IntentID{{Key: fmt.Sprint("key-", i), ID: "1"}},
			})
			assert.NilError(t, err)
			var answer struct{ Offset int64 }
			return call(http.MethodPost, c.logAddress+"/streams/scale/records", "", data, &answer)
		}}
		writer.run(time.Now(), window)
		assert.Equal(t, len(writer.failed), 0, "%v", writer.failed)
	})
	p.print("records")
	assert.Assert(t, p.control/float64(len(c.agents)) <= maxControlRate, "%.0f bytes a second", p.control/float64(len(c.agents)))
}
