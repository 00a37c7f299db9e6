package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

const logStream = "cotizador"

// standins is the process with the platform's stand-ins.
type standins struct {
	process   *process
	log       string
	workers   []string
	upstreams []string
}

var direct = &http.Client{Timeout: patience}

func startStandins(t *testing.T, workers int) *standins {
	t.Helper()
	s := &standins{process: start(t, "standins", "standins", "--stream", logStream, "--workers", fmt.Sprint(workers))}
	until(t, "addresses of the stand-ins", func() string {
		s.log, s.workers, s.upstreams = "", nil, nil
		for line := range strings.Lines(s.process.text()) {
			name, address, _ := strings.Cut(strings.TrimSpace(line), " http://")
			switch {
			case name == "log":
				s.log = address
			case strings.HasPrefix(name, "worker"):
				s.workers = append(s.workers, address)
			case strings.HasPrefix(name, "upstream"):
				s.upstreams = append(s.upstreams, address)
			}
		}
		if len(s.upstreams) < workers {
			return fmt.Sprintf("%d of %d upstreams", len(s.upstreams), workers)
		}
		return ""
	})
	return s
}

// control sets switches of one stand-in.
func control(t *testing.T, address, switches string) {
	t.Helper()
	resp, err := direct.Post("http://"+address+"/control", "application/json", strings.NewReader(switches))
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", body)
}

// runs returns the runs on all workers.
func (s *standins) runs(t *testing.T) []stand.Run {
	t.Helper()
	var runs []stand.Run
	for _, w := range s.workers {
		var answer stand.RunsAnswer
		getJSON(t, w, "/control/runs", &answer)
		runs = append(runs, answer.Runs...)
	}
	return runs
}

// executions returns the executions on all upstreams by body hash.
func (s *standins) executions(t *testing.T) map[string]int {
	t.Helper()
	sum := map[string]int{}
	for i := range s.upstreams {
		for hash, n := range s.bodiesOn(t, i) {
			sum[hash] += n
		}
	}
	return sum
}

// executionsOn counts the executions on one upstream.
func (s *standins) executionsOn(t *testing.T, i int) int {
	t.Helper()
	sum := 0
	for _, n := range s.bodiesOn(t, i) {
		sum += n
	}
	return sum
}

// bodiesOn returns the executions on one upstream by body hash.
func (s *standins) bodiesOn(t *testing.T, i int) map[string]int {
	t.Helper()
	var answer stand.ExecutionsAnswer
	getJSON(t, s.upstreams[i], "/control/executions", &answer)
	return answer.Bodies
}

func getJSON(t *testing.T, address, path string, out any) {
	t.Helper()
	resp, err := direct.Get("http://" + address + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, json.NewDecoder(bytes.NewReader(body)).Decode(out), "%s", body)
}

// Guards against a harness whose faults do nothing: a silent link, a cut link
// and a paused process must each show, and their ends too.
func TestHarness(t *testing.T) {
	s := startStandins(t, 2)
	path := newLink(t, "log", s.log)
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{}}
	reach := func() error {
		resp, err := client.Get("http://" + path.address() + "/streams/" + logStream + "/records?from=0&limit=1")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	reachable := func() string {
		if err := reach(); err != nil {
			return err.Error()
		}
		return ""
	}
	faults := map[string]struct{ begin, end func() }{
		"silent": {func() { path.silence(t) }, func() { path.heal(t) }},
		"slow":   {func() { path.slow(t, 2*time.Second) }, func() { path.heal(t) }},
		"cut":    {path.cut, func() { path.restore(t) }},
		"paused": {func() { s.process.pause(t) }, s.process.resume},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			until(t, "log service", reachable)
			fault.begin()
			assert.Assert(t, reach() != nil)
			fault.end()
			until(t, "log service after the fault", reachable)
		})
	}
	control(t, s.log, `{"outage": true}`)
	assert.Equal(t, len(s.runs(t)), 0)
	assert.Equal(t, len(s.executions(t)), 0)
	s.process.terminate(t)
	killed := startStandins(t, 0)
	killed.process.kill(t)
	assert.Assert(t, killed.process.err != nil)
}
