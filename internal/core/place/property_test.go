package place

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// world drives a Core with random events and checks what must hold after each.
type world struct {
	t    *rapid.T
	c    *Core
	now  time.Duration
	next int
	// live are the attempts that the core has started and not got back.
	live map[chestnutpond.JobID]Action
	// given lists the jobs that the core gave up.
	given []chestnutpond.JobID
	// moved is when a job was last stopped to run elsewhere.
	moved map[chestnutpond.JobID]time.Duration
	// small makes all jobs small and lets them run at once.
	small bool
	ids   []chestnutpond.JobID
}

var (
	nearness = []chestnutpond.Adjacency{
		chestnutpond.AdjacencyWorker, chestnutpond.AdjacencyRack, chestnutpond.AdjacencyZone,
	}
	classes = []chestnutpond.Class{chestnutpond.ClassUrgent, chestnutpond.ClassStandard, chestnutpond.ClassBulk}
)

func (w *world) draw(limit int, label string) int { return rapid.IntRange(0, limit-1).Draw(w.t, label) }

func (w *world) shape() chestnutpond.Shape {
	sizes := []int{1, 1, 2, 3, 4, 8, 12, 16}
	a := nearness[w.draw(3, "adjacency")]
	n := sizes[w.draw(len(sizes), "size")]
	if a == chestnutpond.AdjacencyWorker {
		n = min(n, 8)
	}
	return chestnutpond.Shape{Accelerators: n, Adjacency: a}
}

func (w *world) document() {
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

func (w *world) putWorker() {
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

func (w *world) submit() {
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

// pick returns a random live attempt whose job is in one of the states.
func (w *world) pick(states ...state) (Action, bool) {
	var of []chestnutpond.JobID
	for _, id := range w.ids {
		if _, ok := w.live[id]; !ok {
			continue
		}
		for _, s := range states {
			if w.c.jobs[id].state == s {
				of = append(of, id)
			}
		}
	}
	if len(of) == 0 {
		return Action{}, false
	}
	return w.live[of[w.draw(len(of), "attempt")]], true
}

func (w *world) step() {
	for _, id := range w.ids {
		if a, ok := w.live[id]; ok && w.small {
			w.c.Running(w.now, id, a.Attempt)
		}
	}
	if w.small && w.draw(3, "leaves") == 0 {
		w.remove()
	}
	switch e := w.draw(17, "event"); {
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
		if a, ok := w.pick(stateStarting, stateRunning); ok {
			worker := a.Placements[w.draw(len(a.Placements), "failing")].Worker
			delete(w.live, a.Job)
			w.c.TaskFailed(w.now, a.Job, a.Attempt, Failure{Worker: worker, Blame: w.draw(4, "blame") > 0})
		}
	case e == 12:
		if a, ok := w.pick(stateStarting, stateRunning, stateStopping); ok {
			w.takeover(a)
		}
	case e < 15:
		if a, ok := w.pick(stateStopping, stateRunning); ok {
			delete(w.live, a.Job)
			w.c.Stopped(w.now, a.Job, a.Attempt)
		}
	default:
		if a, ok := w.pick(stateStarting); ok {
			w.c.Running(w.now, a.Job, a.Attempt)
		}
	}
}

func (w *world) remove() {
	if len(w.ids) == 0 {
		return
	}
	i := w.draw(len(w.ids), "removed")
	w.c.Remove(w.now, w.ids[i])
	delete(w.live, w.ids[i])
	w.ids = append(w.ids[:i:i], w.ids[i+1:]...)
}

// takeover reports an attempt again as another scheduler would have found it.
func (w *world) takeover(a Action) {
	j := w.c.jobs[a.Job]
	w.c.Restore(w.now, j.spec, a.Attempt, a.Placements, j.guaranteed, j.state == stateStopping)
}

// decide applies the actions to the model and checks each of them.
func (w *world) decide() {
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
			w.given = append(w.given, a.Job)
		}
	}
	if again := w.c.Decide(w.now); len(again) > 0 {
		w.t.Fatalf("a second decision without a change returned %+v", again)
	}
}

func (w *world) checkStart(a Action) {
	j := w.c.jobs[a.Job]
	total := 0
	parts := 0
	for m, p := range a.Placements {
		r := w.c.fleet.byName[p.Worker]
		if p.Member != m || r == nil || !r.usable() || p.Incarnation != r.Incarnation {
			w.t.Fatalf("start of %s names %+v, worker %+v", a.Job, p, r)
		}
		total += len(p.Accelerators)
		if len(p.Accelerators) < r.Accelerators {
			parts++
		}
		for _, i := range p.Accelerators {
			if i >= r.Accelerators {
				w.t.Fatalf("start of %s names accelerator %d of %d", a.Job, i, r.Accelerators)
			}
			for id, o := range w.live {
				for _, q := range o.Placements {
					if q.Worker == p.Worker && hasInt(q.Accelerators, i) {
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

func hasInt(list []int, v int) bool {
	for _, o := range list {
		if o == v {
			return true
		}
	}
	return false
}

// checkPreempt wants a claim on what the victim holds, by a job that may preempt
// it: a guaranteed one, a more urgent one, or a gang whose reservation is old. A
// guaranteed victim yields to a guaranteed job of its own account only.
func (w *world) checkPreempt(a Action, guaranteed bool) {
	if a.For == "" {
		w.checkMove(a, guaranteed)
		return
	}
	j, by := w.c.jobs[a.Job], w.c.jobs[a.For]
	if _, ok := w.live[a.Job]; !ok || j.guaranteed || by.state != stateClaiming {
		w.t.Fatalf("preemption of %s, guaranteed %v, for %s in state %d", a.Job, j.guaranteed, a.For, by.state)
	}
	if guaranteed && (!by.guaranteed || by.account != j.account || j.level != lastLevel) {
		w.t.Fatalf("preemption of %s, which is guaranteed, for %s", a.Job, a.For)
	}
	old := w.now-by.reserved >= w.c.cfg.ReservationPatience && j.level > 0
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

// check verifies the structures of the core.
func (w *world) check() {
	c := w.c
	if len(c.ejected) > max(1, c.fleet.up/5) {
		w.t.Fatalf("%d of %d workers are ejected", len(c.ejected), c.fleet.up)
	}
	w.checkCells()
	w.checkSummaries()
	used := map[string]int{}
	for id, a := range w.live {
		j := c.jobs[id]
		if !j.state.holds() {
			w.t.Fatalf("%s is in state %d and was started", id, j.state)
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
			w.t.Fatalf("status %+v, model %d", s, used[s.Account])
		}
	}
	for _, id := range w.ids {
		j := c.jobs[id]
		if j.state == stateWaiting {
			w.checkGuarantee(j)
		}
	}
}

func (w *world) checkCells() {
	owner := map[*slot]*cell{}
	for _, l := range w.c.cells {
		n, used := 0, 0
		seen := map[*job]bool{}
		for _, p := range l.parts {
			for _, i := range p.index {
				s := &p.w.slots[i]
				if owner[s] != nil || s.cell != l || i >= p.w.Accelerators {
					w.t.Fatalf("accelerator %d of %s in two cells or none", i, p.w.Name)
				}
				owner[s] = l
				n++
				for _, j := range []*job{s.job, s.claim} {
					if j != nil && j.cell == l && !seen[j] {
						seen[j] = true
						used += j.size()
					}
				}
			}
		}
		if used != l.used || used > l.shape.Accelerators {
			w.t.Fatalf("cell counts %d used accelerators of %d, has %d", l.used, l.shape.Accelerators, used)
		}
		if l.covered() && (n != l.shape.Accelerators || !satisfies(l.parts, l.shape)) {
			w.t.Fatalf("cell of %s has %d accelerators", l.shape, n)
		}
	}
}

// checkSummaries wants the kept counts to equal a fresh recount.
func (w *world) checkSummaries() {
	for _, r := range w.c.fleet.racks {
		kept := r.stat
		for _, o := range r.workers {
			count := o.count
			w.c.fleet.touch(o)
			if o.count != count {
				w.t.Fatalf("%s counts %v, has %v", o.Name, count, o.count)
			}
		}
		if r.stat != kept {
			w.t.Fatalf("rack %s has summary %+v, is %+v", r.name, kept, r.stat)
		}
	}
}

// checkGuarantee wants no waiting job that fits a covered cell of its account.
func (w *world) checkGuarantee(j *job) {
	for _, l := range j.account.cells {
		if !l.covered() || w.c.room(l, j) < j.size() {
			continue
		}
		if _, ok := w.c.planIn(l, j); ok {
			w.t.Fatalf("%s with shape %s waits below the guarantee of %s", j.spec.ID, j.spec.Shape, j.account.name)
		}
	}
}

// Guards, over long random event sequences, against accelerators held twice,
// overlapping cells, preempted guaranteed jobs, split gangs, guarantees left
// unserved and too many ejections.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { explore(t, Config{Region: "r"}, false) })
}

func explore(t *rapid.T, cfg Config, small bool) {
	w := &world{
		t: t, c: New(cfg), live: map[chestnutpond.JobID]Action{}, moved: map[chestnutpond.JobID]time.Duration{}, small: small,
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
