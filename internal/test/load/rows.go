package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// rowLength is the length of a row; a flood or a fault lasts from floodFrom
	// to floodTo of it, ten minutes.
	rowLength = 15 * time.Minute
	// warmUp is ordinary work before the row, so that the entries are not new.
	warmUp    = 10 * time.Minute
	floodFrom = 1.0 / 6
	floodTo   = 5.0 / 6
	// An ordinary day runs from dayLow of the capacity to dayLow + dayRise at its
	// middle. A burst raises it for burstLength in every burstEvery.
	dayLow      = 0.5
	dayRise     = 0.3
	burstFactor = 1.6
	burstEvery  = time.Minute
	burstLength = 6 * time.Second
	dayPeak     = (dayLow + dayRise) * burstFactor
	// busyFactor raises the ordinary day so that queues form outside the bursts
	// as well.
	busyFactor = 1.25
	// floodFactor is the rate of a flood in what the fleet can take.
	floodFactor = 20
	// floodCallers send the flood in each account.
	floodCallers = 20
	// greedyFactor is the demand of a greedy caller in small ones.
	greedyFactor = 50
)

// row is a load by name.
type row struct {
	name string
	// upstreams is the size of the fleet; ten if zero.
	upstreams int
	// factor is the level of the day against the ordinary one; 1 if zero.
	factor float64
	// load adds to the ordinary day, faults change the world at times given as
	// parts of the row.
	load   func(w *world, from, to time.Duration) []*stream
	faults func(w *world, at func(share float64) time.Duration)
	// flood, greedy and bad say which aims apply.
	flood, greedy, bad bool
	// known means that small callers of the ordinary day flood the most urgent
	// kind; their requests of it are not other work.
	known bool
}

func (w *world) dayLevel(now time.Duration) float64 {
	s := math.Sin(math.Pi * max(now-w.begin, 0).Seconds() / (w.end - w.begin).Seconds())
	level := dayLow + dayRise*s*s
	if now%burstEvery < burstLength {
		level *= burstFactor
	}
	return level / dayPeak
}

// flood sends one kind from the accounts up to the given number.
func flood(last bool, accounts int) func(w *world, from, to time.Duration) []*stream {
	return func(w *world, from, to time.Duration) []*stream {
		k := &w.dep.kinds[0]
		if last {
			k = &w.dep.kinds[len(w.dep.kinds)-1]
		}
		return []*stream{{
			from: from, to: to, peak: floodFactor * w.capacity(k.mean.Seconds()),
			draw: func(r *rand.Rand, q *request) {
				q.account, q.group, q.kind = r.IntN(accounts), extra, k
				q.caller = floodNames[r.IntN(floodCallers)]
			},
		}}
	}
}

// knownFlood sends the most urgent kind from all small callers of the ordinary day.
// Their ordinary requests of that kind are a part of the flood.
func knownFlood(w *world, from, to time.Duration) []*stream {
	k := &w.dep.kinds[0]
	return []*stream{{
		from: from, to: to, peak: floodFactor * w.capacity(k.mean.Seconds()),
		draw: func(r *rand.Rand, q *request) {
			q.account, q.group, q.kind = r.IntN(len(w.dep.weights)), extra, k
			q.caller = smallNames[r.IntN(smallCallers)]
		},
	}}
}

var floodNames = func() []string {
	var names []string
	for i := range floodCallers {
		names = append(names, fmt.Sprintf("flood-%d", i))
	}
	return names
}()

var smallNames = func() []string {
	var names []string
	for i := range smallCallers {
		names = append(names, fmt.Sprintf("small-%d", i))
	}
	return names
}()

// greedy adds three callers, in one account or in three.
func greedy(accounts int) func(w *world, from, to time.Duration) []*stream {
	return func(w *world, from, to time.Duration) []*stream {
		var streams []*stream
		for i := range 3 {
			account := i % accounts
			day := (dayLow + dayRise/2) * w.capacity(w.dep.service())
			one := day * w.dep.demand[account] / (smallCallers + largeFactor*largeCallers)
			streams = append(streams, &stream{
				from: from, to: to, peak: greedyFactor * one,
				draw: func(r *rand.Rand, q *request) {
					q.account, q.group, q.kind = account, extra, w.dep.drawKind(r)
					q.caller = fmt.Sprintf("greedy-%d", i)
				},
			})
		}
		return streams
	}
}

// bad makes the first upstreams fail everything from floodFrom on.
func bad(n int) func(w *world, at func(float64) time.Duration) {
	return func(w *world, at func(float64) time.Duration) {
		w.badSince = at(floodFrom)
		w.after(w.badSince, func() {
			for _, u := range w.upstreams[:n] {
				u.bad = true
			}
		})
	}
}

// farRegion cuts the link, then makes it slow, then brings it back.
func farRegion(w *world, at func(float64) time.Duration) {
	w.after(at(floodFrom), func() { w.cut = true })
	w.after(at(0.4), func() { w.cut, w.rate, w.extraWay = false, linkRate/15, 100*time.Millisecond })
	w.after(at(0.6), func() { w.rate, w.extraWay = linkRate, 0 })
}

// replaced replaces the entries one after the other.
func replaced(learn bool) func(w *world, at func(float64) time.Duration) {
	return func(w *world, at func(float64) time.Duration) {
		for i, e := range w.entries {
			var peer *entry
			if learn {
				peer = w.entries[(i+1)%len(w.entries)]
			}
			w.after(at(0.3+0.1*float64(i)), func() { w.restart(e, peer) })
		}
	}
}

// rows are the loads, in the order of the table. The first is the reference.
var rows = []row{
	{name: "ordinary day"},
	{name: "busy day", factor: busyFactor},
	{name: "flood, least urgent", load: flood(true, 4), flood: true},
	{name: "flood, most urgent, one account", load: flood(false, 1), flood: true},
	{name: "flood, most urgent, all accounts", load: flood(false, 4), flood: true},
	{name: "flood, most urgent, known callers", load: knownFlood, flood: true, known: true},
	{name: "flood, least urgent, entries replaced", load: flood(true, 4), flood: true, faults: replaced(false)},
	{name: "the same, new entries learn from a peer", load: flood(true, 4), flood: true, faults: replaced(true)},
	{name: "greedy, one account", load: greedy(1), greedy: true},
	{name: "greedy, three accounts", load: greedy(3), greedy: true},
	{name: "one bad upstream", faults: bad(1), bad: true},
	{name: "a tenth bad, 20 upstreams", upstreams: 20, faults: bad(2), bad: true},
	{name: "one kind fails everywhere", faults: func(w *world, at func(float64) time.Duration) {
		k := &w.dep.kinds[1]
		w.after(at(floodFrom), func() { w.fails = func(o *kind) bool { return o == k } })
		w.after(at(floodTo), func() { w.fails = nil })
	}},
	{name: "far region cut, slow, back", faults: farRegion},
	{name: "late reports", faults: func(w *world, _ func(float64) time.Duration) {
		w.reportAge, w.blind = 10*time.Second, true
	}},
}
