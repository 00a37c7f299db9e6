package scale

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/test/procfs"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

var (
	full  = flag.Bool("scale.full", false, "measure all points; the short form only checks the bounds")
	sizes = flag.String("scale.agents", "10 50 100 200", "numbers of agents of the full form")
	fanIn = flag.Bool("scale.fan-in", false, "measure the number of entries and the size of gangs, too")
	parts = flag.String("scale.parts", "idle urgent churn doc510", "parts of the full form")
)

// The bounds that section 1.6 of the design page sets for a node.
const (
	maxMemory      = 128_000_000
	maxControlRate = 4_000
)

const (
	entryCount = 3
	fullWindow = 30 * time.Second
	// shortWindow has several heartbeats of each agent.
	shortWindow = 5 * time.Second
	settleTime  = 3 * time.Second
)

// TestSlopes guards against a process that outgrows the memory of a node, and
// against control traffic of an idle agent that outgrows its rate.
func TestSlopes(t *testing.T) {
	if *full {
		if *fanIn {
			t.Run("entries", measureEntries)
			t.Run("gangs", measureGangs)
			t.Run("start", measureStart)
		}
		for text := range strings.FieldsSeq(*sizes) {
			t.Run("agents="+text, func(t *testing.T) { measure(t, atoi(t, text)) })
		}
		return
	}
	for _, n := range []int{10, 20} {
		t.Run(fmt.Sprint("agents=", n), func(t *testing.T) {
			c := newCluster(t, layout{entries: entryCount, agents: n, accelerators: 8, zones: len(places)})
			// There is one entry a zone, and each agent is homed at that of its own.
			until(t, "homes by zone", func() string {
				want := make([]int64, len(places))
				for i := range n {
					want[i/rackWorkers%len(places)]++
				}
				if homes := c.homes(); !slices.Equal(homes, want) {
					return fmt.Sprint(homes, " instead of ", want)
				}
				return ""
			})
			p := c.window(shortWindow, nil)
			p.print("idle")
			for name, peak := range p.peaks {
				assert.Assert(t, peak <= maxMemory, "%s: %d bytes of memory", name, peak)
			}
			assert.Assert(t, p.control/float64(n) <= maxControlRate, "%.0f bytes a second", p.control/float64(n))
		})
	}
}

// point is what one window measured. Rates are a second.
type point struct {
	agents, entries int
	took            time.Duration
	// entryCPU and agentCPU are shares of a core: of each entry, and the mean
	// and the highest of the agents.
	entryCPU           []float64
	agentCPU, agentTop float64
	// entryMemory and agentMemory are the highest resident bytes, agentMean the
	// mean.
	entryMemory, agentMemory, agentMean int64
	// control is the bytes between all agents and the entries, worker those
	// between agents and stand-ins, log those of the log service, and exchange
	// those among entries and of the test's HTTP calls to entries.
	control, worker, log, exchange float64
	// calls is the number of write calls of all agents.
	calls   float64
	appends float64
	homes   []int64
	peaks   map[string]int64
}

// reading holds the counters of all processes at one time.
type reading struct {
	at                     time.Time
	entries, agents, stand []procfs.Usage
	log                    procfs.Usage
	appended               int64
}

func (c *cluster) reading() reading {
	all := func(list []*process) (us []procfs.Usage) {
		for _, p := range list {
			us = append(us, p.usage(c.t))
		}
		return us
	}
	appended := c.appended()
	return reading{
		at: time.Now(), entries: all(c.entries), agents: all(c.agents), stand: all(c.standins),
		log: c.log.usage(c.t), appended: appended,
	}
}

// window measures while load runs, and at least for that time. The pause is the
// measurement itself; no condition is awaited by it.
func (c *cluster) window(d time.Duration, load func()) point {
	old := c.reading()
	if load != nil {
		load()
	}
	time.Sleep(time.Until(old.at.Add(d)))
	now := c.reading()
	p := point{
		agents: len(c.agents), entries: len(c.entries), took: now.at.Sub(old.at),
		homes: c.homes(), peaks: map[string]int64{},
	}
	rate := func(n int64) float64 { return float64(n) / p.took.Seconds() }
	var fromEntries, fromAgents int64
	for i, u := range now.entries {
		d := u.Since(old.entries[i])
		p.entryCPU = append(p.entryCPU, d.CPU.Seconds()/p.took.Seconds())
		p.entryMemory = max(p.entryMemory, u.Resident)
		p.peaks[c.entries[i].name] = u.Peak
		fromEntries += d.Bytes()
	}
	for i, u := range now.agents {
		d := u.Since(old.agents[i])
		share := d.CPU.Seconds() / p.took.Seconds()
		p.agentCPU += share / float64(p.agents)
		p.agentTop = max(p.agentTop, share)
		p.agentMemory = max(p.agentMemory, u.Resident)
		p.agentMean += u.Resident / int64(p.agents)
		p.peaks[c.agents[i].name] = u.Peak
		p.calls += rate(d.Writes)
		fromAgents += d.Bytes()
	}
	var fromStand int64
	for i, u := range now.stand {
		fromStand += u.Since(old.stand[i]).Bytes()
	}
	logBytes := now.log.Since(old.log).Bytes()
	p.worker, p.log = rate(fromStand), rate(logBytes)
	p.control = rate(fromAgents - fromStand)
	p.exchange = rate(fromEntries - (fromAgents - fromStand) - logBytes)
	p.appends = rate(now.appended - old.appended)
	return p
}

func (p point) print(phase string) {
	n := float64(max(1, p.agents))
	mean := 0.0
	for _, share := range p.entryCPU {
		mean += share / float64(p.entries)
	}
	fmt.Printf("POINT %-8s agents=%d entries=%d seconds=%.1f homes=%v entry_cpu%%=%.2f entry_cpu_top%%=%.2f "+
		"agent_cpu%%=%.3f agent_cpu_top%%=%.3f entry_MB=%.1f agent_MB=%.1f agent_mean_MB=%.1f "+
		"control_B/s/agent=%.0f worker_B/s/agent=%.0f writes/s/agent=%.2f exchange_B/s=%.0f log_B/s=%.0f appends/s=%.2f\n",
		phase, p.agents, p.entries, p.took.Seconds(), p.homes, 100*mean, 100*slices.Max(p.entryCPU),
		100*p.agentCPU, 100*p.agentTop, float64(p.entryMemory)/1e6, float64(p.agentMemory)/1e6, float64(p.agentMean)/1e6,
		p.control/n, p.worker/n, p.calls/n, p.exchange, p.log, p.appends)
}

func measure(t *testing.T, n int) {
	c := newCluster(t, layout{entries: entryCount, agents: n, accelerators: 8, zones: len(places)})
	run := map[string]func(){
		"idle": func() {
			c.window(fullWindow, nil).print("idle")
			c.inForce("small", 4, 5)
		},
		"urgent":  func() { c.urgent(30, 8) },
		"waiting": c.waiting,
		"churn":   func() { c.churn(n) },
		"doc510": func() {
			c.window(10*time.Second, func() { c.inForce("510", 510, 10) }).print("doc510")
		},
		// push510 publishes once a second, so that no version overtakes another on
		// the way, and reads no metrics meanwhile.
		"push510": func() {
			c.window(10*time.Second, func() {
				for i := range 10 {
					_, err := c.publish(document(510, int64(i)))
					assert.NilError(c.t, err)
					time.Sleep(time.Second)
				}
			}).print("push510")
		},
	}
	for part := range strings.FieldsSeq(*parts) {
		assert.Assert(t, run[part] != nil, "no part %q", part)
		c.window(settleTime, nil)
		run[part]()
	}
}

// inForce publishes several times and prints how long after the answer the
// version is in force in every process, as seen by polling their metrics.
func (c *cluster) inForce(label string, accounts, times int) {
	var took []time.Duration
	size := 0
	for i := range times {
		doc := document(accounts, time.Now().UnixNano()+int64(i))
		size = len(doc)
		answered, err := c.publish(doc)
		assert.NilError(c.t, err)
		left := append(append([]string{}, c.http...), c.status...)
		until(c.t, "version in force", func() string {
			left = slices.DeleteFunc(left, func(url string) bool { return metric(url, "config_version") >= c.version })
			if len(left) > 0 {
				return fmt.Sprint(len(left), " processes")
			}
			return ""
		})
		took = append(took, time.Since(answered))
	}
	slices.Sort(took)
	fmt.Printf("FORCE document=%s bytes=%d agents=%d publications=%d median=%s max=%s\n",
		label, size, len(c.agents), times, took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

// submit submits one job as the first account and returns its id and the time of
// the acceptance.
func (c *cluster) submit(kind, region string, accelerators int, run time.Duration, adjacency string) (string, time.Time, error) {
	return c.submitAs(token, kind, region, accelerators, run, adjacency)
}

func (c *cluster) submitAs(bearer, kind, region string, accelerators int, run time.Duration, adjacency string) (string, time.Time, error) {
	payload := fmt.Appendf(nil, `{"run": %q}`, run)
	body := fmt.Appendf(nil, `{"kind": %q, "region": %q, "accelerators": %d, "adjacency": %q, "payload": %q}`,
		kind, region, accelerators, adjacency, base64Text(payload))
	var answer struct{ ID string }
	err := call(http.MethodPost, c.http[accelerators%len(c.http)]+"/v1/jobs", bearer, body, &answer)
	return answer.ID, time.Now(), err
}

// urgent submits urgent jobs one after another and prints the time from each
// acceptance to the start of its last task on a worker.
func (c *cluster) urgent(jobs, accelerators int) {
	accepted := map[string]time.Time{}
	for range jobs {
		id, at, err := c.submit("soon", "pampa", accelerators, 300*time.Millisecond, "rack")
		assert.NilError(c.t, err)
		accepted[id] = at
		time.Sleep(100 * time.Millisecond)
	}
	var last map[string]time.Time
	until(c.t, "urgent jobs run", func() string {
		last = map[string]time.Time{}
		for _, run := range c.runs() {
			id, _, _ := strings.Cut(string(run.Task), ".")
			if _, mine := accepted[id]; mine && run.Start.After(last[id]) {
				last[id] = run.Start
			}
		}
		if len(last) < jobs {
			return fmt.Sprint(len(last), " jobs ran")
		}
		return ""
	})
	var took []time.Duration
	for id, at := range accepted {
		took = append(took, last[id].Sub(at))
	}
	slices.Sort(took)
	fmt.Printf("URGENT agents=%d jobs=%d accelerators=%d p50=%s p99=%s max=%s\n", len(c.agents), jobs, accelerators,
		took[jobs/2].Round(time.Millisecond), took[jobs*99/100].Round(time.Millisecond), took[jobs-1].Round(time.Millisecond))
}

// runs returns the runs on all workers.
func (c *cluster) runs() []stand.Run {
	var all []stand.Run
	for i := 0; i < len(c.workers); i += 2 {
		var answer stand.RunsAnswer
		if err := call(http.MethodGet, c.workers[i]+"/control/runs", "", nil, &answer); err == nil {
			all = append(all, answer.Runs...)
		}
	}
	return all
}

func atoi(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}
