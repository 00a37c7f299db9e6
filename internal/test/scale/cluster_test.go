package scale

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	token = "scale-token"
	// perStandins is the number of workers in one stand-in process.
	perStandins = 100
	// startAtOnce bounds the agents that start at the same time.
	startAtOnce = 20
	rackWorkers = 3
)

// places are the zones of the entries and, rack by rack, of the agents.
var places = [][2]string{{"pampa", "pampa-a"}, {"pampa", "pampa-b"}, {"cuyo", "cuyo-a"}}

var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// layout says what to start.
type layout struct {
	entries, agents int
	accelerators    int
	// zones is the number of places that the agents are in.
	zones int
}

// cluster is one deployment of real processes.
type cluster struct {
	t   *testing.T
	log *process
	// logAddress and workers are URLs of the stand-ins.
	logAddress string
	workers    []string
	standins   []*process
	entries    []*process
	agents     []*process
	// http and status are the HTTP addresses of the entries and agents.
	http, status []string
	version      int64
}

// host gives each process an address of its own, so that no port is taken by
// another test on this machine.
func host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+i/200, 1+i%200)
}

func digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

func newCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	c := &cluster{t: t}
	c.log = launch(t, "log", "standins", "--workers", "0", "--stream", "scale")
	c.logAddress = c.printed(c.log, "log", 1)[0]
	for left := l.agents; left > 0; left -= perStandins {
		n := min(left, perStandins)
		p := launch(t, fmt.Sprint("standins", left), "standins", "--workers", fmt.Sprint(n))
		c.standins = append(c.standins, p)
		workers, upstreams := c.printed(p, "worker", n), c.printed(p, "upstream", n)
		for i := range workers {
			c.workers = append(c.workers, workers[i], upstreams[i])
		}
	}
	var inner []string
	for i := range l.entries {
		inner = append(inner, host(2000+i)+":7070")
	}
	for i := range l.entries {
		c.addEntry(i, inner)
	}
	until(t, "first publication", func() string {
		if _, err := c.publish(document(4, 0)); err != nil {
			return err.Error()
		}
		return ""
	})
	for i := range l.agents {
		c.addAgent(i, l, inner)
		if (i+1)%startAtOnce == 0 || i == l.agents-1 {
			c.awaitReady()
		}
	}
	c.awaitHomes()
	return c
}

// printed returns the URLs of the lines that begin with kind.
func (c *cluster) printed(p *process, kind string, want int) (list []string) {
	until(c.t, p.name, func() string {
		list = nil
		for line := range strings.Lines(p.text()) {
			name, address, _ := strings.Cut(strings.TrimSpace(line), " http://")
			if strings.HasPrefix(name, kind) {
				list = append(list, "http://"+address)
			}
		}
		if len(list) < want {
			return fmt.Sprintf("%d of %d", len(list), want)
		}
		return ""
	})
	return list
}

func (c *cluster) settings(name, text string) string {
	path := filepath.Join(c.t.TempDir(), name+".yaml")
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func quoted(list []string) string { return `["` + strings.Join(list, `", "`) + `"]` }

func (c *cluster) addEntry(i int, inner []string) {
	at := places[i%len(places)]
	name := fmt.Sprint("entry-", i)
	c.http = append(c.http, "http://"+host(2000+i)+":8080")
	c.entries = append(c.entries, launch(c.t, name, "chestnutpond", "entry", "--settings", c.settings(name, fmt.Sprintf(
		"name: %s\nregion: %s\nzone: %s\nlisten: %s:8080\ninner_listen: %s\nentries: %s\n"+
			"log: {address: %q, stream: scale}\noperators: [{name: op, token_sha256: %s}]\n",
		name, at[0], at[1], host(2000+i), inner[i], quoted(inner), c.logAddress, digest("operator")))))
}

func (c *cluster) addAgent(i int, l layout, inner []string) {
	rack := i / rackWorkers
	at := places[rack%l.zones]
	name := fmt.Sprint("worker-", i)
	c.status = append(c.status, "http://"+host(i)+":8180")
	c.agents = append(c.agents, launch(c.t, name, "chestnutpond", "agent", "--settings", c.settings(name, fmt.Sprintf(
		"name: %s\nregion: %s\nzone: %s\nrack: rack-%d\ninner_listen: %s:7170\nstatus_listen: %s:8180\nentries: %s\n"+
			"worker: {address: %q}\nupstream: {address: %q, slots: 8, connections: 64, kinds: [match]}\naccelerators: %d\n",
		name, at[0], at[1], rack, host(i), host(i), quoted(inner), c.workers[2*i], c.workers[2*i+1], l.accelerators))))
}

// document has that many accounts. Two serials differ in their text and in the
// weights of two accounts at most.
func document(accounts int, serial int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %d\nschema: 1\nservice: scale\naccounts:\n", serial)
	for i := range accounts {
		owner := fmt.Sprint("team-", i)
		secret := owner
		if i == 0 {
			secret = token
		}
		weight := 1 + i%8
		if int64(i) == serial%int64(accounts) {
			weight = 9
		}
		fmt.Fprintf(&b, "  - name: %s\n    token_sha256: %s\n    weight: %d\n    queue_limit: 200\n    job_limit: 10000\n",
			owner, digest(secret), weight)
		if i < 1 {
			b.WriteString("    guarantees:\n      - {region: pampa, count: 1, accelerators: 1, adjacency: worker}\n")
		}
	}
	b.WriteString("kinds:\n" +
		"  - {name: match, work: request, class: urgent, idempotent: true, timeout: 5s, max_body: 65536}\n" +
		"  - {name: soon, work: job, class: urgent, checkpoint: 5s, max_attempts: 3, max_runtime: 1h}\n" +
		"  - {name: long, work: job, class: bulk, checkpoint: 5s, max_attempts: 3, max_runtime: 24h}\n")
	return b.Bytes()
}

// call sends one HTTP request and decodes the answer into out.
func call(method, url, bearer string, body []byte, out any) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %d %s", method, url, resp.StatusCode, data)
	}
	if text, ok := out.(*string); ok {
		*text = string(data)
		return nil
	}
	return json.Unmarshal(data, out)
}

// publish publishes through one entry and returns the time of the answer.
func (c *cluster) publish(doc []byte) (time.Time, error) {
	var answer struct{ Version int64 }
	url := fmt.Sprintf("%s/v1/document?base=%d", c.http[int(c.version)%len(c.http)], c.version)
	err := call(http.MethodPut, url, "operator", doc, &answer)
	if err == nil {
		c.version = answer.Version
	}
	return time.Now(), err
}

func (c *cluster) awaitReady() {
	for _, url := range append(append([]string{}, c.http...), c.status...) {
		until(c.t, url, func() string {
			var text string
			if err := call(http.MethodGet, url+"/readyz", "", nil, &text); err != nil {
				return err.Error()
			}
			return ""
		})
	}
}

// metric reads one value of /metrics; -1 means that it is not there.
func metric(url, name string) int64 {
	var text string
	if err := call(http.MethodGet, url+"/metrics", "", nil, &text); err != nil {
		return -1
	}
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, "chestnutpond_"+name+" "); ok {
			count, _ := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			return count
		}
	}
	return -1
}

// homes returns the number of agents by home entry.
func (c *cluster) homes() (list []int64) {
	for _, url := range c.http {
		list = append(list, metric(url, "agents_homed"))
	}
	return list
}

// awaitHomes waits until every agent has one home and every region a scheduler.
func (c *cluster) awaitHomes() {
	until(c.t, "homes and schedulers", func() string {
		sum := int64(0)
		for _, n := range c.homes() {
			sum += n
		}
		var status struct{ Regions []struct{ Scheduler string } }
		err := call(http.MethodGet, c.http[0]+"/v1/status", "operator", nil, &status)
		held := 0
		for _, r := range status.Regions {
			if r.Scheduler != "" {
				held++
			}
		}
		if err != nil || sum != int64(len(c.agents)) || held < min(2, len(c.entries)) {
			return fmt.Sprintf("%d homed, %d regions held, %v", sum, held, err)
		}
		return ""
	})
}

// appended returns the number of records in the log.
func (c *cluster) appended() int64 {
	var answer struct{ Next int64 }
	// A read beyond the end tells the next offset and is never below the first.
	err := call(http.MethodGet, fmt.Sprintf("%s/streams/scale/records?from=%d&limit=1", c.logAddress, int64(1)<<40), "", nil, &answer)
	assert.NilError(c.t, err)
	return answer.Next
}
