package scale

import (
	"fmt"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

// waitingJobs is the number of waiting jobs of section 1.6 of the design page,
// and submitters how many callers submit them at a time.
const (
	waitingJobs = 12_000
	submitters  = 16
)

// waiting fills the region with bulk jobs, has the rest of them wait, and then
// measures the start of urgent jobs and a window in which nothing is submitted.
func (c *cluster) waiting() {
	_, err := c.publish(document(3, time.Now().UnixNano()))
	assert.NilError(c.t, err)
	c.fill(waitingJobs)
	c.window(settleTime, nil)
	c.urgent(30, 8)
	c.window(fullWindow, nil).print("waiting")
}

// fill submits bulk jobs of two accounts, many at a time.
func (c *cluster) fill(jobs int) {
	before := c.appended()
	begin := time.Now()
	var running sync.WaitGroup
	for s := range submitters {
		running.Go(func() {
			for i := s; i < jobs; i += submitters {
				account := []string{"team-1", "team-2"}[i%2]
				_, _, err := c.submitAs(account, "long", "pampa", jobSizes[i%len(jobSizes)], time.Hour, "rack")
				assert.Check(c.t, err)
			}
		})
	}
	running.Wait()
	took := time.Since(begin)
	fmt.Printf("WAITING agents=%d jobs=%d submitted_in=%s appends=%d\n",
		len(c.agents), jobs, took.Round(time.Millisecond), c.appended()-before)
}
