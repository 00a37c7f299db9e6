package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/core/route"
)

const (
	zoneLatency   = 250 * time.Microsecond
	regionLatency = 1500 * time.Microsecond
	farLatency    = 8 * time.Millisecond
	clientLatency = 3 * time.Millisecond
	// linkRate is 30 Mbit/s in bytes a second.
	linkRate = 30e6 / 8
	// silence is how long it takes to find a connection dead: silent_after, a new
	// connection and Resolve.
	silence = 2600 * time.Millisecond
	// reportAge is the age of an upstream's row at an entry.
	reportAge   = 600 * time.Millisecond
	reportEvery = time.Second
	// pollEvery is how often an entry looks at a queue that waits for a slot.
	pollEvery = 10 * time.Millisecond
	// badTime is how fast a bad upstream fails.
	badTime = 50 * time.Millisecond
)

// upstream is a count of slots.
type upstream struct {
	route.Target
	busy int
	bad  bool
}

// entry is an entry host: a policy and nothing else.
type entry struct {
	region, zone string
	policy       policy
	// build makes a new policy, as a new process would.
	build   func() policy
	waiting map[string]*request
	polling bool
}

// direction is one way of the link between the regions.
type direction struct {
	free  time.Duration
	bytes float64
}

// world is one run.
type world struct {
	loop
	dep       *deployment
	row       *row
	rand      *rand.Rand
	entries   []*entry
	upstreams []*upstream
	ways      [2]direction
	rate      float64
	extraWay  time.Duration
	cut       bool
	fails     func(k *kind) bool
	// begin ends the warm-up, in which nothing is measured.
	begin, end time.Duration
	reportAge  time.Duration
	blind      bool
	badSince   time.Duration
	fig        *figures
	next       int
}

func newWorld(dep *deployment, r *row, build func(e *entry, dep *deployment, seed uint64) policy, seed uint64, scale float64) *world {
	w := &world{
		dep: dep, row: r, rand: rand.New(rand.NewPCG(seed, 1)), rate: linkRate,
		begin: time.Duration(float64(warmUp) * scale), reportAge: reportAge, fig: newFigures(dep),
	}
	w.end = w.begin + time.Duration(float64(rowLength)*scale)
	zones := [][2]string{{dep.regions[0], "z1"}, {dep.regions[0], "z2"}, {dep.regions[1], "z3"}}
	for i, z := range zones {
		e := &entry{region: z[0], zone: z[1], waiting: map[string]*request{}}
		e.build = func() policy { return build(e, dep, seed*10+uint64(i)) }
		e.policy = e.build()
		w.entries = append(w.entries, e)
	}
	n := max(r.upstreams, 10)
	var names []string
	for _, k := range dep.kinds {
		names = append(names, k.Name)
	}
	for i := range n {
		z := zones[[]int{0, 1, 2, 0, 1, 2, 0, 1, 2, 0}[i%10]]
		w.upstreams = append(w.upstreams, &upstream{Target: route.Target{
			Name: fmt.Sprintf("u%02d", i), Incarnation: 1, Region: z[0], Zone: z[1],
			Slots: slots, Connections: 64, Kinds: names, Up: true,
		}})
	}
	for _, e := range w.entries {
		for _, u := range w.upstreams {
			e.policy.put(0, u.Target)
		}
	}
	w.start(seed)
	return w
}

// capacity is the number of requests a second that the fleet takes of a mean
// service time in seconds.
func (w *world) capacity(mean float64) float64 { return float64(len(w.upstreams)*slots) / mean }

func (w *world) start(seed uint64) {
	at := func(share float64) time.Duration { return w.begin + time.Duration(share*float64(w.end-w.begin)) }
	day := dayPeak
	if w.row.factor > 0 {
		day *= w.row.factor
	}
	streams := []*stream{{to: w.end, peak: day * w.capacity(w.dep.service()), level: w.dayLevel, draw: w.dep.ordinary}}
	if w.row.load != nil {
		streams = append(streams, w.row.load(w, at(floodFrom), at(floodTo))...)
	}
	for i, s := range streams {
		s.rand = rand.New(rand.NewPCG(seed, uint64(100+i)))
		w.after(s.from, func() { w.arrive(s) })
	}
	w.after(w.begin, func() { w.ways = [2]direction{} })
	if w.row.faults != nil {
		w.row.faults(w, at)
	}
	for i, u := range w.upstreams {
		w.after(reportEvery*time.Duration(i)/time.Duration(len(w.upstreams)), func() { w.report(u) })
	}
}

// arrive draws the next request of the stream and schedules the one after it.
func (w *world) arrive(s *stream) {
	if w.now >= s.to {
		return
	}
	w.after(time.Duration(s.rand.ExpFloat64()/s.peak*float64(time.Second)), func() { w.arrive(s) })
	// All draws are made for every request, so that a stream is the same in
	// every run with the seed.
	q := &request{arrived: w.now}
	s.draw(s.rand, q)
	q.service = q.kind.draw(s.rand)
	q.entry = w.entries[pick(s.rand, entryShare)]
	keep := s.rand.Float64()
	if s.level != nil && keep >= s.level(w.now) {
		return
	}
	w.next++
	q.id = strconv.Itoa(w.next)
	q.deadline = w.now + q.kind.Timeout
	w.offer(q)
}

func (w *world) offer(q *request) {
	e := q.entry
	v := e.policy.offer(w.now, admit.Item{
		ID: q.id, Account: accountName(q.account), Caller: q.caller, Kind: q.kind.Name, Class: q.kind.Class,
		Deadline: q.deadline, Bytes: q.kind.body,
	})
	for _, d := range v.Evicted {
		w.refuse(e, d)
	}
	if !v.Admitted {
		w.fig.refused(w, q)
		return
	}
	e.waiting[q.id] = q
	w.pump(e)
}

func (w *world) refuse(e *entry, it admit.Item) {
	w.fig.refused(w, e.waiting[it.ID])
	delete(e.waiting, it.ID)
}

// pump sends what can be sent.
func (w *world) pump(e *entry) {
	for _, it := range e.policy.expired(w.now) {
		w.refuse(e, it)
	}
	for {
		it, name, ok := e.policy.next(w.now)
		if !ok {
			break
		}
		w.send(e.waiting[it.ID], name)
	}
	if e.policy.len() > 0 && !e.polling {
		e.polling = true
		w.after(pollEvery, func() {
			e.polling = false
			w.pump(e)
		})
	}
}

func (w *world) upstream(name string) *upstream {
	for _, u := range w.upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// carry delivers a message between an entry and an upstream. It returns false if
// the message is lost.
func (w *world) carry(e *entry, u *upstream, back bool, bytes int, do func()) bool {
	if e.region == u.Region {
		d := regionLatency
		if e.zone == u.Zone {
			d = zoneLatency
		}
		w.after(d, do)
		return true
	}
	if w.cut {
		return false
	}
	way := &w.ways[0]
	if (e.region == w.dep.regions[0]) == back {
		way = &w.ways[1]
	}
	way.bytes += float64(bytes)
	way.free = max(way.free, w.now) + time.Duration(float64(bytes)/w.rate*float64(time.Second))
	w.after(way.free-w.now+farLatency+w.extraWay, do)
	return true
}

// send starts an attempt.
func (w *world) send(q *request, name string) {
	u := w.upstream(name)
	q.attempt++
	q.tried = append(q.tried, name)
	sent := w.now
	if !w.carry(q.entry, u, false, q.kind.body, func() { w.serve(q, u, sent) }) {
		w.after(silence, func() { w.back(q, u, route.ResultLost, sent, 0, -1) })
	}
}

// serve takes a slot of the upstream or refuses.
func (w *world) serve(q *request, u *upstream, sent time.Duration) {
	if w.now >= w.begin {
		w.fig.sends++
	}
	if u.busy >= u.Slots {
		if w.now >= w.begin {
			w.fig.refusals++
		}
		w.reply(q, u, route.ResultRefused, sent, 0)
		return
	}
	u.busy++
	w.fig.started(w, u)
	res, took := route.ResultAnswered, q.service
	if u.bad || w.fails != nil && w.fails(q.kind) {
		res, took = route.ResultFailed, badTime
	}
	if left := max(q.deadline-w.now, 0); took > left {
		res, took = route.ResultAbandoned, left
	}
	w.after(took, func() {
		u.busy--
		if w.now >= w.begin {
			w.fig.busy += min(took, w.now-w.begin).Seconds()
		}
		w.reply(q, u, res, sent, took)
	})
}

func (w *world) reply(q *request, u *upstream, res route.Result, sent, served time.Duration) {
	bytes, busy := 200, u.busy
	if res == route.ResultAnswered {
		bytes = q.kind.answer
	}
	if w.blind {
		busy = -1
	}
	if !w.carry(q.entry, u, true, bytes, func() { w.backBytes(q, u, res, sent, served, bytes, busy) }) {
		w.after(silence, func() { w.back(q, u, route.ResultLost, sent, served, -1) })
	}
}

func (w *world) back(q *request, u *upstream, res route.Result, sent, served time.Duration, busy int) {
	w.backBytes(q, u, res, sent, served, 0, busy)
}

// backBytes ends an attempt at the entry.
func (w *world) backBytes(q *request, u *upstream, res route.Result, sent, served time.Duration, bytes, busy int) {
	if q.gone {
		return
	}
	p := q.entry.policy
	p.end(w.now, u.Name, q.kind.Name, res, w.now-sent, bytes, busy)
	defer w.pump(q.entry)
	if res == route.ResultAnswered && w.now <= q.deadline {
		w.finish(q, served, true)
		return
	}
	if res == route.ResultAnswered || res == route.ResultAbandoned || w.now >= q.deadline {
		w.finish(q, served, false)
		return
	}
	notRun := res == route.ResultRefused
	delay, ok := p.retry(w.now, route.Attempt{
		Number: q.attempt, Kind: q.kind.Name, Idempotent: q.kind.Idempotent, ProvenNotRun: notRun, Deadline: q.deadline,
	})
	switch {
	case ok:
		w.after(delay, func() { w.resend(q, notRun) })
	case notRun:
		q.attempt, q.tried = 0, nil
		p.putBack(w.now, q.id)
	default:
		w.finish(q, served, false)
	}
}

// resend makes another attempt on a target that was not tried.
func (w *world) resend(q *request, notRun bool) {
	if q.gone {
		return
	}
	p := q.entry.policy
	name, ok := p.pick(w.now, route.Query{Kind: q.kind.Name, Bytes: q.kind.body, Exclude: q.tried})
	switch {
	case ok:
		w.send(q, name)
	case notRun:
		q.attempt, q.tried = 0, nil
		p.putBack(w.now, q.id)
		w.pump(q.entry)
	default:
		// The request waits for a slot like any other; it keeps its attempts.
		p.putBack(w.now, q.id)
		w.pump(q.entry)
	}
}

func (w *world) finish(q *request, served time.Duration, answered bool) {
	q.entry.policy.done(w.now, q.id, served)
	delete(q.entry.waiting, q.id)
	if answered {
		w.fig.answered(w, q)
	} else {
		w.fig.unanswered(w, q)
	}
}

// restart replaces an entry by a new one, which may learn from a peer. The callers
// lose their connections.
func (w *world) restart(e, peer *entry) {
	for _, id := range slices.Sorted(maps.Keys(e.waiting)) {
		e.waiting[id].gone = true
		w.fig.unanswered(w, e.waiting[id])
	}
	clear(e.waiting)
	e.policy = e.build()
	if peer != nil {
		e.policy.learn(w.now, peer.policy)
	}
	for _, u := range w.upstreams {
		e.policy.put(w.now, u.Target)
	}
}

// report sends the row of an upstream to the entries.
func (w *world) report(u *upstream) {
	if w.now < w.end {
		w.after(reportEvery, func() { w.report(u) })
	}
	t := u.Target
	t.Busy = u.busy
	t.Kinds = slices.Clone(t.Kinds)
	for _, e := range w.entries {
		if w.cut && e.region != u.Region {
			continue
		}
		w.after(w.reportAge, func() { e.policy.put(w.now, t) })
	}
}
