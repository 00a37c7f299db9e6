package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const (
	// soakGang is the number of tasks of a gang; jobs whose ids end in soakGangMark
	// are gangs.
	soakGang     = 2
	soakGangMark = "f"
	soakToken    = "key-of-ventas"
	soakHost     = "lots.example"
	// soakGrace is the time that a process has to end by itself, which the platform
	// names in its settings.
	soakGrace = 6 * time.Second
)

// soakNeed is what each task takes.
var soakNeed = chestnutpond.Resources{CPU: 5000, Memory: 16000, Accelerators: 1}

// soakNode is an entry or an agent of a soak.
type soakNode struct {
	name, command, settings string
	// ip is its own address on loopback; the ports are the same for all.
	ip  string
	way *stand.StoreCaller
	// store is the path to the store.
	store   *link
	worker  *stand.TaskWorker
	process *process
	// boots counts the starts.
	boots atomic.Int64
	// paused and stopping say what was last done to the process, faulty that there
	// is a fault on its path to the store.
	paused, stopping, faulty bool
}

// site is a deployment of the real programs on stand-ins that speak the
// platform's protocol.
type site struct {
	t      *testing.T
	store  *stand.KeyedStore
	fleet  *stand.TaskFleet
	nodes  []*soakNode
	boot   context.Context
	routes int
	// retention is how long the state of an ended job stays available.
	retention time.Duration
}

// soakNets numbers the deployments of this test binary, whose addresses differ.
var soakNets atomic.Int64

// newSite starts a deployment and waits until its entries serve.
func newSite(t *testing.T, retention time.Duration) *site {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	s := &site{t: t, store: stand.NewKeyedStore(), boot: ctx, retention: retention}
	s.store.Delay = 2 * time.Millisecond
	s.fleet = stand.NewTaskFleet(func(ref chestnutpond.TaskRef) stand.TaskModel {
		model := stand.TaskModel{Work: time.Second, Need: soakNeed}
		if strings.HasSuffix(string(ref.Job), soakGangMark) {
			model.Gang = soakGang
		}
		return model
	})
	s.publish()
	net := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, soakNets.Add(1))
	dir := t.TempDir()
	for i := range *soakEntries + *soakAgents {
		n := &soakNode{
			name: fmt.Sprintf("entry-%d", i+1), command: "fleet-entry", ip: fmt.Sprintf("%s.%d", net, i+1),
			way: &stand.StoreCaller{Store: s.store},
		}
		if i >= *soakEntries {
			n.name, n.command = fmt.Sprintf("agent-%d", i+1-*soakEntries), "fleet-agent"
		}
		n.settings = filepath.Join(dir, n.name+".yaml")
		n.store = newLink(t, "store of "+n.name, serveWire(t, (&storeWire{n.way}).handler()))
		s.nodes = append(s.nodes, n)
	}
	for i, n := range s.nodes {
		writeFile(t, n.settings, s.settings(n, i))
		s.start(n)
	}
	for _, e := range s.entries() {
		until(t, e.name+" ready", func() string { return get(e.ip+":8523", "/v1/ready") })
	}
	return s
}

func (s *site) entries() []*soakNode { return s.nodes[:*soakEntries] }
func (s *site) agents() []*soakNode  { return s.nodes[*soakEntries:] }

func (s *site) start(n *soakNode) {
	n.boots.Add(1)
	n.process = start(s.t, n.name, "chestnutpond", n.command, "--settings", n.settings)
	n.paused, n.stopping = false, false
}

// settings returns a node's settings file, and starts the worker of an agent.
func (s *site) settings(n *soakNode, i int) string {
	zone := fmt.Sprintf("zone-%d", i%2+1)
	var seeds []string
	for _, e := range s.entries() {
		seeds = append(seeds, e.ip+":8526")
	}
	text := fmt.Sprintf(`node: %s
ip: %s
zone: %s
region: region-1
zones: {zone-1: region-1, zone-2: region-1}
internal_ports: [7000, 7015]
seeds: [%s]
limits: {memory_mb: 284}
bounds: {grace_s: 6, hold_max_ms: 6000, stop_timeout_ms: 200, gang_timeout_ms: 3000, reclaim_ms: 2700, status_s: %g,
  far_x: 3, checkpoint_interval_s: 0.5, restore_ms: 100}
platform: {address: %q}
`, n.name, n.ip, zone, strings.Join(seeds, ", "), s.retention.Seconds(), n.store.address())
	if n.command == "fleet-entry" {
		return text + fmt.Sprintf("listen: {front: %q, ready: %q, control: %q}\n", n.ip+":8521", n.ip+":8523", n.ip+":8526")
	}
	rack := fmt.Sprintf("rack-%d", i%2+1)
	n.worker = stand.NewTaskWorker(stand.TaskWorkerConfig{
		Fleet: s.fleet, ID: "worker-of-" + n.name, Service: "cotizador", Zone: zone, Rack: rack, Labels: []string{"a", rack},
		Capacity: chestnutpond.Resources{CPU: 64000, Memory: 256000, Accelerators: 8},
		Lease:    6 * time.Second, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second,
	})
	wire := &workerWire{worker: n.worker, agent: n.ip + ":8526"}
	address := serveWire(s.t, wire.handler())
	go wire.loop(s.boot)
	return text + fmt.Sprintf("listen: {control: %q}\napp: %q\nservice: cotizador\n", n.ip+":8526", address)
}

// publish puts the next desired state into the store, if the store takes it. Each
// has one route more than the one before.
func (s *site) publish() {
	s.routes++
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": soakHost, "path_prefix": prefix, "service": "cotizador", "target_latency_ms": 1000,
			"max_attempts": 3, "priority": priority, "stretch": 3,
		}
	}
	routes := []map[string]any{route("lots", "/lots/", 1), route("urgent", "/urgent/", 0)}
	for i := range s.routes {
		routes = append(routes, route(fmt.Sprintf("version-%d", i+1), versionPath(i+1), 1))
	}
	value, err := json.Marshal(map[string]any{
		"version": s.routes, "routes": routes,
		"services": []map[string]any{{"name": "cotizador", "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "ventas", "api_keys": []string{soakToken}, "guaranteed": map[string]int{"gpu": 8}}},
	})
	assert.NilError(s.t, err)
	way := &stand.StoreCaller{Store: s.store}
	_, err = way.Append(context.Background(), chestnutpond.TopicDesired, chestnutpond.KeyedAppend{
		Records: []chestnutpond.KeyedRecord{{Key: "config", Value: value}},
	})
	if err != nil {
		// The store is away for the operators, too.
		s.routes--
	}
}

// versionPath is the prefix of the route that a version adds.
func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// call makes a client's call and returns the status and the body; 0 if no whole
// answer came.
func (n *soakNode) call(client *http.Client, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":8521"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = soakHost
	request.Header.Set("Authorization", "Bearer "+soakToken)
	request.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}
