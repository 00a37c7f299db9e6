package scale

import (
	"encoding/base64"
	"fmt"
	"math"
	"sync"
	"syscall"
	"time"
)

// The daily figures of section 1.6 of the design page, and the workers that
// they are for.
const (
	dayFailures = 57
	dayRestarts = 870
	dayConfigs  = 4500
	dayJobs     = 12_000
	dayWorkers  = 8300
)

// compression is how many times faster than in a day things happen in a window
// of fullWindow: a whole day in 30 s.
const compression = 24 * time.Hour / fullWindow

// jobSizes are the accelerators of the jobs of the churn, in turn.
var jobSizes = []int{1, 1, 1, 2, 2, 4, 8, 8, 16}

func base64Text(data []byte) string { return base64.StdEncoding.EncodeToString(data) }

// scaled returns the events of one day at n workers.
func scaled(daily, n int) int { return int(math.Round(float64(daily) * float64(n) / dayWorkers)) }

// churner runs the events of one kind, evenly spaced over a window.
type churner struct {
	name   string
	events int
	act    func(i int) error

	failed []error
}

// run returns after the last event.
func (r *churner) run(begin time.Time, window time.Duration) {
	for i := range r.events {
		due := begin.Add(window * time.Duration(2*i+1) / time.Duration(2*r.events))
		time.Sleep(time.Until(due))
		if err := r.act(i); err != nil {
			r.failed = append(r.failed, err)
		}
	}
}

// churn measures a window with the target's daily events at the number of
// agents, compressed, and then each kind of event alone.
func (c *cluster) churn(n int) {
	all := c.churners(n)
	c.loaded("churn", all)
	for _, r := range c.churners(n) {
		if r.name == "config" || r.name == "job" {
			c.window(settleTime, nil)
			c.loaded(r.name, []*churner{r})
		}
	}
}

func (c *cluster) churners(n int) []*churner {
	return []*churner{
		{name: "failure", events: scaled(dayFailures, n), act: func(i int) error {
			p := c.agents[(7*i+1)%n]
			p.end(syscall.SIGKILL)
			return p.start()
		}},
		{name: "restart", events: scaled(dayRestarts, n), act: func(i int) error {
			p := c.agents[(11*i+5)%n]
			p.end(syscall.SIGTERM)
			return p.start()
		}},
		{name: "config", events: scaled(dayConfigs, n), act: func(i int) error {
			_, err := c.publish(document(4, time.Now().UnixNano()+int64(i)))
			return err
		}},
		{name: "job", events: scaled(dayJobs, n), act: func(i int) error {
			kind, region := "long", places[1+i%2][0]
			if i%4 == 0 {
				kind = "soon"
			}
			_, _, err := c.submit(kind, region, min(jobSizes[i%len(jobSizes)], 8*min(rackWorkers, n/4)), time.Second, "rack")
			return err
		}},
	}
}

func (c *cluster) loaded(phase string, list []*churner) {
	p := c.window(fullWindow, func() {
		begin := time.Now()
		var running sync.WaitGroup
		for _, r := range list {
			running.Add(1)
			go func() {
				defer running.Done()
				r.run(begin, fullWindow)
			}()
		}
		running.Wait()
	})
	p.print(phase)
	for _, r := range list {
		fmt.Printf("EVENTS %s agents=%d kind=%s events=%d failed=%d compression=%d %v\n",
			phase, len(c.agents), r.name, r.events, len(r.failed), compression, r.failed)
	}
}
