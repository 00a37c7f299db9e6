package scale

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const fanInWindow = 15 * time.Second

// measureEntries prints what entries without agents cost, by their number: each
// asks each other one once a second.
func measureEntries(t *testing.T) {
	for _, n := range []int{1, 3, 6, 11} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			c := newCluster(t, layout{entries: n, zones: 1})
			c.window(settleTime, nil)
			c.window(fanInWindow, nil).print("entries")
		})
	}
}

// measureGangs prints what a gang costs its leader, by its members: each sends
// the leader two beats a second. The leader is the agent that uses most.
func measureGangs(t *testing.T) {
	c := newCluster(t, layout{entries: entryCount, agents: 66, accelerators: 1, zones: 1})
	c.window(fanInWindow, nil).print("gang-0")
	for _, members := range []int{8, 16, 32, 64} {
		id, _, err := c.submit("long", "pampa", members, 25*time.Second, "zone")
		assert.NilError(t, err)
		until(t, "gang runs", func() string { return c.running(id, members) })
		c.window(fanInWindow, nil).print(fmt.Sprint("gang-", members))
		until(t, "gang ends", func() string {
			if left := c.running(id, 0); left != "" {
				return left
			}
			return ""
		})
	}
}

// running says how many members of a job run if they are not as many as wanted.
func (c *cluster) running(id string, want int) string {
	n := 0
	for _, url := range c.status {
		n += int(max(0, metric(url, "agent_tasks")))
	}
	if n != want {
		return fmt.Sprintf("job %s: %d tasks", id, n)
	}
	return ""
}

// measureStart prints how long an entry takes from its start until it is ready
// when the newest snapshot has the state of the target size, and what it uses
// then. It guards against an entry that outgrows the memory of a node. The entry
// schedules nothing, since the snapshot is ahead of the log, so this is the fold
// without a placement core.
func measureStart(t *testing.T) {
	for name, bounded := range map[string]bool{"open-jobs": false, "all-bounds": true} {
		t.Run(name, func(t *testing.T) {
			c := &cluster{t: t}
			c.log = launch(t, "log", "standins", "--workers", "0", "--stream", "scale")
			c.logAddress = c.printed(c.log, "log", 1)[0]
			state := targetState(t, targetWaiting, targetRunning, bounded)
			data, err := state.Snapshot()
			assert.NilError(t, err)
			parts := ledger.Parts("s", state.Next(), data)
			// An entry starts from a snapshot only if the log has dropped records.
			for _, body := range append([]ledger.SnapshotPart{{}}, parts...) {
				record, err := ledger.Encode(ledger.Origin{Process: "elsewhere", Incarnation: 1}, body)
				assert.NilError(t, err)
				var answer struct{ Offset int64 }
				assert.NilError(t, call(http.MethodPost, c.logAddress+"/streams/scale/records", "", record, &answer))
			}
			var faults stand.LogFaults
			retain := fmt.Appendf(nil, `{"retain": %d}`, len(parts))
			assert.NilError(t, call(http.MethodPost, c.logAddress+"/control", "", retain, &faults))
			began := time.Now()
			c.addEntry(0, []string{host(2000) + ":7070"})
			c.awaitReady()
			took := time.Since(began)
			ready := c.entries[0].usage(t)
			c.window(settleTime, nil)
			after := c.entries[0].usage(t)
			fmt.Printf("START %s snapshot_B=%d ready=%s cpu_s=%.2f ready_MB=%.1f after_3s_MB=%.1f peak_MB=%.1f\n", name, len(data),
				took.Round(time.Millisecond), ready.CPU.Seconds(), float64(ready.Resident)/1e6, float64(after.Resident)/1e6, float64(after.Peak)/1e6)
			assert.Assert(t, after.Peak <= maxMemory, "%d bytes of memory", after.Peak)
		})
	}
}
