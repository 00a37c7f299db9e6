package scale

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
