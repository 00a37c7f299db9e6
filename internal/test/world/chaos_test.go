package world

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

var (
	// The default seeds are those of CI.
	firstSeed  = flag.Uint64("first", 0, "first seed of TestChaos")
	chaosSeeds = flag.Uint64("seeds", 12, "number of seeds of TestChaos")
)

// TestChaos draws faults of all kinds, which overlap, while jobs come, and checks
// that no task runs twice, that every accepted job ends within the time that its
// work takes after the last fault, and that no refused job runs.
func TestChaos(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*chaosSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { chaos(t, seed) })
	}
}

const (
	chaosTime = 30 * time.Second
	// chaosJobs is the number of jobs that are handed in.
	chaosJobs = 20
	// chaosTasks is the largest number of tasks of a job.
	chaosTasks = 6
	// chaosSettle is above the longest wait for a run that nobody can reach, and
	// the work that is left.
	chaosSettle = 60 * time.Second
)

type chaosRun struct {
	t      *testing.T
	w      *World
	random *rand.Rand
	// want has what must become of each job.
	want map[string]chestnutpond.Outcome
}

func chaos(t *testing.T, seed uint64) {
	play(t, 2*time.Second, func(t *testing.T, w *World) {
		c := &chaosRun{t: t, w: w, random: rand.New(rand.NewPCG(seed, 1)), want: map[string]chestnutpond.Outcome{}}
		end := time.Now().Add(chaosTime)
		for n := 0; time.Now().Before(end); n++ {
			if n < chaosJobs {
				c.submit(n)
			}
			c.fault()
			time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
		}
		c.calm()
		c.check()
	})
}

// living returns an entry that takes calls, or nil.
func (c *chaosRun) living() *Entry {
	for _, i := range c.random.Perm(len(c.w.Entries)) {
		if e := c.w.Entries[i]; e.Ready() {
			return e
		}
	}
	return nil
}

// submit hands a job in, and again elsewhere if the answer leaves it open.
func (c *chaosRun) submit(n int) {
	id := fmt.Sprintf("%016x", n+1)
	g := tasks(1 + c.random.IntN(chaosTasks))
	for range 3 {
		e := c.living()
		if e == nil {
			return
		}
		v := e.Submit(id, g)
		if known, ok := c.want[id]; !ok || known == chestnutpond.OutcomeNotRun {
			c.want[id] = v.Outcome
		}
		if v.Outcome == chestnutpond.OutcomeAccepted {
			c.want[id] = v.Outcome
			return
		}
	}
}

// fault draws one fault. What it breaks heals later, while other faults come.
func (c *chaosRun) fault() {
	w := c.w
	e := w.Entries[c.random.IntN(len(w.Entries))]
	a := w.Agents[c.random.IntN(len(w.Agents))]
	after := time.Duration(500+c.random.IntN(7000)) * time.Millisecond
	switch c.random.IntN(15) {
	case 0, 1:
		if l := w.Leader(); l != nil {
			c.restart(l, after)
		}
	case 2:
		c.restart(e, after)
	case 3:
		e.CutOff()
		time.AfterFunc(after, e.Heal)
	case 4:
		a.CutOff()
		time.AfterFunc(after, a.Heal)
	case 5:
		c.restartAgent(a, after)
	case 6:
		a.Worker.Restart()
	case 7:
		a.Worker.SetLate(after)
		time.AfterFunc(time.Second, func() { a.Worker.SetLate(0) })
	case 8:
		a.Worker.SetMute(true)
		time.AfterFunc(after, func() { a.Worker.SetMute(false) })
	case 9:
		e.Way.SetFault(chestnutpond.StoreUnavailable)
		time.AfterFunc(after, func() { e.Way.SetFault("") })
	case 10:
		e.Way.SetSilent(true)
		time.AfterFunc(after, func() { e.Way.SetSilent(false) })
	case 11:
		e.Way.LoseNext(1+c.random.IntN(3), after)
	case 12:
		w.Store.SetDown(chestnutpond.StoreInDoubt)
		time.AfterFunc(after/2, func() { w.Store.SetDown("") })
	case 13:
		w.Store.Trim(chestnutpond.TopicWork)
	case 14:
		w.Store.SetDeaf(true)
		time.AfterFunc(after, func() { w.Store.SetDeaf(false) })
	}
}

func (c *chaosRun) restart(e *Entry, after time.Duration) {
	if e.Node() == nil {
		return
	}
	e.Kill()
	time.AfterFunc(after, e.Start)
}

func (c *chaosRun) restartAgent(a *Agent, after time.Duration) {
	a.mu.Lock()
	gone := a.node == nil
	a.mu.Unlock()
	if gone {
		return
	}
	a.Kill()
	time.AfterFunc(after, a.Start)
}

// calm waits until all faults are over.
func (c *chaosRun) calm() {
	time.Sleep(10 * time.Second)
	for _, e := range c.w.Entries {
		e.Heal()
	}
	for _, a := range c.w.Agents {
		a.Heal()
	}
}

// check looks at what became of the jobs.
func (c *chaosRun) check() {
	c.t.Helper()
	accepted := 0
	for id, want := range c.want {
		switch want {
		case chestnutpond.OutcomeAccepted:
			accepted++
			ok := c.w.Until(chaosSettle, func() bool { return c.w.shown(id) == chestnutpond.JobCompleted })
			assert.Assert(c.t, ok, "job %s is shown as %q\n%s", id, c.w.shown(id), c.w.describe(id))
		case chestnutpond.OutcomeNotRun:
			assert.Equal(c.t, c.w.Fleet.Starts(ref(id, 0)), 0, "job %s was refused", id)
		}
	}
	assert.Assert(c.t, accepted > 0, "no job was accepted")
}
