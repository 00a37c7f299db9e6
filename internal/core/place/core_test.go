package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

func shape(n int, a chestnutpond.Adjacency) chestnutpond.Shape {
	return chestnutpond.Shape{Accelerators: n, Adjacency: a}
}

// document gives each account one guarantee of 8 accelerators on one worker.
func document(accounts ...string) chestnutpond.Document {
	var d chestnutpond.Document
	for _, a := range accounts {
		d.Accounts = append(d.Accounts, chestnutpond.Account{
			Name: a, Weight: 1,
			Guarantees: []chestnutpond.Guarantee{{Region: "r", Count: 1, Shape: shape(8, chestnutpond.AdjacencyWorker)}},
		})
	}
	return d
}

func spec(id, account string, class chestnutpond.Class, s chestnutpond.Shape) chestnutpond.JobSpec {
	return chestnutpond.JobSpec{
		ID: chestnutpond.JobID(id), Account: account, Kind: "k", Class: class, Region: "r", Shape: s, MaxAttempts: 3,
	}
}

// newCore returns a Core with workers w0, w1, and so on of 8 accelerators,
// three to a rack.
func newCore(workers int, doc chestnutpond.Document) *place.Core {
	c := place.New(place.Config{Region: "r"})
	for i := range workers {
		c.PutWorker(0, place.Worker{
			Name: fmt.Sprintf("w%d", i), Incarnation: 1, Zone: "z", Rack: fmt.Sprintf("r%d", i/3), Accelerators: 8,
		})
	}
	c.SetDocument(0, doc)
	return c
}

func startActions(actions []place.Action) map[chestnutpond.JobID]place.Action {
	out := map[chestnutpond.JobID]place.Action{}
	for _, a := range actions {
		if a.Kind == place.ActionStart {
			out[a.Job] = a
		}
	}
	return out
}

// Guards against a guarantee that is not reclaimed from borrowers, and against
// preempting more borrowers than the claim needs.
func TestReclaimPreemptsTheCheapestBorrowers(t *testing.T) {
	c := newCore(2, document("a", "b"))
	for i := range 16 {
		c.Submit(0, spec(fmt.Sprintf("b%02d", i), "b", chestnutpond.ClassStandard, shape(1, chestnutpond.AdjacencyWorker)), 0)
	}
	started := startActions(c.Decide(0))
	assert.Equal(t, len(started), 16)
	for id := range started {
		c.Running(time.Second, id, 1)
	}
	c.Submit(time.Minute, spec("a0", "a", chestnutpond.ClassBulk, shape(4, chestnutpond.AdjacencyWorker)), 0)
	actions := c.Decide(time.Minute)
	assert.Equal(t, len(actions), 4)
	for _, a := range actions {
		assert.Equal(t, a.Kind, place.ActionPreempt)
		assert.Equal(t, a.For, chestnutpond.JobID("a0"))
		assert.Assert(t, !started[a.Job].Guaranteed)
		c.Stopped(time.Minute+time.Second, a.Job, a.Attempt)
	}
	again := startActions(c.Decide(time.Minute + time.Second))
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again["a0"].Guaranteed)
}

// Guards against gangs that span racks or use parts of several workers.
func TestGangTakesWholeWorkersOfOneRack(t *testing.T) {
	c := newCore(6, document())
	c.Submit(0, spec("small", "a", chestnutpond.ClassStandard, shape(1, chestnutpond.AdjacencyWorker)), 0)
	c.Submit(1, spec("gang", "a", chestnutpond.ClassStandard, shape(20, chestnutpond.AdjacencyRack)), 0)
	started := startActions(c.Decide(1))
	assert.Equal(t, len(started), 2)
	got := started["gang"].Placements
	assert.Equal(t, len(got), 3)
	assert.Equal(t, len(got[0].Accelerators)+len(got[1].Accelerators), 16)
	assert.Equal(t, len(got[2].Accelerators), 4)
}

// Guards against the starvation of a large gang by small jobs.
func TestReservationHoldsFreedAccelerators(t *testing.T) {
	c := newCore(1, document())
	one := shape(1, chestnutpond.AdjacencyWorker)
	for i := range 8 {
		c.Submit(0, spec(fmt.Sprintf("s%d", i), "a", chestnutpond.ClassStandard, one), 0)
	}
	assert.Equal(t, len(startActions(c.Decide(0))), 8)
	c.Submit(1, spec("gang", "b", chestnutpond.ClassStandard, shape(8, chestnutpond.AdjacencyWorker)), 0)
	c.Decide(1)
	at := time.Hour
	assert.Equal(t, len(c.Decide(at)), 0)
	c.Submit(at, spec("late", "c", chestnutpond.ClassUrgent, one), 0)
	for i := range 8 {
		c.Remove(at, chestnutpond.JobID(fmt.Sprintf("s%d", i)))
		started := startActions(c.Decide(at))
		_, late := started["late"]
		assert.Assert(t, !late)
		assert.Equal(t, len(started), i/7)
	}
}

// Guards against a restored guaranteed job that becomes a borrower after a
// takeover, because the new scheduler binds the cells to other accelerators.
func TestRestoredJobKeepsItsCell(t *testing.T) {
	c := place.New(place.Config{Region: "r"})
	c.SetDocument(0, document("a", "b"))
	p := []chestnutpond.Placement{{Worker: "w1", Accelerators: []int{4, 5, 6, 7}}}
	c.Restore(0, spec("x", "a", chestnutpond.ClassBulk, shape(4, chestnutpond.AdjacencyWorker)), 3, p, true, false)
	c.Decide(0)
	for _, name := range []string{"w0", "w1"} {
		c.PutWorker(1, place.Worker{Name: name, Zone: "z", Rack: "r", Accelerators: 8})
		c.Decide(1)
	}
	c.Submit(2, spec("y", "b", chestnutpond.ClassBulk, shape(8, chestnutpond.AdjacencyWorker)), 0)
	actions := c.Decide(2)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Kind, place.ActionStart)
	assert.Equal(t, actions[0].Placements[0].Worker, "w0")
	for _, s := range c.Status(2) {
		assert.Equal(t, s.Borrowed, 0)
		assert.Assert(t, s.Covered)
	}
}

// Guards against a bad worker that keeps getting jobs, and against ejecting
// workers because of a job that cannot run.
func TestHealth(t *testing.T) {
	fail := func(c *place.Core, now time.Duration, id string, attempt int64, worker string) {
		c.TaskFailed(now, chestnutpond.JobID(id), attempt, place.Failure{Worker: worker, WorkerSuspect: true, Reason: "exit 1"})
	}
	t.Run("a worker that fails different jobs is ejected", func(t *testing.T) {
		c := newCore(4, document())
		full := shape(8, chestnutpond.AdjacencyWorker)
		bad := ""
		for i := range 3 {
			id := fmt.Sprintf("j%d", i)
			c.Submit(0, spec(id, "a", chestnutpond.ClassBulk, full), 0)
			got := startActions(c.Decide(0))[chestnutpond.JobID(id)]
			bad = got.Placements[0].Worker
			fail(c, 0, id, 1, bad)
			c.Remove(0, chestnutpond.JobID(id))
		}
		for i := range 4 {
			c.Submit(1, spec(fmt.Sprintf("k%d", i), "a", chestnutpond.ClassBulk, full), 0)
		}
		started := startActions(c.Decide(1))
		assert.Equal(t, len(started), 3)
		for _, a := range started {
			assert.Assert(t, a.Placements[0].Worker != bad)
		}
	})
	t.Run("a job that fails on three workers is given up", func(t *testing.T) {
		c := newCore(6, document())
		c.Submit(0, spec("j", "a", chestnutpond.ClassBulk, shape(8, chestnutpond.AdjacencyWorker)), 0)
		seen := map[string]bool{}
		now := time.Duration(0)
		for attempt := int64(1); attempt <= 3; attempt++ {
			got := startActions(c.Decide(now))["j"]
			assert.Equal(t, got.Attempt, attempt)
			assert.Assert(t, !seen[got.Placements[0].Worker])
			seen[got.Placements[0].Worker] = true
			fail(c, now, "j", attempt, got.Placements[0].Worker)
			now += time.Second
		}
		actions := c.Decide(now)
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].Kind, place.ActionGiveUp)
	})
}

// Guards against an urgent job that waits until its victims have run for a
// minute, and against a search that finds nothing because the level of the
// cheapest victim would fall below its minimum share.
func TestUrgentWorkStartsAtOnce(t *testing.T) {
	tests := map[string]struct {
		class chestnutpond.Class
		// kept is the size of a bulk gang without which its level would be
		// below its minimum share.
		kept int
	}{
		"victims have just started":                  {class: chestnutpond.ClassStandard},
		"another level would lose its minimum share": {class: chestnutpond.ClassStandard, kept: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore(3, document())
			if test.kept > 0 {
				c.Submit(0, spec("kept", "b", chestnutpond.ClassBulk, shape(test.kept, chestnutpond.AdjacencyWorker)), 0)
			}
			for i := range 24 - test.kept {
				c.Submit(0, spec(fmt.Sprintf("s%02d", i), "c", test.class, shape(1, chestnutpond.AdjacencyWorker)), 0)
			}
			for id := range startActions(c.Decide(0)) {
				c.Running(0, id, 1)
			}
			now := 2 * time.Second
			c.Submit(now, spec("urgent", "a", chestnutpond.ClassUrgent, shape(2, chestnutpond.AdjacencyWorker)), 0)
			actions := c.Decide(now)
			assert.Equal(t, len(actions), 2)
			for _, a := range actions {
				assert.Equal(t, a.Kind, place.ActionPreempt)
				assert.Assert(t, a.Job != "kept")
				c.Stopped(now, a.Job, a.Attempt)
			}
			assert.Equal(t, len(startActions(c.Decide(now))["urgent"].Placements), 1)
		})
	}
}

// Guards against migrations that free no whole shape, that risk losing much
// work, or that repeatedly stop the same job.
func TestConsolidation(t *testing.T) {
	one := shape(1, chestnutpond.AdjacencyWorker)
	for name, tc := range map[string]struct {
		after time.Duration
		// left is the number of jobs left on the first worker.
		left     int
		migrates bool
	}{
		"a worker is emptied":            {30 * time.Second, 7, true},
		"no other worker has room":       {30 * time.Second, 8, false},
		"the job has run too long":       {4 * time.Minute, 7, false},
		"the job has just started":       {5 * time.Second, 7, false},
		"the only other worker is empty": {30 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(2, document("a"))
			for i := range 9 {
				c.Submit(0, spec(fmt.Sprint("s", i), "b", chestnutpond.ClassStandard, one), 0)
			}
			for id := range startActions(c.Decide(0)) {
				c.Running(0, id, 1)
			}
			for i := range 8 - tc.left {
				c.Remove(tc.after, chestnutpond.JobID(fmt.Sprint("s", i)))
			}
			actions := c.Decide(tc.after)
			if !tc.migrates {
				assert.Equal(t, len(actions), 0)
				return
			}
			assert.Equal(t, len(actions), 1)
			a := actions[0]
			assert.Equal(t, a.Kind, place.ActionPreempt)
			assert.Equal(t, a.Job, chestnutpond.JobID("s8"))
			c.Stopped(tc.after+time.Second, a.Job, a.Attempt)
			again := startActions(c.Decide(tc.after + time.Second))[a.Job]
			assert.Assert(t, again.Placements[0].Worker != a.Placements[0].Worker)
			c.Running(tc.after+time.Second, again.Job, again.Attempt)
			for i := range 7 {
				c.Remove(tc.after+2*time.Second, chestnutpond.JobID(fmt.Sprint("s", i+1)))
			}
			c.Submit(tc.after+2*time.Second, spec("t", "b", chestnutpond.ClassStandard, shape(7, chestnutpond.AdjacencyWorker)), 0)
			c.Decide(tc.after + 2*time.Second)
			assert.Equal(t, len(c.Decide(tc.after+time.Minute)), 0)
		})
	}
}

// Guards against a new scheduler that stops running work for a guarantee because the
// workers with free accelerators have not announced themselves yet.
func TestNoPreemptionBeforeTheFleetIsKnown(t *testing.T) {
	const known = time.Second
	gang := shape(16, chestnutpond.AdjacencyRack)
	doc := document("a")
	doc.Accounts[0].Guarantees = []chestnutpond.Guarantee{{Region: "r", Count: 1, Shape: gang}}
	worker := func(i int) place.Worker {
		return place.Worker{
			Name: fmt.Sprintf("w%d", i), Incarnation: 1, Zone: "z", Rack: fmt.Sprintf("r%d", i/3), Accelerators: 8,
		}
	}
	for name, announces := range map[string]bool{"others announce": true, "there are no others": false} {
		t.Run(name, func(t *testing.T) {
			c := place.New(place.Config{Region: "r"})
			c.HoldPreemption(0, known)
			c.SetDocument(0, doc)
			var all []chestnutpond.Placement
			for i := range 3 {
				c.PutWorker(0, worker(i))
				all = append(all, chestnutpond.Placement{
					Member: i, Worker: worker(i).Name, Incarnation: 1, Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7},
				})
			}
			c.Restore(0, spec("running", "a", chestnutpond.ClassStandard, shape(24, chestnutpond.AdjacencyRack)), 1, all, false, false)
			c.Submit(0, spec("waiting", "a", chestnutpond.ClassStandard, gang), 0)
			assert.Equal(t, len(c.Decide(0)), 0)
			wake, ok := c.NextWake(0)
			assert.Assert(t, ok && wake <= known, "%s", wake)
			if announces {
				for i := 3; i < 6; i++ {
					c.PutWorker(known/2, worker(i))
				}
				started := startActions(c.Decide(known / 2))
				assert.Equal(t, len(started), 1)
				assert.Equal(t, started["waiting"].Placements[0].Worker, "w3")
				return
			}
			actions := c.Decide(known)
			assert.Equal(t, len(actions), 1)
			assert.Equal(t, actions[0].Kind, place.ActionPreempt)
			assert.Equal(t, actions[0].Job, chestnutpond.JobID("running"))
		})
	}
}
