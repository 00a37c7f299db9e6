package plan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond"
)

// evacuationBed returns a testbed with two workers in each of two zones.
func evacuationBed(t *testing.T) *testbed {
	b := newTestbed(t, 2, 2)
	for i, w := range b.workers {
		w.info.Zone = []string{"east", "west"}[i%2]
	}
	b.report()
	return b
}

func (b *testbed) evacuate(zones ...string) {
	var e chestnutpond.Evacuations
	for _, z := range zones {
		e = e.With(z)
	}
	b.p.SetEvacuations(b.now, e)
}

// decideAndStore decides and stores the records, without handing out orders.
func (b *testbed) decideAndStore() {
	b.p.Decide(b.now, b.wall)
	batch, err := b.p.TakeBatch(b.wall)
	assert.NilError(b.t, err)
	b.p.BatchStored(batch)
}

// inZone returns the number of runs on the workers of a zone.
func (b *testbed) inZone(zone string) int {
	n := 0
	for _, w := range b.workers {
		if w.info.Zone == zone {
			n += len(w.running)
		}
	}
	return n
}

// Guards against work that is started in an evacuated zone: by a decision, an order that was
// decided, stored or handed out before, a step that opens, and a leader that takes over.
func TestNoStartInEvacuatedZone(t *testing.T) {
	job := chestnutpond.Step{Count: 4, Need: big}
	cases := map[string]func(b *testbed){
		"decided after": func(b *testbed) {
			b.evacuate("east")
			b.submit(1, "stock", job)
		},
		"decided before": func(b *testbed) {
			b.submit(1, "stock", job)
			b.p.Decide(b.now, b.wall)
			b.evacuate("east")
		},
		"stored before": func(b *testbed) {
			b.submit(1, "stock", job)
			b.decideAndStore()
			b.evacuate("east")
		},
		"handed out before": func(b *testbed) {
			b.submit(1, "stock", job)
			b.decideAndStore()
			for _, w := range b.workers {
				_, known := b.p.Orders(b.now, w.info.ID)
				assert.Assert(b.t, known)
			}
			b.evacuate("east")
		},
		"gang": func(b *testbed) {
			b.evacuate("east")
			b.submit(0, "stock", chestnutpond.Step{Count: 2, Need: big, Gang: true})
		},
		"worker joins later": func(b *testbed) {
			b.evacuate("east")
			b.addWorker("w9", "r1").info.Zone = "east"
			b.report()
			b.submit(1, "stock", job)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			b := evacuationBed(t)
			play(b)
			for range 5 {
				b.round()
				b.advance(100*time.Millisecond, 1)
			}
			assert.Equal(t, b.inZone("east"), 0)
			assert.Equal(t, b.inZone("west"), 2, "the other zone is used")
		})
	}
}

// Guards against an evacuation that interrupts work, or that goes on after it was taken back.
func TestEvacuationEnds(t *testing.T) {
	b := evacuationBed(t)
	running := b.submit(1, "stock", chestnutpond.Step{Count: 4, Need: big})
	b.round()
	b.evacuate("east", "west")
	waiting := b.submit(1, "stock", chestnutpond.Step{Count: 4, Need: big})
	b.round()
	assert.Equal(t, len(b.placements(running)), 4, "work goes on")
	assert.DeepEqual(t, b.p.EvacuatedRuns(), map[string]int{"east": 2, "west": 2})
	b.endRuns(running, chestnutpond.RunDone)
	b.round()
	assert.Equal(t, len(b.placements(waiting)), 0, "all zones are evacuated")
	b.evacuate()
	b.round()
	assert.Equal(t, len(b.placements(waiting)), 4)
}

// Guards against perpetual work that stays in an evacuated zone, and against moving more of
// it at once than its step allows.
func TestPerpetualWorkLeavesEvacuatedZone(t *testing.T) {
	b := evacuationBed(t)
	id := b.submit(1, "stock", chestnutpond.Step{Count: 4, Need: small, Perpetual: true, PerWorker: 2, MaxUnavailable: 1})
	for range 3 {
		b.round()
	}
	b.advance(time.Second, 100)
	b.evacuate("east")
	for range 40 {
		b.round()
		away := 4
		for _, n := range b.placements(id) {
			away -= n
		}
		assert.Assert(t, away <= 1, "%d tasks are away", away)
		for _, w := range b.workers {
			for r := range w.running {
				w.running[r] = 100
			}
		}
		b.advance(200*time.Millisecond, 0)
	}
	assert.Equal(t, b.inZone("east"), 0)
	assert.Equal(t, b.inZone("west"), 4)
}

// Guards against starts in an evacuated zone in any order of requests, jobs, ends, restarts
// of workers and takeovers, and against held starts that are handed out.
func TestEvacuationProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := evacuationBed(t)
		epoch, evacuated, held := int64(1), map[string]bool{}, false
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			before := map[string]int{"east": b.inZone("east"), "west": b.inZone("west")}
			switch rapid.IntRange(0, 6).Draw(rt, "action") {
			case 0, 1:
				count := rapid.IntRange(1, 4).Draw(rt, "count")
				b.submit(rapid.IntRange(0, 2).Draw(rt, "priority"), "stock",
					chestnutpond.Step{Count: count, Need: small, Gang: count > 1 && rapid.Bool().Draw(rt, "gang")})
			case 2:
				evacuated = map[string]bool{"east": rapid.Bool().Draw(rt, "east"), "west": rapid.Bool().Draw(rt, "west")}
				b.evacuate(evacuatedZones(evacuated)...)
			case 3:
				w := b.workers[rapid.IntRange(0, 3).Draw(rt, "worker")]
				for r := range w.running {
					w.end(r, rapid.SampledFrom([]chestnutpond.RunOutcome{chestnutpond.RunDone, chestnutpond.RunFailed}).Draw(rt, "ending"))
					break
				}
				b.report()
			case 4:
				held = rapid.Bool().Draw(rt, "held")
				b.p.SetStartsHeld(held)
			case 5:
				epoch++
				b.takeOverStored(epoch)
				b.evacuate(evacuatedZones(evacuated)...)
				b.p.SetStartsHeld(held)
			}
			b.round()
			for zone, n := range before {
				if evacuated[zone] || held {
					assert.Assert(rt, b.inZone(zone) <= n, "run started in %s", zone)
				}
			}
			b.advance(100*time.Millisecond, 2)
		}
	})
}

// takeOverStored replaces the planner by that of a new leader, which has read all records.
func (b *testbed) takeOverStored(epoch int64) {
	next := b.newPlanner(epoch, 0)
	for n := 1; n <= b.jobs; n++ {
		if id := chestnutpond.JobID(fmt.Sprintf("%016x", n)); b.p.jobs[id] != nil {
			next.Load(b.storedJob(id))
		}
	}
	b.p = next
}

func evacuatedZones(set map[string]bool) []string {
	var zones []string
	for zone, on := range set {
		if on {
			zones = append(zones, zone)
		}
	}
	return zones
}
