package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Job is one job of a load with what the policies must not know.
type Job struct {
	Spec   chestnutpond.JobSpec
	Arrive time.Duration
	// Work is the run time on an empty fleet.
	Work time.Duration
	// Extra marks the jobs of a flood or of a greedy caller.
	Extra bool
	// Small marks the jobs whose completion time is a target.
	Small bool
	// Gang marks the jobs whose wait is compared with the reservation bound.
	Gang bool
	// Claim marks the jobs that claim a full guaranteed shape.
	Claim bool
	// Impossible jobs fail everywhere.
	Impossible bool
	// Cancel is when the caller cancels the job; zero means never.
	Cancel time.Duration
}

// Load is what all policies are given for one row, deployment and seed.
type Load struct {
	Scale int
	Jobs  []Job
	// Bad names the workers that fail everything after failDelay.
	Bad map[string]bool
	// From and To bound the flood, for the work that the others keep.
	From, To time.Duration
	// Bound is the reservation bound of the gangs, 0 if the row has none.
	Bound time.Duration
}

// Row builds loads.
type Row struct {
	Name  string
	build func(b *builder)
	// Flooded rows compare the work of the others with the load without the
	// extra jobs.
	Flooded bool
	// Bounded rows have a target for the p99 of small callers.
	Bounded bool
}

const (
	// day is the time over which jobs arrive.
	day = 8 * time.Hour
	// busyExtra is how much more than the mean a busy hour asks for.
	busyExtra = 0.45
	// floodAt is when floods, waves and claims begin.
	floodAt   = 2 * time.Hour
	floodTime = 10 * time.Minute
	floodRate = 20
	// floodWindow is the time after the beginning of a flood in which the work
	// of the others is counted.
	floodWindow = time.Hour
	// greedyRate is how much more a greedy caller asks for than a small one.
	greedyRate = 50
	greedyTime = time.Hour
	// failDelay is how long a task runs on a bad worker.
	failDelay = 50 * time.Millisecond
)

// Rows returns the loads by name, in the order of the table.
func Rows() []Row {
	return []Row{
		{Name: "ordinary_day", build: (*builder).ordinary},
		{Name: "flood_bulk", build: (*builder).floodBulk, Flooded: true, Bounded: true},
		{Name: "flood_urgent_one", build: (*builder).floodUrgentOne, Flooded: true, Bounded: true},
		{Name: "flood_urgent_all", build: (*builder).floodUrgentAll, Flooded: true, Bounded: true},
		{Name: "greedy_one_account", build: (*builder).greedyOne, Bounded: true},
		{Name: "greedy_accounts", build: (*builder).greedyAcross, Bounded: true},
		{Name: "large_gangs", build: (*builder).largeGangs},
		{Name: "wrong_declarations", build: (*builder).wrongDeclarations},
		{Name: "bad_worker_one", build: (*builder).badOne},
		{Name: "bad_worker_tenth", build: (*builder).badTenth},
		{Name: "impossible_fifth", build: (*builder).impossibleFifth},
		{Name: "cancel_wave", build: (*builder).cancelWave},
		{Name: "reclaim", build: (*builder).reclaim},
	}
}

// Build returns the load of the row for a deployment and seed.
func (r Row) Build(d Deployment, seed uint64) Load {
	b := &builder{d: d, rng: rand.New(rand.NewPCG(seed, 1)), load: Load{Scale: 1, Bad: map[string]bool{}}}
	r.build(b)
	sort.SliceStable(b.load.Jobs, func(i, j int) bool { return b.load.Jobs[i].Arrive < b.load.Jobs[j].Arrive })
	return b.load
}

type builder struct {
	d    Deployment
	rng  *rand.Rand
	load Load
	n    int
}

// capacity is the number of accelerators of the fleet.
func (b *builder) capacity() float64 {
	return float64(racks * workersPerRack * workerSize * b.load.Scale)
}

// arrivals calls f at the times of a Poisson process with the mean gap.
func (b *builder) arrivals(from, to, gap time.Duration, f func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(b.rng.ExpFloat64() * float64(gap))
		if at >= to {
			return
		}
		f(at)
	}
}

// work draws a log-normal run time with the mean.
func (b *builder) work(mean time.Duration, sigma float64) time.Duration {
	w := float64(mean) * math.Exp(sigma*b.rng.NormFloat64()-sigma*sigma/2)
	return max(time.Second, time.Duration(w))
}

func (b *builder) add(s stream, at time.Duration, account, caller string, shape chestnutpond.Shape) *Job {
	b.n++
	w := min(b.work(s.mean, s.sigma), s.maxRuntime)
	b.load.Jobs = append(b.load.Jobs, Job{
		Spec: chestnutpond.JobSpec{
			ID: chestnutpond.JobID(fmt.Sprintf("%s-%05d", s.kind, b.n)), Service: b.d.Document.Service,
			Account: account, Caller: caller, Kind: s.kind, Class: s.class, Region: region, Shape: shape,
			Declared: w, Checkpoint: s.checkpoint, MaxAttempts: 3, MaxRuntime: s.maxRuntime,
		},
		Arrive: at, Work: w, Small: s.small,
	})
	return &b.load.Jobs[len(b.load.Jobs)-1]
}

func meanSize(shapes []chestnutpond.Shape) float64 {
	n := 0
	for _, s := range shapes {
		n += s.Accelerators
	}
	return float64(n) / float64(len(shapes))
}

// gap is the mean time between the arrivals of a stream that asks for the share
// of the fleet.
func (b *builder) gap(s stream, share float64) time.Duration {
	return time.Duration(float64(s.mean) * meanSize(s.shapes) / (share * b.capacity()))
}

// run adds a stream for the whole day. Two hours in four are busy and ask for
// more than the fleet has, because with less the policies hardly differ: with
// busy hours at 1.25 times the mean the best baseline had a slowdown of 1.13.
func (b *builder) run(s stream) {
	for at := time.Duration(0); at < day; at += time.Hour {
		share := s.share * (1 - busyExtra)
		if (at/time.Hour)%4 >= 2 {
			share = s.share * (1 + busyExtra)
		}
		b.arrivals(at, at+time.Hour, b.gap(s, share), func(at time.Duration) {
			account := s.accounts[b.rng.IntN(len(s.accounts))]
			caller := fmt.Sprintf("%s-%d", s.kind, b.rng.IntN(s.callers))
			b.add(s, at, account, caller, s.shapes[b.rng.IntN(len(s.shapes))])
		})
	}
}

func (b *builder) ordinary() {
	for _, s := range b.d.streams {
		b.run(s)
	}
}

// flood adds floodRate times what the fleet can take for floodTime.
func (b *builder) flood(class chestnutpond.Class, accounts []string) {
	b.ordinary()
	b.load.From, b.load.To = floodAt, floodAt+floodWindow
	s := stream{
		kind: "flood", class: class, shapes: []chestnutpond.Shape{onWorker(1), onWorker(2)},
		mean: 5 * time.Minute, sigma: 0.8, checkpoint: 2 * time.Second, maxRuntime: time.Hour,
	}
	b.arrivals(floodAt, floodAt+floodTime, b.gap(s, floodRate), func(at time.Duration) {
		account := accounts[b.rng.IntN(len(accounts))]
		caller := fmt.Sprintf("flood-%d", b.rng.IntN(3))
		b.add(s, at, account, caller, s.shapes[b.rng.IntN(len(s.shapes))]).Extra = true
	})
}

func (b *builder) names() []string {
	var out []string
	for _, a := range b.d.Document.Accounts {
		out = append(out, a.Name)
	}
	return out
}

func (b *builder) floodBulk()      { b.flood(chestnutpond.ClassBulk, b.names()) }
func (b *builder) floodUrgentOne() { b.flood(chestnutpond.ClassUrgent, b.names()[:1]) }
func (b *builder) floodUrgentAll() { b.flood(chestnutpond.ClassUrgent, b.names()) }

// greedy adds three callers that each ask for greedyRate times as much as one
// caller of the second stream.
func (b *builder) greedy(accounts []string) {
	b.ordinary()
	s := b.d.streams[1]
	callers := float64(s.callers * len(s.accounts))
	s.small = false
	for i := range 3 {
		b.arrivals(floodAt, floodAt+greedyTime, b.gap(s, s.share*greedyRate/callers), func(at time.Duration) {
			b.add(s, at, accounts[i%len(accounts)], fmt.Sprintf("greedy-%d", i), s.shapes[0]).Extra = true
		})
	}
}

func (b *builder) greedyOne()    { b.greedy(b.d.streams[1].accounts[:1]) }
func (b *builder) greedyAcross() { b.greedy(b.d.streams[1].accounts) }

// largeGangs adds gangs of 16 to small jobs that alone fill most of the fleet.
func (b *builder) largeGangs() {
	s := b.d.streams[1]
	s.share = 0.75
	s.mean = 8 * time.Minute
	b.run(s)
	gang := b.d.streams[2]
	gang.kind, gang.small, gang.mean = "gang", false, 20*time.Minute
	gang.maxRuntime = time.Hour
	last := b.names()[3]
	b.arrivals(0, day, 40*time.Minute, func(at time.Duration) {
		b.add(gang, at, last, "gangs", inRack(16)).Gang = true
	})
	b.load.Bound = time.Hour
}

func (b *builder) wrongDeclarations() {
	b.ordinary()
	for i := range b.load.Jobs {
		j := &b.load.Jobs[i]
		if b.rng.IntN(2) == 0 {
			j.Spec.Declared = j.Work * 10
		} else {
			j.Spec.Declared = j.Work / 10
		}
	}
}

// bad makes workers fail; the fleet is three times today's so that a tenth is
// more than one worker.
func (b *builder) bad(n int) {
	b.load.Scale = 3
	b.ordinary()
	workers := fleet(b.load.Scale)
	for _, i := range b.rng.Perm(len(workers))[:n] {
		b.load.Bad[workers[i].Name] = true
	}
}

func (b *builder) badOne()   { b.bad(1) }
func (b *builder) badTenth() { b.bad(3) }

func (b *builder) impossibleFifth() {
	b.ordinary()
	for i := range b.load.Jobs {
		b.load.Jobs[i].Impossible = b.rng.IntN(5) == 0
	}
}

// cancelWave cancels four fifths of all that was submitted until then and has
// not ended.
func (b *builder) cancelWave() {
	b.ordinary()
	for i := range b.load.Jobs {
		j := &b.load.Jobs[i]
		if j.Arrive < floodAt+time.Hour && b.rng.IntN(5) > 0 {
			j.Cancel = floodAt + time.Hour
		}
	}
}

// reclaim fills the fleet with the jobs of the last account, and then the other
// accounts claim all of their guaranteed shapes at once.
func (b *builder) reclaim() {
	for at := time.Duration(0); at < 2; at++ {
		at := at * time.Hour
		b.fill(at, at+time.Minute)
		for _, a := range b.d.Document.Accounts {
			for _, g := range a.Guarantees {
				for range g.Count {
					s := b.d.streams[2]
					s.kind, s.mean, s.sigma = "claim", 10*time.Minute, 0.2
					b.add(s, at+30*time.Minute, a.Name, "claims", g.Shape).Claim = true
				}
			}
		}
	}
}

// fill adds bulk work of the last account for twice the fleet.
func (b *builder) fill(from, to time.Duration) {
	s := b.d.streams[2]
	s.mean = 80 * time.Minute
	total := 0
	for total < int(2*b.capacity()) {
		shape := s.shapes[b.rng.IntN(len(s.shapes))]
		at := from + time.Duration(b.rng.Int64N(int64(to-from)))
		b.add(s, at, b.names()[3], "filler", shape)
		total += shape.Accelerators
	}
}
