package world

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/test/check"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

var (
	// The default seeds are those of CI.
	shapesFirst = flag.Uint64("shapes.first", 1, "first seed of TestShapes")
	shapesSeeds = flag.Uint64("shapes.seeds", 8, "number of seeds of TestShapes")
	shapesLarge = flag.Int("shapes.large", 1500, "500 less than the largest number of tasks that TestShapes draws for a step")
	shapesLogs  = flag.String("shapes.logs", "", "directory for the logs of failed seeds of TestShapes")
)

// TestShapes draws jobs of many shapes, odd input and faults, and checks the rules for graphs
// by what clients and workers saw. It guards against a rule that holds only for the shapes and
// the order of calls that other tests have.
func TestShapes(t *testing.T) {
	for seed := *shapesFirst; seed < *shapesFirst+*shapesSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { shapes(t, seed) })
	}
}

const (
	shapesTime = 30 * time.Second
	// shapesSettle is above the longest wait for a run that nobody can reach, and the work
	// that is left.
	shapesSettle = 150 * time.Second
	// shapesRetention is that of the entries of a World.
	shapesRetention = 2 * time.Minute
)

// shapesBounds allow what an agent that is cut off from the leader may still do within its
// worker's lease.
var shapesBounds = check.GraphBounds{
	Retention: shapesRetention, Cancel: Lease, Report: time.Second, Gang: Lease + 4*time.Second,
}

// shapesRun is the run of a seed. It draws the faults of TestChaos and more.
type shapesRun struct {
	*chaosRun
	log lockedBuffer

	// mu guards the fields below.
	mu    sync.Mutex
	jobs  map[chestnutpond.JobID]*check.GraphJob
	drawn map[chestnutpond.JobID]shape
	// ids are those that were handed in, in order; strange those of other writers' records.
	ids, strange []chestnutpond.JobID
	calls        sync.WaitGroup
}

// lockedBuffer is a buffer that many goroutines write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func shapes(t *testing.T, seed uint64) {
	s := &shapesRun{jobs: map[chestnutpond.JobID]*check.GraphJob{}, drawn: map[chestnutpond.JobID]shape{}}
	playWith(t, 0, func(c *Config) {
		withTokens(c)
		queue := *c.Document.Kinds[0].Queue
		c.Document.Kinds = nil
		for _, q := range shapeQueues {
			q.Service, q.Stretch, q.TargetLatency = service, 3, time.Second
			of := queue
			of.Terms, of.PathPrefix = q, "/"+q.Name+"/"
			c.Document.Kinds = append(c.Document.Kinds, chestnutpond.Kind{Name: q.Name, Work: chestnutpond.WorkGraph, Queue: &of})
		}
		c.Model, c.Out = s.model, &s.log
	}, func(t *testing.T, w *World) {
		s.chaosRun = &chaosRun{t: t, w: w, random: rand.New(rand.NewPCG(seed, 2))}
		for end := time.Now().Add(shapesTime); time.Now().Before(end); {
			s.act()
			if s.random.IntN(3) == 0 {
				s.disturb()
			}
			time.Sleep(time.Duration(s.random.IntN(700)) * time.Millisecond)
		}
		s.calm()
		s.calls.Wait()
		s.settle()
		s.check(seed)
	})
}

// model says how the tasks of a job behave; those of other writers' records are small.
func (s *shapesRun) model(ref chestnutpond.TaskRef) stand.TaskModel {
	s.mu.Lock()
	defer s.mu.Unlock()
	if models := s.drawn[ref.Job].models; ref.Step < len(models) {
		return models[ref.Step]
	}
	return stand.TaskModel{Work: 100 * time.Millisecond}
}

// act draws one thing that a client, a worker or another writer does.
func (s *shapesRun) act() {
	id, account := s.known()
	other := otherToken
	if account == otherToken {
		other = salesToken
	}
	after := time.Duration(s.random.IntN(1200)) * time.Millisecond
	switch draw := s.random.IntN(100); {
	case draw < 45 || id == "":
		id, account = s.draw()
		s.spawn(0, check.GraphSubmit, id, account)
	case draw < 53:
		s.spawn(0, check.GraphSubmit, id, account)
		s.spawn(after, check.GraphSubmit, id, account)
	case draw < 59:
		s.spawn(0, check.GraphSubmit, id, other)
	case draw < 68:
		s.spawn(0, check.GraphCancel, id, account)
	case draw < 72:
		s.spawn(0, check.GraphCancel, id, other)
		s.spawn(after, check.GraphState, id, other)
	case draw < 76:
		// The cancellation comes before the job, or at the same time.
		id, account = s.draw()
		s.spawn(0, check.GraphCancel, id, account)
		s.spawn(after/2, check.GraphSubmit, id, account)
	case draw < 80:
		// The store loses the responses to the acceptance.
		id, account = s.draw()
		for _, e := range s.w.Entries {
			e.Way.LoseNext(1, after*3)
		}
		s.spawn(0, check.GraphSubmit, id, account)
		s.spawn(after, check.GraphCancel, id, account)
	case draw < 86:
		s.spawn(0, check.GraphState, id, account)
	case draw < 92:
		s.oddCall()
	case draw < 96:
		s.oddHeartbeat()
	default:
		s.oddRecord()
	}
}

// draw draws a job and the token of its account.
func (s *shapesRun) draw() (chestnutpond.JobID, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := chestnutpond.JobID(fmt.Sprintf("%016x", len(s.ids)+1))
	job := drawShape(s.random, *shapesLarge)
	s.ids = append(s.ids, id)
	s.drawn[id], s.jobs[id] = job, &check.GraphJob{Graph: job.graph}
	return id, []string{salesToken, otherToken}[len(s.ids)%2]
}

// known returns a job that was handed in, and the token of its account.
func (s *shapesRun) known() (chestnutpond.JobID, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ids) == 0 {
		return "", ""
	}
	n := s.random.IntN(len(s.ids))
	return s.ids[n], s.owner(n)
}

// owner returns the token of the account whose submission of a job was accepted, or of the
// account that it was drawn for. The lock is held.
func (s *shapesRun) owner(n int) string {
	for _, c := range s.jobs[s.ids[n]].Calls {
		if c.Outcome == chestnutpond.OutcomeAccepted {
			return c.Account
		}
	}
	return []string{otherToken, salesToken}[n%2]
}

// disturb draws one fault: one of TestChaos, or one of the shapes of workers and the store.
func (s *shapesRun) disturb() {
	a := s.w.Agents[s.random.IntN(len(s.w.Agents))]
	after := time.Duration(500+s.random.IntN(6000)) * time.Millisecond
	switch s.random.IntN(14) {
	case 0, 1:
		// Under its old id, with the labels of another worker.
		a.Worker.RestartWith(s.w.Agents[s.random.IntN(len(s.w.Agents))].Worker.Info().Labels...)
		time.AfterFunc(after, a.relabel)
	case 2:
		a.Worker.SetState(chestnutpond.WorkerDraining)
		time.AfterFunc(after, func() { a.Worker.SetState(chestnutpond.WorkerReady) })
	case 3:
		a.Worker.SetFailing(true)
		time.AfterFunc(after, func() { a.Worker.SetFailing(false) })
	case 4:
		a.Worker.SetUnhealthy(true)
		time.AfterFunc(after, func() { a.Worker.SetUnhealthy(false) })
	case 5:
		s.w.Store.SetDelay(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
		time.AfterFunc(after, func() { s.w.Store.SetDelay(5 * time.Millisecond) })
	case 6:
		// A process that is paused keeps its memory and answers nobody.
		if l := s.w.Leader(); l != nil {
			l.CutOff()
			l.Way.SetSilent(true)
			time.AfterFunc(after, func() { l.Heal(); l.Way.SetSilent(false) })
		}
	default:
		s.fault()
	}
}

// relabel starts the worker again with its own labels.
func (a *Agent) relabel() {
	a.Worker.RestartWith("a", a.Worker.Info().Rack)
}

// settle ends the jobs that do not end by themselves, and asks for the others until they have
// ended.
func (s *shapesRun) settle() {
	way := &stand.StoreCaller{Store: s.w.Store}
	for _, id := range s.strange {
		r, err := graph.CancelRecord(id, time.Now(), graph.Canceller{})
		assert.NilError(s.t, err)
		_, err = way.Append(s.t.Context(), chestnutpond.TopicWork, chestnutpond.KeyedAppend{Records: []chestnutpond.KeyedRecord{r}})
		assert.NilError(s.t, err)
	}
	open := map[chestnutpond.JobID]string{}
	for i, id := range s.ids {
		open[id] = s.owner(i)
	}
	for end := time.Now().Add(shapesSettle); len(open) > 0 && time.Now().Before(end); time.Sleep(time.Second) {
		for _, id := range s.ids {
			token, wanted := open[id]
			e := s.living()
			if !wanted || e == nil {
				continue
			}
			if s.drawn[id].endless {
				s.call(e, check.GraphCancel, id, token)
			}
			if c := s.call(e, check.GraphState, id, token); c.State.Final() || c.Reason == chestnutpond.ReasonUnknownJob {
				delete(open, id)
			}
		}
	}
	// What was stopped too late, or is ordered too late, shows.
	time.Sleep(10 * time.Second)
}

// check checks the history, and that every process works and none has panicked.
func (s *shapesRun) check(seed uint64) {
	h := check.GraphHistory{
		Jobs: map[chestnutpond.JobID]check.GraphJob{}, Runs: s.w.Fleet.Runs(), Bounds: shapesBounds, Over: time.Now(),
	}
	accepted := 0
	for id, j := range s.jobs {
		h.Jobs[id] = *j
		for _, c := range j.Calls {
			if c.Outcome == chestnutpond.OutcomeAccepted {
				accepted++
			}
		}
	}
	text := s.log.String()
	s.t.Logf("%d jobs, %d acceptances, %d runs", len(h.Jobs), accepted, len(h.Runs))
	err := check.Graphs(h)
	if (err != nil || strings.Contains(text, "panic")) && *shapesLogs != "" {
		assert.NilError(s.t, os.WriteFile(filepath.Join(*shapesLogs, fmt.Sprintf("seed-%d.log", seed)), []byte(text), 0o600))
	}
	assert.Check(s.t, err)
	assert.Check(s.t, !strings.Contains(text, `panic`), "a process has panicked")
	for _, e := range s.w.Entries {
		assert.Check(s.t, e.Ready(), "%s is not ready", e.Name)
	}
	for _, a := range s.w.Agents {
		assert.Check(s.t, a.Report(), "%s does not confirm its worker's report", a.Name)
	}
}
