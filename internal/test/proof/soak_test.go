package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	soakSeeds = flag.Uint64("soak.seeds", 2, "number of seeds of TestSoak")
	soakTime  = flag.Duration("soak.time", 12*time.Second, "how long faults come in a soak, without what follows the ends of jobs")

	soakEntries = flag.Int("soak.entries", 3, "number of entries of a soak")
	soakAgents  = flag.Int("soak.agents", 6, "number of agents of a soak, each with a worker")
)

// soakRegressions are seeds that failed once, with the cause.
var soakRegressions = map[uint64]string{}

const (
	// soakFaultGap is the longest time between two faults.
	soakFaultGap = 1200 * time.Millisecond
	// soakCallGap is the longest time between two calls of a client.
	soakCallGap = 400 * time.Millisecond
)

// TestSoak runs the real programs as processes on stand-ins that speak the
// platform's protocol, draws faults that overlap, and checks what callers and
// workers see: no task runs twice or after its end, what was refused never runs,
// what was accepted is known for good and ends, and no desired state goes back.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed, soakRetention) })
	}
	for seed, cause := range soakRegressions {
		t.Run(fmt.Sprintf("regression %d, %s", seed, cause), func(t *testing.T) { soak(t, seed, soakRetention) })
	}
}

// soakRetention is longer than a soak.
const soakRetention = 2 * time.Minute

// soakRun is one soak.
type soakRun struct {
	*site

	random *rand.Rand
	ends   []soakEnd
	// failing means that a worker was made to fail what it runs, which may use up
	// a job's attempts.
	failing bool
	// quit is closed when no more calls are to be made.
	quit    chan struct{}
	clients sync.WaitGroup

	// mu guards the fields below.
	mu   sync.Mutex
	jobs map[string]*soakJob
	// violations are broken promises that callers saw.
	violations []string
}

// soakEnd is the end of a fault.
type soakEnd struct {
	at  time.Time
	end func()
}

// soakJob is what a client knows of its job.
type soakJob struct {
	path  string
	tasks int
	gang  bool
	// accepted, inDoubt and refused say how handing it in was answered; cancelled
	// that its cancelling was acknowledged, asked that it was tried.
	accepted, inDoubt, refused, cancelled, asked bool
	// acceptedAt and cancelledAt are when this was acknowledged first.
	acceptedAt, cancelledAt time.Time
}

// soak plays a seed. Jobs stay known for the retention after their end.
func soak(t *testing.T, seed uint64, retention time.Duration) *soakRun {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	t.Logf("seed %d, faults for %s", seed, *soakTime)
	r := &soakRun{
		site: newSite(t, retention), random: rand.New(rand.NewPCG(seed, 2)), quit: make(chan struct{}), jobs: map[string]*soakJob{},
	}
	for i, e := range r.entries() {
		// Each client keeps its connections open, and has a seed of its own.
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		r.clients.Go(func() { r.client(i, random, &http.Client{Transport: &http.Transport{}}) })
		r.clients.Go(func() { r.watch(e, &http.Client{Transport: &http.Transport{}}) })
	}
	r.faults(*soakTime)
	r.calm()
	close(r.quit)
	r.clients.Wait()
	r.check()
	return r
}

// faults has faults come for a time.
func (r *soakRun) faults(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		r.fault()
		r.idle(time.Duration(r.random.Int64N(int64(soakFaultGap))))
	}
}

// idle lets time pass and ends the faults that are due.
func (r *soakRun) idle(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(pollEvery) {
		r.ends = slices.DeleteFunc(r.ends, func(e soakEnd) bool {
			due := !time.Now().Before(e.at)
			if due {
				e.end()
			}
			return due
		})
	}
}

// later ends a fault after a time.
func (r *soakRun) later(after time.Duration, end func()) {
	r.ends = append(r.ends, soakEnd{time.Now().Add(after), end})
}

// fault draws one fault and when it ends.
func (r *soakRun) fault() {
	n := r.nodes[r.random.IntN(len(r.nodes))]
	w := r.agents()[r.random.IntN(*soakAgents)].worker
	after := time.Duration(300+r.random.IntN(5000)) * time.Millisecond
	switch r.random.IntN(19) {
	case 0, 1:
		r.kill(n, after)
	case 2:
		r.terminate(n)
	case 3:
		r.pause(n, after)
	case 4:
		n.process.signal(syscall.SIGHUP)
	case 5:
		for _, e := range r.entries() {
			r.kill(e, after)
		}
	case 6, 7, 8:
		r.disturb(n, after)
	case 9:
		n.way.SetFault([]chestnutpond.StoreFault{chestnutpond.StoreUnavailable, chestnutpond.StoreLimited}[r.random.IntN(2)])
		r.later(after, func() { n.way.SetFault("") })
	case 10:
		n.way.LoseNext(1+r.random.IntN(3), after)
	case 11:
		r.store.SetDown(chestnutpond.StoreUnavailable)
		r.later(after/2, func() { r.store.SetDown("") })
	case 12:
		r.store.Trim(chestnutpond.TopicWork)
	case 13:
		w.Restart()
	case 14:
		w.SetMute(true)
		r.later(after, func() { w.SetMute(false) })
	case 15:
		w.SetLate(after)
		r.later(time.Second, func() { w.SetLate(0) })
	case 16:
		r.failing = true
		w.SetFailing(true)
		r.later(after/2, func() { w.SetFailing(false) })
	case 17:
		r.publish()
	case 18:
		r.store.SetDeaf(true)
		r.later(after, func() { r.store.SetDeaf(false) })
	}
}

// disturb cuts, silences or slows a process's path to the store.
func (r *soakRun) disturb(n *soakNode, after time.Duration) {
	if n.faulty {
		return
	}
	n.faulty = true
	end := func() { n.store.heal(r.t) }
	switch r.random.IntN(3) {
	case 0:
		n.store.cut()
		end = func() { n.store.restore(r.t) }
	case 1:
		n.store.silence(r.t)
	case 2:
		n.store.slow(r.t, after/20)
	}
	r.later(after, func() {
		end()
		n.faulty = false
	})
}

// kill ends a process at once and starts it again later.
func (r *soakRun) kill(n *soakNode, after time.Duration) {
	if n.stopping || n.paused {
		return
	}
	n.stopping = true
	n.process.signal(syscall.SIGKILL)
	r.later(after, func() { r.again(n) })
}

// again starts a process whose end was asked for, and kills it if it still runs.
func (r *soakRun) again(n *soakNode) {
	n.process.signal(syscall.SIGKILL)
	n.process.wait(r.t)
	r.start(n)
}

// terminate stops a process as planned.
func (r *soakRun) terminate(n *soakNode) {
	if n.stopping || n.paused {
		return
	}
	n.stopping = true
	n.process.signal(syscall.SIGTERM)
	r.later(soakGrace, func() { r.again(n) })
}

// pause stops a process from running for a time.
func (r *soakRun) pause(n *soakNode, after time.Duration) {
	if n.stopping || n.paused {
		return
	}
	n.paused = true
	n.process.signal(syscall.SIGSTOP)
	r.later(after, func() {
		n.process.resume()
		n.paused = false
	})
}

// client hands jobs in, asks for them and cancels some, and keeps its connections
// open.
func (r *soakRun) client(number int, random *rand.Rand, client *http.Client) {
	var own []string
	for n := 0; ; n++ {
		select {
		case <-r.quit:
			return
		case <-time.After(time.Duration(random.Int64N(int64(soakCallGap)))):
		}
		e := r.entries()[random.IntN(*soakEntries)]
		switch draw := random.IntN(10); {
		case draw < 4 || len(own) == 0:
			mark := []string{"0", soakGangMark}[random.IntN(2)]
			id := fmt.Sprintf("%x%014x%s", number+1, n, mark)
			own = append(own, id)
			r.submit(client, random, e, id)
		case draw < 5:
			r.cancel(client, e, own[random.IntN(len(own))])
		default:
			r.ask(client, e, own[random.IntN(len(own))])
		}
	}
}

// submit hands a job in, and again elsewhere while the answer leaves it open, as
// clients do.
func (r *soakRun) submit(client *http.Client, random *rand.Rand, e *soakNode, id string) {
	j := &soakJob{path: []string{"/lots/", "/urgent/"}[random.IntN(2)] + id, tasks: 1 + random.IntN(4)}
	step := ""
	if strings.HasSuffix(id, soakGangMark) {
		j.tasks, j.gang, step = soakGang, true, `,"gang":true`
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"gpu":%d,"estimate_ms":1000%s}]}`,
		j.tasks, soakNeed.CPU, soakNeed.Memory, soakNeed.Accelerators, step)
	r.mu.Lock()
	r.jobs[id] = j
	r.mu.Unlock()
	for range 3 {
		status, _ := e.call(client, http.MethodPost, j.path, body)
		r.mu.Lock()
		switch status {
		case http.StatusOK:
			if !j.accepted {
				j.accepted, j.acceptedAt = true, time.Now()
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			j.refused = true
		default:
			j.inDoubt = true
		}
		r.mu.Unlock()
		if status == http.StatusOK || status == http.StatusServiceUnavailable {
			return
		}
		e = r.entries()[random.IntN(*soakEntries)]
	}
}

func (r *soakRun) cancel(client *http.Client, e *soakNode, id string) {
	r.mu.Lock()
	j := r.jobs[id]
	j.asked = true
	r.mu.Unlock()
	status, _ := e.call(client, http.MethodDelete, j.path, "")
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == http.StatusOK && !j.cancelled {
		j.cancelled, j.cancelledAt = true, time.Now()
	}
}

// ask looks at a job. One that was accepted must be known wherever there is an
// answer.
func (r *soakRun) ask(client *http.Client, e *soakNode, id string) {
	r.mu.Lock()
	j := r.jobs[id]
	accepted := j.accepted
	r.mu.Unlock()
	status, body := e.call(client, http.MethodGet, j.path, "")
	switch {
	case status == http.StatusGone && accepted && !r.mayBeRemoved(id):
		r.violation("%s does not know job %s, which was accepted", e.name, id)
	case status == http.StatusOK && strings.Contains(body, `"done"`):
		for i := range j.tasks {
			if r.fleet.Starts(chestnutpond.TaskRef{Job: chestnutpond.JobID(id), Index: i}) == 0 {
				r.violation("%s shows job %s as done, and task %d has never run", e.name, id, i)
			}
		}
	}
}

// watch follows the desired state of an entry, which must not go back while its
// process lives.
func (r *soakRun) watch(e *soakNode, client *http.Client) {
	boot, seen := int64(0), 0
	for {
		select {
		case <-r.quit:
			return
		case <-time.After(100 * time.Millisecond):
		}
		now := e.boots.Load()
		if now != boot {
			boot, seen = now, 0
		}
		if status, _ := e.call(client, http.MethodGet, versionPath(seen+1), ""); status == http.StatusOK {
			seen++
			continue
		}
		if seen == 0 {
			continue
		}
		status, _ := e.call(client, http.MethodGet, versionPath(seen), "")
		if status == http.StatusNotFound && e.boots.Load() == boot {
			r.violation("%s had desired state %d in force and went back", e.name, seen)
		}
	}
}

func (r *soakRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// calm ends all faults.
func (r *soakRun) calm() {
	for len(r.ends) > 0 {
		r.idle(pollEvery)
	}
	for _, e := range r.entries() {
		until(r.t, e.name+" ready again", func() string { return get(e.ip+":8523", "/v1/ready") })
		until(r.t, e.name+" has the newest desired state", func() string {
			status, _ := e.call(direct, http.MethodGet, versionPath(r.routes), "")
			if status != http.StatusOK {
				return fmt.Sprint(status)
			}
			return ""
		})
	}
}

// check looks at what became of the jobs.
func (r *soakRun) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for id, j := range r.jobs {
		runs := r.fleet.Starts(chestnutpond.TaskRef{Job: chestnutpond.JobID(id)})
		switch {
		case j.accepted:
			counts["accepted"]++
			r.checkEnded(id, j, counts)
			r.checkCancelled(id, j)
		case j.refused && !j.inDoubt:
			counts["refused"]++
			assert.Check(r.t, runs == 0, "job %s was refused and has run", id)
		default:
			counts["in doubt"]++
		}
	}
	r.t.Logf("jobs: %v, desired states: %d", counts, r.routes)
	assert.Check(r.t, counts["accepted"] > 0, "no job was accepted")
	assert.DeepEqual(r.t, r.fleet.Violations(), []string(nil))
	assert.DeepEqual(r.t, r.violations, []string(nil))
}

// checkEnded waits until every entry shows the end of an accepted job. The bound is
// patience: far more than the recovery of 12 s that the platform asks for and the
// work that is left, because the machine may be busy.
func (r *soakRun) checkEnded(id string, j *soakJob, counts map[string]int) {
	allowed := []string{`"done"`}
	if j.asked {
		allowed = append(allowed, `"cancelled"`)
	}
	if r.failing {
		allowed = append(allowed, `"failed"`)
	}
	if j.cancelled {
		counts["cancelled"]++
	}
	for _, e := range r.entries() {
		until(r.t, "end of job "+id+" at "+e.name, func() string {
			status, body := e.call(direct, http.MethodGet, j.path, "")
			if status == http.StatusGone && r.removable(id, j) {
				return ""
			}
			if status == http.StatusOK && slices.ContainsFunc(allowed, func(state string) bool { return strings.Contains(body, state) }) {
				return ""
			}
			return fmt.Sprintf("%d %s", status, body)
		})
	}
}
