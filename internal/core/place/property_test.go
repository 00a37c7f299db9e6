package place

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

// A fixed seed makes the result the same on every run; -rapid.seed overrides
// it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// workload drives a Core with random events and checks its invariants after
// each.
type workload struct {
	t    *rapid.T
	c    *Core
	now  time.Duration
	next int
	// live holds the attempts that the core started and that have not ended.
	live map[chestnutpond.JobID]Action
	// givenUp lists the jobs that the core gave up.
	givenUp []chestnutpond.JobID
	// migratedAt is the time of the last migration of a job.
	migratedAt map[chestnutpond.JobID]time.Duration
	// small makes all jobs small and lets them run as soon as they start.
	small bool
	ids   []chestnutpond.JobID
	// zones are the zones under evacuation.
	zones chestnutpond.Evacuations
}

var (
	adjacencies = []chestnutpond.Adjacency{
		chestnutpond.AdjacencyWorker, chestnutpond.AdjacencyRack, chestnutpond.AdjacencyZone,
	}
	classes = []chestnutpond.Class{chestnutpond.ClassUrgent, chestnutpond.ClassStandard, chestnutpond.ClassBulk}
)

func (w *workload) draw(limit int, label string) int {
	return rapid.IntRange(0, limit-1).Draw(w.t, label)
}

func (w *workload) shape() chestnutpond.Shape {
	sizes := []int{1, 1, 2, 3, 4, 8, 12, 16}
	a := adjacencies[w.draw(3, "adjacency")]
	n := sizes[w.draw(len(sizes), "size")]
	if a == chestnutpond.AdjacencyWorker {
		n = min(n, 8)
	}
	return chestnutpond.Shape{Accelerators: n, Adjacency: a}
}

func (w *workload) document() {
	var d chestnutpond.Document
	for a := range w.draw(4, "accounts") {
		account := chestnutpond.Account{Name: fmt.Sprint("a", a), Weight: 1 + w.draw(4, "weight")}
		for range w.draw(3, "guarantees") {
			account.Guarantees = append(account.Guarantees, chestnutpond.Guarantee{
				Region: "r", Count: 1 + w.draw(2, "count"), Shape: w.shape(),
			})
		}
		d.Accounts = append(d.Accounts, account)
	}
	w.c.SetDocument(w.now, d)
}

func (w *workload) putWorker() {
	i := w.draw(10, "worker")
	size := 8
	if i%4 == 3 {
		size = 4
	}
	w.c.PutWorker(w.now, Worker{
		Name: fmt.Sprint("w", i), Incarnation: int64(w.draw(3, "incarnation")),
		Zone: fmt.Sprint("z", i/6), Rack: fmt.Sprint("r", i/3), Accelerators: size,
		Draining: w.draw(6, "draining") == 0,
	})
}

func (w *workload) submit() {
	w.next++
	id := chestnutpond.JobID(fmt.Sprint("j", w.next))
	w.ids = append(w.ids, id)
	shape, class := w.shape(), classes[w.draw(3, "class")]
	if w.small {
		class = chestnutpond.ClassStandard
		shape = chestnutpond.Shape{Accelerators: 1 + w.draw(2, "small"), Adjacency: chestnutpond.AdjacencyWorker}
	}
	w.c.Submit(w.now, chestnutpond.JobSpec{
		ID: id, Account: fmt.Sprint("a", w.draw(4, "account")), Caller: fmt.Sprint("c", w.draw(3, "caller")),
		Kind: fmt.Sprint("k", w.draw(3, "kind")), Class: class, Region: "r",
		Shape: shape, MaxAttempts: 1 + w.draw(3, "attempts"),
	}, 0)
}

// pickAttempt returns a random live attempt whose job is in one of the states.
func (w *workload) pickAttempt(states ...state) (Action, bool) {
	var ids []chestnutpond.JobID
	for _, id := range w.ids {
		if _, ok := w.live[id]; !ok {
			continue
		}
		for _, s := range states {
			if w.c.jobs[id].state == s {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) == 0 {
		return Action{}, false
	}
	return w.live[ids[w.draw(len(ids), "attempt")]], true
}

func (w *workload) step() {
	for _, id := range w.ids {
		if a, ok := w.live[id]; ok && w.small {
			w.c.Running(w.now, id, a.Attempt)
		}
	}
	if w.small && w.draw(3, "leaves") == 0 {
		w.remove()
	}
	switch e := w.draw(18, "event"); {
	case e < 5:
		w.submit()
	case e == 5:
		w.putWorker()
	case e == 6:
		w.c.RemoveWorker(w.now, fmt.Sprint("w", w.draw(10, "lost")))
	case e == 7:
		w.document()
	case e < 10:
		w.now += time.Duration(w.draw(90000, "milliseconds")) * time.Millisecond
	case e == 10:
		w.remove()
	case e == 11:
		if a, ok := w.pickAttempt(stateStarting, stateRunning); ok {
			worker := a.Placements[w.draw(len(a.Placements), "failing")].Worker
			delete(w.live, a.Job)
			w.c.TaskFailed(w.now, a.Job, a.Attempt, Failure{Worker: worker, WorkerSuspect: w.draw(4, "blame") > 0})
		}
	case e == 12:
		if a, ok := w.pickAttempt(stateStarting, stateRunning, stateStopping); ok {
			w.takeover(a)
		}
	case e == 17:
		w.evacuate()
	case e < 15:
		if a, ok := w.pickAttempt(stateStopping, stateRunning); ok {
			delete(w.live, a.Job)
			w.c.Stopped(w.now, a.Job, a.Attempt)
		}
	default:
		if a, ok := w.pickAttempt(stateStarting); ok {
			w.c.Running(w.now, a.Job, a.Attempt)
		}
	}
}

// evacuate requests or revokes the evacuation of a zone. Half of the requests change
// nothing.
func (w *workload) evacuate() {
	zone := fmt.Sprint("z", w.draw(2, "zone"))
	if w.draw(2, "undo") == 0 {
		w.zones = w.zones.With(zone)
	} else {
		w.zones = w.zones.Without(zone)
	}
	w.c.SetEvacuations(w.now, w.zones)
}

func (w *workload) remove() {
	if len(w.ids) == 0 {
		return
	}
	i := w.draw(len(w.ids), "removed")
	w.c.Remove(w.now, w.ids[i])
	delete(w.live, w.ids[i])
	w.ids = append(w.ids[:i:i], w.ids[i+1:]...)
}

// takeover restores an attempt as a new scheduler would.
func (w *workload) takeover(a Action) {
	j := w.c.jobs[a.Job]
	w.c.Restore(w.now, j.spec, a.Attempt, a.Placements, j.guaranteed, j.state == stateStopping)
}

// decide applies the actions to the model and checks each of them.
func (w *workload) decide() {
	w.c.advance(w.now)
	w.c.refresh()
	guaranteed := map[chestnutpond.JobID]bool{}
	for id := range w.live {
		guaranteed[id] = w.c.jobs[id].guaranteed
	}
	actions := w.c.Decide(w.now)
	for _, a := range actions {
		switch a.Kind {
		case ActionStart:
			w.checkStart(a)
			w.live[a.Job] = a
		case ActionPreempt:
			w.checkPreempt(a, guaranteed[a.Job])
		case ActionGiveUp:
			w.givenUp = append(w.givenUp, a.Job)
		}
	}
	if again := w.c.Decide(w.now); len(again) > 0 {
		w.t.Fatalf("a second Decide without a change returned %+v", again)
	}
}

func (w *workload) checkStart(a Action) {
	j := w.c.jobs[a.Job]
	total := 0
	parts := 0
	for m, p := range a.Placements {
		r := w.c.fleet.byName[p.Worker]
		if p.Member != m || r == nil || !r.usable() || w.zones.Contains(r.Zone) || a.Zones[m] != r.Zone || p.Incarnation != r.Incarnation {
			w.t.Fatalf("start of %s has placement %+v, worker %+v", a.Job, p, r)
		}
		total += len(p.Accelerators)
		if len(p.Accelerators) < r.Accelerators {
			parts++
		}
		for _, i := range p.Accelerators {
			if i >= r.Accelerators {
				w.t.Fatalf("start of %s uses accelerator %d of a worker with %d", a.Job, i, r.Accelerators)
			}
			for id, o := range w.live {
				for _, q := range o.Placements {
					if q.Worker == p.Worker && containsInt(q.Accelerators, i) {
						w.t.Fatalf("%s and %s hold accelerator %d of %s", id, a.Job, i, p.Worker)
					}
				}
			}
		}
	}
	if total != j.size() || len(a.Placements) > 1 && parts > 1 || !satisfies(j.held, j.spec.Shape) {
		w.t.Fatalf("start of %s with shape %s at %+v", a.Job, j.spec.Shape, a.Placements)
	}
}

func containsInt(list []int, v int) bool {
	for _, o := range list {
		if o == v {
			return true
		}
	}
	return false
}

// checkPreempt checks that the victim holds accelerators claimed by a job that
// may preempt it: a guaranteed job, a more urgent one, or a gang with an old
// reservation. A guaranteed victim may only be preempted by a guaranteed job of
// its own account.
func (w *workload) checkPreempt(a Action, guaranteed bool) {
	if a.Reason == reasonZoneEvacuated {
		w.checkEvacuated(a)
		return
	}
	if a.For == "" {
		w.checkMigration(a, guaranteed)
		return
	}
	j, by := w.c.jobs[a.Job], w.c.jobs[a.For]
	if _, ok := w.live[a.Job]; !ok || j.guaranteed || by.state != stateClaiming {
		w.t.Fatalf("preemption of %s, guaranteed %v, for %s in state %d", a.Job, j.guaranteed, a.For, by.state)
	}
	if guaranteed && (!by.guaranteed || by.account != j.account || j.level != lastLevel) {
		w.t.Fatalf("preemption of %s, which is guaranteed, for %s", a.Job, a.For)
	}
	old := w.now-by.reservedAt >= w.c.cfg.ReservationPreemptAfter && j.level > 0
	if !by.guaranteed && j.level <= by.level && !old {
		w.t.Fatalf("preemption of %s at level %d for %s at level %d", a.Job, j.level, a.For, by.level)
	}
	for _, h := range j.held {
		for _, i := range h.index {
			if h.w.slots[i].claim == by {
				return
			}
		}
	}
	w.t.Fatalf("preemption of %s frees nothing that %s claims", a.Job, a.For)
}

// checkEvacuated checks that an attempt stopped for an evacuation was placed in a zone and
// had not been reported as running. The zone may be in use again.
func (w *workload) checkEvacuated(a Action) {
	j := w.c.jobs[a.Job]
	if _, ok := w.live[a.Job]; !ok || j.state != stateStopping || j.guaranteed {
		w.t.Fatalf("stop of %s in state %d, guaranteed %v, for an evacuation", a.Job, j.state, j.guaranteed)
	}
}

// checkZones checks that nothing is bound, claimed or still to be started on a worker of
// an evacuated zone.
func (w *workload) checkZones() {
	for _, r := range w.c.fleet.byName {
		if !r.up || !w.zones.Contains(r.Zone) {
			continue
		}
		for _, s := range r.slots {
			if s.cell != nil || s.claim != nil || s.job != nil && s.job.state == stateStarting {
				w.t.Fatalf("evacuated worker %s has cell %v, claim %v, job %v", r.Name, s.cell, s.claim, s.job)
			}
		}
	}
}

// check checks the invariants of the core's data structures.
func (w *workload) check() {
	c := w.c
	if len(c.ejected) > max(1, c.fleet.workersUp/5) {
		w.t.Fatalf("%d of %d workers are ejected, above the limit", len(c.ejected), c.fleet.workersUp)
	}
	w.checkCells()
	w.checkZones()
	w.checkSummaries()
	used := map[string]int{}
	for id, a := range w.live {
		j := c.jobs[id]
		if !j.state.holds() {
			w.t.Fatalf("%s was started but is in state %d", id, j.state)
		}
		used[j.account.name] += j.size()
		for m, p := range a.Placements {
			for n, i := range p.Accelerators {
				if h := j.held[m]; h.w.Name != p.Worker || h.index[n] != i || h.w.slots[i].job != j {
					w.t.Fatalf("%s does not hold accelerator %d of %s", id, i, p.Worker)
				}
			}
		}
	}
	for _, s := range c.Status(w.now) {
		if s.Used != used[s.Account] || s.Borrowed < 0 || s.Borrowed > s.Used {
			w.t.Fatalf("status is %+v, want Used %d", s, used[s.Account])
		}
	}
	for _, id := range w.ids {
		j := c.jobs[id]
		if j.state == stateWaiting {
			w.checkGuarantee(j)
		}
	}
}

func (w *workload) checkCells() {
	owner := map[*slot]*cell{}
	for _, cl := range w.c.cells {
		n, used := 0, 0
		seen := map[*job]bool{}
		for _, p := range cl.allocs {
			for _, i := range p.index {
				s := &p.w.slots[i]
				if owner[s] != nil || s.cell != cl || i >= p.w.Accelerators {
					w.t.Fatalf("accelerator %d of %s is not in exactly one cell", i, p.w.Name)
				}
				owner[s] = cl
				n++
				for _, j := range []*job{s.job, s.claim} {
					if j != nil && j.cell == cl && !seen[j] {
						seen[j] = true
						used += j.size()
					}
				}
			}
		}
		if used != cl.used || used > cl.shape.Accelerators {
			w.t.Fatalf("cell counts %d used accelerators of %d, want %d", cl.used, cl.shape.Accelerators, used)
		}
		if cl.covered() && (n != cl.shape.Accelerators || !satisfies(cl.allocs, cl.shape)) {
			w.t.Fatalf("cell of %s has %d accelerators", cl.shape, n)
		}
	}
}

// checkSummaries checks that the cached counts equal a recount.
func (w *workload) checkSummaries() {
	for _, r := range w.c.fleet.racks {
		kept := r.summaries
		for _, o := range r.workers {
			count := o.count
			w.c.fleet.recount(o)
			if o.count != count {
				w.t.Fatalf("worker %s has cached counts %v, want %v", o.Name, count, o.count)
			}
		}
		if r.summaries != kept {
			w.t.Fatalf("rack %s has summary %+v, want %+v", r.name, kept, r.summaries)
		}
	}
}

// checkGuarantee checks that a waiting job does not fit a covered cell of its
// account.
func (w *workload) checkGuarantee(j *job) {
	for _, cl := range j.account.cells {
		if !cl.covered() || w.c.claimableCount(cl, j) < j.size() {
			continue
		}
		if _, ok := w.c.planOnCell(cl, j); ok {
			w.t.Fatalf("%s with shape %s waits but fits a cell of %s", j.spec.ID, j.spec.Shape, j.account.name)
		}
	}
}

// Guards, over long random event sequences, against accelerators held by two
// jobs, overlapping cells, preempted guaranteed jobs, gangs that violate their
// adjacency, guarantees that are not served, and too many ejections.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { explore(t, Config{Region: "r"}, false) })
}

func explore(t *rapid.T, cfg Config, small bool) {
	w := &workload{
		t: t, c: New(cfg), live: map[chestnutpond.JobID]Action{}, migratedAt: map[chestnutpond.JobID]time.Duration{}, small: small,
	}
	for range 6 {
		w.putWorker()
	}
	w.document()
	for w.small && len(w.ids) < 16 {
		w.submit()
	}
	for range rapid.IntRange(20, 250).Draw(t, "steps") {
		w.step()
		w.decide()
		w.check()
	}
}
