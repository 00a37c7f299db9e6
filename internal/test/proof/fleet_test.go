package proof

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	entryCount  = 3
	agentCount  = 9
	rackSize    = 3
	slotCount   = 8
	accountName = "ventas"
	// checkpointLimit is the time that a displaced job gets.
	checkpointLimit = 2 * time.Second
	// borrowerName is an account without guarantees.
	borrowerName = "mercado"
	// accountToken and operatorToken are the bearer tokens of the tests.
	accountToken  = "token-of-ventas"
	borrowerToken = "token-of-mercado"
	operatorToken = "token-of-the-operator"
)

// place is a zone; each has one entry and one rack.
type place struct{ region, zone string }

var places = [entryCount]place{{"pampa", "pampa_a"}, {"pampa", "pampa_b"}, {"cuyo", "cuyo_a"}}

// node is an entry or an agent with its settings.
type node struct {
	name     string
	command  string
	settings string
	// http serves callers at an entry and the status at an agent.
	http string
	// inner is the address of the inner protocol, advertise the one before it
	// that the other processes are told.
	inner     string
	advertise string
	place     place
	process   *process
	// pid is the number of the process, which fronts read while tests restart it.
	pid atomic.Int64
}

// fleet is a whole deployment on loopback.
type fleet struct {
	platform *standins
	entries  [entryCount]*node
	agents   [agentCount]*node
	// fabric is nil unless the test cuts inner links.
	fabric *fabric
	// toLog is the path of each entry to the log service.
	toLog [entryCount]*link
}

// fleets bounds the deployments that run at a time: with more, a busy machine
// delays processes beyond the time budgets that the tests check.
var fleets = make(chan struct{}, 2)

// startFleet starts everything, publishes the first document and waits until
// all processes are ready and have it in force. The test runs beside others.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetOn(t, func(*fleet) {})
}

// startCuttable starts a fleet with a proxy on each path of the inner protocol.
// Finding the dialing process delays new connections on a busy machine, so other
// tests do without.
func startCuttable(t *testing.T) *fleet {
	t.Helper()
	return startFleetOn(t, func(f *fleet) { f.fabric = newFabric(t, f.nodes()) })
}

// startFleetOn prepares the network once the addresses are chosen.
func startFleetOn(t *testing.T, prepare func(f *fleet)) *fleet {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	f := &fleet{platform: startStandins(t, agentCount)}
	dir := t.TempDir()
	for i, where := range places {
		f.entries[i] = newNode(t, "entry", "entry-"+where.zone, dir, where)
		f.toLog[i] = newLink(t, "log of "+where.zone, f.platform.log)
	}
	for i := range f.agents {
		f.agents[i] = newNode(t, "agent", fmt.Sprintf("worker-%d", i), dir, places[i/rackSize])
	}
	prepare(f)
	for i, e := range f.entries {
		writeFile(t, e.settings, f.entrySettings(i))
	}
	for i, a := range f.agents {
		writeFile(t, a.settings, f.agentSettings(i))
	}
	for _, n := range f.nodes() {
		n.start(t)
	}
	f.publishFirst(t)
	f.waitReady(t, 1)
	return f
}

func newNode(t *testing.T, command, name, dir string, where place) *node {
	t.Helper()
	inner := addresses.free(t)
	return &node{
		name: name, command: command, settings: filepath.Join(dir, name+".yaml"),
		http: addresses.free(t), inner: inner, advertise: inner, place: where,
	}
}

func (f *fleet) entrySettings(i int) string {
	e := f.entries[i]
	return fmt.Sprintf(`name: %s
region: %s
zone: %s
listen: %s
inner_listen: %s
inner_advertise: %s
entries: [%s]
log: {address: "http://%s", stream: %s}
operators:
  - {name: op, token_sha256: %s}
log_level: info
`, e.name, e.place.region, e.place.zone, e.http, e.inner, e.advertise, f.entryList(), f.toLog[i].address(), logStream,
		digest(operatorToken))
}

func (f *fleet) agentSettings(i int) string {
	a, where := f.agents[i], f.agents[i].place
	return fmt.Sprintf(`name: %s
region: %s
zone: %s
rack: rack_%s
inner_listen: %s
inner_advertise: %s
status_listen: %s
entries: [%s]
worker: {address: "http://%s"}
upstream: {address: "http://%s", slots: %d, connections: 64, kinds: [price_list, reorder]}
accelerators: 8
log_level: info
`, a.name, where.region, where.zone, where.zone, a.inner, a.advertise, a.http, f.entryList(),
		f.platform.workers[i], f.platform.upstreams[i], slotCount)
}

func (f *fleet) entryList() string {
	var list []string
	for _, e := range f.entries {
		list = append(list, e.advertise)
	}
	return strings.Join(list, ", ")
}

func (f *fleet) nodes() []*node {
	return append(f.entries[:len(f.entries):len(f.entries)], f.agents[:]...)
}

func (n *node) start(t *testing.T) {
	t.Helper()
	n.process = start(t, n.name, "chestnutpond", n.command, "--settings", n.settings)
	n.pid.Store(int64(n.process.cmd.Process.Pid))
}

// waitReady waits until every process is ready and has the version in force.
func (f *fleet) waitReady(t *testing.T, version int64) {
	t.Helper()
	for _, n := range f.nodes() {
		until(t, n.name+" ready", func() string { return get(n.http, "/readyz") })
	}
	f.waitVersion(t, f.entries[0], version)
}

// get returns what is wrong with the answer to a GET; empty if nothing.
func get(address, path string) string {
	resp, err := direct.Get("http://" + address + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return ""
}

// serviceDocument is a document whose weight tells versions apart.
func serviceDocument(weight int) string {
	return fmt.Sprintf(`schema: 1
service: cotizador
accounts:
  - name: %s
    token_sha256: %s
    weight: %d
    queue_limit: 200
    job_limit: 1000
    guarantees:
      - {region: pampa, count: 1, accelerators: 16, adjacency: rack}
  - {name: %s, token_sha256: %s}
kinds:
  - {name: price_list, work: request, class: urgent, idempotent: true, timeout: 10s, max_body: 65536}
  - {name: reorder, work: request, class: standard, idempotent: false, timeout: 10s, max_body: 65536}
  - {name: forecast, work: job, class: standard, checkpoint: %s, max_attempts: 3, max_runtime: 1h, max_body: 65536}
`, accountName, digest(accountToken), weight, borrowerName, digest(borrowerToken), checkpointLimit)
}

func digest(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}
